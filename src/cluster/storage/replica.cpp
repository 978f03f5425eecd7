#include "cluster/storage/replica.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/storage/storage_error.hpp"

namespace amberswitch::cluster::storage {

namespace {

constexpr std::string_view kContentPrefix = "c/";
constexpr std::string_view kStatePrefix = "s/";
constexpr std::string_view kPromisePrefix = "p/";
constexpr std::string_view kIncompletePrefix = "d/";  // partitions with unreadable data
constexpr std::string_view kCompleteKey = "meta/complete_from";
constexpr std::string_view kJoinedKey = "meta/joined";
constexpr std::int64_t kMillisPerSecond = 1000;

struct StoredPromise {
    Epoch promised = 0;
    bool valid = false;
    Epoch valid_from = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(promised, valid, valid_from);
    }
};

std::string messageKey(std::string_view prefix, PartitionId partition, const MessageId& id) {
    return std::string(prefix) + std::to_string(partition) + "/" + id;
}

RecordUpdate stateOf(const MessageRecord& record) {
    return {record.partition,
            record.content.id,
            record.phase,
            record.failures,
            record.stamp,
            record.ended_wall_ms,
            record.callback_done,
            0,
            0};
}

}  // namespace

int phaseRank(Phase phase) {
    if (phase == Phase::pending) return 0;
    return phase == Phase::dead_letter ? 1 : 2;
}

Replica::Replica(RecordStore& disk, const StoreClock& clock, bool bootstrap, Millis status_kept)
    : disk_(disk), clock_(clock), bootstrap_(bootstrap), status_kept_(status_kept) {}

void Replica::load() {
    if (const auto complete = disk_.read(kCompleteKey)) {
        complete_from_ = decode<Epoch>(*complete);
    } else if (bootstrap_) {
        complete_from_ = 0;
        stage(std::string(kCompleteKey), encode(*complete_from_));
    }
    if (const auto joined = disk_.read(kJoinedKey)) joined_ = decode<Epoch>(*joined).value_or(0);
    std::vector<std::string> states;
    try {
        disk_.forEach(
            [&](std::string_view key, const std::string& value) { loadRecord(key, value, states); });
    } catch (const StorageError& error) {
        LOG(ERROR) << "cannot read all records, reading them one by one: " << error.what();
        loadReadable(states);
    }
    for (const std::string& value : states) loadState(value);
    if (disk_.hasMissingRecords()) markAllIncomplete();
}

void Replica::loadRecord(std::string_view key, const std::string& value, std::vector<std::string>& states) {
    if (key.starts_with(kContentPrefix)) loadContent(value);
    if (key.starts_with(kStatePrefix)) states.push_back(value);
    if (key.starts_with(kPromisePrefix)) loadPromise(key, value);
    if (key.starts_with(kIncompletePrefix))
        partitions_[decode<PartitionId>(value).value_or(0)].incomplete = true;
}

void Replica::loadReadable(std::vector<std::string>& states) {
    disk_.forEachKey([&](std::string_view key) {
        try {
            if (const auto value = disk_.read(key)) loadRecord(key, *value, states);
        } catch (const StorageError& error) {
            LOG(ERROR) << "cannot read record " << key << ": " << error.what();
        }
    });
    markAllIncomplete();
}

// The missing data may belong to any partition, and may be a promise or the record of this store's joining.
void Replica::markAllIncomplete() {
    complete_from_.reset();
    remove(std::string(kCompleteKey));
    for (const auto& [partition, kept] : partitions_) markIncomplete(partition);
}

void Replica::markIncomplete(PartitionId partition) {
    Partition& kept = partitions_[partition];
    if (kept.incomplete) return;
    kept.incomplete = true;
    stage(std::string(kIncompletePrefix) + std::to_string(partition), encode(partition));
    if (on_read_failure_) on_read_failure_();
}

void Replica::loadContent(const std::string& value) {
    auto record = decode<MessageRecord>(value);
    if (!record) return;
    record->accepted_wall_ms = std::min(record->accepted_wall_ms, clock_.wallMillis());
    StoredMessage& message = partitions_[record->partition].messages[record->content.id];
    copyRecord(message, *record, false);
    scheduleTrim(record->partition, record->content.id, message);
}

void Replica::loadState(const std::string& value) {
    const auto update = decode<RecordUpdate>(value);
    if (!update) return;
    StoredMessage& message = partitions_[update->partition].messages[update->id];
    message.phase = update->phase;
    message.failures = update->failures;
    message.stamp = update->stamp;
    message.ended_wall_ms = std::min(update->ended_wall_ms, clock_.wallMillis());
    message.callback_done = update->callback_done;
    message.keep_until_wall_ms = message.content_on_disk ? keepUntil(message) : update->keep_until_wall_ms;
    if (!message.live()) releaseContent(message);
    scheduleTrim(update->partition, update->id, message);
}

