#include "cluster/control/peering_progress.hpp"

#include <algorithm>
#include <optional>

#include "cluster/common/typed_call.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kPollInterval{250};
constexpr Millis kPollTimeout{400};

}  // namespace

void PeeringProgress::poll(const StoreView& view) {
    if (view.epoch != epoch_) {
        epoch_ = view.epoch;
        peered_owners_.clear();
        pending_owners_.clear();
        next_poll_at_ = scheduler_.now();
    }
    if (scheduler_.now() < next_poll_at_) return;
    next_poll_at_ = scheduler_.now() + kPollInterval;
    std::set<std::int32_t> owners;
    for (const PartitionOwner& partition : view.partitions) owners.insert(partition.owner);
    for (const std::int32_t owner : owners) {
        if (owner >= 0) pollOwner(view.stores[static_cast<std::size_t>(owner)], view.epoch);
    }
}

void PeeringProgress::pollOwner(const StoreMember& owner, Epoch epoch) {
    const std::string& name = owner.member.name;
    if (peered_owners_.contains(name) || !pending_owners_.insert(name).second) return;
    const auto answered = [this, name, epoch](const std::optional<PeeringProgressReply>& reply) {
        if (epoch != epoch_) return;
        pending_owners_.erase(name);
        if (reply && reply->done) peered_owners_.insert(name);
    };
    callFor<PeeringProgressReply>(transport_, owner.member.address, MessageKind::peering_progress,
                                  PeeringProgressRequest{epoch}, kPollTimeout, lifetime_.guard(answered));
}

bool PeeringProgress::isPeered(const StoreView& view) const {
    return view.epoch == epoch_ && !view.partitions.empty() &&
           std::all_of(view.partitions.begin(), view.partitions.end(), [&](const PartitionOwner& partition) {
               return partition.owner >= 0 &&
                      peered_owners_.contains(
                          view.stores[static_cast<std::size_t>(partition.owner)].member.name);
           });
}

}  // namespace amberswitch::cluster
