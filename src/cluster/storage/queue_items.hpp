// Makes the queue's entry of a message from its record and the configuration in force.
#pragma once

#include "cluster/common/configuration.hpp"
#include "cluster/storage/queue_item.hpp"
#include "cluster/storage/replica.hpp"

namespace amberswitch::cluster::storage {

// A delivery takes this long if neither configuration nor accept tell.
constexpr Millis kDefaultTimeout{2500};

// The key of the limits of a call-back's receiver: its host and port.
std::string callbackDestination(const std::string& callback_url);

// What the configuration in force says of a message. Neither: it is older than the one of the accept and says
// nothing.
struct Routing {
    const Route* route = nullptr;
    bool dropped = false;  // no route takes its host and path any more
};

class QueueItemFactory {
public:
    QueueItemFactory(const StoreClock& clock, Millis status_kept)
        : clock_(clock), status_kept_(status_kept) {}

    void configure(const Configuration* configuration) { configuration_ = configuration; }
    // `content` may lack its body. The message must be live.
    QueueItem make(PartitionId partition, const MessageContent& content, const StoredMessage& message) const;
    // Changes what differs for the call-back of an ended message.
    void turnIntoCallback(QueueItem& item, const std::string& callback_url) const;
    // Of one delivery of that item.
    // How long after it is due a message of the route may begin and still be in time.
    Millis aimOf(const std::string& route) const;
    Millis timeoutOf(const QueueItem& item) const;
    // Answers of 500 that end the item.
    std::uint32_t maxFailuresOf(const QueueItem& item) const;
    int priorityOf(const std::string& route) const;
    // By host and path, as for a request that came now.
    Routing routingOf(const MessageContent& content) const;
    // Sends the item where the route leads.
    void follow(QueueItem& item, const Route& route) const;
    // The newest configuration on which a grant of that message rests.
    std::int64_t generationFor(const MessageContent& content) const;

private:
    const StoreClock& clock_;
    const Millis status_kept_;
    const Configuration* configuration_ = nullptr;
};

}  // namespace amberswitch::cluster::storage