void Replica::loadPromise(std::string_view key, const std::string& value) {
    const auto stored = decode<StoredPromise>(value);
    PartitionId partition = 0;
    const char* const begin = key.data() + kPromisePrefix.size();
    const auto parsed = std::from_chars(begin, key.data() + key.size(), partition);
    if (!stored || parsed.ec != std::errc()) return;
    partitions_[partition].promised = stored->promised;
    if (stored->valid) partitions_[partition].valid_from = stored->valid_from;
}

Epoch Replica::promised(PartitionId partition) const {
    const auto found = partitions_.find(partition);
    return found == partitions_.end() ? 0 : found->second.promised;
}

bool Replica::isValid(PartitionId partition) const {
    const auto found = partitions_.find(partition);
    if (found != partitions_.end() && found->second.incomplete) return false;
    std::optional<Epoch> from = complete_from_;
    if (found != partitions_.end())
        from = std::max(from, found->second.valid_from);  // an empty optional compares as the smallest
    return from && *from >= joined_;
}

void Replica::recordJoin(Epoch epoch, bool this_process) {
    if (epoch > joined_) {
        joined_ = epoch;
        stage(std::string(kJoinedKey), encode(epoch));
        for (auto& [partition, kept] : partitions_) {
            for (auto& [id, message] : kept.messages) message.before_join = true;
        }
    }
    const bool newer = !complete_from_ || *complete_from_ < epoch;
    if (!this_process || !newer) return;
    complete_from_ = epoch;
    stage(std::string(kCompleteKey), encode(epoch));
}

void Replica::promise(PartitionId partition, Epoch epoch) {
    Partition& kept = partitions_[partition];
    if (kept.promised >= epoch) return;
    kept.promised = epoch;
    writePromise(partition);
}

bool Replica::markValid(PartitionId partition, Epoch epoch) {
    Partition& kept = partitions_[partition];
    if (kept.promised > epoch) return false;
    if (kept.valid_from && *kept.valid_from >= epoch) return true;
    kept.promised = epoch;
    kept.valid_from = epoch;
    writePromise(partition);
    if (std::exchange(kept.incomplete, false))
        remove(std::string(kIncompletePrefix) + std::to_string(partition));
    return true;
}

Epoch Replica::peeredEpoch(PartitionId partition) const {
    const auto found = partitions_.find(partition);
    return found == partitions_.end() ? 0 : found->second.valid_from.value_or(0);
}

void Replica::writePromise(PartitionId partition) {
    const Partition& kept = partitions_[partition];
    const StoredPromise stored{kept.promised, kept.valid_from.has_value(), kept.valid_from.value_or(0)};
    stage(std::string(kPromisePrefix) + std::to_string(partition), encode(stored));
}

bool Replica::store(const MessageRecord& record, bool keep_body) {
    const MessageId& id = record.content.id;
    StoredMessage* known = find(record.partition, id);
    const bool is_over = known != nullptr && !known->needsContent();
    if (!is_over && (known == nullptr || !known->content_on_disk)) {
        if (!disk_.put(messageKey(kContentPrefix, record.partition, id), encode(record))) return false;
    }
    if (known != nullptr) known->before_join = false;
    if (known == nullptr) {
        StoredMessage& message = partitions_[record.partition].messages[id];
        copyRecord(message, record, keep_body);
        scheduleTrim(record.partition, id, message);
        return true;
    }
    if (!is_over && !known->content_on_disk) {
        // The state arrived before the content and must be preserved.
        const RecordUpdate state = this->state(record.partition, id, *known);
        copyRecord(*known, record, keep_body);
        known->keep_until_wall_ms = std::max(known->keep_until_wall_ms, state.keep_until_wall_ms);
        mergeInto(record.partition, id, *known, state);
    }
    if (is_over) {
        extendRetention(*known, record);
    } else {
        correctAcceptTime(*known, record.accepted_wall_ms);
    }
    mergeInto(record.partition, id, *known, stateOf(record));
    return true;
}

