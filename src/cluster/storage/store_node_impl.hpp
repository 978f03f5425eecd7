// The implementation of StoreNode: its components and how they are connected. Included only by
// store_node*.cpp.
#pragma once

#include <map>
#include <set>

#include "cluster/storage/edge_watch.hpp"
#include "cluster/storage/message_acceptor.hpp"
#include "cluster/storage/misplaced_key_survey.hpp"
#include "cluster/storage/peering_driver.hpp"
#include "cluster/storage/store_node.hpp"

namespace amberswitch::cluster {

class StoreNode::Impl {
public:
    Impl(Scheduler& scheduler, Transport& transport, RecordStore& disk, const NodeSettings& settings,
         Incarnation incarnation);

    void start();
    void onView(std::shared_ptr<const StoreView> view);
    void onServers(const ServerList& servers);
    void onConfiguration(std::shared_ptr<const Configuration> configuration);
    void onUsable(std::function<void(bool)> listener) { on_usable_ = std::move(listener); }
    void setEdgeCount(std::uint32_t edges) { edge_watch_.setEdgeCount(edges); }
    void leave(std::function<void()> done);
    std::string statusJson() const;
    std::string metricsText() const;

private:
    using OwnedPartition = storage::OwnedPartition;
    // The grants that were outstanding when this process last gave up a partition, kept for the successor.
    struct FormerGrants {
        std::vector<RunningAttempt> running;
        SteadyTime until;
        Epoch successor = 0;  // the epoch of the first pull; only that owner receives `running`
    };

    // --- Ownership (store_node.cpp) ---
    void tick();
    // Whether the view names this store as the owner, in any of its processes.
    bool isNamedAsOwner(const StoreView& view, PartitionId partition) const;
    // Whether the view names this process as the owner.
    bool isOwnerInView(const StoreView& view, PartitionId partition) const;
    void takeOver(PartitionId partition, const StoreView& view, Epoch previous_epoch);
    void relinquish(PartitionId partition);
    // Gives up the partition after a replica has promised a newer epoch: another store owns it, and the view
    // that says so has not arrived yet.
    void onFenced(PartitionId partition);
    void recordOwnJoin();
    std::vector<storage::PeerStore> peersOf(PartitionId partition) const;
    void onQuorum(PartitionId partition, const std::vector<RunningAttempt>& running);
    void onMerged(PartitionId partition, const std::vector<MessageId>& touched);
    void recoverAll(OwnedPartition& owned);
    // Sorts messages newest first: whether an older message is a stray is decided from the newer messages of
    // its line.
    std::vector<MessageId> sortedNewestFirst(PartitionId partition, std::vector<MessageId> ids);
    // Messages may no longer wait for others of their key in another partition.
    void onMisplacedKeysChanged();
    void addKnownHolders(storage::QueueItem& item);
    void updateLimiterShares();
    void finishLeaving();
    void onDiskHealth(bool healthy);
    void onReadFailure();
    void clearReadFailure();
    void notifyUsable();
    storage::PeeringDriver::Hooks peeringHooks();

    // --- Requests (store_node_requests.cpp) ---
    void serve(const Envelope& request, Responder respond);
    template <class Message>
    void dispatch(const Envelope& request, const Responder& respond,
                  void (Impl::*handle)(Message, const Responder&));
    void onAccept(AcceptMessageRequest request, const Responder& respond);
    void onReport(RunReport report, const Responder& respond);
    void onEdgeSync(EdgeSync sync, const Responder& respond);
    void onStateQuery(StateQuery query, const Responder& respond);
    void onBodyQuery(StateQuery query, const Responder& respond);
    void onReplicaBody(StateQuery query, const Responder& respond);
    void onReplicate(ReplicateBatch batch, const Responder& respond);
    void onPull(PullRequest request, const Responder& respond);
    void onPeeringDone(PeeringDone done, const Responder& respond);
    void onMisplacedKeys(MisplacedKeysRequest request, const Responder& respond);
    void onPeeringProgress(PeeringProgressRequest request, const Responder& respond);
    StateReply stateOf(const StateQuery& query);
    void fetchBody(const StateQuery& query, StateReply reply, std::vector<std::string> stores,
                   const Responder& respond);
    ReplicateReply applyReplicate(ReplicateRequest& request, std::int64_t shift_ms);
    PullReply pullReply(const PullRequest& request);

    Scheduler& scheduler_;
    Transport& transport_;
    RecordStore& disk_;
    NodeSettings settings_;
    Incarnation incarnation_;

    storage::StoreClock clock_;
    storage::Placement placement_;
    storage::Replica replica_;
    storage::Replicator replicator_;
    storage::GrantTable grants_;  // before owned_, whose queues refer to it
    storage::MisplacedKeys misplaced_keys_;
    storage::OwnedPartitions owned_;
    storage::QueueItemFactory items_;
    storage::OutcomeHandler outcomes_;
    storage::Granter granter_;
    storage::EdgeWatch edge_watch_;
    storage::MessageAcceptor acceptor_;
    storage::PeeringDriver peering_;
    storage::MisplacedKeySurvey misplaced_key_survey_;

    std::shared_ptr<const StoreView> view_;
    std::shared_ptr<const Configuration> configuration_;
    std::map<PartitionId, FormerGrants> former_grants_;
    std::map<PartitionId, Epoch> last_peering_done_;  // the newest epoch whose replicas are known to be valid
    TimerHandle tick_timer_;
    TimerHandle grace_timer_;
    std::function<void()> on_left_;
    std::function<void(bool)> on_usable_;
    std::set<PartitionId> awaiting_pull_;  // while leaving: partitions that no successor has pulled yet
    bool has_unreadable_data_ =
        false;  // data could not be read, and no view has listed this store as away since
    bool leaving_ = false;
    bool successors_done_ = false;
    std::uint64_t ticks_ = 0;
};

}  // namespace amberswitch::cluster
