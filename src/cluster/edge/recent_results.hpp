// Results that an owner acknowledged recently. An owner that dies may not have replicated them yet; they are
// then reported again to its successor before that grants, so that a message that succeeded is not run a
// second time.
#pragma once

#include <deque>
#include <vector>

#include "cluster/common/messages.hpp"
#include "cluster/edge/partition_map.hpp"

namespace amberswitch::cluster {

struct RecentResult {
    RunResult result;  // outcome is completed or rejected
    bool callback_delivered = false;
    NodeAddress owner;  // the store that acknowledged the result
    Incarnation owner_incarnation = 0;
    SteadyTime acknowledged_at{};
};

class RecentResults {
public:
    // Adds a result that the current owner of its partition acknowledged.
    void add(const RunResult& result, const PartitionMap& partitions, SteadyTime now);
    // Records that the call-back of the message was delivered as well.
    void markCallbackDelivered(PartitionId partition, const MessageId& id);
    // Removes and returns the results whose partition now has another owner or whose owner has another
    // incarnation.
    std::vector<RecentResult> takeOrphaned(const PartitionMap& partitions, SteadyTime now);
    std::size_t size() const { return results_.size(); }

private:
    void removeExpired(SteadyTime now);

    std::deque<RecentResult> results_;  // oldest first
};

}  // namespace amberswitch::cluster
