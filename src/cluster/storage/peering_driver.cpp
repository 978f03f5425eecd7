#include "cluster/storage/peering_driver.hpp"

#include "cluster/common/codec.hpp"
#include "cluster/storage/wall_shift.hpp"

namespace amberswitch::cluster::storage {

namespace {

constexpr Millis kPullTimeout{1000};
constexpr Millis kPullRetry{200};
constexpr Millis kUnreachablePullRetry{1000};
constexpr Millis kFailedDiskPullRetry{1000};
constexpr Millis kCopyRetry{200};
constexpr Millis kDoneTimeout{1000};
// How long after its start a round waits for the remaining live stores though a quorum has answered.
constexpr Millis kLiveStoreWait{300};
// How long after its start a round waits for a previous owner that can still answer: attempts that it does
// not report would run a second time.
constexpr Millis kHandOverWait{1500};
constexpr int kMaxPullsFromReachable = 16;
constexpr int kMaxPullsFromUnreachable = 8;

// Whether the store has made the effect of peering_done durable. It refuses if its disk fails or it has
// promised a newer epoch.
bool isAcknowledged(const CallResult& result) {
    if (result.verdict != CallStatus::answered) return false;
    const auto answer = decode<Acknowledgement>(result.reply.body);
    return answer && answer->done;
}

}  // namespace

PeeringDriver::PeeringDriver(Scheduler& scheduler, Transport& transport, Replica& replica,
                             Replicator& replicator, const Placement& placement, const StoreClock& clock,
                             Hooks hooks)
    : scheduler_(scheduler),
      transport_(transport),
      replica_(replica),
      replicator_(replicator),
      placement_(placement),
      clock_(clock),
      hooks_(std::move(hooks)) {}

void PeeringDriver::start(PartitionId partition, std::vector<PeerStore> others) {
    rounds_.erase(partition);
    PeeringRound logic(partition, std::move(others), placement_.tolerated(), replica_.isValid(partition),
                       replica_.peeredEpoch(partition), placement_.spreadRule(), placement_.zone());
    Round& round = rounds_.emplace(partition, Round(std::move(logic))).first->second;
    const std::uint64_t id = ++last_round_;
    round.id = id;
    round.epoch = placement_.epoch();
    round.started = clock_.now();
    replica_.promise(partition, round.epoch);
    syncOwnPromise(partition, round);
    startPulls();
}

void PeeringDriver::syncOwnPromise(PartitionId partition, Round& round) {
    if (round.own_promise_durable || std::exchange(round.own_sync_in_progress, true)) return;
    replica_.sync([this, partition, id = round.id](bool durable) {
        Round* const promised = findRound(partition, id);
        if (promised == nullptr) return;
        promised->own_sync_in_progress = false;
        promised->own_promise_durable = durable;
        if (durable) advance(partition, id);
    });
}

PeeringDriver::Round* PeeringDriver::findRound(PartitionId partition, std::uint64_t id) {
    const auto found = rounds_.find(partition);
    return found == rounds_.end() || found->second.id != id ? nullptr : &found->second;
}

void PeeringDriver::tick() {
    startPulls();
    std::vector<std::pair<PartitionId, std::uint64_t>> rounds;
    for (auto& [partition, round] : rounds_) {
        syncOwnPromise(partition, round);
        rounds.emplace_back(partition, round.id);
    }
    for (const auto& [partition, id] : rounds) advance(partition, id);
}

void PeeringDriver::startPulls() {
    for (auto& [partition, round] : rounds_) {
        for (const PeerStore& store : round.logic.others()) {
            const bool has_capacity = isReachable(store) ? pulls_from_reachable_ < kMaxPullsFromReachable
                                                         : pulls_from_unreachable_ < kMaxPullsFromUnreachable;
            if (has_capacity && wantsPull(round, store)) pull(partition, round, store);
        }
    }
}

bool PeeringDriver::isReachable(const PeerStore& store) {
    return store.alive || store.hands_over;
}

bool PeeringDriver::wantsPull(const Round& round, const PeerStore& store) const {
    if (round.logic.hasAnswered(store.name)) return false;
    if (!isReachable(store) && round.has_quorum) return false;
    // Its reply was received, and once its disk works again a new view starts a new round.
    if (!store.alive && round.has_quorum && round.logic.hasReported(store.name)) return false;
    const auto pull = round.pulls.find(store.name);
    return pull == round.pulls.end() || (!pull->second.in_progress && pull->second.next <= clock_.now());
}

void PeeringDriver::pull(PartitionId partition, Round& round, const PeerStore& store) {
    const StoreMember* const member = placement_.member(store.name);
    if (member == nullptr) return;
    PullRequest request;
    request.store = placement_.self();
    request.partition = partition;
    request.epoch = round.epoch;
    for (const auto& [id, message] : replica_.messages(partition)) {
        if (message.needsContent() && message.content_on_disk) request.known.push_back(id);
    }
    request.joined_epoch = member->joined_epoch;
    request.joined_incarnation = member->joined_incarnation;
    Pull& pull = round.pulls[store.name];
    pull.in_progress = true;
    pull.next = clock_.now() + (isReachable(store) ? kPullRetry : kUnreachablePullRetry);
    int& counter = isReachable(store) ? pulls_from_reachable_ : pulls_from_unreachable_;
    ++counter;
    transport_.call(member->member.address, envelope(MessageKind::pull_partition, request), kPullTimeout,
                    [this, partition, id = round.id, name = store.name, &counter](const CallResult& result) {
                        --counter;
                        onPullResult(partition, id, name, result);
                        startPulls();
                    });
}

void PeeringDriver::onPullResult(PartitionId partition, std::uint64_t id, const std::string& store,
                                 const CallResult& result) {
    Round* const round = findRound(partition, id);
    if (round == nullptr) return;
    round->pulls[store].in_progress = false;
    if (result.verdict != CallStatus::answered) return;
    auto reply = decode<PullReply>(result.reply.body);
    if (!reply) return;
    if (!reply->promised) {  // the store has promised a newer epoch, whose view has not arrived here yet
        rounds_.erase(partition);
        return;
    }
    recordReply(partition, *round, store, *reply);
    const bool active = round->has_quorum;
    const std::vector<MessageId> touched = merge(partition, *reply);
    if (active) {
        round->copies_made = false;
        round->next_copies = clock_.now();
        hooks_.on_merged(partition, touched);
    }
    advance(partition, id);
}

void PeeringDriver::recordReply(PartitionId partition, Round& round, const std::string& store,
                                const PullReply& reply) {
    // A partial reply lists no running attempts; the rest is pulled at the usual retry interval.
    const bool first = !round.logic.hasReported(store);
    if (first) round.running.insert(round.running.end(), reply.running.begin(), reply.running.end());
    if (reply.not_durable) {
        if (!reply.complete) return;
        round.logic.onNonDurableReply(store);
        round.pulls[store].next = clock_.now() + kFailedDiskPullRetry;
        return;
    }
    if (reply.complete) round.logic.onReply(store, reply);
    for (const MessageRecord& record : reply.records) hooks_.on_holder(partition, record.content.id, store);
    for (const RecordUpdate& state : reply.states) {
        if (state.phase == Phase::pending) hooks_.on_holder(partition, state.id, store);
    }
}

std::vector<MessageId> PeeringDriver::merge(PartitionId partition, PullReply& reply) {
    const std::int64_t shift_ms = clock_.wallMillis() - reply.wall_ms;
    std::vector<MessageId> touched;
    for (MessageRecord& record : reply.records) {
        shiftTimes(record, shift_ms);
        record.partition = partition;
        touched.push_back(record.content.id);
        replica_.store(record, true);
    }
    for (RecordUpdate& update : reply.states) {
        shiftTimes(update, shift_ms);
        update.partition = partition;
        if (replica_.merge(update).changed) touched.push_back(update.id);
    }
    return touched;
}

void PeeringDriver::advance(PartitionId partition, std::uint64_t id) {
    Round* round = findRound(partition, id);
    if (round == nullptr || !round->own_promise_durable) return;
    if (!round->has_quorum) {
        const bool waited = round->started + kLiveStoreWait <= clock_.now();
        const bool waited_long = round->started + kHandOverWait <= clock_.now();
        if (!round->logic.hasQuorum() || !(round->logic.allAliveAnswered() || waited)) return;
        if (!round->logic.isHandedOver() && !waited_long) return;
        round->has_quorum = true;
        hooks_.on_quorum(partition, round->running);
        round = findRound(partition, id);
        if (round == nullptr) return;
    }
    if (round->copies_made) {
        notifyDone(partition, *round);
    } else if (round->copies_in_progress == 0 && round->next_copies <= clock_.now()) {
        makeCopies(partition, *round);
    }
}

void PeeringDriver::makeCopies(PartitionId partition, Round& round) {
    const auto skip = [this, partition](const MessageId& id) { return hooks_.is_storing(partition, id); };
    const std::vector<MissingCopy> missing = round.logic.missing(replica_, skip);
    round.copy_failed = false;
    round.next_copies = clock_.now() + kCopyRetry;
    for (const MissingCopy& copy : missing) makeCopy(partition, round, copy);
    if (round.copies_in_progress == 0 && !round.copy_failed) onCopiesMade(partition, round);
}

void PeeringDriver::makeCopy(PartitionId partition, Round& round, const MissingCopy& copy) {
    const auto& messages = replica_.messages(partition);
    const auto found = messages.find(copy.id);
    if (found == messages.end()) return;
    const RecordUpdate state = replica_.state(partition, copy.id, found->second);
    const auto done = [this, partition, id = round.id, copy, state](ReplicateOutcome outcome) {
        onCopy(partition, id, copy, state, outcome);
    };
    if (!copy.with_content) {
        ++round.copies_in_progress;
        replicator_.sendState(copy.store, round.epoch, state, done);
        return;
    }
    auto record = replica_.record(partition, copy.id);
    if (!record) {
        round.copy_failed = true;
        return;
    }
    ++round.copies_in_progress;
    replicator_.sendRecord(copy.store, round.epoch, std::make_shared<MessageRecord>(std::move(*record)),
                           done);
}

void PeeringDriver::onCopy(PartitionId partition, std::uint64_t id, const MissingCopy& copy,
                           const RecordUpdate& state, ReplicateOutcome outcome) {
    Round* const round = findRound(partition, id);
    if (round == nullptr) return;
    --round->copies_in_progress;
    if (outcome == ReplicateOutcome::stored) {
        round->logic.onCopied(copy, state);
        if (copy.with_content) hooks_.on_holder(partition, copy.id, copy.store);
    } else {
        round->copy_failed = true;
    }
    if (round->copies_in_progress > 0 || round->copy_failed) return;
    // Changes made meanwhile reach the holders of the content through Replicator::scheduleStateUpdate().
    onCopiesMade(partition, *round);
}

void PeeringDriver::onCopiesMade(PartitionId partition, Round& round) {
    const std::uint64_t id = round.id;
    round.next_copies = clock_.now() + kCopyRetry;
    replica_.sync([this, partition, id](bool durable) {
        Round* const finished = findRound(partition, id);
        if (finished == nullptr || !durable || finished->copies_in_progress > 0) return;
        finished->copies_made = true;
        if (!canBeDone(*finished)) return;
        replica_.markValid(partition, finished->epoch);
        hooks_.on_done(partition, finished->epoch);
        notifyDone(partition, *finished);
    });
}

bool PeeringDriver::canBeDone(const Round& round) {
    return round.logic.canReachRedundancy() && round.logic.haveRetiringAnswered();
}

void PeeringDriver::notifyDone(PartitionId partition, Round& round) {
    if (!canBeDone(round)) return;
    for (const PeerStore& store : round.logic.others()) {
        if (!store.alive || !round.logic.hasAnswered(store.name) || round.notified_done.contains(store.name))
            continue;
        const StoreMember* const member = placement_.member(store.name);
        if (member == nullptr) continue;
        round.notified_done.insert(store.name);
        const PeeringDone message{placement_.self(), partition, round.epoch};
        transport_.call(member->member.address, envelope(MessageKind::peering_done, message), kDoneTimeout,
                        [this, partition, id = round.id, name = store.name](const CallResult& result) {
                            Round* const notified = findRound(partition, id);
                            if (notified == nullptr) return;
                            if (isAcknowledged(result))
                                return finishIfAllConfirmed(partition, *notified, name);
                            notified->notified_done.erase(name);  // retried by the next tick
                        });
    }
}

void PeeringDriver::finishIfAllConfirmed(PartitionId partition, Round& round, const std::string& store) {
    round.confirmed_done.insert(store);
    if (!round.copies_made || !round.logic.allAliveAnswered()) return;
    for (const PeerStore& other : round.logic.others()) {
        if (other.alive && !round.confirmed_done.contains(other.name)) return;
    }
    rounds_.erase(partition);
}

std::vector<std::string> PeeringDriver::holders(PartitionId partition, const MessageId& id) const {
    const auto round = rounds_.find(partition);
    if (round == rounds_.end()) return {};
    return round->second.logic.holders(id);
}

std::size_t PeeringDriver::unfinished() const {
    std::size_t sum = 0;
    for (const auto& [partition, round] : rounds_) sum += round.copies_made ? 0 : 1;
    return sum;
}

std::size_t PeeringDriver::copiesInProgress() const {
    std::size_t sum = 0;
    for (const auto& [partition, round] : rounds_) sum += round.copies_in_progress;
    return sum;
}

}  // namespace amberswitch::cluster::storage
