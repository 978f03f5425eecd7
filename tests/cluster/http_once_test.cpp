// Calls that may not be repeated: each is sent once whatever becomes of its connection, and takes no answer
// that may be another one's. Raw peers on loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/cluster/http_fixtures.hpp"

namespace amberswitch::cluster {

using testing::HttpClientFixture;
using testing::HttpOutcomeRecorder;
using testing::HttpServerFixture;
using testing::okResponse;
using testing::RawConnection;
using testing::runUntil;

namespace {

constexpr Millis kAWhile{40};
constexpr Millis kShortTimeout{80};
const std::string kOwnId = "Request-Id: mine\r\n";

// All that the server received, on all its connections.
std::size_t requestsReceived(const HttpClientFixture& fixture) {
    std::size_t requests = 0;
    for (const auto& connection : fixture.server.connections)
        requests += connection->count("Request-Id: mine\r\n");
    return requests;
}

void letTimePass(HttpClientFixture& fixture) {
    runUntil(
        fixture.loop, [] { return false; }, kAWhile);
}

HttpCall post(HttpClientFixture& fixture, std::size_t body_bytes) {
    HttpCall call = fixture.getWithId("mine");
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
void checkClosed(HttpClientFixture& fixture, std::size_t connection) {
    CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
    CHECK(runUntil(fixture.loop, [&] { return fixture.serverConnection(connection).closed; }));
}

}  // namespace

TEST_CASE(
    "an answer that does not repeat the request's id never ends its call, and its connection is closed") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    HttpCall call = fixture.getWithId("mine");
    call.timeout = kShortTimeout;
    fixture.client.send(call, outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    SUBCASE("a success without an id") {
        fixture.serverConnection(0).send(okResponse("done", "Response-Stamp: s.1\r\n"));
    }
    SUBCASE("a success with an empty id") {
        fixture.serverConnection(0).send(okResponse("done", "Response-Stamp: s.1\r\nRequest-Id: \r\n"));
    }
    SUBCASE("a success with another id") {
        fixture.serverConnection(0).send(okResponse("done", "Response-Stamp: s.1\r\nRequest-Id: other\r\n"));
    }
    SUBCASE("a success whose first id is another one") {
        fixture.serverConnection(0).send(okResponse("done", "Request-Id: other\r\n" + kOwnId));
    }
    SUBCASE("a success whose id only begins as the request's") {
        fixture.serverConnection(0).send(okResponse("done", "Request-Id: mine-2\r\n"));
    }
    SUBCASE("a refusal without an id") {
        fixture.serverConnection(0).send("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    SUBCASE("a failure without an id") {
        fixture.serverConnection(0).send("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
    }
    SUBCASE("no length and no id") {
        fixture.serverConnection(0).send(
            "HTTP/1.1 200 OK\r\nResponse-Stamp: s.1\r\nConnection: close\r\n\r\ndone");
        REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).sentAll(); }));
        fixture.serverConnection(0).close();
        REQUIRE(fixture.waitForOutcome(outcome));
        CHECK(outcome.result.verdict == Verdict::unknown);
        CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
        return;
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.completions == 1);
    CHECK(outcome.result.verdict == Verdict::unknown);
    CHECK(outcome.result.timed_out);
    CHECK_FALSE(outcome.result.unreachable);
    checkClosed(fixture, 0);
}

// Answers to other calls that a server may send before a call's own.
const std::string kToEarlierCall = okResponse("old", "Response-Stamp: s.0\r\nRequest-Id: first\r\n");
const std::string kToUnknownCall = okResponse("old", "Response-Stamp: s.0\r\nRequest-Id: other\r\n");
const std::string kToNobody = okResponse("old", "Response-Stamp: s.0\r\n");
const std::string kToOwnCall = okResponse("done", "Response-Stamp: s.1\r\n" + kOwnId);

// One exchange with id `first`, then a call with id `mine` on the same connection.
void sendOnUsedConnection(HttpClientFixture& fixture, HttpOutcomeRecorder& outcome) {
    HttpOutcomeRecorder earlier;
    fixture.client.send(fixture.getWithId("first"), earlier.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    fixture.serverConnection(0).send(kToEarlierCall);
    REQUIRE(fixture.waitForOutcome(earlier));
    fixture.client.send(fixture.getWithId("mine"), outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 2));
}

