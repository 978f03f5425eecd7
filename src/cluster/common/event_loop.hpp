// The scheduler of a real process: one libevent event base, run by one thread.
#pragma once

#include <event2/event.h>

#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "cluster/common/scheduler.hpp"

namespace amberswitch::cluster {

struct EventBaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
};
struct EventDeleter {
    void operator()(event* handle) const { event_free(handle); }
};
using EventBaseHandle = std::unique_ptr<event_base, EventBaseDeleter>;
using EventHandle = std::unique_ptr<event, EventDeleter>;

// Timers, posted work and signals on an event base. The process ignores SIGPIPE from then on. Timers run a
// few milliseconds late at most, never early. An exception that leaves a callback ends run() and is thrown
// from it. All timers and everything built on base() must be destroyed before the loop.
class EventLoop : public Scheduler {
public:
    // Throws std::runtime_error if the event base cannot be made.
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    SteadyTime now() const override;
    std::int64_t wallMillis() const override;
    [[nodiscard]] TimerHandle after(Millis delay, std::function<void()> work) override;
    void post(std::function<void()> work) override;

    // Dispatches events until stop() is called.
    void run();
    // Makes run() return after the callback that runs now. On the loop's thread only; use post() from others.
    void stop();
    // Waits for events once and dispatches those that are ready.
    void runOnce();

    // Runs the callback on the loop whenever the signal arrives.
    void onSignal(int signal, std::function<void()> callback);

    // Runs `work` and keeps an exception that it throws for run(): callbacks of libevent must not throw.
    template <class Work>
    void guard(const Work& work) {
        try {
            work();
        } catch (...) {
            storeException(std::current_exception());
        }
    }

    event_base* base() const { return base_.get(); }

private:
    struct SignalHandler;

    static void onPosted(evutil_socket_t, short, void* self);
    void runPosted();
    void storeException(const std::exception_ptr& exception);
    void rethrowPending();

    EventBaseHandle base_;
    EventHandle posted_event_;
    std::vector<std::unique_ptr<SignalHandler>> signal_handlers_;
    std::exception_ptr pending_exception_;
    std::mutex posted_mutex_;
    std::vector<std::function<void()>> posted_;
};

}  // namespace amberswitch::cluster
