// The leader lease. Each voter of the register grants its vote to one candidate for 1.5 s. The holder of a
// majority leads until 0.3 s before the lease ends by its own steady clock, counted from the time of its
// request.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/lifetime.hpp"

namespace amberswitch::cluster {

// Grants the vote of this machine to one candidate at a time.
class LeaseGrantor {
public:
    // Without `first_start`, grants no vote for a whole lease: an earlier process of this machine may have
    // granted one.
    LeaseGrantor(Scheduler& scheduler, bool first_start);

    // `last_leader` is the last leader according to the disk of this machine. It may be granted a vote
    // without that wait: either it already held the earlier vote, or its process is a new one and the old
    // lease ended with the old process.
    LeaderLeaseReply answer(const LeaderLeaseRequest& request, const std::string& last_leader);
    // The current holder of the vote; empty if there is none.
    std::string holder() const;

private:
    bool isHeld() const { return scheduler_.now() < held_until_; }

    Scheduler& scheduler_;
    SteadyTime first_vote_at_;
    std::string holder_;
    Incarnation holder_incarnation_ = 0;
    std::uint64_t holder_round_ = 0;
    SteadyTime held_until_{};
};

struct ElectionHooks {
    // The voters of the register. Only a machine among them becomes a candidate.
    std::function<std::vector<NodeAddress>()> voters;
    // False while this machine could not tell after a restart that it had started before.
    std::function<bool()> may_vote;
    // The leader according to the local copy of the store view; empty if there is none.
    std::function<std::string()> last_leader;
    // Version of the voter set. A candidate that asks with an older version is refused.
    std::function<std::uint64_t()> voters_version = [] { return std::uint64_t{0}; };
    // If false, this machine does not become a candidate, and releases a lease that it holds.
    std::function<bool()> may_lead = [] { return true; };
};

struct ElectionIdentity {
    std::string name;
    Incarnation incarnation = 0;
    NodeAddress self;  // internal address
};

class LeaderElection {
public:
    LeaderElection(Scheduler& scheduler, Transport& transport, ElectionIdentity identity, bool first_start,
                   ElectionHooks hooks);

    void start();
    // Stops leading at once and releases the votes; this machine does not become a candidate again.
    void leave();
    // Stops leading and releases the votes because a higher term was seen; may become a candidate again.
    void stepDown();
    // Renews the lease at once instead of at the next interval; does nothing if this machine does not lead.
    void renew();
    // Called when a new leadership period starts.
    void onElected(std::function<void()> listener) { on_elected_ = std::move(listener); }
    // Called when a majority of a newer voter set has granted the lease.
    void onVoterSetChanged(std::function<void()> listener) { on_voter_set_changed_ = std::move(listener); }

    // Compares the lease with the clock at each call, so a process that was paused sees that its lease has
    // expired.
    bool isLeader() const { return scheduler_.now() < leads_until_; }
    // The newest voter set version of which a majority has granted the lease in this leadership period.
    std::uint64_t leaseVotersVersion() const { return lease_voters_version_; }
    // Answers the request of another candidate.
    LeaderLeaseReply vote(const LeaderLeaseRequest& request);
    // Number of the current or last uninterrupted leadership period of this process, starting at 1.
    std::uint64_t leadershipPeriod() const { return leadership_period_; }
    const LeaseGrantor& grantor() const { return grantor_; }

private:
    struct VoteRound;  // one round of vote requests

    void tick();
    void requestVotes();
    void onVote(const std::shared_ptr<VoteRound>& votes, bool granted);
    void onMajority(const VoteRound& votes);
    // Gives back the votes granted in rounds up to `round`.
    void releaseVotes(std::uint64_t round);
    void resign();
    void requestVote(const NodeAddress& voter, Millis duration, std::uint64_t round,
                     std::function<void(bool)> done);
    Millis candidacyDelay();

    Scheduler& scheduler_;
    Transport& transport_;
    ElectionIdentity identity_;
    ElectionHooks hooks_;
    LeaseGrantor grantor_;
    std::mt19937_64 random_;
    std::function<void()> on_elected_;
    std::function<void()> on_voter_set_changed_;
    SteadyTime leads_until_{};
    std::uint64_t leadership_period_ = 0;
    std::uint64_t lease_voters_version_ = 0;
    std::uint64_t round_ = 0;
    std::uint64_t released_round_ = 0;  // votes of rounds up to this one no longer count
    bool leaving_ = false;
    TimerHandle timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
