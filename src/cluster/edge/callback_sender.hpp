// Delivers call-backs: tells the URL of a message how it ended, until the receiver has taken it or the time
// for it is over. Each receiver has its own queue and few connections, so that one that is down holds up no
// other.
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

// "http://ip:port/path"; nothing where the text is no such URL.
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
    // Told once for each work; taken: the receiver answered 200 or 400. Never inside begin().
    using DoneHandler = std::function<void(const CallbackJob&, bool delivered)>;

    CallbackSender(Scheduler& scheduler, HttpClient& http, EdgeCounters& counters, std::uint64_t seed,
                   DoneHandler on_done);

    void setEdgeCount(std::uint32_t edges);
    bool hasRoom() const;
    // Whether the call-back of a run that ended here may begin here. Where not all edges may connect to a
    // receiver, its owner grants it to one of those that may.
    bool mayStartWithoutGrant() const { return hasRoom() && plan_.all_send; }
    void enqueue(CallbackJob job);
    // This process ends: what is not on its way is handed back as failed, and nothing is tried again.
    void leave();
    // Works that have no end yet.
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
        int failures = 0;  // connections refused in a row
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
