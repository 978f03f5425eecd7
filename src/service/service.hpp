// The standing of this process towards its clients: one value with one owner. All who act on it read it here
// or are told of a change; nobody keeps a copy.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "heronmount/dispatcher.hpp"

namespace amberswitch::service {

using heronmount::Nanos;
using heronmount::Time;

enum class Standing { starting, inService, outOfService, ending };

inline const char* nameOf(Standing standing) {
    constexpr const char* kNames[] = {"starting", "in service", "out of service", "ending"};
    return kNames[static_cast<std::size_t>(standing)];
}

class Service {
public:
    using Hear = std::function<void(Time now, Standing was)>;

    Standing standing() const { return standing_; }
    Time since() const { return since_; }  // when it last changed
    bool ready() const { return standing_ == Standing::inService; }
    bool ending() const { return standing_ == Standing::ending; }
    // Another process of this dispatcher takes its clients: the dispatcher is ready though this one ends.
    bool succeeded() const { return succeeded_; }
    void succeed(Time now, bool yes) {
        if (std::exchange(succeeded_, yes) != yes) hear(now, standing_);
    }

    // Asked for twice, each is a yes and changes nothing. False where it can't be done: before the start is
    // over a drain is remembered for its end, and an end is never taken back.
    bool begin(Time now) {
        if (standing_ == Standing::starting)
            change(now, drainFirst_ ? Standing::outOfService : Standing::inService);
        return !ending();
    }
    bool outOfService(Time now) {
        drainFirst_ = true;
        if (standing_ == Standing::inService) change(now, Standing::outOfService);
        return !ending();
    }
    bool inService(Time now) {
        drainFirst_ = false;
        if (standing_ == Standing::outOfService) change(now, Standing::inService);
        return !ending();
    }
    void end(Time now) {
        if (!ending()) change(now, Standing::ending);
    }

    // Told of each change after it, of a successor's too, in the order of asking. For as long as the process
    // runs.
    void listen(Hear hear) { hears_.push_back(std::move(hear)); }

private:
    void change(Time now, Standing to) {
        const Standing was = std::exchange(standing_, to);
        since_ = now;
        hear(now, was);
    }
    void hear(Time now, Standing was) {
        for (const Hear& one : hears_) one(now, was);
    }

    Standing standing_ = Standing::starting;
    Time since_{0};
    bool drainFirst_ = false, succeeded_ = false;
    std::vector<Hear> hears_;
};

}  // namespace amberswitch::service
