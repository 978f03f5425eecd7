#include "cluster/control/store_view_manager.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/control/lease_times.hpp"
#include "cluster/control/register_values.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kCheckInterval{100};
// A new leader collects renewals this long before it treats a store as timed out.
constexpr Millis kObservationPeriod{1200};
// The first view is created when no new store appeared for this long.
constexpr Millis kFirstViewQuietPeriod{1000};
// A longer gap between two ticks means that this process itself was suspended.
constexpr Millis kProcessPauseThreshold{500};
constexpr Millis kOldGrantLifetime{3000};  // the grants of a replaced owner expire within this time
constexpr Millis kChangeTimeout{1000};
constexpr Millis kRemoveUnavailableAfter{4000};  // a restart takes less
constexpr Millis kRebalanceInterval{1000};
constexpr Millis kUnreadableRetryPause{1000};  // before retrying to claim an unreadable view

bool hasRunningOldOwner(const StoreView& view) {
    return std::any_of(view.partitions.begin(), view.partitions.end(),
                       [](const PartitionOwner& owner) { return !owner.previous_stopped; });
}

}  // namespace

StoreViewManager::StoreViewManager(Scheduler& scheduler, Transport& transport, RegisterProposer& proposer,
                                   ChosenValues& chosen, Membership& membership, LeaderElection& election,
                                   std::string self, std::uint32_t tolerated)
    : scheduler_(scheduler),
      proposer_(proposer),
      chosen_(chosen),
      membership_(membership),
      election_(election),
      progress_(scheduler, transport),
      self_(std::move(self)),
      tolerated_(tolerated) {}

bool StoreViewManager::isActing() const {
    return election_.isLeader() && claimed_period_ != 0 && claimed_period_ == election_.leadershipPeriod();
}

void StoreViewManager::onElected() {
    observing_since_ = last_tick_ = unsafe_change_at_ = last_change_ = scheduler_.now();
    unavailable_since_.clear();
    last_new_store_ = scheduler_.now();
    stores_seen_ = 0;
    claim();
}

void StoreViewManager::claim() {
    const std::uint64_t leadership_period = election_.leadershipPeriod();
    const auto decide = [this, leadership_period](const std::string& current) {
        if (!election_.isLeader() || election_.leadershipPeriod() != leadership_period)
            return Decision::keep();
        std::optional<StoreView> view = readStoreView(current);
        if (!view) return Decision::keep();
        view->leader = self_;
        view->leader_term += 1;
        view->tolerated = tolerated_;
        return Decision::replaceBy(encode(*view));
    };
    const auto done = [this, leadership_period](const ChangeOutcome& outcome) {
        onClaimOutcome(leadership_period, outcome);
    };
    proposer_.change(kViewKey, decide, ChangeOptions{.timeout = kChangeTimeout}, lifetime_.guard(done));
}

void StoreViewManager::onClaimOutcome(std::uint64_t leadership_period, const ChangeOutcome& outcome) {
    if (!election_.isLeader() || election_.leadershipPeriod() != leadership_period) return;
    const std::optional<StoreView> view = readStoreView(outcome.value);
    if (!view) {
        timer_ = scheduler_.after(kUnreadableRetryPause, [this, leadership_period] {
            if (election_.isLeader() && election_.leadershipPeriod() == leadership_period) claim();
        });
        return;
    }
    if (!outcome.known || !outcome.wrote) return claim();
    claimed_period_ = leadership_period;
    term_ = view->leader_term;
    changing_ = false;
    if (on_claimed_) on_claimed_(term_);
    tick();
}

bool StoreViewManager::isSuperseded(const StoreView& view) const {
    return view.leader != self_ && view.leader_term > term_;
}

void StoreViewManager::onView(const StoreView& view) {
    if (isActing() && isSuperseded(view)) election_.stepDown();
}

void StoreViewManager::tick() {
    if (!isActing()) return;
    if (scheduler_.now() - last_tick_ > kProcessPauseThreshold) observing_since_ = scheduler_.now();
    last_tick_ = scheduler_.now();
    check();
    timer_ = scheduler_.after(kCheckInterval, [this] { tick(); });
}

