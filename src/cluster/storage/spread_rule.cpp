#include "cluster/storage/spread_rule.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {
namespace {

std::size_t missingCount(std::size_t tolerated, std::size_t there) {
    return std::max(tolerated + 1, there) - there;
}

}  // namespace

std::set<std::string> SpreadRule::regionsOf(const Zones& zones) const {
    std::set<std::string> regions;
    for (const std::string& zone : zones) regions.insert(topology_.regionOf(zone));
    return regions;
}

std::size_t SpreadRule::missingZones(const Zones& zones) const {
    return missingCount(tolerance_.zones, zones.size());
}

std::size_t SpreadRule::missingRegions(const Zones& zones) const {
    return missingCount(tolerance_.regions, regionsOf(zones).size());
}

bool SpreadRule::isSpread(const Zones& zones) const {
    return missingZones(zones) == 0 && missingRegions(zones) == 0;
}

bool SpreadRule::mayAllBeLost(const Zones& zones) const {
    if (zones.empty()) return false;
    return zones.size() <= tolerance_.zones || regionsOf(zones).size() <= tolerance_.regions;
}

bool SpreadRule::addsRegion(const Zones& zones, const std::string& zone) const {
    return !regionsOf(zones).contains(topology_.regionOf(zone));
}

}  // namespace amberswitch::cluster::storage
