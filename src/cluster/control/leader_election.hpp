// The leader lease: each voter of the register gives its vote to one candidate for 1.5 s; the holder of a
// majority leads until 0.3 s before the lease ends by its own steady clock, counted from the time of asking.
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

// This machine's vote.
class LeaseGrantor {
public:
    // Without `first_start`, gives no vote for a whole lease: an earlier process here may have given one.
    LeaseGrantor(Scheduler& scheduler, bool first_start);

    // `last_leader`: who led last as far as this machine's disk knows. It needn't wait: either the earlier
    // vote was its own, or its process is a new one and the old lease ended with the old process.
    LeaderLeaseReply answer(const LeaderLeaseRequest& request, const std::string& last_leader);
    // Who holds the vote now; empty: nobody.
    std::string holder() const;

private:
    bool isHeld() const { return scheduler_.now() < held_until_; }

    Scheduler& scheduler_;
    SteadyTime votes_from_;
    std::string holder_;
    Incarnation holder_incarnation_ = 0;
    std::uint64_t holder_round_ = 0;
    SteadyTime held_until_{};
};

struct ElectionHooks {
    // The voters of the register; only a machine among them stands as candidate.
    std::function<std::vector<NodeAddress>()> electors;
    // False while this machine could not know after a restart that it had started before.
    std::function<bool()> may_vote;
    // The leader named in this machine's own copy of the store view; empty if there is none.
    std::function<std::string()> last_leader;
    // Of the electors. A vote is refused to a candidate who asks by an older version than this.
    std::function<std::uint64_t()> electors_version = [] { return std::uint64_t{0}; };
    // False: this machine does not stand, and gives back a lease that it holds.
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
    // Stops leading at once and gives the votes back; stands no more.
    void leave();
    // Stops leading and gives the votes back, as a higher term has been seen; stands again like any other.
    void stepDown();
    // Renews the lease now rather than at its next time; does nothing where this machine doesn't lead.
    void renew();
    // Runs when a new reign begins.
    void onElected(std::function<void()> listener) { on_elected_ = std::move(listener); }
    // Runs when a majority of newer electors than before has granted the lease.
    void onElectorsChanged(std::function<void()> listener) { on_electors_changed_ = std::move(listener); }

    // Compared with the clock at each call, so a process that was frozen finds its lease gone.
    bool isLeader() const { return scheduler_.now() < acts_until_; }
    // The newest version of the electors of which a majority has granted the lease of this reign.
    std::uint64_t leaseVersion() const { return lease_version_; }
    // Answers another candidate.
    LeaderLeaseReply vote(const LeaderLeaseRequest& request);
    // Counts the unbroken spans of leadership of this process.
    std::uint64_t reign() const { return reign_; }
    const LeaseGrantor& grantor() const { return grantor_; }

private:
    struct VoteRound;  // one round of asking

    void tick();
    void askAll();
    void onVote(const std::shared_ptr<VoteRound>& votes, bool granted);
    void onMajority(const VoteRound& votes);
    void giveBack(std::uint64_t round);
    void resign();
    void ask(const NodeAddress& elector, Millis duration, std::uint64_t round,
             std::function<void(bool)> done);
    Millis candidacyDelay();

    Scheduler& scheduler_;
    Transport& transport_;
    ElectionIdentity identity_;
    ElectionHooks hooks_;
    LeaseGrantor grantor_;
    std::mt19937_64 random_;
    std::function<void()> on_elected_;
    std::function<void()> on_electors_changed_;
    SteadyTime acts_until_{};
    std::uint64_t reign_ = 0;
    std::uint64_t lease_version_ = 0;
    std::uint64_t round_ = 0;
    std::uint64_t given_back_ = 0;  // votes of rounds up to this one count no more
    bool leaving_ = false;
    TimerHandle timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
