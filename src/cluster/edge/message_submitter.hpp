// Submits the messages of clients to the owner of a partition and answers the client accordingly. 503
// guarantees that the message is not stored anywhere; 504 means that it may be stored but no owner confirmed
// it.
#pragma once

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

#include "cluster/common/configuration.hpp"
#include "cluster/common/http.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/edge/deliveries.hpp"
#include "cluster/edge/partition_map.hpp"

namespace amberswitch::cluster {

// Returns a 503 response with Retry-After in fractional seconds: the request had no effect.
HttpResponse serviceUnavailable(Millis retry_after = Millis(100));

class MessageSubmitter {
public:
    MessageSubmitter(Scheduler& scheduler, Transport& transport, PartitionMap& partitions,
                     Deliveries& deliveries, EdgeCounters& counters, EdgeIdentity self);

    // `deadline`: how long the client waits, if it states this.
    void submit(MessageContent content, const Route& route, std::optional<Millis> deadline,
                HttpResponder respond);
    // Messages that have not been answered yet.
    std::size_t openCount() const { return submissions_.size(); }

private:
    struct Submission {
        MessageContent content;
        Millis retention{0};
        std::uint32_t max_failures = 1;
        Millis delivery_timeout{0};
        HttpResponder respond;
        SteadyTime reply_deadline{};       // latest time for the owner's answer
        SteadyTime owner_wait_deadline{};  // latest time to wait for another owner
        SteadyTime called_at{};
        Millis retry_after{100};  // sent with a 503
        PartitionId partition = 0;
        NodeAddress owner;  // of the last attempt
        Epoch epoch = 0;    // of the view at the last attempt; 0 before the first attempt
        std::set<NodeAddress> tried;
        int tries = 0;
        bool may_be_stored = false;
        TimerHandle owner_wait_timer;
    };
    using SubmissionId = std::uint64_t;

    void tryNextOwner(SubmissionId id);
    bool choosePartition(Submission& submission);
    void callOwner(SubmissionId id, Submission& submission, const StoreMember& owner);
    void onCallResult(SubmissionId id, const CallResult& result);
    void onReply(SubmissionId id, Submission& submission, const AcceptMessageReply& reply);
    void onStored(SubmissionId id, const AcceptMessageReply& reply);
    void retry(SubmissionId id, Submission& submission);
    void waitForOwner(SubmissionId id, Submission& submission);
    void giveUp(SubmissionId id);
    void finish(SubmissionId id, HttpResponse response);

    Scheduler& scheduler_;
    Transport& transport_;
    PartitionMap& partitions_;
    Deliveries& deliveries_;
    EdgeCounters& counters_;
    EdgeIdentity self_;
    std::mt19937_64 random_;
    std::unordered_map<SubmissionId, Submission> submissions_;
    SubmissionId last_id_ = 0;
};

}  // namespace amberswitch::cluster
