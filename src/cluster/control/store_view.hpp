// The store view as plain functions: which store owns which partition, and the view that follows a change
// among the stores.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

inline constexpr std::size_t kPartitionCount = 24;

// What the leader knows of a store now.
struct StoreObservation {
    Member member;
    bool silent = false;  // has not renewed its lease for so long that it counts as gone
};

// Indices of all stores, the preferred owner of the partition first.
std::vector<std::size_t> rendezvousOrder(PartitionId partition, const std::vector<StoreMember>& stores);

struct ViewRules {
    // No partition changed hands lately with an owner that may still run: earlier doubts are settled.
    bool settled = false;
};

// The view after `current`, with the next epoch; nothing where the stores and their states are the same.
// Every partition stays with its owner where that one is alive and has no more than its even share.
std::optional<StoreView> nextView(const StoreView& current, const std::vector<StoreObservation>& observed,
                                  ViewRules rules);

}  // namespace amberswitch::cluster
