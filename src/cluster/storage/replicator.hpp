// Sends records and states to other stores. Entries that are queued in one iteration of the event loop, or
// while earlier calls to the same store are in progress, are sent in one batch.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/storage/placement.hpp"
#include "cluster/storage/replica.hpp"

namespace amberswitch::cluster::storage {

constexpr Millis kReplicateTimeout{300};

// The result of sending one record or state.
enum class ReplicateOutcome : std::uint8_t {
    stored,
    fenced,  // the replica has promised a newer epoch: this store no longer owns the partition
    failed,  // no answer, or the replica's disk failed; the record may have been stored nevertheless
};

class Replicator {
public:
    using Done = std::function<void(ReplicateOutcome)>;

    Replicator(Scheduler& scheduler, Transport& transport, const Placement& placement, const Replica& replica,
               const StoreClock& clock);

    // Both run `done` once the other store has synced the entry or the call has failed. `done` never runs
    // inside the call.
    void sendRecord(const std::string& store, Epoch epoch, std::shared_ptr<const MessageRecord> record,
                    Done done);
    void sendState(const std::string& store, Epoch epoch, RecordUpdate state, Done done);
    // Schedules the message's state for the next flush(), which sends the state of that moment. It is sent
    // again until the store has taken it, and dropped once the store is not alive. Nothing waits for it.
    void scheduleStateUpdate(const std::string& store, PartitionId partition, const MessageId& id);
    // Sends the scheduled states. Call about every 100 ms.
    void flush();
    // Whether the last call with records or awaited states to this store succeeded; true before the first.
    bool healthy(const std::string& store) const;
    // Whether nothing is queued or in progress.
    bool idle() const;

private:
    struct Entry {
        PartitionId partition = 0;
        Epoch epoch = 0;
        std::shared_ptr<const MessageRecord> record;  // null: the entry is a state
        RecordUpdate state;
        Done done;
    };
    using MessageKey = std::pair<PartitionId, MessageId>;
    struct Outbox {
        std::deque<Entry> waiting;
        int calls_in_progress = 0;
        bool healthy = true;
        std::set<MessageKey> pending_states;
        bool flushing = false;
    };

    void enqueue(const std::string& store, Entry entry);
    void scheduleDrain();
    void drain();
    void sendBatch(const std::string& store, Outbox& outbox);
    void onReply(const std::string& store, std::vector<Entry> entries, const CallResult& result);
    void flushStore(const std::string& store, Outbox& outbox);
    ReplicateBatch batchOf(const std::vector<Entry>& entries) const;

    Scheduler& scheduler_;
    Transport& transport_;
    const Placement& placement_;
    const Replica& replica_;
    const StoreClock& clock_;
    std::map<std::string, Outbox> outboxes_;
    bool drain_scheduled_ = false;
};

}  // namespace amberswitch::cluster::storage
