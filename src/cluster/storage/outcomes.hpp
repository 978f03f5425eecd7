// What becomes of a message when an attempt is reported, given up, or when its time is over.
#pragma once

#include <functional>
#include <random>

#include "cluster/storage/grant_book.hpp"
#include "cluster/storage/queue_items.hpp"
#include "cluster/storage/replicator.hpp"

namespace amberswitch::cluster::storage {

// Call-backs under way to one receiver, from one store: receivers accept few connections.
constexpr std::uint32_t kMostCallbacksPerReceiver = 16;

class Outcomes {
public:
    Outcomes(OwnedPartitions& owned, GrantBook& book, Replica& replica, Replicator& replicator,
             const QueueItemFactory& items, const StoreClock& clock, std::uint64_t seed)
        : owned_(owned),
          book_(book),
          replica_(replica),
          replicator_(replicator),
          items_(items),
          clock_(clock),
          random_(seed) {}

    // Applies a report. False: this store does not own the partition.
    bool apply(const std::string& edge, const RunResult& result);
    // The grant surely did not run, or nothing is known of it: the message may be granted again after a
    // backoff.
    void giveBack(OwnedPartition& owned, QueueItem& item, DestinationSign sign);
    // Ends a message whose retention is over, gives a call-back up.
    void endOverdue(OwnedPartition& owned);
    // Sends a message where the configuration in force sends it, or ends it where its route is gone. True: it
    // has ended, and `item` may be gone.
    bool applyConfiguration(OwnedPartition& owned, QueueItem& item);
    // The same for all that are stored.
    void applyConfiguration(OwnedPartition& owned);
    // Takes over what the replica learned from elsewhere: an end, a count, or a message that the queue lacks.
    void refresh(OwnedPartition& owned, const MessageId& id);
    // Puts a live message of the replica into the queue.
    void recover(OwnedPartition& owned, const MessageId& id, const StoredMessage& message);

private:
    void applyToRun(OwnedPartition& owned, QueueItem& item, const std::string& edge, const RunResult& result);
    void applyToCallback(OwnedPartition& owned, QueueItem& item, const RunResult& result);
    void count(const OwnedPartition& owned, const QueueItem* item, const RunResult& result);
    // Whether another run of the message has succeeded before, as far as this store knows.
    bool isRepeatedSuccess(const OwnedPartition& owned, const RunResult& result) const;
    // Counts an answer of 500 once; true: it was the last one, and the message has ended.
    bool countFailure(OwnedPartition& owned, QueueItem& item, const std::string& edge,
                      const RunResult& result);
    // The call-back was taken, or is given up.
    void finishCallback(OwnedPartition& owned, QueueItem& item, DestinationSign sign);
    void end(OwnedPartition& owned, QueueItem& item, Phase phase, const std::string& stamp);
    void continueWithCallback(OwnedPartition& owned, const std::string& edge, const RunResult& result);
    // Writes the state and has it told to the holders of the message.
    void write(const QueueItem& item, const RecordUpdate& update);
    void endInQueue(OwnedPartition& owned, QueueItem& item);
    Millis backoff(QueueItem& item, bool destination_down);

    OwnedPartitions& owned_;
    GrantBook& book_;
    Replica& replica_;
    Replicator& replicator_;
    const QueueItemFactory& items_;
    const StoreClock& clock_;
    std::mt19937_64 random_;
};

}  // namespace amberswitch::cluster::storage
