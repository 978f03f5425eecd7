// Runs the peering of the partitions that this store owns in the present view: asks the other stores, merges
// what they hold, has the missing copies made, and tells the replicas when they are valid.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/storage/peering.hpp"
#include "cluster/storage/placement.hpp"
#include "cluster/storage/replicator.hpp"

namespace amberswitch::cluster::storage {

class PeeringDriver {
public:
    struct Hooks {
        // Enough have answered: the partition may become active. Runs once per start().
        std::function<void(PartitionId, const std::vector<RunningAttempt>& running)> on_quorum;
        // Something new was learned of these messages after on_quorum.
        std::function<void(PartitionId, const std::vector<MessageId>& touched)> on_merged;
        // The store has the content of the message.
        std::function<void(PartitionId, const MessageId&, const std::string& store)> on_holder;
        // The accept of the message is under way; others take care of its copies.
        std::function<bool(PartitionId, const MessageId&)> is_storing;
        // Everything live stands on enough disks of the view.
        std::function<void(PartitionId, Epoch)> on_done;
    };

    PeeringDriver(Scheduler& scheduler, Transport& transport, Replica& replica, Replicator& replicator,
                  const Placement& placement, const StoreClock& clock, Hooks hooks);

    // Begins a round in the present view; an earlier one of the partition is dropped.
    void start(PartitionId partition, std::vector<PeerStore> others);
    void cancel(PartitionId partition) { rounds_.erase(partition); }
    // Retries what failed. Call every 100 ms or so.
    void tick();

    // The other stores that are known to hold the content of the message.
    std::vector<std::string> holders(PartitionId partition, const MessageId& id) const;
    bool running(PartitionId partition) const { return rounds_.contains(partition); }
    // Partitions of which copies are still to be made.
    std::size_t unfinished() const;
    // Copies that were found missing and are not made yet.
    std::size_t copiesInProgress() const;

private:
    struct Pull {
        bool in_progress = false;
        SteadyTime next;
    };
    struct Round {
        explicit Round(PeeringRound round) : logic(std::move(round)) {}

        std::uint64_t id = 0;  // tells answers to an earlier round apart
        Epoch epoch = 0;
        PeeringRound logic;
        SteadyTime started;
        bool own_promise_durable = false;
        bool own_sync_in_progress = false;
        bool has_quorum = false;
        bool copies_made = false;
        std::size_t copies_in_progress = 0;
        bool copy_failed = false;
        SteadyTime next_copies;
        std::vector<RunningAttempt> running;
        std::map<std::string, Pull> pulls;
        std::set<std::string> notified_done;   // peering_done is under way or taken
        std::set<std::string> confirmed_done;  // taken
    };

    Round* findRound(PartitionId partition, std::uint64_t id);
    // Until this store's own promise is durable; its disk may fail meanwhile.
    void syncOwnPromise(PartitionId partition, Round& round);
    void startPulls();
    // Such a store is asked first and often.
    static bool isReachable(const PeerStore& store);
    bool wantsPull(const Round& round, const PeerStore& store) const;
    void pull(PartitionId partition, Round& round, const PeerStore& store);
    void onPullResult(PartitionId partition, std::uint64_t id, const std::string& store,
                      const CallResult& result);
    void recordReply(PartitionId partition, Round& round, const std::string& store, const PullReply& reply);
    std::vector<MessageId> merge(PartitionId partition, PullReply& reply);
    void advance(PartitionId partition, std::uint64_t id);
    void makeCopies(PartitionId partition, Round& round);
    void makeCopy(PartitionId partition, Round& round, const MissingCopy& copy);
    void onCopy(PartitionId partition, std::uint64_t id, const MissingCopy& copy, const RecordUpdate& state,
                ReplicateOutcome outcome);
    void onCopiesMade(PartitionId partition, Round& round);
    // Replicas may be called valid once the copies are made.
    static bool canBeDone(const Round& round);
    void notifyDone(PartitionId partition, Round& round);
    // Forgets a round of which nothing more can come.
    void finishIfAllConfirmed(PartitionId partition, Round& round, const std::string& store);

    Scheduler& scheduler_;
    Transport& transport_;
    Replica& replica_;
    Replicator& replicator_;
    const Placement& placement_;
    const StoreClock& clock_;
    Hooks hooks_;
    std::uint64_t last_round_ = 0;
    int pulls_from_reachable_ = 0;
    int pulls_from_unreachable_ = 0;
    std::map<PartitionId, Round> rounds_;
};

}  // namespace amberswitch::cluster::storage
