// Accepts new messages at the owner of their partition: writes each message to the local disk, replicates it
// to the required number of other stores, and then answers the edge.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/storage/granter.hpp"

namespace amberswitch::cluster::storage {

// New messages are refused above this fraction of the disk capacity; the rest is kept for the state records
// that end messages.
constexpr double kMaxDiskUse = 0.8;

// Handles accept requests of the active partitions of one store. A message is answered as stored once it is
// synced on the local disk and on `tolerated` other stores that satisfy the spread rule of the placement.
class MessageAcceptor {
public:
    using Answer = std::function<void(const AcceptMessageReply&)>;

    MessageAcceptor(RecordStore& disk, Replica& replica, Replicator& replicator, const Placement& placement,
                    const StoreClock& clock, OwnedPartitions& owned, QueueItemFactory& items,
                    OutcomeHandler& outcomes, Granter& granter, std::function<void(PartitionId)> on_fenced);

    // Stores and replicates a message. Calls `answer` exactly once, possibly before this function returns.
    void accept(AcceptMessageRequest request, Answer answer);
    // Retries the replication of messages that lack copies; they become ready only once enough disks hold
    // them. To be called about every 100 ms.
    void tick();
    // Replaces copies at stores that no longer keep copies in the current view. To be called for partitions
    // that this store continues to own.
    void onView(PartitionId partition);
    // Ends the accepts of a partition that moves to another owner: those that lack copies are answered as
    // unknown, and new messages that were never acknowledged are removed from the replica, since their place
    // in the order would be wrong at the next owner.
    void abandon(PartitionId partition);
    // Answers all further accepts with not_owner.
    void stop() { stopped_ = true; }
    // Whether the message is being replicated for an accept that has not been answered.
    bool inProgress(PartitionId partition, const MessageId& id) const;
    // Number of accepts that have not been answered.
    std::size_t inProgress() const { return jobs_.size(); }
    // Number of accepts refused because their order key belongs to another partition.
    std::uint64_t misplacedCount() const { return misplaced_count_; }

private:
    using MessageName = std::pair<PartitionId, MessageId>;
    struct Job {
        std::shared_ptr<const MessageRecord> record;
        Epoch epoch = 0;
        std::size_t required_copies = 0;  // on other stores, without the local copy
        std::size_t copies = 0;
        std::size_t pending_calls = 0;
        bool own_copy = false;
        std::set<std::string> tried;
        std::set<std::string> holders;
        std::string edge;
        bool wants_grant = false;
        bool is_new = false;  // no earlier accept of the message has been answered
        std::vector<Answer> answers;
    };

    bool hasDiskSpace() const;
    // Whether the message has an order key of another partition: an edge of an older version placed it.
    bool isMisplaced(const OwnedPartition& owned, const MessageContent& content) const;
    // Whether the local copy and the copies at these stores survive the tolerated losses of stores and zones.
    bool hasEnoughCopies(const std::set<std::string>& holders) const;
    // False: the message is refused, since stores or disk space are lacking; `answer` has not been called.
    bool acceptNew(OwnedPartition& owned, AcceptMessageRequest& request, Answer answer);
    // Stores in the record the last message of the same order key that an older epoch has accepted.
    static void recordPredecessor(const OwnedPartition& owned, MessageRecord& record);
    // Handles an accept of a message that this store already has: replicates it where copies are lacking.
    void acceptDuplicate(OwnedPartition& owned, const MessageId& id, Answer answer);
    // A job that starts from the copies which the holders of the item still keep.
    Job resumedJob(const QueueItem& item, MessageRecord record) const;
    void startJob(const OwnedPartition& owned, const MessageName& name, Job job);
    // Moves the job to the current epoch if this store has become owner in a newer epoch than `sent`; the
    // replica that rejected `sent` has then promised this store's own newer epoch. False if there is no newer
    // epoch.
    bool raiseEpoch(Job& job, Epoch sent) const;
    static void answerAll(Job& job, const AcceptMessageReply& reply);
    // Sends the record to the next store in placement order that has not been tried. False: none is left.
    bool replicateToNext(const MessageName& name, Job& job);
    void onOwnSync(const MessageName& name, bool durable);
    void onCopy(const MessageName& name, const std::string& store, Epoch sent, ReplicateOutcome outcome);
    void finishIfStored(const MessageName& name);
    void finish(const MessageName& name, AcceptStatus status);
    // Makes a stored message ready and grants it to the accepting edge where that is possible.
    void enqueueStored(OwnedPartition& owned, Job& job, AcceptMessageReply& reply);

    RecordStore& disk_;
    Replica& replica_;
    Replicator& replicator_;
    const Placement& placement_;
    const StoreClock& clock_;
    OwnedPartitions& owned_;
    QueueItemFactory& items_;
    OutcomeHandler& outcomes_;
    Granter& granter_;
    bool stopped_ = false;
    std::uint64_t misplaced_count_ = 0;
    std::function<void(PartitionId)> on_fenced_;  // called when the partition has a newer owner
    std::map<MessageName, Job> jobs_;
    std::map<MessageName, bool> under_replicated_;  // lack copies; true: Job::is_new
};

}  // namespace amberswitch::cluster::storage
