// The messages that may run now, by service. Messages that can still begin before their start target come
// first, then late ones, then those that are too late to be useful; within each class they are ordered by
// priority, then by the time at which they were first due. A backlog therefore does not delay the messages
// that arrive after it.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>

#include "cluster/storage/queue_item.hpp"

namespace amberswitch::cluster::storage {

// A message this long after its first due time has lost its value and yields to all others.
constexpr Millis kTooLateAfter{15000};
// Time that a grant needs to reach a server: a message closer than this to its start target counts as late.
constexpr Millis kDeliveryLeadTime{60};

// Refers to items that their PartitionQueue owns; an item must be removed before it is changed or destroyed.
class ReadyQueues {
public:
    void add(QueueItem& item);
    void remove(QueueItem& item);
    // The next message of the service, or null.
    QueueItem* head(const std::string& service, SteadyTime now);
    // Whether a ready message of the service can still begin before its start target.
    bool hasInTime(const std::string& service, SteadyTime now);
    std::size_t size() const;
    // Services that have ready messages, ordered by their next messages.
    std::vector<std::string> services(SteadyTime now);

private:
    using Key = std::tuple<int, SteadyTime, OrderPosition, QueueItem*>;  // priority, first_due, position
    using StartTargets = std::set<std::pair<SteadyTime, QueueItem*>>;
    struct Service {
        std::set<Key> in_time;
        std::set<Key> late;
        std::set<Key> too_late;
        StartTargets start_targets;  // of the messages in in_time
        bool empty() const { return in_time.empty() && late.empty() && too_late.empty(); }
        std::size_t size() const { return in_time.size() + late.size() + too_late.size(); }
    };
    static Key keyOf(QueueItem& item);
    static void moveLate(Service& service, SteadyTime now);
    static void moveTooLate(Service& service, SteadyTime now);

    std::map<std::string, Service> services_;  // holds no empty entry
};

}  // namespace amberswitch::cluster::storage
