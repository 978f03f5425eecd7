// A dispatcher's rank among all dispatchers, by which they divide the capacity of the servers.
#pragma once

#include <compare>
#include <cstdint>

namespace amberswitch::cluster {

struct EdgeShare {
    std::uint32_t edges = 1;         // number of dispatchers
    std::uint32_t region_edges = 1;  // number of dispatchers in its region
    std::uint32_t region_rank = 0;   // its rank among these, from 0, ordered by zone and name
    auto operator<=>(const EdgeShare&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(edges, region_edges, region_rank);
    }
};

}  // namespace amberswitch::cluster
