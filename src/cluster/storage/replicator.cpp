#include "cluster/storage/replicator.hpp"

#include "cluster/common/codec.hpp"

namespace amberswitch::cluster::storage {

namespace {

constexpr int kMaxCallsInProgress = 2;
constexpr std::size_t kMaxBytesPerCall = 1u << 20;
constexpr std::size_t kEntryOverheadBytes = 300;
constexpr std::size_t kMaxStatesPerFlush = 2000;
constexpr Millis kFlushTimeout{1000};

// Whether the store has staged the batch and its disk works.
bool isAcknowledged(const CallResult& result, std::size_t requests) {
    if (result.verdict != CallStatus::answered) return false;
    const auto reply = decode<ReplicateBatchReply>(result.reply.body);
    return reply && reply->replies.size() == requests;
}

}  // namespace

Replicator::Replicator(Scheduler& scheduler, Transport& transport, const Placement& placement,
                       const Replica& replica, const StoreClock& clock)
    : scheduler_(scheduler), transport_(transport), placement_(placement), replica_(replica), clock_(clock) {}

void Replicator::sendRecord(const std::string& store, Epoch epoch,
                            std::shared_ptr<const MessageRecord> record, Done done) {
    Entry entry;
    entry.partition = record->partition;
    entry.epoch = epoch;
    entry.record = std::move(record);
    entry.done = std::move(done);
    enqueue(store, std::move(entry));
}

void Replicator::sendState(const std::string& store, Epoch epoch, RecordUpdate state, Done done) {
    Entry entry;
    entry.partition = state.partition;
    entry.epoch = epoch;
    entry.state = std::move(state);
    entry.done = std::move(done);
    enqueue(store, std::move(entry));
}

void Replicator::enqueue(const std::string& store, Entry entry) {
    outboxes_[store].waiting.push_back(std::move(entry));
    scheduleDrain();
}

void Replicator::scheduleDrain() {
    if (std::exchange(drain_scheduled_, true)) return;
    scheduler_.post([this] {
        drain_scheduled_ = false;
        drain();
    });
}

void Replicator::drain() {
    for (auto& [store, outbox] : outboxes_) {
        while (!outbox.waiting.empty() && outbox.calls_in_progress < kMaxCallsInProgress)
            sendBatch(store, outbox);
    }
}

void Replicator::sendBatch(const std::string& store, Outbox& outbox) {
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    while (!outbox.waiting.empty() && bytes < kMaxBytesPerCall) {
        Entry& next = outbox.waiting.front();
        bytes += kEntryOverheadBytes + (next.record ? next.record->content.body.size() : 0);
        entries.push_back(std::move(next));
        outbox.waiting.pop_front();
    }
    const StoreMember* const member = placement_.member(store);
    if (member == nullptr) {
        outbox.healthy = false;
        for (Entry& entry : entries) entry.done(ReplicateOutcome::failed);
        return;
    }
    ++outbox.calls_in_progress;
    Envelope request = envelope(MessageKind::replicate, batchOf(entries));
    const auto shared = std::make_shared<std::vector<Entry>>(std::move(entries));
    transport_.call(
        member->member.address, std::move(request), kReplicateTimeout,
        [this, store, shared](const CallResult& result) { onReply(store, std::move(*shared), result); });
}

ReplicateBatch Replicator::batchOf(const std::vector<Entry>& entries) const {
    ReplicateBatch batch;
    batch.wall_ms = clock_.wallMillis();
    for (const Entry& entry : entries) {
        ReplicateRequest request;
        request.store = placement_.self();
        request.partition = entry.partition;
        request.epoch = entry.epoch;
        if (entry.record) {
            request.records.push_back(*entry.record);
        } else {
            request.updates.push_back(entry.state);
        }
        batch.requests.push_back(std::move(request));
    }
    return batch;
}

void Replicator::onReply(const std::string& store, std::vector<Entry> entries, const CallResult& result) {
    Outbox& outbox = outboxes_[store];
    --outbox.calls_in_progress;
    std::optional<ReplicateBatchReply> reply;
    if (result.verdict == CallStatus::answered) reply = decode<ReplicateBatchReply>(result.reply.body);
    const bool complete = reply && reply->replies.size() == entries.size();
    outbox.healthy = complete;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        ReplicateOutcome outcome = ReplicateOutcome::failed;
        if (complete && reply->replies[i].stored) outcome = ReplicateOutcome::stored;
        if (complete && reply->replies[i].promised_epoch > entries[i].epoch)
            outcome = ReplicateOutcome::fenced;
        entries[i].done(outcome);
    }
    scheduleDrain();
}

void Replicator::scheduleStateUpdate(const std::string& store, PartitionId partition, const MessageId& id) {
    outboxes_[store].pending_states.emplace(partition, id);
}

void Replicator::flush() {
    for (auto& [store, outbox] : outboxes_) {
        if (!placement_.alive(store)) outbox.pending_states.clear();
        if (!outbox.pending_states.empty() && !outbox.flushing) flushStore(store, outbox);
    }
}

void Replicator::flushStore(const std::string& store, Outbox& outbox) {
    std::map<PartitionId, ReplicateRequest> requests;
    const auto sent = std::make_shared<std::vector<MessageKey>>();
    while (!outbox.pending_states.empty() && sent->size() < kMaxStatesPerFlush) {
        sent->push_back(std::move(outbox.pending_states.extract(outbox.pending_states.begin()).value()));
        const auto& [partition, id] = sent->back();
        const auto found = replica_.messages(partition).find(id);
        if (found == replica_.messages(partition).end()) continue;
        ReplicateRequest& request = requests[partition];
        request.updates.push_back(replica_.state(partition, id, found->second));
    }
    ReplicateBatch batch;
    batch.wall_ms = clock_.wallMillis();
    for (auto& [partition, request] : requests) {
        request.store = placement_.self();
        request.partition = partition;
        request.epoch = placement_.epoch();
        request.durable = false;
        batch.requests.push_back(std::move(request));
    }
    outbox.flushing = true;
    transport_.call(placement_.member(store)->member.address, envelope(MessageKind::replicate, batch),
                    kFlushTimeout,
                    [this, store, sent, requests = batch.requests.size()](const CallResult& result) {
                        Outbox& answered = outboxes_[store];
                        answered.flushing = false;
                        if (isAcknowledged(result, requests)) return;
                        for (MessageKey& name : *sent) answered.pending_states.insert(std::move(name));
                    });
}

bool Replicator::healthy(const std::string& store) const {
    const auto found = outboxes_.find(store);
    return found == outboxes_.end() || found->second.healthy;
}

bool Replicator::idle() const {
    for (const auto& [store, outbox] : outboxes_) {
        if (!outbox.waiting.empty() || outbox.calls_in_progress > 0) return false;
        if (!outbox.pending_states.empty() || outbox.flushing) return false;
    }
    return true;
}

}  // namespace amberswitch::cluster::storage
