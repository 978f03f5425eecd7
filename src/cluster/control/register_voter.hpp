// Voter (acceptor) of the register: promises ballots and accepts values. Each promise and accepted value is
// synced to disk before the reply is sent. The voter only takes part in rounds of the newest voter set it
// knows; rounds of older sets therefore lose their majority.
//
// While its disk fails it does not vote. Its memory then never holds less than the disk: a promise or value
// that was staged, but not reported to a proposer, only makes it reject more requests, or is returned to
// later proposers as a value that may have been chosen. Once the disk is healthy, memory and disk are equal
// and it votes again without recovery.
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

// An accepted proposal that a voter without data takes over from the other voters.
struct RecoveredRegister {
    std::string key;
    Ballot ballot;
    std::string value;
};

class RegisterVoter {
public:
    // `self` is the internal address of this machine. With `bootstrap` and no voter set on disk,
    // `initial_voters` become the voters, and the data of this machine is valid as soon as that set is
    // synced.
    RegisterVoter(RecordStore& disk, NodeAddress self, const std::vector<NodeAddress>& initial_voters,
                  bool bootstrap);

    // Answer a prepare or accept request. `done` is called once the vote is durable, or at once if it is
    // refused.
    void prepare(const PrepareRequest& request, std::function<void(PrepareReply)> done);
    void accept(const AcceptRequest& request, std::function<void(AcceptReply)> done);

    // True if the register data is complete and the disk works, so that this machine may be a voter.
    bool hasData() const { return data_valid_ && isDiskHealthy(); }
    bool isDiskHealthy() const { return disk_.healthy(); }
    // True if this machine has its data and is in the newest known voter set.
    bool canVote() const {
        return (hasData() || isFaultInjected(InjectedFault::votes_before_recovery)) && isAmongVoters();
    }
    // True if the data is missing or cannot be trusted; the machine must recover before it may vote.
    bool needsRecovery() const { return !data_valid_ && !first_start_; }
    // True if this process initialized the register on an empty disk (bootstrap).
    bool isFirstStart() const { return first_start_; }
    const NodeAddress& self() const { return self_; }
    // The newest known voters; empty while none are known.
    const std::vector<NodeAddress>& voters() const { return voters_.addresses; }
    // The newest known voter set. Only sets that were chosen are ever stored here.
    const VoterSet& voterSet() const { return voters_; }
    bool isAmongVoters() const;
    // The value accepted last, chosen or not; empty if there is none.
    std::string acceptedValue(const std::string& key) const;
    // The ballot of the value accepted last; round 0 if there is none.
    Ballot acceptedBallot(const std::string& key) const;
    // The highest ballot promised or accepted; round 0 if there is none.
    Ballot promisedBallot(const std::string& key) const;

    // Must be called when the disk becomes healthy again; completes an initialization that the disk failure
    // delayed.
    void onDiskHealthy();
    // Adopts a chosen voter set if it is newer than the known one.
    void learnVoters(const VoterSet& voters);
    // Stores the recovered registers; the data is valid once they are synced. `done(false)` reports a disk
    // failure.
    void recover(const std::vector<RecoveredRegister>& registers, std::function<void(bool)> done);

private:
    struct KeyState {
        Ballot promised;
        AcceptedRecord accepted;
    };

    bool load();
    bool loadRecords();
    void initialize(const std::vector<NodeAddress>& initial_voters);
    void completeInitialization();
    bool storeVoters();
    // Learns the voter set of a request. Returns false if no vote may be given: the set is older than the
    // known one, or the newer set cannot be stored.
    bool adoptVoters(const VoterSet& requested);
    bool storePromise(const std::string& key, const Ballot& ballot);
    bool storeAccepted(const std::string& key, AcceptedRecord accepted);
    // Calls `done` with true once everything staged so far is durable, or with false if the sync failed.
    void afterSync(std::function<void(bool)> done);

    RecordStore& disk_;
    NodeAddress self_;
    VoterSet voters_;
    bool voters_stored_ = false;  // the voter set is on disk, or staged for the next sync
    std::map<std::string, KeyState> keys_;
    bool data_valid_ = false;
    bool first_start_ = false;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
