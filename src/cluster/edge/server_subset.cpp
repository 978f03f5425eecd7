#include "cluster/edge/server_subset.hpp"

#include <algorithm>
#include <tuple>

namespace amberswitch::cluster {
namespace {

// Fractions of a server's connection limit.
constexpr double kAllServersShare = 0.9;  // the rest is a reserve
constexpr double kMaxRegionShare = 0.75;
constexpr double kPlannedRegionShare = 0.5;
constexpr double kMaxRemoteShare = 0.25;
constexpr std::uint64_t kMinServers = 2;     // in a subset, so that one may fail
constexpr std::uint64_t kRemoteServers = 1;  // per edge, if its own region has servers

using Indices = std::vector<std::size_t>;

void sortByLocation(Indices& indices, const std::vector<ServerLocation>& servers, const Topology& topology) {
    const auto key = [&](std::size_t index) {
        const ServerLocation& server = servers[index];
        return std::tie(topology.regionOf(server.zone), server.zone, server.uid);
    };
    std::sort(indices.begin(), indices.end(),
              [&key](std::size_t left, std::size_t right) { return key(left) < key(right); });
}

std::uint64_t connectionsFor(std::uint32_t max_connections, double share_of_connections) {
    return static_cast<std::uint64_t>(share_of_connections * max_connections);
}

// Returns the number of servers each edge may choose so that at most `max_edges_per_server` edges choose the
// same server.
std::uint64_t subsetSize(std::uint64_t servers, std::uint64_t max_edges_per_server, std::uint64_t edges) {
    return std::min(servers, servers * max_edges_per_server / edges);
}

// Chooses the edge's section of the ring of servers. Over all edges, the numbers of times that servers are
// chosen differ by at most one.
void chooseFromRing(const Indices& ring, std::uint64_t size, const EdgeShare& share,
                    std::vector<bool>& chosen) {
    const std::uint64_t first = share.region_rank * ring.size() / share.region_edges;
    for (std::uint64_t i = 0; i < size; ++i) chosen[ring[(first + i) % ring.size()]] = true;
}

// For fewer connections than edges: as many edges as there are connections get one each, evenly spread.
void chooseForSomeEdges(const Indices& ring, std::uint64_t connections, const EdgeShare& share,
                        std::vector<bool>& chosen) {
    const std::uint64_t rank = share.region_rank;
    const std::uint64_t edges = share.region_edges;
    const bool has_one = (rank + 1) * connections / edges > rank * connections / edges;
    if (has_one) chooseFromRing(ring, 1, share, chosen);
}

// The connections reserved for edges of other regions are divided among the regions by their number of edges.
void chooseFromOtherRegions(const Indices& ring, std::uint64_t wanted, std::uint32_t max_connections,
                            const EdgeShare& share, std::vector<bool>& chosen) {
    const std::uint64_t remote_connections = connectionsFor(max_connections, kMaxRemoteShare);
    const std::uint64_t max_edges_per_server = remote_connections * share.region_edges / share.edges;
    const std::uint64_t size =
        std::min(wanted, subsetSize(ring.size(), max_edges_per_server, share.region_edges));
    if (size > 0) return chooseFromRing(ring, size, share, chosen);
    if (!ring.empty()) chooseForSomeEdges(ring, ring.size() * max_edges_per_server, share, chosen);
}

void chooseFromRegion(const Indices& ring, std::uint32_t max_connections, const EdgeShare& share,
                      std::vector<bool>& chosen) {
    const auto size = [&](double share_of_connections) {
        return subsetSize(ring.size(), connectionsFor(max_connections, share_of_connections),
                          share.region_edges);
    };
    const std::uint64_t wanted = std::max(size(kPlannedRegionShare), kMinServers);
    const std::uint64_t allowed = std::min(size(kMaxRegionShare), wanted);
    if (allowed > 0) return chooseFromRing(ring, allowed, share, chosen);
    chooseForSomeEdges(ring, ring.size() * connectionsFor(max_connections, kMaxRegionShare), share, chosen);
}

}  // namespace

ServerSubset chooseServers(const std::vector<ServerLocation>& servers, const Topology& topology,
                           const std::string& zone, std::uint32_t max_connections, EdgeShare share) {
    ServerSubset subset;
    share.region_edges = std::max<std::uint32_t>(1, share.region_edges);
    share.edges = std::max(share.edges, share.region_edges);
    share.region_rank %= share.region_edges;
    const bool all_may_connect = share.edges <= max_connections;
    subset.chosen.assign(servers.size(), all_may_connect);
    if (all_may_connect) {
        const std::uint64_t each = connectionsFor(max_connections, kAllServersShare) / share.edges;
        subset.connections_per_server = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, each));
        return subset;
    }
    Indices local;
    Indices remote;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const bool is_local = topology.distanceBetween(zone, servers[index].zone) != Distance::other_region;
        (is_local ? local : remote).push_back(index);
    }
    sortByLocation(local, servers, topology);
    sortByLocation(remote, servers, topology);
    if (!local.empty()) chooseFromRegion(local, max_connections, share, subset.chosen);
    const std::uint64_t wanted = local.empty() ? remote.size() : kRemoteServers;
    chooseFromOtherRegions(remote, wanted, max_connections, share, subset.chosen);
    return subset;
}

}  // namespace amberswitch::cluster
