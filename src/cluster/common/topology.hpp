// The topology of the deployment: zones grouped into regions, as given in the settings file.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace amberswitch::cluster {

// Distance between two zones; nearer compares as less. Latency and the price of a byte increase with it.
enum class Distance : std::uint8_t { same_zone, same_region, other_region };

class Topology {
public:
    Topology() = default;
    // `region_of_zone`: from the field `zones` of the settings file.
    explicit Topology(std::map<std::string, std::string> region_of_zone)
        : region_of_zone_(std::move(region_of_zone)) {}

    // Empty for a zone that the settings do not name; all such zones form one region.
    const std::string& regionOf(const std::string& zone) const;
    Distance distanceBetween(const std::string& zone, const std::string& other) const;

private:
    std::map<std::string, std::string> region_of_zone_;
};

}  // namespace amberswitch::cluster
