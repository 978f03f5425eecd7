#include "cluster/storage/misplaced_keys.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

void MisplacedKeys::settle() {
    settled_ = true;
    reports_.clear();
}

void MisplacedKeys::record(const std::string& store,
                           const std::vector<MisplacedKeysOfPartition>& partitions) {
    if (settled_) return;
    stores_told_.insert(store);
    for (const MisplacedKeysOfPartition& told : partitions)
        reports_[told.partition] = {store, {told.keys.begin(), told.keys.end()}};
    const std::vector<const Report*> reports = currentReports();
    const bool is_complete = reports.size() == placement_.partitionCount() && allStoresTold();
    const bool has_none = std::all_of(reports.begin(), reports.end(),
                                      [](const Report* report) { return report->keys.empty(); });
    if (is_complete && has_none) settle();
}

std::vector<const MisplacedKeys::Report*> MisplacedKeys::currentReports() const {
    std::vector<const Report*> reports;
    for (const auto& [partition, report] : reports_) {
        const StoreMember* const owner = placement_.ownerOf(partition);
        if (owner != nullptr && owner->member.name == report.owner) reports.push_back(&report);
    }
    return reports;
}

bool MisplacedKeys::allStoresTold() const {
    if (placement_.view() == nullptr) return false;
    const std::vector<StoreMember>& stores = placement_.view()->stores;
    return std::all_of(stores.begin(), stores.end(), [this](const StoreMember& store) {
        return !store.alive || stores_told_.contains(store.member.name);
    });
}

bool MisplacedKeys::isMisplaced(const QueueItem& item) const {
    return item.isInOrderQueue() && !placement_.isPartitionOfKey(item.partition, item.order_key);
}

bool MisplacedKeys::holdsBack(const QueueItem& item) const {
    if (settled_ || !item.ordered || !item.isInOrderQueue() || isMisplaced(item)) return false;
    const std::vector<const Report*> reports = currentReports();
    return reports.size() < placement_.partitionCount() ||
           std::any_of(reports.begin(), reports.end(),
                       [&item](const Report* report) { return report->keys.contains(item.order_key); });
}

std::size_t MisplacedKeys::size() const {
    std::size_t keys = 0;
    for (const auto& [partition, report] : reports_) keys += report.keys.size();
    return keys;
}

}  // namespace amberswitch::cluster::storage
