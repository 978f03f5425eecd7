// The time of day as one process sees it: taken once at the start and carried on by the steady clock, so that
// a step of the system's clock changes nothing while the process runs.
#pragma once

#include "cluster/common/scheduler.hpp"

namespace amberswitch::cluster::storage {

class StoreClock {
public:
    explicit StoreClock(const Scheduler& scheduler)
        : scheduler_(scheduler), started_(scheduler.now()), started_wall_ms_(scheduler.wallMillis()) {}

    SteadyTime now() const { return scheduler_.now(); }
    std::int64_t wallMillis() const {
        return started_wall_ms_ + std::chrono::duration_cast<Millis>(now() - started_).count();
    }
    // The steady time at which the time of day was or will be `wall_ms`.
    SteadyTime steadyOf(std::int64_t wall_ms) const { return now() + Millis(wall_ms - wallMillis()); }

private:
    const Scheduler& scheduler_;
    SteadyTime started_;
    std::int64_t started_wall_ms_;
};

}  // namespace amberswitch::cluster::storage
