#include "cluster/storage/accepts.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

Accepts::Accepts(RecordStore& disk, Replica& replica, Replicator& replicator, const Placement& placement,
                 const StoreClock& clock, OwnedPartitions& owned, QueueItemFactory& items, Outcomes& outcomes,
                 Granter& granter, std::function<void(PartitionId)> on_fenced)
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
    const bool known = replica_.find(request.partition, request.content.id) != nullptr;
    if (known && !disk_.healthy()) return answer(reply);  // unknown: it is here, and not durable for sure
    if (known) {
        return acceptAgain(*owned, request.content.id, std::move(answer));
    }
    if (!begin(*owned, request, answer)) {
        reply.status = AcceptStatus::refused;
        answer(reply);
    }
}

void Accepts::noteOlder(const OwnedPartition& owned, MessageRecord& record) {
    QueueItem probe;
    probe.order_scope = record.content.order_scope;
    probe.order_key = record.content.order_key;
    probe.position.epoch = record.epoch;
    const LinePosition last = owned.queue.lastOlder(probe);
    record.after_epoch = last.epoch;
    record.after_sequence = last.sequence;
}

void Accepts::acceptAgain(OwnedPartition& owned, const MessageId& id, Answer answer) {
    const QueueItem* const item = owned.queue.find(id);
    const bool waits = item != nullptr && !item->callback;
    auto record = replica_.record(owned.id, id);
    if (!waits || hasCopies(item->holders) || !record) {
        // Its own copy may have come with the peering a moment ago.
        return replica_.sync([answer = std::move(answer)](bool durable) {
            AcceptMessageReply reply;
            reply.status = durable ? AcceptStatus::stored : AcceptStatus::unknown;
            answer(reply);
        });
    }
    Job job = continuedJob(*item, std::move(*record));
    job.answers.push_back(std::move(answer));
    startJob(owned, {owned.id, id}, std::move(job));
}

Accepts::Job Accepts::continuedJob(const QueueItem& item, MessageRecord record) const {
    Job job;
    job.holders = item.holders;
    std::erase_if(job.holders, [this](const auto& store) { return !placement_.keepsCopies(store); });
    job.copies = job.holders.size();
    job.tried = job.holders;
    job.record = std::make_shared<MessageRecord>(std::move(record));
    return job;
}

void Accepts::startJob(const OwnedPartition& owned, const MessageName& name, Job fresh) {
    Job& job = jobs_.emplace(name, std::move(fresh)).first->second;
    job.epoch = owned.epoch;
    job.copies_wanted = placement_.tolerated();
    for (std::size_t i = job.copies; i < job.copies_wanted; ++i) replicateToNext(name, job);
    if (job.calls_under_way == 0 && !placement_.isSpread(job.holders)) replicateToNext(name, job);
    const bool enough = job.copies + job.calls_under_way >= job.copies_wanted;
    if (!enough || (job.calls_under_way == 0 && !placement_.isSpread(job.holders)))
        return finish(name, AcceptStatus::unknown);
    replica_.sync([this, name](bool durable) { onOwnSync(name, durable); });
}

bool Accepts::hasCopies(const std::set<std::string>& holders) const {
    return holders.size() >= placement_.tolerated() && placement_.isSpread(holders);
}

bool Accepts::hasRoom() const {
    const StoreUsage usage = disk_.usage();
    return static_cast<double>(usage.live_bytes) <= kMostDiskUse * static_cast<double>(usage.capacity_bytes);
}

bool Accepts::begin(OwnedPartition& owned, AcceptMessageRequest& request, Answer answer) {
    const bool enough_stores = placement_.otherKeepers() >= placement_.tolerated() && placement_.canSpread();
    if (!enough_stores || !hasRoom()) return false;
    const auto record = std::make_shared<MessageRecord>();
    record->partition = owned.id;
    record->epoch = owned.epoch;
    record->sequence = ++owned.last_sequence;
    record->accepted_wall_ms = clock_.wallMillis();
    record->retention_ms = request.retention_ms;
    record->max_failures = request.max_failures;
    record->callback_done = request.content.callback_url.empty();
    record->content = std::move(request.content);
    if (record->content.ordered) noteOlder(owned, *record);
    if (!replica_.store(*record, true)) return false;
    const MessageName name{owned.id, record->content.id};
    QueueItem item = items_.make(owned.id, record->content, *replica_.find(owned.id, name.second));
    if (request.timeout_ms > 0) item.timeout = Millis(request.timeout_ms);
    owned.queue.add(std::move(item));
    Job job;
    job.record = record;
    job.edge = std::move(request.edge);
    job.wants_grant = request.wants_grant;
    job.fresh = true;
    job.answers.push_back(std::move(answer));
    startJob(owned, name, std::move(job));
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
    replicator_.sendRecord(*next, job.epoch, job.record,
                           [this, name, store = *next, sent = job.epoch](ReplicateOutcome outcome) {
                               onCopy(name, store, sent, outcome);
                           });
    return true;
}