TEST_CASE("a call's own answer counts although answers to other calls come before it") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    sendOnUsedConnection(fixture, outcome);
    SUBCASE("a second answer to an earlier call, in one piece with its own") {
        fixture.serverConnection(0).send(kToEarlierCall + kToOwnCall);
    }
    SUBCASE("a second answer to an earlier call, and its own later") {
        fixture.serverConnection(0).send(kToEarlierCall);
        letTimePass(fixture);
        CHECK(outcome.completions == 0);
        fixture.serverConnection(0).send(kToOwnCall);
    }
    SUBCASE("byte by byte") {
        for (const char byte : kToEarlierCall + kToOwnCall) {
            fixture.serverConnection(0).send(std::string(1, byte));
            fixture.loop.runOnce();
        }
    }
    SUBCASE("an answer to a call that this connection did not carry") {
        fixture.serverConnection(0).send(kToUnknownCall + kToOwnCall);
    }
    SUBCASE("and the server ends its connection behind them") {
        fixture.serverConnection(0).send(kToEarlierCall + kToOwnCall);
        REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).sentAll(); }));
        fixture.serverConnection(0).shutdownSending();
    }
    SUBCASE("chunked ones") {
        const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
        fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\nRequest-Id: first\r\nResponse-Stamp: s.0\r\n" +
                                         chunked + "HTTP/1.1 200 OK\r\nResponse-Stamp: s.1\r\n" + kOwnId +
                                         chunked);
    }
    SUBCASE("one without a body") {
        fixture.serverConnection(0).send("HTTP/1.1 204 No Content\r\nRequest-Id: first\r\n\r\n" + kToOwnCall);
    }
    SUBCASE("a refusal, which would let the call be sent elsewhere") {
        fixture.serverConnection(0).send(
            "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n" +
            kToOwnCall);
    }
    SUBCASE("an answer without an id") {
        fixture.serverConnection(0).send(kToNobody + kToOwnCall);
    }
    SUBCASE("several") {
        fixture.serverConnection(0).send(kToEarlierCall + kToNobody + kToUnknownCall + kToOwnCall);
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.completions == 1);
    CHECK(outcome.result.verdict == Verdict::answered);
    CHECK(outcome.result.response.body == "done");
    CHECK(headerValue(outcome.result.response.headers, "Response-Stamp") == "s.1");
    CHECK(requestsReceived(fixture) == 1);
    checkClosed(fixture, 0);
}

TEST_CASE("an own answer that is cut short behind another's leaves the call unknown") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    sendOnUsedConnection(fixture, outcome);
    fixture.serverConnection(0).send(kToEarlierCall + kToOwnCall.substr(0, kToOwnCall.size() - 2));
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).sentAll(); }));
    SUBCASE("closed") {
        fixture.serverConnection(0).close();
    }
    SUBCASE("reset") {
        letTimePass(fixture);
        fixture.serverConnection(0).reset();
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == Verdict::unknown);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
}

TEST_CASE("a call is sent with its own bytes alone after an answer was dropped") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    sendOnUsedConnection(fixture, outcome);
    const std::size_t sent = fixture.serverConnection(0).received.size();
    fixture.serverConnection(0).send(kToEarlierCall);
    letTimePass(fixture);
    CHECK(fixture.serverConnection(0).received.size() == sent);  // nothing is written to read one more
    fixture.serverConnection(0).send(kToOwnCall);
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.response.body == "done");
    CHECK(fixture.serverConnection(0).received.size() == sent);
}

TEST_CASE("a status that is not final does not end a call") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    fixture.client.send(fixture.getWithId("mine"), outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    fixture.serverConnection(0).send("HTTP/1.1 103 Early Hints\r\n" + kOwnId + "\r\n" + kToOwnCall);
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == Verdict::answered);
    CHECK(outcome.result.response.body == "done");
}

TEST_CASE("a server that goes on answering other calls ends a call as unknown") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    sendOnUsedConnection(fixture, outcome);
    for (int i = 0; i < 100; ++i) fixture.serverConnection(0).send(kToEarlierCall);
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == Verdict::unknown);
    CHECK_FALSE(outcome.result.timed_out);
    CHECK(fixture.client.counters().too_many_others == 1);
    checkClosed(fixture, 0);
}

TEST_CASE("a call without an id takes no answer behind which another one arrived") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    SUBCASE("on a connection that carried another call") {
        fixture.completeExchange(0, 1);
        fixture.client.send(fixture.get(), outcome.callback());
        REQUIRE(fixture.waitForRequestsOn(0, 2));
        fixture.serverConnection(0).send(okResponse("old") + okResponse("done"));
        REQUIRE(fixture.waitForOutcome(outcome));
        CHECK(outcome.result.verdict == Verdict::unknown);
        CHECK(fixture.client.counters().answers_ambiguous == 1);
    }
    SUBCASE("but the first one of a new connection") {
        fixture.client.send(fixture.get(), outcome.callback());
        REQUIRE(fixture.waitForRequestsOn(0, 1));
        fixture.serverConnection(0).send(okResponse("done") + okResponse("again"));
        REQUIRE(fixture.waitForOutcome(outcome));
        CHECK(outcome.result.verdict == Verdict::answered);
        CHECK(outcome.result.response.body == "done");
    }
    checkClosed(fixture, 0);
}

