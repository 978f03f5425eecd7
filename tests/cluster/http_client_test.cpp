// What the HTTP client makes of each answer, against raw peers on loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/http_play.hpp"

namespace amberswitch::cluster {

using testing::answer;
using testing::ClientPlay;
using testing::closedAddress;
using testing::HttpOutcomes;
using testing::RawConnection;
using testing::runUntil;

TEST_CASE("the request is sent as given and the answer read whole") {
    ClientPlay play;
    HttpCall call = play.get("/a%20b//c?q=1&r=%2F#f");
    call.request.method = "POST";
    call.request.headers = {{"Host", "some.example"}, {"Order-Key", "k 1"}};
    call.request.body = std::string("a\0b", 3);
    HttpOutcomes outcome;
    play.client.send(call, outcome.hear());
    CHECK(outcome.times == 0);
    const std::string expected =
        "POST /a%20b//c?q=1&r=%2F#f HTTP/1.1\r\nHost: some.example\r\nOrder-Key: k 1\r\nContent-Length: "
        "3\r\n\r\n" +
        call.request.body;
    REQUIRE(runUntil(play.loop, [&] {
        return !play.server.connections.empty() && play.at(0).received.size() == expected.size();
    }));
    CHECK(play.at(0).received == expected);
    play.at(0).send("HTTP/1.1 422 Never\r\nResponse-Stamp: s.1\r\nX: \r\nContent-Length: 4\r\n\r\nn");
    play.loop.runOnce();
    CHECK(outcome.times == 0);
    play.at(0).send("ope");
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.status == 422);
    CHECK(outcome.result.response.body == "nope");
    CHECK(headerValue(outcome.result.response.headers, "response-stamp") == "s.1");
    CHECK(headerValue(outcome.result.response.headers, "absent").empty());
}

TEST_CASE("all methods are sent") {
    ClientPlay play;
    std::size_t requests = 0;
    for (const char* method : {"GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS"}) {
        CAPTURE(method);
        HttpCall call = play.get();
        call.request.method = method;
        HttpOutcomes outcome;
        play.client.send(call, outcome.hear());
        REQUIRE(play.requested(0, ++requests));
        CHECK(play.at(0).count(std::string(method) + " /x HTTP/1.1\r\n") == 1);
        const bool is_head = call.request.method == "HEAD";
        play.at(0).send(is_head ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" : answer("b"));
        REQUIRE(play.ended(outcome));
        CHECK(outcome.result.response.body == (is_head ? "" : "b"));
    }
    CHECK(play.client.counters().connections_opened == 1);
}

TEST_CASE("a refused connection was not executed and is told later") {
    ClientPlay play;
    HttpCall call = play.get();
    call.to = closedAddress();
    HttpOutcomes outcome;
    play.client.send(call, outcome.hear());
    CHECK(outcome.times == 0);
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::not_executed);
    CHECK(outcome.result.unreachable);
    CHECK(play.client.connectionsTo(call.to) == 0);
    CHECK(outcome.times == 1);
}

TEST_CASE("an address that cannot be reached at all was not executed and is told later") {
    ClientPlay play;
    HttpCall call = play.get();
    call.to = {"255.255.255.255", 9};
    HttpOutcomes outcome;
    play.client.send(call, outcome.hear());
    CHECK(outcome.times == 0);
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::not_executed);
    CHECK(outcome.result.unreachable);
    CHECK(play.client.connectionsTo(call.to) == 0);
}

TEST_CASE("a connection that is not made in 0.3 seconds was not executed") {
    ClientPlay play;
    const Socket listener = listenOn({"127.0.0.1", 0});
    REQUIRE(listen(listener.descriptor(), 0) == 0);
    RawConnection filler(play.loop, localAddress(listener.descriptor()));
    RawConnection second_filler(play.loop, localAddress(listener.descriptor()));
    play.loop.runOnce();
    HttpCall call = play.get();
    call.to = localAddress(listener.descriptor());
    HttpOutcomes outcome;
    const SteadyTime start = play.loop.now();
    SUBCASE("its timeout is longer") {
        play.client.send(call, outcome.hear());
        REQUIRE(play.ended(outcome));
        CHECK(play.loop.now() - start >= Millis(300));
        CHECK(play.loop.now() - start < Millis(900));
    }
    SUBCASE("its timeout is shorter") {
        call.timeout = Millis(50);
        play.client.send(call, outcome.hear());
        REQUIRE(play.ended(outcome));
        CHECK(play.loop.now() - start < Millis(290));
    }
    CHECK(outcome.result.verdict == CallStatus::not_executed);
    CHECK(outcome.result.unreachable);
    CHECK(play.client.connectionsTo(call.to) == 0);
}

TEST_CASE("silence is unknown, and the connection is closed") {
    ClientPlay play;
    HttpCall call = play.get();
    call.timeout = Millis(60);
    HttpOutcomes outcome;
    SUBCASE("on a new connection") {}
    SUBCASE("on an idle one") {
        play.exchange(0, 1);
    }
    const SteadyTime start = play.loop.now();
    play.client.send(call, outcome.hear());
    REQUIRE(play.ended(outcome));
    CHECK(play.loop.now() - start >= Millis(60));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK(outcome.result.timed_out);
    CHECK_FALSE(outcome.result.unreachable);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
    REQUIRE(runUntil(play.loop, [&] { return !play.server.connections.empty() && play.at(0).closed; }));
}

