#include "cluster/storage/message_acceptor.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

MessageAcceptor::MessageAcceptor(RecordStore& disk, Replica& replica, Replicator& replicator,
                                 const Placement& placement, const StoreClock& clock, OwnedPartitions& owned,
                                 QueueItemFactory& items, OutcomeHandler& outcomes, Granter& granter,
                                 std::function<void(PartitionId)> on_fenced)
    : disk_(disk),
      replica_(replica),
      replicator_(replicator),
      placement_(placement),
      clock_(clock),
      owned_(owned),
      items_(items),
      outcomes_(outcomes),
      granter_(granter),
      on_fenced_(std::move(on_fenced)) {}

void MessageAcceptor::accept(AcceptMessageRequest request, Answer answer) {
    AcceptMessageReply reply;
    OwnedPartition* const owned = findActive(owned_, request.partition);
    const bool fenced = owned != nullptr && replica_.promised(request.partition) > owned->epoch;
    if (stopped_ || owned == nullptr || fenced) {
        reply.status = AcceptStatus::not_owner;
        return answer(reply);
    }
    const auto job = jobs_.find({request.partition, request.content.id});
    if (job != jobs_.end()) {
        job->second.answers.push_back(std::move(answer));
        return;
    }
    const bool known = replica_.find(request.partition, request.content.id) != nullptr;
    if (known && !disk_.healthy()) return answer(reply);  // unknown: stored here, durability uncertain
    if (known) {
        return acceptDuplicate(*owned, request.content.id, std::move(answer));
    }
    if (!acceptNew(*owned, request, answer)) {
        reply.status = AcceptStatus::refused;
        answer(reply);
    }
}

void MessageAcceptor::recordPredecessor(const OwnedPartition& owned, MessageRecord& record) {
    QueueItem key_item;
    key_item.order_key = record.content.order_key;
    key_item.position.epoch = record.epoch;
    const OrderPosition last = owned.queue.lastOfOlderEpochs(key_item);
    record.after_epoch = last.epoch;
    record.after_sequence = last.sequence;
}

void MessageAcceptor::acceptDuplicate(OwnedPartition& owned, const MessageId& id, Answer answer) {
    const QueueItem* const item = owned.queue.find(id);
    const bool waits = item != nullptr && !item->callback;
    auto record = replica_.record(owned.id, id);
    if (!waits || hasEnoughCopies(item->holders) || !record) {
        // The local copy may have arrived by peering and not be synced yet.
        return replica_.sync([answer = std::move(answer)](bool durable) {
            AcceptMessageReply reply;
            reply.status = durable ? AcceptStatus::stored : AcceptStatus::unknown;
            answer(reply);
        });
    }
    Job job = resumedJob(*item, std::move(*record));
    job.answers.push_back(std::move(answer));
    startJob(owned, {owned.id, id}, std::move(job));
}

MessageAcceptor::Job MessageAcceptor::resumedJob(const QueueItem& item, MessageRecord record) const {
    Job job;
    job.holders = item.holders;
    std::erase_if(job.holders, [this](const auto& store) { return !placement_.keepsCopies(store); });
    job.copies = job.holders.size();
    job.tried = job.holders;
    job.record = std::make_shared<MessageRecord>(std::move(record));
    return job;
}

void MessageAcceptor::startJob(const OwnedPartition& owned, const MessageName& name, Job new_job) {
    Job& job = jobs_.emplace(name, std::move(new_job)).first->second;
    job.epoch = owned.epoch;
    job.required_copies = placement_.tolerated();
    for (std::size_t i = job.copies; i < job.required_copies; ++i) replicateToNext(name, job);
    if (job.pending_calls == 0 && !placement_.isSpread(job.holders)) replicateToNext(name, job);
    const bool enough = job.copies + job.pending_calls >= job.required_copies;
    if (!enough || (job.pending_calls == 0 && !placement_.isSpread(job.holders)))
        return finish(name, AcceptStatus::unknown);
    replica_.sync([this, name](bool durable) { onOwnSync(name, durable); });
}

bool MessageAcceptor::hasEnoughCopies(const std::set<std::string>& holders) const {
    return holders.size() >= placement_.tolerated() && placement_.isSpread(holders);
}

