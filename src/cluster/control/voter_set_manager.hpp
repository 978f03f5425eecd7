// Maintains the voter set of the register. Every core machine asks the others for newer sets; the leader
// changes the set, one machine at a time.
//
// A set is chosen by a majority of its predecessor. Before the leader proposes the next set it rewrites all
// registers under the present one: a round of each register that keeps the value and is accepted by a
// majority. From then on no majority of an older set exists, since each would contain a voter that knows the
// newer set; and every value chosen by an older set has been accepted again by the present one, whose
// majorities intersect those of the next set.
//
// The leader lease is carried over in the same way: the next set is proposed only after a majority of the
// present set has granted the lease. Each majority of the next set intersects that one, so the next set
// elects no other leader while the lease lasts; a set two changes later might.
//
// A lost voter is replaced by two consecutive changes, first its removal and then the addition of a recovered
// machine: if one of 2f + 1 voters is lost, a majority of the remaining 2f needs no more live voters than
// before. Each core machine records the lease renewals it receives, so a new leader knows at once which
// machines have stopped renewing.
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
    std::function<bool()> is_acting_leader;  // true while this machine acts as leader
    // Returns the internal addresses of the other core machines known at that time.
    std::function<std::vector<NodeAddress>()> peers;
    // True if a majority of the voters of that version has granted this machine the leader lease.
    std::function<bool(std::uint64_t version)> holds_lease_from = [](std::uint64_t) { return true; };
    // Requests the lease from the present voters at once.
    std::function<void()> renew_lease = [] {};
};

// Location of this machine, the topology, and how many zones and regions may be lost at once.
struct VoterPlacement {
    std::string own_zone;
    Topology topology;
    DomainTolerance tolerance;
};

class VoterSetManager {
public:
    VoterSetManager(Scheduler& scheduler, Transport& transport, RegisterVoter& voter,
                    RegisterProposer& proposer, Membership& membership, std::string name,
                    std::size_t tolerated_machines, VoterSetHooks hooks, VoterPlacement placement = {});

    void start();
    // Must be called when the core machine of that name has renewed its lease at this one.
    void onLeaseRenewed(const std::string& name);
    // Must be called when a majority of a newer voter set has granted the leader lease.
    void onLeaseGrantedByNewVoters() { evaluate(); }

private:
    // State of a core machine according to its lease renewals.
    struct CoreRecord {
        SteadyTime last_ready;  // last renewal with data; initially, when it became known
        bool has_data = false;  // this and `leaving`: as of its last renewal
        bool leaving = false;
        std::string zone = {};
    };
    struct RewriteRound;

    void tick();
    void queryPeers();
    void trackVoters();
    // Detects pauses of this process and, on the acting leader, calls manageVoters().
    void evaluate();
    // Takes the next step: rewrites the registers, renews the lease, or proposes the next voter set.
    void manageVoters();
    std::vector<CoreObservation> observe() const;
    CoreObservation observeStandby(const NodeAddress& address, const CoreRecord& record) const;
    CoreObservation observeVoter(const NodeAddress& address) const;
    bool isStandby(const NodeAddress& address, const CoreRecord& record) const;

    // Has the present voters accept the current value of each register again.
    void rewriteRegisters();
    void onRegisterRewritten(const std::shared_ptr<RewriteRound>& round, const std::string& key,
                             const ChangeOutcome& outcome);
    // Proposes `next` if the machine that it adds answers a request.
    void proposeIfReachable(const VoterSet& next, const NodeAddress& added);
    void propose(const VoterSet& next);
    void onProposed(const ChangeOutcome& outcome);
    void learnChosen(const ChangeOutcome& outcome);

    Scheduler& scheduler_;
    Transport& transport_;
    RegisterVoter& voter_;
    RegisterProposer& proposer_;
    Membership& membership_;
    std::string name_;
    std::size_t tolerated_machines_;
    VoterSetHooks hooks_;
    VoterPlacement placement_;
    // Keyed by address, since a replacement machine may have the same name.
    std::map<NodeAddress, CoreRecord> machines_;
    bool acting_leader_ = false;
    bool changing_ = false;                           // a rewrite or a proposal is in progress
    std::optional<std::uint64_t> rewritten_version_;  // voter set rewritten in this leadership period
    SteadyTime listening_since_{};                    // end of the last pause of this process
    SteadyTime last_evaluation_{};
    SteadyTime next_query_at_{};
    TimerHandle timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
