// Tests that the HTTP client sends each call at most once, however its connection ends, and accepts no
// response that may belong to another call. Uses raw TCP peers on loopback.
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

constexpr Millis kQuietPeriod{40};
constexpr Millis kShortTimeout{80};
const std::string kOwnIdHeader = "Request-Id: mine\r\n";

// The number of requests with the id `mine` that the server received, on all its connections.
std::size_t requestsReceived(const HttpClientFixture& fixture) {
    std::size_t requests = 0;
    for (const auto& connection : fixture.server.connections)
        requests += connection->count("Request-Id: mine\r\n");
    return requests;
}

void runForQuietPeriod(HttpClientFixture& fixture) {
    runUntil(
        fixture.loop, [] { return false; }, kQuietPeriod);
}

HttpCall post(HttpClientFixture& fixture, std::size_t body_bytes) {
    HttpCall call = fixture.getWithId("mine");
    call.request.method = "POST";
    call.request.body.assign(body_bytes, 'x');
    return call;
}

// How the server ends its connection.
enum class ConnectionEnd { none, close, reset, end_of_sending };

struct Fault {
    std::string name;
    bool reads_request = false;  // before the response and the end
    std::string answer;
    ConnectionEnd end = ConnectionEnd::none;
};

void endConnection(RawConnection& connection, ConnectionEnd end) {
    if (end == ConnectionEnd::close) connection.close();
    if (end == ConnectionEnd::reset) connection.reset();
    if (end == ConnectionEnd::end_of_sending) connection.shutdownSending();
}

// Checks that the client has closed its only connection.
void checkClosed(HttpClientFixture& fixture, std::size_t connection) {
    CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
    CHECK(runUntil(fixture.loop, [&] { return fixture.serverConnection(connection).closed; }));
}

}  // namespace

TEST_CASE(
    "a response that does not repeat the request's id does not end the call, and its connection is closed") {
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
        fixture.serverConnection(0).send(okResponse("done", "Request-Id: other\r\n" + kOwnIdHeader));
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
        CHECK(outcome.result.verdict == CallStatus::unknown);
        CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
        return;
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.completions == 1);
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK(outcome.result.timed_out);
    CHECK_FALSE(outcome.result.unreachable);
    checkClosed(fixture, 0);
}

// Responses to other calls that a server may send before that to the open call.
const std::string kEarlierResponse = okResponse("old", "Response-Stamp: s.0\r\nRequest-Id: first\r\n");
const std::string kUnknownResponse = okResponse("old", "Response-Stamp: s.0\r\nRequest-Id: other\r\n");
const std::string kResponseWithoutId = okResponse("old", "Response-Stamp: s.0\r\n");
const std::string kOwnResponse = okResponse("done", "Response-Stamp: s.1\r\n" + kOwnIdHeader);

// Completes an exchange with id `first`, then sends a call with id `mine` on the same connection.
void sendOnUsedConnection(HttpClientFixture& fixture, HttpOutcomeRecorder& outcome) {
    HttpOutcomeRecorder earlier;
    fixture.client.send(fixture.getWithId("first"), earlier.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    fixture.serverConnection(0).send(kEarlierResponse);
    REQUIRE(fixture.waitForOutcome(earlier));
    fixture.client.send(fixture.getWithId("mine"), outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 2));
}

