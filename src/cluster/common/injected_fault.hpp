// Faults that the explorer's tests (tests/explorer) inject to show that they would be found. In the program
// isFaultInjected() is a constant false; only the tests' own build, which defines
// AMBERSWITCH_INJECTED_FAULTS, can inject a fault.
#pragma once

#include <cstdint>

namespace amberswitch::cluster {

enum class InjectedFault : std::uint8_t {
    none,
    // Register
    answers_before_sync,
    failed_sync_counts,
    accepts_below_promise,
    adopts_first_value,
    half_is_majority,
    reads_without_writing_back,
    // Voters and recovery
    votes_before_recovery,
    changes_voters_without_majority,
    // Leader lease
    lease_counted_from_answer,
    fresh_grantor_votes_at_once,
};

#ifdef AMBERSWITCH_INJECTED_FAULTS
inline InjectedFault injected_fault = InjectedFault::none;
inline bool isFaultInjected(InjectedFault fault) {
    return injected_fault == fault;
}
#else
constexpr bool isFaultInjected(InjectedFault) {
    return false;
}
#endif

}  // namespace amberswitch::cluster
