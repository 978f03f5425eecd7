// Asks the other stores which order keys have messages outside their own partition, until no store has any. A
// store of an older version does not answer, so ordered messages wait while it owns a partition.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "cluster/common/transport.hpp"
#include "cluster/storage/misplaced_keys.hpp"
#include "cluster/storage/owned_partition.hpp"

namespace amberswitch::cluster::storage {

class MisplacedKeySurvey {
public:
    // `on_change` runs after each change of `keys` that may let messages run; only tick() and the answers of
    // other stores change them.
    MisplacedKeySurvey(Transport& transport, const Placement& placement, const OwnedPartitions& owned,
                       MisplacedKeys& keys, std::function<void()> on_change)
        : transport_(transport),
          placement_(placement),
          owned_(owned),
          keys_(keys),
          on_change_(std::move(on_change)) {}

    // Looks at the own partitions and asks the other stores, unless all is settled. Call about every 100 ms.
    void tick();
    // What this store knows of the partitions that it owns, as of the last tick().
    MisplacedKeysReply answer() const;

private:
    std::vector<MisplacedKeysOfPartition> lookAtOwn() const;
    void ask(const StoreMember& store);
    void onReply(const std::string& store, const MisplacedKeysReply& reply);

    Transport& transport_;
    const Placement& placement_;
    const OwnedPartitions& owned_;
    MisplacedKeys& keys_;
    std::function<void()> on_change_;
    std::vector<MisplacedKeysOfPartition> own_;
    std::set<std::string> asked_;  // stores that have not answered yet
};

}  // namespace amberswitch::cluster::storage