void StoreViewManager::check() {
    if (!isActing() || changing_) return;
    const ChosenValue* value = chosen_.find(kViewKey);
    if (value == nullptr) return;
    const std::optional<StoreView> view = readStoreView(value->value);
    if (!view) return;
    if (view->stores.empty() && !canCreateFirstView()) return;
    trackUnavailableStores(*view);
    if (needsPeeringProgress(*view)) progress_.poll(*view);
    if (nextView(*view, observeStores(*view), rulesFor(*view))) propose();
}

void StoreViewManager::trackUnavailableStores(const StoreView& view) {
    std::map<std::string, SteadyTime> unavailable;
    for (const StoreMember& store : view.stores) {
        if (store.alive) continue;
        const auto known = unavailable_since_.find(store.member.name);
        unavailable[store.member.name] = known == unavailable_since_.end() ? scheduler_.now() : known->second;
    }
    unavailable_since_ = std::move(unavailable);
}

ViewRules StoreViewManager::rulesFor(const StoreView& view) const {
    ViewRules rules;
    rules.old_owners_stopped = scheduler_.now() - unsafe_change_at_ >= kOldGrantLifetime;
    rules.peered = progress_.isPeered(view);
    for (const auto& [name, since] : unavailable_since_) {
        if (scheduler_.now() - since >= kRemoveUnavailableAfter) rules.long_unavailable.push_back(name);
    }
    rules.may_rebalance = scheduler_.now() - last_change_ >= kRebalanceInterval;
    rules.moves_gradually = true;
    return rules;
}

bool StoreViewManager::hasObservedLongEnough() const {
    return scheduler_.now() - observing_since_ >= kObservationPeriod;
}

bool StoreViewManager::canCreateFirstView() {
    const std::size_t count = membership_.live(NodeKind::store).size();
    if (count > stores_seen_) last_new_store_ = scheduler_.now();
    stores_seen_ = std::max(stores_seen_, count);
    return count > 0 && scheduler_.now() - last_new_store_ >= kFirstViewQuietPeriod;
}

std::vector<StoreObservation> StoreViewManager::observeStores(const StoreView& view) const {
    std::vector<StoreObservation> observed;
    std::vector<MemberEntry> known = membership_.known(NodeKind::store);
    for (const MemberEntry& entry : known) {
        const bool timed_out = scheduler_.now() - entry.last_seen > kStoreTimeout;
        // Until its observation period is over, a leader neither removes a timed-out store nor takes it back.
        if (!timed_out || hasObservedLongEnough()) observed.push_back({entry.member, timed_out});
    }
    if (!hasObservedLongEnough()) return observed;
    // A store of the view that has never renewed its lease here counts as timed out too.
    for (const StoreMember& store : view.stores) {
        if (membership_.find(store.member.name) == nullptr) observed.push_back({store.member, true});
    }
    return observed;
}

void StoreViewManager::propose() {
    changing_ = true;
    const auto decide = [this](const std::string& current) { return this->decide(current); };
    const auto done = [this, leadership_period = claimed_period_](const ChangeOutcome& outcome) {
        if (claimed_period_ == leadership_period) onProposed(outcome);
    };
    proposer_.change(kViewKey, decide, ChangeOptions{.timeout = kChangeTimeout}, lifetime_.guard(done));
}

Decision StoreViewManager::decide(const std::string& current) {
    const std::optional<StoreView> view = readStoreView(current);
    const bool is_own_view = view && view->leader == self_ && view->leader_term == term_;
    if (!isActing() || !is_own_view) return Decision::keep();
    const std::optional<StoreView> next = nextView(*view, observeStores(*view), rulesFor(*view));
    return next ? Decision::replaceBy(encode(*next)) : Decision::keep();
}

void StoreViewManager::onProposed(const ChangeOutcome& outcome) {
    changing_ = false;
    if (!outcome.known) return;  // the next check retries
    const std::optional<StoreView> view = readStoreView(outcome.value);
    const bool is_own_view = view && view->leader == self_ && view->leader_term == term_;
    if (view && isActing() && isSuperseded(*view)) return election_.stepDown();
    if (!is_own_view && election_.isLeader()) return claim();
    if (!outcome.wrote) return;
    last_change_ = scheduler_.now();
    if (hasRunningOldOwner(*view)) unsafe_change_at_ = scheduler_.now();
    LOG(INFO) << "wrote store view " << view->epoch << " with " << view->stores.size() << " stores";
}

}  // namespace amberswitch::cluster
