// The local replica of each partition: message contents, their states, and the promises made to owners.
// It does not know which store owns a partition and does not talk to other machines. All changes are staged
// on the disk; callers that must wait for durability call sync(). The memory always holds at least what the
// disk holds.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/common/messages.hpp"
#include "cluster/storage/record_store.hpp"
#include "cluster/storage/store_clock.hpp"

namespace amberswitch::cluster::storage {

// The limit of the bodies of live messages kept in memory; other bodies are read back from the disk.
constexpr std::size_t kResidentBodyBytes = 48u << 20;
// A message is removed this long after the last moment at which its state may be queried.
constexpr Millis kTrimMargin{5000};
// An unfinished message ends this long after its retention has expired.
constexpr Millis kRetentionMargin{2000};

// The state of one message in this replica.
struct StoredMessage {
    // Kept while the message is live (pending, or its call-back is not delivered yet); the body is empty
    // unless body_resident.
    std::unique_ptr<MessageContent> content;
    bool content_on_disk = false;
    bool body_resident = false;
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    Epoch after_epoch = 0;
    std::uint64_t after_sequence = 0;
    std::int64_t accepted_wall_ms = 0;
    std::int64_t retention_ms = 0;
    std::uint32_t max_failures = 1;
    Phase phase = Phase::pending;
    std::uint32_t failures = 0;
    std::string stamp;
    std::int64_t ended_wall_ms = 0;
    bool callback_done = false;
    std::int64_t keep_until_wall_ms = 0;
    bool before_join = false;  // stored before this store joined, and not received again since

    // Whether the message is pending or its call-back is not delivered yet.

    bool live() const { return phase == Phase::pending || !callback_done; }
    // Whether the content may still be needed, to run the message or to serve a dead letter, so that copies
    // must include it.
    bool needsContent() const { return live() || phase == Phase::dead_letter; }
};

// The rank of a phase in merges; the higher rank wins: pending, dead_letter, completed.
int phaseRank(Phase phase);

// The effect of a merge on the local state.
struct MergeResult {
    bool changed = false;
    bool ended = false;  // the message was pending before and is not any more
};

class Replica {
public:
    using Messages = std::unordered_map<MessageId, StoredMessage>;

    // `bootstrap`: the whole system starts for the first time, so that an empty disk is complete.
    // `status_kept`: how long the state of a message is kept after its end.
    Replica(RecordStore& disk, const StoreClock& clock, bool bootstrap, Millis status_kept);

    // Reads the contents of the disk. Call once, before any other member function except onReadFailure().
    void load();

    // --- Promises ---
    // Returns the newest epoch promised for the partition; records of older epochs are refused.
    Epoch promised(PartitionId partition) const;
    // Whether this replica holds everything of the partition that this store was given since it joined.
    bool isValid(PartitionId partition) const;
    // Records that this store joined the system in `epoch`; what it held before does not count.
    // `this_process`: it joined with its current process, which therefore has everything that the store was
    // given since. Durable after the next sync.
    void recordJoin(Epoch epoch, bool this_process);
    // Promises to take no records from epochs before `epoch`; durable after the next sync.
    void promise(PartitionId partition, Epoch epoch);
    // Records that the owner of that epoch has peered the partition. Returns false if a newer epoch has been
    // promised.
    bool markValid(PartitionId partition, Epoch epoch);
    // Returns the newest epoch in which the partition was peered, as far as this store knows; 0 if none.
    Epoch peeredEpoch(PartitionId partition) const;

    // Sets the listener that runs when data turned out to be unreadable. The partitions affected are not
    // valid until their owners have peered them again, so the listener must inform the other stores.
    void onReadFailure(std::function<void()> listener) { on_read_failure_ = std::move(listener); }

