// Interface for remote procedure calls between the processes of the cluster. Implementations: TCP
// (tcp_transport.hpp) and in-memory for tests (tests/cluster/simulation.hpp). Both pass the contract tests in
// tests/cluster/transport_contract.hpp.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// An encoded message: its kind (messages.hpp) and its cereal-encoded body.
struct Envelope {
    std::uint16_t kind = 0;
    std::string body;
};

// The result of Transport::call().
struct CallResult {
    CallStatus verdict = CallStatus::unknown;
    Envelope reply;  // set only if verdict is answered
};

// Sends the reply to a request. Call it at most once, during or after the handler. If it is never called, the
// call times out at the caller.
using Responder = std::function<void(Envelope reply)>;
using RequestHandler = std::function<void(const Envelope& request, Responder respond)>;

class Transport {
public:
    virtual ~Transport() = default;
    // Sends a request. `done` runs exactly once, on the scheduler's thread and never inside call(). A refused
    // connection gives not_executed at once. A connection that breaks, or a timeout, after the request was
    // handed to the network gives unknown.
    virtual void call(const NodeAddress& to, Envelope request, Millis timeout,
                      std::function<void(CallResult)> done) = 0;
    // Sets the handler of all incoming requests.
    virtual void serve(RequestHandler handler) = 0;
};

}  // namespace amberswitch::cluster
