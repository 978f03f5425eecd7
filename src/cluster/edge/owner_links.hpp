// Tells every live store what this edge runs: at once for each new view, and every second as a heartbeat.
#pragma once

#include <functional>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/edge/deliveries.hpp"
#include "cluster/edge/partition_map.hpp"

namespace amberswitch::cluster {

class OwnerLinks {
public:
    OwnerLinks(Scheduler& scheduler, Transport& transport, const PartitionMap& partitions,
               const Deliveries& deliveries, EdgeIdentity self);

    void start();
    void onView() { syncAll(); }
    // From now on each sync says that nothing more is to be granted to this edge.
    void leave();

private:
    void syncAll();

    Scheduler& scheduler_;
    Transport& transport_;
    const PartitionMap& partitions_;
    const Deliveries& deliveries_;
    EdgeIdentity self_;
    bool leaving_ = false;
    TimerHandle heartbeat_;
};

}  // namespace amberswitch::cluster
