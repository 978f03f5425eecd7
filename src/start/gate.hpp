// Whether a start may say that it takes clients: with a list of the service in hand, or once what it has
// instead has to do.
#pragma once

#include <functional>

#include "core/deadlines.hpp"

namespace amberswitch::start {

class Gate {
public:
    // What there is without the service: nothing, a list that may be old, or servers of another source.
    enum class Has { nothing, oldList, otherSource };
    using Open = std::function<void(Time)>;

    // `mostWait` counts where there is an old list. Without anything the list is waited for however long that
    // takes: a dispatcher that has no servers can only refuse.
    Gate(Deadlines& deadlines, Nanos mostWait, Open open);

    void begin(Time now, Has has);
    void listed(Time now);  // the service gave a list, an empty one too

    bool waits() const { return begun_ && !opened_; }
    Time since() const { return since_; }  // of the wait
    const char* waitsFor() const { return has_ == Has::oldList ? "a new list" : "a list"; }

private:
    void open(Time now);

    Deadlines& deadlines_;
    Has has_ = Has::nothing;
    Nanos mostWait_;
    Open open_;
    Deadlines::Ticket due_;
    Time since_{0};
    bool begun_ = false, opened_ = false, listed_ = false;
};

}  // namespace amberswitch::start
