// The HTTP client against raw peers on loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/common/evhttp_client.hpp"
#include "tests/cluster/loop_peers.hpp"

namespace amberswitch::cluster {
namespace {

using testing::closedAddress;
using testing::RawConnection;
using testing::RawServer;
using testing::runUntil;

struct Outcome {
    int times = 0;
    HttpOutcome result;

    std::function<void(HttpOutcome)> hear() {
        return [this](HttpOutcome heard) {
            ++times;
            result = std::move(heard);
        };
    }
};

std::string answer(const std::string& body, const std::string& headers = "") {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// A client, and a server that the test plays by hand.
class Play {
public:
    EventLoop loop;
    RawServer server{loop};
    EvhttpClient client{loop};

    HttpCall get(const std::string& target = "/x") {
        HttpCall call;
        call.to = server.address;
        call.request = {"GET", target, {{"Host", "h"}}, ""};
        call.timeout = Millis(5000);
        return call;
    }
    HttpCall getWithId(const std::string& id) {
        HttpCall call = get();
        call.request.headers.push_back({"Request-Id", id});
        return call;
    }
    // Waits until the server has that many requests in all on its connection of that index.
    bool requested(std::size_t connection, std::size_t requests) {
        return runUntil(loop, [&] {
            return server.connections.size() > connection &&
                   server.connections[connection]->count("\r\n\r\n") >= requests;
        });
    }
    RawConnection& at(std::size_t connection) { return *server.connections.at(connection); }
    bool ended(const Outcome& outcome) {
        return runUntil(loop, [&] { return outcome.times > 0; });
    }
    // One whole exchange on the server's connection of that index, which leaves it idle.
    void exchange(std::size_t connection, std::size_t requests, const std::string& headers = "") {
        Outcome outcome;
        client.send(get(), outcome.hear());
        REQUIRE(requested(connection, requests));
        at(connection).send(answer("ok", headers));
        REQUIRE(ended(outcome));
        REQUIRE(outcome.result.verdict == Verdict::answered);
    }
};

}  // namespace

TEST_CASE("the request is sent as given and the answer read whole") {
    Play play;
    HttpCall call = play.get("/a%20b//c?q=1&r=%2F#f");
    call.request.method = "POST";
    call.request.headers = {{"Host", "some.example"}, {"Order-Key", "k 1"}};
    call.request.body = std::string("a\0b", 3);
    Outcome outcome;
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
    CHECK(outcome.result.verdict == Verdict::answered);
    CHECK(outcome.result.response.status == 422);
    CHECK(outcome.result.response.body == "nope");
    CHECK(headerValue(outcome.result.response.headers, "response-stamp") == "s.1");
    CHECK(headerValue(outcome.result.response.headers, "absent").empty());
}

TEST_CASE("all methods are sent") {
    Play play;
    std::size_t requests = 0;
    for (const char* method : {"GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS"}) {
        CAPTURE(method);
        HttpCall call = play.get();
        call.request.method = method;
        Outcome outcome;
        play.client.send(call, outcome.hear());
        REQUIRE(play.requested(0, ++requests));
        CHECK(play.at(0).count(std::string(method) + " /x HTTP/1.1\r\n") == 1);
        const bool is_head = call.request.method == "HEAD";
        play.at(0).send(is_head ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" : answer("b"));
        REQUIRE(play.ended(outcome));
        CHECK(outcome.result.response.body == (is_head ? "" : "b"));
    }
    CHECK(play.client.connectionsOpened() == 1);
}

TEST_CASE("an idle connection is used again") {
    Play play;
    for (std::size_t request = 1; request <= 4; ++request) play.exchange(0, request);
    CHECK(play.client.connectionsOpened() == 1);
    CHECK(play.client.connectionsTo(play.server.address) == 1);
    CHECK(play.server.connections.size() == 1);
}

TEST_CASE("the connection that was used last is used first") {
    Play play;
    Outcome first;
    Outcome second;
    play.client.send(play.get("/first"), first.hear());
    REQUIRE(play.requested(0, 1));
    play.client.send(play.get("/second"), second.hear());
    REQUIRE(play.requested(1, 1));
    CHECK(play.client.connectionsTo(play.server.address) == 2);
    play.at(1).send(answer("2"));
    REQUIRE(play.ended(second));
    play.at(0).send(answer("1"));
    REQUIRE(play.ended(first));
    play.exchange(0, 2);
    CHECK(play.at(1).count("\r\n\r\n") == 1);
}

TEST_CASE("over the limit of connections nothing is sent") {
    Play play;
    HttpCall call = play.get();
    call.max_connections = 1;
    Outcome first;
    Outcome second;
    play.client.send(call, first.hear());
    play.client.send(call, second.hear());
    CHECK(second.times == 0);
    REQUIRE(play.ended(second));
    CHECK(second.result.verdict == Verdict::not_executed);
    CHECK_FALSE(second.result.unreachable);
    REQUIRE(play.requested(0, 1));
    play.at(0).send(answer("1"));
    REQUIRE(play.ended(first));
    CHECK(play.server.connections.size() == 1);
}

TEST_CASE("a refused connection was not executed and is told later") {
    Play play;
    HttpCall call = play.get();
    call.to = closedAddress();
    Outcome outcome;
    play.client.send(call, outcome.hear());
    CHECK(outcome.times == 0);
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == Verdict::not_executed);
    CHECK(outcome.result.unreachable);
    CHECK(play.client.connectionsTo(call.to) == 0);
    CHECK(outcome.times == 1);
}

TEST_CASE("an address that cannot be reached at all was not executed and is told later") {
    Play play;
    HttpCall call = play.get();
    call.to = {"255.255.255.255", 9};
    Outcome outcome;
    play.client.send(call, outcome.hear());
    CHECK(outcome.times == 0);
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == Verdict::not_executed);
    CHECK(outcome.result.unreachable);
    CHECK(play.client.connectionsTo(call.to) == 0);
}

TEST_CASE("a connection that is not made in a second was not executed") {
    Play play;
    const evutil_socket_t listener = listenOn({"127.0.0.1", 0});
    REQUIRE(listen(listener, 0) == 0);
    RawConnection filler(play.loop, localAddress(listener));
    RawConnection second_filler(play.loop, localAddress(listener));
    play.loop.runOnce();
    HttpCall call = play.get();
    call.to = localAddress(listener);
    Outcome outcome;
    const SteadyTime start = play.loop.now();
    SUBCASE("its timeout is longer") {
        play.client.send(call, outcome.hear());
        REQUIRE(play.ended(outcome));
        CHECK(play.loop.now() - start >= Millis(1000));
        CHECK(play.loop.now() - start < Millis(4000));
    }
    SUBCASE("its timeout is shorter") {
        call.timeout = Millis(50);
        play.client.send(call, outcome.hear());
        REQUIRE(play.ended(outcome));
        CHECK(play.loop.now() - start < Millis(900));
    }
    CHECK(outcome.result.verdict == Verdict::not_executed);
    CHECK(outcome.result.unreachable);
    CHECK(play.client.connectionsTo(call.to) == 0);
    evutil_closesocket(listener);
}

TEST_CASE("silence is unknown, and the connection is closed") {
    Play play;
    HttpCall call = play.get();
    call.timeout = Millis(60);
    Outcome outcome;
    SUBCASE("on a new connection") {}
    SUBCASE("on an idle one") {
        play.exchange(0, 1);
    }
    const SteadyTime start = play.loop.now();
    play.client.send(call, outcome.hear());
    REQUIRE(play.ended(outcome));
    CHECK(play.loop.now() - start >= Millis(60));
    CHECK(outcome.result.verdict == Verdict::unknown);
    CHECK(outcome.result.timed_out);
    CHECK_FALSE(outcome.result.unreachable);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
    REQUIRE(runUntil(play.loop, [&] { return !play.server.connections.empty() && play.at(0).closed; }));
}

TEST_CASE("an answer cut short is unknown") {
    Play play;
    Outcome outcome;
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
    CHECK(outcome.result.verdict == Verdict::unknown);
    CHECK_FALSE(outcome.result.timed_out);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
}

TEST_CASE("a reset is unknown") {
    Play play;
    Outcome outcome;
    play.client.send(play.get(), outcome.hear());
    REQUIRE(play.requested(0, 1));
    play.at(0).send("HTTP/1.1 200 OK\r\n\r\nno length");
    REQUIRE(runUntil(play.loop, [&] { return play.at(0).sentAll(); }));
    play.at(0).reset();
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == Verdict::unknown);
}

