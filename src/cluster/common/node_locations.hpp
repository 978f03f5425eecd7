// Zones of the cluster's processes, and their distances from this process.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "cluster/common/topology.hpp"
#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// Maps the addresses of other processes to their zones, as far as this process has learnt them.
class NodeLocations {
public:
    // `zone` is the zone of this process.
    NodeLocations(std::string zone, Topology topology)
        : zone_(std::move(zone)), topology_(std::move(topology)) {}

    void setZone(const NodeAddress& address, const std::string& zone) { zones_[address] = zone; }
    // Nothing if the zone of the address is not known.
    std::optional<Distance> distanceTo(const NodeAddress& address) const;

private:
    std::string zone_;
    Topology topology_;
    std::map<NodeAddress, std::string> zones_;
};

}  // namespace amberswitch::cluster
