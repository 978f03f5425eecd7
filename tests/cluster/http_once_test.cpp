// Calls that may not be repeated: each is sent once whatever becomes of its connection, and takes no answer
// that may be another one's. Raw peers on loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/cluster/http_play.hpp"

namespace amberswitch::cluster {

using testing::answer;
using testing::ClientPlay;
using testing::HttpOutcomes;
using testing::RawConnection;
using testing::runUntil;
using testing::ServerPlay;

namespace {

constexpr Millis kAWhile{40};
constexpr Millis kShortTimeout{80};
const std::string kOwnId = "Request-Id: mine\r\n";

// All that the server received, on all its connections.
std::size_t requestsReceived(const ClientPlay& play) {
    std::size_t requests = 0;
    for (const auto& connection : play.server.connections)
        requests += connection->count("Request-Id: mine\r\n");
    return requests;
}

void letTimePass(ClientPlay& play) {
    runUntil(
        play.loop, [] { return false; }, kAWhile);
}

HttpCall post(ClientPlay& play, std::size_t body_bytes) {
    HttpCall call = play.getWithId("mine");
    call.request.method = "POST";
    call.request.body.assign(body_bytes, 'x');
    return call;
}

// How the server ends its connection.
enum class Break { none, close, reset, end_of_sending };

struct Fault {
    std::string name;
    bool reads_request = false;  // before anything else
    std::string answer;
    Break end = Break::none;
};

void breakOff(RawConnection& connection, Break end) {
    if (end == Break::close) connection.close();
    if (end == Break::reset) connection.reset();
    if (end == Break::end_of_sending) connection.shutdownSending();
}

// Every idle connection of the client is closed or carries the call that is open.
void checkClosed(ClientPlay& play, std::size_t connection) {
    CHECK(play.client.connectionsTo(play.server.address) == 0);
    CHECK(runUntil(play.loop, [&] { return play.at(connection).closed; }));
}

}  // namespace

TEST_CASE(
    "an answer that does not repeat the request's id never ends its call, and its connection is closed") {
    ClientPlay play;
    HttpOutcomes outcome;
    HttpCall call = play.getWithId("mine");
    call.timeout = kShortTimeout;
    play.client.send(call, outcome.hear());
    REQUIRE(play.requested(0, 1));
    SUBCASE("a success without an id") {
        play.at(0).send(answer("done", "Response-Stamp: s.1\r\n"));
    }
    SUBCASE("a success with an empty id") {
        play.at(0).send(answer("done", "Response-Stamp: s.1\r\nRequest-Id: \r\n"));
    }
    SUBCASE("a success with another id") {
        play.at(0).send(answer("done", "Response-Stamp: s.1\r\nRequest-Id: other\r\n"));
    }
    SUBCASE("a success whose first id is another one") {
        play.at(0).send(answer("done", "Request-Id: other\r\n" + kOwnId));
    }
    SUBCASE("a success whose id only begins as the request's") {
        play.at(0).send(answer("done", "Request-Id: mine-2\r\n"));
    }
    SUBCASE("a refusal without an id") {
        play.at(0).send("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    SUBCASE("a failure without an id") {
        play.at(0).send("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
    }
    SUBCASE("no length and no id") {
        play.at(0).send("HTTP/1.1 200 OK\r\nResponse-Stamp: s.1\r\nConnection: close\r\n\r\ndone");
        REQUIRE(runUntil(play.loop, [&] { return play.at(0).sentAll(); }));
        play.at(0).close();
        REQUIRE(play.ended(outcome));
        CHECK(outcome.result.verdict == CallStatus::unknown);
        CHECK(play.client.connectionsTo(play.server.address) == 0);
        return;
    }
    REQUIRE(play.ended(outcome));
    CHECK(outcome.times == 1);
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK(outcome.result.timed_out);
    CHECK_FALSE(outcome.result.unreachable);
    checkClosed(play, 0);
}

// Answers to other calls that a server may send before a call's own.
const std::string kToEarlierCall = answer("old", "Response-Stamp: s.0\r\nRequest-Id: first\r\n");
const std::string kToUnknownCall = answer("old", "Response-Stamp: s.0\r\nRequest-Id: other\r\n");
const std::string kToNobody = answer("old", "Response-Stamp: s.0\r\n");
const std::string kToOwnCall = answer("done", "Response-Stamp: s.1\r\n" + kOwnId);

// One exchange with id `first`, then a call with id `mine` on the same connection.
void sendOnUsedConnection(ClientPlay& play, HttpOutcomes& outcome) {
    HttpOutcomes earlier;
    play.client.send(play.getWithId("first"), earlier.hear());
    REQUIRE(play.requested(0, 1));
    play.at(0).send(kToEarlierCall);
    REQUIRE(play.ended(earlier));
    play.client.send(play.getWithId("mine"), outcome.hear());
    REQUIRE(play.requested(0, 2));
}

TEST_CASE("a call's own answer counts although answers to other calls come before it") {
    ClientPlay play;
    HttpOutcomes outcome;
    sendOnUsedConnection(play, outcome);
    SUBCASE("a second answer to an earlier call, in one piece with its own") {
        play.at(0).send(kToEarlierCall + kToOwnCall);
    }
    SUBCASE("a second answer to an earlier call, and its own later") {
        play.at(0).send(kToEarlierCall);
        letTimePass(play);
        CHECK(outcome.times == 0);
        play.at(0).send(kToOwnCall);
    }
    SUBCASE("byte by byte") {
        for (const char byte : kToEarlierCall + kToOwnCall) {
            play.at(0).send(std::string(1, byte));
            play.loop.runOnce();
        }
    }
    SUBCASE("an answer to a call that this connection did not carry") {
        play.at(0).send(kToUnknownCall + kToOwnCall);
    }
    SUBCASE("and the server ends its connection behind them") {
        play.at(0).send(kToEarlierCall + kToOwnCall);
        REQUIRE(runUntil(play.loop, [&] { return play.at(0).sentAll(); }));
        play.at(0).shutdownSending();
    }
    SUBCASE("chunked ones") {
        const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
        play.at(0).send("HTTP/1.1 200 OK\r\nRequest-Id: first\r\nResponse-Stamp: s.0\r\n" + chunked +
                        "HTTP/1.1 200 OK\r\nResponse-Stamp: s.1\r\n" + kOwnId + chunked);
    }
    SUBCASE("one without a body") {
        play.at(0).send("HTTP/1.1 204 No Content\r\nRequest-Id: first\r\n\r\n" + kToOwnCall);
    }
    SUBCASE("a refusal, which would let the call be sent elsewhere") {
        play.at(0).send(
            "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n" +
            kToOwnCall);
    }
    SUBCASE("an answer without an id") {
        play.at(0).send(kToNobody + kToOwnCall);
    }
    SUBCASE("several") {
        play.at(0).send(kToEarlierCall + kToNobody + kToUnknownCall + kToOwnCall);
    }
    REQUIRE(play.ended(outcome));
    CHECK(outcome.times == 1);
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.body == "done");
    CHECK(headerValue(outcome.result.response.headers, "Response-Stamp") == "s.1");
    CHECK(requestsReceived(play) == 1);
    checkClosed(play, 0);
}

TEST_CASE("an own answer that is cut short behind another's leaves the call unknown") {
    ClientPlay play;
    HttpOutcomes outcome;
    sendOnUsedConnection(play, outcome);
    play.at(0).send(kToEarlierCall + kToOwnCall.substr(0, kToOwnCall.size() - 2));
    REQUIRE(runUntil(play.loop, [&] { return play.at(0).sentAll(); }));
    SUBCASE("closed") {
        play.at(0).close();
    }
    SUBCASE("reset") {
        letTimePass(play);
        play.at(0).reset();
    }
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
}

TEST_CASE("a call is sent with its own bytes alone after an answer was dropped") {
    ClientPlay play;
    HttpOutcomes outcome;
    sendOnUsedConnection(play, outcome);
    const std::size_t sent = play.at(0).received.size();
    play.at(0).send(kToEarlierCall);
    letTimePass(play);
    CHECK(play.at(0).received.size() == sent);  // nothing is written to read one more
    play.at(0).send(kToOwnCall);
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.response.body == "done");
    CHECK(play.at(0).received.size() == sent);
}

TEST_CASE("a status that is not final does not end a call") {
    ClientPlay play;
    HttpOutcomes outcome;
    play.client.send(play.getWithId("mine"), outcome.hear());
    REQUIRE(play.requested(0, 1));
    play.at(0).send("HTTP/1.1 103 Early Hints\r\n" + kOwnId + "\r\n" + kToOwnCall);
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.body == "done");
}

