#include "placement/ledger.hpp"

#include <algorithm>

namespace amberswitch::placement {

std::uint32_t Ledger::share(std::uint32_t jobs, Nanos span, Time now) const {
    const std::int64_t term = now / (span * kSeatSpans);
    const std::uint32_t rest = jobs % fleet_;
    const auto seated = [&](std::int64_t at) {
        const auto first = static_cast<std::uint32_t>((static_cast<std::uint64_t>(at) * rest) % fleet_);
        return (me_ + fleet_ - first) % fleet_ < rest;
    };
    // Who sat a term ago goes on in the next one, else the last of the old and the first of the new one could
    // fall into one span.
    const bool waited = now - term * (span * kSeatSpans) >= span || seated(term - 1);
    return jobs / fleet_ + (seated(term) && waited ? 1 : 0);
}

std::size_t Ledger::spent(Time now, Nanos span) const {
    return static_cast<std::size_t>(
        std::count_if(times_.begin(), times_.end(), [&](Time at) { return at > now - span; }));
}

bool Ledger::spend(Time now) {
    if (now - start_ < spill_.longSpan) return false;
    while (!times_.empty() && times_.front() <= now - spill_.longSpan) times_.pop_front();
    if (times_.size() >= share(spill_.longJobs, spill_.longSpan, now)) return false;
    // The short allowance bounds bursts; where it comes to less than a job each, the long one alone does.
    const std::uint32_t burst = std::max(1u, share(spill_.shortJobs, spill_.shortSpan, now));
    if (spent(now, spill_.shortSpan) >= burst) return false;
    times_.push_back(now);
    return true;
}

void Ledger::giveBack(Time spent) {
    const auto at = std::find(times_.begin(), times_.end(), spent);
    if (at != times_.end()) times_.erase(at);
}

}  // namespace amberswitch::placement
