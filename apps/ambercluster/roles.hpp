// The roles of the program. Each call serves until the process is told to end.
#pragma once

#include <cstdint>
#include <string>

#include "cluster/common/settings.hpp"

namespace amberswitch::cluster {

// What the command line says of a role.
struct RoleOptions {
    std::string settings_path;       // read again on SIGHUP
    std::uint16_t metrics_port = 0;  // where the process tells its figures; 0: nowhere
};

// Each returns the exit status.
int runEdge(const NodeSettings& settings, const RoleOptions& options);
int runCore(const NodeSettings& settings, const RoleOptions& options);
int runStore(const NodeSettings& settings, const RoleOptions& options);

}  // namespace amberswitch::cluster
