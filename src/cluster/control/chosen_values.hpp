// Tracks the values of the register that this core machine knows to be chosen, and when they were last
// confirmed to be the newest (a read index).
//
// A confirmation round asks the other core machines, every 150 ms and on demand, for newer chosen values and
// for the highest ballots that they have accepted. A round is confirmed once a majority of the newest known
// voter set, none of which knows a newer set, has accepted nothing above the ballots known here to be chosen.
// Everything chosen before the start of that round is then known here: a chosen value was accepted by a
// majority, and the two majorities share a voter.
//
// An accepted ballot that stays above the chosen one is resolved by a quorum round that keeps the value: its
// proposer may have reached a majority and then have stopped or been cut off. While ballots still rise, a
// proposer is active and no such round is started.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/lifetime.hpp"
#include "cluster/control/register_proposer.hpp"

namespace amberswitch::cluster {

// A value known to be chosen.
struct ChosenValue {
    Ballot ballot;
    std::string value;
};

class ChosenValues {
public:
    using PeersFunction = std::function<std::vector<NodeAddress>()>;

    // `peers` returns the internal addresses of the other core machines known at that time.
    ChosenValues(Scheduler& scheduler, Transport& transport, RegisterVoter& voter, RegisterProposer& proposer,
                 PeersFunction peers);

    // Starts the periodic confirmation rounds.
    void start();
    // Called for each newer value, once the key is verified.
    void onChange(std::function<void(const std::string& key)> listener) { on_change_ = std::move(listener); }
    // Called for each confirmed round.
    void onConfirmed(std::function<void()> listener) { on_confirmed_ = std::move(listener); }

    // The newest known chosen value, or nullptr if none is known or the key has not been verified yet.
    const ChosenValue* find(const std::string& key) const;
    // True once every key has been confirmed, or chosen by this machine, at least once since the start.
    bool isVerified() const;

    // True if a round that started at `since` or later has confirmed that find() returns the newest values.
    bool isConfirmedSince(SteadyTime since) const;
    // True if all keys are verified and the last confirmed round started less than 0.6 s ago.
    bool isFresh() const;
    // Starts a round now, or as soon as the minimum interval since the last one has passed.
    void requestConfirmation();

    // Handles a notice from another core machine that a value was chosen.
    void learn(const ChosenNotice& notice);
    // Must be called when the voter of this machine has accepted a proposal of that key.
    void onAccepted(const std::string& key);
    // Answers a confirmation round of another core machine.
    ReadChosenReply answer(const ReadChosenRequest& request) const;

private:
    struct KeyState {
        ChosenValue chosen;
        bool verified = false;
        Ballot announced;  // the newest ballot announced to the other machines as chosen
        Ballot accepted;   // the highest accepted ballot reported by any voter
        bool resolving = false;
        TimerHandle resolve_timer;
    };
    struct Round;
    using RoundHandle = std::shared_ptr<Round>;

    // Handles a value chosen by the proposer of this machine: announces it to the others, once.
    void onChosenLocally(const std::string& key, const ChangeOutcome& outcome);
    void applyChosen(const std::string& key, const Ballot& ballot, const std::string& value);
    void applyNotice(const ChosenNotice& notice);

    void startRound();
    ReadChosenRequest request() const;
    void onReply(const RoundHandle& round, const NodeAddress& peer, const ReadChosenReply& reply);
    void recordReports(const ReadChosenReply& reply);
    void confirmRounds();
    bool isConfirmed(const Round& round) const;
    void recordContact(const Round& round);
    bool answeredByMajority(const Round& round) const;
    bool hasMajorityContact() const;

    // True if a ballot above the known chosen one was accepted by a voter.
    bool isUnresolved(const std::string& key) const;
    void scheduleResolve(const std::string& key);
    void resolve(const std::string& key, const Ballot& seen);
    Ballot newestBallot(const std::string& key) const;
    Millis resolveDelay() const;

    Scheduler& scheduler_;
    Transport& transport_;
    RegisterVoter& voter_;
    RegisterProposer& proposer_;
    PeersFunction peers_;
    std::function<void(const std::string&)> on_change_;
    std::function<void()> on_confirmed_;
    std::map<std::string, KeyState> keys_;
    std::vector<RoundHandle> open_rounds_;           // not confirmed yet, oldest first
    SteadyTime last_round_start_{};                  // start of the last round
    std::optional<SteadyTime> confirmed_at_;         // start of the last confirmed round
    std::optional<SteadyTime> majority_contact_at_;  // start of the last round that a majority answered
    TimerHandle round_timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
