// The wall-clock time of one process: read once at the start and advanced by the steady clock, so that steps
// of the system clock have no effect while the process runs.
#pragma once

#include "cluster/common/scheduler.hpp"

namespace amberswitch::cluster::storage {

// `scheduler` must outlive the clock.
class StoreClock {
public:
    explicit StoreClock(const Scheduler& scheduler)
        : scheduler_(scheduler), started_(scheduler.now()), started_wall_ms_(scheduler.wallMillis()) {}

    SteadyTime now() const { return scheduler_.now(); }
    // Wall-clock time in milliseconds since the epoch.
    std::int64_t wallMillis() const {
        return started_wall_ms_ + std::chrono::duration_cast<Millis>(now() - started_).count();
    }
    // The steady time that corresponds to the wall-clock time `wall_ms`, past or future.
    SteadyTime steadyOf(std::int64_t wall_ms) const { return now() + Millis(wall_ms - wallMillis()); }

private:
    const Scheduler& scheduler_;
    SteadyTime started_;
    std::int64_t started_wall_ms_;
};

}  // namespace amberswitch::cluster::storage