bool MessageAcceptor::hasDiskSpace() const {
    const StoreUsage usage = disk_.usage();
    return static_cast<double>(usage.live_bytes) <= kMaxDiskUse * static_cast<double>(usage.capacity_bytes);
}

bool MessageAcceptor::isMisplaced(const OwnedPartition& owned, const MessageContent& content) const {
    return content.hasOrderKey() && !placement_.isPartitionOfKey(owned.id, content.order_key);
}

bool MessageAcceptor::acceptNew(OwnedPartition& owned, AcceptMessageRequest& request, Answer answer) {
    const bool enough_stores =
        placement_.otherCopyStoreCount() >= placement_.tolerated() && placement_.canSpread();
    if (!enough_stores || !hasDiskSpace()) return false;
    if (isMisplaced(owned, request.content)) {
        ++misplaced_count_;
        return false;
    }
    const auto record = std::make_shared<MessageRecord>();
    record->partition = owned.id;
    record->epoch = owned.epoch;
    record->sequence = ++owned.last_sequence;
    record->accepted_wall_ms = clock_.wallMillis();
    record->retention_ms = request.retention_ms;
    record->max_failures = request.max_failures;
    record->callback_done = request.content.callback_url.empty();
    record->content = std::move(request.content);
    if (record->content.hasOrderKey()) recordPredecessor(owned, *record);
    if (!replica_.store(*record, true)) return false;
    const MessageName name{owned.id, record->content.id};
    QueueItem item = items_.make(owned.id, record->content, *replica_.find(owned.id, name.second));
    if (request.timeout_ms > 0) item.timeout = Millis(request.timeout_ms);
    owned.queue.add(std::move(item));
    Job job;
    job.record = record;
    job.edge = std::move(request.edge);
    job.wants_grant = request.wants_grant;
    job.is_new = true;
    job.answers.push_back(std::move(answer));
    startJob(owned, name, std::move(job));
    return true;
}

bool MessageAcceptor::replicateToNext(const MessageName& name, Job& job) {
    std::vector<std::string> order = placement_.replicaOrder(name.first);
    std::stable_partition(order.begin(), order.end(),
                          [this](const std::string& store) { return replicator_.healthy(store); });
    const auto next = std::find_if(order.begin(), order.end(),
                                   [&job](const std::string& store) { return !job.tried.contains(store); });
    if (next == order.end()) return false;
    job.tried.insert(*next);
    ++job.pending_calls;
    replicator_.sendRecord(*next, job.epoch, job.record,
                           [this, name, store = *next, sent = job.epoch](ReplicateOutcome outcome) {
                               onCopy(name, store, sent, outcome);
                           });
    return true;
}

void MessageAcceptor::onOwnSync(const MessageName& name, bool durable) {
    const auto job = jobs_.find(name);
    if (job == jobs_.end()) return;
    if (!durable) return finish(name, AcceptStatus::unknown);
    job->second.own_copy = true;
    finishIfStored(name);
}

void MessageAcceptor::onCopy(const MessageName& name, const std::string& store, Epoch sent,
                             ReplicateOutcome outcome) {
    const auto found = jobs_.find(name);
    if (found == jobs_.end()) return;
    Job& job = found->second;
    --job.pending_calls;
    if (outcome == ReplicateOutcome::fenced && !raiseEpoch(job, sent)) {
        on_fenced_(name.first);
        return finish(name, AcceptStatus::unknown);
    }
    if (outcome == ReplicateOutcome::fenced) job.tried.erase(store);
    if (outcome == ReplicateOutcome::stored && placement_.keepsCopies(store)) {
        ++job.copies;
        job.holders.insert(store);
        const bool lacks_spread = job.copies >= job.required_copies && !placement_.isSpread(job.holders);
        if (!lacks_spread || job.pending_calls > 0) return finishIfStored(name);
    }
    if (replicateToNext(name, job)) return;
    const bool may_suffice = job.copies + job.pending_calls >= job.required_copies;
    const bool is_short = !may_suffice || (job.pending_calls == 0 && !placement_.isSpread(job.holders));
    if (is_short) finish(name, AcceptStatus::unknown);
}

