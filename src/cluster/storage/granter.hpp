// Gives out what is ready: to the edge that has just handed a message in, or to edges of its choice by
// grant_push.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/storage/outcomes.hpp"

namespace amberswitch::cluster::storage {

class Granter {
public:
    Granter(Scheduler& scheduler, Transport& transport, OwnedPartitions& owned, GrantBook& book,
            Outcomes& outcomes, Replica& replica, const QueueItemFactory& items, std::string self);

    // Grants a message to the edge that holds its body, if it may run right now.
    std::optional<AttemptId> grantAtAccept(OwnedPartition& owned, QueueItem& item, const std::string& edge);
    // Takes an attempt over that an edge, or a previous owner, says is running. Unknown edge: kUnknownEdge.
    // `uncounted`: the last owner told so, which has counted no failure of it.
    void adoptRunning(const std::string& edge, const RunningAttempt& running, bool uncounted);
    // Looks for what can be granted, once at the end of this turn of the loop.
    void schedule();
    // Grants nothing more.
    void stop() { stopped_ = true; }

private:
    struct Push {
        GrantPush message;
        std::size_t bytes = 0;
    };
    using Pushes = std::map<std::string, std::vector<Push>>;  // by edge

    void pump();
    void drainService(const std::string& service, Pushes& pushes);
    // Whom to give the next attempt of that item. Null if nobody may take one.
    Edge* chooseEdge(const QueueItem& item, SteadyTime now);
    Edge* chooseForCallback(const std::string& receiver, SteadyTime now);
    bool grantTo(Edge& edge, QueueItem& item, Pushes& pushes);
    void send(const std::string& edge, GrantPush push);
    void onPushResult(const std::string& edge, const std::vector<RunningAttempt>& sent,
                      const CallResult& result);
    void giveBack(const RunningAttempt& attempt);
    void planWakeUp();

    Scheduler& scheduler_;
    Transport& transport_;
    OwnedPartitions& owned_;
    GrantBook& book_;
    Outcomes& outcomes_;
    Replica& replica_;
    const QueueItemFactory& items_;
    std::string self_;
    std::uint64_t last_attempt_ = 0;
    bool stopped_ = false;
    bool scheduled_ = false;
    TimerHandle wake_up_;
    std::optional<SteadyTime> wake_up_at_;
};

}  // namespace amberswitch::cluster::storage