TEST_CASE("a call accepts its own response after responses to other calls") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    sendOnUsedConnection(fixture, outcome);
    SUBCASE("a second response to an earlier call, in one piece with its own") {
        fixture.serverConnection(0).send(kEarlierResponse + kOwnResponse);
    }
    SUBCASE("a second response to an earlier call, and its own later") {
        fixture.serverConnection(0).send(kEarlierResponse);
        runForQuietPeriod(fixture);
        CHECK(outcome.completions == 0);
        fixture.serverConnection(0).send(kOwnResponse);
    }
    SUBCASE("byte by byte") {
        for (const char byte : kEarlierResponse + kOwnResponse) {
            fixture.serverConnection(0).send(std::string(1, byte));
            fixture.loop.runOnce();
        }
    }
    SUBCASE("a response to a call that this connection did not carry") {
        fixture.serverConnection(0).send(kUnknownResponse + kOwnResponse);
    }
    SUBCASE("the server stops sending after them") {
        fixture.serverConnection(0).send(kEarlierResponse + kOwnResponse);
        REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).sentAll(); }));
        fixture.serverConnection(0).shutdownSending();
    }
    SUBCASE("chunked ones") {
        const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
        fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\nRequest-Id: first\r\nResponse-Stamp: s.0\r\n" +
                                         chunked + "HTTP/1.1 200 OK\r\nResponse-Stamp: s.1\r\n" +
                                         kOwnIdHeader + chunked);
    }
    SUBCASE("one without a body") {
        fixture.serverConnection(0).send("HTTP/1.1 204 No Content\r\nRequest-Id: first\r\n\r\n" +
                                         kOwnResponse);
    }
    SUBCASE("a refusal, which would allow another attempt elsewhere") {
        fixture.serverConnection(0).send(
            "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n" +
            kOwnResponse);
    }
    SUBCASE("a response without an id") {
        fixture.serverConnection(0).send(kResponseWithoutId + kOwnResponse);
    }
    SUBCASE("several") {
        fixture.serverConnection(0).send(kEarlierResponse + kResponseWithoutId + kUnknownResponse +
                                         kOwnResponse);
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.completions == 1);
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.body == "done");
    CHECK(headerValue(outcome.result.response.headers, "Response-Stamp") == "s.1");
    CHECK(requestsReceived(fixture) == 1);
    checkClosed(fixture, 0);
}

// Guards against a call that ends as unknown, and runs again, although its own response has been received.
TEST_CASE("a response that comes behind another call's in the turn of the time-out is accepted") {
    HttpClientFixture fixture;
    fixture.completeExchange(0, 1);
    HttpOutcomeRecorder outcome;
    HttpCall call = fixture.getWithId("mine");
    call.timeout = kShortTimeout;
    const SteadyTime time_out = fixture.loop.now() + kShortTimeout;
    fixture.client.send(call, outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 2));
    fixture.serverConnection(0).send(kResponseWithoutId + kOwnResponse);
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).sentAll(); }));
    while (fixture.loop.now() <= time_out) {  // the loop is held up while bytes and time-out come
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.completions == 1);
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.body == "done");
    CHECK(requestsReceived(fixture) == 1);
    checkClosed(fixture, 0);
}

TEST_CASE("a truncated response after one to another call leaves the call unknown") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    sendOnUsedConnection(fixture, outcome);
    fixture.serverConnection(0).send(kEarlierResponse + kOwnResponse.substr(0, kOwnResponse.size() - 2));
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).sentAll(); }));
    SUBCASE("closed") {
        fixture.serverConnection(0).close();
    }
    SUBCASE("reset") {
        runForQuietPeriod(fixture);
        fixture.serverConnection(0).reset();
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
}

TEST_CASE("nothing is sent to read the next response after one was discarded") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    sendOnUsedConnection(fixture, outcome);
    const std::size_t sent = fixture.serverConnection(0).received.size();
    fixture.serverConnection(0).send(kEarlierResponse);
    runForQuietPeriod(fixture);
    // No request is written to read another response.
    CHECK(fixture.serverConnection(0).received.size() == sent);
    fixture.serverConnection(0).send(kOwnResponse);
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.response.body == "done");
    CHECK(fixture.serverConnection(0).received.size() == sent);
}

TEST_CASE("a status that is not final does not end a call") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    fixture.client.send(fixture.getWithId("mine"), outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    fixture.serverConnection(0).send("HTTP/1.1 103 Early Hints\r\n" + kOwnIdHeader + "\r\n" + kOwnResponse);
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.body == "done");
}

TEST_CASE("too many responses to other calls end a call as unknown") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    sendOnUsedConnection(fixture, outcome);
    for (int i = 0; i < 100; ++i) fixture.serverConnection(0).send(kEarlierResponse);
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK_FALSE(outcome.result.timed_out);
    CHECK(fixture.client.counters().too_many_others == 1);
    checkClosed(fixture, 0);
}

