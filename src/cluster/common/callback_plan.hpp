// Divides the connections that a callback receiver accepts among the dispatchers. Dispatchers and stores
// compute the plan from the number of dispatchers that they know, so they agree without exchanging messages
// once that number is stable. Has no side effects.
#pragma once

#include <cstdint>

namespace amberswitch::cluster {

struct CallbackPlan {
    bool all_send = true;       // false: only `senders` of the dispatchers, the same ones for all stores
    std::uint32_t senders = 0;  // dispatchers that send callbacks to one receiver
    std::uint32_t connections_per_sender = 1;  // from one sender to one receiver
};

// If not every dispatcher can have one connection out of half of a receiver's connections, the plan uses only
// that half. The other half is a reserve: connections of dispatchers that lost power stay open at the
// receiver for a while, beside those of the processes that replace them.
CallbackPlan planCallbacks(std::uint32_t edges);

}  // namespace amberswitch::cluster
