#include "cluster/edge/queries.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/edge/accepts.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kAnswerWithin{1700};
constexpr Millis kCallTimeout{500};
constexpr Millis kRetryAfter{100};

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

HttpResponse found(Queries::Kind kind, StateReply reply) {
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
    Query& query = open_[id];
    query.kind = kind;
    query.id = ref.id;
    query.respond = std::move(respond);
    query.give_up_at = scheduler_.now() + kAnswerWithin;
    query.every_partition = !ref.partition;
    if (ref.partition) query.unasked.push_back(*ref.partition);
    round(id);
}

void Queries::round(QueryId id) {
    Query& query = open_.at(id);
    const std::size_t partitions = partitions_.partitions();
    if (query.every_partition && partitions > 0) {
        query.every_partition = false;
        for (PartitionId partition = 0; partition < partitions; ++partition)
            query.unasked.push_back(partition);
    }
    // A partition that no view has: nothing was ever stored there.
    if (partitions > 0) std::erase_if(query.unasked, [&](PartitionId each) { return each >= partitions; });
    const MessageKind kind = query.kind == Kind::state ? MessageKind::state_query : MessageKind::body_query;
    const auto remaining = std::chrono::ceil<Millis>(query.give_up_at - scheduler_.now());
    for (const PartitionId partition : query.unasked) {
        const StoreMember* const owner = partitions_.owner(partition);
        if (!owner) continue;
        ++query.awaited;
        transport_.call(owner->member.address, envelope(kind, StateQuery{partition, query.id}),
                        std::min(kCallTimeout, remaining),
                        [this, id, partition](const CallResult& result) { answered(id, partition, result); });
    }
    if (query.awaited == 0) roundOver(id, query);
}

void Queries::answered(QueryId id, PartitionId partition, const CallResult& result) {
    const auto at = open_.find(id);
    if (at == open_.end()) return;  // another partition had it
    Query& query = at->second;
    --query.awaited;
    std::optional<StateReply> reply;
    if (result.verdict == CallStatus::answered) reply = decode<StateReply>(result.reply.body);
    if (reply && reply->status == QueryStatus::found) return finish(id, found(query.kind, std::move(*reply)));
    if (reply && reply->status == QueryStatus::not_found) std::erase(query.unasked, partition);
    if (query.awaited == 0) roundOver(id, query);
}

void Queries::roundOver(QueryId id, Query& query) {
    const bool knows_all = !query.every_partition && query.unasked.empty();
    if (knows_all) {
        HttpResponse response;
        response.status = 404;
        return finish(id, std::move(response));
    }
    if (scheduler_.now() + kRetryAfter >= query.give_up_at) {
        ++counters_.queries_unanswered;
        return finish(id, tryLater());
    }
    query.retry = scheduler_.after(kRetryAfter, [this, id] { round(id); });
}

void Queries::finish(QueryId id, HttpResponse response) {
    const HttpResponder respond = std::move(open_.at(id).respond);
    open_.erase(id);
    respond(std::move(response));
}

}  // namespace amberswitch::cluster
