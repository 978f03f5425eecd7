// Counters of the attempts that a store has granted since it started.
#pragma once

#include <cstdint>
#include <string>

namespace amberswitch::cluster::storage {

struct GrantCounters {
    // Grants, by the way in which they were given. An adopted attempt was already running.
    std::uint64_t granted_at_accept = 0;
    std::uint64_t granted_by_push = 0;
    std::uint64_t adopted = 0;
    // Attempts whose message may be granted again, by reason.
    std::uint64_t reported_unknown = 0;
    std::uint64_t reported_not_run = 0;
    std::uint64_t reported_failed = 0;
    std::uint64_t push_refused = 0;
    std::uint64_t edge_gone = 0;        // the edge is silent, or its address refused a call
    std::uint64_t missing_at_edge = 0;  // the edge's list of running attempts lacks the attempt
    std::uint64_t expired = 0;
    // Reported ends of messages.
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    // Waiting or running messages whose service a new configuration has changed, once per change.
    std::uint64_t moved_by_configuration = 0;
    // Successes of an attempt that is not the current grant: the message may have run a second time
    // meanwhile.
    std::uint64_t successes_of_former_attempts = 0;
    // Successes reported with a stamp that differs from the first one. Violates the invariant that a message
    // succeeds once.
    std::uint64_t repeated_successes = 0;

    // Metrics text with one line per counter; names are prefixed with "grants_".
    std::string text() const;
};

}  // namespace amberswitch::cluster::storage
