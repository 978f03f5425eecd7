// The planned end, from SIGTERM on. Clients go on using the connections they have for as long as those stay
// open, and another dispatcher need not be up yet: so they are served here nearly until the process may be
// killed, which is no sooner than 0.7 s after the longest deadline (taken as 3 s where it is longer).
#pragma once

#include <algorithm>

#include "settings/settings.hpp"

namespace amberswitch {

// A drain of the dispatcher, which can be taken back, goes faster: 4 s after the call no client's connection
// may rest here, or hold a job that is younger than 2 s. A quarter of a second before that, each must be
// free.
struct Drain {
    static constexpr heronmount::Nanos closeRested = std::chrono::milliseconds(1700);
    static constexpr heronmount::Nanos turnAway = std::chrono::milliseconds(1900);
    static constexpr heronmount::Nanos lookAgain = std::chrono::milliseconds(100);
};

struct HandOver {
    heronmount::Nanos turnAway;  // from then on no job is taken, and connections are closed between messages
    heronmount::Nanos giveUp;    // what is still open then is answered as given up
    heronmount::Nanos exit;      // no connection is waited for any longer: the kill is near

    static HandOver of(const settings::Site& site) {
        using namespace std::chrono_literals;
        heronmount::Nanos longest{0};
        for (const auto& klass : site.module.classes) longest = std::max(longest, klass.clientTimeout);
        const heronmount::Nanos kill = std::min<heronmount::Nanos>(longest, 3s) + 700ms;
        return {std::max<heronmount::Nanos>(700ms, kill - 900ms), kill - 150ms, kill - 60ms};
    }
};

}  // namespace amberswitch
