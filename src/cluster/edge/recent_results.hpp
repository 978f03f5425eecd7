// Ends that an owner took a short while ago. An owner that dies may not have told its replicas yet; its
// successor then hears of them again before it grants, so that what succeeded is not run a second time.
#pragma once

#include <deque>
#include <vector>

#include "cluster/common/messages.hpp"
#include "cluster/edge/partition_map.hpp"

namespace amberswitch::cluster {

struct RecentResult {
    RunResult result;  // completed or rejected
    bool callback_delivered = false;
    NodeAddress owner;  // that took it
    Incarnation owner_incarnation = 0;
    SteadyTime acknowledged_at{};
};

class RecentResults {
public:
    // The end as the present owner of its partition took it.
    void add(const RunResult& result, const PartitionMap& partitions, SteadyTime now);
    // The call-back of that message was taken, too.
    void markCallbackDelivered(PartitionId partition, const MessageId& id);
    // Removes and returns those whose partition now has another owner, or its owner another incarnation.
    std::vector<RecentResult> takeOrphaned(const PartitionMap& partitions, SteadyTime now);
    std::size_t size() const { return results_.size(); }

private:
    void removeExpired(SteadyTime now);

    std::deque<RecentResult> results_;  // the oldest first
};

}  // namespace amberswitch::cluster
