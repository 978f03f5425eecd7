// The roles of the program. Each call serves until the process is told to end.
#pragma once

#include <string>

#include "cluster/common/settings.hpp"

namespace amberswitch::cluster {

// Each takes the settings and the path they came from, to read them again on SIGHUP, and returns the exit
// status.
int runEdge(const NodeSettings& settings, const std::string& settings_path);
int runCore(const NodeSettings& settings, const std::string& settings_path);
int runStore(const NodeSettings& settings, const std::string& settings_path);

}  // namespace amberswitch::cluster
