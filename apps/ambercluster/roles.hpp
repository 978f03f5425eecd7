// The roles of the program. Each call serves until the process is told to end.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cluster/common/event_loop.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/common/transport.hpp"

namespace amberswitch::cluster {

using TransportFactory = std::function<std::unique_ptr<Transport>(EventLoop& loop, const NodeAddress& self)>;

// What a role is started with, beside its settings.
struct RoleOptions {
    std::string settings_path;        // read again on SIGHUP
    std::uint16_t metrics_port = 0;   // where the process tells its figures; 0: nowhere
    TransportFactory make_transport;  // between the processes of the cluster; none: TCP
};

// Each returns the exit status.
int runEdge(const NodeSettings& settings, const RoleOptions& options);
int runCore(const NodeSettings& settings, const RoleOptions& options);
int runStore(const NodeSettings& settings, const RoleOptions& options);

}  // namespace amberswitch::cluster
