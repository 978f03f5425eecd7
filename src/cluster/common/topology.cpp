#include "cluster/common/topology.hpp"

namespace amberswitch::cluster {

const std::string& Topology::regionOf(const std::string& zone) const {
    static const std::string none;
    const auto found = region_of_zone_.find(zone);
    return found == region_of_zone_.end() ? none : found->second;
}

Distance Topology::distanceBetween(const std::string& zone, const std::string& other) const {
    if (zone == other) return Distance::same_zone;
    return regionOf(zone) == regionOf(other) ? Distance::same_region : Distance::other_region;
}

}  // namespace amberswitch::cluster
