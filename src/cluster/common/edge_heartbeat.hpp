// Intervals and time-outs of the heartbeats (EdgeSync) from edges to stores. Each EdgeSync announces the time
// until the next one, and stores derive their time-outs only from that, so that both sides always use the
// same interval.
#pragma once

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// To a store for which the edge runs something, or which is in the edge's own region.
constexpr Millis kEdgeHeartbeatInterval{1000};
// Number of heartbeat intervals between heartbeats to a store of another region for which the edge runs
// nothing.
constexpr std::int64_t kRemoteIdleHeartbeatFactor = 2;
// How far an EdgeSync may be overdue before its sender counts as silent.
constexpr Millis kEdgeSilentSlack{500};
// How far an EdgeSync may be overdue before its sender counts as gone.
constexpr Millis kEdgeGoneSlack{1500};

}  // namespace amberswitch::cluster
