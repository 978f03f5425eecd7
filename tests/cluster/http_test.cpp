// Tests of the HTTP server: parsing of requests and writing of responses, against raw TCP clients and
// EvhttpClient on loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/http_fixtures.hpp"

namespace amberswitch::cluster {

using testing::bodyOf;
using testing::HttpServerFixture;
using testing::okResponse;
using testing::RawConnection;
using testing::runUntil;
using testing::statusLine;

TEST_CASE("a request reaches the handler unchanged, and its response the client") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    client.send(
        "POST /a%20b//c?q=%2F&x#f HTTP/1.1\r\nHost: h.example:80\r\nOrder-Key:  k \r\n"
        "Content-Length: 5\r\n\r\n1\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    const HttpRequest& request = fixture.requests[0].request;
    CHECK(request.method == "POST");
    CHECK(request.target == "/a%20b//c?q=%2F&x#f");
    CHECK(headerValue(request.headers, "host") == "h.example:80");
    CHECK(headerValue(request.headers, "ORDER-KEY") == "k");
    CHECK(request.body == "1\r\n\r\n");
    CHECK(fixture.server->openRequests() == 1);
    fixture.requests[0].respond({202, {{"Message-Ref", "p1-x"}}, "fine", false});
    REQUIRE(fixture.waitForText(client, "fine"));
    CHECK(statusLine(client) == "HTTP/1.1 202 Accepted");
    CHECK(client.count("Message-Ref: p1-x\r\n") == 1);
    CHECK(client.count("Content-Length: 4\r\n") == 1);
    CHECK(client.count("Connection:") == 0);
    CHECK(client.count("Content-Type:") == 0);
    CHECK(bodyOf(client) == "fine");
    CHECK(fixture.server->openRequests() == 0);
    fixture.requests[0].respond({200, {}, "again", false});  // only the first response has an effect
    client.send("GET /next HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForRequests(2));
    CHECK(client.count("again") == 0);
}

TEST_CASE("all methods reach the handler") {
    HttpServerFixture fixture;
    for (const std::string method : {"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD", "TRACE"}) {
        CAPTURE(method);
        RawConnection client(fixture.loop, fixture.server->address());
        client.send(method + " /m HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::size_t before = fixture.requests.size();
        REQUIRE(fixture.waitForRequests(before + 1));
        CHECK(fixture.requests.back().request.method == method);
        fixture.requests.back().respond({200, {}, "body", false});
        REQUIRE(fixture.waitForText(client, "\r\n\r\n"));
        CHECK(client.count("Content-Length: 4\r\n") == 1);
        CHECK(bodyOf(client) == (method == "HEAD" ? "" : "body"));
    }
}

TEST_CASE("a chunked body is passed to the handler complete") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    const std::string bytes =
        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n "
        "\r\nA\r\n0123456789\r\n"
        "0\r\n\r\n";
    SUBCASE("at once") {
        client.send(bytes);
    }
    SUBCASE("byte by byte") {
        for (const char letter : bytes) {
            CHECK(fixture.requests.empty());
            client.send(std::string(1, letter));
            REQUIRE(runUntil(fixture.loop, [&] { return client.sentAll(); }));
        }
    }
    REQUIRE(fixture.waitForRequests(1));
    CHECK(fixture.requests[0].request.body == "hello 0123456789");
    fixture.requests[0].respond({200, {}, "", false});
    client.send(bytes);
    REQUIRE(fixture.waitForRequests(2));
    CHECK(fixture.requests[1].request.body == "hello 0123456789");
}

TEST_CASE("a client that waits for 100 Continue gets it") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    client.send("PUT /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    REQUIRE(fixture.waitForText(client, "HTTP/1.1 100 Continue\r\n\r\n"));
    CHECK(fixture.requests.empty());
    client.send("ab");
    REQUIRE(fixture.waitForRequests(1));
    CHECK(fixture.requests[0].request.body == "ab");
    fixture.requests[0].respond({200, {}, "done", false});
    REQUIRE(fixture.waitForText(client, "done"));
}

TEST_CASE("pipelined requests are handled one after the other") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    client.send(
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET /3 "
        "HTTP/1.1\r\n");
    REQUIRE(fixture.waitForRequests(1));
    fixture.loop.post([] {});
    fixture.loop.runOnce();
    CHECK(fixture.requests.size() == 1);
    fixture.requests[0].respond({200, {}, "one", false});
    REQUIRE(fixture.waitForRequests(2));
    CHECK(fixture.requests[1].request.target == "/2");
    CHECK(fixture.requests[1].request.body == "ab");
    fixture.requests[1].respond({200, {}, "two", false});
    REQUIRE(fixture.waitForText(client, "two"));
    CHECK(fixture.requests.size() == 2);  // the third request is incomplete
    client.send("Host: h\r\n\r\n");
    REQUIRE(fixture.waitForRequests(3));
    CHECK(client.received.find("one") < client.received.find("two"));
}

TEST_CASE("a response after the client has disconnected is dropped") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    client.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    SUBCASE("closed") {
        client.close();
    }
    SUBCASE("reset") {
        client.reset();
    }
    fixture.requests[0].respond({200, {}, std::string(1'000'000, 'x'), false});
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.server->connections() == 0; }));
    CHECK(fixture.server->openRequests() == 0);
}

