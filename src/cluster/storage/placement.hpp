// One store's view of the others: addresses, who is alive, and the order in which they hold copies of a
// partition: near ones first, each group in the rendezvous order of the partition.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/messages.hpp"
#include "cluster/common/topology.hpp"
#include "cluster/storage/spread_rule.hpp"

namespace amberswitch::cluster::storage {

// The weight of a store for a partition; the highest weight comes first.
std::uint64_t rendezvousWeight(const std::string& store, PartitionId partition);

class Placement {
public:
    // `zone`: where the store stands.
    Placement(std::string self, std::string zone, Topology topology, Tolerance tolerance = {})
        : self_(std::move(self)),
          zone_(std::move(zone)),
          topology_(std::move(topology)),
          spread_rule_(tolerance, topology_) {}

    void update(std::shared_ptr<const StoreView> view) { view_ = std::move(view); }
    const StoreView* view() const { return view_.get(); }
    const std::string& self() const { return self_; }
    Epoch epoch() const { return view_ ? view_->epoch : 0; }
    // How many stores beside the owner hold each message: as many as may be lost at once.
    std::uint32_t tolerated() const { return view_ ? view_->tolerated : 0; }
    const std::string& zone() const { return zone_; }
    const SpreadRule& spreadRule() const { return spread_rule_; }
    // Copies here and at these stores stand in zones and regions enough.
    bool isSpread(const std::set<std::string>& holders) const;
    // Copies here and at all others that keep copies would.
    bool canSpread() const;
    // Null if the view does not name the store.
    const StoreMember* member(const std::string& name) const;
    bool alive(const std::string& name) const;
    // Alive and not retiring: what stands there counts as a copy.
    bool keepsCopies(const std::string& name) const;
    // The other live stores: those that are not leaving or retiring first, then the nearer ones, then by
    // weight for the partition. Where copies must be spread, the first ones are spread.
    std::vector<std::string> liveOrder(PartitionId partition) const;
    // Those of them that keep copies.
    std::vector<std::string> replicaOrder(PartitionId partition) const;
    // How many other stores keep copies.
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
