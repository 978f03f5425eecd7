// What this machine keeps of each partition: message contents, their states, and the promises made to owners.
// Knows nothing of ownership or of other machines. All changes are staged on the disk; callers that must wait
// for durability call sync(). What is in memory is never less than what is on the disk.
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

// Bodies of live messages that stay in memory; others are read back from the disk.
constexpr std::size_t kResidentBodyBytes = 48u << 20;
// A message is forgotten this long after the last moment at which somebody may ask for it.
constexpr Millis kTrimMargin{5000};
// An unfinished message ends this long after its retention is over.
constexpr Millis kRetentionMargin{2000};

// One message as this replica knows it.
struct StoredMessage {
    // Kept while the message is live (pending, or its call-back is owed); the body may be absent
    // (body_resident).
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
    bool before_join = false;  // here since before this store joined, and not given again since

    bool live() const { return phase == Phase::pending || !callback_done; }
    // Somebody may still want its content: copies must hold it.
    bool needsContent() const { return live() || phase == Phase::dead_letter; }
};

// The order in which states override each other: pending, dead_letter, completed.
int phaseRank(Phase phase);

struct MergeResult {
    bool changed = false;
    bool ended = false;  // the message was pending before
};

class Replica {
public:
    using Messages = std::unordered_map<MessageId, StoredMessage>;

    // `bootstrap`: the whole system starts for the first time, so that an empty disk lacks nothing.
    Replica(RecordStore& disk, const StoreClock& clock, bool bootstrap, Millis status_kept);

    // Reads everything back from the disk. Call once before anything else.
    void load();

    // --- Promises ---
    Epoch promised(PartitionId partition) const;
    // Whether all that this store was given of the partition since it joined is here.
    bool isValid(PartitionId partition) const;
    // This store came to the system with that epoch; what it held before does not count. `this_process`: with
    // its present process, which therefore lacks nothing of what it was given since. Durable after the next
    // sync.
    void recordJoin(Epoch epoch, bool this_process);
    // Takes nothing from epochs before `epoch` any more; durable after the next sync.
    void promise(PartitionId partition, Epoch epoch);
    // The owner of that epoch has peered the partition. False where a newer epoch has been promised.
    bool markValid(PartitionId partition, Epoch epoch);
    // The newest epoch in which the partition has been peered as far as this store was told; 0: none.
    Epoch peeredEpoch(PartitionId partition) const;

    // Runs when something here turned out to be unreadable: nothing here is called valid any more until the
    // owner has made its copies again, so others must be told.
    void onReadFailure(std::function<void()> listener) { on_read_failure_ = std::move(listener); }

    // --- Messages ---
    // Writes a record, or merges it into the one that is there. False: the disk has no room, nothing changed.
    bool store(const MessageRecord& record, bool keep_body);
    // Applies an end or a count. Ends of unknown messages are kept too; counts of unknown ones are ignored.
    MergeResult merge(const RecordUpdate& update);
    StoredMessage* find(PartitionId partition, const MessageId& id);
    const Messages& messages(PartitionId partition) const;
    // The content with its body; nothing where this disk does not hold it, or can't read it now.
    std::optional<MessageContent> content(PartitionId partition, const MessageId& id);
    std::optional<MessageRecord> record(PartitionId partition, const MessageId& id);
    RecordUpdate state(PartitionId partition, const MessageId& id, const StoredMessage& message) const;
    // Takes a later time of accept that another replica knows (this machine's clock may have been stepped).
    void correctAcceptTime(StoredMessage& message, std::int64_t accepted_wall_ms);

    // Whether a state was written since the last call: nobody waits for those to be durable.
    bool takeUnsyncedStates() { return std::exchange(unsynced_states_, false); }

    // Removes a message of which nobody was told.
    void forget(PartitionId partition, const MessageId& id);
    // Removes what is here since before this store joined, is pending and has outlived its retention: the
    // others may have forgotten its end by now. Until then no end of it is forgotten anywhere.
    void forgetOutdated(PartitionId partition);
    // Forgets what nobody may ask for any more. At most `limit` messages at a time.
    void trim(std::size_t limit);

    // Runs `done` with whether all that was changed before is durable.
    void sync(std::function<void(bool)> done);
    // Stages what found no room on the disk before. False: there is still none.
    bool stageDeferredWrites();

    std::size_t residentBodyBytes() const { return resident_body_bytes_; }
    std::size_t size() const;

private:
    struct Partition {
        Epoch promised = 0;
        std::optional<Epoch> valid_from;  // the epoch of the last peering_done
        bool incomplete = false;          // something could not be read since
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
    // Writes what ends or fences other work: from the reserve, and later where even that is used up (false).
    bool stage(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    bool writeState(PartitionId partition, const MessageId& id, const StoredMessage& message);
    // Once all is over nobody asks for the content, and a start need not read it.
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
    // The epoch from which this disk lacks nothing: of the first start (0), or of its joining.
    std::optional<Epoch> complete_from_;
    std::function<void()> on_read_failure_;
    Epoch joined_ = 0;
    std::map<PartitionId, Partition> partitions_;
    std::size_t resident_body_bytes_ = 0;
    bool unsynced_states_ = false;
    std::map<std::string, std::string> deferred_writes_;  // not staged yet, by key
    // By second of the day's clock; entries that were prolonged are put back when their second comes.
    std::map<std::int64_t, std::vector<std::pair<PartitionId, MessageId>>> trims_;
};

}  // namespace amberswitch::cluster::storage
