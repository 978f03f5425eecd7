// The voter of the register: promises ballots and accepts values, each synced to disk before it is told. It
// takes part only in rounds of the newest voters that it knows, so that a majority of older ones ends with
// them.
//
// While its disk fails it does not vote. What it holds in memory is then never less than what is on the disk:
// a promise or a value that was staged, but not told to anyone, only makes it refuse more, or is offered to
// later proposers as a value that may have been chosen. Once the disk is healthy both are equal, and it votes
// again without asking anyone.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/common/injected_fault.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/control/lifetime.hpp"
#include "cluster/control/register_messages.hpp"
#include "cluster/storage/record_store.hpp"

namespace amberswitch::cluster {

// One of the accepted proposals that a voter without data takes over from the others.
struct RecoveredRegister {
    std::string key;
    Ballot ballot;
    std::string value;
};

class RegisterVoter {
public:
    // `self`: internal address of this machine. With `bootstrap` and no voter set on disk, `first_voters`
    // become the voters and this machine is valid as soon as that is synced.
    RegisterVoter(RecordStore& disk, NodeAddress self, const std::vector<NodeAddress>& first_voters,
                  bool bootstrap);

    void prepare(const PrepareRequest& request, std::function<void(PrepareReply)> done);
    void accept(const AcceptRequest& request, std::function<void(AcceptReply)> done);

    // Has its data and its disk works, so that it may be a voter.
    bool hasData() const { return valid_ && diskWorks(); }
    bool diskWorks() const { return disk_.healthy(); }
    // Has its data and is among the newest voters known.
    bool votes() const {
        return (hasData() || isFaultInjected(InjectedFault::votes_before_recovery)) && isAmongVoters();
    }
    // Has no data, or none that may be trusted; must recover before it may vote.
    bool needsRecovery() const { return !valid_ && !started_first_; }
    // True where this process started the register for the first time.
    bool startedFirst() const { return started_first_; }
    const NodeAddress& self() const { return self_; }
    // Empty while they are not known.
    const std::vector<NodeAddress>& voters() const { return voters_.addresses; }
    // The newest known. Only sets that were chosen are ever known here.
    const VoterSet& voterSet() const { return voters_; }
    bool isAmongVoters() const;
    // What this voter accepted last, chosen or not; empty if nothing.
    std::string acceptedValue(const std::string& key) const;
    // Its ballot; round 0 if nothing.
    Ballot acceptedBallot(const std::string& key) const;
    // The highest that it promised or accepted; round 0 if none.
    Ballot promisedBallot(const std::string& key) const;

    // Call it when the disk is healthy again: a first start that it held up is completed.
    void onDiskHealthy();
    // Takes over chosen voters that are newer than those known here.
    void learnVoters(const VoterSet& voters);
    // Takes over the registers and is valid once they are synced; `done(false)`: the disk failed.
    void recover(const std::vector<RecoveredRegister>& registers, std::function<void(bool)> done);

private:
    struct KeyState {
        Ballot promised;
        AcceptedRecord accepted;
    };

    bool load();
    bool loadRecords();
    void startFirst(const std::vector<NodeAddress>& first_voters);
    void completeFirstStart();
    bool storeVoters();
    // Learns the voters of a request. False: a vote may not be given, as they are not this machine's newest,
    // or can't be kept.
    bool followsVoters(const VoterSet& asked);
    bool storePromise(const std::string& key, const Ballot& ballot);
    bool storeAccepted(const std::string& key, AcceptedRecord accepted);
    // Runs `done` with whether everything staged so far is durable.
    void afterSync(std::function<void(bool)> done);

    RecordStore& disk_;
    NodeAddress self_;
    VoterSet voters_;
    bool voters_stored_ = false;  // on disk, or staged
    std::map<std::string, KeyState> keys_;
    bool valid_ = false;
    bool started_first_ = false;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
