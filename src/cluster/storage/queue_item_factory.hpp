// Builds the queue item of a message from its stored record and the current configuration.
#pragma once

#include "cluster/common/configuration.hpp"
#include "cluster/storage/queue_item.hpp"
#include "cluster/storage/replica.hpp"

namespace amberswitch::cluster::storage {

// Time-out of a delivery if neither the configuration nor the accept sets one.
constexpr Millis kDefaultTimeout{2500};

// The key of the limits of a call-back's receiver: host and port of the URL, with a prefix.
std::string callbackDestination(const std::string& callback_url);

// The routing of a message by the current configuration. If neither field is set, there is no configuration,
// or it is older than the one of the accept and does not apply.
struct Routing {
    const Route* route = nullptr;
    bool dropped = false;  // no route matches its host and path any more
};

// Derives the fields of queue items. `status_retention` is how long a call-back is tried before it is
// abandoned.
class QueueItemFactory {
public:
    QueueItemFactory(const StoreClock& clock, Millis status_retention)
        : clock_(clock), status_retention_(status_retention) {}

    // Sets the current configuration, which is not owned and may be null.
    void configure(const Configuration* configuration) { configuration_ = configuration; }
    // `content` may lack its body. The message must be live.
    QueueItem make(PartitionId partition, const MessageContent& content, const StoredMessage& message) const;
    // Turns the item of an ended message into the item of its call-back.
    void turnIntoCallback(QueueItem& item, const std::string& callback_url) const;
    // How long after its due time a message of the route may begin and still be in time.
    Millis scheduleTargetOf(const std::string& route) const;
    // Time-out of one delivery of the item.
    Millis timeoutOf(const QueueItem& item) const;
    // Number of 500 answers that end the message.
    std::uint32_t maxFailuresOf(const QueueItem& item) const;
    int priorityOf(const std::string& route) const;
    // Matches host and path as for a new request.
    Routing routingOf(const MessageContent& content) const;
    // Sets the fields of the item that follow from the route.
    void applyRoute(QueueItem& item, const Route& route) const;
    // The generation of the newest configuration that a grant of the message depends on.
    std::int64_t generationFor(const MessageContent& content) const;

private:
    // `route`: by the current configuration; null if there is none.
    static bool isOrdered(const QueueItem& item, const Route* route);

    const StoreClock& clock_;
    const Millis status_retention_;
    const Configuration* configuration_ = nullptr;
};

}  // namespace amberswitch::cluster::storage
