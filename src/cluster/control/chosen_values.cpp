#include "cluster/control/chosen_values.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "cluster/common/typed_call.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kRoundInterval{150};
constexpr Millis kMinRoundInterval{50};  // between rounds on demand
constexpr Millis kRoundTimeout{400};
constexpr Millis kNoticeTimeout{1000};
constexpr Millis kFreshnessWindow{600};
// A change that completes normally is announced within a few milliseconds of its acceptance.
constexpr Millis kResolveDelay{100};
// Multiplied by the position among the voters, so that their rounds usually do not collide.
constexpr Millis kResolveStagger{60};
constexpr Millis kResolveTimeout{1000};

Decision keepValue(const std::string&) {
    return Decision::keep();
}

}  // namespace

// A confirmation round: one request to every other core machine.
struct ChosenValues::Round {
    SteadyTime started_at;
    std::uint64_t voters_version = 0;
    // Accepted ballots by key, of each voter that replied with the same voter set version.
    std::map<NodeAddress, std::map<std::string, Ballot>> accepted;
};

ChosenValues::ChosenValues(Scheduler& scheduler, Transport& transport, RegisterVoter& voter,
                           RegisterProposer& proposer, PeersFunction peers)
    : scheduler_(scheduler),
      transport_(transport),
      voter_(voter),
      proposer_(proposer),
      peers_(std::move(peers)) {
    for (const std::string key : {kConfigKey, kViewKey}) keys_[key];
    proposer_.onChosen(lifetime_.guard(
        [this](const std::string& key, const ChangeOutcome& outcome) { onChosenLocally(key, outcome); }));
}

// The first rounds verify both keys, or reveal proposals that must be resolved.
void ChosenValues::start() {
    startRound();
}

const ChosenValue* ChosenValues::find(const std::string& key) const {
    const auto found = keys_.find(key);
    if (found == keys_.end() || !found->second.verified || found->second.chosen.value.empty()) return nullptr;
    return &found->second.chosen;
}

bool ChosenValues::isVerified() const {
    return std::all_of(keys_.begin(), keys_.end(), [](const auto& entry) { return entry.second.verified; });
}

// --- Chosen values -----------------------------------------------------------------------------------------

void ChosenValues::onChosenLocally(const std::string& key, const ChangeOutcome& outcome) {
    const auto found = keys_.find(key);
    if (found == keys_.end() || outcome.ballot <= found->second.announced) return;
    found->second.announced = outcome.ballot;
    // The others usually know a value that was kept: they have just accepted it with this ballot.
    ChosenNotice notice{key, outcome.ballot};
    if (outcome.wrote) notice.value = outcome.value;
    for (const NodeAddress& peer : peers_()) {
        const auto ignore = [](const std::optional<Acknowledgement>&) {};
        callFor<Acknowledgement>(transport_, peer, MessageKind::register_chosen, notice, kNoticeTimeout,
                                 ignore);
    }
    const bool newly_verified = !std::exchange(found->second.verified, true);
    applyChosen(key, outcome.ballot, outcome.value);
    if (newly_verified && on_change_) on_change_(key);
}

void ChosenValues::learn(const ChosenNotice& notice) {
    const auto found = keys_.find(notice.key);
    if (found == keys_.end()) return;
    applyNotice(notice);
    if (found->second.chosen.ballot < notice.ballot) requestConfirmation();  // the round fetches the value
}

void ChosenValues::applyNotice(const ChosenNotice& notice) {
    if (notice.value) return applyChosen(notice.key, notice.ballot, *notice.value);
    if (voter_.acceptedBallot(notice.key) == notice.ballot)
        applyChosen(notice.key, notice.ballot, voter_.acceptedValue(notice.key));
}

void ChosenValues::applyChosen(const std::string& key, const Ballot& ballot, const std::string& value) {
    KeyState& state = keys_[key];
    if (ballot <= state.chosen.ballot) return;
    const bool changed = value != state.chosen.value;
    state.chosen = {ballot, value};
    if (changed && state.verified && on_change_) on_change_(key);
    confirmRounds();
}

