#include "cluster/storage/outcome_handler.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

namespace {

constexpr Millis kMinBackoff{20};
constexpr Millis kInitialBackoff{200};
constexpr Millis kMaxBackoff{1000};
constexpr Millis kMaxBackoffWhileDown{2000};
constexpr std::uint32_t kMaxBackoffDoublings = 4;
constexpr Millis kCallbackTimeout{5000};

DestinationStatus destinationStatusOf(const RunResult& result) {
    if (result.destination_down) return DestinationStatus::down;
    switch (result.outcome) {
        case RunOutcome::not_run:
        case RunOutcome::unknown:
        case RunOutcome::callback_failed:
            return DestinationStatus::unknown;
        default:
            return DestinationStatus::reached;
    }
}

}  // namespace

bool OutcomeHandler::apply(const std::string& edge, const RunResult& result) {
    OwnedPartition* const owned = findActive(owned_, result.partition);
    if (owned == nullptr) return false;
    QueueItem* const item = owned->queue.find(result.id);
    countOutcome(*owned, item, result);
    if (item == nullptr) return true;  // the message has ended completely, or was never stored here
    if (item->callback) {
        applyToCallback(*owned, *item, result);
    } else {
        applyToRun(*owned, *item, edge, result);
    }
    return true;
}

void OutcomeHandler::countOutcome(const OwnedPartition& owned, const QueueItem* item,
                                  const RunResult& result) {
    GrantCounters& counters = grants_.counters;
    const bool runs = item != nullptr && !item->callback;
    const bool current = runs && item->grant && item->grant->id == AttemptId{result.epoch, result.attempt};
    switch (result.outcome) {
        case RunOutcome::completed:
            ++counters.completed;
            if (runs && !current) ++counters.successes_of_former_attempts;
            if (isRepeatedSuccess(owned, result)) ++counters.repeated_successes;
            return;
        case RunOutcome::rejected:
            ++counters.rejected;
            return;
        case RunOutcome::failed:
            ++counters.reported_failed;
            return;
        case RunOutcome::unknown:
            ++counters.reported_unknown;
            return;
        case RunOutcome::not_run:
            ++counters.reported_not_run;
            return;
        case RunOutcome::callback_delivered:
        case RunOutcome::callback_failed:
            return;
    }
}

bool OutcomeHandler::isRepeatedSuccess(const OwnedPartition& owned, const RunResult& result) const {
    const StoredMessage* const message = replica_.find(owned.id, result.id);
    if (message == nullptr || message->phase != Phase::completed) return false;
    return !message->stamp.empty() && message->stamp != result.stamp;
}

void OutcomeHandler::applyToRun(OwnedPartition& owned, QueueItem& item, const std::string& edge,
                                const RunResult& result) {
    const bool current = item.grant && item.grant->id == AttemptId{result.epoch, result.attempt};
    const bool uncounted = current && item.grant->failure_uncounted;
    if (current) grants_.endGrant(item, destinationStatusOf(result), clock_.now());
    switch (result.outcome) {
        case RunOutcome::completed:
            end(owned, item, Phase::completed, result.stamp);
            if (result.callback_started) adoptCallback(owned, edge, result);
            break;
        case RunOutcome::rejected:
            end(owned, item, Phase::dead_letter, {});
            if (result.callback_started) adoptCallback(owned, edge, result);
            break;
        case RunOutcome::failed:
            // A failure of an earlier epoch may have been counted by the previous owner.
            if ((uncounted || result.epoch == owned.epoch) && countFailure(owned, item, edge, result)) break;
            if (current) owned.queue.retry(item, clock_.now() + backoff(item, false));
            break;
        default:
            if (current) owned.queue.retry(item, clock_.now() + backoff(item, result.destination_down));
    }
}

void OutcomeHandler::applyToCallback(OwnedPartition& owned, QueueItem& item, const RunResult& result) {
    const bool current = item.grant && item.grant->id == AttemptId{result.epoch, result.attempt};
    switch (result.outcome) {
        case RunOutcome::callback_delivered:
            finishCallback(owned, item, DestinationStatus::reached);
            break;
        case RunOutcome::callback_failed:
        case RunOutcome::not_run:
        case RunOutcome::unknown:
            if (!current) break;
            grants_.endGrant(item, destinationStatusOf(result), clock_.now());
            owned.queue.retry(item, clock_.now() + backoff(item, result.destination_down));
            break;
        default:  // the first end is final; later reports of an end change nothing
            break;
    }
}

bool OutcomeHandler::countFailure(OwnedPartition& owned, QueueItem& item, const std::string& edge,
                                  const RunResult& result) {
    const AttemptId attempt{result.epoch, result.attempt};
    const bool counted = std::find(item.counted_failures.begin(), item.counted_failures.end(), attempt) !=
                         item.counted_failures.end();
    if (counted) return false;
    item.counted_failures.push_back(attempt);
    ++item.failures;
    if (item.failures >= items_.maxFailuresOf(item)) {
        end(owned, item, Phase::dead_letter, {});
        if (result.callback_started) adoptCallback(owned, edge, result);
        return true;
    }
    RecordUpdate update;
    update.partition = item.partition;
    update.id = item.id;
    update.failures = item.failures;
    writeAndReplicate(item, update);
    return false;
}

