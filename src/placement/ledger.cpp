#include "placement/ledger.hpp"

#include <algorithm>

namespace amberswitch::placement {

std::uint32_t SpillLimiter::share(std::uint32_t jobs, Nanos span, Time now) const {
    const std::int64_t term = now / (span * kTermSpans);
    const std::uint32_t rest = jobs % fleetSize_;
    const auto hasExtraJob = [&](std::int64_t at) {
        const auto first = static_cast<std::uint32_t>((static_cast<std::uint64_t>(at) * rest) % fleetSize_);
        return (index_ + fleetSize_ - first) % fleetSize_ < rest;
    };
    // A dispatcher that gains the extra job waits for one span, unless it had it in the previous term.
    // Otherwise the last job of the old holder and the first one of the new holder could fall into the same
    // span.
    const bool waited = now - term * (span * kTermSpans) >= span || hasExtraJob(term - 1);
    return jobs / fleetSize_ + (hasExtraJob(term) && waited ? 1 : 0);
}

std::size_t SpillLimiter::spent(Time now, Nanos span) const {
    return static_cast<std::size_t>(
        std::count_if(times_.begin(), times_.end(), [&](Time at) { return at > now - span; }));
}

bool SpillLimiter::trySpend(Time now) {
    if (now - start_ < spill_.longSpan) return false;
    while (!times_.empty() && times_.front() <= now - spill_.longSpan) times_.pop_front();
    if (times_.size() >= share(spill_.longJobs, spill_.longSpan, now)) return false;
    // The short span limits bursts. A share of less than one job counts as one; then only the long span
    // limits.
    const std::uint32_t burst = std::max(1u, share(spill_.shortJobs, spill_.shortSpan, now));
    if (spent(now, spill_.shortSpan) >= burst) return false;
    times_.push_back(now);
    return true;
}

void SpillLimiter::refund(Time spent) {
    const auto at = std::find(times_.begin(), times_.end(), spent);
    if (at != times_.end()) times_.erase(at);
}

}  // namespace amberswitch::placement