ReadChosenReply ChosenValues::answer(const ReadChosenRequest& request) const {
    ReadChosenReply reply;
    reply.voter = voter_.canVote();
    reply.voters_version = voter_.voterSet().version;
    if (request.voters_version < reply.voters_version) reply.newer_voters = voter_.voterSet();
    for (const KnownRegister& known : request.known) {
        RegisterReport report{voter_.acceptedBallot(known.key), {known.key, {}}};
        const auto found = keys_.find(known.key);
        if (found != keys_.end()) {
            const ChosenValue& chosen = found->second.chosen;
            report.chosen.ballot = chosen.ballot;
            const bool newer = chosen.ballot > known.chosen && chosen.ballot != known.accepted;
            if (newer) report.chosen.value = chosen.value;
        }
        reply.registers.push_back(std::move(report));
    }
    return reply;
}

// --- Confirmation ------------------------------------------------------------------------------------------

bool ChosenValues::isConfirmedSince(SteadyTime since) const {
    return confirmed_at_ && *confirmed_at_ >= since;
}

bool ChosenValues::isFresh() const {
    return isVerified() && isConfirmedSince(scheduler_.now() - kFreshnessWindow);
}

bool ChosenValues::hasMajorityContact() const {
    return majority_contact_at_ && *majority_contact_at_ >= scheduler_.now() - kFreshnessWindow;
}

void ChosenValues::requestConfirmation() {
    const SteadyTime next = last_round_start_ + kMinRoundInterval;
    if (scheduler_.now() >= next) return startRound();
    const auto pause = std::chrono::ceil<Millis>(next - scheduler_.now());
    round_timer_ = scheduler_.after(pause, [this] { startRound(); });
}

ReadChosenRequest ChosenValues::request() const {
    ReadChosenRequest made;
    made.voters_version = voter_.voterSet().version;
    for (const auto& [key, state] : keys_)
        made.known.push_back({key, state.chosen.ballot, voter_.acceptedBallot(key)});
    return made;
}

void ChosenValues::startRound() {
    const auto round = std::make_shared<Round>();
    round->started_at = last_round_start_ = scheduler_.now();
    round->voters_version = voter_.voterSet().version;
    std::erase_if(open_rounds_, [&](const RoundHandle& open) {
        return round->started_at - open->started_at > kRoundTimeout;
    });
    open_rounds_.push_back(round);
    const ReadChosenRequest asked = request();
    for (const NodeAddress& peer : peers_()) {
        const auto done = [this, round, peer](const std::optional<ReadChosenReply>& reply) {
            if (reply) onReply(round, peer, *reply);
        };
        callFor<ReadChosenReply>(transport_, peer, MessageKind::register_read_chosen, asked, kRoundTimeout,
                                 lifetime_.guard(done));
    }
    for (const auto& [key, state] : keys_) {
        if (isUnresolved(key)) scheduleResolve(key);
    }
    round_timer_ = scheduler_.after(kRoundInterval, [this] { startRound(); });
    // With a single voter the round is confirmed without any reply.
    recordContact(*round);
    confirmRounds();
}

void ChosenValues::onReply(const RoundHandle& round, const NodeAddress& peer, const ReadChosenReply& reply) {
    if (reply.newer_voters) voter_.learnVoters(*reply.newer_voters);
    for (const RegisterReport& report : reply.registers) applyNotice(report.chosen);
    if (!reply.voter || reply.voters_version != round->voters_version) return;
    for (const RegisterReport& report : reply.registers)
        round->accepted[peer][report.chosen.key] = report.accepted;
    recordContact(*round);
    recordReports(reply);
    confirmRounds();
}

void ChosenValues::recordReports(const ReadChosenReply& reply) {
    for (const RegisterReport& report : reply.registers) {
        const auto found = keys_.find(report.chosen.key);
        if (found == keys_.end()) continue;
        KeyState& state = found->second;
        state.accepted = std::max(state.accepted, report.accepted);
        proposer_.observeBallot(report.accepted);
        if (isUnresolved(report.chosen.key)) scheduleResolve(report.chosen.key);
    }
}

void ChosenValues::recordContact(const Round& round) {
    if (answeredByMajority(round))
        majority_contact_at_ = std::max(majority_contact_at_, std::optional(round.started_at));
}

