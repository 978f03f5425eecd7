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
    OwnerLinks(Scheduler& scheduler, Transport& transport, PartitionMap& partitions,
               const Deliveries& deliveries, EdgeIdentity self);

    void start();
    void onView() { syncAll(); }
    // From now on each sync says that nothing more is to be granted to this edge.
    void leave();

private:
    void syncAll();
    // Asks the stores that did not answer lately whether they are back.
    void syncSuspected();
    EdgeSync describe() const;
    void send(const NodeAddress& store, const Envelope& request);

    Scheduler& scheduler_;
    Transport& transport_;
    PartitionMap& partitions_;
    const Deliveries& deliveries_;
    EdgeIdentity self_;
    bool leaving_ = false;
    TimerHandle heartbeat_;
    TimerHandle probe_;
};

}  // namespace amberswitch::cluster
