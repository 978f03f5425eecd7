// Limits how many jobs one dispatcher spills to other places, as its share of a limit for the whole fleet.
// The dispatchers don't communicate. No I/O.
//
// Guarantee: the fleet spills at most `jobs` in any span, restarts included. Each dispatcher has an equal
// whole number of jobs. The remainder of the division is assigned one job each to dispatchers in rotation,
// which changes every ten spans: a dispatcher that loses its extra job stops using it immediately, one that
// gains it waits for one span. After a start nothing is spent for one span, since the spending of the
// previous process is unknown.
#pragma once

#include <cstdint>
#include <deque>

#include "core/deadlines.hpp"
#include "placement/policy.hpp"

namespace amberswitch::placement {

class SpillLimiter {
public:
    SpillLimiter(const Spill& spill, std::uint32_t fleet, std::uint32_t me, Time start)
        : spill_(spill), fleetSize_(fleet), index_(me), start_(start) {}

    bool trySpend(Time now);  // false if the allowance is used up
    void refund(Time spent);  // of a job that was not spilled after all
    // Returns this dispatcher's part of `jobs` per span, as of now.
    std::uint32_t share(std::uint32_t jobs, Nanos span, Time now) const;
    std::size_t spent(Time now, Nanos span) const;

private:
    static constexpr int kTermSpans = 10;

    Spill spill_;
    std::uint32_t fleetSize_, index_;
    Time start_;
    std::deque<Time> times_;  // of spilled jobs; at most this dispatcher's share of the long span
};

}  // namespace amberswitch::placement
