// One store's view of the others: addresses, who is alive, and the rendezvous order of a partition's
// replicas.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster::storage {

// The weight of a store for a partition; the highest weight comes first.
std::uint64_t rendezvousWeight(const std::string& store, PartitionId partition);

class Placement {
public:
    explicit Placement(std::string self) : self_(std::move(self)) {}

    void update(std::shared_ptr<const StoreView> view) { view_ = std::move(view); }
    const StoreView* view() const { return view_.get(); }
    const std::string& self() const { return self_; }
    Epoch epoch() const { return view_ ? view_->epoch : 0; }
    std::uint32_t tolerated() const { return view_ ? view_->tolerated : 0; }
    // Null if the view does not name the store.
    const StoreMember* member(const std::string& name) const;
    bool alive(const std::string& name) const;
    // The other live stores, those that are not leaving first, then by weight for the partition.
    std::vector<std::string> replicaOrder(PartitionId partition) const;
    std::size_t aliveOthers() const;

private:
    std::string self_;
    std::shared_ptr<const StoreView> view_;
};

}  // namespace amberswitch::cluster::storage
