// What every transport promises. A fixture gives two processes, `caller` and `callee` (null while it is
// dead), and plays until a condition holds:
//   std::unique_ptr<Transport> caller, callee;
//   NodeAddress callerAddress(), calleeAddress(), nobody();
//   void startCallee(); void stopCallee();
//   bool runUntil(condition);
#pragma once

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/transport.hpp"

namespace amberswitch::cluster::contract {

inline constexpr Millis kPatient{8000};
inline constexpr Millis kImpatient{60};

// Counts how often a call ended, and keeps the last result.
struct Outcome {
    int times = 0;
    CallResult result;

    std::function<void(CallResult)> hear() {
        return [this](CallResult heard) {
            ++times;
            result = std::move(heard);
        };
    }
};

inline RequestHandler echo() {
    return [](const Envelope& request, const Responder& respond) {
        respond({static_cast<std::uint16_t>(request.kind + 1), "re:" + request.body});
    };
}

template <class Fixture>
void answersACall() {
    Fixture play;
    play.callee->serve(echo());
    Outcome outcome;
    play.caller->call(play.calleeAddress(), {7, "hello"}, kPatient, outcome.hear());
    CHECK(outcome.times == 0);  // never inside call()
    REQUIRE(play.runUntil([&] { return outcome.times > 0; }));
    CHECK(outcome.times == 1);
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.reply.kind == 8);
    CHECK(outcome.result.reply.body == "re:hello");
}

template <class Fixture>
void carriesAnyBytes() {
    Fixture play;
    play.callee->serve([](const Envelope& request, const Responder& respond) { respond({0, request.body}); });
    std::string body;
    for (std::size_t index = 0; index < 3'000'000; ++index)
        body += static_cast<char>(index * 31 + index / 997);
    Outcome large;
    Outcome empty;
    play.caller->call(play.calleeAddress(), {1, body}, kPatient, large.hear());
    play.caller->call(play.calleeAddress(), {1, ""}, kPatient, empty.hear());
    REQUIRE(play.runUntil([&] { return large.times > 0 && empty.times > 0; }));
    CHECK(large.result.reply.body == body);
    CHECK(empty.result.verdict == CallStatus::answered);
    CHECK(empty.result.reply.body.empty());
}

// Answers given later and in another order reach their own calls.
template <class Fixture>
void matchesAnswersToCalls() {
    constexpr std::size_t kCalls = 20;
    Fixture play;
    std::vector<std::pair<Envelope, Responder>> held;
    play.callee->serve(
        [&](const Envelope& request, const Responder& respond) { held.emplace_back(request, respond); });
    std::vector<Outcome> outcomes(kCalls);
    for (std::size_t index = 0; index < kCalls; ++index) {
        play.caller->call(play.calleeAddress(), {1, std::to_string(index)}, kPatient, outcomes[index].hear());
    }
    REQUIRE(play.runUntil([&] { return held.size() == kCalls; }));
    for (auto entry = held.rbegin(); entry != held.rend(); ++entry)
        entry->second({2, "for " + entry->first.body});
    const auto all_ended = [&] {
        for (const Outcome& outcome : outcomes) {
            if (outcome.times == 0) return false;
        }
        return true;
    };
    REQUIRE(play.runUntil(all_ended));
    for (std::size_t index = 0; index < kCalls; ++index) {
        CHECK(outcomes[index].times == 1);
        CHECK(outcomes[index].result.reply.body == "for " + std::to_string(index));
    }
}

template <class Fixture>
void refusesWhereNobodyListens() {
    Fixture play;
    Outcome first;
    Outcome second;
    play.caller->call(play.nobody(), {1, "a"}, kPatient, first.hear());
    play.caller->call(play.nobody(), {1, "b"}, kPatient, second.hear());
    CHECK(first.times == 0);
    REQUIRE(play.runUntil([&] { return first.times > 0 && second.times > 0; }));
    CHECK(first.result.verdict == CallStatus::not_executed);
    CHECK(second.result.verdict == CallStatus::not_executed);
    CHECK(first.times == 1);
    CHECK(second.times == 1);
}

// A request that was handed over and not answered may have run. An answer after the timeout changes nothing.
template <class Fixture>
void timesOutAsUnknown() {
    Fixture play;
    Responder late;
    play.callee->serve([&](const Envelope& request, const Responder& respond) {
        if (request.body == "hold") {
            late = respond;
        } else {
            respond({0, "prompt"});
        }
    });
    Outcome warm;
    play.caller->call(play.calleeAddress(), {1, "warm"}, kPatient, warm.hear());
    REQUIRE(play.runUntil([&] { return warm.times > 0; }));
    Outcome held;
    play.caller->call(play.calleeAddress(), {1, "hold"}, kImpatient, held.hear());
    REQUIRE(play.runUntil([&] { return held.times > 0 && late; }));
    CHECK(held.result.verdict == CallStatus::unknown);
    late({0, "late"});
    Outcome next;
    play.caller->call(play.calleeAddress(), {1, "next"}, kPatient, next.hear());
    REQUIRE(play.runUntil([&] { return next.times > 0; }));
    CHECK(next.result.reply.body == "prompt");
    CHECK(held.times == 1);
}

template <class Fixture>
void callsItself() {
    Fixture play;
    play.caller->serve(echo());
    Outcome outcome;
    play.caller->call(play.callerAddress(), {3, "self"}, kPatient, outcome.hear());
    CHECK(outcome.times == 0);
    REQUIRE(play.runUntil([&] { return outcome.times > 0; }));
    CHECK(outcome.result.reply.body == "re:self");
}

// The callee dies with a call in hand: unknown. A new process at the address serves the next calls.
template <class Fixture>
void survivesARestart() {
    Fixture play;
    Responder held;
    play.callee->serve([&](const Envelope&, const Responder& respond) { held = respond; });
    Outcome lost;
    play.caller->call(play.calleeAddress(), {1, "lost"}, Millis(2000), lost.hear());
    REQUIRE(play.runUntil([&] { return static_cast<bool>(held); }));
    play.stopCallee();
    held({0, "from the grave"});  // dropped
    REQUIRE(play.runUntil([&] { return lost.times > 0; }));
    CHECK(lost.result.verdict == CallStatus::unknown);
    Outcome refused;
    play.caller->call(play.calleeAddress(), {1, "dead"}, kPatient, refused.hear());
    REQUIRE(play.runUntil([&] { return refused.times > 0; }));
    CHECK(refused.result.verdict == CallStatus::not_executed);
    play.startCallee();
    play.callee->serve(echo());
    Outcome served;
    play.caller->call(play.calleeAddress(), {1, "again"}, kPatient, served.hear());
    REQUIRE(play.runUntil([&] { return served.times > 0; }));
    CHECK(served.result.reply.body == "re:again");
    CHECK(lost.times == 1);
}

// `done` may call again, also where the call before was refused.
template <class Fixture>
void callsFromDone() {
    Fixture play;
    play.callee->serve(echo());
    Outcome last;
    play.caller->call(play.nobody(), {1, "x"}, kPatient, [&](const CallResult& first) {
        CHECK(first.verdict == CallStatus::not_executed);
        play.caller->call(play.nobody(), {1, "y"}, kPatient, [&](const CallResult& second) {
            CHECK(second.verdict == CallStatus::not_executed);
            play.caller->call(play.calleeAddress(), {1, "z"}, kPatient, last.hear());
        });
    });
    REQUIRE(play.runUntil([&] { return last.times > 0; }));
    CHECK(last.result.reply.body == "re:z");
}

}  // namespace amberswitch::cluster::contract
