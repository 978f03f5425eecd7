// Tells owners how runs ended. Results are kept until the owner of the partition, by the newest view, has
// taken them. At most one call to an owner is open; what comes meanwhile forms the next one.
#pragma once

#include <deque>
#include <functional>
#include <set>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/edge/counters.hpp"
#include "cluster/edge/partition_map.hpp"

namespace amberswitch::cluster {

class RunReports {
public:
    using MaySend = std::function<bool(const RunResult&)>;
    using Taken = std::function<void(const RunResult&)>;

    // `edge` and `address` name this edge in each report; `taken` is told of every result that an owner took.
    // A result that `may_send` rejects waits until it no longer does.
    RunReports(Scheduler& scheduler, Transport& transport, const PartitionMap& partitions,
               EdgeCounters& counters, std::string edge, NodeAddress address, MaySend may_send, Taken taken);

    void add(RunResult result);
    // A newer view: results that waited for an owner go out at once.
    void onView();
    // Results that no owner has taken yet.
    std::size_t pending() const { return waiting_.size() + in_flight_; }

private:
    struct Waiting {
        RunResult result;
        SteadyTime not_before{};
    };

    void flush();
    void send(const NodeAddress& owner, std::vector<RunResult> batch);
    void settle(const NodeAddress& owner, std::vector<RunResult> batch, const CallResult& result);
    void armRetry();

    Scheduler& scheduler_;
    Transport& transport_;
    const PartitionMap& partitions_;
    EdgeCounters& counters_;
    std::string edge_;
    NodeAddress address_;
    MaySend may_send_;
    Taken taken_;
    std::deque<Waiting> waiting_;
    std::size_t in_flight_ = 0;
    std::set<NodeAddress> busy_;  // owners with an open call
    TimerHandle retry_;
};

}  // namespace amberswitch::cluster
