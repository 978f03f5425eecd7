#include "cluster/storage/partition_queue.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

PartitionQueue::~PartitionQueue() {
    for (auto& [id, item] : items_) {
        if (item->state == ItemState::ready) ready_.remove(*item);
    }
}

QueueItem& PartitionQueue::add(QueueItem fresh) {
    const auto [found, inserted] = items_.emplace(fresh.id, nullptr);
    if (!inserted) return *found->second;
    found->second = std::make_unique<QueueItem>(std::move(fresh));
    QueueItem& item = *found->second;
    item.state = ItemState::storing;
    if (item.ordered()) joinLine(item);
    deadlines_.emplace(item.deadline, &item);
    if (item.recovered) arm(item);
    return item;
}

void PartitionQueue::joinLine(QueueItem& item) {
    Line& line = lines_[lineName(item)];
    QueueItem* const first = line.empty() ? nullptr : line.begin()->second;
    line[item.position] = &item;
    const bool overtaken = first != nullptr && line.begin()->second == &item;
    if (!overtaken) return;
    const bool stoppable = first->state == ItemState::waiting || first->state == ItemState::ready ||
                           first->state == ItemState::held;
    if (!stoppable) return;
    detach(*first);
    first->state = ItemState::blocked;
}

QueueItem* PartitionQueue::find(const MessageId& id) {
    const auto found = items_.find(id);
    return found == items_.end() ? nullptr : found->second.get();
}

LinePosition PartitionQueue::lastOlder(const QueueItem& item) const {
    const auto line = lines_.find(lineName(item));
    if (line == lines_.end()) return {};
    const auto own_epoch = line->second.lower_bound({item.position.epoch, 0});
    return own_epoch == line->second.begin() ? LinePosition{} : std::prev(own_epoch)->first;
}

bool PartitionQueue::isStray(const QueueItem& item) const {
    if (!item.ordered()) return false;
    const auto line = lines_.find(lineName(item));
    if (line == lines_.end()) return false;
    return std::any_of(line->second.begin(), line->second.end(), [&item](const auto& entry) {
        const QueueItem& other = *entry.second;
        return other.position.epoch > item.position.epoch && item.position > other.after;
    });
}

void PartitionQueue::stored(QueueItem& item) {
    if (item.state == ItemState::storing) arm(item);
}

void PartitionQueue::settle() {
    if (std::exchange(settled_, true)) return;
    for (auto& [id, item] : items_) {
        if (item->state == ItemState::held) arm(*item);
    }
}

bool PartitionQueue::firstOfLine(const QueueItem& item) const {
    if (!item.ordered()) return true;
    const auto line = lines_.find(lineName(item));
    return line != lines_.end() && line->second.begin()->second == &item;
}

void PartitionQueue::detach(QueueItem& item) {
    if (item.state == ItemState::ready) ready_.remove(item);
    if (item.state == ItemState::waiting) waiting_.erase({item.due, &item});
    item.grant.reset();
}

void PartitionQueue::arm(QueueItem& item) {
    if (!firstOfLine(item)) {
        item.state = ItemState::blocked;
        return;
    }
    if (item.recovered && !settled_) {
        item.state = ItemState::held;
        return;
    }
    item.state = ItemState::waiting;
    waiting_.emplace(item.due, &item);
}

void PartitionQueue::collectReady(SteadyTime now) {
    while (!waiting_.empty() && waiting_.begin()->first <= now) {
        QueueItem& item = *waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        item.state = ItemState::ready;
        ready_.add(item);
    }
}

void PartitionQueue::grant(QueueItem& item, OutstandingGrant grant) {
    detach(item);
    item.state = ItemState::granted;
    item.grant = std::move(grant);
}

void PartitionQueue::retry(QueueItem& item, SteadyTime due) {
    detach(item);
    item.due = due;
    arm(item);
}

void PartitionQueue::leaveLine(QueueItem& item) {
    if (!item.ordered()) return;
    const auto line = lines_.find(lineName(item));
    if (line == lines_.end()) return;
    const bool was_first = firstOfLine(item);
    line->second.erase(item.position);
    if (line->second.empty()) {
        lines_.erase(line);
        return;
    }
    QueueItem& next = *line->second.begin()->second;
    if (was_first && next.state == ItemState::blocked) arm(next);
}

void PartitionQueue::end(QueueItem& item, const std::function<void(QueueItem&)>& change) {
    detach(item);
    item.state = ItemState::storing;
    leaveLine(item);
    if (!item.callback_owed) {
        remove(item);
        return;
    }
    deadlines_.erase({item.deadline, &item});
    change(item);
    deadlines_.emplace(item.deadline, &item);
    item.recovered = false;
    item.retries = 0;
    arm(item);
}

void PartitionQueue::remove(QueueItem& item) {
    detach(item);
    leaveLine(item);
    deadlines_.erase({item.deadline, &item});
    items_.erase(MessageId(item.id));
}

bool PartitionQueue::grantable(const QueueItem& item, SteadyTime now) const {
    const bool free = item.state == ItemState::waiting || item.state == ItemState::ready;
    return free && item.due <= now && firstOfLine(item);
}

void PartitionQueue::update(QueueItem& item, const std::function<void(QueueItem&)>& change) {
    const bool ready = item.state == ItemState::ready;
    if (ready) ready_.remove(item);
    change(item);
    if (ready) ready_.add(item);
}

std::optional<SteadyTime> PartitionQueue::nextDue() const {
    if (waiting_.empty()) return std::nullopt;
    return waiting_.begin()->first;
}

std::vector<QueueItem*> PartitionQueue::expired(SteadyTime now) const {
    std::vector<QueueItem*> items;
    for (const auto& [deadline, item] : deadlines_) {
        if (deadline > now) break;
        items.push_back(item);
    }
    return items;
}

void PartitionQueue::forEach(const std::function<void(QueueItem&)>& visit) {
    std::vector<QueueItem*> items;
    items.reserve(items_.size());
    for (auto& [id, item] : items_) items.push_back(item.get());
    for (QueueItem* item : items) visit(*item);
}

}  // namespace amberswitch::cluster::storage
