#include "start/turns.hpp"

#include <algorithm>

namespace amberswitch::start {

using namespace std::chrono_literals;

Pace readPace(const settings::Node& section) {
    const auto from = section.table(
        {"list_calls_per_s", "longest_round_ms", "wait_for_list_ms", "keep_file", "keep_age_s"});
    Pace out;
    out.callsPerSecond = from.number("list_calls_per_s", out.callsPerSecond, 0.1, 100'000);
    out.longest = from.milliseconds("longest_round_ms", out.longest, 0, 600'000);
    out.waitForList = from.milliseconds("wait_for_list_ms", out.waitForList, 0, 600'000);
    out.keepFile = from.text("keep_file", "");
    out.keepAge = std::chrono::seconds(from.integer("keep_age_s", std::int64_t{3600}, 1, 31'536'000));
    return out;
}

CallSchedule::CallSchedule(const Config& config, std::uint64_t seed)
    : config_(config),
      initialEstimate_(static_cast<std::int64_t>(1e9 / config.pace.callsPerSecond)),
      estimate_(initialEstimate_),
      state_(seed) {
    // The settings may leave these limits unset.
    config_.longest = std::max(config_.longest, kMaxBackoff);
    config_.maxRoundWithoutList = std::max(config_.maxRoundWithoutList, kMaxBackoff);
    if (config_.pace.longest.count() > 0)
        config_.longest = config_.maxRoundWithoutList = config_.pace.longest;
}

double CallSchedule::draw() {  // splitmix64
    std::uint64_t z = state_ += 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1p-53;
}

// Rounds to powers of two times the initial estimate, so that dispatchers with slightly different estimates
// use the same round.
Nanos CallSchedule::estimatedRound() const {
    Nanos each = initialEstimate_;
    while (each < estimate_) each *= 2;
    while (each / 2 >= estimate_) each /= 2;
    return std::max<Nanos>(each * config_.fleet, 1ms);
}

Nanos CallSchedule::round() const {
    return std::min(estimatedRound(), longest());
}

// Limits the round while there is a list, which may be outdated. A silent watch is detected kCallTimeout
// after its wait, which is kChangeKnownWithin - kWait - kCallTimeout before the change counts as known. After
// other failures, one more failed call (kConfirmationWait + kCallTimeout) and half a round may pass before a
// call is answered.
Nanos CallSchedule::maxRoundAfter(CallFailure how) const {
    if (!listed_) return longest();
    constexpr Nanos most = (kChangeKnownWithin - kConfirmationWait - kCallTimeout - kAnswerTime) * 2 / 3;
    return how == CallFailure::silent ? std::clamp<Nanos>(config_.drainGrace, 500ms, most) : most;
}

Nanos CallSchedule::watchWait() {
    if (failed_ > 0) return kConfirmationWait;
    const Nanos most = std::clamp<Nanos>(estimatedRound() * kWatchRounds, kChangeKnownWithin - 2s, kMaxWait);
    // Random variation: a fleet that got the same change would otherwise repeat its calls at the same moment.
    return most - Nanos(static_cast<std::int64_t>(0.25 * draw() * static_cast<double>(most.count())));
}

Nanos CallSchedule::answerTimeout() const {
    if (listed_) return kConfirmationWait + kCallTimeout;
    return std::min<Nanos>(std::clamp<Nanos>(round(), 2s, 6s) * (1 << std::min(timedOut_, 2u)), 8s);
}

Time CallSchedule::next(Time from, Nanos round) {
    const Nanos slot = std::max<Nanos>(round / config_.fleet, 1ns);
    const Nanos mine = slot * config_.me;
    Time at = from - from % round + mine +
              Nanos(static_cast<std::int64_t>(draw() * static_cast<double>(slot.count())));
    while (at < from) at += round;
    return last_ = at;
}

Time CallSchedule::firstTurn(Time now, bool listed) {
    listed_ = listed;
    // Limits how long an old list is used: this turn fetches what has changed since.
    const Nanos most = config_.pace.longest.count() > 0 ? longest() : longest() * 2 / 3;
    return next(now, listed ? std::min(round(), most) : round());
}

Time CallSchedule::watchTurn(Time now) {
    const Nanos round = this->round();  // as long as without a list
    listed_ = true;
    return next(std::max(now, last_ + round / 2), round);
}

Time CallSchedule::turnAfterFailure(Time now, CallFailure how, Time notBefore) {
    if (failed_++ == 0) confirmedAt_ = now;
    if (how == CallFailure::busy) estimate_ = std::min<Nanos>(estimate_ * 2, initialEstimate_ * kMaxSlowdown);
    timedOut_ = how == CallFailure::silent ? timedOut_ + 1 : 0;
    const Nanos bound = maxRoundAfter(how);
    Nanos round = std::min(this->round(), bound);
    // A small fleet would call an unreachable service many times a second: the round doubles with each failed
    // call, up to a second.
    const Nanos most = std::min(std::max(round, kMaxBackoff), bound);
    for (unsigned i = 1; i < failed_ && round < most; ++i) round = std::min(round * 2, most);
    // A Retry-After, or a clock that is set back, must not delay the call beyond kChangeKnownWithin.
    const Time latest = std::max(now + bound / 2, confirmedAt_ + kChangeKnownWithin - kAnswerTime - bound);
    if (listed_) notBefore = std::min(notBefore, latest);
    // Limits the dispatcher to one call per round.
    return next(std::max({now, notBefore, std::min(last_ + round / 2, now + bound / 2)}), round);
}

void CallSchedule::answered(Nanos took) {
    answeredAfterWait();
    // Lowers the estimate by at most a quarter of the initial one, and not below the measured duration.
    const Nanos seen = std::max(took + took / 4, kMinEstimate);
    estimate_ = seen < estimate_
                    ? std::max(seen, estimate_ / 4)
                    : std::max(estimate_ - initialEstimate_ / 4, std::min(seen, initialEstimate_));
}

}  // namespace amberswitch::start
