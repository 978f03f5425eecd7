// Limits the rate at which a process sends bulk data, so that small urgent messages (leases, votes) find room
// on the same link.
#pragma once

#include <algorithm>
#include <cstddef>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// A token bucket. Sending is allowed while it is not empty, so one message may overdraw it; the next one then
// waits.
class SendBudget {
public:
    // `bytes_per_s` 0 means no limit.
    SendBudget(double bytes_per_s, Millis burst)
        : bytes_per_ms_(bytes_per_s / kMillisPerSecond),
          max_bytes_(bytes_per_ms_ * static_cast<double>(burst.count())),
          bytes_(max_bytes_) {}

    // Time until sending is allowed; 0 if it is allowed now.
    Millis timeUntilAvailable(SteadyTime now) {
        if (bytes_per_ms_ <= 0) return Millis(0);
        refill(now);
        if (bytes_ > 0) return Millis(0);
        return Millis(1 + static_cast<Millis::rep>(-bytes_ / bytes_per_ms_));
    }
    void spend(std::size_t bytes) { bytes_ -= static_cast<double>(bytes); }

private:
    static constexpr double kMillisPerSecond = 1000;
    static constexpr double kMicrosPerMilli = 1000;

    void refill(SteadyTime now) {
        const auto elapsed = static_cast<double>((now - refilled_at_).count()) / kMicrosPerMilli;
        bytes_ = std::min(max_bytes_, bytes_ + elapsed * bytes_per_ms_);
        refilled_at_ = now;
    }

    double bytes_per_ms_;
    double max_bytes_;
    double bytes_;
    SteadyTime refilled_at_{};
};

}  // namespace amberswitch::cluster
