#include "cluster/control/register_proposer.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/injected_fault.hpp"
#include "cluster/common/typed_call.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kRoundTimeout{400};  // for one prepare or accept round
constexpr std::int64_t kInitialBackoffMs =
    10;  // upper bound before the first retry; doubles with each attempt
constexpr int kMaxBackoffDoublings = 4;
// A voter that lost its data may have promised ballots that it no longer knows. Proposers only move slightly
// above the ballots they have seen, so a ballot this many rounds above those of a majority exceeds all such
// promises.
constexpr std::uint64_t kRecoveryRoundStep = 1u << 20;

enum class ChangePhase : std::uint8_t { waiting, prepare, accept, finished };

}  // namespace

struct RegisterProposer::Change {
    std::string key;
    DecideFunction decide;
    ChangeOptions options;
    std::function<void(ChangeOutcome)> done;
    TimerHandle deadline;
    TimerHandle timer;        // timeout of the round, or the delay before the next attempt
    bool probe_done = false;  // recovery only: a majority has promised the first ballot
    // State of the current attempt:
    std::uint64_t attempt = 0;
    ChangePhase phase = ChangePhase::waiting;
    VoterSet voters;
    Ballot ballot;
    std::size_t request_count = 0;
    std::size_t reply_count = 0;
    std::size_t vote_count = 0;
    Ballot highest_accepted;  // among the promises received
    std::string current;      // the value accepted with that ballot
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
    change->deadline = scheduleStep(change, options.timeout, &RegisterProposer::finishUnknown);
    std::deque<ChangeHandle>& queue = queues_[key];
    queue.push_back(change);
    if (queue.size() == 1) scheduler_.post(lifetime_.guard([this, key] { startNext(key); }));
}

void RegisterProposer::startNext(const std::string& key) {
    const std::deque<ChangeHandle>& queue = queues_[key];
    if (queue.empty() || queue.front()->attempt != 0) return;
    const ChangeHandle first = queue.front();  // the attempt may finish and remove it from the queue
    startAttempt(first);
}

std::vector<NodeAddress> RegisterProposer::votersToAsk(const Change& change) const {
    std::vector<NodeAddress> asked = change.voters.addresses;
    if (change.options.recovery) std::erase(asked, voter_.self());
    return asked;
}

void RegisterProposer::startAttempt(const ChangeHandle& change) {
    ++change->attempt;
    change->voters = voter_.voterSet();
    const std::optional<std::uint64_t>& required_version = change->options.voters_version;
    if (required_version && *required_version != change->voters.version) return finishUnknown(change);
    if (votersToAsk(*change).size() < change->majority()) return scheduleRetry(change);
    highest_round_ += change->options.recovery ? kRecoveryRoundStep : 1;
    change->ballot = Ballot{highest_round_, identity_};
    change->highest_accepted = {};
    change->current.clear();
    sendPrepare(change);
}

void RegisterProposer::sendPrepare(const ChangeHandle& change) {
    const std::vector<NodeAddress> voters = votersToAsk(*change);
    change->phase = ChangePhase::prepare;
    change->request_count = voters.size();
    change->reply_count = change->vote_count = 0;
    change->timer = scheduleStep(change, kRoundTimeout, &RegisterProposer::scheduleRetry);
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
    if (reply) observeBallot(reply->highest);
    const bool outdated = reply && learnVoters(change, reply->newer_voters);
    if (change->attempt != attempt || change->phase != ChangePhase::prepare) return;
    if (outdated) return scheduleRetry(change);
    ++change->reply_count;
    if (reply && reply->voter && reply->promised) {
        ++change->vote_count;
        const bool keeps_first =
            isFaultInjected(InjectedFault::adopts_first_value) && !change->current.empty();
        if (reply->accepted > change->highest_accepted && !keeps_first) {
            change->highest_accepted = reply->accepted;
            change->current = std::move(reply->value);
        }
    }
    if (change->vote_count >= change->majority()) return onPrepareMajority(change);
    if (change->vote_count + change->request_count - change->reply_count < change->majority())
        scheduleRetry(change);
}

// Stores newer voters if the reply has any. Returns true if the voters of this attempt are out of date.
bool RegisterProposer::learnVoters(const ChangeHandle& change, const std::optional<VoterSet>& newer) {
    if (newer) voter_.learnVoters(*newer);
    return change->voters.version < voter_.voterSet().version;
}

// A recovery prepares twice: only the second ballot is guaranteed to be a whole kRecoveryRoundStep above the
// promises of a majority.
void RegisterProposer::onPrepareMajority(const ChangeHandle& change) {
    if (!change->options.recovery || std::exchange(change->probe_done, true)) return sendAccept(change);
    startAttempt(change);
}

void RegisterProposer::sendAccept(const ChangeHandle& change) {
    const std::vector<NodeAddress> voters = votersToAsk(*change);
    change->decision = change->decide(change->current);
    if (isFaultInjected(InjectedFault::reads_without_writing_back) && !change->decision.write)
        return finish(change,
                      {true, false, change->highest_accepted, change->current, change->voters.version});
    change->phase = ChangePhase::accept;
    change->request_count = voters.size();
    change->reply_count = change->vote_count = 0;
    change->timer = scheduleStep(change, kRoundTimeout, &RegisterProposer::scheduleRetry);
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
    if (reply) observeBallot(reply->highest);
    const bool outdated = reply && learnVoters(change, reply->newer_voters);
    if (change->attempt != attempt || change->phase != ChangePhase::accept) return;
    ++change->reply_count;
    if (reply && reply->voter && reply->accepted) ++change->vote_count;
    if (change->vote_count >= change->majority()) {
        const bool wrote = change->decision.write;
        return finish(change, {true, wrote, change->ballot, wrote ? change->decision.value : change->current,
                               change->voters.version});
    }
    const bool lost = change->vote_count + change->request_count - change->reply_count < change->majority();
    if (outdated || lost) scheduleRetry(change);
}

void RegisterProposer::scheduleRetry(const ChangeHandle& change) {
    if (change->phase == ChangePhase::finished) return;
    change->phase = ChangePhase::waiting;
    const int doublings = static_cast<int>(std::min<std::uint64_t>(change->attempt, kMaxBackoffDoublings));
    const std::int64_t longest = kInitialBackoffMs << doublings;
    const Millis pause{1 + std::uniform_int_distribution<std::int64_t>(0, longest)(random_)};
    change->timer = scheduleStep(change, pause, &RegisterProposer::startAttempt);
}

TimerHandle RegisterProposer::scheduleStep(const ChangeHandle& change, Millis delay, Step step) {
    return scheduler_.after(delay, lifetime_.guard([this, step, weak = std::weak_ptr<Change>(change)] {
        if (const ChangeHandle waiting = weak.lock()) (this->*step)(waiting);
    }));
}

void RegisterProposer::finishUnknown(const ChangeHandle& change) {
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

void RegisterProposer::observeBallot(const Ballot& ballot) {
    highest_round_ = std::max(highest_round_, ballot.round);
}

}  // namespace amberswitch::cluster
