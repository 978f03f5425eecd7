// Intervals at which processes renew their leases at the core, and the timeouts for missing renewals. The
// sender's interval and the receiver's timeout are defined together, so that neither is changed alone.
#pragma once

#include <cstdint>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

constexpr Millis kStoreRenewInterval{300};
constexpr Millis kEdgeRenewInterval{500};
// Edges renew at core machines of other regions only once in this many intervals.
constexpr std::uint64_t kRemoteRenewIntervals = 2;
// A member without a renewal for this long holds no lease.
constexpr Millis kMemberLease{2000};
// A store without a renewal for this long counts as lost.
constexpr Millis kStoreTimeout{1000};
// Interval at which core machines renew their leases at each other.
constexpr Millis kCoreRenewInterval{500};
// A voter that renewed within this time counts as live.
constexpr Millis kVoterLiveWindow{1200};
// A voter without a renewal for this long counts as lost in any case; restarts usually take less.
constexpr Millis kVoterTimeout{3000};
// A core machine that has answered a renewal within this time is preferred for watching.
constexpr Millis kRecentReplyWindow{1500};

// The longest interval between two renewals of one member at one core machine.
constexpr Millis kMaxRenewInterval = kRemoteRenewIntervals * kEdgeRenewInterval;
static_assert(kMemberLease >= 2 * kMaxRenewInterval, "one lost renewal must not cost a lease");
static_assert(kRecentReplyWindow > kMaxRenewInterval, "an answer must count until the next one");
static_assert(kStoreTimeout >= 3 * kStoreRenewInterval,
              "two lost renewals must not cost a store its partitions");
static_assert(kVoterLiveWindow >= 2 * kCoreRenewInterval, "one lost renewal must not make a voter absent");
static_assert(kVoterTimeout >= 5 * kCoreRenewInterval, "a restart must not remove a voter");

}  // namespace amberswitch::cluster
