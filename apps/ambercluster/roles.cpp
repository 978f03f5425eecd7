#include "roles.hpp"

#include <glog/logging.h>

namespace amberswitch::cluster {
namespace {

constexpr int kNotServed = 1;

// Until the planes are joined.
int refuse(const char* role, const NodeSettings& settings) {
    LOG(ERROR) << settings.name << ": the role " << role << " is not served by this build";
    return kNotServed;
}

}  // namespace

int runEdge(const NodeSettings& settings, const std::string& /*settings_path*/) {
    return refuse("edge", settings);
}

int runCore(const NodeSettings& settings, const std::string& /*settings_path*/) {
    return refuse("core", settings);
}

int runStore(const NodeSettings& settings, const std::string& /*settings_path*/) {
    return refuse("store", settings);
}

}  // namespace amberswitch::cluster
