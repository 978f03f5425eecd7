// Placement of copies as seen from one store: the addresses and liveness of the other stores, and the order
// in which they are chosen to hold copies of a partition. Near stores come first; stores at the same distance
// are sorted by their rendezvous weight for the partition.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/messages.hpp"
#include "cluster/common/order_key.hpp"
#include "cluster/common/topology.hpp"
#include "cluster/storage/spread_rule.hpp"

namespace amberswitch::cluster::storage {

// Returns the rendezvous hash of a store and a partition; the store with the highest weight comes first.
std::uint64_t rendezvousWeight(const std::string& store, PartitionId partition);

class Placement {
public:
    // `self` and `zone`: the name and the zone of this store.
    Placement(std::string self, std::string zone, Topology topology, FaultTolerance tolerance = {})
        : self_(std::move(self)),
          zone_(std::move(zone)),
          topology_(std::move(topology)),
          spread_rule_(tolerance, topology_) {}

    void update(std::shared_ptr<const StoreView> view) { view_ = std::move(view); }
    const StoreView* view() const { return view_.get(); }
    const std::string& self() const { return self_; }
    // 0 before the first view.
    std::size_t partitionCount() const { return view_ ? view_->partitions.size() : 0; }
    // Null if the view names no owner.
    const StoreMember* ownerOf(PartitionId partition) const {
        return view_ ? view_->ownerOf(partition) : nullptr;
    }
    // Whether messages with this order key belong to the partition. Requires a view.
    bool isPartitionOfKey(PartitionId partition, const std::string& order_key) const {
        return partition == partitionOfOrderKey(order_key, partitionCount());
    }
    Epoch epoch() const { return view_ ? view_->epoch : 0; }
    // The number of stores that may be lost at once (f). As many stores besides the owner hold each message.
    std::uint32_t tolerated() const { return view_ ? view_->tolerated : 0; }
    const std::string& zone() const { return zone_; }
    const SpreadRule& spreadRule() const { return spread_rule_; }
    // Whether copies on this store and on `holders` satisfy the spread rule.
    bool isSpread(const std::set<std::string>& holders) const;
    // Whether copies on this store and on all others that keep copies would satisfy the spread rule.
    // Requires a view unless the rule is trivial.
    bool canSpread() const;
    // Returns null if the view does not list the store.
    const StoreMember* member(const std::string& name) const;
    bool alive(const std::string& name) const;
    // Whether the store is alive and not retiring, so that its copies count toward the redundancy.
    bool keepsCopies(const std::string& name) const;
    // Returns the other live stores, sorted by: not leaving or retiring before leaving or retiring; nearer
    // before farther; higher weight for the partition before lower. If the spread rule is not trivial, the
    // first stores of the list are chosen so that they satisfy it.
    std::vector<std::string> liveOrder(PartitionId partition) const;
    // Returns the stores of liveOrder() that keep copies.
    std::vector<std::string> replicaOrder(PartitionId partition) const;
    // Returns the number of other stores that keep copies.
    std::size_t otherCopyStoreCount() const;

private:
    void moveSpreadFirst(std::vector<std::string>& names) const;
    std::vector<std::string>::iterator nextCopy(std::vector<std::string>::iterator first,
                                                std::vector<std::string>::iterator last, const Zones& zones,
                                                std::size_t copies_left) const;

    std::string self_;
    std::string zone_;
    Topology topology_;
    SpreadRule spread_rule_;
    std::shared_ptr<const StoreView> view_;
};

}  // namespace amberswitch::cluster::storage
