// How often processes renew their leases at the core and how long a lease lasts without. What one side sends
// and what the other calls silence stand together, so that neither changes alone.
#pragma once

#include <cstdint>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

constexpr Millis kStoreRenewInterval{300};
constexpr Millis kEdgeRenewInterval{500};
// Edges renew at core machines of other regions only each so many intervals.
constexpr std::uint64_t kFarRenewals = 2;
// A member without a renewal for so long holds no lease.
constexpr Millis kMemberLease{2000};
// A store without a renewal for so long counts as gone.
constexpr Millis kStoreSilence{1000};
// Core machines renew at each other.
constexpr Millis kCoreRenewInterval{500};
// A voter that renewed within this is heard by the machine that looks.
constexpr Millis kVoterLive{1200};
// A voter without a renewal for so long counts as gone in any case; restarts mostly take less.
constexpr Millis kVoterSilence{3000};
// A core machine that has answered a renewal within this is preferred as the one that is watched.
constexpr Millis kAnsweredLately{1500};

// The longest pause between two renewals of one member at one core machine.
constexpr Millis kLongestRenewInterval = kFarRenewals * kEdgeRenewInterval;
static_assert(kMemberLease >= 2 * kLongestRenewInterval, "one lost renewal must not cost a lease");
static_assert(kAnsweredLately > kLongestRenewInterval, "an answer must count until the next one");
static_assert(kStoreSilence >= 3 * kStoreRenewInterval,
              "two lost renewals must not cost a store its partitions");
static_assert(kVoterLive >= 2 * kCoreRenewInterval, "one lost renewal must not make a voter absent");
static_assert(kVoterSilence >= 5 * kCoreRenewInterval, "a restart must not remove a voter");

}  // namespace amberswitch::cluster
