// What one dispatcher may spend of an allowance that holds for the whole fleet, without asking anyone. No
// I/O.
//
// Promised: over the fleet at most `jobs` in any span, restarts included. Each has a whole number of jobs of
// its own, the rest of the division goes to seats that move on every ten spans; who loses a seat stops at
// once, who gets one waits a span. A start begins with an empty purse: what the process before it spent is
// not known, so it spends nothing for a span.
#pragma once

#include <cstdint>
#include <deque>

#include "core/deadlines.hpp"
#include "placement/policy.hpp"

namespace amberswitch::placement {

class Ledger {
public:
    Ledger(const Spill& spill, std::uint32_t fleet, std::uint32_t me, Time start)
        : spill_(spill), fleet_(fleet), me_(me), start_(start) {}

    bool spend(Time now);                                                 // false: nothing is left
    void giveBack(Time spent);                                            // of what came to nothing
    std::uint32_t share(std::uint32_t jobs, Nanos span, Time now) const;  // in one span, as of now
    std::size_t spent(Time now, Nanos span) const;

private:
    static constexpr int kSeatSpans = 10;

    Spill spill_;
    std::uint32_t fleet_, me_;
    Time start_;
    std::deque<Time> times_;  // at most this dispatcher's share of the long span
};

}  // namespace amberswitch::placement