void Accepts::onOwnSync(const MessageName& name, bool durable) {
    const auto job = jobs_.find(name);
    if (job == jobs_.end()) return;
    if (!durable) return finish(name, AcceptStatus::unknown);
    job->second.own_copy = true;
    finishIfStored(name);
}

void Accepts::onCopy(const MessageName& name, const std::string& store, Epoch sent,
                     ReplicateOutcome outcome) {
    const auto found = jobs_.find(name);
    if (found == jobs_.end()) return;
    Job& job = found->second;
    --job.calls_under_way;
    if (outcome == ReplicateOutcome::fenced && !raiseEpoch(job, sent)) {
        on_fenced_(name.first);
        return finish(name, AcceptStatus::unknown);
    }
    if (outcome == ReplicateOutcome::fenced) job.tried.erase(store);
    if (outcome == ReplicateOutcome::stored && placement_.keepsCopies(store)) {
        ++job.copies;
        job.holders.insert(store);
        const bool lacks_zone = job.copies >= job.copies_wanted && !placement_.isSpread(job.holders);
        if (!lacks_zone || job.calls_under_way > 0) return finishIfStored(name);
    }
    if (replicateToNext(name, job)) return;
    const bool may_suffice = job.copies + job.calls_under_way >= job.copies_wanted;
    const bool is_short = !may_suffice || (job.calls_under_way == 0 && !placement_.isSpread(job.holders));
    if (is_short) finish(name, AcceptStatus::unknown);
}

void Accepts::onView(PartitionId partition) {
    std::vector<MessageName> names;
    for (const auto& [name, job] : jobs_) {
        if (name.first == partition) names.push_back(name);
    }
    for (const MessageName& name : names) {
        Job& job = jobs_.at(name);
        std::erase_if(job.holders, [this](const auto& store) { return !placement_.keepsCopies(store); });
        job.copies = job.holders.size();
        bool room = true;
        while (room && job.copies + job.calls_under_way < job.copies_wanted)
            room = replicateToNext(name, job);
        if (!room) finish(name, AcceptStatus::unknown);
    }
}

bool Accepts::raiseEpoch(Job& job, Epoch sent) const {
    const OwnedPartition* const owned = findActive(owned_, job.record->partition);
    if (owned == nullptr || owned->epoch <= sent) return false;
    job.epoch = owned->epoch;
    return true;
}

void Accepts::finishIfStored(const MessageName& name) {
    const Job& job = jobs_.at(name);
    const bool copied = job.copies >= job.copies_wanted && placement_.isSpread(job.holders);
    if (job.own_copy && copied) finish(name, AcceptStatus::stored);
}

void Accepts::finish(const MessageName& name, AcceptStatus status) {
    Job job = std::move(jobs_.extract(name).mapped());
    AcceptMessageReply reply;
    reply.status = status;
    if (status == AcceptStatus::stored) {
        if (OwnedPartition* const owned = findActive(owned_, name.first)) handOver(*owned, job, reply);
    } else {
        unfinished_.emplace(name, job.fresh);
    }
    answerAll(job, reply);
}

void Accepts::handOver(OwnedPartition& owned, Job& job, AcceptMessageReply& reply) {
    QueueItem* const item = owned.queue.find(job.record->content.id);
    if (item == nullptr || item->callback) return;
    item->holders.insert(job.holders.begin(), job.holders.end());
    owned.queue.stored(*item);
    if (outcomes_.applyConfiguration(owned, *item))
        return granter_.schedule();  // the next of its order may run
    // The edge would run it at the service of its own configuration.
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

void Accepts::tick() {
    for (const auto& [name, fresh] : std::exchange(unfinished_, {})) {
        if (jobs_.contains(name)) continue;
        OwnedPartition* const owned = findActive(owned_, name.first);
        if (owned == nullptr) {
            // It was promised to nobody and never granted; its place in the order may be wrong by now.
            if (fresh) replica_.forget(name.first, name.second);
            continue;
        }
        const QueueItem* const item = owned->queue.find(name.second);
        auto record = replica_.record(name.first, name.second);
        if (item == nullptr || item->state != ItemState::storing || !record) continue;
        Job job = continuedJob(*item, std::move(*record));
        job.fresh = fresh;
        startJob(*owned, name, std::move(job));
    }
}

void Accepts::abandon(PartitionId partition) {
    std::vector<MessageName> names;
    for (const auto& [name, job] : jobs_) {
        if (name.first == partition && job.copies < job.copies_wanted) names.push_back(name);
    }
    for (const MessageName& name : names) finish(name, AcceptStatus::unknown);
    std::erase_if(unfinished_, [this, partition](const auto& entry) {
        const auto& [name, fresh] = entry;
        if (name.first != partition) return false;
        if (fresh) replica_.forget(partition, name.second);
        return true;
    });
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
