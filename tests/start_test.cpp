// A start: turns at the list service, and what a dispatcher waits for before it says yes.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "start/gate.hpp"
#include "start/turns.hpp"

namespace amberswitch::start {
namespace {

using namespace std::chrono_literals;

constexpr Time kNoon = std::chrono::hours(500'000);

Turns turnsOf(std::uint32_t fleet, std::uint32_t me, Pace pace = {}) {
    return Turns({fleet, me, pace, 5s, 10s}, me + 1);
}

// However they start, a fleet's calls come one after the other at the pace that is believed in: in no tenth
// of a round more than its tenth and two.
TEST(Turns, AFleetThatStartsTogetherCallsOneByOne) {
    for (const std::uint32_t fleet : {1u, 3u, 30u, 100u, 300u}) {
        std::map<Nanos::rep, int> tenths;
        Nanos round{0};
        for (std::uint32_t me = 0; me < fleet; ++me) {
            Turns turns = turnsOf(fleet, me);
            round = turns.round();
            const Time started = kNoon + 7ms * (me % 70), at = turns.first(started, false);
            EXPECT_GE(at, started);
            EXPECT_LE(at, started + round);
            ++tenths[at / (round / 10)];
        }
        EXPECT_EQ(round, std::min<Nanos>(40ms * fleet, 10s));
        for (const auto& [tenth, calls] : tenths) EXPECT_LE(calls, static_cast<int>(fleet) / 10 + 2) << fleet;
    }
}

TEST(Turns, TheWatchBeginsARoundAfterTheList) {
    Turns turns = turnsOf(100, 42);
    const Time at = turns.first(kNoon, false);
    turns.answered(45ms);
    const Time watch = turns.later(at + 45ms);
    EXPECT_GE(watch - at, 3900ms);
    EXPECT_LE(watch - at, 4100ms);
}

// After an outage nobody comes sooner than its turn, and one call a round: a service that was quick is called
// again the sooner for it.
TEST(Turns, AnOutageIsAskedAboutInTurn) {
    std::map<Nanos::rep, int> seconds;
    for (std::uint32_t me = 0; me < 200; ++me) {
        Turns turns = turnsOf(200, me);
        turns.first(kNoon, true);
        turns.answered(5ms);
        Time at = kNoon + 20s;
        while (at < kNoon + 40s) {
            const Time next = turns.after(at, Loss::refused, Time(0));
            EXPECT_GT(next, at);
            at = next;
            ++seconds[at / 1s];
        }
    }
    for (const auto& [second, calls] : seconds) EXPECT_LE(calls, 140) << second;  // 10 ms each are believed
}

TEST(Turns, ABusyServiceIsCalledHalfAsOftenAndNotBeforeItSays) {
    Turns turns = turnsOf(50, 3);
    const Time at = turns.first(kNoon, true);
    EXPECT_EQ(turns.round(), 2s);
    const Time next = turns.after(at, Loss::busy, at + 3s);
    EXPECT_GE(next, at + 3s);
    EXPECT_EQ(turns.round(), 4s);
    turns.after(next, Loss::busy, Time(0)), turns.after(next + 5s, Loss::busy, Time(0));
    EXPECT_EQ(turns.round(), 5s);  // what is new has to be heard of
    for (int i = 0; i < 100; ++i) turns.answered(60ms);
    EXPECT_LE(turns.round(), 4s);  // and step by step back
}

// Guards against a few dispatchers that call a service which is away many times a second.
TEST(Turns, AFewBackOffToASecond) {
    Turns turns = turnsOf(3, 1);
    Time at = turns.first(kNoon, false);
    EXPECT_LE(at, kNoon + 120ms);
    int calls = 0;
    for (; at < kNoon + 20s; ++calls) at = turns.after(at, Loss::refused, Time(0));
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
