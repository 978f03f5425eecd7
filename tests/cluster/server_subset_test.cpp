// Checks that the subsets of all edges together stay within the connection limit of each server.
#include "cluster/edge/server_subset.hpp"

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

using namespace amberswitch::cluster;

namespace {

// Edges and servers in random or given regions of one zone each.
struct Deployment {
    std::vector<std::uint32_t> edges;    // by region
    std::vector<std::uint32_t> servers;  // by region

    static std::string zoneOf(std::size_t region) { return "zone-" + std::to_string(region); }
    Topology topology() const {
        std::map<std::string, std::string> region_of_zone;
        for (std::size_t region = 0; region < edges.size(); ++region)
            region_of_zone[zoneOf(region)] = "region-" + std::to_string(region);
        return Topology(region_of_zone);
    }
    std::vector<ServerLocation> locations() const {
        std::vector<ServerLocation> locations;
        for (std::size_t region = 0; region < servers.size(); ++region) {
            for (std::uint32_t index = 0; index < servers[region]; ++index)
                locations.push_back({"server-" + std::to_string(locations.size()), zoneOf(region)});
        }
        return locations;
    }
    std::uint32_t edgeCount() const { return std::accumulate(edges.begin(), edges.end(), 0U); }
    ServerSubset subsetOf(std::size_t region, std::uint32_t rank, std::uint32_t max_connections) const {
        return chooseServers(locations(), topology(), zoneOf(region), max_connections,
                             {edgeCount(), edges[region], rank});
    }
    // Returns the connections to each server if every edge uses all that it may.
    std::vector<std::uint32_t> connectionsOfAll(std::uint32_t max_connections) const {
        std::vector<std::uint32_t> sum(locations().size(), 0);
        for (std::size_t region = 0; region < edges.size(); ++region) {
            for (std::uint32_t rank = 0; rank < edges[region]; ++rank) {
                const ServerSubset subset = subsetOf(region, rank, max_connections);
                for (std::size_t index = 0; index < sum.size(); ++index)
                    sum[index] += subset.chosen[index] ? subset.connections_per_server : 0;
            }
        }
        return sum;
    }
};

std::size_t sizeOf(const ServerSubset& subset) {
    return static_cast<std::size_t>(std::count(subset.chosen.begin(), subset.chosen.end(), true));
}

}  // namespace

TEST_CASE("in random deployments no server exceeds its connection limit") {
    std::mt19937_64 random(7);
    const auto draw = [&random](std::uint32_t least, std::uint32_t max_connections) {
        return std::uniform_int_distribution<std::uint32_t>(least, max_connections)(random);
    };
    for (int round = 0; round < 500; ++round) {
        Deployment deployment;
        const std::size_t regions = draw(1, 4);
        for (std::size_t region = 0; region < regions; ++region) {
            deployment.edges.push_back(draw(1, 80));
            deployment.servers.push_back(draw(0, 3) == 0 ? 0 : draw(1, 25));
        }
        if (deployment.locations().empty()) continue;
        const std::uint32_t max_connections = draw(2, 120);
        CAPTURE(round);
        CAPTURE(max_connections);
        const auto sums = deployment.connectionsOfAll(max_connections);
        CHECK(*std::max_element(sums.begin(), sums.end()) <= max_connections);
    }
}

TEST_CASE("every edge has two servers of its region if there are enough connections") {
    const Deployment deployment{{15, 14, 16}, {3, 2, 3}};
    for (std::size_t region = 0; region < 3; ++region) {
        for (std::uint32_t rank = 0; rank < deployment.edges[region]; ++rank) {
            const ServerSubset subset = deployment.subsetOf(region, rank, 24);
            const auto locations = deployment.locations();
            std::size_t own = 0;
            for (std::size_t index = 0; index < locations.size(); ++index)
                own += subset.chosen[index] && locations[index].zone == Deployment::zoneOf(region) ? 1 : 0;
            CHECK(own == 2);
            CHECK(sizeOf(subset) <= 3);  // plus one in another region, in case both fail
        }
    }
}

TEST_CASE("connections of dead edges fit beside those of their replacements") {
    const Deployment deployment{{15, 14, 16}, {11, 10, 11}};
    const auto sums = deployment.connectionsOfAll(24);
    CHECK(*std::min_element(sums.begin(), sums.end()) > 0);
    CHECK(2 * *std::max_element(sums.begin(), sums.end()) <= 30);
    for (const std::uint32_t sum : sums) CHECK(sum <= 15);
}

TEST_CASE("few edges use all servers, with all connections they may open") {
    const ServerSubset subset = Deployment{{8}, {9}}.subsetOf(0, 3, 110);
    CHECK(sizeOf(subset) == 9);
    CHECK(subset.connections_per_server == 12);
}

TEST_CASE("a region without servers uses those of other regions within the reserved share") {
    const Deployment deployment{{30, 30}, {20, 0}};
    std::size_t with_server = 0;
    for (std::uint32_t rank = 0; rank < 30; ++rank)
        with_server += sizeOf(deployment.subsetOf(1, rank, 40)) > 0 ? 1 : 0;
    CHECK(with_server == 30);
}

TEST_CASE("with fewer connections than edges, as many edges as possible get one") {
    const Deployment deployment{{100}, {1}};
    std::size_t with_connection = 0;
    for (std::uint32_t rank = 0; rank < 100; ++rank)
        with_connection += sizeOf(deployment.subsetOf(0, rank, 20));
    CHECK(with_connection == 15);
}

TEST_CASE("adding one edge moves few connections") {
    const Deployment before{{45}, {32}};
    const Deployment after{{46}, {32}};
    std::size_t kept = 0;
    std::size_t all = 0;
    for (std::uint32_t rank = 0; rank < 45; ++rank) {
        const ServerSubset first = before.subsetOf(0, rank, 24);
        const ServerSubset second = after.subsetOf(0, rank, 24);
        for (std::size_t index = 0; index < first.chosen.size(); ++index) {
            all += first.chosen[index] ? 1 : 0;
            kept += first.chosen[index] && second.chosen[index] ? 1 : 0;
        }
    }
    CHECK(kept * 10 >= all * 8);
}