TEST_CASE("what is not an answer is unknown") {
    Play play;
    Outcome outcome;
    play.client.send(play.get(), outcome.hear());
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
    CHECK(outcome.result.verdict == Verdict::unknown);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
}

TEST_CASE("answers without a body and in chunks are whole") {
    Play play;
    Outcome outcome;
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
    CHECK(outcome.result.verdict == Verdict::answered);
    CHECK(outcome.result.response.status == status);
    CHECK(outcome.result.response.body == body);
    CHECK(play.client.connectionsTo(play.server.address) == 1);
    play.exchange(0, 2);
}

TEST_CASE("a server may answer and close") {
    Play play;
    Outcome outcome;
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
    CHECK(outcome.result.verdict == Verdict::answered);
    CHECK(outcome.result.response.body == "ok");
    play.exchange(1, 1);
}

TEST_CASE("the peer closes an idle connection") {
    Play play;
    play.exchange(0, 1);
    SUBCASE("and it is noticed") {
        play.at(0).close();
        REQUIRE(runUntil(play.loop, [&] { return play.client.connectionsTo(play.server.address) == 0; }));
    }
    SUBCASE("and the next call comes first") {
        play.at(0).close();
    }
    SUBCASE("by a reset, and the next call comes first") {
        play.at(0).reset();
    }
    play.exchange(1, 1);
    CHECK(play.client.connectionsOpened() == 2);
    CHECK(play.client.connectionsTo(play.server.address) == 1);
}

