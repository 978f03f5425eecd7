// The counters of every part, as text: one name and value a line.
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

// What the operators' address tells: `router.NAME=value`, one a line.
std::string figures(const Core& core);

std::string report(const Core& core, const platform::Servers& servers, const platform::Watch& watch,
                   const platform::Front& front, const gearman::Front& gearman, const config::Reload& reload);

// What the start waits for and since when, on the operators' address; nothing once it is over.
std::string report(const start::Gate& gate, Time now);
std::string report(const store::Keeper& keptList);          // where the list is kept
std::string report(const placement::Placement& placement);  // where there is a policy
std::string report(const control::Control& control);        // where operators have an address
std::string report(const takeover::Takeover& takeover);
std::string report(const platform::Consul& consul);                          // where Consul is on
std::string report(const grpc::Front& front, const grpc::Servers& servers);  // where gRPC is on

}  // namespace amberswitch
