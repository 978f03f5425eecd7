// The service state of this process towards its clients. It is the only copy: other parts read it here or
// subscribe to changes.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "heronmount/dispatcher.hpp"

namespace amberswitch::service {

using heronmount::Nanos;
using heronmount::Time;

enum class ServiceState { starting, inService, outOfService, ending };

inline const char* nameOf(ServiceState state) {
    constexpr const char* kNames[] = {"starting", "in service", "out of service", "ending"};
    return kNames[static_cast<std::size_t>(state)];
}

class Service {
public:
    using Listener = std::function<void(Time now, ServiceState previous)>;

    ServiceState state() const { return state_; }
    Time since() const { return since_; }  // time of the last change of the state
    bool ready() const { return state_ == ServiceState::inService; }
    bool ending() const { return state_ == ServiceState::ending; }
    // Whether another process of this dispatcher accepts its clients. The dispatcher is then ready even if
    // this process is ending.
    bool hasSuccessor() const { return hasSuccessor_; }
    void setSuccessor(Time now, bool yes) {
        if (std::exchange(hasSuccessor_, yes) != yes) notify(now, state_);
    }

    // The transitions are idempotent. They return false if the process is ending, which is final. A drain
    // that is requested during the start takes effect at its end.
    bool begin(Time now) {
        if (state_ == ServiceState::starting)
            change(now, drainAfterStart_ ? ServiceState::outOfService : ServiceState::inService);
        return !ending();
    }
    bool outOfService(Time now) {
        drainAfterStart_ = true;
        if (state_ == ServiceState::inService) change(now, ServiceState::outOfService);
        return !ending();
    }
    bool inService(Time now) {
        drainAfterStart_ = false;
        if (state_ == ServiceState::outOfService) change(now, ServiceState::inService);
        return !ending();
    }
    void end(Time now) {
        if (!ending()) change(now, ServiceState::ending);
    }

    // Subscribes to changes of the state and of hasSuccessor(). Listeners are called after each change, in
    // the order of subscription, and can't be removed.
    void subscribe(Listener listener) { listeners_.push_back(std::move(listener)); }

private:
    void change(Time now, ServiceState to) {
        const ServiceState previous = std::exchange(state_, to);
        since_ = now;
        notify(now, previous);
    }
    void notify(Time now, ServiceState previous) {
        for (const Listener& listener : listeners_) listener(now, previous);
    }

    ServiceState state_ = ServiceState::starting;
    Time since_{0};
    bool drainAfterStart_ = false, hasSuccessor_ = false;
    std::vector<Listener> listeners_;
};

}  // namespace amberswitch::service
