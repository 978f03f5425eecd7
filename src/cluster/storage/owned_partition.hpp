// The state that the owner of a partition keeps in memory.
#pragma once

#include <map>
#include <memory>

#include "cluster/storage/partition_queue.hpp"

namespace amberswitch::cluster::storage {

struct OwnedPartition {
    OwnedPartition(PartitionId partition, ReadyQueues& ready, const MisplacedKeys& misplaced)
        : id(partition), queue(ready, &misplaced) {}

    PartitionId id;
    Epoch epoch = 0;
    bool active = false;  // serves requests and grants; false while the owner still peers with the replicas
    std::uint64_t last_sequence = 0;
    bool recovered_released = false;  // recovered messages may be granted: running attempts are known
    SteadyTime release_recovered_by;  // latest time at which recovered messages are released
    SteadyTime ceiling_share_from;    // from then on its part of the ceilings counts
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
