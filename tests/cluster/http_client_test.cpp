// Tests of the outcomes that the HTTP client reports, against raw TCP servers on loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/http_fixtures.hpp"

namespace amberswitch::cluster {

using testing::closedAddress;
using testing::HttpClientFixture;
using testing::HttpOutcomeRecorder;
using testing::okResponse;
using testing::RawConnection;
using testing::runUntil;

TEST_CASE("the request is sent unchanged and the response read completely") {
    HttpClientFixture fixture;
    HttpCall call = fixture.get("/a%20b//c?q=1&r=%2F#f");
    call.request.method = "POST";
    call.request.headers = {{"Host", "some.example"}, {"Order-Key", "k 1"}};
    call.request.body = std::string("a\0b", 3);
    HttpOutcomeRecorder outcome;
    fixture.client.send(call, outcome.callback());
    CHECK(outcome.completions == 0);
    const std::string expected =
        "POST /a%20b//c?q=1&r=%2F#f HTTP/1.1\r\nHost: some.example\r\nOrder-Key: k 1\r\nContent-Length: "
        "3\r\n\r\n" +
        call.request.body;
    REQUIRE(runUntil(fixture.loop, [&] {
        return !fixture.server.connections.empty() &&
               fixture.serverConnection(0).received.size() == expected.size();
    }));
    CHECK(fixture.serverConnection(0).received == expected);
    fixture.serverConnection(0).send(
        "HTTP/1.1 422 Never\r\nResponse-Stamp: s.1\r\nX: \r\nContent-Length: 4\r\n\r\nn");
    fixture.loop.runOnce();
    CHECK(outcome.completions == 0);
    fixture.serverConnection(0).send("ope");
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.status == 422);
    CHECK(outcome.result.response.body == "nope");
    CHECK(headerValue(outcome.result.response.headers, "response-stamp") == "s.1");
    CHECK(headerValue(outcome.result.response.headers, "absent").empty());
}

TEST_CASE("all methods are sent") {
    HttpClientFixture fixture;
    std::size_t requests = 0;
    for (const char* method : {"GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS"}) {
        CAPTURE(method);
        HttpCall call = fixture.get();
        call.request.method = method;
        HttpOutcomeRecorder outcome;
        fixture.client.send(call, outcome.callback());
        REQUIRE(fixture.waitForRequestsOn(0, ++requests));
        CHECK(fixture.serverConnection(0).count(std::string(method) + " /x HTTP/1.1\r\n") == 1);
        const bool is_head = call.request.method == "HEAD";
        fixture.serverConnection(0).send(is_head ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
                                                 : okResponse("b"));
        REQUIRE(fixture.waitForOutcome(outcome));
        CHECK(outcome.result.response.body == (is_head ? "" : "b"));
    }
    CHECK(fixture.client.counters().connections_opened == 1);
}

TEST_CASE("a refused connection is reported as not executed, asynchronously") {
    HttpClientFixture fixture;
    HttpCall call = fixture.get();
    call.to = closedAddress();
    HttpOutcomeRecorder outcome;
    fixture.client.send(call, outcome.callback());
    CHECK(outcome.completions == 0);
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::not_executed);
    CHECK(outcome.result.unreachable);
    CHECK(fixture.client.connectionCount(call.to) == 0);
    CHECK(outcome.completions == 1);
}

TEST_CASE("an unreachable address is reported as not executed, asynchronously") {
    HttpClientFixture fixture;
    HttpCall call = fixture.get();
    call.to = {"255.255.255.255", 9};
    HttpOutcomeRecorder outcome;
    fixture.client.send(call, outcome.callback());
    CHECK(outcome.completions == 0);
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::not_executed);
    CHECK(outcome.result.unreachable);
    CHECK(fixture.client.connectionCount(call.to) == 0);
}

TEST_CASE("a call whose connection is not established within 0.3 seconds is not executed") {
    HttpClientFixture fixture;
    const Socket listener = listenOn({"127.0.0.1", 0});
    REQUIRE(listen(listener.descriptor(), 0) == 0);
    RawConnection filler(fixture.loop, localAddress(listener.descriptor()));
    RawConnection second_filler(fixture.loop, localAddress(listener.descriptor()));
    fixture.loop.runOnce();
    HttpCall call = fixture.get();
    call.to = localAddress(listener.descriptor());
    HttpOutcomeRecorder outcome;
    const SteadyTime start = fixture.loop.now();
    SUBCASE("its timeout is longer") {
        fixture.client.send(call, outcome.callback());
        REQUIRE(fixture.waitForOutcome(outcome));
        CHECK(fixture.loop.now() - start >= Millis(300));
        CHECK(fixture.loop.now() - start < Millis(900));
    }
    SUBCASE("its timeout is shorter") {
        call.timeout = Millis(50);
        fixture.client.send(call, outcome.callback());
        REQUIRE(fixture.waitForOutcome(outcome));
        CHECK(fixture.loop.now() - start < Millis(290));
    }
    CHECK(outcome.result.verdict == CallStatus::not_executed);
    CHECK(outcome.result.unreachable);
    CHECK(fixture.client.connectionCount(call.to) == 0);
}

