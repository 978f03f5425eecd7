// Which of a service's servers a dispatcher may connect to where all dispatchers together could exceed what a
// server takes. Every dispatcher computes its own part from the same list and its place among the
// dispatchers; no messages are needed. Pure logic.
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
    std::vector<bool> chosen;                  // by server, as given
    std::uint32_t connections_per_server = 1;  // to each chosen one
};

// `zone`: of the dispatcher; `max_connections`: of each server, from all dispatchers together.
//
// Where there are no more dispatchers than that, each may use all servers. Else the dispatchers of a region
// share its servers: three quarters of the connections are theirs. Half is planned with, where that gives
// everybody two servers: connections of dispatchers that lost power stand at the servers for a while, beside
// those of the processes that follow them. The last quarter is for one server beyond the own region, in case
// that its own are bad, and for dispatchers in whose region there is none.
ServerSubset chooseServers(const std::vector<ServerLocation>& servers, const Topology& topology,
                           const std::string& zone, std::uint32_t max_connections, EdgeShare share);

}  // namespace amberswitch::cluster