TEST_CASE("a server that goes on answering other calls ends a call as unknown") {
    ClientPlay play;
    HttpOutcomes outcome;
    sendOnUsedConnection(play, outcome);
    for (int i = 0; i < 100; ++i) play.at(0).send(kToEarlierCall);
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK_FALSE(outcome.result.timed_out);
    CHECK(play.client.counters().too_many_others == 1);
    checkClosed(play, 0);
}

TEST_CASE("a call without an id takes no answer behind which another one arrived") {
    ClientPlay play;
    HttpOutcomes outcome;
    SUBCASE("on a connection that carried another call") {
        play.exchange(0, 1);
        play.client.send(play.get(), outcome.hear());
        REQUIRE(play.requested(0, 2));
        play.at(0).send(answer("old") + answer("done"));
        REQUIRE(play.ended(outcome));
        CHECK(outcome.result.verdict == CallStatus::unknown);
        CHECK(play.client.counters().answers_ambiguous == 1);
    }
    SUBCASE("but the first one of a new connection") {
        play.client.send(play.get(), outcome.hear());
        REQUIRE(play.requested(0, 1));
        play.at(0).send(answer("done") + answer("again"));
        REQUIRE(play.ended(outcome));
        CHECK(outcome.result.verdict == CallStatus::answered);
        CHECK(outcome.result.response.body == "done");
    }
    checkClosed(play, 0);
}

