// Changes the state of a message when an attempt is reported or abandoned, when the message expires, or when
// the configuration changes.
#pragma once

#include <functional>
#include <random>

#include "cluster/storage/grant_table.hpp"
#include "cluster/storage/queue_item_factory.hpp"
#include "cluster/storage/replicator.hpp"

namespace amberswitch::cluster::storage {

// Concurrent call-backs from one store to one receiver: receivers accept few connections.
constexpr std::uint32_t kMaxCallbacksPerReceiver = 16;

// Applies outcomes to the queues of the owned partitions, stores the new state and replicates it. `seed`
// seeds the random backoff.
class OutcomeHandler {
public:
    OutcomeHandler(OwnedPartitions& owned, GrantTable& grants, Replica& replica, Replicator& replicator,
                   const QueueItemFactory& items, const StoreClock& clock, std::uint64_t seed)
        : owned_(owned),
          grants_(grants),
          replica_(replica),
          replicator_(replicator),
          items_(items),
          clock_(clock),
          random_(seed) {}

    // Applies a report of `edge`. False: this store is not the active owner of the partition.
    bool apply(const std::string& edge, const RunResult& result);
    // Ends a grant that did not run, or whose outcome is unknown: the message may be granted again after a
    // backoff.
    void requeue(OwnedPartition& owned, QueueItem& item, DestinationStatus destination);
    // Moves messages whose retention is over to the dead letters, and abandons expired call-backs.
    void endExpired(OwnedPartition& owned);
    // Applies the current configuration to a message: its route, service and priority, or its end as a dead
    // letter if no route matches it any more. True: it has ended, and `item` may be invalid.
    bool applyConfiguration(OwnedPartition& owned, QueueItem& item);
    // Applies the current configuration to all stored messages of the partition.
    void applyConfiguration(OwnedPartition& owned);
    // Updates the queue from the replica after a merge: an end, a count of failures, or a message that the
    // queue lacks.
    void refresh(OwnedPartition& owned, const MessageId& id);
    // Adds a live message of the replica to the queue.
    void recover(OwnedPartition& owned, const MessageId& id, const StoredMessage& message);

private:
    void applyToRun(OwnedPartition& owned, QueueItem& item, const std::string& edge, const RunResult& result);
    void applyToCallback(OwnedPartition& owned, QueueItem& item, const RunResult& result);
    void countOutcome(const OwnedPartition& owned, const QueueItem* item, const RunResult& result);
    // Whether this store already knows a success of another run of the message.
    bool isRepeatedSuccess(const OwnedPartition& owned, const RunResult& result) const;
    // Counts an answer of 500, once per attempt. True: the limit is reached, and the message has ended.
    bool countFailure(OwnedPartition& owned, QueueItem& item, const std::string& edge,
                      const RunResult& result);
    // Ends a call-back that was delivered or is abandoned.
    void finishCallback(OwnedPartition& owned, QueueItem& item, DestinationStatus destination);
    // Stores the end of a message; a call-back that is owed remains in the queue.
    void end(OwnedPartition& owned, QueueItem& item, Phase phase, const std::string& stamp);
    // Adopts the call-back that the edge has started together with its report.
    void adoptCallback(OwnedPartition& owned, const std::string& edge, const RunResult& result);
    // Merges the update into the local replica and schedules its replication to the holders of the message.
    void writeAndReplicate(const QueueItem& item, const RecordUpdate& update);
    void endInQueue(OwnedPartition& owned, QueueItem& item);
    // A random delay whose upper bound doubles with each retry of the item.
    Millis backoff(QueueItem& item, bool destination_down);

    OwnedPartitions& owned_;
    GrantTable& grants_;
    Replica& replica_;
    Replicator& replicator_;
    const QueueItemFactory& items_;
    const StoreClock& clock_;
    std::mt19937_64 random_;
};

}  // namespace amberswitch::cluster::storage
