// Changes the store view, on the leader only: writes the leader and its term at the begin of each reign, then
// a new epoch whenever a store joins, leaves, restarts or falls silent.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/control/chosen_values.hpp"
#include "cluster/control/leader_election.hpp"
#include "cluster/control/lifetime.hpp"
#include "cluster/control/membership.hpp"
#include "cluster/control/peering_progress.hpp"
#include "cluster/control/register_proposer.hpp"
#include "cluster/control/store_view.hpp"

namespace amberswitch::cluster {

class StoreViewKeeper {
public:
    StoreViewKeeper(Scheduler& scheduler, Transport& transport, RegisterProposer& proposer,
                    ChosenValues& chosen, Membership& membership, LeaderElection& election, std::string self,
                    std::uint32_t tolerated);

    // A reign has begun: claims the view with a new term.
    void onElected();
    // Looks whether the stores have changed; called at once at changes of members, and every 100 ms.
    void check();
    // The register's view has changed. Under the name of another machine and a higher term it ends this
    // reign: what was refused to a term is never tried again under that term.
    void onView(const StoreView& view);
    // Runs when this reign's term stands in the register.
    void onClaimed(std::function<void(std::uint64_t term)> listener) { on_claimed_ = std::move(listener); }

    // Leads, and its term stands in the register.
    bool isActing() const;
    std::uint64_t term() const { return term_; }

private:
    void claim();
    void onClaimOutcome(std::uint64_t reign, const ChangeOutcome& outcome);
    void tick();
    bool hasListened() const;
    bool firstViewMayBeMade();
    std::vector<StoreObservation> observeStores(const StoreView& view) const;
    ViewRules rulesFor(const StoreView& view) const;
    void noteAway(const StoreView& view);
    bool isSuperseded(const StoreView& view) const;
    void propose();
    Decision decide(const std::string& current);
    void onProposed(const ChangeOutcome& outcome);

    Scheduler& scheduler_;
    RegisterProposer& proposer_;
    ChosenValues& chosen_;
    Membership& membership_;
    LeaderElection& election_;
    PeeringProgress progress_;
    std::string self_;
    std::uint32_t tolerated_;
    std::function<void(std::uint64_t)> on_claimed_;
    std::uint64_t claimed_reign_ = 0;
    std::uint64_t term_ = 0;
    bool changing_ = false;
    SteadyTime listens_since_{};  // what was silent before is not known
    SteadyTime last_tick_{};
    SteadyTime last_new_store_{};  // before the first view
    std::size_t stores_seen_ = 0;
    SteadyTime doubt_since_{};  // the last change whose old owners may still run, or the begin of the reign
    SteadyTime last_change_{};  // of the view, in this reign
    std::map<std::string, SteadyTime> away_since_;  // stores of the view that are not alive, in this reign
    TimerHandle timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
