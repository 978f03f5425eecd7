// Chooses the servers of a service that an edge may connect to when all edges together could exceed a
// server's connection limit. Every edge computes its own subset from the same server list and its rank among
// the edges, without communication. Has no side effects.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/common/edge_share.hpp"
#include "cluster/common/topology.hpp"

namespace amberswitch::cluster {

struct ServerLocation {
    std::string uid;
    std::string zone;
};

struct ServerSubset {
    std::vector<bool> chosen;                  // by server, in the given order
    std::uint32_t connections_per_server = 1;  // to each chosen server
};

// `zone`: the zone of the edge; `max_connections`: the limit of each server for all edges together.
//
// If there are no more edges than `max_connections`, each edge may use all servers. Otherwise the edges of a
// region share its servers and may use up to three quarters of the connections. Subsets are sized for half of
// the connections, as long as every edge still gets two servers: after a power loss the servers hold the
// connections of dead edges for a while, in addition to those of their replacements. The last quarter is for
// edges of other regions: each edge gets one server outside its region, in case those of its own region fail,
// and edges whose region has no servers use it as well.
ServerSubset chooseServers(const std::vector<ServerLocation>& servers, const Topology& topology,
                           const std::string& zone, std::uint32_t max_connections, EdgeShare share);

}  // namespace amberswitch::cluster
