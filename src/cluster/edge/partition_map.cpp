#include "cluster/edge/partition_map.hpp"

#include <xxhash.h>

#include <utility>

namespace amberswitch::cluster {
namespace {

constexpr Millis kSuspicion{500};

// Lower is better: owners that answer first, then those near by.
int rankOf(bool suspected, bool near) {
    return (suspected ? 2 : 0) + (near ? 0 : 1);
}
constexpr int kWorstRank = 4;

}  // namespace

bool PartitionMap::update(std::shared_ptr<const StoreView> view) {
    if (!view || (view_ && view->epoch <= view_->epoch)) return false;
    view_ = std::move(view);
    return true;
}

const StoreMember* PartitionMap::owner(PartitionId partition) const {
    if (partition >= partitions()) return nullptr;
    const std::int32_t index = view_->partitions[partition].owner;
    if (index < 0 || static_cast<std::size_t>(index) >= view_->stores.size()) return nullptr;
    const StoreMember& store = view_->stores[static_cast<std::size_t>(index)];
    return store.alive ? &store : nullptr;
}

std::vector<const StoreMember*> PartitionMap::aliveStores() const {
    std::vector<const StoreMember*> alive;
    if (!view_) return alive;
    for (const StoreMember& store : view_->stores) {
        if (store.alive) alive.push_back(&store);
    }
    return alive;
}

PartitionId PartitionMap::partitionOfKey(std::string_view route, std::string_view order_key) const {
    std::string bytes(route);
    bytes += '\0';
    bytes += order_key;
    return static_cast<PartitionId>(XXH64(bytes.data(), bytes.size(), 0) % partitions());
}

std::optional<PartitionId> PartitionMap::pick(std::mt19937_64& random, SteadyTime now,
                                              const std::set<NodeAddress>& tried) const {
    std::optional<PartitionId> best;
    int best_rank = kWorstRank;
    std::uint64_t equals = 0;
    for (PartitionId partition = 0; partition < partitions(); ++partition) {
        const StoreMember* const store = owner(partition);
        if (!store || tried.contains(store->member.address)) continue;
        const int rank = rankOf(suspected(store->member.address, now), store->member.zone == zone_);
        if (rank > best_rank) continue;
        if (rank < best_rank) equals = 0;
        ++equals;
        // Each of the equals seen so far is kept with the same chance.
        if (random() % equals == 0) best = partition;
        best_rank = rank;
    }
    return best;
}

void PartitionMap::suspect(const NodeAddress& owner, SteadyTime now) {
    suspected_[owner] = now + kSuspicion;
}

bool PartitionMap::suspected(const NodeAddress& owner, SteadyTime now) const {
    const auto found = suspected_.find(owner);
    return found != suspected_.end() && now < found->second;
}

bool PartitionMap::usable(SteadyTime now) const {
    for (PartitionId partition = 0; partition < partitions(); ++partition) {
        const StoreMember* const store = owner(partition);
        if (store && !suspected(store->member.address, now)) return true;
    }
    return false;
}

}  // namespace amberswitch::cluster
