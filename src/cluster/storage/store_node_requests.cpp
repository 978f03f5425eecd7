#include <glog/logging.h>

#include <unordered_set>

#include "cluster/common/codec.hpp"
#include "cluster/storage/store_node_impl.hpp"
#include "cluster/storage/wall_shift.hpp"

namespace amberswitch::cluster {

using storage::findActive;
using storage::findOwned;

namespace {

constexpr std::size_t kMaxBytesPerPull = 16u << 20;
constexpr Millis kBodyTimeout{500};

}  // namespace

template <class Message>
void StoreNode::Impl::dispatch(const Envelope& request, const Responder& respond,
                               void (Impl::*handle)(Message, const Responder&)) {
    auto message = decode<Message>(request.body);
    if (!message) {
        LOG_EVERY_N(WARNING, 1000) << "cannot decode a request of kind " << request.kind;
        return;
    }
    (this->*handle)(std::move(*message), respond);
}

void StoreNode::Impl::serve(const Envelope& request, Responder respond) {
    switch (static_cast<MessageKind>(request.kind)) {
        case MessageKind::accept_message:
            return dispatch<AcceptMessageRequest>(request, respond, &Impl::onAccept);
        case MessageKind::run_report:
            return dispatch<RunReport>(request, respond, &Impl::onReport);
        case MessageKind::edge_sync:
            return dispatch<EdgeSync>(request, respond, &Impl::onEdgeSync);
        case MessageKind::state_query:
            return dispatch<StateQuery>(request, respond, &Impl::onStateQuery);
        case MessageKind::body_query:
            return dispatch<StateQuery>(request, respond, &Impl::onBodyQuery);
        case MessageKind::replica_body:
            return dispatch<StateQuery>(request, respond, &Impl::onReplicaBody);
        case MessageKind::replicate:
            return dispatch<ReplicateBatch>(request, respond, &Impl::onReplicate);
        case MessageKind::pull_partition:
            return dispatch<PullRequest>(request, respond, &Impl::onPull);
        case MessageKind::peering_done:
            return dispatch<PeeringDone>(request, respond, &Impl::onPeeringDone);
        case MessageKind::peering_progress:
            return dispatch<PeeringProgressRequest>(request, respond, &Impl::onPeeringProgress);
        case MessageKind::misplaced_keys:
            return dispatch<MisplacedKeysRequest>(request, respond, &Impl::onMisplacedKeys);
        default:
            LOG_EVERY_N(WARNING, 1000) << "unexpected request of kind " << request.kind << " to a store";
    }
}

void StoreNode::Impl::onAccept(AcceptMessageRequest request, const Responder& respond) {
    edge_watch_.recordContact(request.edge, request.edge_address);
    acceptor_.accept(std::move(request),
                     [respond](const AcceptMessageReply& answer) { respond(reply(answer)); });
}

void StoreNode::Impl::onReport(RunReport report, const Responder& respond) {
    edge_watch_.recordContact(report.edge, report.edge_address);
    RunReportReply answer;
    // While the disk fails, no result is acknowledged as taken; the edge reports it again.
    const bool takes = disk_.healthy();
    for (const RunResult& result : report.results)
        answer.accepted.push_back(takes && outcomes_.apply(report.edge, result));
    respond(reply(answer));
    granter_.schedule();
}

void StoreNode::Impl::onEdgeSync(EdgeSync sync, const Responder& respond) {
    edge_watch_.onSync(sync);
    respond(reply(EdgeSyncReply{placement_.epoch()}));
}

StateReply StoreNode::Impl::stateOf(const StateQuery& query) {
    StateReply answer;
    if (findActive(owned_, query.partition) == nullptr || !disk_.healthy()) return answer;
    const storage::StoredMessage* const message = replica_.find(query.partition, query.id);
    answer.status = message == nullptr ? QueryStatus::not_found : QueryStatus::found;
    if (message == nullptr) return answer;
    answer.phase = message->phase;
    answer.stamp = message->stamp;
    return answer;
}

void StoreNode::Impl::onStateQuery(StateQuery query, const Responder& respond) {
    respond(reply(stateOf(query)));
}

void StoreNode::Impl::onBodyQuery(StateQuery query, const Responder& respond) {
    StateReply answer = stateOf(query);
    // Only pending messages and dead letters have a body to return.
    if (answer.phase == Phase::completed) answer.status = QueryStatus::not_found;
    if (answer.status != QueryStatus::found) return respond(reply(answer));
    if (auto content = replica_.content(query.partition, query.id)) {
        answer.body = std::move(content->body);
        return respond(reply(answer));
    }
    fetchBody(query, std::move(answer), placement_.liveOrder(query.partition), respond);
}

void StoreNode::Impl::fetchBody(const StateQuery& query, StateReply answer, std::vector<std::string> stores,
                                const Responder& respond) {
    if (stores.empty()) {
        // The message is pending or a dead letter, so its body is on a disk that did not answer.
        answer.status = QueryStatus::not_owner;
        return respond(reply(answer));
    }
    const StoreMember* const member = placement_.member(stores.front());
    stores.erase(stores.begin());
    if (member == nullptr) return fetchBody(query, std::move(answer), std::move(stores), respond);
    transport_.call(member->member.address, envelope(MessageKind::replica_body, query), kBodyTimeout,
                    [this, query, answer, stores, respond](const CallResult& result) {
                        std::optional<StateReply> found;
                        if (result.verdict == CallStatus::answered)
                            found = decode<StateReply>(result.reply.body);
                        if (!found || found->status != QueryStatus::found)
                            return fetchBody(query, answer, stores, respond);
                        StateReply complete = answer;
                        complete.body = std::move(found->body);
                        respond(reply(complete));
                    });
}

void StoreNode::Impl::onReplicaBody(StateQuery query, const Responder& respond) {
    StateReply answer;
    answer.status = QueryStatus::not_found;
    if (auto content = replica_.content(query.partition, query.id)) {
        answer.status = QueryStatus::found;
        answer.body = std::move(content->body);
    }
    respond(reply(answer));
}

void StoreNode::Impl::onReplicate(ReplicateBatch batch, const Responder& respond) {
    ReplicateBatchReply answer;
    bool durable = false;
    for (ReplicateRequest& request : batch.requests) {
        durable = durable || request.durable;
        answer.replies.push_back(applyReplicate(request, clock_.wallMillis() - batch.wall_ms));
    }
    if (!durable) return respond(reply(disk_.healthy() ? answer : ReplicateBatchReply{}));
    replica_.sync(
        [answer, respond](bool synced) { respond(reply(synced ? answer : ReplicateBatchReply{})); });
}

ReplicateReply StoreNode::Impl::applyReplicate(ReplicateRequest& request, std::int64_t shift_ms) {
    ReplicateReply answer;
    answer.promised_epoch = replica_.promised(request.partition);
    answer.stored = answer.promised_epoch <= request.epoch;
    // States are merged whichever store sends them; records are taken only from the owner that holds the
    // promise.
    OwnedPartition* const owned = findActive(owned_, request.partition);
    for (RecordUpdate& update : request.updates) {
        update.partition = request.partition;
        storage::shiftTimes(update, shift_ms);
        replica_.merge(update);
        if (owned != nullptr) outcomes_.refresh(*owned, update.id);
    }
    if (!answer.stored) return answer;
    for (MessageRecord& record : request.records) {
        record.partition = request.partition;
        storage::shiftTimes(record, shift_ms);
        if (!replica_.store(record, false)) answer.stored = false;
    }
    return answer;
}

void StoreNode::Impl::onPull(PullRequest request, const Responder& respond) {
    if (replica_.promised(request.partition) > request.epoch) return respond(reply(PullReply{}));
    const OwnedPartition* const owned = findOwned(owned_, request.partition);
    if (owned != nullptr && owned->epoch < request.epoch) relinquish(request.partition);
    // Done even if the disk fails: the promise in memory is valid as long as this process runs.
    replica_.promise(request.partition, request.epoch);
    replica_.recordJoin(request.joined_epoch, request.joined_incarnation == incarnation_);
    replica_.forgetOutdated(request.partition);
    replica_.sync([this, request = std::move(request), respond](bool synced) {
        if (replica_.promised(request.partition) > request.epoch) return respond(reply(PullReply{}));
        PullReply answer = pullReply(request);
        answer.not_durable = !synced;
        respond(reply(answer));
        if (!synced) return;
        awaiting_pull_.erase(request.partition);
    });
}

PullReply StoreNode::Impl::pullReply(const PullRequest& request) {
    PullReply answer;
    answer.promised = true;
    answer.valid = replica_.isValid(request.partition);
    answer.peered_epoch = replica_.peeredEpoch(request.partition);
    answer.wall_ms = clock_.wallMillis();
    const std::unordered_set<MessageId> known(request.known.begin(), request.known.end());
    std::size_t bytes = 0;
    for (const auto& [id, message] : replica_.messages(request.partition)) {
        const bool wanted = message.needsContent() && message.content_on_disk && !known.contains(id);
        auto record = wanted ? replica_.record(request.partition, id) : std::nullopt;
        if (record) {
            bytes += record->content.body.size();
            answer.complete = bytes <= kMaxBytesPerPull || answer.records.empty();
            if (!answer.complete) return answer;
            answer.records.push_back(std::move(*record));
        } else if (message.content_on_disk || message.phase != Phase::pending) {
            answer.states.push_back(replica_.state(request.partition, id, message));
            const bool dead = message.phase == Phase::dead_letter && message.content_on_disk;
            if (dead) answer.dead_letters.push_back(id);
        }
    }
    answer.valid =
        answer.valid && replica_.isValid(request.partition);  // reading the records may have failed
    const auto former = former_grants_.find(request.partition);
    if (former == former_grants_.end()) return answer;
    if (former->second.successor == 0) former->second.successor = request.epoch;
    if (former->second.successor == request.epoch) answer.running = former->second.running;
    return answer;
}

void StoreNode::Impl::onPeeringDone(PeeringDone done, const Responder& respond) {
    if (!replica_.markValid(done.partition, done.epoch)) return respond(reply(Acknowledgement{false}));
    Epoch& newest = last_peering_done_[done.partition];
    newest = std::max(newest, done.epoch);
    replica_.sync([respond](bool synced) { respond(reply(Acknowledgement{synced})); });
}

void StoreNode::Impl::onMisplacedKeys(MisplacedKeysRequest /*request*/, const Responder& respond) {
    respond(reply(misplaced_key_survey_.answer()));
}

void StoreNode::Impl::onPeeringProgress(PeeringProgressRequest request, const Responder& respond) {
    PeeringProgressReply answer;
    answer.done = view_ != nullptr && view_->epoch == request.epoch && disk_.healthy();
    const auto partitions = static_cast<PartitionId>(answer.done ? view_->partitions.size() : 0);
    for (PartitionId partition = 0; partition < partitions; ++partition) {
        if (!isNamedAsOwner(*view_, partition)) continue;
        // The view names an earlier process of this store, so the partition has not been peered in this view.
        if (!isOwnerInView(*view_, partition)) answer.done = false;
        const auto newest = last_peering_done_.find(partition);
        if (newest == last_peering_done_.end() || newest->second < request.epoch) answer.done = false;
    }
    respond(reply(answer));
}

}  // namespace amberswitch::cluster
