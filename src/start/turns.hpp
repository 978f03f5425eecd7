// Schedules the calls of a dispatcher to the list service, so that hundreds of dispatchers which start
// together, or lose the service together, call it one after the other. They don't communicate: each uses its
// index in the fleet, the time of day and the answers of the service. No I/O; callers pass in the time.
#pragma once

#include <cstdint>

#include "core/deadlines.hpp"
#include "settings/strict.hpp"

namespace amberswitch::start {

struct Pace {
    double callsPerSecond = 25;  // capacity of the service for the whole fleet, until measured
    Nanos longest{0};            // upper limit of a round of the fleet; 0: derived from the settings
    std::string keepFile;        // stores the last list for the next start; empty: disabled
    Nanos keepAge = std::chrono::hours(1);
    Nanos waitForList{0};  // how long a start with an old list waits for a new one
};
Pace readPace(const settings::Node& section);  // throws settings::BadField

// How a call failed.
enum class CallFailure {
    refused,  // no connection, or it broke
    silent,   // timed out
    busy      // rejected by an answer of the service
};

// The length of a round is the size of the fleet times the estimated duration of a call. In each round,
// counted from the epoch, a dispatcher has one turn: a random point in the slot of its index. If clocks
// differ, the turns are spread like random ones, and no worse.
class CallSchedule {
public:
    struct Config {
        std::uint32_t fleet = 1, me = 0;
        Pace pace;
        // The longest round unless `pace` sets it: with a list, which must be kept up to date, and without
        // one, where nothing can be outdated.
        Nanos longest = std::chrono::seconds(5), maxRoundWithoutList = std::chrono::seconds(10);
        Nanos drainGrace = std::chrono::seconds(2);  // the time within which a drain must be applied
    };
    CallSchedule(const Config& config, std::uint64_t seed);

    Time firstTurn(Time now, bool listed);  // returns the turn of the first call
    // Returns when the watch starts after a full list was received: the same turn of the next round, so that
    // each dispatcher doesn't make two calls in one round, for the list and for the watch.
    Time watchTurn(Time now);
    // Returns the next turn after a failed call. `notBefore` is the retry time that the service gave.
    Time turnAfterFailure(Time now, CallFailure how, Time notBefore);
    // Reports the duration of a call that didn't wait for a change; it is an upper bound of the cost of a
    // call.
    void answered(Nanos took);
    void answeredAfterWait() { failed_ = timedOut_ = 0; }  // a call that waited for a change was answered

    Nanos round() const;  // current length of a round
    // Returns the timeout of a call without a wait, which may queue behind others. It grows with each
    // timed-out call, since an overloaded service still processes calls whose callers have given up.
    Nanos answerTimeout() const;
    // Returns how long a call may wait at the service for a change. Its answer confirms that the watch works:
    // often enough for kChangeKnownWithin if the load on the service permits it, and soon after a failed
    // call.
    Nanos watchWait();
    // The time after which a change counts as known to the dispatcher: since the service has it and is
    // reachable, whatever the result of the calls in between.
    static constexpr Nanos kChangeKnownWithin = std::chrono::seconds(6);
    static constexpr Nanos kCallTimeout = std::chrono::seconds(1);  // timeout beyond the wait of a call

private:
    static constexpr Nanos kMinEstimate = std::chrono::milliseconds(2);
    static constexpr int kMaxSlowdown = 4;  // times the first estimate; beyond that, Retry-After applies
    static constexpr Nanos kMaxBackoff = std::chrono::seconds(1);        // longest back-off of a small fleet
    static constexpr Nanos kAnswerTime = std::chrono::seconds(1);        // duration of an answer
    static constexpr Nanos kConfirmationWait = std::chrono::seconds(1);  // first call after a failure
    static constexpr Nanos kMaxWait = std::chrono::seconds(20);
    static constexpr int kWatchRounds = 4;  // watches use at most a quarter of the capacity of the service
    Nanos longest() const { return listed_ ? config_.longest : config_.maxRoundWithoutList; }
    Nanos maxRoundAfter(CallFailure how) const;
    Nanos estimatedRound() const;  // length of a round by the estimate, without the upper limit
    Time next(Time from, Nanos round);
    double draw();

    Config config_;
    Nanos initialEstimate_, estimate_;  // estimated duration of a call: initial and current
    bool listed_ = false;
    unsigned failed_ = 0, timedOut_ = 0;  // consecutive calls
    Time last_{-1};                       // the last turn returned
    Time confirmedAt_{0};                 // when the list was last known to be up to date
    std::uint64_t state_;
};

}  // namespace amberswitch::start
