// The production Scheduler: a libevent event base that is run by one thread.
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

// Runs timers, posted work and signal handlers on an event base. Constructing one makes the process ignore
// SIGPIPE. Timers never run early, and a few milliseconds late at most. An exception thrown by a callback
// stops run(), which rethrows it. All timers and all objects that use base() must be destroyed before the
// loop.
class EventLoop : public Scheduler {
public:
    // Throws std::runtime_error if the event base cannot be created.
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
    // Makes run() return after the current callback. Call it on the loop's thread only; from other threads,
    // use post().
    void stop();
    // Waits until at least one event is ready and dispatches all that are.
    void runOnce();

    // Runs the callback on the loop's thread whenever the signal arrives. Throws std::runtime_error.
    void onSignal(int signal, std::function<void()> callback);

    // Runs `work` and stores an exception that it throws, which run() rethrows: exceptions must not propagate
    // through libevent.
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
