// The unfinished messages of one owned partition: who may be granted, and when. Pure state; grants, limits
// and disks are elsewhere. Ordered messages form one line per order key, of which only the first may be
// granted.
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

#include "cluster/storage/queue_item.hpp"
#include "cluster/storage/ready_queues.hpp"

namespace amberswitch::cluster::storage {

class PartitionQueue {
public:
    explicit PartitionQueue(ReadyQueues& ready) : ready_(ready) {}
    ~PartitionQueue();
    PartitionQueue(const PartitionQueue&) = delete;
    PartitionQueue& operator=(const PartitionQueue&) = delete;

    // Takes a message in. Recovered ones are held until settle(); others are `storing` until stored().
    QueueItem& add(QueueItem item);
    QueueItem* find(const MessageId& id);
    // The last one of older epochs in the line of an item that is about to be added; epoch 0 if there is
    // none.
    LinePosition lastOlder(const QueueItem& item) const;
    // A message of an older epoch that stands in its line behind one of a newer epoch whose owner did not
    // know it: it was never acknowledged, and its place by accept would be wrong.
    bool isStray(const QueueItem& item) const;
    // The message is on enough disks: it may run when it is due and first of its line.
    void stored(QueueItem& item);
    // The edges have told what they run: recovered messages may be granted.
    void settle();
    // Moves all that are due to the queues of their services.
    void collectReady(SteadyTime now);
    // The message is given out; it must be waiting, ready or held.
    void grant(QueueItem& item, OutstandingGrant grant);
    // Takes the grant back; the message may be granted again from `due` on.
    void retry(QueueItem& item, SteadyTime due);
    // The message has ended: the next of its line may run. Without a call-back owed it is removed; else
    // `change` turns it into its call-back, which waits from then on.
    void end(QueueItem& item, const std::function<void(QueueItem&)>& change);
    // Removes a message altogether.
    void remove(QueueItem& item);
    // True where it may be granted now: first of its line, due, and not given out.
    bool grantable(const QueueItem& item, SteadyTime now) const;
    // Applies `change` to what the configuration tells of an item: its route, service, aim and priority.
    void update(QueueItem& item, const std::function<void(QueueItem&)>& change);

    std::optional<SteadyTime> nextDue() const;
    // Messages whose deadline has passed.
    std::vector<QueueItem*> expired(SteadyTime now) const;
    void forEach(const std::function<void(QueueItem&)>& visit);
    std::size_t size() const { return items_.size(); }

private:
    using Line = std::map<LinePosition, QueueItem*>;
    static std::string lineName(const QueueItem& item) { return item.order_scope + '\n' + item.order_key; }

    bool firstOfLine(const QueueItem& item) const;
    void joinLine(QueueItem& item);
    void detach(QueueItem& item);  // from whatever its state has put it into
    void arm(QueueItem& item);     // waiting, blocked or held, as things stand
    void leaveLine(QueueItem& item);

    ReadyQueues& ready_;
    bool settled_ = false;
    std::unordered_map<MessageId, std::unique_ptr<QueueItem>> items_;
    std::map<std::string, Line> lines_;
    std::set<std::pair<SteadyTime, QueueItem*>> waiting_;
    std::set<std::pair<SteadyTime, QueueItem*>> deadlines_;
};

}  // namespace amberswitch::cluster::storage
