// The schedule of a graceful shutdown, from SIGTERM on. Clients keep using their open connections, and
// another dispatcher may not be up yet, so jobs are accepted until shortly before the process may be killed.
// The kill comes no sooner than 0.7 s after the longest client deadline (taken as 3 s where it is longer).
#pragma once

#include <algorithm>

#include "settings/settings.hpp"

namespace amberswitch {

// The schedule of a drain, which can be reverted and is shorter: 4 s after the call, no client connection may
// be idle here or carry a job that is younger than 2 s. Each must be free a quarter of a second before that.
struct DrainSchedule {
    static constexpr heronmount::Nanos closeIdle = std::chrono::milliseconds(1700);
    static constexpr heronmount::Nanos rejectJobs = std::chrono::milliseconds(1900);
    static constexpr heronmount::Nanos recheckInterval = std::chrono::milliseconds(100);
};

struct ShutdownSchedule {
    heronmount::Nanos rejectJobs;  // from then on jobs are rejected and connections closed between messages
    heronmount::Nanos giveUp;      // open transactions are answered as refused or failed
    heronmount::Nanos exit;        // the process exits without waiting for connections: the kill is imminent

    static ShutdownSchedule of(const settings::Site& site) {
        using namespace std::chrono_literals;
        heronmount::Nanos longest{0};
        for (const auto& klass : site.module.classes) longest = std::max(longest, klass.clientTimeout);
        const heronmount::Nanos kill = std::min<heronmount::Nanos>(longest, 3s) + 700ms;
        return {std::max<heronmount::Nanos>(700ms, kill - 900ms), kill - 150ms, kill - 60ms};
    }
};

}  // namespace amberswitch
