// Asks the owners of the store view, on the leader, whether they have peered all their partitions in it.
#pragma once

#include <set>
#include <string>

#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/lifetime.hpp"

namespace amberswitch::cluster {

class PeeringProgress {
public:
    PeeringProgress(Scheduler& scheduler, Transport& transport)
        : scheduler_(scheduler), transport_(transport) {}

    // Asks those owners that have not said so yet; call it as long as the answer is of interest.
    void ask(const StoreView& view);
    // Every partition of the view has an owner, which has peered it in that view.
    bool isPeered(const StoreView& view) const;

private:
    void askOwner(const StoreMember& owner, Epoch epoch);

    Scheduler& scheduler_;
    Transport& transport_;
    Epoch epoch_ = 0;
    std::set<std::string> done_;       // owners of that epoch
    std::set<std::string> under_way_;  // asked, without an answer yet
    SteadyTime next_{};
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