TEST_CASE("an answer to a call with an id is taken at once although more arrived behind it") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    sendOnUsedConnection(fixture, outcome);
    fixture.serverConnection(0).send(kToOwnCall + kToOwnCall);
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == Verdict::answered);
    CHECK(outcome.result.response.body == "done");
    checkClosed(fixture, 0);
}

TEST_CASE("a call without an id needs none in its answer") {
    HttpClientFixture fixture;
    fixture.completeExchange(0, 1);
    fixture.completeExchange(0, 2, "Request-Id: any\r\n");
    CHECK(fixture.client.counters().connections_opened == 1);
}

TEST_CASE("a message that is sent again never takes a second answer to its first attempt") {
    HttpClientFixture fixture;
    HttpCall call = fixture.getWithId("mine");
    SUBCASE("with connections to spare") {}
    SUBCASE("where a single connection is allowed") {
        call.max_connections = 1;
    }
    HttpOutcomeRecorder first;
    fixture.client.send(call, first.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    const std::string refusal =
        "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + kOwnId + "Content-Length: 0\r\n\r\n";
    fixture.serverConnection(0).send(refusal);
    REQUIRE(fixture.waitForOutcome(first));
    CHECK(first.result.response.status == 503);
    HttpOutcomeRecorder second;
    fixture.client.send(call, second.callback());
    fixture.serverConnection(0).send(refusal);  // comes after the next attempt was sent
    REQUIRE(fixture.waitForRequestsOn(1, 1));
    letTimePass(fixture);
    CHECK(second.completions == 0);
    fixture.serverConnection(1).send(okResponse("done", kOwnId));
    REQUIRE(fixture.waitForOutcome(second));
    CHECK(second.result.response.status == 200);
    CHECK(second.result.response.body == "done");
}

TEST_CASE("a connection is used again for other messages, and not for one that it carried before them") {
    HttpClientFixture fixture;
    for (const std::string id : {"mine", "b", "c"}) {
        HttpOutcomeRecorder outcome;
        fixture.client.send(fixture.getWithId(id), outcome.callback());
        REQUIRE(runUntil(fixture.loop, [&] {
            return !fixture.server.connections.empty() &&
                   fixture.serverConnection(0).count("Request-Id: " + id + "\r\n") == 1;
        }));
        fixture.serverConnection(0).send(okResponse("ok", "Request-Id: " + id + "\r\n"));
        REQUIRE(fixture.waitForOutcome(outcome));
    }
    HttpOutcomeRecorder again;
    fixture.client.send(fixture.getWithId("mine"), again.callback());
    REQUIRE(fixture.waitForRequestsOn(1, 1));
    CHECK(fixture.client.counters().connections_opened == 2);
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
            HttpClientFixture fixture;
            if (is_reused) fixture.completeExchange(0, 1);
            HttpCall call = post(fixture, 3);
            call.timeout = Millis(60);
            HttpOutcomeRecorder outcome;
            fixture.client.send(call, outcome.callback());
            REQUIRE(runUntil(fixture.loop, [&] { return !fixture.server.connections.empty(); }));
            if (fault.reads_request)
                REQUIRE(
                    runUntil(fixture.loop, [&] { return fixture.serverConnection(0).count("xxx") == 1; }));
            fixture.serverConnection(0).send(fault.answer);
            REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).sentAll(); }));
            breakOff(fixture.serverConnection(0), fault.end);
            REQUIRE(fixture.waitForOutcome(outcome));
            CHECK(outcome.result.verdict == Verdict::unknown);
            letTimePass(fixture);
            CHECK(outcome.completions == 1);
            CHECK(requestsReceived(fixture) <= 1);
            CHECK(fixture.server.connections.size() == 1);
            CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
        }
    }
}

