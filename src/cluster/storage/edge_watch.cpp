#include "cluster/storage/edge_watch.hpp"

#include <set>
#include <tuple>
#include <utility>

#include "cluster/common/codec.hpp"

namespace amberswitch::cluster::storage {

namespace {

constexpr Millis kProbeTimeout{400};
// An edge that holds grants sends a heartbeat each kEdgeHeartbeat; it is probed when one is this much
// overdue.
constexpr Millis kProbeGrace{200};
// An attempt younger than this may not be in the edge's list yet, so its absence is not recorded.
constexpr Millis kMinListedAge{300};
// After an edge's list first lacks an attempt, the attempt's report may still be in transit for this long.
constexpr Millis kMissingGrace{800};
// A grant younger than this at the first edge_sync of a restarted edge may have been given to the new process
// by the answer to an accept, and is not taken as lost.
constexpr Millis kRestartGrace{300};

}  // namespace

EdgeWatch::EdgeWatch(Transport& transport, OwnedPartitions& owned, GrantTable& grants,
                     OutcomeHandler& outcomes, Granter& granter, const StoreClock& clock, std::string self)
    : transport_(transport),
      owned_(owned),
      grants_(grants),
      outcomes_(outcomes),
      granter_(granter),
      clock_(clock),
      self_(std::move(self)) {}

void EdgeWatch::recordContact(const std::string& name, const NodeAddress& address) {
    Edge* const known = grants_.edges.find(name);
    const bool was_usable = known != nullptr && known->usable;
    grants_.edges.recordContact(name, address, clock_.now());
    if (!was_usable) granter_.schedule();
}

void EdgeWatch::onSync(const EdgeSync& sync) {
    Edge& edge = grants_.edges.recordContact(sync.edge, sync.edge_address, clock_.now());
    const bool restarted = edge.incarnation != 0 && edge.incarnation != sync.incarnation;
    edge.incarnation = sync.incarnation;
    edge.zone = sync.zone;
    edge.leaving = sync.leaving;
    if (sync.next_sync_within_ms > 0) edge.heartbeat = Millis(sync.next_sync_within_ms);
    edge.synced_epoch = sync.view_epoch;
    edge.running = sync.running;
    for (const RunningAttempt& running : sync.running) granter_.adoptRunning(sync.edge, running, false);
    reclaimMissing(edge, sync, restarted);
    releaseRecoveredPartitions();
    granter_.schedule();
}

void EdgeWatch::reclaimMissing(Edge& edge, const EdgeSync& sync, bool restarted) {
    using Name = std::tuple<PartitionId, MessageId, AttemptId>;
    std::set<Name> listed;
    for (const RunningAttempt& running : sync.running) {
        listed.emplace(running.partition, running.id, AttemptId{running.epoch, running.attempt});
    }
    std::vector<QueueItem*> lost;
    for (QueueItem* item : edge.grants) {
        if (listed.contains({item->partition, item->id, item->grant->id})) continue;
        if (isLost(*item, restarted)) {
            lost.push_back(item);
        } else if (!item->grant->missing_since && item->grant->granted_at + kMinListedAge < clock_.now()) {
            item->grant->missing_since = clock_.now();
        }
    }
    grants_.counters.missing_at_edge += lost.size();
    for (QueueItem* item : lost) reclaim(*item);
}

bool EdgeWatch::isLost(const QueueItem& item, bool restarted) const {
    const SteadyTime now = clock_.now();
    if (restarted) return item.grant->granted_at + kRestartGrace < now;
    return item.grant->missing_since && *item.grant->missing_since + kMissingGrace <= now;
}

void EdgeWatch::reclaim(QueueItem& item) {
    if (OwnedPartition* const owned = findOwned(owned_, item.partition)) {
        outcomes_.requeue(*owned, item, DestinationStatus::unknown);
    }
}

void EdgeWatch::reclaimUnanswered(Edge& edge, SteadyTime probed) {
    std::vector<QueueItem*> items;
    for (QueueItem* const item : edge.grants) {
        if (item->grant->granted_at <= probed) items.push_back(item);
    }
    grants_.counters.edge_gone += items.size();
    for (QueueItem* const item : items) reclaim(*item);
    if (!items.empty()) granter_.schedule();
}

void EdgeWatch::reclaimExpired(Edge& edge) {
    const SteadyTime now = clock_.now();
    std::vector<QueueItem*> expired;
    for (QueueItem* item : edge.grants) {
        const bool unclaimed = edge.name == kUnknownEdge && item->grant->missing_since &&
                               *item->grant->missing_since + kMissingGrace <= now;
        if (unclaimed || item->grant->expiry <= now) expired.push_back(item);
    }
    grants_.counters.expired += expired.size();
    for (QueueItem* item : expired) reclaim(*item);
    if (!expired.empty()) granter_.schedule();
}

void EdgeWatch::onActive(OwnedPartition& owned, const std::vector<RunningAttempt>& running) {
    for (const RunningAttempt& attempt : running) {
        if (attempt.partition == owned.id) granter_.adoptRunning(kUnknownEdge, attempt, true);
    }
    grants_.edges.forEach([&](Edge& edge) {
        if (edge.synced_epoch < owned.epoch) return;
        for (const RunningAttempt& attempt : edge.running) {
            if (attempt.partition == owned.id) granter_.adoptRunning(edge.name, attempt, false);
        }
    });
    releaseRecoveredPartitions();
}

void EdgeWatch::releaseRecoveredPartitions() {
    const SteadyTime now = clock_.now();
    for (auto& [partition, owned] : owned_) {
        if (!owned->active || owned->recovered_released) continue;
        const bool all_synced = grants_.edges.allSynced(owned->epoch, expected_edges_, now);
        if (!all_synced && now < owned->release_recovered_by) continue;
        owned->recovered_released = true;
        owned->queue.forEach([now](QueueItem& item) {
            if (item.grant && item.grant->edge == kUnknownEdge) item.grant->missing_since = now;
        });
        owned->queue.releaseRecovered();
        granter_.schedule();
    }
}

void EdgeWatch::tick() {
    grants_.edges.forEach([this](Edge& edge) { checkEdge(edge); });
    releaseRecoveredPartitions();
    grants_.edges.forgetSilent(clock_.now());
}

void EdgeWatch::checkEdge(Edge& edge) {
    reclaimExpired(edge);
    if (edge.name == kUnknownEdge || edge.grants.empty()) return;
    if (edge.probed) return;
    const bool heartbeat_in_time = edge.last_contact + kEdgeHeartbeatInterval + kProbeGrace >= clock_.now();
    if (edge.usable && heartbeat_in_time) return;
    probe(edge);
}

void EdgeWatch::probe(Edge& edge) {
    edge.probed = clock_.now();
    GrantPush empty_push;
    empty_push.store = self_;
    empty_push.edge_incarnation = edge.incarnation;
    transport_.call(edge.address, envelope(MessageKind::grant_push, empty_push), kProbeTimeout,
                    [this, name = edge.name](const CallResult& result) { onProbeAnswer(name, result); });
}

void EdgeWatch::onProbeAnswer(const std::string& name, const CallResult& result) {
    Edge* const edge = grants_.edges.find(name);
    if (edge == nullptr || !edge->probed) return;
    const SteadyTime probed = *std::exchange(edge->probed, std::nullopt);
    if (result.verdict == CallStatus::answered) {
        const auto reply = decode<GrantPushReply>(result.reply.body);
        // A new process of the edge lists its running attempts itself, with its first edge_sync.
        if (reply && !reply->edge_restarted) recordContact(name, edge->address);
    } else if (edge->last_contact <= probed) {
        edge->usable = false;
        reclaimUnanswered(*edge, probed);
    }
    granter_.schedule();
}

}  // namespace amberswitch::cluster::storage
