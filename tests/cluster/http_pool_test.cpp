// Tests of the HTTP client's connection pool, against raw TCP servers on loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/http_fixtures.hpp"

namespace amberswitch::cluster {

using testing::closedAddress;
using testing::HttpClientFixture;
using testing::HttpOutcomeRecorder;
using testing::okResponse;
using testing::RawServer;
using testing::runUntil;

TEST_CASE("an idle connection is reused") {
    HttpClientFixture fixture;
    for (std::size_t request = 1; request <= 4; ++request) fixture.completeExchange(0, request);
    CHECK(fixture.client.counters().connections_opened == 1);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 1);
    CHECK(fixture.server.connections.size() == 1);
}

TEST_CASE("the most recently used idle connection is reused first") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder first;
    HttpOutcomeRecorder second;
    fixture.client.send(fixture.get("/first"), first.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    fixture.client.send(fixture.get("/second"), second.callback());
    REQUIRE(fixture.waitForRequestsOn(1, 1));
    CHECK(fixture.client.connectionCount(fixture.server.address) == 2);
    fixture.serverConnection(1).send(okResponse("2"));
    REQUIRE(fixture.waitForOutcome(second));
    fixture.serverConnection(0).send(okResponse("1"));
    REQUIRE(fixture.waitForOutcome(first));
    fixture.completeExchange(0, 2);
    CHECK(fixture.serverConnection(1).count("\r\n\r\n") == 1);
}

TEST_CASE("a call over the connection limit is not sent") {
    HttpClientFixture fixture;
    HttpCall call = fixture.get();
    call.max_connections = 1;
    HttpOutcomeRecorder first;
    HttpOutcomeRecorder second;
    fixture.client.send(call, first.callback());
    fixture.client.send(call, second.callback());
    CHECK(second.completions == 0);
    REQUIRE(fixture.waitForOutcome(second));
    CHECK(second.result.verdict == CallStatus::not_executed);
    CHECK_FALSE(second.result.unreachable);
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    fixture.serverConnection(0).send(okResponse("1"));
    REQUIRE(fixture.waitForOutcome(first));
    CHECK(fixture.server.connections.size() == 1);
}

TEST_CASE("the peer closes an idle connection") {
    HttpClientFixture fixture;
    fixture.completeExchange(0, 1);
    SUBCASE("and the client notices") {
        fixture.serverConnection(0).close();
        REQUIRE(runUntil(fixture.loop,
                         [&] { return fixture.client.connectionCount(fixture.server.address) == 0; }));
    }
    SUBCASE("and the next call is made before the client notices") {
        fixture.serverConnection(0).close();
    }
    SUBCASE("by a reset, and the next call is made before the client notices") {
        fixture.serverConnection(0).reset();
    }
    fixture.completeExchange(1, 1);
    CHECK(fixture.client.counters().connections_opened == 2);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 1);
}

TEST_CASE("a call on a reused connection that breaks is unknown") {
    HttpClientFixture fixture;
    fixture.completeExchange(0, 1);
    HttpOutcomeRecorder outcome;
    fixture.client.send(fixture.get(), outcome.callback());
    fixture.serverConnection(0).close();
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK_FALSE(outcome.result.unreachable);
    CHECK(fixture.server.connections.size() == 1);  // the call is not retried
}

TEST_CASE("a second response never reaches another call") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder first;
    fixture.client.send(fixture.getWithId("a"), first.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    const std::string own = okResponse("a", "Request-Id: a\r\n");
    SUBCASE("it arrives with the first one") {
        fixture.serverConnection(0).send(own + own);
    }
    SUBCASE("it arrives on the idle connection") {
        fixture.serverConnection(0).send(own);
        REQUIRE(fixture.waitForOutcome(first));
        fixture.serverConnection(0).send(own);
        REQUIRE(runUntil(fixture.loop,
                         [&] { return fixture.client.connectionCount(fixture.server.address) == 0; }));
    }
    SUBCASE("it is in the socket buffer when the next call is made") {
        fixture.serverConnection(0).send(own);
        REQUIRE(fixture.waitForOutcome(first));
        fixture.serverConnection(0).send(own);
    }
    REQUIRE(fixture.waitForOutcome(first));
    CHECK(first.result.response.body == "a");
    HttpOutcomeRecorder second;
    fixture.client.send(fixture.getWithId("b"), second.callback());
    const auto arrivedOn = [&](std::size_t connection, std::size_t requests) {
        return fixture.server.connections.size() > connection &&
               fixture.serverConnection(connection).count("\r\n\r\n") == requests;
    };
    REQUIRE(runUntil(fixture.loop, [&] { return arrivedOn(0, 2) || arrivedOn(1, 1); }));
    // The call may use the first connection if the second response arrives only then; it is discarded there.
    fixture.serverConnection(arrivedOn(0, 2) ? 0 : 1).send(okResponse("b", "Request-Id: b\r\n"));
    REQUIRE(fixture.waitForOutcome(second));
    CHECK(second.result.verdict == CallStatus::answered);
    CHECK(second.result.response.body == "b");
}

