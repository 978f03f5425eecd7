// Takes messages in: writes each to this store's disk and to enough other stores, then answers.
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

// Above this part of the disk, nothing new is accepted; ends must still find room.
constexpr double kMostDiskUse = 0.8;

class Accepts {
public:
    using Answer = std::function<void(const AcceptMessageReply&)>;

    Accepts(RecordStore& disk, Replica& replica, Replicator& replicator, const Placement& placement,
            const StoreClock& clock, OwnedPartitions& owned, QueueItemFactory& items, Granter& granter);

    // Answers exactly once.
    void accept(AcceptMessageRequest request, Answer answer);
    // Accepts nothing more.
    void stop() { stopped_ = true; }
    bool underWay(PartitionId partition, const MessageId& id) const;
    std::size_t underWay() const { return jobs_.size(); }

private:
    using MessageName = std::pair<PartitionId, MessageId>;
    struct Job {
        std::shared_ptr<const MessageRecord> record;
        Epoch epoch = 0;
        std::size_t copies_wanted = 0;  // on other stores
        std::size_t copies = 0;
        std::size_t calls_under_way = 0;
        bool own_copy = false;
        std::set<std::string> tried;
        std::set<std::string> holders;
        std::string edge;
        bool wants_grant = false;
        std::vector<Answer> answers;
    };

    bool hasRoom() const;
    bool begin(OwnedPartition& owned, AcceptMessageRequest& request, Answer answer);
    // The message is here already; makes sure that it is on enough disks.
    void acceptAgain(OwnedPartition& owned, const MessageId& id, Answer answer);
    void startJob(const OwnedPartition& owned, const MessageName& name, Job job, Answer answer);
    // This store has gone on into a newer epoch as owner, which is what the replica has promised. False: it
    // has not.
    bool raiseEpoch(Job& job) const;
    static void answerAll(Job& job, const AcceptMessageReply& reply);
    bool replicateToNext(const MessageName& name, Job& job);
    void onOwnSync(const MessageName& name, bool durable);
    void onCopy(const MessageName& name, const std::string& store, ReplicateOutcome outcome);
    void finishIfStored(const MessageName& name);
    void finish(const MessageName& name, AcceptStatus status);
    void handOver(OwnedPartition& owned, Job& job, AcceptMessageReply& reply);

    RecordStore& disk_;
    Replica& replica_;
    Replicator& replicator_;
    const Placement& placement_;
    const StoreClock& clock_;
    OwnedPartitions& owned_;
    QueueItemFactory& items_;
    Granter& granter_;
    bool stopped_ = false;
    std::map<MessageName, Job> jobs_;
};

}  // namespace amberswitch::cluster::storage
