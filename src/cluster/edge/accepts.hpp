// Brings messages of clients to the owner of a partition and answers the client by what became of them. 503
// promises that the message is surely nowhere; whatever may be stored without a clear answer gets 504.
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

// 503 with Retry-After in seconds, as a fraction: the message is surely nowhere.
HttpResponse tryLater(Millis wait = Millis(100));

class Accepts {
public:
    Accepts(Scheduler& scheduler, Transport& transport, PartitionMap& partitions, Deliveries& deliveries,
            EdgeCounters& counters, EdgeIdentity self);

    // `deadline`: how long the client waits, where it says so.
    void accept(MessageContent content, const Route& route, std::optional<Millis> deadline,
                HttpResponder respond);
    // Messages that have no answer yet.
    std::size_t open() const { return offers_.size(); }

private:
    struct Offer {
        MessageContent content;
        Millis retention{0};
        std::uint32_t max_failures = 1;
        Millis delivery_timeout{0};
        HttpResponder respond;
        SteadyTime give_up_at{};   // for the owner's answer
        SteadyTime retry_until{};  // for waiting for another owner
        SteadyTime called_at{};
        Millis retry_after{100};  // advised with a 503
        PartitionId partition = 0;
        NodeAddress owner;  // of the last try
        Epoch epoch = 0;    // of the view of the last try; 0 before the first one
        std::set<NodeAddress> tried;
        int tries = 0;
        bool may_be_stored = false;
        TimerHandle wait;
    };
    using OfferId = std::uint64_t;

    void tryNext(OfferId id);
    bool choosePartition(Offer& offer);
    void call(OfferId id, Offer& offer, const StoreMember& owner);
    void answered(OfferId id, const CallResult& result);
    void judge(OfferId id, Offer& offer, const AcceptMessageReply& reply);
    void stored(OfferId id, const AcceptMessageReply& reply);
    void tryAgain(OfferId id, Offer& offer);
    void waitForOwner(OfferId id, Offer& offer);
    void giveUp(OfferId id);
    void finish(OfferId id, HttpResponse response);

    Scheduler& scheduler_;
    Transport& transport_;
    PartitionMap& partitions_;
    Deliveries& deliveries_;
    EdgeCounters& counters_;
    EdgeIdentity self_;
    std::mt19937_64 random_;
    std::unordered_map<OfferId, Offer> offers_;
    OfferId last_id_ = 0;
};

}  // namespace amberswitch::cluster
