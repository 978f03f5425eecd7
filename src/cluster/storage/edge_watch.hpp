// Monitors the edges: processes their lists of running attempts, probes silent edges, requeues the messages
// of lost attempts, and decides when recovered messages may be granted after a change of owner.
#pragma once

#include "cluster/storage/granter.hpp"

namespace amberswitch::cluster::storage {

// Recovered messages are released after this time even if some edges have not listed their running attempts.
constexpr Millis kMaxRecoveredHold{1000};

// Keeps grants consistent with what the edges run. `self` is the name of this store.
class EdgeWatch {
public:
    EdgeWatch(Transport& transport, OwnedPartitions& owned, GrantTable& grants, OutcomeHandler& outcomes,
              Granter& granter, const StoreClock& clock, std::string self);

    // The number of edges that must list their running attempts before recovered messages are released early.
    void setEdgeCount(std::size_t edges) { expected_edges_ = edges; }
    // Records that a message other than an edge_sync arrived from the edge.
    void recordContact(const std::string& edge, const NodeAddress& address);
    // Processes the edge's list of running attempts.
    void onSync(const EdgeSync& sync);
    // Called when a partition has become active: adopts the running attempts that the edges have already
    // listed and `running`, those that the previous owner reported.
    void onActive(OwnedPartition& owned, const std::vector<RunningAttempt>& running);
    // Requeues the messages of expired grants and probes silent edges that hold grants. To be called about
    // every 100 ms.
    void tick();

private:
    // Requeues the messages of grants that the edge's list lacks for long enough.
    void reclaimMissing(Edge& edge, const EdgeSync& sync, bool restarted);
    // Whether a grant that the edge's list lacks can be taken as lost. `restarted`: the edge is a new
    // process.
    bool isLost(const QueueItem& item, bool restarted) const;
    // Requeues the messages of grants given up to the time of a probe that the edge did not answer.
    void reclaimUnanswered(Edge& edge, SteadyTime probed);
    void reclaim(QueueItem& item);
    void checkEdge(Edge& edge);
    void reclaimExpired(Edge& edge);
    void probe(Edge& edge);
    void onProbeAnswer(const std::string& name, const CallResult& result);
    // Releases the recovered messages of each partition whose running attempts are known or whose wait is
    // over.
    void releaseRecoveredPartitions();

    Transport& transport_;
    OwnedPartitions& owned_;
    GrantTable& grants_;
    OutcomeHandler& outcomes_;
    Granter& granter_;
    const StoreClock& clock_;
    std::string self_;
    std::size_t expected_edges_ = 0;
};

}  // namespace amberswitch::cluster::storage
