// Conditions that must hold in a running process, checked where the code could violate them. A violation is
// counted and logged, and the process continues, since stopping it would lose more than the fault itself. The
// counts are exported as metrics, and every test of the service fails on a violation.
#pragma once

#include <cstdint>
#include <string>

namespace amberswitch::cluster {

enum class Invariant : std::uint8_t {
    // A call that ends with CallStatus::unknown has no response of its own among the bytes read for it.
    own_answer_is_taken,
    // Within one grant, nothing is sent again after an attempt that may have run.
    one_run_in_a_grant,
    // A granted message has not ended, or its callback is still due.
    grants_are_open,
    // A delivery goes to the service to which the newest configuration known to this process routes it.
    delivery_follows_configuration,
    // A machine that acts as leader has the highest term known to it.
    leader_has_newest_term,
    count_of_invariants,
};

// Counts and logs a violation unless `holds`; returns `holds`. Thread-safe.
bool checkInvariant(Invariant invariant, bool holds, const std::string& context);

// Number of violations since the process started: of one invariant, and of all.
std::uint64_t violationsOf(Invariant invariant);
std::uint64_t totalInvariantViolations();

// For tests that violate an invariant on purpose.
void resetInvariantViolations();

// One metrics line per invariant, with the prefix "invariant_violations_".
std::string invariantMetricsText();

}  // namespace amberswitch::cluster
