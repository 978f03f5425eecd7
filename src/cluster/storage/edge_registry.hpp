// The edges (dispatchers) known to this store, the grants that each holds, and the choice of an edge for the
// next grant.
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
// Name of the placeholder entry that holds running attempts which a previous owner reported without naming
// the edge.
inline const std::string kUnknownEdge;

// State of one edge, as this store sees it.
struct Edge {
    std::string name;
    std::string zone;  // empty until its first edge_sync
    NodeAddress address;
    Incarnation incarnation = 0;
    SteadyTime last_contact;
    Millis heartbeat = kEdgeHeartbeatInterval;  // interval announced in its last edge_sync
    Epoch synced_epoch = 0;                     // newest view epoch for which it listed its running attempts
    bool usable = true;                         // false after a failed push, until its next contact
    bool leaving = false;
    std::optional<SteadyTime> probed;     // time of the liveness probe that awaits an answer
    std::vector<RunningAttempt> running;  // as of its last edge_sync
    std::unordered_set<QueueItem*> grants;

    // A liveness probe is pending and nothing has arrived from the edge since it was sent.
    bool isAwaitingProbeAnswer() const { return probed && last_contact <= *probed; }
    // The announced heartbeat is overdue: the edge gets no grants until its next contact.
    bool isSilent(SteadyTime now) const { return last_contact + heartbeat + kEdgeSilentSlack < now; }
    // The edge has been silent for so long that it no longer counts as connected.
    bool isGone(SteadyTime now) const { return last_contact + heartbeat + kEdgeGoneSlack < now; }
};

// All edges that have contacted this store. Pointers to edges stay valid until forgetSilent() removes the
// edge.
class EdgeRegistry {
public:
    EdgeRegistry(std::string own_zone, Topology topology, std::uint64_t seed)
        : own_zone_(std::move(own_zone)), topology_(std::move(topology)), random_(seed) {}

    // Records that a message arrived from the edge; adds the edge if it is new.
    Edge& recordContact(const std::string& name, const NodeAddress& address, SteadyTime now);
    Edge* find(const std::string& name);
    // Adds a grant to, or removes it from, the grants of an edge. `item` is not owned.
    void attach(const std::string& name, QueueItem& item);
    void detach(const std::string& name, QueueItem& item);
    // Whether `edge` is in another region while an edge of this store's region can take a grant.
    bool hasNearerThan(const Edge& edge, SteadyTime now);
    // The edge for the next grant: of two random edges among the nearest that can take a grant, the one with
    // fewer grants. Null if no edge can take one.
    Edge* choose(SteadyTime now);
    // As choose(), for destinations that should be served by the same few edges, which keep connections to
    // them. Ranks the nearest edges by a hash of destination and edge, skips those that hold clearly more
    // grants than the mean, and prefers, among the first few, one that holds no grant of this store for
    // `destination`, since a running grant occupies the edge's connection.
    Edge* chooseForDestination(std::string_view destination, SteadyTime now);
    // As choose(), for a call-back whose receiver accepts connections from only `senders` edges. The
    // candidates are the first `senders` edges in an order that is the same at all stores, whatever their
    // zones. Returns the one that holds the fewest grants of this store for the receiver, and the nearest of
    // equals. Later edges of the order are used only when none of the candidates can take a grant.
    Edge* chooseSender(std::string_view receiver, std::size_t senders, SteadyTime now);
    // Number of edges, including those that have been silent for a short time.
    std::size_t knownCount() const;
    // Whether all connected edges, and at least `expected` edges, have listed their running attempts for the
    // view `epoch` or a newer one.
    bool allSynced(Epoch epoch, std::size_t expected, SteadyTime now) const;
    void forEach(const std::function<void(Edge&)>& visit);
    std::size_t outstandingGrants() const;
    // Removes edges that have been silent for a long time and hold no grants.
    void forgetSilent(SteadyTime now);

private:
    bool isFar(const Edge& edge) const {
        return topology_.distanceBetween(own_zone_, edge.zone) == Distance::other_region;
    }
    // Whether the edge can be given one more grant.
    static bool canTakeGrant(const Edge& edge, SteadyTime now);
    std::vector<Edge*> nearestAvailable(SteadyTime now);
    // The connected edges in the order in which they become senders for the receiver.
    std::vector<Edge*> senderOrder(std::string_view receiver, SteadyTime now);
    // Whether an edge of this store's region can take a grant; cached for a short time.
    bool hasNearEdge(SteadyTime now);

    std::string own_zone_;
    Topology topology_;
    std::mt19937_64 random_;
    std::map<std::string, Edge> edges_;
    bool has_near_edge_ = false;
    SteadyTime near_edge_valid_until_{};
};

}  // namespace amberswitch::cluster::storage
