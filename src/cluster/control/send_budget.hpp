// Bounds the bytes that a process sends on purpose in one stretch, so that what is small and urgent (leases,
// votes) finds room on the same link.
#pragma once

#include <algorithm>
#include <cstddef>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// A token bucket. More may be sent while it is not empty, so one answer may exceed it; the next one waits.
class SendBudget {
public:
    // `bytes_per_s` 0: no bound.
    SendBudget(double bytes_per_s, Millis burst)
        : bytes_per_ms_(bytes_per_s / kMillisPerSecond),
          most_bytes_(bytes_per_ms_ * static_cast<double>(burst.count())),
          bytes_(most_bytes_) {}

    // Until there is room; 0 where there is now.
    Millis waitAt(SteadyTime now) {
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
        const auto passed = static_cast<double>((now - filled_at_).count()) / kMicrosPerMilli;
        bytes_ = std::min(most_bytes_, bytes_ + passed * bytes_per_ms_);
        filled_at_ = now;
    }

    double bytes_per_ms_;
    double most_bytes_;
    double bytes_;
    SteadyTime filled_at_{};
};

}  // namespace amberswitch::cluster
