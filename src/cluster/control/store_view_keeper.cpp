#include "cluster/control/store_view_keeper.hpp"

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
constexpr Millis kListenFirst{1200};     // of a new leader, before it counts anyone as gone
constexpr Millis kFirstViewQuiet{1000};  // without a new store, before the first view is made
constexpr Millis kOwnPause{500};         // between two looks: this process stood still itself
constexpr Millis kSettledAfter{3000};    // grants of an old owner end after this
constexpr Millis kChangeTimeout{1000};
constexpr Millis kDropAfter{4000};  // of a store that is away; a restart is sooner
constexpr Millis kEvenOutInterval{1000};
constexpr Millis kUnreadablePause{1000};  // before the next try to claim a view that is not readable

bool hasDoubt(const StoreView& view) {
    return std::any_of(view.partitions.begin(), view.partitions.end(),
                       [](const PartitionOwner& owner) { return !owner.previous_stopped; });
}

}  // namespace

StoreViewKeeper::StoreViewKeeper(Scheduler& scheduler, Transport& transport, RegisterProposer& proposer,
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

bool StoreViewKeeper::isActing() const {
    return election_.isLeader() && claimed_reign_ != 0 && claimed_reign_ == election_.leadershipPeriod();
}

void StoreViewKeeper::onElected() {
    listens_since_ = last_tick_ = doubt_since_ = last_change_ = scheduler_.now();
    away_since_.clear();
    last_new_store_ = scheduler_.now();
    stores_seen_ = 0;
    claim();
}

void StoreViewKeeper::claim() {
    const std::uint64_t reign = election_.leadershipPeriod();
    const auto decide = [this, reign](const std::string& current) {
        if (!election_.isLeader() || election_.leadershipPeriod() != reign) return Decision::keep();
        std::optional<StoreView> view = readStoreView(current);
        if (!view) return Decision::keep();
        view->leader = self_;
        view->leader_term += 1;
        view->tolerated = tolerated_;
        return Decision::replaceBy(encode(*view));
    };
    const auto done = [this, reign](const ChangeOutcome& outcome) { onClaimOutcome(reign, outcome); };
    proposer_.change(kViewKey, decide, ChangeOptions{.timeout = kChangeTimeout}, lifetime_.guard(done));
}

void StoreViewKeeper::onClaimOutcome(std::uint64_t reign, const ChangeOutcome& outcome) {
    if (!election_.isLeader() || election_.leadershipPeriod() != reign) return;
    const std::optional<StoreView> view = readStoreView(outcome.value);
    if (!view) {
        timer_ = scheduler_.after(kUnreadablePause, [this, reign] {
            if (election_.isLeader() && election_.leadershipPeriod() == reign) claim();
        });
        return;
    }
    if (!outcome.known || !outcome.wrote) return claim();
    claimed_reign_ = reign;
    term_ = view->leader_term;
    changing_ = false;
    if (on_claimed_) on_claimed_(term_);
    tick();
}

bool StoreViewKeeper::isSuperseded(const StoreView& view) const {
    return view.leader != self_ && view.leader_term > term_;
}

void StoreViewKeeper::onView(const StoreView& view) {
    if (isActing() && isSuperseded(view)) election_.stepDown();
}

void StoreViewKeeper::tick() {
    if (!isActing()) return;
    if (scheduler_.now() - last_tick_ > kOwnPause) listens_since_ = scheduler_.now();
    last_tick_ = scheduler_.now();
    check();
    timer_ = scheduler_.after(kCheckInterval, [this] { tick(); });
}

void StoreViewKeeper::check() {
    if (!isActing() || changing_) return;
    const ChosenValue* value = chosen_.find(kViewKey);
    if (value == nullptr) return;
    const std::optional<StoreView> view = readStoreView(value->value);
    if (!view) return;
    if (view->stores.empty() && !firstViewMayBeMade()) return;
    noteAway(*view);
    if (waitsForPeering(*view)) progress_.ask(*view);
    if (nextView(*view, observeStores(*view), rulesFor(*view))) propose();
}

void StoreViewKeeper::noteAway(const StoreView& view) {
    std::map<std::string, SteadyTime> away;
    for (const StoreMember& store : view.stores) {
        if (store.alive) continue;
        const auto known = away_since_.find(store.member.name);
        away[store.member.name] = known == away_since_.end() ? scheduler_.now() : known->second;
    }
    away_since_ = std::move(away);
}

ViewRules StoreViewKeeper::rulesFor(const StoreView& view) const {
    ViewRules rules;
    rules.settled = scheduler_.now() - doubt_since_ >= kSettledAfter;
    rules.peered = progress_.isPeered(view);
    for (const auto& [name, since] : away_since_) {
        if (scheduler_.now() - since >= kDropAfter) rules.long_away.push_back(name);
    }
    rules.may_even_out = scheduler_.now() - last_change_ >= kEvenOutInterval;
    rules.moves_gradually = true;
    return rules;
}

bool StoreViewKeeper::hasListened() const {
    return scheduler_.now() - listens_since_ >= kListenFirst;
}

bool StoreViewKeeper::firstViewMayBeMade() {
    const std::size_t count = membership_.live(NodeKind::store).size();
    if (count > stores_seen_) last_new_store_ = scheduler_.now();
    stores_seen_ = std::max(stores_seen_, count);
    return count > 0 && scheduler_.now() - last_new_store_ >= kFirstViewQuiet;
}

std::vector<StoreObservation> StoreViewKeeper::observeStores(const StoreView& view) const {
    std::vector<StoreObservation> observed;
    std::vector<MemberEntry> known = membership_.known(NodeKind::store);
    for (const MemberEntry& entry : known) {
        const bool silent = scheduler_.now() - entry.last_seen > kStoreTimeout;
        // Before it has listened for long enough, a leader neither drops a silent store nor takes it back.
        if (!silent || hasListened()) observed.push_back({entry.member, silent});
    }
    if (!hasListened()) return observed;
    // A store of the view that has never renewed its lease here is silent too.
    for (const StoreMember& store : view.stores) {
        if (membership_.find(store.member.name) == nullptr) observed.push_back({store.member, true});
    }
    return observed;
}

void StoreViewKeeper::propose() {
    changing_ = true;
    const auto decide = [this](const std::string& current) { return this->decide(current); };
    const auto done = [this, reign = claimed_reign_](const ChangeOutcome& outcome) {
        if (claimed_reign_ == reign) onProposed(outcome);
    };
    proposer_.change(kViewKey, decide, ChangeOptions{.timeout = kChangeTimeout}, lifetime_.guard(done));
}

Decision StoreViewKeeper::decide(const std::string& current) {
    const std::optional<StoreView> view = readStoreView(current);
    const bool own = view && view->leader == self_ && view->leader_term == term_;
    if (!isActing() || !own) return Decision::keep();
    const std::optional<StoreView> next = nextView(*view, observeStores(*view), rulesFor(*view));
    return next ? Decision::replaceBy(encode(*next)) : Decision::keep();
}

void StoreViewKeeper::onProposed(const ChangeOutcome& outcome) {
    changing_ = false;
    if (!outcome.known) return;  // the next look tries again
    const std::optional<StoreView> view = readStoreView(outcome.value);
    const bool own = view && view->leader == self_ && view->leader_term == term_;
    if (view && isActing() && isSuperseded(*view)) return election_.stepDown();
    if (!own && election_.isLeader()) return claim();
    if (!outcome.wrote) return;
    last_change_ = scheduler_.now();
    if (hasDoubt(*view)) doubt_since_ = scheduler_.now();
    LOG(INFO) << "store view " << view->epoch << " with " << view->stores.size() << " stores";
}

}  // namespace amberswitch::cluster
