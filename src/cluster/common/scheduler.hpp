// Time and deferred work for one process. All planes run on one thread, that of their scheduler; worker
// threads hand results back through post(). The libevent implementation is the real one, the simulated one
// drives tests.
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
    virtual SteadyTime now() const = 0;           // steady clock
    virtual std::int64_t wallMillis() const = 0;  // time of day; may step
    // Runs `work` once after `delay`, unless the handle dies first.
    [[nodiscard]] virtual TimerHandle after(Millis delay, std::function<void()> work) = 0;
    // Runs `work` soon on the scheduler's thread. The only member that may be called from other threads.
    virtual void post(std::function<void()> work) = 0;
};

}  // namespace amberswitch::cluster
