// Clocks, timers and deferred work of one process. All planes run on a single thread, the scheduler's thread;
// worker threads pass their results to it through post(). EventLoop (libevent) is the production
// implementation; tests use simulated ones.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// Owns a pending timer: destroying or resetting it cancels the timer.
class Timer {
public:
    virtual ~Timer() = default;
};
using TimerHandle = std::unique_ptr<Timer>;

class Scheduler {
public:
    virtual ~Scheduler() = default;
    virtual SteadyTime now() const = 0;  // monotonic clock
    // Milliseconds since the Unix epoch. May jump forwards or backwards.
    virtual std::int64_t wallMillis() const = 0;
    // Runs `work` once after `delay`, unless the handle is destroyed first.
    [[nodiscard]] virtual TimerHandle after(Millis delay, std::function<void()> work) = 0;
    // Queues `work` to run on the scheduler's thread. The only member that may be called from other threads.
    virtual void post(std::function<void()> work) = 0;
};

}  // namespace amberswitch::cluster
