// State of the peering of one partition: before a new owner may serve, it collects what the other stores
// hold. PeeringRound decides whether enough stores have answered (a quorum) and which copies are missing.
// Pure logic; PeeringDriver makes the calls. f is the number of stores that may be lost at once
// (`tolerated`).
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/common/messages.hpp"
#include "cluster/storage/replica.hpp"
#include "cluster/storage/spread_rule.hpp"

namespace amberswitch::cluster::storage {

// Another store of the view, as the owner sees it when the round begins.
struct PeerStore {
    std::string name;
    bool alive = true;
    // It is the previous owner and can still answer (planned shutdown, failed disk, or the partition moves).
    // Only it knows the newest ends and the grants that are outstanding.
    bool hands_over = false;
    bool keeps_copies = true;  // false: it is retiring, so that its copies don't count
    Epoch away_epoch = 0;      // if not alive: the epoch of the first view of this absence
    std::string zone = {};
};

// A copy that has to be sent to another store.
struct MissingCopy {
    std::string store;
    MessageId id;
    bool with_content = false;  // false: only the state is sent
};

class PeeringRound {
public:
    // `others`: all stores of the view except this one, in the order in which they are chosen for copies.
    // `own_valid`, `own_peered`: the state of this store's own replica, as in PullReply. `spread_rule` and
    // `own_zone` matter where the loss of zones or regions is tolerated.
    PeeringRound(PartitionId partition, std::vector<PeerStore> others, std::uint32_t tolerated,
                 bool own_valid, Epoch own_peered = 0, SpreadRule spread_rule = {},
                 std::string own_zone = {});

    void onReply(const std::string& store, const PullReply& reply);
    bool hasAnswered(const std::string& store) const { return answered_.contains(store); }
    // Records the reply of a store whose disk fails: its contents were received, but it counts neither as an
    // answer nor as a copy.
    void onNonDurableReply(const std::string& store) { non_durable_replies_.insert(store); }
    // Whether the store has sent all that it knows, whether or not that counts as an answer.
    bool hasReported(const std::string& store) const {
        return hasAnswered(store) || non_durable_replies_.contains(store);
    }
    // Whether the answers contain every message that was ever accepted: n - f valid replicas have answered,
    // this store's own included. n leaves out stores that have been away since before the partition was last
    // peered: at that time everything was on f + 1 other stores, and no message was accepted with the absent
    // ones since. Also true once all stores have answered, since nothing more can be learned then.
    bool hasQuorum() const;
    bool allAliveAnswered() const;
    // False while a store that hands the partition over has not sent what it knows.
    bool isHandedOver() const;
    // False while a live store that is retiring has not answered.
    bool haveRetiringAnswered() const;
    // Whether enough stores are alive for f + 1 copies that satisfy the spread rule. Otherwise no replica may
    // be marked valid.
    bool canReachRedundancy() const { return copies_wanted_ == std::size_t{tolerated_} + 1 && can_spread_; }
    // Returns the copies needed so that each live message and each end is on f + 1 live stores and no store
    // that answered has an outdated state. Messages for which `skip` returns true are left out: their accept
    // is still in progress.
    std::vector<MissingCopy> missing(const Replica& replica,
                                     const std::function<bool(const MessageId&)>& skip) const;
    // Returns the stores that hold the content of the message, by their answers and the copies made since.
    std::vector<std::string> holders(const MessageId& id) const;
    const std::vector<PeerStore>& others() const { return others_; }
    PartitionId partition() const { return partition_; }
    // Records that the copy has been made, with the state that was sent.
    void onCopied(const MissingCopy& copy, const RecordUpdate& state);

private:
    struct ListedState {
        Phase phase = Phase::pending;
        std::uint32_t failures = 0;
        bool callback_done = false;
        bool content = false;
    };
    using Listing = std::unordered_map<MessageId, ListedState>;

    static bool keepsCopies(const PeerStore& store);
    // Whether the store may hold an accepted message that no other store holds, and so belongs to n.
    bool countsForQuorum(const PeerStore& store) const;
    const ListedState* findListed(const std::string& store, const MessageId& id) const;
    static bool isBehind(const ListedState& listed, const StoredMessage& message);
    void addMissing(const MessageId& id, const StoredMessage& message,
                    std::vector<MissingCopy>& missing) const;

    PartitionId partition_;
    std::vector<PeerStore> others_;
    std::uint32_t tolerated_;
    bool own_valid_;
    Epoch peered_;  // the newest epoch in which the partition was peered, as far as any answer says
    SpreadRule spread_rule_;
    std::string own_zone_;
    std::size_t copies_wanted_;  // including this store's own
    bool can_spread_ = true;     // copies on all stores that keep them would satisfy the spread rule
    std::set<std::string> answered_;
    std::set<std::string> valid_;                // of those, the ones that lack nothing
    std::set<std::string> non_durable_replies_;  // stores whose disk failed
    std::map<std::string, Listing> listings_;    // by store: what it holds
};

}  // namespace amberswitch::cluster::storage