void MessageAcceptor::onView(PartitionId partition) {
    std::vector<MessageName> names;
    for (const auto& [name, job] : jobs_) {
        if (name.first == partition) names.push_back(name);
    }
    for (const MessageName& name : names) {
        Job& job = jobs_.at(name);
        std::erase_if(job.holders, [this](const auto& store) { return !placement_.keepsCopies(store); });
        job.copies = job.holders.size();
        bool has_target = true;
        while (has_target && job.copies + job.pending_calls < job.required_copies)
            has_target = replicateToNext(name, job);
        if (!has_target) finish(name, AcceptStatus::unknown);
    }
}

bool MessageAcceptor::raiseEpoch(Job& job, Epoch sent) const {
    const OwnedPartition* const owned = findActive(owned_, job.record->partition);
    if (owned == nullptr || owned->epoch <= sent) return false;
    job.epoch = owned->epoch;
    return true;
}

void MessageAcceptor::finishIfStored(const MessageName& name) {
    const Job& job = jobs_.at(name);
    const bool copied = job.copies >= job.required_copies && placement_.isSpread(job.holders);
    if (job.own_copy && copied) finish(name, AcceptStatus::stored);
}

void MessageAcceptor::finish(const MessageName& name, AcceptStatus status) {
    Job job = std::move(jobs_.extract(name).mapped());
    AcceptMessageReply reply;
    reply.status = status;
    if (status == AcceptStatus::stored) {
        if (OwnedPartition* const owned = findActive(owned_, name.first)) enqueueStored(*owned, job, reply);
    } else {
        under_replicated_.emplace(name, job.is_new);
    }
    answerAll(job, reply);
}

void MessageAcceptor::enqueueStored(OwnedPartition& owned, Job& job, AcceptMessageReply& reply) {
    QueueItem* const item = owned.queue.find(job.record->content.id);
    if (item == nullptr || item->callback) return;
    item->holders.insert(job.holders.begin(), job.holders.end());
    owned.queue.markStored(*item);
    if (outcomes_.applyConfiguration(owned, *item))
        return granter_.schedule();  // the next message of its order key may run
    // The edge runs a granted message at the service that its own configuration names, so a grant requires
    // that both configurations name the same service.
    const bool same_service = item->service == job.record->content.service;
    if (job.wants_grant && same_service) {
        if (const auto attempt = granter_.grantAtAccept(owned, *item, job.edge)) {
            reply.granted = true;
            reply.epoch = attempt->epoch;
            reply.attempt = attempt->attempt;
        }
    }
    if (!reply.granted) granter_.schedule();
}

void MessageAcceptor::tick() {
    for (const auto& [name, is_new] : std::exchange(under_replicated_, {})) {
        if (jobs_.contains(name)) continue;
        OwnedPartition* const owned = findActive(owned_, name.first);
        if (owned == nullptr) {
            // A new message was neither acknowledged nor granted, and its place in the order may be wrong
            // now.
            if (is_new) replica_.forget(name.first, name.second);
            continue;
        }
        const QueueItem* const item = owned->queue.find(name.second);
        auto record = replica_.record(name.first, name.second);
        if (item == nullptr || item->state != ItemState::storing || !record) continue;
        Job job = resumedJob(*item, std::move(*record));
        job.is_new = is_new;
        startJob(*owned, name, std::move(job));
    }
}

void MessageAcceptor::abandon(PartitionId partition) {
    std::vector<MessageName> names;
    for (const auto& [name, job] : jobs_) {
        if (name.first == partition && job.copies < job.required_copies) names.push_back(name);
    }
    for (const MessageName& name : names) finish(name, AcceptStatus::unknown);
    std::erase_if(under_replicated_, [this, partition](const auto& entry) {
        const auto& [name, is_new] = entry;
        if (name.first != partition) return false;
        if (is_new) replica_.forget(partition, name.second);
        return true;
    });
}

void MessageAcceptor::answerAll(Job& job, const AcceptMessageReply& reply) {
    AcceptMessageReply mine = reply;
    for (const Answer& answer : job.answers) {
        answer(mine);
        mine.granted = false;  // only the first requester gets the grant
    }
}

bool MessageAcceptor::inProgress(PartitionId partition, const MessageId& id) const {
    return jobs_.contains({partition, id});
}

}  // namespace amberswitch::cluster::storage
