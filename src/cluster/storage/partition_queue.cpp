#include "cluster/storage/partition_queue.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

namespace {

// Whether the recorded predecessor of `newer` takes messages like `older` into account. Older versions, whose
// records have an order scope, recorded the predecessor among the ordered messages of one scope.
bool recordedPredecessorCovers(const QueueItem& newer, const QueueItem& older) {
    if (newer.order_scope.empty()) return true;
    const bool both_ordered = newer.ordered_at_accept && older.ordered_at_accept;
    return both_ordered && newer.order_scope == older.order_scope;
}

}  // namespace

PartitionQueue::~PartitionQueue() {
    for (auto& [id, item] : items_) {
        if (item->state == ItemState::ready) ready_.remove(*item);
    }
}

QueueItem& PartitionQueue::add(QueueItem new_item) {
    const auto [found, inserted] = items_.emplace(new_item.id, nullptr);
    if (!inserted) return *found->second;
    found->second = std::make_unique<QueueItem>(std::move(new_item));
    QueueItem& item = *found->second;
    item.state = ItemState::storing;
    if (item.isInOrderQueue()) joinOrderQueue(item);
    deadlines_.emplace(item.deadline, &item);
    if (item.recovered) setPendingState(item);
    return item;
}

void PartitionQueue::joinOrderQueue(QueueItem& item) {
    OrderQueue& order_queue = order_queues_[item.order_key];
    QueueItem* const first = order_queue.empty() ? nullptr : order_queue.begin()->second;
    order_queue[item.position] = &item;
    const bool overtaken = first != nullptr && order_queue.begin()->second == &item;
    if (overtaken && first->ordered) block(*first);
}

void PartitionQueue::block(QueueItem& item) {
    const bool is_blockable =
        item.state == ItemState::waiting || item.state == ItemState::ready || item.state == ItemState::held;
    if (!is_blockable) return;
    detach(item);
    item.state = ItemState::blocked;
}

QueueItem* PartitionQueue::find(const MessageId& id) {
    const auto found = items_.find(id);
    return found == items_.end() ? nullptr : found->second.get();
}

OrderPosition PartitionQueue::lastOfOlderEpochs(const QueueItem& item) const {
    const auto order_queue = order_queues_.find(item.order_key);
    if (order_queue == order_queues_.end()) return {};
    const auto own_epoch = order_queue->second.lower_bound({item.position.epoch, 0});
    return own_epoch == order_queue->second.begin() ? OrderPosition{} : std::prev(own_epoch)->first;
}

bool PartitionQueue::isUnknownToNewerEpoch(const QueueItem& item) const {
    if (!item.isInOrderQueue()) return false;
    const auto order_queue = order_queues_.find(item.order_key);
    if (order_queue == order_queues_.end()) return false;
    return std::any_of(order_queue->second.begin(), order_queue->second.end(), [&item](const auto& entry) {
        const QueueItem& other = *entry.second;
        return recordedPredecessorCovers(other, item) && other.position.epoch > item.position.epoch &&
               item.position > other.predecessor;
    });
}

void PartitionQueue::markStored(QueueItem& item) {
    if (item.state == ItemState::storing) setPendingState(item);
}

void PartitionQueue::releaseRecovered() {
    if (!std::exchange(recovered_released_, true)) releaseHeld();
}

void PartitionQueue::releaseHeld() {
    for (auto& [id, item] : items_) {
        if (item->state == ItemState::held) setPendingState(*item);
    }
}

std::vector<std::string> PartitionQueue::misplacedKeys() const {
    std::vector<std::string> keys;
    for (const auto& [key, order_queue] : order_queues_) {
        const QueueItem& first = *order_queue.begin()->second;
        if (misplaced_ != nullptr && misplaced_->isMisplaced(first)) keys.push_back(key);
    }
    return keys;
}

bool PartitionQueue::isHeld(const QueueItem& item) const {
    const bool is_unclear = item.recovered && !recovered_released_;
    return is_unclear || (misplaced_ != nullptr && misplaced_->holdsBack(item));
}

bool PartitionQueue::isFirstInOrderQueue(const QueueItem& item) const {
    const auto order_queue = order_queues_.find(item.order_key);
    return order_queue != order_queues_.end() && order_queue->second.begin()->second == &item;
}

bool PartitionQueue::mustWait(const QueueItem& item) const {
    return item.isInOrderQueue() && item.ordered && !isFirstInOrderQueue(item);
}

void PartitionQueue::detach(QueueItem& item) {
    if (item.state == ItemState::ready) ready_.remove(item);
    if (item.state == ItemState::waiting) waiting_.erase({item.due, &item});
    item.grant.reset();
}

void PartitionQueue::setPendingState(QueueItem& item) {
    if (mustWait(item)) {
        item.state = ItemState::blocked;
        return;
    }
    if (isHeld(item)) {
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
    setPendingState(item);
}

void PartitionQueue::leaveOrderQueue(QueueItem& item) {
    if (!item.isInOrderQueue()) return;
    const auto order_queue = order_queues_.find(item.order_key);
    if (order_queue == order_queues_.end()) return;
    const bool was_first = isFirstInOrderQueue(item);
    order_queue->second.erase(item.position);
    if (order_queue->second.empty()) {
        order_queues_.erase(order_queue);
        return;
    }
    QueueItem& next = *order_queue->second.begin()->second;
    if (was_first && next.state == ItemState::blocked) setPendingState(next);
}

void PartitionQueue::end(QueueItem& item, const std::function<void(QueueItem&)>& change) {
    detach(item);
    item.state = ItemState::storing;
    leaveOrderQueue(item);
    if (!item.callback_owed) {
        remove(item);
        return;
    }
    deadlines_.erase({item.deadline, &item});
    change(item);
    deadlines_.emplace(item.deadline, &item);
    item.recovered = false;
    item.retries = 0;
    setPendingState(item);
}

void PartitionQueue::remove(QueueItem& item) {
    detach(item);
    leaveOrderQueue(item);
    deadlines_.erase({item.deadline, &item});
    items_.erase(MessageId(item.id));
}

bool PartitionQueue::isGrantable(const QueueItem& item, SteadyTime now) const {
    const bool is_available = item.state == ItemState::waiting || item.state == ItemState::ready;
    return is_available && item.due <= now && !mustWait(item);
}

void PartitionQueue::update(QueueItem& item, const std::function<void(QueueItem&)>& change) {
    const bool ready = item.state == ItemState::ready;
    const bool was_ordered = item.ordered;
    if (ready) ready_.remove(item);
    change(item);
    if (ready) ready_.add(item);
    if (item.ordered == was_ordered) return;
    if (mustWait(item)) {
        block(item);
    } else if (item.state == ItemState::blocked) {
        setPendingState(item);
    }
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
