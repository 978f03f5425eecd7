// The rule by which copies are spread over zones and regions so that the losses that the setting
// `faultTolerance` allows never take all of them.
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
    SpreadRule(FaultTolerance tolerance, Topology topology)
        : tolerance_(tolerance), topology_(std::move(topology)) {}

    // True if no loss of zones or regions is tolerated, so that copies may be placed anywhere.
    bool isTrivial() const { return tolerance_.zones == 0 && tolerance_.regions == 0; }
    // Whether copies in these zones survive every tolerated loss of zones or of regions.
    bool isSpread(const Zones& zones) const;
    // Whether losing all machines of these zones at once is a tolerated loss. False for an empty set.
    bool mayAllBeLost(const Zones& zones) const;
    // Returns the number of further zones, or regions, that copies in these zones need to satisfy the rule.
    std::size_t missingZones(const Zones& zones) const;
    std::size_t missingRegions(const Zones& zones) const;
    // Whether `zone` lies in a region that none of `zones` lies in.
    bool addsRegion(const Zones& zones, const std::string& zone) const;

private:
    std::set<std::string> regionsOf(const Zones& zones) const;

    FaultTolerance tolerance_;
    Topology topology_;
};

}  // namespace amberswitch::cluster::storage
