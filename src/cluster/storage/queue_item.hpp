// One message that waits or runs at the owner of its partition.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster::storage {

// Names one attempt of one message.
struct AttemptId {
    Epoch epoch = 0;
    std::uint64_t attempt = 0;
    auto operator<=>(const AttemptId&) const = default;
};

// A grant that has been given out and not been reported yet.
struct OutstandingGrant {
    AttemptId id;
    std::string edge;
    std::string service;  // in whose limits it counts, also after the message's route has moved
    SteadyTime granted;
    SteadyTime expiry;                        // then taken as unknown
    std::optional<SteadyTime> missing_since;  // the edge's lists lack it since then
    // No owner before this one can have counted its failure: this store granted it, or its last owner told
    // so.
    bool uncounted = true;
};

// Where a message stands in the order of accepts of its partition.
struct LinePosition {
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const LinePosition&) const = default;
};

enum class ItemState : std::uint8_t {
    storing,  // not yet on enough disks
    blocked,  // an earlier message of its order key has not ended
    held,     // recovered; the edges have not told yet what they run
    waiting,  // for its due time
    ready,    // in a service's queue
    granted,
};

struct QueueItem {
    PartitionId partition = 0;
    MessageId id;
    std::string
        order_scope;  // Route::orderScope() at the accept; names its line, together with the order key
    // Where the newest configuration sends it. The service is the key of its limits; for call-backs that is
    // the receiver.
    std::string route;
    std::string service;
    std::string order_key;  // empty: unordered
    LinePosition position;
    LinePosition after;  // the last one of older epochs in its line when it was accepted
    Millis timeout{0};   // of one delivery, if the configuration does not tell
    int priority = 0;
    bool callback_owed = false;  // when it ends
    bool callback = false;       // it has ended; its call-back is what waits or runs
    std::uint32_t failures = 0;
    std::uint32_t max_failures = 1;
    std::vector<AttemptId> counted;  // attempts whose failure has been counted
    SteadyTime wanted;               // when it was first due; orders the ready ones
    SteadyTime aim_until;            // beginning later than this is late
    SteadyTime due;                  // not granted earlier
    SteadyTime deadline;             // given up then
    std::uint32_t retries = 0;       // for the backoff
    bool recovered = false;
    ItemState state = ItemState::storing;
    std::optional<OutstandingGrant> grant;
    std::set<std::string> holders;  // stores that have the content, without this one

    bool ordered() const { return !order_key.empty() && !callback; }
};

}  // namespace amberswitch::cluster::storage
