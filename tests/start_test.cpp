// Tests of the start: scheduling of calls to the list service, and the readiness gate.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "start/gate.hpp"
#include "start/turns.hpp"

namespace amberswitch::start {
namespace {

using namespace std::chrono_literals;

constexpr Time kNoon = std::chrono::hours(500'000);

CallSchedule scheduleOf(std::uint32_t fleet, std::uint32_t me, Pace pace = {}) {
    return CallSchedule({fleet, me, pace, 5s, 10s}, me + 1);
}

// The calls of a fleet are spread over a round: no tenth of the round has more than a tenth of the calls plus
// two.
TEST(Turns, AFleetThatStartsTogetherCallsOneByOne) {
    for (const std::uint32_t fleet : {1u, 3u, 30u, 100u, 300u}) {
        std::map<Nanos::rep, int> tenths;
        Nanos round{0};
        for (std::uint32_t me = 0; me < fleet; ++me) {
            CallSchedule schedule = scheduleOf(fleet, me);
            round = schedule.round();
            const Time started = kNoon + 7ms * (me % 70), at = schedule.firstTurn(started, false);
            EXPECT_GE(at, started);
            EXPECT_LE(at, started + round);
            ++tenths[at / (round / 10)];
        }
        EXPECT_EQ(round, std::min<Nanos>(40ms * fleet, 10s));
        for (const auto& [tenth, calls] : tenths) EXPECT_LE(calls, static_cast<int>(fleet) / 10 + 2) << fleet;
    }
}

TEST(Turns, TheWatchBeginsARoundAfterTheList) {
    CallSchedule schedule = scheduleOf(100, 42);
    const Time at = schedule.firstTurn(kNoon, false);
    schedule.answered(45ms);
    const Time watch = schedule.watchTurn(at + 45ms);
    EXPECT_GE(watch - at, 3900ms);
    EXPECT_LE(watch - at, 4100ms);
}

// After an outage each dispatcher waits for its turn and makes one call per round. A faster service has
// shorter rounds.
TEST(Turns, AnOutageIsAskedAboutInTurn) {
    std::map<Nanos::rep, int> seconds;
    for (std::uint32_t me = 0; me < 200; ++me) {
        CallSchedule schedule = scheduleOf(200, me);
        schedule.firstTurn(kNoon, true);
        schedule.answered(5ms);
        Time at = kNoon + 20s;
        while (at < kNoon + 40s) {
            const Time next = schedule.turnAfterFailure(at, CallFailure::refused, Time(0));
            EXPECT_GT(next, at);
            at = next;
            ++seconds[at / 1s];
        }
    }
    for (const auto& [second, calls] : seconds) EXPECT_LE(calls, 140) << second;  // 10 ms per call
}

TEST(Turns, ABusyServiceIsCalledHalfAsOftenAndNotBeforeItSays) {
    CallSchedule schedule = scheduleOf(50, 3);
    const Time at = schedule.firstTurn(kNoon, true);
    EXPECT_EQ(schedule.round(), 2s);
    const Time next = schedule.turnAfterFailure(at, CallFailure::busy, at + 3s);
    EXPECT_GE(next, at + 3s);
    EXPECT_EQ(schedule.round(), 4s);
    schedule.turnAfterFailure(next, CallFailure::busy, Time(0)),
        schedule.turnAfterFailure(next + 5s, CallFailure::busy, Time(0));
    EXPECT_EQ(schedule.round(), 5s);  // limited, since changes must be noticed in time
    for (int i = 0; i < 100; ++i) schedule.answered(60ms);
    EXPECT_LE(schedule.round(), 4s);  // decreases step by step
}

// Guards against a small fleet calling an unreachable service many times a second.
TEST(Turns, AFewBackOffToASecond) {
    CallSchedule schedule = scheduleOf(3, 1);
    Time at = schedule.firstTurn(kNoon, false);
    EXPECT_LE(at, kNoon + 120ms);
    int calls = 0;
    for (; at < kNoon + 20s; ++calls) at = schedule.turnAfterFailure(at, CallFailure::refused, Time(0));
    EXPECT_LE(calls, 40);
    EXPECT_GE(calls, 15);
}

TEST(Gate, OpensWithAListOrWhenWhatThereIsHasToDo) {
    Deadlines deadlines;
    int opened = 0;
    const auto open = [&opened](Time) { ++opened; };
    const auto opens = [&](Gate::Has has, Nanos wait, Time listed) {
        opened = 0;
        Gate gate(deadlines, wait, open);
        gate.begin(kNoon, has);
        for (Time at = kNoon; at <= kNoon + 20s; at += 100ms) {
            deadlines.sweep(at);
            if (at == listed) gate.listed(at);
            if (opened) {
                EXPECT_FALSE(gate.waits());
                EXPECT_EQ(opened, 1);
                return at - kNoon;
            }
            EXPECT_TRUE(gate.waits());
            EXPECT_EQ(gate.since(), kNoon);
        }
        return Nanos(-1);
    };
    const Time never{0};
    EXPECT_EQ(opens(Gate::Has::nothing, 1s, never), Nanos(-1));
    EXPECT_EQ(opens(Gate::Has::nothing, 1s, kNoon + 7s), 7s);
    EXPECT_EQ(opens(Gate::Has::oldList, 0s, never), 0s);
    EXPECT_EQ(opens(Gate::Has::oldList, 3s, never), 3s);
    EXPECT_EQ(opens(Gate::Has::oldList, 3s, kNoon + 2s), 2s);
    EXPECT_EQ(opens(Gate::Has::otherSource, 3s, never), 0s);
}

}  // namespace
}  // namespace amberswitch::start
