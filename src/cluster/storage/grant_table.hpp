// The outstanding grants of a store. Updates a queue item, the edge that runs it and the limits of its
// service together, so that the three stay consistent.
#pragma once

#include "cluster/storage/edge_registry.hpp"
#include "cluster/storage/grant_counters.hpp"
#include "cluster/storage/owned_partition.hpp"
#include "cluster/storage/rate_limiter.hpp"
#include "cluster/storage/ready_queues.hpp"

namespace amberswitch::cluster::storage {

// A grant without a report expires, with an unknown outcome, this long after the time-out of its delivery.
constexpr Millis kGrantExpiryMargin{3000};

// Groups the edges, limits, ready queues and counters that granting and ending an attempt change.
class GrantTable {
public:
    GrantTable(std::string zone, Topology topology, std::uint64_t seed)
        : edges(std::move(zone), std::move(topology), seed) {}

    // Adds a new attempt, counted in the limits. RateLimiter::mayGrant() must have returned true.
    void addGrant(OwnedPartition& owned, QueueItem& item, const std::string& edge, AttemptId id,
                  SteadyTime now, Millis timeout) {
        limiter.recordGrant(item.service, now);
        insert(owned, item, edge, id, now, timeout);
    }
    // Adds an attempt that is already running. `uncounted`: no store can have counted its failure.
    void adopt(OwnedPartition& owned, QueueItem& item, const std::string& edge, AttemptId id, SteadyTime now,
               Millis timeout, bool uncounted) {
        limiter.recordAdoption(item.service);
        ++counters.adopted;
        insert(owned, item, edge, id, now, timeout);
        item.grant->failure_uncounted = uncounted;
    }
    // Removes a finished or abandoned attempt. The caller must change the item's state in its queue at once.
    // Does nothing if the item has no grant.
    void endGrant(QueueItem& item, DestinationStatus destination, SteadyTime now) {
        if (!item.grant) return;
        limiter.recordEnd(item.grant->service, destination, now);
        edges.detach(item.grant->edge, item);
        item.grant.reset();
    }
    // Removes all grants of a partition that moves to another owner.
    void endAll(OwnedPartition& owned, SteadyTime now) {
        owned.queue.forEach([&](QueueItem& item) { endGrant(item, DestinationStatus::unknown, now); });
    }
    // Corrects the edge that runs the attempt.
    void reassign(QueueItem& item, const std::string& edge) {
        edges.detach(item.grant->edge, item);
        item.grant->edge = edge;
        edges.attach(edge, item);
    }

    EdgeRegistry edges;
    RateLimiter limiter;
    ReadyQueues ready;
    GrantCounters counters;

private:
    void insert(OwnedPartition& owned, QueueItem& item, const std::string& edge, AttemptId id, SteadyTime now,
                Millis timeout) {
        owned.queue.grant(
            item, {id, edge, item.service, now, now + timeout + kGrantExpiryMargin, std::nullopt, true});
        edges.attach(edge, item);
    }
};

}  // namespace amberswitch::cluster::storage
