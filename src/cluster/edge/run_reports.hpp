// Reports the results of runs to the owners of partitions. A result is kept until the owner according to the
// newest view has acknowledged it. At most one call per owner is open; results added meanwhile form the next
// batch.
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
    using SendFilter = std::function<bool(const RunResult&)>;
    using AcknowledgedHandler = std::function<void(const RunResult&)>;

    // `edge` and `address` identify this edge in each report; `on_acknowledged` is called for every result
    // that an owner acknowledged. A result stays queued while `may_send` returns false for it.
    RunReports(Scheduler& scheduler, Transport& transport, const PartitionMap& partitions,
               EdgeCounters& counters, std::string edge, NodeAddress address, SendFilter may_send,
               AcknowledgedHandler on_acknowledged);

    void add(RunResult result);
    // Handles a newer view: results that waited for a retry are sent at once.
    void onView();
    // Results that no owner has acknowledged yet.
    std::size_t pending() const { return pending_.size() + in_flight_; }

private:
    struct PendingResult {
        RunResult result;
        SteadyTime not_before{};
    };

    void flush();
    void send(const NodeAddress& owner, std::vector<RunResult> batch);
    void onReply(const NodeAddress& owner, std::vector<RunResult> batch, const CallResult& result);
    void armRetry();

    Scheduler& scheduler_;
    Transport& transport_;
    const PartitionMap& partitions_;
    EdgeCounters& counters_;
    std::string edge_;
    NodeAddress address_;
    SendFilter may_send_;
    AcknowledgedHandler on_acknowledged_;
    std::deque<PendingResult> pending_;
    std::size_t in_flight_ = 0;
    std::set<NodeAddress> busy_owners_;  // owners with an open call
    TimerHandle retry_timer_;
};

}  // namespace amberswitch::cluster
