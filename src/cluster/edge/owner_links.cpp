#include "cluster/edge/owner_links.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/edge_heartbeat.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kProbe{100};
constexpr Millis kCallTimeout{500};

}  // namespace

OwnerLinks::OwnerLinks(Scheduler& scheduler, Transport& transport, PartitionMap& partitions,
                       const Deliveries& deliveries, EdgeIdentity self)
    : scheduler_(scheduler),
      transport_(transport),
      partitions_(partitions),
      deliveries_(deliveries),
      self_(std::move(self)) {}

void OwnerLinks::start() {
    syncAll();
    syncSuspected();
}

void OwnerLinks::onView() {
    heartbeats_ = 0;  // every store is to hear of the new view
    syncAll();
}

void OwnerLinks::leave() {
    leaving_ = true;
    syncAll();
}

EdgeSync OwnerLinks::describe() const {
    EdgeSync sync;
    sync.edge = self_.name;
    sync.zone = self_.zone;
    sync.edge_address = self_.address;
    sync.incarnation = self_.incarnation;
    sync.view_epoch = partitions_.epoch();
    sync.leaving = leaving_;
    sync.running = deliveries_.attempts();
    sync.next_sync_within_ms = kEdgeHeartbeatInterval.count();
    return sync;
}

void OwnerLinks::syncAll() {
    heartbeat_ = scheduler_.after(kEdgeHeartbeatInterval, [this] { syncAll(); });
    const EdgeSync sync = describe();
    const Envelope to_near = envelope(MessageKind::edge_sync, sync);
    for (const StoreMember* const store : partitions_.aliveStores()) {
        if (restsNow(*store) && !runsFor(*store, sync)) continue;
        send(store->member.address, isFar(*store) ? syncFor(*store, sync) : to_near);
    }
    ++heartbeats_;
}

Envelope OwnerLinks::syncFor(const StoreMember& store, EdgeSync sync) const {
    sync.next_sync_within_ms = nextWithin(store).count();
    return envelope(MessageKind::edge_sync, sync);
}

bool OwnerLinks::isFar(const StoreMember& store) const {
    return partitions_.distanceTo(store) == Distance::other_region;
}

// Stores of other regions give their runs to nearer dispatchers while there are any.
bool OwnerLinks::restsNow(const StoreMember& store) const {
    return isFar(store) && !leaving_ && heartbeats_ % kRemoteIdleHeartbeatFactor != 0;
}

Millis OwnerLinks::nextWithin(const StoreMember& store) const {
    return isFar(store) ? kRemoteIdleHeartbeatFactor * kEdgeHeartbeatInterval : kEdgeHeartbeatInterval;
}

bool OwnerLinks::runsFor(const StoreMember& store, const EdgeSync& sync) const {
    return std::any_of(sync.running.begin(), sync.running.end(), [&](const RunningAttempt& running) {
        return partitions_.owner(running.partition) == &store;
    });
}

void OwnerLinks::syncSuspected() {
    probe_ = scheduler_.after(kProbe, [this] { syncSuspected(); });
    for (const StoreMember* const store : partitions_.aliveStores()) {
        const NodeAddress& address = store->member.address;
        if (partitions_.suspected(address)) send(address, syncFor(*store, describe()));
    }
}

void OwnerLinks::send(const NodeAddress& store, const Envelope& request) {
    transport_.call(store, request, kCallTimeout, [this, store](const CallResult& result) {
        if (result.verdict == CallStatus::answered) partitions_.trust(store);
    });
}

}  // namespace amberswitch::cluster
