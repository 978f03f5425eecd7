// The voter of the register: promises ballots and accepts values, each synced to disk before it is told.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

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

    // Has its data, is among the voters and its disk works.
    bool votes() const;
    // Has no data, or none that may be trusted; must recover before it may vote.
    bool needsRecovery() const { return !valid_ && !started_first_ && !disk_failed_; }
    // True where this process started the register for the first time.
    bool startedFirst() const { return started_first_; }
    const NodeAddress& self() const { return self_; }
    // Empty while they are not known.
    const std::vector<NodeAddress>& voters() const { return voters_; }
    bool isAmongVoters() const;
    // What this voter accepted last, chosen or not; empty if nothing.
    std::string acceptedValue(const std::string& key) const;

    // Sets the voters that others told; only while none are known.
    void learnVoters(std::vector<NodeAddress> voters);
    // Takes over the registers and is valid once they are synced; `done(false)`: the disk failed.
    void recover(const std::vector<RecoveredRegister>& registers, std::function<void(bool)> done);

private:
    struct KeyState {
        Ballot promised;
        AcceptedRecord accepted;
    };

    void load();
    void startFirst(const std::vector<NodeAddress>& first_voters);
    bool storeVoters();
    bool storePromise(const std::string& key, const Ballot& ballot);
    bool storeAccepted(const std::string& key, AcceptedRecord accepted);
    // Runs `done` with whether everything staged so far is durable.
    void afterSync(std::function<void(bool)> done);

    RecordStore& disk_;
    NodeAddress self_;
    std::vector<NodeAddress> voters_;
    std::map<std::string, KeyState> keys_;
    bool valid_ = false;
    bool started_first_ = false;
    bool disk_failed_ = false;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