TEST_CASE("a connection that breaks in the middle of a request leaves it unknown, and it is not sent again") {
    for (const Break end : {Break::reset, Break::close}) {
        for (const bool is_reused : {false, true}) {
            INFO((end == Break::reset ? "reset" : "closed") << " " << is_reused);
            HttpClientFixture fixture;
            if (is_reused) fixture.completeExchange(0, 1);
            HttpOutcomeRecorder outcome;
            fixture.client.send(post(fixture, 30'000'000), outcome.callback());
            REQUIRE(runUntil(fixture.loop, [&] { return requestsReceived(fixture) == 1; }));
            fixture.serverConnection(0).stopReading();
            breakOff(fixture.serverConnection(0), end);
            REQUIRE(fixture.waitForOutcome(outcome));
            CHECK(outcome.result.verdict == Verdict::unknown);
            letTimePass(fixture);
            CHECK(outcome.completions == 1);
            CHECK(fixture.server.connections.size() == 1);
        }
    }
}

TEST_CASE("an answer that comes before the request is whole counts once and is this call's own") {
    HttpClientFixture fixture;
    HttpCall call = post(fixture, 30'000'000);
    call.timeout = Millis(500);
    HttpOutcomeRecorder outcome;
    fixture.client.send(call, outcome.callback());
    REQUIRE(runUntil(fixture.loop,
                     [&] { return !fixture.server.connections.empty() && requestsReceived(fixture) == 1; }));
    Verdict expected = Verdict::answered;
    SUBCASE("its own") {
        fixture.serverConnection(0).send(okResponse("early", kOwnId));
    }
    SUBCASE("another's") {
        fixture.serverConnection(0).send(okResponse("early", "Request-Id: other\r\n"));
        expected = Verdict::unknown;
    }
    SUBCASE("nobody's") {
        fixture.serverConnection(0).send(okResponse("early"));
        expected = Verdict::unknown;
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == expected);
    CHECK(outcome.result.timed_out == (expected == Verdict::unknown));
    letTimePass(fixture);
    CHECK(outcome.completions == 1);
    CHECK(requestsReceived(fixture) == 1);
    CHECK(fixture.server.connections.size() == 1);
}

TEST_CASE("an answer that waits on a new connection is no answer to its first request") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    HttpCall call = fixture.getWithId("mine");
    call.timeout = kShortTimeout;
    fixture.client.send(call, outcome.callback());
    REQUIRE(runUntil(fixture.loop, [&] { return !fixture.server.connections.empty(); }));
    SUBCASE("another's") {
        fixture.serverConnection(0).send(okResponse("stray", "Request-Id: other\r\n"));
    }
    SUBCASE("nobody's") {
        fixture.serverConnection(0).send(okResponse("stray"));
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == Verdict::unknown);
    checkClosed(fixture, 0);
}

TEST_CASE("bytes on an idle connection close it, and no call is sent on it") {
    HttpClientFixture fixture;
    fixture.completeExchange(0, 1);
    SUBCASE("one byte") {
        fixture.serverConnection(0).send("H");
    }
    SUBCASE("a line end") {
        fixture.serverConnection(0).send("\r\n");
    }
    SUBCASE("an answer") {
        fixture.serverConnection(0).send(okResponse("stray", kOwnId));
    }
    SUBCASE("an answer whose end is missing") {
        fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    }
    REQUIRE(
        runUntil(fixture.loop, [&] { return fixture.client.connectionCount(fixture.server.address) == 0; }));
    HttpOutcomeRecorder outcome;
    fixture.client.send(fixture.getWithId("mine"), outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(1, 1));
    CHECK(fixture.serverConnection(0).count(kOwnId) == 0);
    fixture.serverConnection(1).send(okResponse("ok", kOwnId));
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.response.body == "ok");
}

TEST_CASE("an answer that a handler gives late or twice goes to its own request alone") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    SUBCASE("twice, after the next request on the connection has come") {
        fixture.requests[0].respond({200, {}, "one", false});
        REQUIRE(fixture.waitForText(client, "one"));
        client.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        REQUIRE(fixture.waitForRequests(2));
        fixture.requests[0].respond({200, {}, "one again", false});
        fixture.requests[1].respond({200, {}, "two", false});
        REQUIRE(fixture.waitForText(client, "two"));
        CHECK(client.count("one again") == 0);
        CHECK(client.count("HTTP/1.1 200") == 2);
    }
    SUBCASE("late, when its client has come back on a connection of its own") {
        client.reset();
        RawConnection next(fixture.loop, fixture.server->address());
        next.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        REQUIRE(fixture.waitForRequests(2));
        fixture.requests[0].respond({200, {}, "one", false});
        fixture.requests[1].respond({200, {}, "two", false});
        REQUIRE(fixture.waitForText(next, "two"));
        CHECK(next.count("one") == 0);
        CHECK(next.count("HTTP/1.1 200") == 1);
    }
}

}  // namespace amberswitch::cluster
