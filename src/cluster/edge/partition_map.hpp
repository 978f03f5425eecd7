// The newest store view as used by an edge: the owner of each partition, and the owners suspected to be down.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/messages.hpp"
#include "cluster/common/topology.hpp"

namespace amberswitch::cluster {

class PartitionMap {
public:
    // `zone`: the zone of the edge.
    PartitionMap(std::string zone, Topology topology)
        : zone_(std::move(zone)), topology_(std::move(topology)) {}

    // Installs a newer view; returns false if it is not newer than the current one.
    bool update(std::shared_ptr<const StoreView> view);

    // The epoch of the current view; 0 before the first one.
    Epoch epoch() const { return view_ ? view_->epoch : 0; }
    std::size_t partitionCount() const { return view_ ? view_->partitions.size() : 0; }
    // Returns null if no live store owns the partition.
    const StoreMember* owner(PartitionId partition) const;
    std::vector<const StoreMember*> aliveStores() const;
    Distance distanceTo(const StoreMember& store) const {
        return topology_.distanceBetween(zone_, store.member.zone);
    }

    // Returns a random partition among those with the nearest owners that are neither suspected nor in
    // `tried`, or nullopt if there is none.
    std::optional<PartitionId> pickPartition(std::mt19937_64& random,
                                             const std::set<NodeAddress>& tried) const;

    // A store that refused a connection, broke it or did not answer is suspected and gets no messages until
    // it answers again (StoreHeartbeats probes it).
    void suspect(const NodeAddress& owner) { suspected_.insert(owner); }
    void clearSuspicion(const NodeAddress& owner) { suspected_.erase(owner); }
    bool isSuspected(const NodeAddress& owner) const { return suspected_.contains(owner); }
    // Whether at least one partition has an owner that is not suspected.
    bool hasUsableOwner() const;

private:
    std::string zone_;
    Topology topology_;
    std::shared_ptr<const StoreView> view_;
    std::set<NodeAddress> suspected_;
};

}  // namespace amberswitch::cluster
