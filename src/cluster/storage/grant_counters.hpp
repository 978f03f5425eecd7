// What a store counts of the attempts that it grants, since its start.
#pragma once

#include <cstdint>
#include <string>

namespace amberswitch::cluster::storage {

struct GrantCounters {
    // Grants, by how they were given. An adopted one was running already.
    std::uint64_t granted_at_accept = 0;
    std::uint64_t granted_by_push = 0;
    std::uint64_t adopted = 0;
    // Attempts whose message may be granted again, by why.
    std::uint64_t reported_unknown = 0;
    std::uint64_t reported_not_run = 0;
    std::uint64_t reported_failed = 0;
    std::uint64_t push_refused = 0;
    std::uint64_t edge_gone = 0;        // silent, or its address refused a call
    std::uint64_t missing_at_edge = 0;  // its lists lack the attempt
    std::uint64_t expired = 0;
    // Ends of messages.
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    // Messages that wait or run whose service another configuration has changed, once for each change.
    std::uint64_t moved_by_configuration = 0;
    // A success of an attempt that is not the granted one: the message may have run a second time meanwhile.
    std::uint64_t successes_of_former_attempts = 0;
    // Invariant: a message succeeds once. Successes that were reported with another stamp than the first one.
    std::uint64_t repeated_successes = 0;

    // One line for each counter, its name beginning with "grants_".
    std::string text() const;
};

}  // namespace amberswitch::cluster::storage
