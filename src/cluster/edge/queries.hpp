// Answers client queries for the state or the body of a message by asking the owner of its partition.
#pragma once

#include <unordered_map>
#include <vector>

#include "cluster/common/http.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/edge/counters.hpp"
#include "cluster/edge/message_ref.hpp"
#include "cluster/edge/partition_map.hpp"

namespace amberswitch::cluster {

class Queries {
public:
    enum class Kind { state, body };

    Queries(Scheduler& scheduler, Transport& transport, const PartitionMap& partitions,
            EdgeCounters& counters);

    // Answers 200, 404 if no partition has the message, or 503 if an owner did not answer in time.
    void ask(Kind kind, const MessageRef& ref, HttpResponder respond);
    std::size_t openCount() const { return queries_.size(); }

private:
    using QueryId = std::uint64_t;
    struct Query {
        Kind kind = Kind::state;
        MessageId id;
        HttpResponder respond;
        SteadyTime deadline{};
        std::vector<PartitionId> unanswered;  // partitions whose owner has not given a definite answer
        std::size_t open_calls = 0;           // calls of the current round without an answer
        bool ask_every_partition = false;     // for a bare id, until the partitions are known
        TimerHandle retry;
    };

    void startRound(QueryId id);
    void onReply(QueryId id, PartitionId partition, const CallResult& result);
    void onRoundEnd(QueryId id, Query& query);
    void finish(QueryId id, HttpResponse response);

    Scheduler& scheduler_;
    Transport& transport_;
    const PartitionMap& partitions_;
    EdgeCounters& counters_;
    std::unordered_map<QueryId, Query> queries_;
    QueryId last_id_ = 0;
};

}  // namespace amberswitch::cluster