void Replica::copyRecord(StoredMessage& message, const MessageRecord& record, bool keep_body) {
    message.content_on_disk = true;
    message.epoch = record.epoch;
    message.sequence = record.sequence;
    message.after_epoch = record.after_epoch;
    message.after_sequence = record.after_sequence;
    message.accepted_wall_ms = record.accepted_wall_ms;
    message.retention_ms = record.retention_ms;
    message.max_failures = record.max_failures;
    message.phase = record.phase;
    message.failures = record.failures;
    message.stamp = record.stamp;
    message.ended_wall_ms = record.ended_wall_ms;
    message.callback_done = record.callback_done;
    message.keep_until_wall_ms = keepUntil(message);
    if (!message.live()) return;
    message.content = std::make_unique<MessageContent>(record.content);
    const std::size_t bytes = record.content.body.size();
    message.body_resident = keep_body && resident_body_bytes_ + bytes <= kResidentBodyBytes;
    if (message.body_resident) {
        resident_body_bytes_ += bytes;
    } else {
        message.content->body = std::string();
    }
}

MergeResult Replica::merge(const RecordUpdate& update) {
    StoredMessage* known = find(update.partition, update.id);
    if (known == nullptr && update.phase == Phase::pending) return {};
    if (known == nullptr) known = &partitions_[update.partition].messages[update.id];
    if (known->content_on_disk) correctAcceptTime(*known, update.accepted_wall_ms);
    return mergeInto(update.partition, update.id, *known, update);
}

MergeResult Replica::mergeInto(PartitionId partition, const MessageId& id, StoredMessage& message,
                               const RecordUpdate& update) {
    MergeResult result;
    if (phaseRank(update.phase) > phaseRank(message.phase)) {
        result.ended = message.phase == Phase::pending;
        result.changed = true;
        message.phase = update.phase;
        message.stamp = update.stamp;
        message.ended_wall_ms = std::min(update.ended_wall_ms, clock_.wallMillis());
    }
    if (update.failures > message.failures) {
        result.changed = true;
        message.failures = update.failures;
    }
    if (update.callback_done && !message.callback_done && message.phase != Phase::pending) {
        result.changed = true;
        message.callback_done = true;
    }
    if (!result.changed) return result;
    const std::int64_t kept = message.content_on_disk ? keepUntil(message) : update.keep_until_wall_ms;
    message.keep_until_wall_ms = result.ended ? kept : std::max(kept, message.keep_until_wall_ms);
    if (!message.live()) releaseContent(message);
    const bool staged = writeState(partition, id, message);
    if (staged && !message.needsContent()) removeContent(partition, id, message);
    scheduleTrim(partition, id, message);
    return result;
}

// The removal follows the last state in the log, so that a power failure cannot lose the state alone.
void Replica::removeContent(PartitionId partition, const MessageId& id, StoredMessage& message) {
    if (!std::exchange(message.content_on_disk, false)) return;
    remove(messageKey(kContentPrefix, partition, id));
}

bool Replica::writeState(PartitionId partition, const MessageId& id, const StoredMessage& message) {
    unsynced_states_ = true;
    return stage(messageKey(kStatePrefix, partition, id), encode(state(partition, id, message)));
}

bool Replica::stage(const std::string& key, const std::string& value) {
    const bool staged = disk_.putFromReserve(key, value);
    if (staged) {
        deferred_writes_.erase(key);
    } else {
        deferred_writes_[key] = value;
    }
    return staged;
}

void Replica::remove(const std::string& key) {
    deferred_writes_.erase(key);
    disk_.erase(key);
}

bool Replica::stageDeferredWrites() {
    while (!deferred_writes_.empty()) {
        const auto first = deferred_writes_.begin();
        if (!disk_.putFromReserve(first->first, first->second)) return false;
        deferred_writes_.erase(first);
    }
    return true;
}

void Replica::sync(std::function<void(bool)> done) {
    const bool staged = stageDeferredWrites();
    disk_.sync([staged, done = std::move(done)](bool synced) { done(staged && synced); });
}

void Replica::releaseContent(StoredMessage& message) {
    if (message.body_resident) resident_body_bytes_ -= message.content->body.size();
    message.body_resident = false;
    message.content.reset();
}

StoredMessage* Replica::find(PartitionId partition, const MessageId& id) {
    const auto kept = partitions_.find(partition);
    if (kept == partitions_.end()) return nullptr;
    const auto message = kept->second.messages.find(id);
    return message == kept->second.messages.end() ? nullptr : &message->second;
}

const Replica::Messages& Replica::messages(PartitionId partition) const {
    static const Messages kNone;
    const auto found = partitions_.find(partition);
    return found == partitions_.end() ? kNone : found->second.messages;
}

std::optional<MessageContent> Replica::content(PartitionId partition, const MessageId& id) {
    StoredMessage* const message = find(partition, id);
    if (message == nullptr || !message->content_on_disk) return std::nullopt;
    if (message->body_resident) return *message->content;
    std::optional<MessageRecord> record;
    try {
        const auto bytes = disk_.read(messageKey(kContentPrefix, partition, id));
        if (bytes) record = decode<MessageRecord>(*bytes);
    } catch (const StorageError& error) {
        LOG(ERROR) << "cannot read the content of message " << id << ": " << error.what();
    }
    if (record) return std::move(record->content);
    message->content_on_disk = false;  // to be replaced by another replica's copy
    markIncomplete(partition);
    return std::nullopt;
}

