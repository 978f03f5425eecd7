#include "cluster/storage/ready_queues.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

ReadyQueues::Key ReadyQueues::keyOf(QueueItem& item) {
    return {item.priority, item.first_due, item.position, &item};
}

void ReadyQueues::add(QueueItem& item) {
    Service& service = services_[item.service];
    service.in_time.insert(keyOf(item));
    service.start_targets.emplace(item.start_target, &item);
}

void ReadyQueues::remove(QueueItem& item) {
    const auto found = services_.find(item.service);
    if (found == services_.end()) return;
    Service& service = found->second;
    service.in_time.erase(keyOf(item));
    service.late.erase(keyOf(item));
    service.too_late.erase(keyOf(item));
    service.start_targets.erase({item.start_target, &item});
    if (service.empty()) services_.erase(found);
}

void ReadyQueues::moveLate(Service& service, SteadyTime now) {
    while (!service.start_targets.empty() && service.start_targets.begin()->first < now + kDeliveryLeadTime) {
        QueueItem& item = *service.start_targets.begin()->second;
        service.start_targets.erase(service.start_targets.begin());
        service.in_time.erase(keyOf(item));
        service.late.insert(keyOf(item));
    }
}

void ReadyQueues::moveTooLate(Service& service, SteadyTime now) {
    // Checks only the first messages: those behind them are served later in any case.
    while (!service.late.empty()) {
        const auto first = service.late.begin();
        if (std::get<SteadyTime>(*first) + kTooLateAfter >= now) return;
        service.too_late.insert(*first);
        service.late.erase(first);
    }
}

QueueItem* ReadyQueues::head(const std::string& name, SteadyTime now) {
    const auto found = services_.find(name);
    if (found == services_.end()) return nullptr;
    Service& service = found->second;
    moveLate(service, now);
    if (!service.in_time.empty()) return std::get<QueueItem*>(*service.in_time.begin());
    moveTooLate(service, now);
    const auto& source = service.late.empty() ? service.too_late : service.late;
    return std::get<QueueItem*>(*source.begin());
}

bool ReadyQueues::hasInTime(const std::string& name, SteadyTime now) {
    const auto found = services_.find(name);
    if (found == services_.end()) return false;
    moveLate(found->second, now);
    return !found->second.in_time.empty();
}

std::size_t ReadyQueues::size() const {
    std::size_t sum = 0;
    for (const auto& [name, service] : services_) sum += service.size();
    return sum;
}

std::vector<std::string> ReadyQueues::services(SteadyTime now) {
    using Order = std::tuple<bool, int, SteadyTime, std::string>;
    std::vector<Order> heads;
    for (auto& [name, service] : services_) {
        const QueueItem* const first = head(name, now);
        heads.emplace_back(first->start_target < now + kDeliveryLeadTime, first->priority, first->first_due,
                           name);
    }
    std::sort(heads.begin(), heads.end());
    std::vector<std::string> names;
    names.reserve(heads.size());
    for (Order& order : heads) names.push_back(std::move(std::get<std::string>(order)));
    return names;
}

}  // namespace amberswitch::cluster::storage
