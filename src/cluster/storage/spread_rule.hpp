// Where copies must stand so that what `faultTolerance` names may be lost at once.
#pragma once

#include <set>
#include <string>
#include <utility>

#include "cluster/common/settings.hpp"
#include "cluster/common/topology.hpp"

namespace amberswitch::cluster::storage {

using Zones = std::set<std::string>;

class SpreadRule {
public:
    SpreadRule() = default;
    SpreadRule(Tolerance tolerance, Topology topology)
        : tolerance_(tolerance), topology_(std::move(topology)) {}

    // No loss of zones or regions is to be borne: copies may stand anywhere.
    bool isTrivial() const { return tolerance_.zones == 0 && tolerance_.regions == 0; }
    // With copies in these zones, no tolerated loss of zones or of regions takes all of them.
    bool isSpread(const Zones& zones) const;
    // Whether all machines of these zones may be lost at once. False for none.
    bool mayAllBeLost(const Zones& zones) const;
    // How many further zones, or regions, copies in these zones lack.
    std::size_t missingZones(const Zones& zones) const;
    std::size_t missingRegions(const Zones& zones) const;
    // A copy in `zone` would add a zone, or a region, to these.
    bool addsRegion(const Zones& zones, const std::string& zone) const;

private:
    std::set<std::string> regionsOf(const Zones& zones) const;

    Tolerance tolerance_;
    Topology topology_;
};

}  // namespace amberswitch::cluster::storage