TEST_CASE("an idle connection that breaks under a request leaves it unknown") {
    Play play;
    play.exchange(0, 1);
    Outcome outcome;
    play.client.send(play.get(), outcome.hear());
    play.at(0).close();
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == Verdict::unknown);
    CHECK_FALSE(outcome.result.unreachable);
    CHECK(play.server.connections.size() == 1);  // nothing was sent again
}

TEST_CASE("a second answer never reaches another call") {
    Play play;
    Outcome first;
    play.client.send(play.getWithId("a"), first.hear());
    REQUIRE(play.requested(0, 1));
    const std::string own = answer("a", "Request-Id: a\r\n");
    SUBCASE("it comes with the first one") {
        play.at(0).send(own + own);
    }
    SUBCASE("it comes on the idle connection") {
        play.at(0).send(own);
        REQUIRE(play.ended(first));
        play.at(0).send(own);
        REQUIRE(runUntil(play.loop, [&] { return play.client.connectionsTo(play.server.address) == 0; }));
    }
    SUBCASE("it waits in the socket when the next call comes") {
        play.at(0).send(own);
        REQUIRE(play.ended(first));
        play.at(0).send(own);
    }
    REQUIRE(play.ended(first));
    CHECK(first.result.response.body == "a");
    Outcome second;
    play.client.send(play.getWithId("b"), second.hear());
    const bool is_new = runUntil(play.loop, [&] {
        return second.times > 0 || (play.server.connections.size() == 2 && play.at(1).count("\r\n\r\n") == 1);
    });
    REQUIRE(is_new);
    if (second.times > 0) {  // the stray answer came just then
        CHECK(second.result.verdict == Verdict::unknown);
    } else {
        play.at(1).send(answer("b", "Request-Id: b\r\n"));
        REQUIRE(play.ended(second));
        CHECK(second.result.response.body == "b");
    }
}

