// Order keys that have unfinished messages outside their own partition. Older versions placed a key by the
// route at the accept, and what they stored stays where it is until it has ended. Messages that arrive in the
// key's own partition wait for those. What is known here only ever improves: no store accepts a message
// outside its key's partition any more, so once a partition has none left it never has one again.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "cluster/storage/placement.hpp"
#include "cluster/storage/queue_item.hpp"

namespace amberswitch::cluster::storage {

class MisplacedKeys {
public:
    explicit MisplacedKeys(const Placement& placement) : placement_(placement) {}

    // No partition holds a misplaced message; final.
    void settle();
    bool isSettled() const { return settled_; }
    // The owner of the partition holds unfinished misplaced messages of these keys. Reports may be repeated.
    void report(PartitionId partition, std::set<std::string> keys);
    // Whether the partition is known to hold no misplaced message.
    bool isClear(PartitionId partition) const;
    // Whether the item is an ordered message in its key's own partition, and the owner of another partition
    // has unfinished messages of its key or has not reported yet.
    bool holdsBack(const QueueItem& item) const;
    // Whether the item itself has an order key and lies outside the key's own partition.
    bool isMisplaced(const QueueItem& item) const;
    // The number of keys that are known to have misplaced messages; a key counts once per partition.
    std::size_t size() const;

private:
    bool allReported() const;

    const Placement& placement_;
    bool settled_ = false;
    std::map<PartitionId, std::set<std::string>> reported_;
};

}  // namespace amberswitch::cluster::storage
