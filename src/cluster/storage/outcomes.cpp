#include "cluster/storage/outcomes.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

namespace {

constexpr Millis kMinBackoff{20};
constexpr Millis kFirstBackoff{200};
constexpr Millis kLastBackoff{1000};
constexpr Millis kLastBackoffWhileDown{2000};
constexpr std::uint32_t kBackoffDoublings = 4;
constexpr Millis kCallbackTimeout{5000};

DestinationSign signOf(const RunResult& result) {
    if (result.destination_down) return DestinationSign::down;
    switch (result.outcome) {
        case RunOutcome::not_run:
        case RunOutcome::unknown:
        case RunOutcome::callback_failed:
            return DestinationSign::nothing;
        default:
            return DestinationSign::reached;
    }
}

}  // namespace

bool Outcomes::apply(const std::string& edge, const RunResult& result) {
    OwnedPartition* const owned = findActive(owned_, result.partition);
    if (owned == nullptr) return false;
    QueueItem* const item = owned->queue.find(result.id);
    count(*owned, item, result);
    if (item == nullptr) return true;  // all is over, or it was never here
    if (item->callback) {
        applyToCallback(*owned, *item, result);
    } else {
        applyToRun(*owned, *item, edge, result);
    }
    return true;
}

void Outcomes::count(const OwnedPartition& owned, const QueueItem* item, const RunResult& result) {
    GrantCounters& counters = book_.counters;
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

bool Outcomes::isRepeatedSuccess(const OwnedPartition& owned, const RunResult& result) const {
    const StoredMessage* const message = replica_.find(owned.id, result.id);
    if (message == nullptr || message->phase != Phase::completed) return false;
    return !message->stamp.empty() && message->stamp != result.stamp;
}

void Outcomes::applyToRun(OwnedPartition& owned, QueueItem& item, const std::string& edge,
                          const RunResult& result) {
    const bool current = item.grant && item.grant->id == AttemptId{result.epoch, result.attempt};
    const bool uncounted = current && item.grant->uncounted;
    if (current) book_.settle(item, signOf(result), clock_.now());
    switch (result.outcome) {
        case RunOutcome::completed:
            end(owned, item, Phase::completed, result.stamp);
            if (result.callback_started) continueWithCallback(owned, edge, result);
            break;
        case RunOutcome::rejected:
            end(owned, item, Phase::dead_letter, {});
            if (result.callback_started) continueWithCallback(owned, edge, result);
            break;
        case RunOutcome::failed:
            // A failure of an earlier epoch may have been counted by the owner before.
            if ((uncounted || result.epoch == owned.epoch) && countFailure(owned, item, edge, result)) break;
            if (current) owned.queue.retry(item, clock_.now() + backoff(item, false));
            break;
        default:
            if (current) owned.queue.retry(item, clock_.now() + backoff(item, result.destination_down));
    }
}

void Outcomes::applyToCallback(OwnedPartition& owned, QueueItem& item, const RunResult& result) {
    const bool current = item.grant && item.grant->id == AttemptId{result.epoch, result.attempt};
    switch (result.outcome) {
        case RunOutcome::callback_delivered:
            finishCallback(owned, item, DestinationSign::reached);
            break;
        case RunOutcome::callback_failed:
        case RunOutcome::not_run:
        case RunOutcome::unknown:
            if (!current) break;
            book_.settle(item, signOf(result), clock_.now());
            owned.queue.retry(item, clock_.now() + backoff(item, result.destination_down));
            break;
        default:  // the first end stands; a repeated report of it changes nothing
            break;
    }
}

bool Outcomes::countFailure(OwnedPartition& owned, QueueItem& item, const std::string& edge,
                            const RunResult& result) {
    const AttemptId attempt{result.epoch, result.attempt};
    const bool counted = std::find(item.counted.begin(), item.counted.end(), attempt) != item.counted.end();
    if (counted) return false;
    item.counted.push_back(attempt);
    ++item.failures;
    if (item.failures >= items_.maxFailuresOf(item)) {
        end(owned, item, Phase::dead_letter, {});
        if (result.callback_started) continueWithCallback(owned, edge, result);
        return true;
    }
    RecordUpdate update;
    update.partition = item.partition;
    update.id = item.id;
    update.failures = item.failures;
    write(item, update);
    return false;
}

void Outcomes::finishCallback(OwnedPartition& owned, QueueItem& item, DestinationSign sign) {
    if (const StoredMessage* const message = replica_.find(owned.id, item.id)) {
        RecordUpdate update = replica_.state(owned.id, item.id, *message);
        update.callback_done = true;
        write(item, update);
    }
    book_.settle(item, sign, clock_.now());
    owned.queue.remove(item);
}

void Outcomes::end(OwnedPartition& owned, QueueItem& item, Phase phase, const std::string& stamp) {
    RecordUpdate update;
    update.partition = item.partition;
    update.id = item.id;
    update.phase = phase;
    update.failures = item.failures;
    update.stamp = stamp;
    update.ended_wall_ms = clock_.wallMillis();
    update.callback_done = !item.callback_owed;
    write(item, update);
    endInQueue(owned, item);
}

void Outcomes::endInQueue(OwnedPartition& owned, QueueItem& item) {
    book_.settle(item, DestinationSign::nothing, clock_.now());
    owned.queue.end(item, [this, &owned](QueueItem& ended) {
        const StoredMessage* const message = replica_.find(owned.id, ended.id);
        const std::string url = message != nullptr && message->content ? message->content->callback_url : "";
        items_.turnIntoCallback(ended, url);
        book_.limiter.limitOutstanding(ended.service, kMostCallbacksPerReceiver);
    });
}

void Outcomes::continueWithCallback(OwnedPartition& owned, const std::string& edge, const RunResult& result) {
    QueueItem* const item = owned.queue.find(result.id);
    if (item == nullptr || !item->callback) return;
    const AttemptId attempt{result.epoch, result.attempt};
    book_.adopt(owned, *item, edge, attempt, clock_.now(), kCallbackTimeout, true);
}

void Outcomes::write(const QueueItem& item, const RecordUpdate& update) {
    replica_.merge(update);
    for (const std::string& store : item.holders) replicator_.noteState(store, item.partition, item.id);
}

void Outcomes::giveBack(OwnedPartition& owned, QueueItem& item, DestinationSign sign) {
    book_.settle(item, sign, clock_.now());
    owned.queue.retry(item, clock_.now() + backoff(item, sign == DestinationSign::down));
}

Millis Outcomes::backoff(QueueItem& item, bool destination_down) {
    const std::uint32_t doublings = std::min(item.retries++, kBackoffDoublings);
    const Millis most = destination_down ? kLastBackoffWhileDown : kLastBackoff;
    const Millis upper = std::min(kFirstBackoff * (1u << doublings), most);
    std::uniform_int_distribution<std::int64_t> draw(kMinBackoff.count(), upper.count());
    return Millis(draw(random_));
}

void Outcomes::endOverdue(OwnedPartition& owned) {
    for (QueueItem* item : owned.queue.expired(clock_.now())) {
        if (item->callback) {
            finishCallback(owned, *item, DestinationSign::nothing);
        } else {
            end(owned, *item, Phase::dead_letter, {});
        }
    }
}

bool Outcomes::applyConfiguration(OwnedPartition& owned, QueueItem& item) {
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
    if (routing.route->service != item.service) ++book_.counters.moved_by_configuration;
    owned.queue.update(item, [&](QueueItem& changed) { items_.follow(changed, *routing.route); });
    return false;
}

void Outcomes::applyConfiguration(OwnedPartition& owned) {
    owned.queue.forEach([this, &owned](QueueItem& item) {
        if (item.state != ItemState::storing) applyConfiguration(owned, item);
    });
}

void Outcomes::refresh(OwnedPartition& owned, const MessageId& id) {
    const StoredMessage* const message = replica_.find(owned.id, id);
    if (message == nullptr) return;
    QueueItem* const item = owned.queue.find(id);
    if (item == nullptr) {
        if (message->live()) recover(owned, id, *message);
        return;
    }
    item->failures = std::max(item->failures, message->failures);
    if (!message->live()) {
        book_.settle(*item, DestinationSign::nothing, clock_.now());
        owned.queue.remove(*item);
    } else if (message->phase != Phase::pending && !item->callback) {
        endInQueue(owned, *item);
    }
}

void Outcomes::recover(OwnedPartition& owned, const MessageId& id, const StoredMessage& message) {
    if (!message.content_on_disk || !message.content) return;
    QueueItem item = items_.make(owned.id, *message.content, message);
    if (item.callback && !item.callback_owed) return;
    item.id = id;
    item.recovered = true;
    if (owned.queue.isStray(item)) {
        item.position = {owned.epoch, ++owned.last_sequence};
        item.after = item.position;  // it says nothing of others
    }
    if (item.callback) book_.limiter.limitOutstanding(item.service, kMostCallbacksPerReceiver);
    owned.queue.add(std::move(item));
}

}  // namespace amberswitch::cluster::storage
