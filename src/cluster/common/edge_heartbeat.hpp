// How often an edge tells a store what it runs. The edge promises the time of its next edge_sync in each one,
// and stores count silence from that promise alone, so that the two can't drift apart.
#pragma once

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// Between two edge_sync to a store for which the edge runs something, or of the edge's own region.
constexpr Millis kEdgeHeartbeat{1000};
// An edge that runs nothing for a store of another region sends it only each so many heartbeats.
constexpr std::int64_t kHeartbeatsWhileIdle = 2;
// What an edge_sync may take on its way beyond the promise before its sender counts as silent.
constexpr Millis kHeartbeatSlack{500};
// The same before nothing is expected of it any more.
constexpr Millis kHeartbeatGone{1500};

}  // namespace amberswitch::cluster
