#include "cluster/edge/module_timers.hpp"

namespace amberswitch::cluster {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr Millis kLongDelay{500};
constexpr microseconds kShortDelayStep{5'000};
constexpr microseconds kLongDelayStep{50'000};

SteadyTime roundUp(SteadyTime time, microseconds step) {
    const microseconds since = time.time_since_epoch();
    const microseconds over = since % step;
    return over.count() == 0 ? time : time + (step - over);
}

}  // namespace

void ModuleTimers::set(std::chrono::nanoseconds delay, std::uint64_t tag) {
    const microseconds span = duration_cast<microseconds>(delay);
    const microseconds step = span >= kLongDelay ? kLongDelayStep : kShortDelayStep;
    due_.emplace(roundUp(scheduler_.now() + span, step), tag);
    arm();
}

void ModuleTimers::clear() {
    due_.clear();
    timer_.reset();
}

void ModuleTimers::arm() {
    if (due_.empty()) return timer_.reset();
    const SteadyTime next = due_.begin()->first;
    if (timer_ && armed_for_ <= next) return;
    armed_for_ = next;
    const auto wait = std::chrono::ceil<Millis>(next - scheduler_.now());
    timer_ = scheduler_.after(std::max(wait, Millis(0)), [this] { fire(); });
}

void ModuleTimers::fire() {
    timer_.reset();
    std::vector<std::uint64_t> tags;
    while (!due_.empty() && due_.begin()->first <= scheduler_.now()) {
        tags.push_back(due_.begin()->second);
        due_.erase(due_.begin());
    }
    for (const std::uint64_t tag : tags) on_fired_(tag);
    arm();
}

}  // namespace amberswitch::cluster
