// The one sorted structure that holds every deadline of the process. It is swept once a turn.
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
    // Holds one deadline. Letting go of it, or arming it anew, takes the old one out.
    class Ticket {
    public:
        Ticket() = default;
        Ticket(const Ticket&) = delete;
        Ticket& operator=(const Ticket&) = delete;
        ~Ticket() { disarm(); }
        bool armed() const { return owner_ != nullptr; }
        void disarm() {
            if (owner_) std::exchange(owner_, nullptr)->sorted_.erase(at_);
        }
        void arm(Deadlines& owner, Time at, Action action) {
            disarm();
            at_ = owner.sorted_.emplace(at, [this, action = std::move(action)](Time now) {
                owner_ = nullptr;  // it is out of the structure by now
                action(now);
            });
            owner_ = &owner;
        }

    private:
        Deadlines* owner_ = nullptr;
        Sorted::iterator at_;
    };

    // A deadline nobody takes back.
    void once(Time at, Action action) { sorted_.emplace(at, std::move(action)); }

    std::optional<Time> head() const {
        if (sorted_.empty()) return std::nullopt;
        return sorted_.begin()->first;
    }

    // Carries out what is due. What is armed meanwhile waits for the next turn unless it was due already
    // when this sweep began, so a sweep always ends.
    void sweep(Time now) {
        std::size_t most = sorted_.size();
        while (most-- > 0 && !sorted_.empty() && sorted_.begin()->first <= now) {
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
