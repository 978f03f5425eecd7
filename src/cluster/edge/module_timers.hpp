// Runs the timers of one decision module on a single scheduler timer. Due times are rounded up so that the
// timers of many requests share a wake-up.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "cluster/common/scheduler.hpp"

namespace amberswitch::cluster {

class ModuleTimers {
public:
    using FiredHandler = std::function<void(std::uint64_t tag)>;

    ModuleTimers(Scheduler& scheduler, FiredHandler on_fired)
        : scheduler_(scheduler), on_fired_(std::move(on_fired)) {}

    void set(std::chrono::nanoseconds delay, std::uint64_t tag);
    void clear();

private:
    void arm();
    void fire();

    Scheduler& scheduler_;
    FiredHandler on_fired_;
    std::multimap<SteadyTime, std::uint64_t> due_;
    TimerHandle timer_;
    SteadyTime armed_for_{};
};

}  // namespace amberswitch::cluster