TEST_CASE("a call without a response is unknown, and its connection is closed") {
    HttpClientFixture fixture;
    HttpCall call = fixture.get();
    call.timeout = Millis(60);
    HttpOutcomeRecorder outcome;
    SUBCASE("on a new connection") {}
    SUBCASE("on an idle one") {
        fixture.completeExchange(0, 1);
    }
    const SteadyTime start = fixture.loop.now();
    fixture.client.send(call, outcome.callback());
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(fixture.loop.now() - start >= Millis(60));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK(outcome.result.timed_out);
    CHECK_FALSE(outcome.result.unreachable);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
    REQUIRE(runUntil(fixture.loop, [&] {
        return !fixture.server.connections.empty() && fixture.serverConnection(0).closed;
    }));
}

TEST_CASE("a truncated response is unknown") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    fixture.client.send(fixture.get(), outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    SUBCASE("nothing") {}
    SUBCASE("in the status line") {
        fixture.serverConnection(0).send("HTTP/1.1 20");
    }
    SUBCASE("in the header") {
        fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Le");
    }
    SUBCASE("in the body") {
        fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345");
    }
    SUBCASE("in the body, with close") {
        fixture.serverConnection(0).send(
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\n12345");
    }
    SUBCASE("before the body") {
        fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    }
    SUBCASE("in a chunk") {
        fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123");
    }
    SUBCASE("before the last chunk") {
        fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n");
    }
    SUBCASE("in the last chunk") {
        fixture.serverConnection(0).send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n0\r\n");
    }
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).sentAll(); }));
    fixture.serverConnection(0).close();
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK_FALSE(outcome.result.timed_out);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
}

TEST_CASE("a call whose connection is reset is unknown") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    fixture.client.send(fixture.get(), outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\n\r\nno length");
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).sentAll(); }));
    fixture.serverConnection(0).reset();
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
}

TEST_CASE("a call that receives an invalid response is unknown") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    HttpCall call = fixture.get();
    call.timeout = Millis(100);
    fixture.client.send(call, outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    SUBCASE("garbage") {
        fixture.serverConnection(0).send("bytes\r\n\r\n");
    }
    SUBCASE("no length") {
        fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n");
    }
    SUBCASE("two lengths") {
        fixture.serverConnection(0).send(
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    }
    SUBCASE("another protocol") {
        fixture.serverConnection(0).send("HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    SUBCASE("a status that is not final") {
        fixture.serverConnection(0).send("HTTP/1.1 103 Early Hints\r\n\r\n");
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
}

TEST_CASE("responses without a body and chunked ones are complete") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    fixture.client.send(fixture.get(), outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    std::string body;
    int status = 200;
    SUBCASE("204") {
        status = 204;
        fixture.serverConnection(0).send("HTTP/1.1 204 No Content\r\n\r\n");
    }
    SUBCASE("304") {
        status = 304;
        fixture.serverConnection(0).send("HTTP/1.1 304 Not Modified\r\n\r\n");
    }
    SUBCASE("empty") {
        fixture.serverConnection(0).send(okResponse(""));
    }
    SUBCASE("chunks") {
        body = "12345abc";
        fixture.serverConnection(0).send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n3\r\nabc\r\n0\r\n\r\n");
    }
    SUBCASE("after 100 Continue") {
        body = "ok";
        fixture.serverConnection(0).send("HTTP/1.1 100 Continue\r\n\r\n" + okResponse("ok"));
    }
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.status == status);
    CHECK(outcome.result.response.body == body);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 1);
    fixture.completeExchange(0, 2);
}

TEST_CASE("a server may close the connection after its response") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    fixture.client.send(fixture.get(), outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    SUBCASE("with a header that says so") {
        fixture.serverConnection(0).send(okResponse("ok", "Connection: close\r\n"));
    }
    SUBCASE("without one") {
        fixture.serverConnection(0).send(okResponse("ok"));
    }
    SUBCASE("the end of the connection ends the body") {
        fixture.serverConnection(0).send("HTTP/1.1 200 OK\r\n\r\nok");
    }
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).sentAll(); }));
    fixture.serverConnection(0).close();
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.body == "ok");
    fixture.completeExchange(1, 1);
}

TEST_CASE("a response to another request is not accepted, and its connection is closed") {
    HttpClientFixture fixture;
    HttpOutcomeRecorder outcome;
    HttpCall call = fixture.getWithId("mine");
    call.timeout = Millis(100);
    fixture.client.send(call, outcome.callback());
    REQUIRE(fixture.waitForRequestsOn(0, 1));
    fixture.serverConnection(0).send(okResponse("other's", "Request-Id: other\r\n"));
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.serverConnection(0).closed; }));
}

TEST_CASE("an invalid request is not sent") {
    HttpClientFixture fixture;
    HttpCall call = fixture.get();
    SUBCASE("a target with a space") {
        call.request.target = "/a b";
    }
    SUBCASE("a target with a line end") {
        call.request.target = "/a HTTP/1.1\r\nX: y\r\n\r\n";
    }
    SUBCASE("an empty target") {
        call.request.target = "";
    }
    SUBCASE("an unknown method") {
        call.request.method = "FETCH";
    }
    SUBCASE("a header with a line end") {
        call.request.headers.push_back({"X", "a\r\nY: b"});
    }
    HttpOutcomeRecorder outcome;
    fixture.client.send(call, outcome.callback());
    CHECK(outcome.completions == 0);
    REQUIRE(fixture.waitForOutcome(outcome));
    CHECK(outcome.result.verdict == CallStatus::not_executed);
    CHECK(fixture.client.connectionCount(fixture.server.address) == 0);
    CHECK(fixture.server.connections.empty());
}

}  // namespace amberswitch::cluster