std::optional<MessageRecord> Replica::record(PartitionId partition, const MessageId& id) {
    auto content = this->content(partition, id);
    if (!content) return std::nullopt;
    const StoredMessage& message = messages(partition).at(id);
    MessageRecord record;
    record.content = std::move(*content);
    record.partition = partition;
    record.epoch = message.epoch;
    record.sequence = message.sequence;
    record.after_epoch = message.after_epoch;
    record.after_sequence = message.after_sequence;
    record.accepted_wall_ms = message.accepted_wall_ms;
    record.retention_ms = message.retention_ms;
    record.max_failures = message.max_failures;
    record.phase = message.phase;
    record.failures = message.failures;
    record.stamp = message.stamp;
    record.ended_wall_ms = message.ended_wall_ms;
    record.callback_done = message.callback_done;
    return record;
}

RecordUpdate Replica::state(PartitionId partition, const MessageId& id, const StoredMessage& message) const {
    return {partition,
            id,
            message.phase,
            message.failures,
            message.stamp,
            message.ended_wall_ms,
            message.callback_done,
            message.keep_until_wall_ms,
            message.accepted_wall_ms};
}

// The end must be kept longer than any copy that may still be pending on another store.
void Replica::extendRetention(StoredMessage& message, const MessageRecord& record) {
    message.accepted_wall_ms =
        std::max(message.accepted_wall_ms, std::min(record.accepted_wall_ms, clock_.wallMillis()));
    message.retention_ms = std::max(message.retention_ms, record.retention_ms);
    message.keep_until_wall_ms = std::max(message.keep_until_wall_ms, keepUntil(message));
}

void Replica::correctAcceptTime(StoredMessage& message, std::int64_t accepted_wall_ms) {
    accepted_wall_ms = std::min(accepted_wall_ms, clock_.wallMillis());
    if (accepted_wall_ms <= message.accepted_wall_ms) return;
    message.accepted_wall_ms = accepted_wall_ms;
    message.keep_until_wall_ms = keepUntil(message);
}

std::int64_t Replica::keepUntil(const StoredMessage& message) const {
    const std::int64_t retained = message.accepted_wall_ms + message.retention_ms;
    const std::int64_t last_end = retained + kRetentionMargin.count();
    const std::int64_t ended = message.phase == Phase::pending ? last_end : message.ended_wall_ms;
    return std::max(ended + status_kept_.count(), retained) + kTrimMargin.count();
}

void Replica::scheduleTrim(PartitionId partition, const MessageId& id, const StoredMessage& message) {
    trims_[message.keep_until_wall_ms / kMillisPerSecond + 1].emplace_back(partition, id);
}

void Replica::trim(std::size_t limit) {
    const std::int64_t now_ms = clock_.wallMillis();
    while (!trims_.empty() && trims_.begin()->first <= now_ms / kMillisPerSecond) {
        auto& due = trims_.begin()->second;
        while (!due.empty()) {
            if (limit-- == 0) return;
            const auto [partition, id] = std::move(due.back());
            due.pop_back();
            StoredMessage* message = find(partition, id);
            if (message == nullptr) continue;
            if (message->keep_until_wall_ms > now_ms) {
                scheduleTrim(partition, id, *message);
                continue;
            }
            forget(partition, id);
        }
        trims_.erase(trims_.begin());
    }
}

void Replica::forget(PartitionId partition, const MessageId& id) {
    StoredMessage* const message = find(partition, id);
    if (message == nullptr) return;
    releaseContent(*message);
    // The content is removed first: a state without content can never be run again.
    remove(messageKey(kContentPrefix, partition, id));
    remove(messageKey(kStatePrefix, partition, id));
    partitions_[partition].messages.erase(MessageId(id));
}

void Replica::forgetOutdated(PartitionId partition) {
    std::vector<MessageId> outdated;
    for (const auto& [id, message] : messages(partition)) {
        const bool expired = message.accepted_wall_ms + message.retention_ms <= clock_.wallMillis();
        if (message.before_join && expired && message.phase == Phase::pending) outdated.push_back(id);
    }
    for (const MessageId& id : outdated) forget(partition, id);
}

std::size_t Replica::size() const {
    std::size_t sum = 0;
    for (const auto& [partition, kept] : partitions_) sum += kept.messages.size();
    return sum;
}

}  // namespace amberswitch::cluster::storage
