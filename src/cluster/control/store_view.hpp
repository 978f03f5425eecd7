// Pure functions on the store view: partition ownership, and the next view after the stores have changed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

inline constexpr std::size_t kPartitionCount = 24;

// What the leader currently knows about a store.
struct StoreObservation {
    Member member;
    bool timed_out = false;  // its last lease renewal is too old, so it counts as unavailable
};

// Result of an order to retire a store.
enum class RetireVerdict : std::uint8_t { ordered, unknown_store, too_few_left };
enum class RetirePhase : std::uint8_t { none, in_progress, completed };

// Indices of all stores in rendezvous-hashing order, the preferred owner of the partition first.
std::vector<std::size_t> rendezvousOrder(PartitionId partition, const std::vector<StoreMember>& stores);

// Conditions that limit which changes nextView() makes.
struct ViewRules {
    // The grants of all owners replaced in earlier views have expired, so `previous_stopped = false` of an
    // earlier change need not be carried over.
    bool old_owners_stopped = false;
    // Every partition has been peered in the current view: acknowledged data is on tolerated + 1 stores that
    // are alive and not retiring. Other stores may be removed, and partitions may be rebalanced.
    bool peered = false;
    // Names of the stores that have been unavailable for long enough to be removed.
    std::vector<std::string> long_unavailable = {};
    // Whether partitions may move towards even shares when no store has changed.
    bool may_rebalance = false;
    // When a store joins or partitions are rebalanced, at most a third of an even share moves per view from
    // owners that could keep their partitions.
    bool moves_gradually = false;
};

// The view after `current`, with the next epoch; nullopt if nothing changes. A partition keeps its owner if
// that store is alive, is not retiring and owns no more than its even share.
std::optional<StoreView> nextView(const StoreView& current, const std::vector<StoreObservation>& observed,
                                  const ViewRules& rules);

// Whether the leader needs to know if the view is peered: a store is to be removed, or shares are uneven.
bool needsPeeringProgress(const StoreView& view);

// Marks the store for retirement, which the leader carries out; a repeat changes nothing.
RetireVerdict orderRetirement(StoreView& view, const std::string& name);
// `completed` once the store is no longer in the view but among its retired stores.
RetirePhase retirePhase(const StoreView& view, const std::string& name);

}  // namespace amberswitch::cluster