TEST_CASE("a response after the server was destroyed is dropped") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    client.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    fixture.server.reset();
    fixture.requests[0].respond({200, {}, "late", false});
    REQUIRE(fixture.waitForClose(client));
    CHECK(client.received.empty());
}

TEST_CASE("a request that is never answered is freed with its responder") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    client.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    fixture.requests.clear();
    CHECK(fixture.server->openRequests() == 1);
    fixture.server.reset();
}

TEST_CASE("responses carry Connection: close if requested by the response or the server") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    RawConnection second(fixture.loop, fixture.server->address());
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    second.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.waitForRequests(2));
    bool close = false;
    SUBCASE("by the response") {
        close = true;
    }
    SUBCASE("by the server") {
        fixture.server->startDraining();
    }
    for (const HttpServerFixture::PendingRequest& pending : fixture.requests)
        pending.respond({200, {}, "ok", close});
    REQUIRE(fixture.waitForClose(client));
    REQUIRE(fixture.waitForClose(second));
    CHECK(client.count("Connection: close\r\n") == 1);
    CHECK(second.count("Connection: close\r\n") == 1);
    CHECK(bodyOf(client) == "ok");
}

TEST_CASE("a server that stops listening still serves open connections") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    REQUIRE(runUntil(fixture.loop, [&] { return fixture.server->connections() == 1; }));
    fixture.server->stopListening();
    RawConnection refused(fixture.loop, fixture.server->address());
    REQUIRE(fixture.waitForClose(refused));
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    fixture.requests[0].respond({200, {}, "ok", false});
    REQUIRE(fixture.waitForText(client, "ok"));
}

TEST_CASE("responses without a body") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    fixture.requests[0].respond({204, {}, "ignored", false});
    REQUIRE(fixture.waitForText(client, "\r\n\r\n"));
    CHECK(client.count("Content-Length") == 0);
    CHECK(bodyOf(client).empty());
}

TEST_CASE("the HTTP client and server interoperate") {
    constexpr std::size_t kCalls = 50;
    HttpServerFixture fixture;
    EvhttpClient client(fixture.loop);
    std::size_t answered = 0;
    for (std::size_t index = 0; index < kCalls; ++index) {
        const std::string id = std::to_string(index);
        HttpCall call;
        call.to = fixture.server->address();
        call.request = {
            "PATCH", "/" + id, {{"Host", "h"}, {"Request-Id", id}}, std::string(index * 100, 'b')};
        call.timeout = Millis(5000);
        call.max_connections = kCalls;
        client.send(std::move(call), [&, id](const HttpOutcome& outcome) {
            CHECK(outcome.verdict == CallStatus::answered);
            CHECK(outcome.response.body == "re " + id);
            ++answered;
        });
    }
    REQUIRE(fixture.waitForRequests(kCalls));
    for (auto pending = fixture.requests.rbegin(); pending != fixture.requests.rend(); ++pending) {
        const std::string id(headerValue(pending->request.headers, "Request-Id"));
        CHECK(pending->request.body.size() == 100 * std::stoul(id));
        pending->respond({201, {{"Request-Id", id}}, "re " + id, false});
    }
    REQUIRE(runUntil(fixture.loop, [&] { return answered == kCalls; }));
    CHECK(client.connectionCount(fixture.server->address()) == kCalls);
}

}  // namespace amberswitch::cluster
