// What an owner keeps in memory of a partition.
#pragma once

#include <map>
#include <memory>

#include "cluster/storage/partition_queue.hpp"

namespace amberswitch::cluster::storage {

struct OwnedPartition {
    OwnedPartition(PartitionId partition, ReadyQueues& ready) : id(partition), queue(ready) {}

    PartitionId id;
    Epoch epoch = 0;
    bool active = false;  // accepts, grants and answers; else it still learns what others have
    std::uint64_t last_sequence = 0;
    bool settled = false;  // the edges have told what they run
    SteadyTime settle_by;
    SteadyTime share_from;  // its part of the ceilings counts from then on
    PartitionQueue queue;
};

using OwnedPartitions = std::map<PartitionId, std::unique_ptr<OwnedPartition>>;

// Null where this store is not the owner.
inline OwnedPartition* findOwned(OwnedPartitions& partitions, PartitionId id) {
    const auto found = partitions.find(id);
    return found == partitions.end() ? nullptr : found->second.get();
}

// Null where this store is not the owner or is not active yet.
inline OwnedPartition* findActive(OwnedPartitions& partitions, PartitionId id) {
    OwnedPartition* const owned = findOwned(partitions, id);
    return owned != nullptr && owned->active ? owned : nullptr;
}

}  // namespace amberswitch::cluster::storage
