#include "cluster/storage/ready_queues.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

ReadyQueues::Key ReadyQueues::keyOf(QueueItem& item) {
    return {item.priority, item.wanted, item.position, &item};
}

void ReadyQueues::add(QueueItem& item) {
    services_[item.service].in_time.insert(keyOf(item));
}

void ReadyQueues::remove(QueueItem& item) {
    const auto service = services_.find(item.service);
    if (service == services_.end()) return;
    service->second.in_time.erase(keyOf(item));
    service->second.late.erase(keyOf(item));
    if (service->second.in_time.empty() && service->second.late.empty()) services_.erase(service);
}

void ReadyQueues::moveLate(Service& service, SteadyTime now) {
    while (!service.in_time.empty()) {
        const auto first = service.in_time.begin();
        if (std::get<SteadyTime>(*first) + kLateAfter >= now) return;
        service.late.insert(*first);
        service.in_time.erase(first);
    }
}

QueueItem* ReadyQueues::head(const std::string& name, SteadyTime now) {
    const auto found = services_.find(name);
    if (found == services_.end()) return nullptr;
    Service& service = found->second;
    moveLate(service, now);
    const auto& source = service.in_time.empty() ? service.late : service.in_time;
    return std::get<QueueItem*>(*source.begin());
}

std::size_t ReadyQueues::size() const {
    std::size_t sum = 0;
    for (const auto& [name, service] : services_) sum += service.in_time.size() + service.late.size();
    return sum;
}

std::vector<std::string> ReadyQueues::services(SteadyTime now) {
    using Order = std::tuple<bool, int, SteadyTime, std::string>;
    std::vector<Order> heads;
    for (auto& [name, service] : services_) {
        const QueueItem* const first = head(name, now);
        heads.emplace_back(first->wanted + kLateAfter < now, first->priority, first->wanted, name);
    }
    std::sort(heads.begin(), heads.end());
    std::vector<std::string> names;
    for (Order& order : heads) names.push_back(std::move(std::get<std::string>(order)));
    return names;
}

}  // namespace amberswitch::cluster::storage
