#include "cluster/control/register_proposer.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/injected_fault.hpp"
#include "cluster/control/typed_call.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kRoundTimeout{400};     // of one prepare or accept round
constexpr std::int64_t kBackoffMs = 10;  // before the first retry; doubles
constexpr int kBackoffDoublings = 4;
// A voter without data may have promised ballots that it forgot. Proposers rise by small steps above what
// they have seen, so a ballot this far ahead of a majority's is above every one of those.
constexpr std::uint64_t kRecoveryRoundStep = 1u << 20;

enum class ChangePhase : std::uint8_t { waiting, prepare, accept, finished };

}  // namespace

struct RegisterProposer::Change {
    std::string key;
    DecideFunction decide;
    ChangeOptions options;
    std::function<void(ChangeOutcome)> done;
    TimerHandle deadline;
    TimerHandle timer;    // of the round, or of the pause before the next attempt
    bool probed = false;  // recovery only: a majority has promised a ballot
    // The current attempt:
    std::uint64_t attempt = 0;
    ChangePhase phase = ChangePhase::waiting;
    VoterSet voters;
    Ballot ballot;
    std::size_t asked = 0;
    std::size_t answers = 0;
    std::size_t votes = 0;
    Ballot best;          // the highest accepted ballot among the promises
    std::string current;  // its value
    Decision decision;

    std::size_t majority() const {
        return voters.addresses.size() / 2 + (isFaultInjected(InjectedFault::half_is_majority) ? 0 : 1);
    }
};

RegisterProposer::RegisterProposer(Scheduler& scheduler, Transport& transport, RegisterVoter& voter,
                                   std::string identity, std::uint64_t seed)
    : scheduler_(scheduler),
      transport_(transport),
      voter_(voter),
      identity_(std::move(identity)),
      random_(seed) {}

RegisterProposer::~RegisterProposer() {
    for (const auto& [key, queue] : queues_) {
        for (const ChangeHandle& change : queue) {
            change->timer.reset();
            change->deadline.reset();
        }
    }
}

void RegisterProposer::change(const std::string& key, DecideFunction decide, ChangeOptions options,
                              std::function<void(ChangeOutcome)> done) {
    const auto change = std::make_shared<Change>();
    change->key = key;
    change->decide = std::move(decide);
    change->options = options;
    change->done = std::move(done);
    change->deadline = later(change, options.timeout, &RegisterProposer::giveUp);
    std::deque<ChangeHandle>& queue = queues_[key];
    queue.push_back(change);
    if (queue.size() == 1) scheduler_.post(lifetime_.guard([this, key] { startNext(key); }));
}

void RegisterProposer::startNext(const std::string& key) {
    const std::deque<ChangeHandle>& queue = queues_[key];
    if (queue.empty() || queue.front()->attempt != 0) return;
    const ChangeHandle first = queue.front();  // may leave the queue at once
    startAttempt(first);
}

std::vector<NodeAddress> RegisterProposer::electorate(const Change& change) const {
    std::vector<NodeAddress> chosen = change.voters.addresses;
    if (change.options.recovery) std::erase(chosen, voter_.self());
    return chosen;
}

void RegisterProposer::startAttempt(const ChangeHandle& change) {
    ++change->attempt;
    change->voters = voter_.voterSet();
    const std::optional<std::uint64_t>& wanted = change->options.voters_version;
    if (wanted && *wanted != change->voters.version) return giveUp(change);
    if (electorate(*change).size() < change->majority()) return retryLater(change);
    highest_round_ += change->options.recovery ? kRecoveryRoundStep : 1;
    change->ballot = Ballot{highest_round_, identity_};
    change->best = {};
    change->current.clear();
    sendPrepare(change);
}

void RegisterProposer::sendPrepare(const ChangeHandle& change) {
    const std::vector<NodeAddress> voters = electorate(*change);
    change->phase = ChangePhase::prepare;
    change->asked = voters.size();
    change->answers = change->votes = 0;
    change->timer = later(change, kRoundTimeout, &RegisterProposer::retryLater);
    const PrepareRequest request{change->key, change->ballot, change->voters};
    for (const NodeAddress& voter : voters) {
        const auto answer = lifetime_.guard([this, change, attempt = change->attempt](auto reply) {
            onPrepareReply(change, attempt, std::optional<PrepareReply>(std::move(reply)));
        });
        if (voter == voter_.self()) {
            voter_.prepare(request, [this, answer](PrepareReply reply) {
                scheduler_.post([answer, reply = std::move(reply)]() mutable { answer(std::move(reply)); });
            });
        } else {
            callFor<PrepareReply>(transport_, voter, MessageKind::register_prepare, request, kRoundTimeout,
                                  answer);
        }
    }
}

