#include "cluster/control/peering_progress.hpp"

#include <algorithm>
#include <optional>

#include "cluster/control/typed_call.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kAskInterval{250};
constexpr Millis kAskTimeout{400};

}  // namespace

void PeeringProgress::ask(const StoreView& view) {
    if (view.epoch != epoch_) {
        epoch_ = view.epoch;
        done_.clear();
        under_way_.clear();
        next_ = scheduler_.now();
    }
    if (scheduler_.now() < next_) return;
    next_ = scheduler_.now() + kAskInterval;
    std::set<std::int32_t> owners;
    for (const PartitionOwner& partition : view.partitions) owners.insert(partition.owner);
    for (const std::int32_t owner : owners) {
        if (owner >= 0) askOwner(view.stores[static_cast<std::size_t>(owner)], view.epoch);
    }
}

void PeeringProgress::askOwner(const StoreMember& owner, Epoch epoch) {
    const std::string& name = owner.member.name;
    if (done_.contains(name) || !under_way_.insert(name).second) return;
    const auto answered = [this, name, epoch](const std::optional<PeeringProgressReply>& reply) {
        if (epoch != epoch_) return;
        under_way_.erase(name);
        if (reply && reply->done) done_.insert(name);
    };
    callFor<PeeringProgressReply>(transport_, owner.member.address, MessageKind::peering_progress,
                                  PeeringProgressRequest{epoch}, kAskTimeout, lifetime_.guard(answered));
}

bool PeeringProgress::isPeered(const StoreView& view) const {
    return view.epoch == epoch_ && !view.partitions.empty() &&
           std::all_of(view.partitions.begin(), view.partitions.end(), [&](const PartitionOwner& partition) {
               return partition.owner >= 0 &&
                      done_.contains(view.stores[static_cast<std::size_t>(partition.owner)].member.name);
           });
}

}  // namespace amberswitch::cluster