void OutcomeHandler::finishCallback(OwnedPartition& owned, QueueItem& item, DestinationStatus destination) {
    if (const StoredMessage* const message = replica_.find(owned.id, item.id)) {
        RecordUpdate update = replica_.state(owned.id, item.id, *message);
        update.callback_done = true;
        writeAndReplicate(item, update);
    }
    grants_.endGrant(item, destination, clock_.now());
    owned.queue.remove(item);
}

void OutcomeHandler::end(OwnedPartition& owned, QueueItem& item, Phase phase, const std::string& stamp) {
    RecordUpdate update;
    update.partition = item.partition;
    update.id = item.id;
    update.phase = phase;
    update.failures = item.failures;
    update.stamp = stamp;
    update.ended_wall_ms = clock_.wallMillis();
    update.callback_done = !item.callback_owed;
    writeAndReplicate(item, update);
    endInQueue(owned, item);
}

void OutcomeHandler::endInQueue(OwnedPartition& owned, QueueItem& item) {
    grants_.endGrant(item, DestinationStatus::unknown, clock_.now());
    owned.queue.end(item, [this, &owned](QueueItem& ended) {
        const StoredMessage* const message = replica_.find(owned.id, ended.id);
        const std::string url = message != nullptr && message->content ? message->content->callback_url : "";
        items_.turnIntoCallback(ended, url);
        grants_.limiter.limitOutstanding(ended.service, kMaxCallbacksPerReceiver);
    });
}

void OutcomeHandler::adoptCallback(OwnedPartition& owned, const std::string& edge, const RunResult& result) {
    QueueItem* const item = owned.queue.find(result.id);
    if (item == nullptr || !item->callback) return;
    const AttemptId attempt{result.epoch, result.attempt};
    grants_.adopt(owned, *item, edge, attempt, clock_.now(), kCallbackTimeout, true);
}

void OutcomeHandler::writeAndReplicate(const QueueItem& item, const RecordUpdate& update) {
    replica_.merge(update);
    for (const std::string& store : item.holders)
        replicator_.scheduleStateUpdate(store, item.partition, item.id);
}

void OutcomeHandler::requeue(OwnedPartition& owned, QueueItem& item, DestinationStatus destination) {
    grants_.endGrant(item, destination, clock_.now());
    owned.queue.retry(item, clock_.now() + backoff(item, destination == DestinationStatus::down));
}

Millis OutcomeHandler::backoff(QueueItem& item, bool destination_down) {
    const std::uint32_t doublings = std::min(item.retries++, kMaxBackoffDoublings);
    const Millis max_backoff = destination_down ? kMaxBackoffWhileDown : kMaxBackoff;
    const Millis upper = std::min(kInitialBackoff * (1u << doublings), max_backoff);
    std::uniform_int_distribution<std::int64_t> draw(kMinBackoff.count(), upper.count());
    return Millis(draw(random_));
}

void OutcomeHandler::endExpired(OwnedPartition& owned) {
    for (QueueItem* item : owned.queue.expired(clock_.now())) {
        if (item->callback) {
            finishCallback(owned, *item, DestinationStatus::unknown);
        } else {
            end(owned, *item, Phase::dead_letter, {});
        }
    }
}

bool OutcomeHandler::applyConfiguration(OwnedPartition& owned, QueueItem& item) {
    if (item.callback) {
        const int priority = items_.priorityOf(item.route);
        owned.queue.update(item, [priority](QueueItem& changed) { changed.priority = priority; });
        return false;
    }
    const StoredMessage* const message = replica_.find(owned.id, item.id);
    if (message == nullptr || !message->content) return false;
    const Routing routing = items_.routingOf(*message->content);
    if (routing.dropped) {
        end(owned, item, Phase::dead_letter, {});
        return true;
    }
    if (routing.route == nullptr) return false;
    if (routing.route->service != item.service) ++grants_.counters.moved_by_configuration;
    owned.queue.update(item, [&](QueueItem& changed) { items_.applyRoute(changed, *routing.route); });
    return false;
}

void OutcomeHandler::applyConfiguration(OwnedPartition& owned) {
    owned.queue.forEach([this, &owned](QueueItem& item) {
        if (item.state != ItemState::storing) applyConfiguration(owned, item);
    });
}

void OutcomeHandler::refresh(OwnedPartition& owned, const MessageId& id) {
    const StoredMessage* const message = replica_.find(owned.id, id);
    if (message == nullptr) return;
    QueueItem* const item = owned.queue.find(id);
    if (item == nullptr) {
        if (message->live()) recover(owned, id, *message);
        return;
    }
    item->failures = std::max(item->failures, message->failures);
    if (!message->live()) {
        grants_.endGrant(*item, DestinationStatus::unknown, clock_.now());
        owned.queue.remove(*item);
    } else if (message->phase != Phase::pending && !item->callback) {
        endInQueue(owned, *item);
    }
}

void OutcomeHandler::recover(OwnedPartition& owned, const MessageId& id, const StoredMessage& message) {
    if (!message.content_on_disk || !message.content) return;
    QueueItem item = items_.make(owned.id, *message.content, message);
    if (item.callback && !item.callback_owed) return;
    item.id = id;
    item.recovered = true;
    if (owned.queue.isUnknownToNewerEpoch(item)) {
        item.position = {owned.epoch, ++owned.last_sequence};
        item.predecessor = item.position;  // implies nothing about messages of older epochs
    }
    if (item.callback) grants_.limiter.limitOutstanding(item.service, kMaxCallbacksPerReceiver);
    owned.queue.add(std::move(item));
}

}  // namespace amberswitch::cluster::storage
