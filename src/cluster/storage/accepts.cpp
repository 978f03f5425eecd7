#include "cluster/storage/accepts.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

Accepts::Accepts(RecordStore& disk, Replica& replica, Replicator& replicator, const Placement& placement,
                 const StoreClock& clock, OwnedPartitions& owned, QueueItemFactory& items, Granter& granter)
    : disk_(disk),
      replica_(replica),
      replicator_(replicator),
      placement_(placement),
      clock_(clock),
      owned_(owned),
      items_(items),
      granter_(granter) {}

void Accepts::accept(AcceptMessageRequest request, Answer answer) {
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
    if (replica_.find(request.partition, request.content.id) != nullptr) {
        return acceptAgain(*owned, request.content.id, std::move(answer));
    }
    if (!begin(*owned, request, answer)) {
        reply.status = AcceptStatus::refused;
        answer(reply);
    }
}

void Accepts::acceptAgain(OwnedPartition& owned, const MessageId& id, Answer answer) {
    const QueueItem* const item = owned.queue.find(id);
    const bool waits = item != nullptr && !item->callback;
    auto record = replica_.record(owned.id, id);
    if (!waits || item->holders.size() >= placement_.tolerated() || !record) {
        AcceptMessageReply reply;
        reply.status = AcceptStatus::stored;
        return answer(reply);
    }
    Job job;
    job.copies = item->holders.size();
    job.holders = item->holders;
    job.tried = item->holders;
    job.record = std::make_shared<MessageRecord>(std::move(*record));
    startJob(owned, {owned.id, id}, std::move(job), std::move(answer));
}

void Accepts::startJob(const OwnedPartition& owned, const MessageName& name, Job fresh, Answer answer) {
    Job& job = jobs_.emplace(name, std::move(fresh)).first->second;
    job.epoch = owned.epoch;
    job.copies_wanted = placement_.tolerated();
    job.answers.push_back(std::move(answer));
    for (std::size_t i = job.copies; i < job.copies_wanted; ++i) replicateToNext(name, job);
    disk_.sync([this, name](bool durable) { onOwnSync(name, durable); });
}

bool Accepts::hasRoom() const {
    const StoreUsage usage = disk_.usage();
    return static_cast<double>(usage.live_bytes) <= kMostDiskUse * static_cast<double>(usage.capacity_bytes);
}

bool Accepts::begin(OwnedPartition& owned, AcceptMessageRequest& request, Answer answer) {
    if (placement_.aliveOthers() < placement_.tolerated() || !hasRoom()) return false;
    const auto record = std::make_shared<MessageRecord>();
    record->partition = owned.id;
    record->epoch = owned.epoch;
    record->sequence = ++owned.last_sequence;
    record->accepted_wall_ms = clock_.wallMillis();
    record->retention_ms = request.retention_ms;
    record->max_failures = request.max_failures;
    record->callback_done = request.content.callback_url.empty();
    record->content = std::move(request.content);
    if (!replica_.store(*record, true)) return false;
    const MessageName name{owned.id, record->content.id};
    QueueItem item = items_.make(owned.id, record->content, *replica_.find(owned.id, name.second));
    if (request.timeout_ms > 0) item.timeout = Millis(request.timeout_ms);
    owned.queue.add(std::move(item));
    Job job;
    job.record = record;
    job.edge = std::move(request.edge);
    job.wants_grant = request.wants_grant;
    startJob(owned, name, std::move(job), std::move(answer));
    return true;
}

bool Accepts::replicateToNext(const MessageName& name, Job& job) {
    std::vector<std::string> order = placement_.replicaOrder(name.first);
    std::stable_partition(order.begin(), order.end(),
                          [this](const std::string& store) { return replicator_.healthy(store); });
    const auto next = std::find_if(order.begin(), order.end(),
                                   [&job](const std::string& store) { return !job.tried.contains(store); });
    if (next == order.end()) return false;
    job.tried.insert(*next);
    ++job.calls_under_way;
    replicator_.sendRecord(
        *next, job.epoch, job.record,
        [this, name, store = *next](ReplicateOutcome outcome) { onCopy(name, store, outcome); });
    return true;
}

void Accepts::onOwnSync(const MessageName& name, bool durable) {
    const auto job = jobs_.find(name);
    if (job == jobs_.end()) return;
    if (!durable) return finish(name, AcceptStatus::unknown);
    job->second.own_copy = true;
    finishIfStored(name);
}

void Accepts::onCopy(const MessageName& name, const std::string& store, ReplicateOutcome outcome) {
    const auto found = jobs_.find(name);
    if (found == jobs_.end()) return;
    Job& job = found->second;
    --job.calls_under_way;
    if (outcome == ReplicateOutcome::fenced && !raiseEpoch(job)) return finish(name, AcceptStatus::unknown);
    if (outcome == ReplicateOutcome::fenced) job.tried.erase(store);
    if (outcome == ReplicateOutcome::stored) {
        ++job.copies;
        job.holders.insert(store);
        return finishIfStored(name);
    }
    const bool tried_another = replicateToNext(name, job);
    if (!tried_another && job.copies + job.calls_under_way < job.copies_wanted)
        finish(name, AcceptStatus::unknown);
}

bool Accepts::raiseEpoch(Job& job) const {
    const OwnedPartition* const owned = findActive(owned_, job.record->partition);
    if (owned == nullptr || owned->epoch <= job.epoch) return false;
    job.epoch = owned->epoch;
    return true;
}

void Accepts::finishIfStored(const MessageName& name) {
    const Job& job = jobs_.at(name);
    if (job.own_copy && job.copies >= job.copies_wanted) finish(name, AcceptStatus::stored);
}

void Accepts::finish(const MessageName& name, AcceptStatus status) {
    Job job = std::move(jobs_.extract(name).mapped());
    AcceptMessageReply reply;
    reply.status = status;
    // A message whose fate is unknown is here all the same, and runs.
    if (OwnedPartition* const owned = findActive(owned_, name.first)) handOver(*owned, job, reply);
    answerAll(job, reply);
}

void Accepts::handOver(OwnedPartition& owned, Job& job, AcceptMessageReply& reply) {
    QueueItem* const item = owned.queue.find(job.record->content.id);
    if (item == nullptr) return;
    item->holders.insert(job.holders.begin(), job.holders.end());
    owned.queue.stored(*item);
    if (reply.status == AcceptStatus::stored && job.wants_grant) {
        if (const auto attempt = granter_.grantAtAccept(owned, *item, job.edge)) {
            reply.granted = true;
            reply.epoch = attempt->epoch;
            reply.attempt = attempt->attempt;
        }
    }
    if (!reply.granted) granter_.schedule();
}

void Accepts::answerAll(Job& job, const AcceptMessageReply& reply) {
    AcceptMessageReply mine = reply;
    for (const Answer& answer : job.answers) {
        answer(mine);
        mine.granted = false;  // only the first asker runs it
    }
}

bool Accepts::underWay(PartitionId partition, const MessageId& id) const {
    return jobs_.contains({partition, id});
}

}  // namespace amberswitch::cluster::storage
