// Used by the leader to poll partition owners for whether they have peered all their partitions in the
// current view.
#pragma once

#include <set>
#include <string>

#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/lifetime.hpp"

namespace amberswitch::cluster {

// Tracks one view at a time: a view with another epoch discards the results so far.
class PeeringProgress {
public:
    PeeringProgress(Scheduler& scheduler, Transport& transport)
        : scheduler_(scheduler), transport_(transport) {}

    // Polls the owners that have not reported completion yet, every 250 ms at most. Call it for as long as
    // the result is needed.
    void poll(const StoreView& view);
    // Whether every partition of the view has an owner that reported peering as done in that view.
    bool isPeered(const StoreView& view) const;

private:
    void pollOwner(const StoreMember& owner, Epoch epoch);

    Scheduler& scheduler_;
    Transport& transport_;
    Epoch epoch_ = 0;
    std::set<std::string> peered_owners_;   // in that epoch
    std::set<std::string> pending_owners_;  // polled, reply outstanding
    SteadyTime next_poll_at_{};
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
