#include "cluster/storage/edge_watch.hpp"

#include <set>
#include <tuple>
#include <utility>

#include "cluster/common/codec.hpp"

namespace amberswitch::cluster::storage {

namespace {

constexpr Millis kAskTimeout{400};
// An edge that holds grants sends a heartbeat each kEdgeHeartbeatInterval; this much later it is asked.
constexpr Millis kAskSlack{200};
// An attempt younger than this may not be in the edge's list yet.
constexpr Millis kListedAfter{300};
// A report may still be under way for this long after an edge's list first lacked the attempt.
constexpr Millis kMissingFor{800};
// Answers to accepts that a restarted edge cannot have been told before its restart are younger than this.
constexpr Millis kNewestAtRestart{300};

}  // namespace

EdgeWatch::EdgeWatch(Transport& transport, OwnedPartitions& owned, GrantBook& book, Outcomes& outcomes,
                     Granter& granter, const StoreClock& clock, std::string self)
    : transport_(transport),
      owned_(owned),
      book_(book),
      outcomes_(outcomes),
      granter_(granter),
      clock_(clock),
      self_(std::move(self)) {}

void EdgeWatch::heard(const std::string& name, const NodeAddress& address) {
    Edge* const known = book_.edges.find(name);
    const bool was_usable = known != nullptr && known->usable;
    book_.edges.heard(name, address, clock_.now());
    if (!was_usable) granter_.schedule();
}

void EdgeWatch::onSync(const EdgeSync& sync) {
    Edge& edge = book_.edges.heard(sync.edge, sync.edge_address, clock_.now());
    const bool restarted = edge.incarnation != 0 && edge.incarnation != sync.incarnation;
    edge.incarnation = sync.incarnation;
    edge.zone = sync.zone;
    edge.leaving = sync.leaving;
    if (sync.next_sync_within_ms > 0) edge.heartbeat = Millis(sync.next_sync_within_ms);
    edge.synced_epoch = sync.view_epoch;
    edge.running = sync.running;
    for (const RunningAttempt& running : sync.running) granter_.adoptRunning(sync.edge, running, false);
    takeBackMissing(edge, sync, restarted);
    settleWherePossible();
    granter_.schedule();
}

void EdgeWatch::takeBackMissing(Edge& edge, const EdgeSync& sync, bool restarted) {
    using Name = std::tuple<PartitionId, MessageId, AttemptId>;
    std::set<Name> listed;
    for (const RunningAttempt& running : sync.running) {
        listed.emplace(running.partition, running.id, AttemptId{running.epoch, running.attempt});
    }
    std::vector<QueueItem*> lost;
    for (QueueItem* item : edge.grants) {
        if (listed.contains({item->partition, item->id, item->grant->id})) continue;
        if (lostAt(*item, restarted)) {
            lost.push_back(item);
        } else if (!item->grant->missing_since && item->grant->granted + kListedAfter < clock_.now()) {
            item->grant->missing_since = clock_.now();
        }
    }
    book_.counters.missing_at_edge += lost.size();
    for (QueueItem* item : lost) takeBack(*item);
}

bool EdgeWatch::lostAt(const QueueItem& item, bool restarted) const {
    const SteadyTime now = clock_.now();
    if (restarted) return item.grant->granted + kNewestAtRestart < now;
    return item.grant->missing_since && *item.grant->missing_since + kMissingFor <= now;
}

void EdgeWatch::takeBack(QueueItem& item) {
    if (OwnedPartition* const owned = findOwned(owned_, item.partition)) {
        outcomes_.giveBack(*owned, item, DestinationSign::nothing);
    }
}

void EdgeWatch::takeBackUnanswered(Edge& edge, SteadyTime asked) {
    std::vector<QueueItem*> items;
    for (QueueItem* const item : edge.grants) {
        if (item->grant->granted <= asked) items.push_back(item);
    }
    book_.counters.edge_gone += items.size();
    for (QueueItem* const item : items) takeBack(*item);
    if (!items.empty()) granter_.schedule();
}

void EdgeWatch::takeBackExpired(Edge& edge) {
    const SteadyTime now = clock_.now();
    std::vector<QueueItem*> expired;
    for (QueueItem* item : edge.grants) {
        const bool unclaimed = edge.name == kUnknownEdge && item->grant->missing_since &&
                               *item->grant->missing_since + kMissingFor <= now;
        if (unclaimed || item->grant->expiry <= now) expired.push_back(item);
    }
    book_.counters.expired += expired.size();
    for (QueueItem* item : expired) takeBack(*item);
    if (!expired.empty()) granter_.schedule();
}

void EdgeWatch::onActive(OwnedPartition& owned, const std::vector<RunningAttempt>& running) {
    for (const RunningAttempt& attempt : running) {
        if (attempt.partition == owned.id) granter_.adoptRunning(kUnknownEdge, attempt, true);
    }
    book_.edges.forEach([&](Edge& edge) {
        if (edge.synced_epoch < owned.epoch) return;
        for (const RunningAttempt& attempt : edge.running) {
            if (attempt.partition == owned.id) granter_.adoptRunning(edge.name, attempt, false);
        }
    });
    settleWherePossible();
}

void EdgeWatch::settleWherePossible() {
    const SteadyTime now = clock_.now();
    for (auto& [partition, owned] : owned_) {
        if (!owned->active || owned->settled) continue;
        const bool told = book_.edges.allSynced(owned->epoch, expected_edges_, now);
        if (!told && now < owned->settle_by) continue;
        owned->settled = true;
        owned->queue.forEach([now](QueueItem& item) {
            if (item.grant && item.grant->edge == kUnknownEdge) item.grant->missing_since = now;
        });
        owned->queue.settle();
        granter_.schedule();
    }
}

void EdgeWatch::tick() {
    book_.edges.forEach([this](Edge& edge) { checkEdge(edge); });
    settleWherePossible();
    book_.edges.forgetSilent(clock_.now());
}

void EdgeWatch::checkEdge(Edge& edge) {
    takeBackExpired(edge);
    if (edge.name == kUnknownEdge || edge.grants.empty()) return;
    if (edge.asked) return;
    const bool kept_promise = edge.heard + kEdgeHeartbeatInterval + kAskSlack >= clock_.now();
    if (edge.usable && kept_promise) return;
    ask(edge);
}

void EdgeWatch::ask(Edge& edge) {
    edge.asked = clock_.now();
    GrantPush nothing;
    nothing.store = self_;
    nothing.edge_incarnation = edge.incarnation;
    transport_.call(edge.address, envelope(MessageKind::grant_push, nothing), kAskTimeout,
                    [this, name = edge.name](const CallResult& result) { onAnswer(name, result); });
}

void EdgeWatch::onAnswer(const std::string& name, const CallResult& result) {
    Edge* const edge = book_.edges.find(name);
    if (edge == nullptr || !edge->asked) return;
    const SteadyTime asked = *std::exchange(edge->asked, std::nullopt);
    if (result.verdict == CallStatus::answered) {
        const auto reply = decode<GrantPushReply>(result.reply.body);
        // A new process tells itself, with its first edge_sync, what it does not run.
        if (reply && !reply->edge_restarted) heard(name, edge->address);
    } else if (edge->heard <= asked) {
        edge->usable = false;
        takeBackUnanswered(*edge, asked);
    }
    granter_.schedule();
}

}  // namespace amberswitch::cluster::storage
