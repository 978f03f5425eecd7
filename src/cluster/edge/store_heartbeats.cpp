#include "cluster/edge/store_heartbeats.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/edge_heartbeat.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kProbeInterval{100};
constexpr Millis kCallTimeout{500};

}  // namespace

StoreHeartbeats::StoreHeartbeats(Scheduler& scheduler, Transport& transport, PartitionMap& partitions,
                                 const Deliveries& deliveries, EdgeIdentity self)
    : scheduler_(scheduler),
      transport_(transport),
      partitions_(partitions),
      deliveries_(deliveries),
      self_(std::move(self)) {}

void StoreHeartbeats::start() {
    syncAll();
    syncSuspected();
}

void StoreHeartbeats::onView() {
    heartbeat_count_ = 0;  // so that every store learns of the new view
    syncAll();
}

void StoreHeartbeats::leave() {
    leaving_ = true;
    syncAll();
}

EdgeSync StoreHeartbeats::makeSync() const {
    EdgeSync sync;
    sync.edge = self_.name;
    sync.zone = self_.zone;
    sync.edge_address = self_.address;
    sync.incarnation = self_.incarnation;
    sync.view_epoch = partitions_.epoch();
    sync.leaving = leaving_;
    sync.running = deliveries_.runningAttempts();
    sync.next_sync_within_ms = kEdgeHeartbeatInterval.count();
    return sync;
}

void StoreHeartbeats::syncAll() {
    heartbeat_timer_ = scheduler_.after(kEdgeHeartbeatInterval, [this] { syncAll(); });
    const EdgeSync sync = makeSync();
    const Envelope near_request = envelope(MessageKind::edge_sync, sync);
    for (const StoreMember* const store : partitions_.aliveStores()) {
        if (skipsThisHeartbeat(*store) && !hasRunsFor(*store, sync)) continue;
        send(store->member.address, isFar(*store) ? syncFor(*store, sync) : near_request);
    }
    ++heartbeat_count_;
}

Envelope StoreHeartbeats::syncFor(const StoreMember& store, EdgeSync sync) const {
    sync.next_sync_within_ms = nextSyncWithin(store).count();
    return envelope(MessageKind::edge_sync, sync);
}

bool StoreHeartbeats::isFar(const StoreMember& store) const {
    return partitions_.distanceTo(store) == Distance::other_region;
}

// Stores of other regions grant to nearer edges as long as there are any, so they need fewer heartbeats.
bool StoreHeartbeats::skipsThisHeartbeat(const StoreMember& store) const {
    return isFar(store) && !leaving_ && heartbeat_count_ % kRemoteIdleHeartbeatFactor != 0;
}

Millis StoreHeartbeats::nextSyncWithin(const StoreMember& store) const {
    return isFar(store) ? kRemoteIdleHeartbeatFactor * kEdgeHeartbeatInterval : kEdgeHeartbeatInterval;
}

bool StoreHeartbeats::hasRunsFor(const StoreMember& store, const EdgeSync& sync) const {
    return std::any_of(sync.running.begin(), sync.running.end(), [&](const RunningAttempt& running) {
        return partitions_.owner(running.partition) == &store;
    });
}

void StoreHeartbeats::syncSuspected() {
    probe_timer_ = scheduler_.after(kProbeInterval, [this] { syncSuspected(); });
    for (const StoreMember* const store : partitions_.aliveStores()) {
        const NodeAddress& address = store->member.address;
        if (partitions_.isSuspected(address)) send(address, syncFor(*store, makeSync()));
    }
}

void StoreHeartbeats::send(const NodeAddress& store, const Envelope& request) {
    transport_.call(store, request, kCallTimeout, [this, store](const CallResult& result) {
        if (result.verdict == CallStatus::answered) partitions_.clearSuspicion(store);
    });
}

}  // namespace amberswitch::cluster