TEST_CASE("an answer cut short is unknown") {
    ClientPlay play;
    HttpOutcomes outcome;
    play.client.send(play.get(), outcome.hear());
    REQUIRE(play.requested(0, 1));
    SUBCASE("nothing") {}
    SUBCASE("in the status line") {
        play.at(0).send("HTTP/1.1 20");
    }
    SUBCASE("in the header") {
        play.at(0).send("HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Le");
    }
    SUBCASE("in the body") {
        play.at(0).send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345");
    }
    SUBCASE("in the body, with close") {
        play.at(0).send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\n12345");
    }
    SUBCASE("before the body") {
        play.at(0).send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    }
    SUBCASE("in a chunk") {
        play.at(0).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123");
    }
    SUBCASE("before the last chunk") {
        play.at(0).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n");
    }
    SUBCASE("in the last chunk") {
        play.at(0).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n0\r\n");
    }
    REQUIRE(runUntil(play.loop, [&] { return play.at(0).sentAll(); }));
    play.at(0).close();
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK_FALSE(outcome.result.timed_out);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
}

TEST_CASE("a reset is unknown") {
    ClientPlay play;
    HttpOutcomes outcome;
    play.client.send(play.get(), outcome.hear());
    REQUIRE(play.requested(0, 1));
    play.at(0).send("HTTP/1.1 200 OK\r\n\r\nno length");
    REQUIRE(runUntil(play.loop, [&] { return play.at(0).sentAll(); }));
    play.at(0).reset();
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
}

TEST_CASE("what is not an answer is unknown") {
    ClientPlay play;
    HttpOutcomes outcome;
    HttpCall call = play.get();
    call.timeout = Millis(100);
    play.client.send(call, outcome.hear());
    REQUIRE(play.requested(0, 1));
    SUBCASE("garbage") {
        play.at(0).send("bytes\r\n\r\n");
    }
    SUBCASE("no length") {
        play.at(0).send("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n");
    }
    SUBCASE("two lengths") {
        play.at(0).send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    }
    SUBCASE("another protocol") {
        play.at(0).send("HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    SUBCASE("a status that is no end") {
        play.at(0).send("HTTP/1.1 103 Early Hints\r\n\r\n");
    }
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
}

TEST_CASE("answers without a body and in chunks are whole") {
    ClientPlay play;
    HttpOutcomes outcome;
    play.client.send(play.get(), outcome.hear());
    REQUIRE(play.requested(0, 1));
    std::string body;
    int status = 200;
    SUBCASE("204") {
        status = 204;
        play.at(0).send("HTTP/1.1 204 No Content\r\n\r\n");
    }
    SUBCASE("304") {
        status = 304;
        play.at(0).send("HTTP/1.1 304 Not Modified\r\n\r\n");
    }
    SUBCASE("empty") {
        play.at(0).send(answer(""));
    }
    SUBCASE("chunks") {
        body = "12345abc";
        play.at(0).send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n3\r\nabc\r\n0\r\n\r\n");
    }
    SUBCASE("after 100 Continue") {
        body = "ok";
        play.at(0).send("HTTP/1.1 100 Continue\r\n\r\n" + answer("ok"));
    }
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.status == status);
    CHECK(outcome.result.response.body == body);
    CHECK(play.client.connectionsTo(play.server.address) == 1);
    play.exchange(0, 2);
}

TEST_CASE("a server may answer and close") {
    ClientPlay play;
    HttpOutcomes outcome;
    play.client.send(play.get(), outcome.hear());
    REQUIRE(play.requested(0, 1));
    SUBCASE("with a header that says so") {
        play.at(0).send(answer("ok", "Connection: close\r\n"));
    }
    SUBCASE("without one") {
        play.at(0).send(answer("ok"));
    }
    SUBCASE("its end is the end of the body") {
        play.at(0).send("HTTP/1.1 200 OK\r\n\r\nok");
    }
    REQUIRE(runUntil(play.loop, [&] { return play.at(0).sentAll(); }));
    play.at(0).close();
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::answered);
    CHECK(outcome.result.response.body == "ok");
    play.exchange(1, 1);
}

TEST_CASE("an answer of another request is never its own, and its connection is closed") {
    ClientPlay play;
    HttpOutcomes outcome;
    HttpCall call = play.getWithId("mine");
    call.timeout = Millis(100);
    play.client.send(call, outcome.hear());
    REQUIRE(play.requested(0, 1));
    play.at(0).send(answer("other's", "Request-Id: other\r\n"));
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::unknown);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
    REQUIRE(runUntil(play.loop, [&] { return play.at(0).closed; }));
}

TEST_CASE("what cannot be put into a request is not sent") {
    ClientPlay play;
    HttpCall call = play.get();
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
    HttpOutcomes outcome;
    play.client.send(call, outcome.hear());
    CHECK(outcome.times == 0);
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == CallStatus::not_executed);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
    CHECK(play.server.connections.empty());
}

}  // namespace amberswitch::cluster
