#include "cluster/edge/partition_map.hpp"

#include <utility>

namespace amberswitch::cluster {

bool PartitionMap::update(std::shared_ptr<const StoreView> view) {
    if (!view || (view_ && view->epoch <= view_->epoch)) return false;
    view_ = std::move(view);
    return true;
}

const StoreMember* PartitionMap::owner(PartitionId partition) const {
    const StoreMember* const store = view_ ? view_->ownerOf(partition) : nullptr;
    return store != nullptr && store->alive ? store : nullptr;
}

std::vector<const StoreMember*> PartitionMap::aliveStores() const {
    std::vector<const StoreMember*> alive;
    if (!view_) return alive;
    for (const StoreMember& store : view_->stores) {
        if (store.alive) alive.push_back(&store);
    }
    return alive;
}

std::optional<PartitionId> PartitionMap::pickPartition(std::mt19937_64& random,
                                                       const std::set<NodeAddress>& tried) const {
    std::optional<PartitionId> best;
    Distance nearest = Distance::other_region;
    std::uint64_t candidates = 0;
    for (PartitionId partition = 0; partition < partitionCount(); ++partition) {
        const StoreMember* const store = owner(partition);
        if (!store || tried.contains(store->member.address) || isSuspected(store->member.address)) continue;
        const Distance distance = distanceTo(*store);
        if (distance > nearest) continue;
        if (distance < nearest) candidates = 0;
        nearest = distance;
        ++candidates;
        // Reservoir sampling: every candidate seen so far is kept with equal probability.
        if (random() % candidates == 0) best = partition;
    }
    return best;
}

bool PartitionMap::hasUsableOwner() const {
    for (PartitionId partition = 0; partition < partitionCount(); ++partition) {
        const StoreMember* const store = owner(partition);
        if (store && !isSuspected(store->member.address)) return true;
    }
    return false;
}

}  // namespace amberswitch::cluster
