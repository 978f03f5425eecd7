// Posts the final phase of a message to its call-back URL and retries until the receiver accepts it or the
// delivery timeout expires. Each receiver has its own queue and a small connection limit, so that a receiver
// that is down does not delay the others.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/common/callback_plan.hpp"
#include "cluster/common/http.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/edge/counters.hpp"

namespace amberswitch::cluster {

// Parses "http://ip:port/path"; returns nullopt for any other text.
struct CallbackUrl {
    NodeAddress address;
    std::string target;
};
std::optional<CallbackUrl> parseCallbackUrl(const std::string& url);

struct CallbackJob {
    PartitionId partition = 0;
    MessageId id;
    Epoch epoch = 0;
    std::uint64_t attempt = 0;
    std::string url;
    Phase phase = Phase::completed;
    std::string stamp;
};

class CallbackSender {
public:
    // Called once for each job, never from inside enqueue(). `delivered` is true if the receiver answered 200
    // or 400, or if the URL is invalid.
    using DoneHandler = std::function<void(const CallbackJob&, bool delivered)>;

    CallbackSender(Scheduler& scheduler, HttpClient& http, EdgeCounters& counters, std::uint64_t seed,
                   DoneHandler on_done);

    void setEdgeCount(std::uint32_t edges);
    bool hasRoom() const;
    // Whether this edge may send the call-back of a run that ended here without a grant for it. If only some
    // edges may connect to a receiver, the owner of the partition grants the call-back to one of those.
    bool mayStartWithoutGrant() const { return hasRoom() && plan_.all_send; }
    void enqueue(CallbackJob job);
    // Begins the shutdown of this process: queued jobs finish as failed at once, and requests in flight are
    // not retried.
    void leave();
    // Jobs that have not finished.
    std::size_t openCount() const { return open_; }

private:
    struct QueuedCallback {
        CallbackJob job;
        SteadyTime expires_at{};
        SteadyTime not_before{};
        int failures = 0;
    };
    struct Receiver {
        std::deque<QueuedCallback> queue;
        std::size_t in_flight = 0;
        int failures = 0;  // consecutive refused or reset connections
        SteadyTime paused_until{};
        TimerHandle timer;
    };

    void sendDue(NodeAddress address);
    std::size_t maxConnections(const Receiver& receiver) const;
    void dropExpired(Receiver& receiver);
    void post(const NodeAddress& address, Receiver& receiver, QueuedCallback item);
    void onOutcome(const NodeAddress& address, QueuedCallback item, const HttpOutcome& outcome);
    void armTimer(const NodeAddress& address, Receiver& receiver);
    void finish(const CallbackJob& job, bool delivered);
    Millis backoff(int failures);

    Scheduler& scheduler_;
    HttpClient& http_;
    EdgeCounters& counters_;
    std::mt19937_64 random_;
    DoneHandler on_done_;
    std::map<NodeAddress, Receiver> receivers_;
    CallbackPlan plan_;
    std::size_t open_ = 0;
    bool leaving_ = false;
};

}  // namespace amberswitch::cluster
