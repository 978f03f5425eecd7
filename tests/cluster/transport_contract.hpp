// Contract tests for all implementations of Transport. A fixture provides the transports of two processes,
// `caller` and `callee` (null while it is stopped), and runs until a condition holds:
//   std::unique_ptr<Transport> caller, callee;
//   NodeAddress callerAddress(), calleeAddress(), unusedAddress();
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

inline constexpr Millis kLongTimeout{8000};
inline constexpr Millis kShortTimeout{60};

// Counts the completions of a call and keeps the last result.
struct CallRecorder {
    int completions = 0;
    CallResult result;

    std::function<void(CallResult)> callback() {
        return [this](CallResult ended) {
            ++completions;
            result = std::move(ended);
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
    Fixture fixture;
    fixture.callee->serve(echo());
    CallRecorder outcome;
    fixture.caller->call(fixture.calleeAddress(), {7, "hello"}, kLongTimeout, outcome.callback());
    CHECK(outcome.completions == 0);  // never inside call()
    REQUIRE(fixture.runUntil([&] { return outcome.completions > 0; }));
    CHECK(outcome.completions == 1);
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.reply.kind == 8);
    CHECK(outcome.result.reply.body == "re:hello");
}

template <class Fixture>
void carriesAnyBytes() {
    Fixture fixture;
    fixture.callee->serve([](const Envelope& request, const Responder& respond) {
        respond({0, request.body});
    });
    std::string body;
    for (std::size_t index = 0; index < 3'000'000; ++index)
        body += static_cast<char>(index * 31 + index / 997);
    CallRecorder large;
    CallRecorder empty;
    fixture.caller->call(fixture.calleeAddress(), {1, body}, kLongTimeout, large.callback());
    fixture.caller->call(fixture.calleeAddress(), {1, ""}, kLongTimeout, empty.callback());
    REQUIRE(fixture.runUntil([&] { return large.completions > 0 && empty.completions > 0; }));
    CHECK(large.result.reply.body == body);
    CHECK(empty.result.verdict == CallStatus::answered);
    CHECK(empty.result.reply.body.empty());
}

// Replies sent later and in another order reach their own calls.
template <class Fixture>
void matchesAnswersToCalls() {
    constexpr std::size_t kCalls = 20;
    Fixture fixture;
    std::vector<std::pair<Envelope, Responder>> held;
    fixture.callee->serve(
        [&](const Envelope& request, const Responder& respond) { held.emplace_back(request, respond); });
    std::vector<CallRecorder> outcomes(kCalls);
    for (std::size_t index = 0; index < kCalls; ++index) {
        fixture.caller->call(fixture.calleeAddress(), {1, std::to_string(index)}, kLongTimeout,
                             outcomes[index].callback());
    }
    REQUIRE(fixture.runUntil([&] { return held.size() == kCalls; }));
    for (auto entry = held.rbegin(); entry != held.rend(); ++entry)
        entry->second({2, "for " + entry->first.body});
    const auto all_ended = [&] {
        for (const CallRecorder& outcome : outcomes) {
            if (outcome.completions == 0) return false;
        }
        return true;
    };
    REQUIRE(fixture.runUntil(all_ended));
    for (std::size_t index = 0; index < kCalls; ++index) {
        CHECK(outcomes[index].completions == 1);
        CHECK(outcomes[index].result.reply.body == "for " + std::to_string(index));
    }
}

template <class Fixture>
void refusesWithoutListener() {
    Fixture fixture;
    CallRecorder first;
    CallRecorder second;
    fixture.caller->call(fixture.unusedAddress(), {1, "a"}, kLongTimeout, first.callback());
    fixture.caller->call(fixture.unusedAddress(), {1, "b"}, kLongTimeout, second.callback());
    CHECK(first.completions == 0);
    REQUIRE(fixture.runUntil([&] { return first.completions > 0 && second.completions > 0; }));
    CHECK(first.result.verdict == CallStatus::not_executed);
    CHECK(second.result.verdict == CallStatus::not_executed);
    CHECK(first.completions == 1);
    CHECK(second.completions == 1);
}

// A request that was delivered and not answered may have been executed. A reply after the timeout has no
// effect.
template <class Fixture>
void timesOutAsUnknown() {
    Fixture fixture;
    Responder late;
    fixture.callee->serve([&](const Envelope& request, const Responder& respond) {
        if (request.body == "hold") {
            late = respond;
        } else {
            respond({0, "prompt"});
        }
    });
    CallRecorder warm;
    fixture.caller->call(fixture.calleeAddress(), {1, "warm"}, kLongTimeout, warm.callback());
    REQUIRE(fixture.runUntil([&] { return warm.completions > 0; }));
    CallRecorder held;
    fixture.caller->call(fixture.calleeAddress(), {1, "hold"}, kShortTimeout, held.callback());
    REQUIRE(fixture.runUntil([&] { return held.completions > 0 && late; }));
    CHECK(held.result.verdict == CallStatus::unknown);
    late({0, "late"});
    CallRecorder next;
    fixture.caller->call(fixture.calleeAddress(), {1, "next"}, kLongTimeout, next.callback());
    REQUIRE(fixture.runUntil([&] { return next.completions > 0; }));
    CHECK(next.result.reply.body == "prompt");
    CHECK(held.completions == 1);
}

template <class Fixture>
void callsItself() {
    Fixture fixture;
    fixture.caller->serve(echo());
    CallRecorder outcome;
    fixture.caller->call(fixture.callerAddress(), {3, "self"}, kLongTimeout, outcome.callback());
    CHECK(outcome.completions == 0);
    REQUIRE(fixture.runUntil([&] { return outcome.completions > 0; }));
    CHECK(outcome.result.reply.body == "re:self");
}

// A call is unknown if the callee stops before it replies. A new process at the address serves later calls.
template <class Fixture>
void survivesARestart() {
    Fixture fixture;
    Responder held;
    fixture.callee->serve([&](const Envelope&, const Responder& respond) { held = respond; });
    CallRecorder lost;
    fixture.caller->call(fixture.calleeAddress(), {1, "lost"}, Millis(2000), lost.callback());
    REQUIRE(fixture.runUntil([&] { return static_cast<bool>(held); }));
    fixture.stopCallee();
    held({0, "stale"});  // dropped
    REQUIRE(fixture.runUntil([&] { return lost.completions > 0; }));
    CHECK(lost.result.verdict == CallStatus::unknown);
    CallRecorder refused;
    fixture.caller->call(fixture.calleeAddress(), {1, "dead"}, kLongTimeout, refused.callback());
    REQUIRE(fixture.runUntil([&] { return refused.completions > 0; }));
    CHECK(refused.result.verdict == CallStatus::not_executed);
    fixture.startCallee();
    fixture.callee->serve(echo());
    CallRecorder served;
    fixture.caller->call(fixture.calleeAddress(), {1, "again"}, kLongTimeout, served.callback());
    REQUIRE(fixture.runUntil([&] { return served.completions > 0; }));
    CHECK(served.result.reply.body == "re:again");
    CHECK(lost.completions == 1);
}

// `done` may make further calls, also if the previous call was refused.
template <class Fixture>
void callsFromDone() {
    Fixture fixture;
    fixture.callee->serve(echo());
    CallRecorder last;
    fixture.caller->call(fixture.unusedAddress(), {1, "x"}, kLongTimeout, [&](const CallResult& first) {
        CHECK(first.verdict == CallStatus::not_executed);
        fixture.caller->call(fixture.unusedAddress(), {1, "y"}, kLongTimeout, [&](const CallResult& second) {
            CHECK(second.verdict == CallStatus::not_executed);
            fixture.caller->call(fixture.calleeAddress(), {1, "z"}, kLongTimeout, last.callback());
        });
    });
    REQUIRE(fixture.runUntil([&] { return last.completions > 0; }));
    CHECK(last.result.reply.body == "re:z");
}

}  // namespace amberswitch::cluster::contract
