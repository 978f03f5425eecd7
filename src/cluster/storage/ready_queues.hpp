// The messages that may run at once, by service. Those that can still begin within their aim come first, then
// those that are late, then those that are too late to be of use; within each: by priority, then by the time
// when they were first due. So a backlog does not make the messages late that come after it.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>

#include "cluster/storage/queue_item.hpp"

namespace amberswitch::cluster::storage {

// A message this far behind its due time is worth nothing any more and waits for those in time.
constexpr Millis kTooLateAfter{15000};
// What a grant needs to reach a server: a message closer than this to the end of its aim counts as late.
constexpr Millis kWayToServer{60};

class ReadyQueues {
public:
    void add(QueueItem& item);
    void remove(QueueItem& item);
    // The next message of the service, or null.
    QueueItem* head(const std::string& service, SteadyTime now);
    // Whether a message of the service waits that can still begin within its aim.
    bool hasInTime(const std::string& service, SteadyTime now);
    std::size_t size() const;
    // Services that have ready messages, in the order of their heads.
    std::vector<std::string> services(SteadyTime now);

private:
    using Key = std::tuple<int, SteadyTime, LinePosition, QueueItem*>;  // priority, wanted, position
    using Deadlines = std::set<std::pair<SteadyTime, QueueItem*>>;
    struct Service {
        std::set<Key> in_time;
        std::set<Key> late;
        std::set<Key> too_late;
        Deadlines aims;  // of those in time: when each becomes late
        bool empty() const { return in_time.empty() && late.empty() && too_late.empty(); }
        std::size_t size() const { return in_time.size() + late.size() + too_late.size(); }
    };
    static Key keyOf(QueueItem& item);
    static void moveLate(Service& service, SteadyTime now);
    static void moveTooLate(Service& service, SteadyTime now);

    std::map<std::string, Service> services_;  // none is empty
};

}  // namespace amberswitch::cluster::storage
