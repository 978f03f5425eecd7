#include "cluster/common/node_locations.hpp"

namespace amberswitch::cluster {

std::optional<Distance> NodeLocations::distanceTo(const NodeAddress& address) const {
    const auto found = zones_.find(address);
    if (found == zones_.end()) return std::nullopt;
    return topology_.distanceBetween(zone_, found->second);
}

}  // namespace amberswitch::cluster
