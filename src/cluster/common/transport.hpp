// Request and response between the cluster's processes. Implementations: TCP (tcp_transport.hpp) and memory
// (memory_transport.hpp, for tests); both pass tests/cluster/transport_contract.hpp.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// One encoded message: its kind (messages.hpp) and the cereal-encoded body.
struct Envelope {
    std::uint16_t kind = 0;
    std::string body;
};

struct CallResult {
    CallStatus verdict = CallStatus::unknown;
    Envelope reply;  // only where verdict is answered
};

// Answers a request exactly once, now or later; dropping it without a call leaves the caller to its timeout.
using Responder = std::function<void(Envelope reply)>;
using RequestHandler = std::function<void(const Envelope& request, Responder respond)>;

class Transport {
public:
    virtual ~Transport() = default;
    // Sends a request; `done` runs exactly once on the scheduler's thread, never inside call(). A connection
    // that is refused gives not_executed at once; one that breaks or a timeout after the request was handed
    // to the network gives unknown.
    virtual void call(const NodeAddress& to, Envelope request, Millis timeout,
                      std::function<void(CallResult)> done) = 0;
    // All requests that arrive go to this handler.
    virtual void serve(RequestHandler handler) = 0;
};

}  // namespace amberswitch::cluster
