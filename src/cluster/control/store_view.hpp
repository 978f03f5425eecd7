// The store view as plain functions: which store owns which partition, and the view that follows a change
// among the stores.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

inline constexpr std::size_t kPartitionCount = 24;

// What the leader knows of a store now.
struct StoreObservation {
    Member member;
    bool silent = false;  // has not renewed its lease for so long that it counts as gone
};

// What became of an order to retire a store.
enum class RetireVerdict : std::uint8_t { ordered, unknown_store, too_few_left };
enum class RetirePhase : std::uint8_t { none, in_progress, completed };

// Indices of all stores, the preferred owner of the partition first.
std::vector<std::size_t> rendezvousOrder(PartitionId partition, const std::vector<StoreMember>& stores);

struct ViewRules {
    // No partition changed hands lately with an owner that may still run: earlier doubts are settled.
    bool settled = false;
    // Every partition has been peered in the present view: what counts stands on tolerated + 1 stores that
    // are alive and not retiring. Others may be dropped, and shares may be evened out.
    bool peered = false;
    // Stores that have been away for long enough to be dropped.
    std::vector<std::string> long_away = {};
    // Whether partitions may go on moving towards even shares where no store has changed.
    bool may_even_out = false;
    // Where a store has joined or shares are evened out: at most a third of an even share moves at once from
    // owners that could go on.
    bool moves_gradually = false;
};

// The view after `current`, with the next epoch; nothing where there is nothing to change.
// Every partition stays with its owner where that one is alive, stays and has no more than its even share.
std::optional<StoreView> nextView(const StoreView& current, const std::vector<StoreObservation>& observed,
                                  const ViewRules& rules);

// Whether the leader needs to know if the view is peered: a store is to be dropped, or shares are uneven.
bool waitsForPeering(const StoreView& view);

// Marks the store as to be retired, for the leader to obey; a repeat changes nothing.
RetireVerdict orderRetirement(StoreView& view, const std::string& name);
RetirePhase retirePhase(const StoreView& view, const std::string& name);

}  // namespace amberswitch::cluster
