// The counters of all parts as plain text, one name and value on a line.
#pragma once

#include <string>

#include "config/reload.hpp"
#include "control/control.hpp"
#include "gearman/front.hpp"
#include "grpc/front.hpp"
#include "grpc/servers.hpp"
#include "platform/consul.hpp"
#include "platform/front.hpp"
#include "platform/watch.hpp"
#include "start/gate.hpp"
#include "takeover/takeover.hpp"

namespace amberswitch {

// The counters for the operators' address, as lines of the form `router.NAME=value`.
std::string routerCounters(const Core& core);

// The counters of the parts that always run, as lines of the form `NAME value`.
std::string report(const Core& core, const platform::Servers& servers, const platform::Watch& watch,
                   const platform::Front& front, const gearman::Front& gearman, const config::Reload& reload);

// For the operators' address: what the start waits for, and since how many milliseconds. Empty once the start
// is complete.
std::string report(const start::Gate& gate, Time now);
std::string report(const store::StateFile& storedList);     // if the server list is stored
std::string report(const placement::Placement& placement);  // if there is a placement policy
std::string report(const control::Control& control);        // if the operators' address is on
std::string report(const takeover::Takeover& takeover);
std::string report(const platform::Consul& consul);                          // if Consul is on
std::string report(const grpc::Front& front, const grpc::Servers& servers);  // if gRPC is on

}  // namespace amberswitch
