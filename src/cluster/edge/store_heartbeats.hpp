// Sends every live store the attempts that run on this edge: immediately for each new view, and periodically
// as a heartbeat (edge_heartbeat.hpp).
#pragma once

#include <functional>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/edge/deliveries.hpp"
#include "cluster/edge/partition_map.hpp"

namespace amberswitch::cluster {

class StoreHeartbeats {
public:
    StoreHeartbeats(Scheduler& scheduler, Transport& transport, PartitionMap& partitions,
                    const Deliveries& deliveries, EdgeIdentity self);

    void start();
    void onView();
    // From now on, each sync tells the stores to grant nothing more to this edge.
    void leave();

private:
    void syncAll();
    // Probes the suspected stores to find out whether they answer again.
    void syncSuspected();
    EdgeSync makeSync() const;
    Envelope syncFor(const StoreMember& store, EdgeSync sync) const;
    bool isFar(const StoreMember& store) const;
    bool skipsThisHeartbeat(const StoreMember& store) const;
    // The longest time until the store gets its next sync.
    Millis nextSyncWithin(const StoreMember& store) const;
    // Whether a message of one of the store's partitions runs here.
    bool hasRunsFor(const StoreMember& store, const EdgeSync& sync) const;
    void send(const NodeAddress& store, const Envelope& request);

    Scheduler& scheduler_;
    Transport& transport_;
    PartitionMap& partitions_;
    const Deliveries& deliveries_;
    EdgeIdentity self_;
    bool leaving_ = false;
    std::int64_t heartbeat_count_ = 0;
    TimerHandle heartbeat_timer_;
    TimerHandle probe_timer_;
};

}  // namespace amberswitch::cluster