TEST_CASE("an answer to a call with an id is taken at once although more arrived behind it") {
    ClientPlay play;
    HttpOutcomes outcome;
    sendOnUsedConnection(play, outcome);
    play.at(0).send(kToOwnCall + kToOwnCall);
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.body == "done");
    checkClosed(play, 0);
}

TEST_CASE("a call without an id needs none in its answer") {
    ClientPlay play;
    play.exchange(0, 1);
    play.exchange(0, 2, "Request-Id: any\r\n");
    CHECK(play.client.counters().connections_opened == 1);
}

TEST_CASE("a message that is sent again never takes a second answer to its first attempt") {
    ClientPlay play;
    HttpCall call = play.getWithId("mine");
    SUBCASE("with connections to spare") {}
    SUBCASE("where a single connection is allowed") {
        call.max_connections = 1;
    }
    HttpOutcomes first;
    play.client.send(call, first.hear());
    REQUIRE(play.requested(0, 1));
    const std::string refusal =
        "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + kOwnId + "Content-Length: 0\r\n\r\n";
    play.at(0).send(refusal);
    REQUIRE(play.ended(first));
    CHECK(first.result.response.status == 503);
    HttpOutcomes second;
    play.client.send(call, second.hear());
    play.at(0).send(refusal);  // comes after the next attempt was sent
    REQUIRE(play.requested(1, 1));
    letTimePass(play);
    CHECK(second.times == 0);
    play.at(1).send(answer("done", kOwnId));
    REQUIRE(play.ended(second));
    CHECK(second.result.response.status == 200);
    CHECK(second.result.response.body == "done");
}

TEST_CASE("a connection is used again for other messages, and not for one that it carried before them") {
    ClientPlay play;
    for (const std::string id : {"mine", "b", "c"}) {
        HttpOutcomes outcome;
        play.client.send(play.getWithId(id), outcome.hear());
        REQUIRE(runUntil(play.loop, [&] {
            return !play.server.connections.empty() && play.at(0).count("Request-Id: " + id + "\r\n") == 1;
        }));
        play.at(0).send(answer("ok", "Request-Id: " + id + "\r\n"));
        REQUIRE(play.ended(outcome));
    }
    HttpOutcomes again;
    play.client.send(play.getWithId("mine"), again.hear());
    REQUIRE(play.requested(1, 1));
    CHECK(play.client.counters().connections_opened == 2);
}

TEST_CASE("whatever becomes of its connection, a call is sent once and ends once, never as answered") {
    const std::string part = "HTTP/1.1 200 OK\r\n" + kOwnId + "Content-Length: 9\r\n\r\nab";
    const std::string endless = "HTTP/1.1 200 OK\r\n" + kOwnId + "\r\nab";
    const std::vector<Fault> faults{
        {"reset before the request is read", false, "", Break::reset},
        {"closed before the request is read", false, "", Break::close},
        {"sending ended before the request is read", false, "", Break::end_of_sending},
        {"reset after the request", true, "", Break::reset},
        {"closed after the request", true, "", Break::close},
        {"silence after the request", true, "", Break::none},
        {"reset in the answer", true, part, Break::reset},
        {"closed in the answer", true, part, Break::close},
        {"silence in the answer", true, part, Break::none},
        {"no end of the answer's body", true, endless, Break::none},
    };
    for (const Fault& fault : faults) {
        for (const bool is_reused : {false, true}) {
            INFO(fault.name << (is_reused ? ", on a connection that was idle" : ", on a new connection"));
            ClientPlay play;
            if (is_reused) play.exchange(0, 1);
            HttpCall call = post(play, 3);
            call.timeout = Millis(60);
            HttpOutcomes outcome;
            play.client.send(call, outcome.hear());
            REQUIRE(runUntil(play.loop, [&] { return !play.server.connections.empty(); }));
            if (fault.reads_request)
                REQUIRE(runUntil(play.loop, [&] { return play.at(0).count("xxx") == 1; }));
            play.at(0).send(fault.answer);
            REQUIRE(runUntil(play.loop, [&] { return play.at(0).sentAll(); }));
            breakOff(play.at(0), fault.end);
            REQUIRE(play.ended(outcome));
            CHECK(outcome.result.verdict == CallStatus::unknown);
            letTimePass(play);
            CHECK(outcome.times == 1);
            CHECK(requestsReceived(play) <= 1);
            CHECK(play.server.connections.size() == 1);
            CHECK(play.client.connectionsTo(play.server.address) == 0);
        }
    }
}

