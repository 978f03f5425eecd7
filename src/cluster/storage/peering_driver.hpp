// Runs the peering of the partitions that this store owns in the current view: pulls the records of the other
// stores, merges them into the local replica, sends missing copies, and informs the replicas when they are
// valid.
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
        // A quorum has answered: the partition may become active. Runs once per start(). `running`: the
        // attempts that the previous owner had granted.
        std::function<void(PartitionId, const std::vector<RunningAttempt>& running)> on_quorum;
        // A reply that came after on_quorum may have changed these messages.
        std::function<void(PartitionId, const std::vector<MessageId>& touched)> on_merged;
        // The store holds the content of the message.
        std::function<void(PartitionId, const MessageId&, const std::string& store)> on_holder;
        // Returns whether the accept of the message is in progress; the acceptor then makes its copies.
        std::function<bool(PartitionId, const MessageId&)> is_storing;
        // All live messages of the partition are on enough disks of the view with this epoch.
        std::function<void(PartitionId, Epoch)> on_done;
    };

    PeeringDriver(Scheduler& scheduler, Transport& transport, Replica& replica, Replicator& replicator,
                  const Placement& placement, const StoreClock& clock, Hooks hooks);

    // Starts a round in the current view; an earlier round of the partition is discarded.
    void start(PartitionId partition, std::vector<PeerStore> others);
    void cancel(PartitionId partition) { rounds_.erase(partition); }
    // Retries failed pulls, copies and notifications. Call about every 100 ms.
    void tick();

    // Returns the other stores that are known to hold the content of the message.
    std::vector<std::string> holders(PartitionId partition, const MessageId& id) const;
    bool running(PartitionId partition) const { return rounds_.contains(partition); }
    // Returns the number of partitions whose copies are not all made yet.
    std::size_t unfinished() const;
    // Returns the number of copies that were found missing and are not made yet.
    std::size_t copiesInProgress() const;

private:
    struct Pull {
        bool in_progress = false;
        SteadyTime next;
    };
    struct Round {
        explicit Round(PeeringRound round) : logic(std::move(round)) {}

        std::uint64_t id = 0;  // identifies the round, so that answers to an earlier one are ignored
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
        std::set<std::string> notified_done;   // peering_done was sent and has not failed
        std::set<std::string> confirmed_done;  // peering_done was acknowledged
    };

    Round* findRound(PartitionId partition, std::uint64_t id);
    // Syncs this store's own promise. tick() calls it again until the promise is durable, since the disk may
    // fail meanwhile.
    void syncOwnPromise(PartitionId partition, Round& round);
    void startPulls();
    // Whether an answer can be expected soon. Such stores are retried more often and have a larger limit of
    // concurrent pulls.
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
    // Whether the replicas may be marked valid once the copies are made.
    static bool canBeDone(const Round& round);
    void notifyDone(PartitionId partition, Round& round);
    // Removes the round once its copies are made and every live store has answered and confirmed
    // peering_done.
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
