#include "cluster/storage/misplaced_keys.hpp"

#include <algorithm>
#include <utility>

namespace amberswitch::cluster::storage {

void MisplacedKeys::settle() {
    settled_ = true;
    reported_.clear();
}

bool MisplacedKeys::allReported() const {
    const std::size_t partitions = placement_.partitionCount();
    return partitions > 0 && reported_.size() >= partitions;
}

void MisplacedKeys::report(PartitionId partition, std::set<std::string> keys) {
    if (settled_) return;
    reported_[partition] = std::move(keys);
    const bool all_clear = std::all_of(reported_.begin(), reported_.end(),
                                       [](const auto& entry) { return entry.second.empty(); });
    if (allReported() && all_clear) settle();
}

bool MisplacedKeys::isClear(PartitionId partition) const {
    const auto reported = reported_.find(partition);
    return settled_ || (reported != reported_.end() && reported->second.empty());
}

bool MisplacedKeys::isMisplaced(const QueueItem& item) const {
    return item.isInOrderQueue() && !placement_.isPartitionOfKey(item.partition, item.order_key);
}

bool MisplacedKeys::holdsBack(const QueueItem& item) const {
    if (settled_ || !item.ordered || !item.isInOrderQueue() || isMisplaced(item)) return false;
    return !allReported() || std::any_of(reported_.begin(), reported_.end(), [&item](const auto& entry) {
        return entry.second.contains(item.order_key);
    });
}

std::size_t MisplacedKeys::size() const {
    std::size_t keys = 0;
    for (const auto& [partition, misplaced] : reported_) keys += misplaced.size();
    return keys;
}

}  // namespace amberswitch::cluster::storage
