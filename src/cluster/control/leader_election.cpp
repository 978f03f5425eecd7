#include "cluster/control/leader_election.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "cluster/common/injected_fault.hpp"
#include "cluster/control/typed_call.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kLease{1500};
constexpr Millis kSafetyMargin{300};  // the holder stops this long before its lease ends
constexpr Millis kRenewInterval{400};
constexpr Millis kVoteTimeout{350};
constexpr std::int64_t kCandidacyDelayMs = 250;  // longest random wait of a candidate
constexpr Millis kFollowInterval{200};           // between a follower's looks at its vote

}  // namespace

LeaseGrantor::LeaseGrantor(Scheduler& scheduler, bool first_start) : scheduler_(scheduler) {
    const bool at_once = first_start || isFaultInjected(InjectedFault::fresh_grantor_votes_at_once);
    votes_from_ = scheduler.now() + (at_once ? Millis(0) : kLease);
}

std::string LeaseGrantor::holder() const {
    return isHeld() ? holder_ : std::string();
}

LeaderLeaseReply LeaseGrantor::answer(const LeaderLeaseRequest& request, const std::string& last_leader) {
    const bool same_name = request.candidate == holder_;
    const bool same_process = same_name && request.incarnation == holder_incarnation_;
    if (request.duration_ms <= 0) {
        // A late message must not take back what a newer round was given.
        if (same_process && request.round >= holder_round_) held_until_ = {};
        return {true, holder()};
    }
    // A new process of the same node shows that the old one is gone.
    const bool must_wait = scheduler_.now() < votes_from_ && request.candidate != last_leader;
    if (must_wait || (isHeld() && !same_name)) return {false, holder()};
    holder_round_ = same_process ? std::max(holder_round_, request.round) : request.round;
    holder_ = request.candidate;
    holder_incarnation_ = request.incarnation;
    held_until_ = std::max(held_until_, scheduler_.now() + Millis(request.duration_ms));
    return {true, holder_};
}

struct LeaderElection::VoteRound {
    std::uint64_t round = 0;
    std::uint64_t electors_version = 0;
    SteadyTime asked_at;
    std::size_t electors = 0;
    std::size_t answers = 0;
    std::size_t granted = 0;
    bool decided = false;
};

LeaderElection::LeaderElection(Scheduler& scheduler, Transport& transport, ElectionIdentity identity,
                               bool first_start, ElectionHooks hooks)
    : scheduler_(scheduler),
      transport_(transport),
      identity_(std::move(identity)),
      hooks_(std::move(hooks)),
      grantor_(scheduler, first_start),
      random_(identity_.incarnation) {}

Millis LeaderElection::candidacyDelay() {
    return Millis(std::uniform_int_distribution<std::int64_t>(1, kCandidacyDelayMs)(random_));
}

void LeaderElection::start() {
    timer_ = scheduler_.after(candidacyDelay(), [this] { tick(); });
}

LeaderLeaseReply LeaderElection::vote(const LeaderLeaseRequest& request) {
    const bool outdated = request.voters_version < hooks_.electors_version();
    if (!hooks_.may_vote() || (outdated && request.duration_ms > 0)) return {false, {}};
    return grantor_.answer(request, hooks_.last_leader());
}

void LeaderElection::tick() {
    if (leaving_) return;
    const std::vector<NodeAddress> electors = hooks_.electors();
    const bool may_lead = hooks_.may_lead();
    if (!may_lead && isLeader()) resign();
    const bool is_elector = std::find(electors.begin(), electors.end(), identity_.self) != electors.end();
    const bool may_stand = is_elector && may_lead;
    const std::string holder = grantor_.holder();
    const bool other_leads = !holder.empty() && holder != identity_.name;
    if (may_stand && !other_leads) askAll();
    const Millis pause = isLeader() ? kRenewInterval : kFollowInterval + candidacyDelay();
    timer_ = scheduler_.after(pause, [this] { tick(); });
}

void LeaderElection::askAll() {
    const auto votes = std::make_shared<VoteRound>();
    const std::vector<NodeAddress> electors = hooks_.electors();
    votes->round = ++round_;
    votes->electors_version = hooks_.electors_version();
    votes->asked_at = scheduler_.now();
    votes->electors = electors.size();
    for (const NodeAddress& elector : electors) {
        ask(elector, kLease, votes->round,
            lifetime_.guard([this, votes](bool granted) { onVote(votes, granted); }));
    }
}

void LeaderElection::ask(const NodeAddress& elector, Millis duration, std::uint64_t round,
                         std::function<void(bool)> done) {
    const LeaderLeaseRequest request{identity_.name, identity_.incarnation, duration.count(), round,
                                     hooks_.electors_version()};
    if (elector == identity_.self) return done(vote(request).granted);
    const auto answered = [done = std::move(done)](const std::optional<LeaderLeaseReply>& reply) {
        done(reply && reply->granted);
    };
    callFor<LeaderLeaseReply>(transport_, elector, MessageKind::leader_lease, request, kVoteTimeout,
                              answered);
}

void LeaderElection::onVote(const std::shared_ptr<VoteRound>& votes, bool granted) {
    const std::size_t majority = votes->electors / 2 + 1;
    ++votes->answers;
    if (granted) ++votes->granted;
    if (votes->decided || votes->round <= given_back_) return;
    if (votes->granted >= majority) {
        votes->decided = true;
        return onMajority(*votes);
    }
    if (votes->answers < votes->electors) return;
    votes->decided = true;
    if (!isLeader()) giveBack(votes->round);
}

void LeaderElection::onMajority(const VoteRound& votes) {
    const bool from_answer = isFaultInjected(InjectedFault::lease_counted_from_answer);
    const SteadyTime until =
        from_answer ? scheduler_.now() + kLease : votes.asked_at + kLease - kSafetyMargin;
    if (leaving_ || scheduler_.now() >= until) return;
    const bool unbroken = isLeader();
    const bool newer_electors = votes.electors_version > lease_version_;
    acts_until_ = std::max(acts_until_, until);
    if (!unbroken || newer_electors) lease_version_ = votes.electors_version;
    if (unbroken) {
        if (newer_electors && on_electors_changed_) on_electors_changed_();
        return;
    }
    ++reign_;
    LOG(INFO) << identity_.name << " leads";
    // From now on by the shorter rhythm of a holder.
    timer_ = scheduler_.after(kRenewInterval, [this] { tick(); });
    if (on_elected_) on_elected_();
}

void LeaderElection::giveBack(std::uint64_t round) {
    given_back_ = std::max(given_back_, round);
    for (const NodeAddress& elector : hooks_.electors()) ask(elector, Millis(0), round, [](bool) {});
}

void LeaderElection::renew() {
    if (isLeader() && !leaving_) askAll();
}

void LeaderElection::stepDown() {
    LOG(WARNING) << identity_.name << " leads no more: another machine has a higher term";
    resign();
}

void LeaderElection::leave() {
    leaving_ = true;
    resign();
}

void LeaderElection::resign() {
    acts_until_ = {};
    giveBack(round_);
}

}  // namespace amberswitch::cluster
