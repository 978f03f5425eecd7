// Decides when a starting process reports itself ready: after the first list from the list service, or
// earlier if it has another source of servers or has waited long enough with an old list.
#pragma once

#include <functional>

#include "core/deadlines.hpp"

namespace amberswitch::start {

class Gate {
public:
    // What is known without the list service: nothing, a list that may be outdated, or servers of another
    // source.
    enum class Has { nothing, oldList, otherSource };
    using Open = std::function<void(Time)>;

    // `maxWait` applies if there is an old list. Without any list the wait is unlimited, since a dispatcher
    // without servers can only refuse jobs. `open` is called once. `deadlines` must outlive the gate.
    Gate(Deadlines& deadlines, Nanos maxWait, Open open);

    void begin(Time now, Has has);
    void listed(Time now);  // the list service returned a list, possibly empty

    bool waits() const { return begun_ && !opened_; }
    Time since() const { return since_; }  // start of the wait
    const char* waitsFor() const { return has_ == Has::oldList ? "a new list" : "a list"; }

private:
    void open(Time now);

    Deadlines& deadlines_;
    Has has_ = Has::nothing;
    Nanos maxWait_;
    Open open_;
    Deadlines::Timer due_;
    Time since_{0};
    bool begun_ = false, opened_ = false, listed_ = false;
};

}  // namespace amberswitch::start
