#include "cluster/edge/queries.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/edge/message_submitter.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kQueryTimeout{1700};
constexpr Millis kCallTimeout{500};
constexpr Millis kRetryInterval{100};

const char* phaseName(Phase phase) {
    switch (phase) {
        case Phase::pending:
            return "pending";
        case Phase::completed:
            return "completed";
        case Phase::dead_letter:
            return "dead_letter";
    }
    return "pending";
}

std::string stateJson(const StateReply& reply) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    writer.Key("phase");
    writer.String(phaseName(reply.phase));
    if (reply.phase == Phase::completed) {
        writer.Key("stamp");
        writer.String(reply.stamp.data(), static_cast<rapidjson::SizeType>(reply.stamp.size()));
    }
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

HttpResponse foundResponse(Queries::Kind kind, StateReply reply) {
    HttpResponse response;
    if (kind == Queries::Kind::body) {
        response.headers.push_back({"Content-Type", "application/octet-stream"});
        response.body = std::move(reply.body);
    } else {
        response.headers.push_back({"Content-Type", "application/json"});
        response.body = stateJson(reply);
    }
    return response;
}

}  // namespace

Queries::Queries(Scheduler& scheduler, Transport& transport, const PartitionMap& partitions,
                 EdgeCounters& counters)
    : scheduler_(scheduler), transport_(transport), partitions_(partitions), counters_(counters) {}

void Queries::ask(Kind kind, const MessageRef& ref, HttpResponder respond) {
    ++counters_.queries;
    const QueryId id = ++last_id_;
    Query& query = queries_[id];
    query.kind = kind;
    query.id = ref.id;
    query.respond = std::move(respond);
    query.deadline = scheduler_.now() + kQueryTimeout;
    query.ask_every_partition = !ref.partition;
    if (ref.partition) query.unanswered.push_back(*ref.partition);
    startRound(id);
}

void Queries::startRound(QueryId id) {
    Query& query = queries_.at(id);
    const std::size_t partitions = partitions_.partitionCount();
    if (query.ask_every_partition && partitions > 0) {
        query.ask_every_partition = false;
        for (PartitionId partition = 0; partition < partitions; ++partition)
            query.unanswered.push_back(partition);
    }
    // Partitions beyond the view's count do not exist, so nothing is stored there.
    if (partitions > 0) std::erase_if(query.unanswered, [&](PartitionId each) { return each >= partitions; });
    const MessageKind kind = query.kind == Kind::state ? MessageKind::state_query : MessageKind::body_query;
    const auto remaining = std::chrono::ceil<Millis>(query.deadline - scheduler_.now());
    for (const PartitionId partition : query.unanswered) {
        const StoreMember* const owner = partitions_.owner(partition);
        if (!owner) continue;
        ++query.open_calls;
        transport_.call(owner->member.address, envelope(kind, StateQuery{partition, query.id}),
                        std::min(kCallTimeout, remaining),
                        [this, id, partition](const CallResult& result) { onReply(id, partition, result); });
    }
    if (query.open_calls == 0) onRoundEnd(id, query);
}

void Queries::onReply(QueryId id, PartitionId partition, const CallResult& result) {
    const auto at = queries_.find(id);
    if (at == queries_.end()) return;  // another partition already answered
    Query& query = at->second;
    --query.open_calls;
    std::optional<StateReply> reply;
    if (result.verdict == CallStatus::answered) reply = decode<StateReply>(result.reply.body);
    if (reply && reply->status == QueryStatus::found)
        return finish(id, foundResponse(query.kind, std::move(*reply)));
    if (reply && reply->status == QueryStatus::not_found) std::erase(query.unanswered, partition);
    if (query.open_calls == 0) onRoundEnd(id, query);
}

void Queries::onRoundEnd(QueryId id, Query& query) {
    const bool all_answered = !query.ask_every_partition && query.unanswered.empty();
    if (all_answered) {
        HttpResponse response;
        response.status = 404;
        return finish(id, std::move(response));
    }
    if (scheduler_.now() + kRetryInterval >= query.deadline) {
        ++counters_.queries_unanswered;
        return finish(id, serviceUnavailable());
    }
    query.retry = scheduler_.after(kRetryInterval, [this, id] { startRound(id); });
}

void Queries::finish(QueryId id, HttpResponse response) {
    const HttpResponder respond = std::move(queries_.at(id).respond);
    queries_.erase(id);
    respond(std::move(response));
}

}  // namespace amberswitch::cluster
