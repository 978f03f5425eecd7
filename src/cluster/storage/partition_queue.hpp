// The unfinished messages of one owned partition: which of them may be granted, and when. Holds state only;
// limits, edges and disks are handled elsewhere. The messages of an order key form one order queue, in which
// an ordered message may be granted only once it is the first.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/storage/misplaced_keys.hpp"
#include "cluster/storage/queue_item.hpp"
#include "cluster/storage/ready_queues.hpp"

namespace amberswitch::cluster::storage {

// Owns its items; references stay valid until the item is removed. Ready items are also listed in `ready`,
// which must outlive the queue, as `misplaced` must.
class PartitionQueue {
public:
    // `misplaced`: says which messages wait for others of their key in another partition; null: none does.
    explicit PartitionQueue(ReadyQueues& ready, const MisplacedKeys* misplaced = nullptr)
        : ready_(ready), misplaced_(misplaced) {}
    ~PartitionQueue();
    PartitionQueue(const PartitionQueue&) = delete;
    PartitionQueue& operator=(const PartitionQueue&) = delete;

    // Adds a message, or returns the item that already has its id. Recovered messages are held until
    // releaseRecovered(); others are `storing` until markStored().
    QueueItem& add(QueueItem item);
    // Null if there is no such message.
    QueueItem* find(const MessageId& id);
    // The position of the last message of an older epoch in the order queue of an item that is about to be
    // added; epoch 0 if there is none.
    OrderPosition lastOfOlderEpochs(const QueueItem& item) const;
    // Whether a message of an older epoch was unknown to the owner that accepted a message of a newer epoch
    // in the same order queue. Such a message was never acknowledged, and its accept position would be the
    // wrong place.
    bool isUnknownToNewerEpoch(const QueueItem& item) const;
    // Marks the message as held by enough disks: it may run when it is due and its order queue allows it.
    void markStored(QueueItem& item);
    // Lets recovered messages be granted, once the running attempts of the edges are known.
    void releaseRecovered();
    // Lets messages be granted that no longer wait for others of their key in another partition.
    void releaseHeld();
    // Order keys of unfinished messages that belong to another partition; each key once.
    std::vector<std::string> misplacedKeys() const;
    // Moves all messages that are due to the ready queues of their services.
    void collectReady(SteadyTime now);
    // Marks the message as granted; it must be waiting, ready or held.
    void grant(QueueItem& item, OutstandingGrant grant);
    // Removes the grant; the message may be granted again from `due` on.
    void retry(QueueItem& item, SteadyTime due);
    // Ends the message, so that the next ordered one in its order queue may run. If no call-back is owed, the
    // message is removed; otherwise `change` turns it into its call-back, which waits from then on.
    void end(QueueItem& item, const std::function<void(QueueItem&)>& change);
    // Removes the message without leaving a call-back.
    void remove(QueueItem& item);
    // Whether the message may be granted now: due, not granted, and allowed by its order queue.
    bool isGrantable(const QueueItem& item, SteadyTime now) const;
    // Applies `change` to the fields that follow from the configuration: route, service, start target,
    // priority and whether the message is ordered. Keeps the ready queues and the state consistent.
    void update(QueueItem& item, const std::function<void(QueueItem&)>& change);

    // The earliest due time of the waiting messages.
    std::optional<SteadyTime> nextDue() const;
    // Messages whose deadline has passed.
    std::vector<QueueItem*> expired(SteadyTime now) const;
    // Visits a snapshot of the items; `visit` may remove the visited item.
    void forEach(const std::function<void(QueueItem&)>& visit);
    std::size_t size() const { return items_.size(); }

private:
    using OrderQueue = std::map<OrderPosition, QueueItem*>;
    // Whether the message may not be granted yet for a reason outside its order queue.
    bool isHeld(const QueueItem& item) const;
    bool isFirstInOrderQueue(const QueueItem& item) const;
    // Whether the message is ordered and an earlier one of its order key has not ended.
    bool mustWait(const QueueItem& item) const;
    // Blocks the message unless it is granted or not stored yet.
    void block(QueueItem& item);
    void joinOrderQueue(QueueItem& item);
    void detach(QueueItem& item);           // from the container that its state implies; drops its grant
    void setPendingState(QueueItem& item);  // sets the state to waiting, blocked or held
    void leaveOrderQueue(QueueItem& item);

    ReadyQueues& ready_;
    const MisplacedKeys* misplaced_;
    bool recovered_released_ = false;
    std::unordered_map<MessageId, std::unique_ptr<QueueItem>> items_;
    std::unordered_map<std::string, OrderQueue> order_queues_;  // by order key
    std::set<std::pair<SteadyTime, QueueItem*>> waiting_;
    std::set<std::pair<SteadyTime, QueueItem*>> deadlines_;
};

}  // namespace amberswitch::cluster::storage
