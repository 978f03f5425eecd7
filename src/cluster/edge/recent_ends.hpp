// Ends that an owner took a short while ago. An owner that dies may not have told its replicas yet; its
// successor then hears of them again before it grants, so that what succeeded is not run a second time.
#pragma once

#include <deque>
#include <vector>

#include "cluster/common/messages.hpp"
#include "cluster/edge/partition_map.hpp"

namespace amberswitch::cluster {

struct RecentEnd {
    RunResult result;  // completed or rejected
    bool callback_taken = false;
    NodeAddress owner;  // that took it
    Incarnation owner_incarnation = 0;
    SteadyTime taken_at{};
};

class RecentEnds {
public:
    // The end as the present owner of its partition took it.
    void add(const RunResult& result, const PartitionMap& partitions, SteadyTime now);
    // The call-back of that message was taken, too.
    void callbackTaken(PartitionId partition, const MessageId& id);
    // Removes and returns those whose partition now has another owner, or its owner another incarnation.
    std::vector<RecentEnd> takeOrphans(const PartitionMap& partitions, SteadyTime now);
    std::size_t size() const { return ends_.size(); }

private:
    void forgetOld(SteadyTime now);

    std::deque<RecentEnd> ends_;  // the oldest first
};

}  // namespace amberswitch::cluster
