// Maintains the store view in the register, on the leader only. Writes the leader and its term at the start
// of each leadership period, then a new epoch whenever a store joins, leaves, restarts or times out.
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

// Keeps references to all constructor arguments except `self` and `tolerated`, the number of store failures
// to tolerate.
class StoreViewManager {
public:
    StoreViewManager(Scheduler& scheduler, Transport& transport, RegisterProposer& proposer,
                     ChosenValues& chosen, Membership& membership, LeaderElection& election, std::string self,
                     std::uint32_t tolerated);

    // Call at the start of a leadership period; claims the view with a new term.
    void onElected();
    // Proposes a new view if the stores have changed. Called on every member change and every 100 ms.
    void check();
    // Call when the view in the register has changed. A view with another leader and a higher term ends this
    // leadership period: a change that was refused to a term is never retried under that term.
    void onView(const StoreView& view);
    // Sets the listener that runs when the term of this leadership period has been written to the register.
    void onClaimed(std::function<void(std::uint64_t term)> listener) { on_claimed_ = std::move(listener); }

    // Whether this machine is the leader and its term has been written to the register.
    bool isActing() const;
    std::uint64_t term() const { return term_; }

private:
    void claim();
    void onClaimOutcome(std::uint64_t leadership_period, const ChangeOutcome& outcome);
    void tick();
    bool hasObservedLongEnough() const;
    bool canCreateFirstView();
    std::vector<StoreObservation> observeStores(const StoreView& view) const;
    ViewRules rulesFor(const StoreView& view) const;
    void trackUnavailableStores(const StoreView& view);
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
    std::uint64_t claimed_period_ = 0;
    std::uint64_t term_ = 0;
    bool changing_ = false;         // a proposal is pending
    SteadyTime observing_since_{};  // renewals are seen without a gap since then
    SteadyTime last_tick_{};
    SteadyTime last_new_store_{};  // only before the first view
    std::size_t stores_seen_ = 0;
    // The last change whose old owners may still run, or the start of the leadership period.
    SteadyTime unsafe_change_at_{};
    SteadyTime last_change_{};  // of the view, in this leadership period
    // Stores of the view that are not alive, and when this leader first noticed it in this leadership period.
    std::map<std::string, SteadyTime> unavailable_since_;
    TimerHandle timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
