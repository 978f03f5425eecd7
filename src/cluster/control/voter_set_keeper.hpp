// Keeps the voters of the register: every core machine asks the others for newer ones, and the leader changes
// them, one machine at a time.
//
// A set is chosen by the majority of the set before it. Before the leader proposes a further one it settles
// the present one: a round of each register by its majority, which keeps the value. From then on no majority
// of an older set can be found, since each has a voter that knows the newer set; and whatever an older one
// chose has been accepted again by the present one, whose majorities the next set's ones meet.
//
// The leader lease is handed on in the same way: no further set is proposed before a majority of the present
// one has granted the lease. A majority of the next set meets that one, so nobody else is elected by the next
// set while the lease lasts; two sets further on, a majority need not.
//
// A voter that is lost is exchanged by two such changes right after each other, first its removal and then
// the addition of a recovered machine: of 2f + 1 voters with one lost, the 2f left need as many live ones.
// Each core machine notes who renews its lease here, so a new leader knows at once who is silent.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/topology.hpp"
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
    // Whether a majority of the voters of that version has granted this machine the leader lease.
    std::function<bool(std::uint64_t version)> holds_lease_of = [](std::uint64_t) { return true; };
    // Asks the present voters for the lease at once.
    std::function<void()> renew_lease = [] {};
};

// Where core machines stand, and what of it may be lost at once.
struct VoterPlaces {
    std::string own_zone;
    Topology topology;
    VoterSpread spread;
};

class VoterSetKeeper {
public:
    VoterSetKeeper(Scheduler& scheduler, Transport& transport, RegisterVoter& voter,
                   RegisterProposer& proposer, Membership& membership, std::string name,
                   std::size_t tolerated, VoterSetHooks hooks, VoterPlaces places = {});

    void start();
    // The core machine of that name has renewed its lease here.
    void onRenewed(const std::string& name);
    // A majority of newer voters than before has granted the leader lease.
    void onLeaseOfNewVoters() { look(); }

private:
    // What its renewals have told of a core machine.
    struct CoreRecord {
        SteadyTime last_ready;  // renewed and had its data; at first, when it became known here
        bool has_data = false;  // these two as of its last renewal
        bool leaving = false;
        std::string zone = {};
    };
    struct SettleRound;

    void tick();
    void askPeers();
    void noteVoters();
    void look();
    void lead();
    std::vector<CoreObservation> observe() const;
    CoreObservation observeStandby(const NodeAddress& address, const CoreRecord& record) const;
    CoreObservation observeVoter(const NodeAddress& address) const;
    bool isStandby(const NodeAddress& address, const CoreRecord& record) const;

    void settle();
    void onSettled(const std::shared_ptr<SettleRound>& round, const std::string& key,
                   const ChangeOutcome& outcome);
    void proposeOnceAnswered(const VoterSet& next, const NodeAddress& added);
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
    VoterPlaces places_;
    // By address: the machine that replaces another one may have its name.
    std::map<NodeAddress, CoreRecord> machines_;
    bool acting_ = false;
    bool changing_ = false;                         // a round of settling or proposing runs
    std::optional<std::uint64_t> settled_version_;  // in this reign
    SteadyTime listens_since_{};                    // this process stood still before
    SteadyTime last_look_{};
    SteadyTime next_ask_{};
    TimerHandle timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
