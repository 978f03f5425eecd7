#include "cluster/control/leader_election.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "cluster/common/injected_fault.hpp"
#include "cluster/common/typed_call.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kLeaseDuration{1500};
constexpr Millis kSafetyMargin{300};  // the holder stops leading this long before its lease ends
constexpr Millis kRenewInterval{400};
constexpr Millis kVoteTimeout{350};
constexpr std::int64_t kMaxCandidacyDelayMs = 250;  // upper bound of the random delay of a candidate
constexpr Millis kFollowerInterval{200};  // between two checks by a follower, before the random delay

}  // namespace

LeaseGrantor::LeaseGrantor(Scheduler& scheduler, bool first_start) : scheduler_(scheduler) {
    const bool at_once = first_start || isFaultInjected(InjectedFault::fresh_grantor_votes_at_once);
    first_vote_at_ = scheduler.now() + (at_once ? Millis(0) : kLeaseDuration);
}

std::string LeaseGrantor::holder() const {
    return isHeld() ? holder_ : std::string();
}

LeaderLeaseReply LeaseGrantor::answer(const LeaderLeaseRequest& request, const std::string& last_leader) {
    const bool same_name = request.candidate == holder_;
    const bool same_process = same_name && request.incarnation == holder_incarnation_;
    if (request.duration_ms <= 0) {
        // A delayed release must not revoke the vote granted to a newer round.
        if (same_process && request.round >= holder_round_) held_until_ = {};
        return {true, holder()};
    }
    // A new process of the same node shows that the old one has ended.
    const bool must_wait = scheduler_.now() < first_vote_at_ && request.candidate != last_leader;
    if (must_wait || (isHeld() && !same_name)) return {false, holder()};
    holder_round_ = same_process ? std::max(holder_round_, request.round) : request.round;
    holder_ = request.candidate;
    holder_incarnation_ = request.incarnation;
    held_until_ = std::max(held_until_, scheduler_.now() + Millis(request.duration_ms));
    return {true, holder_};
}

struct LeaderElection::VoteRound {
    std::uint64_t round = 0;
    std::uint64_t voters_version = 0;
    SteadyTime requested_at;
    std::size_t voter_count = 0;
    std::size_t reply_count = 0;
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
    return Millis(std::uniform_int_distribution<std::int64_t>(1, kMaxCandidacyDelayMs)(random_));
}

void LeaderElection::start() {
    timer_ = scheduler_.after(candidacyDelay(), [this] { tick(); });
}

LeaderLeaseReply LeaderElection::vote(const LeaderLeaseRequest& request) {
    const bool outdated = request.voters_version < hooks_.voters_version();
    if (!hooks_.may_vote() || (outdated && request.duration_ms > 0)) return {false, {}};
    return grantor_.answer(request, hooks_.last_leader());
}

void LeaderElection::tick() {
    if (leaving_) return;
    const std::vector<NodeAddress> voters = hooks_.voters();
    const bool may_lead = hooks_.may_lead();
    if (!may_lead && isLeader()) resign();
    const bool is_voter = std::find(voters.begin(), voters.end(), identity_.self) != voters.end();
    const bool may_be_candidate = is_voter && may_lead;
    const std::string holder = grantor_.holder();
    const bool other_leads = !holder.empty() && holder != identity_.name;
    if (may_be_candidate && !other_leads) requestVotes();
    const Millis pause = isLeader() ? kRenewInterval : kFollowerInterval + candidacyDelay();
    timer_ = scheduler_.after(pause, [this] { tick(); });
}

void LeaderElection::requestVotes() {
    const auto votes = std::make_shared<VoteRound>();
    const std::vector<NodeAddress> voters = hooks_.voters();
    votes->round = ++round_;
    votes->voters_version = hooks_.voters_version();
    votes->requested_at = scheduler_.now();
    votes->voter_count = voters.size();
    for (const NodeAddress& voter : voters) {
        requestVote(voter, kLeaseDuration, votes->round,
                    lifetime_.guard([this, votes](bool granted) { onVote(votes, granted); }));
    }
}

void LeaderElection::requestVote(const NodeAddress& voter, Millis duration, std::uint64_t round,
                                 std::function<void(bool)> done) {
    const LeaderLeaseRequest request{identity_.name, identity_.incarnation, duration.count(), round,
                                     hooks_.voters_version()};
    if (voter == identity_.self) return done(vote(request).granted);
    const auto answered = [done = std::move(done)](const std::optional<LeaderLeaseReply>& reply) {
        done(reply && reply->granted);
    };
    callFor<LeaderLeaseReply>(transport_, voter, MessageKind::leader_lease, request, kVoteTimeout, answered);
}

void LeaderElection::onVote(const std::shared_ptr<VoteRound>& votes, bool granted) {
    const std::size_t majority = votes->voter_count / 2 + 1;
    ++votes->reply_count;
    if (granted) ++votes->granted;
    if (votes->decided || votes->round <= released_round_) return;
    if (votes->granted >= majority) {
        votes->decided = true;
        return onMajority(*votes);
    }
    if (votes->reply_count < votes->voter_count) return;
    votes->decided = true;
    if (!isLeader()) releaseVotes(votes->round);
}

void LeaderElection::onMajority(const VoteRound& votes) {
    const bool from_answer = isFaultInjected(InjectedFault::lease_counted_from_answer);
    const SteadyTime until =
        from_answer ? scheduler_.now() + kLeaseDuration : votes.requested_at + kLeaseDuration - kSafetyMargin;
    if (leaving_ || scheduler_.now() >= until) return;
    const bool was_leader = isLeader();
    const bool newer_voters = votes.voters_version > lease_voters_version_;
    leads_until_ = std::max(leads_until_, until);
    if (!was_leader || newer_voters) lease_voters_version_ = votes.voters_version;
    if (was_leader) {
        if (newer_voters && on_voter_set_changed_) on_voter_set_changed_();
        return;
    }
    ++leadership_period_;
    LOG(INFO) << identity_.name << " was elected leader";
    // From now on the shorter interval of a lease holder applies.
    timer_ = scheduler_.after(kRenewInterval, [this] { tick(); });
    if (on_elected_) on_elected_();
}

void LeaderElection::releaseVotes(std::uint64_t round) {
    released_round_ = std::max(released_round_, round);
    for (const NodeAddress& voter : hooks_.voters()) requestVote(voter, Millis(0), round, [](bool) {});
}

void LeaderElection::renew() {
    if (isLeader() && !leaving_) requestVotes();
}

void LeaderElection::stepDown() {
    LOG(WARNING) << identity_.name << " steps down as leader: another machine has a higher term";
    resign();
}

void LeaderElection::leave() {
    leaving_ = true;
    resign();
}

void LeaderElection::resign() {
    leads_until_ = {};
    releaseVotes(round_);
}

}  // namespace amberswitch::cluster