TEST_CASE("a call without an id accepts no response that is followed by another one") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    SUBCASE("on a connection that carried another call") {
        fixture.completeExchange(0, 1);
        fixture.client.send(fixture.get(), outcome.callback());
        REQUIRE(fixture.waitForRequestsOn(0, 2));
        fixture.serverConnection(0).send(okResponse("old") + okResponse("done"));
        REQUIRE(fixture.waitForOutcome(outcome));
        CHECK(outcome.result.verdict == CallStatus::unknown);
        CHECK(fixture.client.counters().answers_ambiguous == 1);
    }
    SUBCASE("except as the first call of a new connection") {
        fixture.client.send(fixture.get(), outcome.callback());
        REQUIRE(fixture.waitForRequestsOn(0, 1));
        fixture.serverConnection(0).send(okResponse("done") + okResponse("again"));
        REQUIRE(fixture.waitForOutcome(outcome));
        CHECK(outcome.result.verdict == CallStatus::answered);
        CHECK(outcome.result.response.body == "done");
    }
    checkClosed(fixture, 0);
}

TEST_CASE("a response with the id of its call is accepted at once, even if more bytes follow it") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    sendOnUsedConnection(fixture, outcome);
    fixture.serverConnection(0).send(kOwnResponse + kOwnResponse);
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.body == "done");
    checkClosed(fixture, 0);
}

TEST_CASE("a call without an id accepts a response without one") {
    HttpClientFixture fixture;
    fixture.completeExchange(0, 1);
    fixture.completeExchange(0, 2, "Request-Id: any\r\n");
    CHECK(fixture.client.counters().connections_opened == 1);
}

TEST_CASE("a repeated attempt never accepts a second response to the first attempt") {
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
        "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + kOwnIdHeader + "Content-Length: 0\r\n\r\n";
    fixture.serverConnection(0).send(refusal);
    REQUIRE(fixture.waitForOutcome(first));
    CHECK(first.result.response.status == 503);
    HttpOutcomeRecorder second;
    fixture.client.send(call, second.callback());
    fixture.serverConnection(0).send(refusal);  // arrives after the second attempt was sent
    REQUIRE(fixture.waitForRequestsOn(1, 1));
    runForQuietPeriod(fixture);
    CHECK(second.completions == 0);
    fixture.serverConnection(1).send(okResponse("done", kOwnIdHeader));
    REQUIRE(fixture.waitForOutcome(second));
    CHECK(second.result.response.status == 200);
    CHECK(second.result.response.body == "done");
}

TEST_CASE("a connection is reused for other ids, but not for one that it recently carried") {
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

TEST_CASE("a call on a connection that fails is sent once and ends once, as unknown") {
    const std::string part = "HTTP/1.1 200 OK\r\n" + kOwnIdHeader + "Content-Length: 9\r\n\r\nab";
    const std::string endless = "HTTP/1.1 200 OK\r\n" + kOwnIdHeader + "\r\nab";
    const std::vector<Fault> faults{
        {"reset before the request is read", false, "", ConnectionEnd::reset},
        {"closed before the request is read", false, "", ConnectionEnd::close},
        {"sending ended before the request is read", false, "", ConnectionEnd::end_of_sending},
        {"reset after the request", true, "", ConnectionEnd::reset},
        {"closed after the request", true, "", ConnectionEnd::close},
        {"silence after the request", true, "", ConnectionEnd::none},
        {"reset in the response", true, part, ConnectionEnd::reset},
        {"closed in the response", true, part, ConnectionEnd::close},
        {"silence in the response", true, part, ConnectionEnd::none},
        {"a response body without an end", true, endless, ConnectionEnd::none},
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
            endConnection(fixture.serverConnection(0), fault.end);
            REQUIRE(fixture.waitForOutcome(outcome));
            CHECK(outcome.result.verdict == CallStatus::unknown);
            runForQuietPeriod(fixture);
            CHECK(outcome.completions == 1);
            CHECK(requestsReceived(fixture) <= 1);
            CHECK(fixture.server.connections.size() == 1);
            CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
        }
    }
}

