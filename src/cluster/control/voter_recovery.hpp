// Restores the register data of a core machine that started without it, either because it lost its disk or
// because it is new, so that it can vote.
//
// The machine reads the voter set from the others. For each register it then runs a round that keeps the
// value, at a ballot far above every one that it may have promised before it lost its data; its own vote is
// not counted towards the majority. After that round no older proposal can still be chosen with a vote that
// this machine forgot, and anything already chosen with such a vote is among the values read. Only then are
// the registers stored here, and the machine votes if it is a voter.
//
// The register of the voters is recovered first. Its value is the newest voter set at that time, so the
// machine cannot have forgotten a vote in a newer set. If that set is newer than the one whose voters were
// asked, recovery starts over with it.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/lifetime.hpp"
#include "cluster/control/register_proposer.hpp"
#include "cluster/control/register_voter.hpp"

namespace amberswitch::cluster {

class VoterRecovery {
public:
    using PeersFunction = std::function<std::vector<NodeAddress>()>;

    VoterRecovery(Scheduler& scheduler, Transport& transport, RegisterVoter& voter,
                  RegisterProposer& proposer, std::string name, PeersFunction peers);

    // Starts the recovery; does nothing if the voter has its data.
    void start();
    // Called when the registers have been stored on this machine.
    void onRecovered(std::function<void()> listener) { on_recovered_ = std::move(listener); }

private:
    // Continues the recovery from its current state, or schedules a retry.
    void step();
    void scheduleRetry();
    void requestVoters();
    void onVotersReceived(const VoterSet& voters);
    void recoverNextKey();
    void onKeyRecovered(const std::string& key, ChangeOutcome outcome);
    void storeRecovered();

    Scheduler& scheduler_;
    Transport& transport_;
    RegisterVoter& voter_;
    RegisterProposer& proposer_;
    std::string name_;
    PeersFunction peers_;
    std::function<void()> on_recovered_;
    std::vector<RecoveredRegister> recovered_;
    std::uint64_t voters_version_ = 0;  // voter set version of the rounds in `recovered_`
    TimerHandle timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
