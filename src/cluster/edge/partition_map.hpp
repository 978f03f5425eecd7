// The newest store view as an edge uses it: who owns a partition, and which owners lately did not answer.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/common/messages.hpp"
#include "cluster/common/topology.hpp"

namespace amberswitch::cluster {

class PartitionMap {
public:
    // `zone`: where the edge stands.
    PartitionMap(std::string zone, Topology topology)
        : zone_(std::move(zone)), topology_(std::move(topology)) {}

    // Takes a newer view; false where it is not newer than the present one.
    bool update(std::shared_ptr<const StoreView> view);

    // Of the present view; 0 before the first one.
    Epoch epoch() const { return view_ ? view_->epoch : 0; }
    std::size_t partitionCount() const { return view_ ? view_->partitions.size() : 0; }
    // Null where no live store owns the partition.
    const StoreMember* owner(PartitionId partition) const;
    std::vector<const StoreMember*> aliveStores() const;
    Distance distanceTo(const StoreMember& store) const {
        return topology_.distanceBetween(zone_, store.member.zone);
    }

    // The partition of everything with this order key on this route. Needs partitions() above 0.
    PartitionId partitionOfKey(std::string_view order_scope, std::string_view order_key) const;
    // A random partition among those with the nearest owners that are neither suspected nor among `tried`.
    // Nothing where there is none.
    std::optional<PartitionId> pickPartition(std::mt19937_64& random,
                                             const std::set<NodeAddress>& tried) const;

    // An owner that refused, broke its connection or did not answer gets nothing until it answers again
    // (OwnerLinks asks it).
    void suspect(const NodeAddress& owner) { suspected_.insert(owner); }
    void clearSuspicion(const NodeAddress& owner) { suspected_.erase(owner); }
    bool isSuspected(const NodeAddress& owner) const { return suspected_.contains(owner); }
    // Whether some partition has an owner that is not suspected.
    bool hasUsableOwner() const;

private:
    std::string zone_;
    Topology topology_;
    std::shared_ptr<const StoreView> view_;
    std::set<NodeAddress> suspected_;
};

}  // namespace amberswitch::cluster
