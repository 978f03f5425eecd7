// The dispatchers that are connected to this store, and what has been granted to each.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "cluster/common/edge_heartbeat.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/topology.hpp"
#include "cluster/storage/queue_item.hpp"

namespace amberswitch::cluster::storage {

constexpr std::size_t kMaxGrantsPerEdge = 256;
// Holds the grants of which a previous owner told without naming the edge.
inline const std::string kUnknownEdge;

struct Edge {
    std::string name;
    std::string zone;  // empty until its first edge_sync
    NodeAddress address;
    Incarnation incarnation = 0;
    SteadyTime heard;
    Millis heartbeat = kEdgeHeartbeatInterval;  // that it promised in its last edge_sync
    Epoch synced_epoch = 0;                     // of the newest view for which it told what it runs
    bool usable = true;                         // false after a push that failed, until heard again
    bool leaving = false;
    std::optional<SteadyTime> asked;      // whether it is there, and there is no answer yet
    std::vector<RunningAttempt> running;  // as of its last edge_sync
    std::unordered_set<QueueItem*> grants;

    // It was asked whether it is there, and nothing came from it since.
    bool isInDoubt() const { return asked && heard <= *asked; }
    // It has not kept its promise: nothing is granted to it before it is heard again.
    bool isSilent(SteadyTime now) const { return heard + heartbeat + kEdgeSilentSlack < now; }
    // Nothing is expected of it any more.
    bool isGone(SteadyTime now) const { return heard + heartbeat + kEdgeGoneSlack < now; }
};

class Edges {
public:
    Edges(std::string own_zone, Topology topology, std::uint64_t seed)
        : own_zone_(std::move(own_zone)), topology_(std::move(topology)), random_(seed) {}

    // Something arrived from the edge.
    Edge& heard(const std::string& name, const NodeAddress& address, SteadyTime now);
    Edge* find(const std::string& name);
    void attach(const std::string& name, QueueItem& item);
    void detach(const std::string& name, QueueItem& item);
    // Whether the edge stands in another region, and one that may take a grant in the own one.
    bool hasNearerThan(const Edge& edge, SteadyTime now);
    // Whom to give the next grant: among the nearest that may take one, the less busy of two drawn at random.
    // Null if nobody may take one.
    Edge* choose(SteadyTime now);
    // The same for what should go to the same few edges, which have connections to `destination`: the first
    // of the nearest in an order of its own that has not clearly more to do than the mean. It holds no grant
    // of this store for `destination` already, if one of the first few does not: its connection is taken.
    Edge* chooseFor(std::string_view destination, SteadyTime now);
    // The same for a call-back where only `senders` edges may connect to its receiver: one of the first in an
    // order that is the same at all stores, whatever their zones: the one that holds the fewest grants of
    // this store for the receiver, the nearest of these. Later ones only where none of the first may take it.
    Edge* chooseSender(std::string_view receiver, std::size_t senders, SteadyTime now);
    // How many edges there are, with those that have been silent for a short while.
    std::size_t known() const;
    // Whether all edges that are connected, and at least `expected`, have told what they run in that view.
    bool allSynced(Epoch epoch, std::size_t expected, SteadyTime now) const;
    void forEach(const std::function<void(Edge&)>& visit);
    std::size_t outstanding() const;
    // Forgets edges that have been silent for long and hold no grants.
    void forgetSilent(SteadyTime now);

private:
    bool isFar(const Edge& edge) const {
        return topology_.distanceBetween(own_zone_, edge.zone) == Distance::other_region;
    }
    // It may be given one more grant.
    static bool mayTake(const Edge& edge, SteadyTime now);
    std::vector<Edge*> nearestFree(SteadyTime now);
    // The edges that have not gone, in the order in which they become senders of that receiver.
    std::vector<Edge*> senderOrder(std::string_view receiver, SteadyTime now);
    bool hasNear(SteadyTime now);

    std::string own_zone_;
    Topology topology_;
    std::mt19937_64 random_;
    std::map<std::string, Edge> edges_;
    bool has_near_ = false;
    SteadyTime near_known_until_{};
};

}  // namespace amberswitch::cluster::storage
