// Order keys that have unfinished messages outside their own partition. Older versions placed a key by the
// route at the accept, and what they stored stays where it is until it has ended. Ordered messages that
// arrive in the key's own partition wait for those. A store of this version accepts no message outside its
// key's partition, so what the present owners report is complete, and a partition that has none left keeps
// none under such owners.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/storage/placement.hpp"
#include "cluster/storage/queue_item.hpp"

namespace amberswitch::cluster::storage {

class MisplacedKeys {
public:
    explicit MisplacedKeys(const Placement& placement) : placement_(placement) {}

    // No partition holds a misplaced message; final.
    void settle();
    bool isSettled() const { return settled_; }
    // What a store tells of the partitions that it owns. Settles once all owners and all other live stores
    // have told, and no partition has any key.
    void record(const std::string& store, const std::vector<MisplacedKeysOfPartition>& partitions);
    // Whether the item is an ordered message in its key's own partition, and the owner of another partition
    // has unfinished messages of its key or has not told yet.
    bool holdsBack(const QueueItem& item) const;
    // Whether the item has an order key and lies outside the key's own partition.
    bool isMisplaced(const QueueItem& item) const;
    // The number of keys that are known to have misplaced messages; a key counts once per partition.
    std::size_t size() const;

private:
    struct Report {
        std::string owner;  // that made it
        std::set<std::string> keys;
    };

    // The newest report of each partition by its owner in the current view. Where the owner has changed, the
    // new one has to tell: it may be a store of an older version.
    std::vector<const Report*> currentReports() const;
    bool allStoresTold() const;

    const Placement& placement_;
    bool settled_ = false;
    std::map<PartitionId, Report> reports_;
    std::set<std::string> stores_told_;
};

}  // namespace amberswitch::cluster::storage
