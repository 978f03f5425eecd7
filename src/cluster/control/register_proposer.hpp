// Proposer of the register (CASPaxos). A change runs a prepare round and an accept round, each needing a
// majority of the voters. Changes that keep the current value write it back as well, so every known outcome
// is backed by a chosen value. Each attempt uses a single voter set, the newest one known when the attempt
// starts; it restarts when a newer set becomes known.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/lifetime.hpp"
#include "cluster/control/register_voter.hpp"

namespace amberswitch::cluster {

// Result of a DecideFunction: the value to propose.
struct Decision {
    bool write = false;  // false: write the current value back unchanged
    std::string value;
    static Decision keep() { return {}; }
    static Decision replaceBy(std::string value) { return {true, std::move(value)}; }
};
// Computes the new value from the current one. May be called several times with newer values, so it must
// recognise a write of its own from an earlier attempt.
using DecideFunction = std::function<Decision(const std::string& current)>;

struct ChangeOutcome {
    bool known = false;  // false: no majority in time; the change may be chosen already, later or never
    bool wrote = false;  // the last decision replaced the value
    Ballot ballot;       // of the chosen value
    std::string value;   // the chosen value; empty if the key was never written
    std::uint64_t voters_version = 0;  // version of the voter set that chose the value
};

struct ChangeOptions {
    Millis timeout{1500};
    // Excludes this machine's own vote and uses ballots far above all known ones; for a voter that lost its
    // data.
    bool recovery = false;
    // If set, only this version of the voter set may decide; the outcome is unknown once a newer set is
    // known.
    std::optional<std::uint64_t> voters_version{};
};

class RegisterProposer {
public:
    // `identity` must be unique to this process (node name and incarnation), since it breaks ties between
    // ballots. `seed` seeds the random retry delays.
    RegisterProposer(Scheduler& scheduler, Transport& transport, RegisterVoter& voter, std::string identity,
                     std::uint64_t seed);
    // Cancels the timers of pending changes: outstanding calls may keep the Change objects alive beyond the
    // proposer.
    ~RegisterProposer();
    RegisterProposer(const RegisterProposer&) = delete;
    RegisterProposer& operator=(const RegisterProposer&) = delete;

    // Starts a change of `key`. Changes of one key run one after the other. `done` is never called from
    // within change().
    void change(const std::string& key, DecideFunction decide, ChangeOptions options,
                std::function<void(ChangeOutcome)> done);
    // Called for every change that ends with a known outcome, before its `done`, whichever component started
    // it.
    void onChosen(std::function<void(const std::string& key, const ChangeOutcome&)> listener) {
        on_chosen_ = std::move(listener);
    }
    // Makes this proposer use ballots above `ballot` from now on.
    void observeBallot(const Ballot& ballot);

private:
    struct Change;
    using ChangeHandle = std::shared_ptr<Change>;

    using Step = void (RegisterProposer::*)(const ChangeHandle&);

    void startNext(const std::string& key);
    void startAttempt(const ChangeHandle& change);
    void sendPrepare(const ChangeHandle& change);
    void onPrepareReply(const ChangeHandle& change, std::uint64_t attempt, std::optional<PrepareReply> reply);
    bool learnVoters(const ChangeHandle& change, const std::optional<VoterSet>& newer);
    void onPrepareMajority(const ChangeHandle& change);
    void sendAccept(const ChangeHandle& change);
    void onAcceptReply(const ChangeHandle& change, std::uint64_t attempt, std::optional<AcceptReply> reply);
    void scheduleRetry(const ChangeHandle& change);
    void finishUnknown(const ChangeHandle& change);
    TimerHandle scheduleStep(const ChangeHandle& change, Millis delay, Step step);
    void finish(const ChangeHandle& change, ChangeOutcome outcome);
    std::vector<NodeAddress> votersToAsk(const Change& change) const;

    Scheduler& scheduler_;
    Transport& transport_;
    RegisterVoter& voter_;
    std::string identity_;
    std::mt19937_64 random_;
    std::uint64_t highest_round_ = 0;
    std::function<void(const std::string&, const ChangeOutcome&)> on_chosen_;
    std::map<std::string, std::deque<ChangeHandle>> queues_;  // by key; the front one is running
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
