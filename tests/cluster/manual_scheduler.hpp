// A scheduler for tests of components with a thread of their own. It queues posted work and timers, and the
// test decides when they run.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "cluster/common/scheduler.hpp"

namespace amberswitch::cluster {

class ManualScheduler : public Scheduler {
public:
    SteadyTime now() const override { return SteadyTime(std::chrono::seconds(1000)); }
    std::int64_t wallMillis() const override { return 1'700'000'000'000; }
    TimerHandle after(Millis, std::function<void()> work) override {
        auto pending = std::make_shared<std::function<void()>>(std::move(work));
        timers_.push_back(pending);
        return std::make_unique<ManualTimer>(std::move(pending));
    }
    // Runs all timers that are pending now.
    void fireTimers() {
        for (const auto& timer : std::exchange(timers_, {})) {
            const auto pending = timer.lock();
            if (pending) std::exchange(*pending, nullptr)();
        }
    }
    void post(std::function<void()> work) override {
        {
            const std::lock_guard lock(mutex_);
            posted_.push_back(std::move(work));
        }
        arrived_.notify_one();
    }
    // Runs posted work until the condition holds. Returns false if none is posted for kMaxWait.
    bool runUntil(const std::function<bool()>& holds) {
        while (!holds()) {
            const std::function<void()> work = next();
            if (!work) return false;
            work();
        }
        return true;
    }
    // Runs the work that is already posted.
    void runPosted() {
        while (true) {
            std::function<void()> work;
            {
                const std::lock_guard lock(mutex_);
                if (posted_.empty()) return;
                work = std::move(posted_.front());
                posted_.pop_front();
            }
            work();
        }
    }

private:
    class ManualTimer : public Timer {
    public:
        explicit ManualTimer(std::shared_ptr<std::function<void()>> pending) : pending_(std::move(pending)) {}

    private:
        std::shared_ptr<std::function<void()>> pending_;
    };

    static constexpr std::chrono::seconds kMaxWait{20};

    std::function<void()> next() {
        std::unique_lock lock(mutex_);
        if (!arrived_.wait_for(lock, kMaxWait, [this] { return !posted_.empty(); })) return nullptr;
        std::function<void()> work = std::move(posted_.front());
        posted_.pop_front();
        return work;
    }

    std::vector<std::weak_ptr<std::function<void()>>> timers_;  // expired if destroyed or run
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<std::function<void()>> posted_;
};

}  // namespace amberswitch::cluster
