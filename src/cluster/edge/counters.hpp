// The counters of an edge, served by GET /counters on its readiness address.
#pragma once

#include <cstdint>
#include <string>

namespace amberswitch::cluster {

struct EdgeCounters {
    // Client requests by response.
    std::uint64_t accepted = 0;
    std::uint64_t no_route = 0;
    std::uint64_t bad_request = 0;
    std::uint64_t turned_away_busy = 0;  // too many submissions in progress on this edge
    std::uint64_t unavailable = 0;       // 503: certainly not stored
    std::uint64_t uncertain = 0;         // 504: possibly stored
    std::uint64_t accept_retries = 0;    // attempts at further owners
    std::uint64_t queries = 0;
    std::uint64_t queries_unanswered = 0;
    // Grants.
    std::uint64_t granted_with_accept = 0;
    std::uint64_t granted_by_push = 0;
    std::uint64_t grants_refused = 0;
    std::uint64_t grants_repeated = 0;
    // Deliveries.
    std::uint64_t sends = 0;
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t answered_not_executed = 0;
    std::uint64_t wrong_instance = 0;  // 421
    std::uint64_t unreachable = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t broken_off = 0;
    std::uint64_t no_free_connection = 0;
    std::uint64_t no_server = 0;
    // Not started: the newest configuration routes the message to another service.
    std::uint64_t misdirected = 0;
    // Call-backs.
    std::uint64_t callback_posts = 0;
    std::uint64_t callbacks_taken = 0;
    std::uint64_t callbacks_failed = 0;
    // Reports.
    std::uint64_t report_calls = 0;
    std::uint64_t results_taken = 0;
    std::uint64_t results_retried = 0;

    // One line for each counter: its name, a space, its value.
    std::string text() const;
};

}  // namespace amberswitch::cluster