bool ChosenValues::answeredByMajority(const Round& round) const {
    const VoterSet& voters = voter_.voterSet();
    if (round.voters_version != voters.version) return false;
    const auto answered =
        std::count_if(voters.addresses.begin(), voters.addresses.end(), [&](const NodeAddress& voter) {
            return voter == voter_.self() ? voter_.canVote() : round.accepted.contains(voter);
        });
    return static_cast<std::size_t>(answered) >= voters.addresses.size() / 2 + 1;
}

// True if a majority of the voters has accepted nothing above the ballots that are known here to be chosen.
bool ChosenValues::isConfirmed(const Round& round) const {
    const VoterSet& voters = voter_.voterSet();
    if (round.voters_version != voters.version) return false;
    const auto has_nothing_newer = [&](const NodeAddress& voter) {
        const bool own = voter == voter_.self();
        const auto reported = round.accepted.find(voter);
        if (own ? !voter_.canVote() : reported == round.accepted.end()) return false;
        return std::all_of(keys_.begin(), keys_.end(), [&](const auto& entry) {
            const auto& [key, state] = entry;
            if (own) return voter_.acceptedBallot(key) <= state.chosen.ballot;
            const auto accepted = reported->second.find(key);
            return accepted != reported->second.end() && accepted->second <= state.chosen.ballot;
        });
    };
    const auto confirming =
        std::count_if(voters.addresses.begin(), voters.addresses.end(), has_nothing_newer);
    return static_cast<std::size_t>(confirming) >= voters.addresses.size() / 2 + 1;
}

void ChosenValues::confirmRounds() {
    const auto newest = std::find_if(open_rounds_.rbegin(), open_rounds_.rend(),
                                     [this](const RoundHandle& round) { return isConfirmed(*round); });
    if (newest == open_rounds_.rend()) return;
    confirmed_at_ = (*newest)->started_at;
    open_rounds_.erase(open_rounds_.begin(), newest.base());
    for (auto& [key, state] : keys_) {
        const bool newly_verified = !std::exchange(state.verified, true);
        if (newly_verified && on_change_) on_change_(key);
    }
    if (on_confirmed_) on_confirmed_();
}

// --- Proposals that are accepted, but not known to be chosen -----------------------------------------------

void ChosenValues::onAccepted(const std::string& key) {
    if (isUnresolved(key)) scheduleResolve(key);
}

bool ChosenValues::isUnresolved(const std::string& key) const {
    const auto found = keys_.find(key);
    if (found == keys_.end()) return false;
    const KeyState& state = found->second;
    return std::max(state.accepted, voter_.acceptedBallot(key)) > state.chosen.ballot;
}

void ChosenValues::scheduleResolve(const std::string& key) {
    KeyState& state = keys_[key];
    if (state.resolving || state.resolve_timer) return;
    state.resolve_timer =
        scheduler_.after(resolveDelay(), [this, key, seen = newestBallot(key)] { resolve(key, seen); });
}

// The newest ballot of this key that any proposer is known to have used.
Ballot ChosenValues::newestBallot(const std::string& key) const {
    return std::max(keys_.at(key).accepted, voter_.promisedBallot(key));
}

Millis ChosenValues::resolveDelay() const {
    const std::vector<NodeAddress>& voters = voter_.voters();
    const auto position = std::find(voters.begin(), voters.end(), voter_.self()) - voters.begin();
    return kResolveDelay + position * kResolveStagger;
}

// Does nothing without recent contact to a majority: the round could not succeed, and would only raise the
// ballots of machines that still receive its messages.
void ChosenValues::resolve(const std::string& key, const Ballot& seen) {
    KeyState& state = keys_[key];
    state.resolve_timer.reset();
    if (!isUnresolved(key) || !hasMajorityContact() || !voter_.canVote()) return;
    // Another proposer is active; a round here could only conflict with it.
    if (newestBallot(key) != seen) return scheduleResolve(key);
    state.resolving = true;
    const auto done = [this, key](const ChangeOutcome& outcome) {
        keys_[key].resolving = false;
        if (outcome.known)
            LOG(INFO) << "resolved a proposal for register key " << key
                      << " that was accepted but not known to be chosen";
    };
    proposer_.change(key, keepValue, ChangeOptions{.timeout = kResolveTimeout}, lifetime_.guard(done));
}

}  // namespace amberswitch::cluster
