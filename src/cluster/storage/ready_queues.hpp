// The messages that may run at once, by service. Within a service: by priority, then by the time when they
// were first due; messages that are far behind it come after all that are still in time.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>

#include "cluster/storage/queue_item.hpp"

namespace amberswitch::cluster::storage {

// A message this far behind its due time is worth nothing any more and waits for those in time.
constexpr Millis kLateAfter{15000};

class ReadyQueues {
public:
    void add(QueueItem& item);
    void remove(QueueItem& item);
    // The next message of the service, or null.
    QueueItem* head(const std::string& service, SteadyTime now);
    bool empty(const std::string& service) const { return !services_.contains(service); }
    std::size_t size() const;
    // Services that have ready messages, in the order of their heads.
    std::vector<std::string> services(SteadyTime now);

private:
    using Key = std::tuple<int, SteadyTime, LinePosition, QueueItem*>;  // priority, wanted, position
    struct Service {
        std::set<Key> in_time;
        std::set<Key> late;
    };
    static Key keyOf(QueueItem& item);
    static void moveLate(Service& service, SteadyTime now);

    std::map<std::string, Service> services_;  // none is empty
};

}  // namespace amberswitch::cluster::storage
