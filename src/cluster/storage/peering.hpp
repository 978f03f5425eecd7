// What the owner of a new epoch learns from the other stores about one partition: whether enough have
// answered, and which copies are missing. Pure logic; the calls are made by PeeringDriver.
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

struct PeerStore {
    std::string name;
    bool alive = true;
    // It owned the partition until now and is still there (planned end, or the partition moves): only it
    // knows the newest ends, and what it has granted.
    bool hands_over = false;
    bool keeps_copies = true;  // false: it is retiring, so that copies there don't count
    Epoch away_epoch = 0;      // not alive: the first view of this absence
    std::string zone = {};
};

// One copy that another store should get.
struct MissingCopy {
    std::string store;
    MessageId id;
    bool with_content = false;  // else only the state
};

class PeeringRound {
public:
    // `others`: all stores of the view but this one, in the order in which they are to hold copies.
    // `own_valid`, `own_peered`: of this store's own replica, as in PullReply. `spread_rule` and `own_zone`:
    // where zones or regions may be lost at once.
    PeeringRound(PartitionId partition, std::vector<PeerStore> others, std::uint32_t tolerated,
                 bool own_valid, Epoch own_peered = 0, SpreadRule spread_rule = {},
                 std::string own_zone = {});

    void onReply(const std::string& store, const PullReply& reply);
    bool hasAnswered(const std::string& store) const { return answered_.contains(store); }
    // The store's disk fails: it has told what it knows, and counts neither as an answer nor as a copy.
    void onNonDurableReply(const std::string& store) { non_durable_replies_.insert(store); }
    // It has told what it knows, whether that counts or not.
    bool hasReported(const std::string& store) const {
        return hasAnswered(store) || non_durable_replies_.contains(store);
    }
    // Everything that was ever accepted is among the answers: n - f replicas that lack nothing have answered.
    // n leaves out stores that have been away since before the partition was last peered: everything stood on
    // f + 1 others then, and nothing was accepted with them since.
    // Once all have answered, nothing more can be learned, and it is enough too.
    bool hasQuorum() const;
    bool allAliveAnswered() const;
    // False while a store that hands the partition over has not told what it knows.
    bool isHandedOver() const;
    // False while a live store that is retiring has not told what it knows.
    bool haveRetiringAnswered() const;
    // f + 1 copies can be made; else no replica may be called valid.
    bool canReachRedundancy() const { return copies_wanted_ == std::size_t{tolerated_} + 1 && can_spread_; }
    // What must be copied so that each live message, and each end, stands on f + 1 live stores, and so that
    // no store that answered is behind. `skip` leaves out messages whose accept is still under way.
    std::vector<MissingCopy> missing(const Replica& replica,
                                     const std::function<bool(const MessageId&)>& skip) const;
    // The stores that hold the content of a live message.
    std::vector<std::string> holders(const MessageId& id) const;
    const std::vector<PeerStore>& others() const { return others_; }
    PartitionId partition() const { return partition_; }
    // The copy has been made.
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
    // Whether the store may hold something accepted that no other store holds.
    bool countsForQuorum(const PeerStore& store) const;
    const ListedState* findListed(const std::string& store, const MessageId& id) const;
    static bool isBehind(const ListedState& listed, const StoredMessage& message);
    void addMissing(const MessageId& id, const StoredMessage& message,
                    std::vector<MissingCopy>& missing) const;

    PartitionId partition_;
    std::vector<PeerStore> others_;
    std::uint32_t tolerated_;
    bool own_valid_;
    Epoch peered_;  // the newest epoch of which anybody knows that the partition was peered in it
    SpreadRule spread_rule_;
    std::string own_zone_;
    std::size_t copies_wanted_;  // with this store's own
    bool can_spread_ = true;     // copies at all that keep them would stand in zones and regions enough
    std::set<std::string> answered_;
    std::set<std::string> valid_;                // of those, the ones that lack nothing
    std::set<std::string> non_durable_replies_;  // in doubt
    std::map<std::string, Listing> listings_;    // by store: what it holds
};

}  // namespace amberswitch::cluster::storage
