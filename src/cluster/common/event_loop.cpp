#include "cluster/common/event_loop.hpp"

#include <event2/event_struct.h>
#include <event2/thread.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <stdexcept>
#include <string>
#include <utility>

namespace amberswitch::cluster {

namespace {

// Bounds the callbacks between two polls, so that work that posts more work does not delay socket events.
constexpr int kCallbacksBetweenPolls = 1000;

using Micros = std::chrono::microseconds;

timeval toTimeval(Micros span) {
    constexpr std::int64_t kMicrosPerSecond = 1'000'000;
    timeval value{};
    value.tv_sec = span.count() / kMicrosPerSecond;
    value.tv_usec = span.count() % kMicrosPerSecond;
    return value;
}

EventBaseHandle createEventBase() {
    evthread_use_pthreads();
    const std::unique_ptr<event_config, void (*)(event_config*)> config(event_config_new(),
                                                                        event_config_free);
    if (!config) throw std::runtime_error("event loop: out of memory for the event configuration");
    // Saves a system call whenever an event is removed and added again within one loop iteration. Requires
    // that no file descriptor registered with the base is ever duplicated.
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_config_set_max_dispatch_interval(config.get(), nullptr, kCallbacksBetweenPolls, 0);
    EventBaseHandle base(event_base_new_with_config(config.get()));
    if (!base) throw std::runtime_error("event loop: could not create the event base");
    return base;
}

// A pending timer. libevent's clock is coarse and cached during a loop iteration, so the event may fire
// before the timer is due; it is then armed again for the remaining time.
class LoopTimer : public Timer {
public:
    LoopTimer(EventLoop& loop, Millis delay, std::function<void()> work)
        : loop_(loop), due_(loop.now() + std::max(delay, Millis(0))), work_(std::move(work)) {
        event_assign(&event_, loop.base(), -1, 0, &LoopTimer::onEvent, this);
        arm(due_ - loop.now());
    }
    ~LoopTimer() override { event_del(&event_); }

private:
    static void onEvent(evutil_socket_t, short, void* self) { static_cast<LoopTimer*>(self)->fire(); }

    void arm(Micros span) {
        const timeval delay = toTimeval(std::max(span, Micros(0)));
        event_add(&event_, &delay);
    }

    void fire() {
        const Micros remaining = due_ - loop_.now();
        if (remaining > Micros(0)) return arm(remaining);
        EventLoop& loop = loop_;
        // A local copy, because the work may destroy this timer.
        const std::function<void()> work = std::move(work_);
        loop.guard(work);
    }

    EventLoop& loop_;
    SteadyTime due_;
    std::function<void()> work_;
    event event_{};
};

}  // namespace

struct EventLoop::SignalHandler {
    EventLoop& loop;
    std::function<void()> callback;
    EventHandle handle;

    static void onEvent(evutil_socket_t, short, void* self) {
        const auto* handler = static_cast<SignalHandler*>(self);
        handler->loop.guard(handler->callback);
    }
};

EventLoop::EventLoop() : base_(createEventBase()) {
    std::signal(SIGPIPE, SIG_IGN);
    posted_event_.reset(event_new(base_.get(), -1, 0, &EventLoop::onPosted, this));
    if (!posted_event_) throw std::runtime_error("event loop: could not create the event for posted work");
}

EventLoop::~EventLoop() = default;

SteadyTime EventLoop::now() const {
    return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

std::int64_t EventLoop::wallMillis() const {
    constexpr std::int64_t kMillisPerSecond = 1'000;
    constexpr std::int64_t kNanosPerMilli = 1'000'000;
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return time.tv_sec * kMillisPerSecond + time.tv_nsec / kNanosPerMilli;
}

TimerHandle EventLoop::after(Millis delay, std::function<void()> work) {
    return std::make_unique<LoopTimer>(*this, delay, std::move(work));
}

void EventLoop::post(std::function<void()> work) {
    bool first = false;
    {
        const std::lock_guard lock(posted_mutex_);
        first = posted_.empty();
        posted_.push_back(std::move(work));
    }
    if (first) event_active(posted_event_.get(), EV_TIMEOUT, 0);
}

void EventLoop::run() {
    event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
    rethrowPending();
}

void EventLoop::runOnce() {
    event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    rethrowPending();
}

void EventLoop::stop() {
    event_base_loopbreak(base_.get());
}

void EventLoop::onSignal(int signal, std::function<void()> callback) {
    auto handler = std::make_unique<SignalHandler>(SignalHandler{*this, std::move(callback), nullptr});
    handler->handle.reset(evsignal_new(base_.get(), signal, &SignalHandler::onEvent, handler.get()));
    if (!handler->handle || event_add(handler->handle.get(), nullptr) != 0) {
        throw std::runtime_error("event loop: signal " + std::to_string(signal) +
                                 ": could not install the handler");
    }
    signal_handlers_.push_back(std::move(handler));
}

void EventLoop::storeException(const std::exception_ptr& exception) {
    if (!pending_exception_) pending_exception_ = exception;
    stop();
}

void EventLoop::onPosted(evutil_socket_t, short, void* self) {
    static_cast<EventLoop*>(self)->runPosted();
}

void EventLoop::runPosted() {
    std::vector<std::function<void()>> due;
    {
        const std::lock_guard lock(posted_mutex_);
        due.swap(posted_);
    }
    for (const auto& work : due) guard(work);
}

void EventLoop::rethrowPending() {
    if (pending_exception_) std::rethrow_exception(std::exchange(pending_exception_, nullptr));
}

}  // namespace amberswitch::cluster
