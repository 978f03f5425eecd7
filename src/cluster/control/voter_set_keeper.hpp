// Keeps the voters of the register: every core machine asks the others for newer ones, and the leader changes
// them, one machine at a time.
//
// A set is chosen by the majority of the set before it. Before the leader proposes a further one it settles
// the present one: a round of each register by its majority, which keeps the value. From then on no majority
// of an older set can be found, since each has a voter that knows the newer set; and whatever an older one
// chose has been accepted again by the present one, whose majorities the next set's ones meet.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/lifetime.hpp"
#include "cluster/control/membership.hpp"
#include "cluster/control/register_proposer.hpp"
#include "cluster/control/register_voter.hpp"
#include "cluster/control/voter_change.hpp"

namespace amberswitch::cluster {

struct VoterSetHooks {
    std::function<bool()> is_acting;  // this machine acts as leader
    // Internal addresses of the other core machines known now.
    std::function<std::vector<NodeAddress>()> peers;
};

class VoterSetKeeper {
public:
    VoterSetKeeper(Scheduler& scheduler, Transport& transport, RegisterVoter& voter,
                   RegisterProposer& proposer, Membership& membership, std::string name,
                   std::size_t tolerated, VoterSetHooks hooks);

    void start();

private:
    void tick();
    void askPeers();
    void noteHeard();
    void lead();
    std::vector<CoreObservation> observe() const;
    CoreObservation observeVoter(const NodeAddress& address) const;

    void settle();
    void settleNext(std::uint64_t version, std::size_t index);
    void propose(const VoterSet& next);
    void onProposed(const ChangeOutcome& outcome);
    void learnChosen(const ChangeOutcome& outcome);

    Scheduler& scheduler_;
    Transport& transport_;
    RegisterVoter& voter_;
    RegisterProposer& proposer_;
    Membership& membership_;
    std::string name_;
    std::size_t tolerated_;
    VoterSetHooks hooks_;
    std::map<NodeAddress, SteadyTime> heard_;  // when each core machine last renewed its lease here
    bool acting_ = false;
    bool changing_ = false;                         // a round of settling or proposing runs
    std::optional<std::uint64_t> settled_version_;  // in this reign
    SteadyTime listens_since_{};                    // what was silent before is not known
    SteadyTime last_tick_{};
    SteadyTime next_ask_{};
    TimerHandle timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