TEST_CASE("a connection that breaks in the middle of a request leaves it unknown, and it is not sent again") {
    for (const ConnectionEnd end : {ConnectionEnd::reset, ConnectionEnd::close}) {
        for (const bool is_reused : {false, true}) {
            INFO((end == ConnectionEnd::reset ? "reset" : "closed") << " " << is_reused);
            HttpClientFixture fixture;
            if (is_reused) fixture.completeExchange(0, 1);
            HttpOutcomeRecorder outcome;
            fixture.client.send(post(fixture, 30'000'000), outcome.callback());
            REQUIRE(runUntil(fixture.loop, [&] { return requestsReceived(fixture) == 1; }));
            fixture.serverConnection(0).stopReading();
            endConnection(fixture.serverConnection(0), end);
            REQUIRE(fixture.waitForOutcome(outcome));
            CHECK(outcome.result.verdict == CallStatus::unknown);
            runForQuietPeriod(fixture);
            CHECK(outcome.completions == 1);
            CHECK(fixture.server.connections.size() == 1);
        }
    }
}

TEST_CASE(
    "an early response, before the request is completely sent, is accepted once, and only with the call's "
    "id") {
    HttpClientFixture fixture;
    HttpCall call = post(fixture, 30'000'000);
    call.timeout = Millis(500);
    HttpOutcomeRecorder outcome;
    fixture.client.send(call, outcome.callback());
    REQUIRE(runUntil(fixture.loop,
                     [&] { return !fixture.server.connections.empty() && requestsReceived(fixture) == 1; }));
    CallStatus expected = CallStatus::answered;
    SUBCASE("with its own id") {
        fixture.serverConnection(0).send(okResponse("early", kOwnIdHeader));
    }
    SUBCASE("with another id") {
        fixture.serverConnection(0).send(okResponse("early", "Request-Id: other\r\n"));
        expected = CallStatus::unknown;
    }
    SUBCASE("without an id") {
        fixture.serverConnection(0).send(okResponse("early"));
        expected = CallStatus::unknown;
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == expected);
    CHECK(outcome.result.timed_out == (expected == CallStatus::unknown));
    runForQuietPeriod(fixture);
    CHECK(outcome.completions == 1);
    CHECK(requestsReceived(fixture) == 1);
    CHECK(fixture.server.connections.size() == 1);
}

TEST_CASE("a response already received on a new connection does not end its first call") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    HttpCall call = fixture.getWithId("mine");
    call.timeout = kShortTimeout;
    fixture.client.send(call, outcome.callback());
    REQUIRE(runUntil(fixture.loop, [&] { return !fixture.server.connections.empty(); }));
    SUBCASE("with another id") {
        fixture.serverConnection(0).send(okResponse("stray", "Request-Id: other\r\n"));
    }
    SUBCASE("without an id") {
        fixture.serverConnection(0).send(okResponse("stray"));
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    checkClosed(fixture, 0);
}

TEST_CASE("unexpected bytes close an idle connection, and no call is sent on it") {
    HttpClientFixture fixture;
    fixture.completeExchange(0, 1);
    SUBCASE("one byte") {
        fixture.serverConnection(0).send("H");
    }
    SUBCASE("a line end") {
        fixture.serverConnection(0).send("\r\n");
    }
    SUBCASE("a response") {
        fixture.serverConnection(0).send(okResponse("stray", kOwnIdHeader));
    }
    SUBCASE("a truncated response") {
        fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    }
    REQUIRE(
        runUntil(fixture.loop, [&] { return fixture.client.connectionCount(fixture.server.address) == 0; }));
    HttpOutcomeRecorder outcome;
    fixture.client.send(fixture.getWithId("mine"), outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(1, 1));
    CHECK(fixture.serverConnection(0).count(kOwnIdHeader) == 0);
    fixture.serverConnection(1).send(okResponse("ok", kOwnIdHeader));
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.response.body == "ok");
}

TEST_CASE("a late or repeated response of a handler does not reach another request") {
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
    SUBCASE("late, after the client has connected again") {
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
