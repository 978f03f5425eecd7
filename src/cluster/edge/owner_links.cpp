#include "cluster/edge/owner_links.hpp"

#include <utility>

#include "cluster/common/codec.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kHeartbeat{1000};
constexpr Millis kCallTimeout{500};

}  // namespace

OwnerLinks::OwnerLinks(Scheduler& scheduler, Transport& transport, const PartitionMap& partitions,
                       const Deliveries& deliveries, EdgeIdentity self)
    : scheduler_(scheduler),
      transport_(transport),
      partitions_(partitions),
      deliveries_(deliveries),
      self_(std::move(self)) {}

void OwnerLinks::start() {
    syncAll();
}

void OwnerLinks::leave() {
    leaving_ = true;
    syncAll();
}

void OwnerLinks::syncAll() {
    heartbeat_ = scheduler_.after(kHeartbeat, [this] { syncAll(); });
    EdgeSync sync;
    sync.edge = self_.name;
    sync.zone = self_.zone;
    sync.edge_address = self_.address;
    sync.incarnation = self_.incarnation;
    sync.view_epoch = partitions_.epoch();
    sync.leaving = leaving_;
    sync.running = deliveries_.attempts();
    const Envelope request = envelope(MessageKind::edge_sync, sync);
    for (const StoreMember* const store : partitions_.aliveStores()) {
        transport_.call(store->member.address, request, kCallTimeout, [](const CallResult&) {});
    }
}

}  // namespace amberswitch::cluster
