// When a dispatcher calls the list service, so that hundreds that start together, or lose it together, call
// it one after the other. They do not talk: each has its number in the fleet and the time of day, and what
// the service shows it. No I/O, no clock of its own.
#pragma once

#include <cstdint>

#include "core/deadlines.hpp"
#include "settings/strict.hpp"

namespace amberswitch::start {

struct Pace {
    double callsPerSecond = 25;  // of the service, for the whole fleet, until it shows otherwise
    Nanos longest{0};            // a round of the fleet's turns takes no longer; 0: by the settings
    std::string keepFile;        // the last list, for the next start; empty: none is kept
    Nanos keepAge = std::chrono::hours(1);
    Nanos waitForList{0};  // with a known or a kept list in hand: how long a start waits for a new one
};
Pace readPace(const settings::Node& section);  // throws settings::BadField

// How a call failed.
enum class Loss {
    refused,  // no connection, or it broke
    silent,   // nothing came in time
    busy      // turned away with an answer
};

// A round is the fleet's size times what one call is believed to take. In each round, counted from the epoch,
// a dispatcher has one turn: the part that its number says, at a random place inside it. Where clocks differ
// the turns are as good as random ones, and no worse.
class Turns {
public:
    struct Terms {
        std::uint32_t fleet = 1, me = 0;
        Pace pace;
        // The longest round where `pace` does not say: with a list in hand, which is to be kept up to date,
        // and without, where there is nothing to be wrong with.
        Nanos longest = std::chrono::seconds(5), longestWithout = std::chrono::seconds(10);
        Nanos drainGrace = std::chrono::seconds(2);  // of the rule on drains
    };
    Turns(const Terms& terms, std::uint64_t seed);

    Time first(Time now, bool listed);  // of the start: the next turn
    // With a whole list in hand, when the watch is to begin: the same turn of the next round. Guards against
    // two calls of each dispatcher in one round, the list's and the watch's.
    Time later(Time now);
    // After a call that failed: the next turn, and not before `notBefore`, the service's own word.
    Time after(Time now, Loss how, Time notBefore);
    // A call that needed no wait there was answered after so long. It says what a call takes at the most.
    void answered(Nanos took);
    void heard() { failed_ = silent_ = 0; }  // a call that waited there was answered

    Nanos round() const;  // how long a round is now
    // With a call that is to be answered at once: others may stand before it. Longer after each that was in
    // vain, as a service that is behind works through calls that nobody waits for any more.
    Nanos patience() const;
    // How long a call may wait there for something new. Its answer shows that the watch lives: where the
    // service can bear it, often enough for the clock below, and soon after a call that failed.
    Nanos wait();
    // What the service has counts as told so long after it had it and could be reached, whatever became of
    // the calls meanwhile.
    static constexpr Nanos kTold = std::chrono::seconds(6);
    static constexpr Nanos kSilence = std::chrono::seconds(1);  // beyond a call's wait: then it is silent

private:
    static constexpr Nanos kLeast = std::chrono::milliseconds(2);
    static constexpr int kSlowest = 4;  // of the first belief: where that is not enough the service says when
    static constexpr Nanos kAlone = std::chrono::seconds(1);    // a small fleet's failed calls, in the end
    static constexpr Nanos kAnswer = std::chrono::seconds(1);   // that an answer may take
    static constexpr Nanos kConfirm = std::chrono::seconds(1);  // the wait of the first call after a loss
    static constexpr Nanos kMostWait = std::chrono::seconds(20);
    static constexpr int kWatchRounds = 4;  // watches take a quarter of the service's time at the most
    Nanos longest() const { return listed_ ? terms_.longest : terms_.longestWithout; }
    Nanos longestAfter(Loss how) const;
    Nanos believed() const;  // a round by what a call takes alone
    Time next(Time from, Nanos round);
    double draw();

    Terms terms_;
    Nanos first_, each_;  // what a call is believed to take: in the beginning, and now
    bool listed_ = false;
    unsigned failed_ = 0, silent_ = 0;  // calls in a row
    Time last_{-1};                     // the turn that was given last
    Time vouched_{0};                   // when the list was last known to be up to date, before it was lost
    std::uint64_t state_;
};

}  // namespace amberswitch::start
