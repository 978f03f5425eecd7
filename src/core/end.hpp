// The ways in which a connection, or the proxy pass that it carries, can end.
#pragma once

#include <cstddef>

#include "heronmount/dispatcher.hpp"

namespace amberswitch {

enum class End {
    served,           // the application server returned a result
    failed,           // it reported a failed job, or its answer is neither success nor rejection
    handedBack,       // it rejected the job or returned it unstarted
    connectRefused,   // the connection attempt failed
    connectTimedOut,  // the connection attempt timed out
    brokeUnsent,      // the connection broke before the last byte was written
    brokeSent,        // it broke after that and before the job was accepted
    staleUnsent,      // a reused connection broke before the last byte was written
    staleSent,        // it broke after that and before the job was accepted
    wentAway,         // the server closed the connection and stated that it did not process the job
    lost,             // the job was accepted, then killed, or its server disappeared
    timedOut,         // no result arrived before the deadline of the pass
    withdrawn,        // this side cancelled the pass
    unsent,           // the pass was never started: a rule forbids it
    peerClosed,       // the peer closed a connection that carried no pass
    peerReset,        // the peer reset it
    idle,             // closed after the idle timeout
    silent,           // the peer stopped in the middle of a message
    malformed,        // the peer violated the protocol
    oversized,        // a header or body exceeds the size limit
    shutDown,         // this process is shutting down
};
constexpr std::size_t kEnds = static_cast<std::size_t>(End::shutDown) + 1;

inline const char* nameOf(End end) {
    constexpr const char* kNames[kEnds] = {
        "served",       "failed",     "handed_back",  "connect_refused", "connect_timed_out",
        "broke_unsent", "broke_sent", "stale_unsent", "stale_sent",      "went_away",
        "lost",         "timed_out",  "withdrawn",    "unsent",          "peer_closed",
        "peer_reset",   "idle",       "silent",       "malformed",       "oversized",
        "shut_down"};
    return kNames[static_cast<std::size_t>(end)];
}

// Maps an end to the outcome that is reported to the dispatcher. Ends of connections without a pass are never
// reported; they map to `reset` so that a pass which meets one counts as one that may have run.
inline heronmount::Outcome outcomeOf(End end) {
    using heronmount::Outcome;
    switch (end) {
        case End::served:
            return Outcome::ok;
        case End::failed:
            return Outcome::error;
        case End::handedBack:
            return Outcome::full;
        case End::connectRefused:
        case End::connectTimedOut:
        case End::brokeUnsent:
            return Outcome::connectFailed;
        case End::timedOut:
            return Outcome::timeout;
        case End::withdrawn:
            return Outcome::cancelled;
        case End::unsent:
        case End::staleUnsent:
        case End::wentAway:
            return Outcome::notExecuted;
        case End::staleSent:
            return Outcome::staleConnection;
        case End::brokeSent:
        case End::lost:
        case End::peerClosed:
        case End::peerReset:
        case End::idle:
        case End::silent:
        case End::malformed:
        case End::oversized:
        case End::shutDown:
            break;
    }
    return Outcome::reset;
}

inline bool provesNeverRan(End end) {
    const auto outcome = outcomeOf(end);
    return outcome == heronmount::Outcome::full || outcome == heronmount::Outcome::connectFailed ||
           outcome == heronmount::Outcome::notExecuted;
}

}  // namespace amberswitch