    // --- Messages ---
    // Writes a record, or merges it into the existing one. Returns false if the disk has no room; nothing has
    // changed then. `keep_body`: keep the body in memory if kResidentBodyBytes allows it.
    bool store(const MessageRecord& record, bool keep_body);
    // Applies an end or a failure count. Ends of unknown messages are stored too; counts of unknown messages
    // are ignored.
    MergeResult merge(const RecordUpdate& update);
    StoredMessage* find(PartitionId partition, const MessageId& id);
    const Messages& messages(PartitionId partition) const;
    // Returns the content with its body, or nothing if this disk does not hold it or cannot read it.
    std::optional<MessageContent> content(PartitionId partition, const MessageId& id);
    std::optional<MessageRecord> record(PartitionId partition, const MessageId& id);
    RecordUpdate state(PartitionId partition, const MessageId& id, const StoredMessage& message) const;
    // Applies a later accept time that another replica knows (this machine's clock may have been stepped).
    void correctAcceptTime(StoredMessage& message, std::int64_t accepted_wall_ms);

    // Returns whether a state was written since the last call. No caller waits for states to be durable.
    bool takeUnsyncedStates() { return std::exchange(unsynced_states_, false); }

    // Removes a message at once; for one whose accept was never acknowledged.
    void forget(PartitionId partition, const MessageId& id);
    // Removes pending messages from before this store joined whose retention has expired: the other stores
    // may have removed their ends by now. Before that time every store keeps the end of a message.
    void forgetOutdated(PartitionId partition);
    // Removes messages whose state cannot be queried any more, at most `limit` in one call.
    void trim(std::size_t limit);

    // Runs `done` with whether all changes made before the call are durable.
    void sync(std::function<void(bool)> done);
    // Stages the writes that the disk had no room for. Returns false if there is still no room.
    bool stageDeferredWrites();

    std::size_t residentBodyBytes() const { return resident_body_bytes_; }
    std::size_t size() const;

private:
    struct Partition {
        Epoch promised = 0;
        std::optional<Epoch> valid_from;  // the epoch of the last peering_done
        bool incomplete = false;          // data could not be read since the last peering_done
        Messages messages;
    };

    void loadRecord(std::string_view key, const std::string& value, std::vector<std::string>& states);
    void loadReadable(std::vector<std::string>& states);
    void markAllIncomplete();
    void markIncomplete(PartitionId partition);
    void loadContent(const std::string& value);
    void loadState(const std::string& value);
    void loadPromise(std::string_view key, const std::string& value);
    void writePromise(PartitionId partition);
    // Stages a write that ends or fences other work, so that it may use the disk's reserve. If even the
    // reserve is used up, defers the write and returns false.
    bool stage(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    bool writeState(PartitionId partition, const MessageId& id, const StoredMessage& message);
    // Removes the content of a message that does not need it any more, so that a start need not read it.
    void removeContent(PartitionId partition, const MessageId& id, StoredMessage& message);
    void copyRecord(StoredMessage& message, const MessageRecord& record, bool keep_body);
    MergeResult mergeInto(PartitionId partition, const MessageId& id, StoredMessage& message,
                          const RecordUpdate& update);
    void releaseContent(StoredMessage& message);
    void extendRetention(StoredMessage& message, const MessageRecord& record);
    void scheduleTrim(PartitionId partition, const MessageId& id, const StoredMessage& message);
    std::int64_t keepUntil(const StoredMessage& message) const;

    RecordStore& disk_;
    const StoreClock& clock_;
    const bool bootstrap_;
    const Millis status_kept_;
    // The epoch from which this disk is complete: that of the first start (0), or that of its joining.
    std::optional<Epoch> complete_from_;
    std::function<void()> on_read_failure_;
    Epoch joined_ = 0;
    std::map<PartitionId, Partition> partitions_;
    std::size_t resident_body_bytes_ = 0;
    bool unsynced_states_ = false;
    std::map<std::string, std::string> deferred_writes_;  // by key: values that the disk had no room for
    // Messages by the wall-clock second in which they may be removed. A message that must be kept longer is
    // scheduled again when its second comes.
    std::map<std::int64_t, std::vector<std::pair<PartitionId, MessageId>>> trims_;
};

}  // namespace amberswitch::cluster::storage
