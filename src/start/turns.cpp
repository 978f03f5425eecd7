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

Turns::Turns(const Terms& terms, std::uint64_t seed)
    : terms_(terms),
      first_(static_cast<std::int64_t>(1e9 / terms.pace.callsPerSecond)),
      each_(first_),
      state_(seed) {
    // Guards against settings that say nothing of it.
    terms_.longest = std::max(terms_.longest, kAlone);
    terms_.longestWithout = std::max(terms_.longestWithout, kAlone);
    if (terms_.pace.longest.count() > 0) terms_.longest = terms_.longestWithout = terms_.pace.longest;
}

double Turns::draw() {  // splitmix64
    std::uint64_t z = state_ += 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1p-53;
}

// In steps of two: dispatchers whose beliefs differ a little have the same round.
Nanos Turns::believed() const {
    Nanos each = first_;
    while (each < each_) each *= 2;
    while (each / 2 >= each_) each /= 2;
    return std::max<Nanos>(each * terms_.fleet, 1ms);
}

Nanos Turns::round() const {
    return std::min(believed(), longest());
}

// With a list in hand, which may be wrong by now. A silent watch is found out kSilence after its wait, which
// is kTold - kWait - kSilence before its news count as told. After other failures there may be a call in vain
// (kConfirm + kSilence) and half a round more before the one that is answered.
Nanos Turns::longestAfter(Loss how) const {
    if (!listed_) return longest();
    constexpr Nanos most = (kTold - kConfirm - kSilence - kAnswer) * 2 / 3;
    return how == Loss::silent ? std::clamp<Nanos>(terms_.drainGrace, 500ms, most) : most;
}

Nanos Turns::wait() {
    if (failed_ > 0) return kConfirm;
    const Nanos most = std::clamp<Nanos>(believed() * kWatchRounds, kTold - 2s, kMostWait);
    // Guards against a whole fleet that heard of the same change asking anew in the same moment ever after.
    return most - Nanos(static_cast<std::int64_t>(0.25 * draw() * static_cast<double>(most.count())));
}

Nanos Turns::patience() const {
    if (listed_) return kConfirm + kSilence;
    return std::min<Nanos>(std::clamp<Nanos>(round(), 2s, 6s) * (1 << std::min(silent_, 2u)), 8s);
}

Time Turns::next(Time from, Nanos round) {
    const Nanos slot = std::max<Nanos>(round / terms_.fleet, 1ns);
    const Nanos mine = slot * terms_.me;
    Time at = from - from % round + mine +
              Nanos(static_cast<std::int64_t>(draw() * static_cast<double>(slot.count())));
    while (at < from) at += round;
    return last_ = at;
}

Time Turns::first(Time now, bool listed) {
    listed_ = listed;
    // Guards against old lists that are believed for long: what changed since is heard in this turn.
    const Nanos most = terms_.pace.longest.count() > 0 ? longest() : longest() * 2 / 3;
    return next(now, listed ? std::min(round(), most) : round());
}

Time Turns::later(Time now) {
    const Nanos round = this->round();  // before there was a list
    listed_ = true;
    return next(std::max(now, last_ + round / 2), round);
}

Time Turns::after(Time now, Loss how, Time notBefore) {
    if (failed_++ == 0) vouched_ = now;
    if (how == Loss::busy) each_ = std::min<Nanos>(each_ * 2, first_ * kSlowest);
    silent_ = how == Loss::silent ? silent_ + 1 : 0;
    const Nanos bound = longestAfter(how);
    Nanos round = std::min(this->round(), bound);
    // Guards against a few dispatchers that call a service which is away many times a second: their round
    // doubles with each call that fails, up to a second.
    const Nanos most = std::min(std::max(round, kAlone), bound);
    for (unsigned i = 1; i < failed_ && round < most; ++i) round = std::min(round * 2, most);
    // Guards against advice, or a clock set back, that would carry past the moment from which news count.
    const Time latest = std::max(now + bound / 2, vouched_ + kTold - kAnswer - bound);
    if (listed_) notBefore = std::min(notBefore, latest);
    // Guards against a turn that was used coming again: one call a round.
    return next(std::max({now, notBefore, std::min(last_ + round / 2, now + bound / 2)}), round);
}

void Turns::answered(Nanos took) {
    heard();
    // Downwards by a step of the first belief, and no further than what was seen.
    const Nanos seen = std::max(took + took / 4, kLeast);
    each_ = seen < each_ ? std::max(seen, each_ / 4) : std::max(each_ - first_ / 4, std::min(seen, first_));
}

}  // namespace amberswitch::start