TEST_CASE("an answer of another request closes the connection and is unknown") {
    Play play;
    Outcome outcome;
    play.client.send(play.getWithId("mine"), outcome.hear());
    REQUIRE(play.requested(0, 1));
    play.at(0).send(answer("other's", "Request-Id: other\r\n"));
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == Verdict::unknown);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
    REQUIRE(runUntil(play.loop, [&] { return play.at(0).closed; }));
}

TEST_CASE("an idle connection is closed before the server does it") {
    Play play;
    const SteadyTime start = play.loop.now();
    play.exchange(0, 1, "Keep-Alive: timeout=1, max=100\r\n");
    CHECK(play.client.connectionsTo(play.server.address) == 1);
    REQUIRE(runUntil(play.loop, [&] { return play.at(0).closed; }));
    CHECK(play.loop.now() - start >= Millis(600));
    CHECK(play.loop.now() - start < Millis(1000));
    CHECK(play.client.connectionsTo(play.server.address) == 0);
}

TEST_CASE("a connection is not kept where the server keeps none") {
    Play play;
    play.exchange(0, 1, "Keep-Alive: timeout=0\r\n");
    REQUIRE(runUntil(play.loop, [&] { return play.at(0).closed; }));
}

TEST_CASE("a forgotten address keeps no connections") {
    Play play;
    play.exchange(0, 1);
    Outcome open;
    play.client.send(play.get("/idle"), open.hear());
    REQUIRE(play.requested(0, 2));
    Outcome busy;
    play.client.send(play.get("/busy"), busy.hear());
    REQUIRE(play.requested(1, 1));
    play.at(0).send(answer("1"));
    REQUIRE(play.ended(open));
    CHECK(play.client.connectionsTo(play.server.address) == 2);
    play.client.forget(play.server.address);
    CHECK(play.client.connectionsTo(play.server.address) == 1);
    play.at(1).send(answer("2"));
    REQUIRE(play.ended(busy));
    CHECK(busy.result.verdict == Verdict::answered);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
    REQUIRE(runUntil(play.loop, [&] { return play.at(0).closed && play.at(1).closed; }));
    play.exchange(2, 1);
}

TEST_CASE("what cannot be put into a request is not sent") {
    Play play;
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
    Outcome outcome;
    play.client.send(call, outcome.hear());
    CHECK(outcome.times == 0);
    REQUIRE(play.ended(outcome));
    CHECK(outcome.result.verdict == Verdict::not_executed);
    CHECK(play.client.connectionsTo(play.server.address) == 0);
    CHECK(play.server.connections.empty());
}

TEST_CASE("calls can be made from done") {
    Play play;
    Outcome last;
    HttpCall refused = play.get();
    refused.to = closedAddress();
    play.client.send(refused, [&](const HttpOutcome& first) {
        CHECK(first.unreachable);
        play.client.send(refused, [&](const HttpOutcome&) {
            play.client.send(play.get(), [&](const HttpOutcome& third) {
                CHECK(third.verdict == Verdict::answered);
                play.client.send(play.get("/last"), last.hear());
            });
        });
    });
    REQUIRE(play.requested(0, 1));
    play.at(0).send(answer("3"));
    REQUIRE(play.requested(0, 2));
    play.at(0).send(answer("4"));
    REQUIRE(play.ended(last));
    CHECK(last.result.response.body == "4");
    CHECK(play.client.connectionsOpened() == 3);
}

TEST_CASE("a client that ends drops what is open") {
    EventLoop loop;
    RawServer server(loop);
    Outcome outcome;
    {
        EvhttpClient client(loop);
        client.send({server.address, {"GET", "/", {}, ""}, Millis(5000), 8}, outcome.hear());
        REQUIRE(runUntil(loop, [&] { return !server.connections.empty(); }));
    }
    REQUIRE(runUntil(loop, [&] { return server.connections[0]->closed; }));
    CHECK(outcome.times == 0);
}

}  // namespace amberswitch::cluster
