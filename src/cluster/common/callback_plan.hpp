// How the dispatchers together keep within the connections that a receiver of call-backs takes. Dispatchers
// and stores compute it from the number of dispatchers that they know, so they agree once that has settled;
// no messages are needed. Pure logic.
#pragma once

#include <cstdint>

namespace amberswitch::cluster {

struct CallbackPlan {
    bool all_send = true;                // else `senders` of all dispatchers, the same ones for all stores
    std::uint32_t senders = 0;           // that tell one receiver
    std::uint32_t connections_each = 1;  // of one sender to one receiver
};

// Half of a receiver's connections are planned with where not all dispatchers can have one of that half:
// connections of dispatchers that lost power stand at the receiver for a while, beside those of the processes
// that follow them.
CallbackPlan planCallbacks(std::uint32_t edges);

}  // namespace amberswitch::cluster
