// Conditions that a running process must keep, checked where the code could break them. A violation is
// counted and logged, and the process goes on: stopping would lose more than the fault that it shows. Figures
// of a process tell the counts, and every test of the service fails on one.
#pragma once

#include <cstdint>
#include <string>

namespace amberswitch::cluster {

enum class Invariant : std::uint8_t {
    // A call whose end is told as unknown has no answer of its own among the bytes that were read for it.
    own_answer_is_taken,
    // Inside one grant nothing is sent again after an attempt that may have run.
    one_run_in_a_grant,
    // What is granted has not ended, or owes its call-back.
    grants_are_open,
    // A delivery goes to the service to which the newest configuration that this process knows sends it.
    delivery_follows_configuration,
    // A machine that acts as leader has the highest term that it knows of.
    leader_has_newest_term,
    count_of_invariants,
};

// Counts and logs a violation unless `holds`; returns `holds`. From any thread.
bool checkInvariant(Invariant invariant, bool holds, const std::string& context);

// Since the process began.
std::uint64_t violationsOf(Invariant invariant);
std::uint64_t invariantViolations();

// For tests that violate one on purpose.
void forgetInvariantViolations();

// One line for each invariant, its name beginning with "invariant_violations_".
std::string invariantsText();

}  // namespace amberswitch::cluster
