// The timer queue of the process: all deadlines in one sorted map. The event loop calls sweep() once per
// turn.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "heronmount/dispatcher.hpp"

namespace amberswitch {

using heronmount::Nanos;
using heronmount::Time;

class Deadlines {
public:
    using Action = std::function<void(Time)>;

private:
    using Sorted = std::multimap<Time, Action>;

public:
    // Owns at most one pending deadline. Destroying or rearming the timer cancels it. The queue must outlive
    // it.
    class Timer {
    public:
        Timer() = default;
        Timer(const Timer&) = delete;
        Timer& operator=(const Timer&) = delete;
        ~Timer() { disarm(); }
        bool armed() const { return owner_ != nullptr; }
        void disarm() {
            if (owner_) std::exchange(owner_, nullptr)->sorted_.erase(at_);
        }
        void arm(Deadlines& owner, Time at, Action action) {
            disarm();
            at_ = owner.sorted_.emplace(at, [this, action = std::move(action)](Time now) {
                owner_ = nullptr;  // sweep() has already removed it
                action(now);
            });
            owner_ = &owner;
        }

    private:
        Deadlines* owner_ = nullptr;
        Sorted::iterator at_;
    };

    // Adds a deadline that can't be cancelled.
    void once(Time at, Action action) { sorted_.emplace(at, std::move(action)); }

    std::optional<Time> earliest() const {
        if (sorted_.empty()) return std::nullopt;
        return sorted_.begin()->first;
    }

    // Runs the actions that are due, at most as many as were pending when the sweep began, so a sweep always
    // ends even if actions add deadlines that are already due.
    void sweep(Time now) {
        std::size_t remaining = sorted_.size();
        while (remaining-- > 0 && !sorted_.empty() && sorted_.begin()->first <= now) {
            const Action action = std::move(sorted_.begin()->second);
            sorted_.erase(sorted_.begin());
            action(now);
        }
    }

    std::size_t size() const { return sorted_.size(); }

private:
    Sorted sorted_;
};

}  // namespace amberswitch
