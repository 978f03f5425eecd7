// Sends records and states to other stores. What becomes due in one turn of the loop, or while earlier calls
// to the same store are under way, travels together.
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

enum class ReplicateOutcome : std::uint8_t {
    stored,
    fenced,  // the replica has promised a newer epoch: this store does not own the partition any more
    failed,  // no answer, or the replica's disk failed; it may have the record all the same
};

class Replicator {
public:
    using Done = std::function<void(ReplicateOutcome)>;

    Replicator(Scheduler& scheduler, Transport& transport, const Placement& placement, const Replica& replica,
               const StoreClock& clock);

    // Both answer once the other store has synced. `done` never runs inside the call.
    void sendRecord(const std::string& store, Epoch epoch, std::shared_ptr<const MessageRecord> record,
                    Done done);
    void sendState(const std::string& store, Epoch epoch, RecordUpdate state, Done done);
    // Sends the state that the message will have at the next flush(), repeatedly until the store has it;
    // nobody waits for it. Given up when the store is not alive any more.
    void scheduleStateUpdate(const std::string& store, PartitionId partition, const MessageId& id);
    // Sends all noted states. Call every 100 ms or so.
    void flush();
    // Whether the last call to this store went through.
    bool healthy(const std::string& store) const;
    // Nothing is waiting or under way.
    bool idle() const;

private:
    struct Entry {
        PartitionId partition = 0;
        Epoch epoch = 0;
        std::shared_ptr<const MessageRecord> record;  // null: a state
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
