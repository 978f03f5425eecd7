#include "cluster/storage/granter.hpp"

#include <algorithm>

#include "cluster/common/callback_plan.hpp"
#include "cluster/common/codec.hpp"
#include "cluster/common/invariant.hpp"

namespace amberswitch::cluster::storage {

namespace {

constexpr Millis kPushTimeout{1000};
constexpr std::size_t kMaxBytesPerPush = 1u << 20;
constexpr Millis kMinSleep{1};
constexpr Millis kCallbackTimeout{5000};

}  // namespace

Granter::Granter(Scheduler& scheduler, Transport& transport, OwnedPartitions& owned, GrantTable& grants,
                 OutcomeHandler& outcomes, Replica& replica, const QueueItemFactory& items, std::string self)
    : scheduler_(scheduler),
      transport_(transport),
      owned_(owned),
      grants_(grants),
      outcomes_(outcomes),
      replica_(replica),
      items_(items),
      self_(std::move(self)) {}

std::optional<AttemptId> Granter::grantAtAccept(OwnedPartition& owned, QueueItem& item,
                                                const std::string& edge) {
    const SteadyTime now = scheduler_.now();
    if (stopped_ || !owned.queue.isGrantable(item, now)) return std::nullopt;
    const Edge* const requester = grants_.edges.find(edge);
    if (requester != nullptr && grants_.edges.hasNearerThan(*requester, now)) return std::nullopt;
    if (grants_.ready.hasInTime(item.service, now) || !grants_.limiter.mayGrant(item.service, now))
        return std::nullopt;
    const AttemptId id{owned.epoch, ++last_attempt_};
    grants_.addGrant(owned, item, edge, id, now, items_.timeoutOf(item));
    ++grants_.counters.granted_at_accept;
    return id;
}

void Granter::adoptRunning(const std::string& edge, const RunningAttempt& running, bool uncounted) {
    OwnedPartition* const owned = findActive(owned_, running.partition);
    QueueItem* const item = owned == nullptr ? nullptr : owned->queue.find(running.id);
    if (item == nullptr || item->callback != running.callback) return;
    const AttemptId id{running.epoch, running.attempt};
    const SteadyTime now = scheduler_.now();
    const Millis timeout = item->callback ? kCallbackTimeout : items_.timeoutOf(*item);
    if (item->grant) {
        if (item->grant->id != id) return;
        if (edge == kUnknownEdge) return;
        if (item->grant->edge != edge) grants_.reassign(*item, edge);
        item->grant->missing_since.reset();
        item->grant->expiry = std::max(item->grant->expiry, now + kGrantExpiryMargin);
        return;
    }
    if (item->state == ItemState::storing) return;
    grants_.adopt(*owned, *item, edge, id, now, timeout, uncounted);
}

void Granter::schedule() {
    if (std::exchange(scheduled_, true)) return;
    scheduler_.post([this] {
        scheduled_ = false;
        grantReady();
    });
}

void Granter::grantReady() {
    if (stopped_) return;
    const SteadyTime now = scheduler_.now();
    for (auto& [partition, owned] : owned_) {
        if (owned->active) owned->queue.collectReady(now);
    }
    Pushes pushes;
    for (const std::string& service : grants_.ready.services(now)) grantService(service, pushes);
    for (auto& [edge, batches] : pushes) {
        for (Push& push : batches) send(edge, std::move(push.message));
    }
    scheduleWakeUp();
}

void Granter::grantService(const std::string& service, Pushes& pushes) {
    const SteadyTime now = scheduler_.now();
    while (QueueItem* const item = grants_.ready.head(service, now)) {
        if (!grants_.limiter.mayGrant(service, now)) return;
        Edge* const edge = chooseEdge(*item, now);
        if (edge == nullptr) return;
        if (!grantTo(*edge, *item, pushes)) return;
    }
}

Edge* Granter::chooseEdge(const QueueItem& item, SteadyTime now) {
    if (item.callback) return chooseForCallback(item.service, now);
    if (grants_.limiter.isEndpoint(item.service))
        return grants_.edges.chooseForDestination(item.service, now);
    return grants_.edges.choose(now);
}

Edge* Granter::chooseForCallback(const std::string& receiver, SteadyTime now) {
    const auto known = static_cast<std::uint32_t>(grants_.edges.knownCount());
    const CallbackPlan plan = planCallbacks(known);
    if (plan.all_send) return grants_.edges.choose(now);
    return grants_.edges.chooseSender(receiver, plan.senders, now);
}

bool Granter::grantTo(Edge& edge, QueueItem& item, Pushes& pushes) {
    OwnedPartition* const owned = findOwned(owned_, item.partition);
    auto content = replica_.content(item.partition, item.id);
    if (owned == nullptr || !content) return false;
    Grant grant;
    grant.content = std::move(*content);
    if (item.callback) grant.content.body.clear();
    grant.partition = item.partition;
    grant.epoch = owned->epoch;
    grant.attempt = ++last_attempt_;
    grant.callback = item.callback;
    const auto& message = replica_.messages(item.partition).at(item.id);
    checkInvariant(Invariant::grants_are_open, item.callback == (message.phase != Phase::pending), item.id);
    grant.phase = message.phase;
    grant.stamp = message.stamp;
    if (!item.callback) {
        grant.content.service = item.service;
        grant.content.config_generation = items_.generationFor(grant.content);
    }
    const Millis timeout = item.callback ? kCallbackTimeout : items_.timeoutOf(item);
    grant.timeout_ms = timeout.count();
    grants_.addGrant(*owned, item, edge.name, {grant.epoch, grant.attempt}, scheduler_.now(), timeout);
    ++grants_.counters.granted_by_push;
    std::vector<Push>& batches = pushes[edge.name];
    if (batches.empty() || batches.back().bytes >= kMaxBytesPerPush) batches.emplace_back();
    batches.back().bytes += grant.content.body.size();
    batches.back().message.grants.push_back(std::move(grant));
    return true;
}

void Granter::send(const std::string& edge, GrantPush push) {
    const Edge* const to = grants_.edges.find(edge);
    std::vector<RunningAttempt> sent;
    for (const Grant& grant : push.grants) {
        sent.push_back({grant.partition, grant.content.id, grant.attempt, grant.epoch, grant.callback});
    }
    push.store = self_;
    push.edge_incarnation = to->incarnation;
    transport_.call(
        to->address, envelope(MessageKind::grant_push, push), kPushTimeout,
        [this, edge, sent = std::move(sent)](const CallResult& result) { onPushResult(edge, sent, result); });
}

void Granter::onPushResult(const std::string& edge, const std::vector<RunningAttempt>& sent,
                           const CallResult& result) {
    if (result.verdict == CallStatus::answered) {
        const auto reply = decode<GrantPushReply>(result.reply.body);
        if (!reply || reply->accepted.size() != sent.size()) return;
        if (Edge* const pushed = grants_.edges.find(edge)) {
            // Another process now runs at that address: no more grants until it makes contact.
            if (reply->edge_restarted) pushed->usable = false;
            if (!reply->edge_restarted) pushed->last_contact = scheduler_.now();
        }
        for (std::size_t i = 0; i < sent.size(); ++i) {
            if (!reply->accepted[i]) requeue(sent[i]);
        }
        schedule();
        return;
    }
    if (Edge* const pushed = grants_.edges.find(edge)) pushed->usable = false;
    if (result.verdict != CallStatus::not_executed) return;
    for (const RunningAttempt& attempt : sent) requeue(attempt);
    schedule();
}

void Granter::requeue(const RunningAttempt& attempt) {
    OwnedPartition* const owned = findActive(owned_, attempt.partition);
    QueueItem* const item = owned == nullptr ? nullptr : owned->queue.find(attempt.id);
    if (item == nullptr || !item->grant) return;
    if (item->grant->id != AttemptId{attempt.epoch, attempt.attempt}) return;
    ++grants_.counters.push_refused;
    outcomes_.requeue(*owned, *item, DestinationStatus::unknown);
}

void Granter::scheduleWakeUp() {
    const SteadyTime now = scheduler_.now();
    std::optional<SteadyTime> next;
    const auto consider = [&next](std::optional<SteadyTime> when) {
        if (when && (!next || *when < *next)) next = when;
    };
    for (const auto& [partition, owned] : owned_) {
        if (owned->active) consider(owned->queue.nextDue());
    }
    // Where only an edge is missing, the next contact of an edge schedules the next pass.
    for (const std::string& service : grants_.ready.services(now)) {
        const auto allowed = grants_.limiter.nextAllowedTime(service, now);
        if (allowed && *allowed > now) consider(allowed);
    }
    if (next == wake_up_at_) return;
    wake_up_at_ = next;
    wake_up_.reset();
    if (!next) return;
    const Millis sleep = std::max(kMinSleep, std::chrono::ceil<Millis>(*next - now));
    wake_up_ = scheduler_.after(sleep, [this] {
        wake_up_at_.reset();
        grantReady();
    });
}

}  // namespace amberswitch::cluster::storage
