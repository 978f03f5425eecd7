// The three roles of the program. Each runs until its planned end (SIGTERM) and returns the exit status.
#pragma once

#include <string>

#include "cluster/common/settings.hpp"

namespace amberswitch::cluster {

int runEdge(const NodeSettings& settings, const std::string& settings_path);
int runCore(const NodeSettings& settings, const std::string& settings_path);
int runStore(const NodeSettings& settings, const std::string& settings_path);

}  // namespace amberswitch::cluster