TEST_CASE("a connection that breaks in the middle of a request leaves it unknown, and it is not sent again") {
    for (const Break end : {Break::reset, Break::close}) {
        for (const bool is_reused : {false, true}) {
            INFO((end == Break::reset ? "reset" : "closed") << " " << is_reused);
            ClientPlay play;
            if (is_reused) play.exchange(0, 1);
            HttpOutcomes outcome;
            play.client.send(post(play, 30'000'000), outcome.hear());
            REQUIRE(runUntil(play.loop, [&] { return requestsReceived(play) == 1; }));
            play.at(0).stopReading();
            breakOff(play.at(0), end);
            REQUIRE(play.ended(outcome));
            CHECK(outcome.result.verdict == CallStatus::unknown);
            letTimePass(play);
            CHECK(outcome.times == 1);
            CHECK(play.server.connections.size() == 1);
        }
    }
}

TEST_CASE("an answer that comes before the request is whole counts once and is this call's own") {
    ClientPlay play;
    HttpCall call = post(play, 30'000'000);
    call.timeout = Millis(500);
    HttpOutcomes outcome;
    play.client.send(call, outcome.hear());
    REQUIRE(
        runUntil(play.loop, [&] { return !play.server.connections.empty() && requestsReceived(play) == 1; }));
    CallStatus expected = CallStatus::answered;
    SUBCASE("its own") {
        play.at(0).send(answer("early", kOwnId));
    }
    SUBCASE("another's") {
        play.at(0).send(answer("early", "Request-Id: other\r\n"));
        expected = CallStatus::unknown;
    }
    SUBCASE("nobody's") {
        play.at(0).send(answer("early"));
        expected = CallStatus::unknown;
    }
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == expected);
    CHECK(outcome.result.timed_out == (expected == CallStatus::unknown));
    letTimePass(play);
    CHECK(outcome.times == 1);
    CHECK(requestsReceived(play) == 1);
    CHECK(play.server.connections.size() == 1);
}

TEST_CASE("an answer that waits on a new connection is no answer to its first request") {
    ClientPlay play;
    HttpOutcomes outcome;
    HttpCall call = play.getWithId("mine");
    call.timeout = kShortTimeout;
    play.client.send(call, outcome.hear());
    REQUIRE(runUntil(play.loop, [&] { return !play.server.connections.empty(); }));
    SUBCASE("another's") {
        play.at(0).send(answer("stray", "Request-Id: other\r\n"));
    }
    SUBCASE("nobody's") {
        play.at(0).send(answer("stray"));
    }
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    checkClosed(play, 0);
}

TEST_CASE("bytes on an idle connection close it, and no call is sent on it") {
    ClientPlay play;
    play.exchange(0, 1);
    SUBCASE("one byte") {
        play.at(0).send("H");
    }
    SUBCASE("a line end") {
        play.at(0).send("\r\n");
    }
    SUBCASE("an answer") {
        play.at(0).send(answer("stray", kOwnId));
    }
    SUBCASE("an answer whose end is missing") {
        play.at(0).send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    }
    REQUIRE(runUntil(play.loop, [&] { return play.client.connectionsTo(play.server.address) == 0; }));
    HttpOutcomes outcome;
    play.client.send(play.getWithId("mine"), outcome.hear());
    REQUIRE(play.requested(1, 1));
    CHECK(play.at(0).count(kOwnId) == 0);
    play.at(1).send(answer("ok", kOwnId));
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.response.body == "ok");
}

TEST_CASE("an answer that a handler gives late or twice goes to its own request alone") {
    ServerPlay play;
    RawConnection client(play.loop, play.server->address());
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    SUBCASE("twice, after the next request on the connection has come") {
        play.asked[0].respond({200, {}, "one", false});
        REQUIRE(play.receives(client, "one"));
        client.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        REQUIRE(play.askedTimes(2));
        play.asked[0].respond({200, {}, "one again", false});
        play.asked[1].respond({200, {}, "two", false});
        REQUIRE(play.receives(client, "two"));
        CHECK(client.count("one again") == 0);
        CHECK(client.count("HTTP/1.1 200") == 2);
    }
    SUBCASE("late, when its client has come back on a connection of its own") {
        client.reset();
        RawConnection next(play.loop, play.server->address());
        next.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        REQUIRE(play.askedTimes(2));
        play.asked[0].respond({200, {}, "one", false});
        play.asked[1].respond({200, {}, "two", false});
        REQUIRE(play.receives(next, "two"));
        CHECK(next.count("one") == 0);
        CHECK(next.count("HTTP/1.1 200") == 1);
    }
}

}  // namespace amberswitch::cluster
