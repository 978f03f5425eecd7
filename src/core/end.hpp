// Every way in which a connection, or the proxy pass it carries, can end.
#pragma once

#include <cstddef>

#include "heronmount/dispatcher.hpp"

namespace amberswitch {

enum class End {
    served,           // the application server gave a result
    failed,           // it said that the job failed, or answered something that is neither yes nor no
    handedBack,       // it turned the job away or gave it back unstarted
    connectRefused,   // no connection could be made
    connectTimedOut,  // none came up in time
    brokeUnsent,      // the connection broke before the last byte was written
    brokeSent,        // it broke after that and before the job was taken
    staleUnsent,      // a connection kept from earlier broke before the last byte was written
    staleSent,        // it broke after that and before the job was taken
    wentAway,         // the server ends this connection and says that it did nothing with the job
    lost,             // the job was taken, then killed, or its server went away
    timedOut,         // nothing came until the pass was due
    withdrawn,        // this side called the pass off
    unsent,           // the pass was never begun: it would have broken a rule
    peerClosed,       // the other side closed a connection that carried nothing
    peerReset,        // the other side broke it
    idle,             // unused for too long
    silent,           // a half message and then nothing
    malformed,        // what came is not the protocol
    oversized,        // a head or a body over the bound
    shutDown,         // this process ends
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

// The one place where an end becomes what the module is told. A connection that carried no pass is never
// told; its ends stand here so that a pass which meets one counts as one that may have run.
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