TEST_CASE("an idle connection is closed before the server's keep-alive time ends") {
    HttpClientFixture fixture;
    const SteadyTime start = fixture.loop.now();
    fixture.completeExchange(0, 1, "Keep-Alive: timeout=1, max=100\r\n");
    CHECK(fixture.client.connectionCount(fixture.server.address) == 1);
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).closed; }));
    CHECK(fixture.loop.now() - start >= Millis(600));
    CHECK(fixture.loop.now() - start < Millis(1000));
    CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
}

TEST_CASE("a connection is not kept if the server's keep-alive time is 0") {
    HttpClientFixture fixture;
    fixture.completeExchange(0, 1, "Keep-Alive: timeout=0\r\n");
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).closed; }));
}

TEST_CASE("draining an address closes idle connections at once and others after their response") {
    HttpClientFixture fixture;
    fixture.completeExchange(0, 1);
    HttpOutcomeRecorder open;
    fixture.client.send(fixture.get("/idle"), open.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 2));
    HttpOutcomeRecorder busy;
    fixture.client.send(fixture.get("/busy"), busy.callback());
    REQUIRE(fixture.waitForRequestsOn(1, 1));
    fixture.serverConnection(0).send(okResponse("1"));
    REQUIRE(fixture.waitForOutcome(open));
    CHECK(fixture.client.connectionCount(fixture.server.address) == 2);
    fixture.client.drainConnections(fixture.server.address);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 1);
    fixture.serverConnection(1).send(okResponse("2"));
    REQUIRE(fixture.waitForOutcome(busy));
    CHECK(busy.result.verdict == CallStatus::answered);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
    REQUIRE(runUntil(fixture.loop, [&] {
        return fixture.serverConnection(0).closed && fixture.serverConnection(1).closed;
    }));
    fixture.completeExchange(2, 1);
}

TEST_CASE("a done callback can make further calls") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder last;
    HttpCall refused = fixture.get();
    refused.to = closedAddress();
    fixture.client.send(refused, [&](const HttpOutcome& first) {
        CHECK(first.unreachable);
        fixture.client.send(refused, [&](const HttpOutcome&) {
            fixture.client.send(fixture.get(), [&](const HttpOutcome& third) {
                CHECK(third.verdict == CallStatus::answered);
                fixture.client.send(fixture.get("/last"), last.callback());
            });
        });
    });
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    fixture.serverConnection(0).send(okResponse("3"));
    REQUIRE(fixture.waitForRequestsOn(0, 2));
    fixture.serverConnection(0).send(okResponse("4"));
    REQUIRE(fixture.waitForOutcome(last));
    CHECK(last.result.response.body == "4");
    CHECK(fixture.client.counters().connections_opened == 3);
}

TEST_CASE("destroying the client closes its connections without running callbacks") {
    EventLoop loop;
    RawServer server(loop);
    HttpOutcomeRecorder outcome;
    {
        EvhttpClient client(loop);
        client.send({server.address, {"GET", "/", {}, ""}, Millis(5000), 8}, outcome.callback());
        REQUIRE(runUntil(loop, [&] { return !server.connections.empty(); }));
    }
    REQUIRE(runUntil(loop, [&] { return server.connections[0]->closed; }));
    CHECK(outcome.completions == 0);
}

}  // namespace amberswitch::cluster
