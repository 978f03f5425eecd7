// Grants ready messages: to the edge that has just submitted the message, in the answer to its accept, or to
// an edge that the store chooses, by grant_push.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/storage/outcome_handler.hpp"

namespace amberswitch::cluster::storage {

// Grants messages within the limits of their services. `self` is the name of this store.
class Granter {
public:
    Granter(Scheduler& scheduler, Transport& transport, OwnedPartitions& owned, GrantTable& grants,
            OutcomeHandler& outcomes, Replica& replica, const QueueItemFactory& items, std::string self);

    // Grants a message to the edge that submitted it and so holds its body. nullopt if the message may not
    // run right now, or if another edge or another message goes first.
    std::optional<AttemptId> grantAtAccept(OwnedPartition& owned, QueueItem& item, const std::string& edge);
    // Takes over an attempt that an edge, or a previous owner, reports as running. `edge` is kUnknownEdge
    // where the edge is not known. `uncounted`: the previous owner reported the attempt and has counted no
    // failure of it.
    void adoptRunning(const std::string& edge, const RunningAttempt& running, bool uncounted);
    // Schedules one pass over the ready messages at the end of this event-loop turn.
    void schedule();
    // Stops all further grants.
    void stop() { stopped_ = true; }

private:
    // A grant_push under construction; `bytes` is the size of the bodies in it.
    struct Push {
        GrantPush message;
        std::size_t bytes = 0;
    };
    using Pushes = std::map<std::string, std::vector<Push>>;  // by edge

    void grantReady();
    // Grants ready messages of the service until a limit is reached or no edge can take one.
    void grantService(const std::string& service, Pushes& pushes);
    // The edge for the item's next attempt. Null if no edge can take one.
    Edge* chooseEdge(const QueueItem& item, SteadyTime now);
    Edge* chooseForCallback(const std::string& receiver, SteadyTime now);
    // Grants the item and adds it to the pushes. False if its content is not available.
    bool grantTo(Edge& edge, QueueItem& item, Pushes& pushes);
    void send(const std::string& edge, GrantPush push);
    void onPushResult(const std::string& edge, const std::vector<RunningAttempt>& sent,
                      const CallResult& result);
    // Requeues the message of an attempt whose push was refused or surely not delivered.
    void requeue(const RunningAttempt& attempt);
    // Sets the timer to the earliest time at which something may become grantable.
    void scheduleWakeUp();

    Scheduler& scheduler_;
    Transport& transport_;
    OwnedPartitions& owned_;
    GrantTable& grants_;
    OutcomeHandler& outcomes_;
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
