// The queue entry of one message that waits or runs at the owner of its partition.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster::storage {

// Identifies one attempt of a message.
struct AttemptId {
    Epoch epoch = 0;
    std::uint64_t attempt = 0;
    auto operator<=>(const AttemptId&) const = default;
};

// A grant whose outcome has not been reported yet.
struct OutstandingGrant {
    AttemptId id;
    std::string edge;
    std::string service;  // whose limits count it, even after the message's route has changed
    SteadyTime granted_at;
    SteadyTime expiry;                        // the outcome counts as unknown from then on
    std::optional<SteadyTime> missing_since;  // since when the edge's lists lack the attempt
    // No previous owner can have counted the attempt's failure: this store granted it, or the last owner
    // reported it as running and so has counted no failure of it.
    bool failure_uncounted = true;
};

// Position of a message in the accept order of its partition.
struct OrderPosition {
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const OrderPosition&) const = default;
};

enum class ItemState : std::uint8_t {
    storing,  // not yet on enough disks
    blocked,  // an earlier message of its order key has not ended
    held,  // recovered, and the running attempts of the edges are not yet known; or behind misplaced messages
    waiting,  // until its due time
    ready,    // in the ready queue of its service
    granted,
};

struct QueueItem {
    PartitionId partition = 0;
    MessageId id;
    std::string order_scope;  // of a record of an older version; empty otherwise
    // Route and service by the newest configuration. The service is the key of the limits; for call-backs it
    // identifies the receiver.
    std::string route;
    std::string service;
    std::string order_key;           // identifies the order queue; empty: none
    bool ordered_at_accept = false;  // its route was `ordered` then; an order once promised is kept
    // Begins only after all earlier messages of its order key have ended: its route is `ordered`, or was at
    // the accept. Any message with an order key makes later ordered ones wait.
    bool ordered = false;
    OrderPosition position;
    OrderPosition predecessor;  // last message of older epochs in its order queue at the accept
    Millis timeout{0};          // of one delivery, if the configuration sets none
    int priority = 0;
    bool callback_owed = false;  // a call-back must follow the end
    bool callback = false;       // the message has ended; its call-back waits or runs
    std::uint32_t failures = 0;
    std::uint32_t max_failures = 1;
    std::vector<AttemptId> counted_failures;  // attempts whose failure has been counted
    SteadyTime first_due;                     // orders the ready queues; retries do not change it
    SteadyTime start_target;                  // a run that begins later is late
    SteadyTime due;                           // earliest time of the next grant
    SteadyTime deadline;                      // the message or call-back expires then
    std::uint32_t retries = 0;                // for the backoff
    bool recovered = false;
    ItemState state = ItemState::storing;
    std::optional<OutstandingGrant> grant;
    std::set<std::string> holders;  // other stores that have the content

    bool isInOrderQueue() const { return !order_key.empty() && !callback; }
};

}  // namespace amberswitch::cluster::storage
