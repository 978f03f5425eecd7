// Follows the edges: what they say they run, which have gone silent, and whether enough is known after a
// change of owners to grant what was recovered.
#pragma once

#include "cluster/storage/granter.hpp"

namespace amberswitch::cluster::storage {

// Recovered messages are granted after this, whoever has not told what it runs.
constexpr Millis kSettleAtMost{1000};

class EdgeWatch {
public:
    EdgeWatch(Transport& transport, OwnedPartitions& owned, GrantBook& book, Outcomes& outcomes,
              Granter& granter, const StoreClock& clock, std::string self);

    void setEdgeCount(std::size_t edges) { expected_edges_ = edges; }
    // Something other than an edge_sync arrived from the edge.
    void heard(const std::string& edge, const NodeAddress& address);
    void onSync(const EdgeSync& sync);
    // The partition has just become active: takes over what the edges have told already.
    void onActive(OwnedPartition& owned, const std::vector<RunningAttempt>& running);
    // Gives back what has expired, and asks silent edges that hold grants. Call every 100 ms or so.
    void tick();

private:
    void takeBackMissing(Edge& edge, const EdgeSync& sync, bool restarted);
    bool lostAt(const QueueItem& item, bool restarted) const;
    // What was granted to the edge before it was asked whether it is there, and it did not answer.
    void takeBackUnanswered(Edge& edge, SteadyTime asked);
    void takeBack(QueueItem& item);
    void checkEdge(Edge& edge);
    void takeBackExpired(Edge& edge);
    void ask(Edge& edge);
    void onAnswer(const std::string& name, const CallResult& result);
    void settleWherePossible();

    Transport& transport_;
    OwnedPartitions& owned_;
    GrantBook& book_;
    Outcomes& outcomes_;
    Granter& granter_;
    const StoreClock& clock_;
    std::string self_;
    std::size_t expected_edges_ = 0;
};

}  // namespace amberswitch::cluster::storage