void RegisterProposer::onPrepareReply(const ChangeHandle& change, std::uint64_t attempt,
                                      std::optional<PrepareReply> reply) {
    if (reply) noteBallot(reply->highest);
    const bool outdated = reply && learnVoters(change, reply->newer_voters);
    if (change->attempt != attempt || change->phase != ChangePhase::prepare) return;
    if (outdated) return retryLater(change);
    ++change->answers;
    if (reply && reply->voter && reply->promised) {
        ++change->votes;
        const bool keeps_first =
            isFaultInjected(InjectedFault::adopts_first_value) && !change->current.empty();
        if (reply->accepted > change->best && !keeps_first) {
            change->best = reply->accepted;
            change->current = std::move(reply->value);
        }
    }
    if (change->votes >= change->majority()) return onPromised(change);
    if (change->votes + change->asked - change->answers < change->majority()) retryLater(change);
}

// Whether the voters of this attempt are out of date.
bool RegisterProposer::learnVoters(const ChangeHandle& change, const std::optional<VoterSet>& newer) {
    if (newer) voter_.learnVoters(*newer);
    return change->voters.version < voter_.voterSet().version;
}

// A recovery prepares twice: only the second ballot is surely a whole step above the promises of a majority.
void RegisterProposer::onPromised(const ChangeHandle& change) {
    if (!change->options.recovery || std::exchange(change->probed, true)) return sendAccept(change);
    startAttempt(change);
}

void RegisterProposer::sendAccept(const ChangeHandle& change) {
    const std::vector<NodeAddress> voters = electorate(*change);
    change->decision = change->decide(change->current);
    if (isFaultInjected(InjectedFault::reads_without_writing_back) && !change->decision.write)
        return finish(change, {true, false, change->best, change->current, change->voters.version});
    change->phase = ChangePhase::accept;
    change->asked = voters.size();
    change->answers = change->votes = 0;
    change->timer = later(change, kRoundTimeout, &RegisterProposer::retryLater);
    const std::string& value = change->decision.write ? change->decision.value : change->current;
    const AcceptRequest request{change->key, change->ballot, value, change->voters};
    for (const NodeAddress& voter : voters) {
        const auto answer = lifetime_.guard([this, change, attempt = change->attempt](auto reply) {
            onAcceptReply(change, attempt, std::optional<AcceptReply>(std::move(reply)));
        });
        if (voter == voter_.self()) {
            voter_.accept(request, [this, answer](AcceptReply reply) {
                scheduler_.post([answer, reply = std::move(reply)]() mutable { answer(std::move(reply)); });
            });
        } else {
            callFor<AcceptReply>(transport_, voter, MessageKind::register_accept, request, kRoundTimeout,
                                 answer);
        }
    }
}

void RegisterProposer::onAcceptReply(const ChangeHandle& change, std::uint64_t attempt,
                                     std::optional<AcceptReply> reply) {
    if (reply) noteBallot(reply->highest);
    const bool outdated = reply && learnVoters(change, reply->newer_voters);
    if (change->attempt != attempt || change->phase != ChangePhase::accept) return;
    ++change->answers;
    if (reply && reply->voter && reply->accepted) ++change->votes;
    if (change->votes >= change->majority()) {
        const bool wrote = change->decision.write;
        return finish(change, {true, wrote, change->ballot, wrote ? change->decision.value : change->current,
                               change->voters.version});
    }
    const bool lost = change->votes + change->asked - change->answers < change->majority();
    if (outdated || lost) retryLater(change);
}

void RegisterProposer::retryLater(const ChangeHandle& change) {
    if (change->phase == ChangePhase::finished) return;
    change->phase = ChangePhase::waiting;
    const int doublings = static_cast<int>(std::min<std::uint64_t>(change->attempt, kBackoffDoublings));
    const std::int64_t longest = kBackoffMs << doublings;
    const Millis pause{1 + std::uniform_int_distribution<std::int64_t>(0, longest)(random_)};
    change->timer = later(change, pause, &RegisterProposer::startAttempt);
}

TimerHandle RegisterProposer::later(const ChangeHandle& change, Millis delay, Step step) {
    return scheduler_.after(delay, lifetime_.guard([this, step, weak = std::weak_ptr<Change>(change)] {
        if (const ChangeHandle waiting = weak.lock()) (this->*step)(waiting);
    }));
}

void RegisterProposer::giveUp(const ChangeHandle& change) {
    finish(change, {});
}

void RegisterProposer::finish(const ChangeHandle& change, ChangeOutcome outcome) {
    if (change->phase == ChangePhase::finished) return;
    change->phase = ChangePhase::finished;
    change->timer.reset();
    change->deadline.reset();
    std::deque<ChangeHandle>& queue = queues_[change->key];
    std::erase(queue, change);
    scheduler_.post(lifetime_.guard([this, key = change->key] { startNext(key); }));
    const auto done = std::move(change->done);
    if (outcome.known && on_chosen_) on_chosen_(change->key, outcome);
    done(std::move(outcome));
}

void RegisterProposer::noteBallot(const Ballot& ballot) {
    highest_round_ = std::max(highest_round_, ballot.round);
}

}  // namespace amberswitch::cluster
