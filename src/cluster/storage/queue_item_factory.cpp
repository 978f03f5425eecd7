#include "cluster/storage/queue_item_factory.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

namespace {

constexpr std::string_view kCallbackPrefix = "call-back ";
constexpr std::string_view kSchemeEnd = "://";
constexpr Millis kDefaultScheduleTarget{1000};
constexpr Millis kCallbackScheduleTarget{5000};

}  // namespace

std::string callbackDestination(const std::string& callback_url) {
    const std::size_t scheme = callback_url.find(kSchemeEnd);
    const std::size_t begin = scheme == std::string::npos ? 0 : scheme + kSchemeEnd.size();
    const std::size_t end = callback_url.find('/', begin);
    return std::string(kCallbackPrefix) +
           callback_url.substr(begin, end == std::string::npos ? end : end - begin);
}

QueueItem QueueItemFactory::make(PartitionId partition, const MessageContent& content,
                                 const StoredMessage& message) const {
    QueueItem item;
    item.partition = partition;
    item.id = content.id;
    item.order_scope = content.order_scope;
    const Route* const route = routingOf(content).route;
    if (route != nullptr) item.route = route->name;
    item.service = content.service;
    item.order_key = content.order_key;
    item.ordered_at_accept = content.ordered;
    item.ordered = isOrdered(item, route);
    item.position = {message.epoch, message.sequence};
    item.predecessor = {message.after_epoch, message.after_sequence};
    item.timeout = kDefaultTimeout;
    item.priority = priorityOf(item.route);
    item.callback_owed = !content.callback_url.empty() && !message.callback_done;
    item.failures = message.failures;
    item.max_failures = message.max_failures;
    item.first_due = clock_.steadyOf(message.accepted_wall_ms + content.delay_ms);
    item.start_target = item.first_due + scheduleTargetOf(item.route);
    item.due = item.first_due;
    item.deadline = clock_.steadyOf(message.accepted_wall_ms + message.retention_ms) + kRetentionMargin;
    if (message.phase != Phase::pending) turnIntoCallback(item, content.callback_url);
    return item;
}

void QueueItemFactory::turnIntoCallback(QueueItem& item, const std::string& callback_url) const {
    item.callback = true;
    item.service = callbackDestination(callback_url);
    item.first_due = clock_.now();
    item.start_target = item.first_due + kCallbackScheduleTarget;
    item.due = item.first_due;
    item.deadline = item.first_due + status_retention_;
}

Millis QueueItemFactory::timeoutOf(const QueueItem& item) const {
    const Route* const route = configuration_ ? configuration_->route(item.route) : nullptr;
    return route ? route->timeout : item.timeout;
}

Millis QueueItemFactory::scheduleTargetOf(const std::string& name) const {
    const Route* const route = configuration_ ? configuration_->route(name) : nullptr;
    return route && route->schedule_target.count() > 0 ? route->schedule_target : kDefaultScheduleTarget;
}

std::uint32_t QueueItemFactory::maxFailuresOf(const QueueItem& item) const {
    const Route* const route = configuration_ ? configuration_->route(item.route) : nullptr;
    return std::max(item.max_failures, route ? route->max_retries : 0);
}

int QueueItemFactory::priorityOf(const std::string& name) const {
    const Route* const route = configuration_ ? configuration_->route(name) : nullptr;
    return route ? route->priority : 0;
}

Routing QueueItemFactory::routingOf(const MessageContent& content) const {
    if (configuration_ == nullptr || configuration_->generation < content.config_generation) return {};
    const Route* const route = configuration_->match(content.host, content.target);
    return {route, route == nullptr};
}

bool QueueItemFactory::isOrdered(const QueueItem& item, const Route* route) {
    const bool route_is_ordered = route != nullptr && route->ordered;
    return !item.order_key.empty() && (item.ordered_at_accept || route_is_ordered);
}

void QueueItemFactory::applyRoute(QueueItem& item, const Route& route) const {
    item.route = route.name;
    item.service = route.service;
    item.priority = route.priority;
    item.ordered = isOrdered(item, &route);
    item.start_target = item.first_due + scheduleTargetOf(route.name);
}

std::int64_t QueueItemFactory::generationFor(const MessageContent& content) const {
    const std::int64_t own = configuration_ == nullptr ? 0 : configuration_->generation;
    return std::max(own, content.config_generation);
}

}  // namespace amberswitch::cluster::storage
