// Requests and answers of the HTTP server, with raw clients on loopback and with the client of the cluster.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/http_play.hpp"

namespace amberswitch::cluster {

using testing::answer;
using testing::bodyOf;
using testing::RawConnection;
using testing::runUntil;
using testing::ServerPlay;
using testing::statusLine;

TEST_CASE("a request reaches the handler as it was sent, and its answer the client") {
    ServerPlay play;
    RawConnection client(play.loop, play.server->address());
    client.send(
        "POST /a%20b//c?q=%2F&x#f HTTP/1.1\r\nHost: h.example:80\r\nOrder-Key:  k \r\n"
        "Content-Length: 5\r\n\r\n1\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    const HttpRequest& request = play.asked[0].request;
    CHECK(request.method == "POST");
    CHECK(request.target == "/a%20b//c?q=%2F&x#f");
    CHECK(headerValue(request.headers, "host") == "h.example:80");
    CHECK(headerValue(request.headers, "ORDER-KEY") == "k");
    CHECK(request.body == "1\r\n\r\n");
    CHECK(play.server->openRequests() == 1);
    play.asked[0].respond({202, {{"Message-Ref", "p1-x"}}, "fine", false});
    REQUIRE(play.receives(client, "fine"));
    CHECK(statusLine(client) == "HTTP/1.1 202 Accepted");
    CHECK(client.count("Message-Ref: p1-x\r\n") == 1);
    CHECK(client.count("Content-Length: 4\r\n") == 1);
    CHECK(client.count("Connection:") == 0);
    CHECK(client.count("Content-Type:") == 0);
    CHECK(bodyOf(client) == "fine");
    CHECK(play.server->openRequests() == 0);
    play.asked[0].respond({200, {}, "again", false});  // only the first answer counts
    client.send("GET /next HTTP/1.1\r\n\r\n");
    REQUIRE(play.askedTimes(2));
    CHECK(client.count("again") == 0);
}

TEST_CASE("all methods reach the handler") {
    ServerPlay play;
    for (const std::string method : {"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD", "TRACE"}) {
        CAPTURE(method);
        RawConnection client(play.loop, play.server->address());
        client.send(method + " /m HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::size_t before = play.asked.size();
        REQUIRE(play.askedTimes(before + 1));
        CHECK(play.asked.back().request.method == method);
        play.asked.back().respond({200, {}, "body", false});
        REQUIRE(play.receives(client, "\r\n\r\n"));
        CHECK(client.count("Content-Length: 4\r\n") == 1);
        CHECK(bodyOf(client) == (method == "HEAD" ? "" : "body"));
    }
}

TEST_CASE("a body in chunks is handed over whole") {
    ServerPlay play;
    RawConnection client(play.loop, play.server->address());
    const std::string bytes =
        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n "
        "\r\nA\r\n0123456789\r\n"
        "0\r\n\r\n";
    SUBCASE("at once") {
        client.send(bytes);
    }
    SUBCASE("byte by byte") {
        for (const char letter : bytes) {
            CHECK(play.asked.empty());
            client.send(std::string(1, letter));
            REQUIRE(runUntil(play.loop, [&] { return client.sentAll(); }));
        }
    }
    REQUIRE(play.askedTimes(1));
    CHECK(play.asked[0].request.body == "hello 0123456789");
    play.asked[0].respond({200, {}, "", false});
    client.send(bytes);
    REQUIRE(play.askedTimes(2));
    CHECK(play.asked[1].request.body == "hello 0123456789");
}

TEST_CASE("a client that waits for 100 Continue gets it") {
    ServerPlay play;
    RawConnection client(play.loop, play.server->address());
    client.send("PUT /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    REQUIRE(play.receives(client, "HTTP/1.1 100 Continue\r\n\r\n"));
    CHECK(play.asked.empty());
    client.send("ab");
    REQUIRE(play.askedTimes(1));
    CHECK(play.asked[0].request.body == "ab");
    play.asked[0].respond({200, {}, "done", false});
    REQUIRE(play.receives(client, "done"));
}

TEST_CASE("requests in a row are handled one after the other") {
    ServerPlay play;
    RawConnection client(play.loop, play.server->address());
    client.send(
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET /3 "
        "HTTP/1.1\r\n");
    REQUIRE(play.askedTimes(1));
    play.loop.post([] {});
    play.loop.runOnce();
    CHECK(play.asked.size() == 1);
    play.asked[0].respond({200, {}, "one", false});
    REQUIRE(play.askedTimes(2));
    CHECK(play.asked[1].request.target == "/2");
    CHECK(play.asked[1].request.body == "ab");
    play.asked[1].respond({200, {}, "two", false});
    REQUIRE(play.receives(client, "two"));
    CHECK(play.asked.size() == 2);  // the third is not whole
    client.send("Host: h\r\n\r\n");
    REQUIRE(play.askedTimes(3));
    CHECK(client.received.find("one") < client.received.find("two"));
}

TEST_CASE("an answer after the client has left is dropped") {
    ServerPlay play;
    RawConnection client(play.loop, play.server->address());
    client.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    SUBCASE("closed") {
        client.close();
    }
    SUBCASE("reset") {
        client.reset();
    }
    play.asked[0].respond({200, {}, std::string(1'000'000, 'x'), false});
    REQUIRE(runUntil(play.loop, [&] { return play.server->connections() == 0; }));
    CHECK(play.server->openRequests() == 0);
}

TEST_CASE("an answer after the server has ended is dropped") {
    ServerPlay play;
    RawConnection client(play.loop, play.server->address());
    client.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    play.server.reset();
    play.asked[0].respond({200, {}, "late", false});
    REQUIRE(play.closes(client));
    CHECK(client.received.empty());
}

TEST_CASE("a request that is never answered is freed with its responder") {
    ServerPlay play;
    RawConnection client(play.loop, play.server->address());
    client.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    play.asked.clear();
    CHECK(play.server->openRequests() == 1);
    play.server.reset();
}

TEST_CASE("answers ask to close where they should") {
    ServerPlay play;
    RawConnection client(play.loop, play.server->address());
    RawConnection second(play.loop, play.server->address());
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    second.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(2));
    bool close = false;
    SUBCASE("by the answer") {
        close = true;
    }
    SUBCASE("by the server") {
        play.server->startClosing();
    }
    for (const ServerPlay::Asked& asked : play.asked) asked.respond({200, {}, "ok", close});
    REQUIRE(play.closes(client));
    REQUIRE(play.closes(second));
    CHECK(client.count("Connection: close\r\n") == 1);
    CHECK(second.count("Connection: close\r\n") == 1);
    CHECK(bodyOf(client) == "ok");
}

TEST_CASE("a server that stops listening serves the connections it has") {
    ServerPlay play;
    RawConnection client(play.loop, play.server->address());
    REQUIRE(runUntil(play.loop, [&] { return play.server->connections() == 1; }));
    play.server->stopListening();
    RawConnection refused(play.loop, play.server->address());
    REQUIRE(play.closes(refused));
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    play.asked[0].respond({200, {}, "ok", false});
    REQUIRE(play.receives(client, "ok"));
}

TEST_CASE("answers without a body") {
    ServerPlay play;
    RawConnection client(play.loop, play.server->address());
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    play.asked[0].respond({204, {}, "ignored", false});
    REQUIRE(play.receives(client, "\r\n\r\n"));
    CHECK(client.count("Content-Length") == 0);
    CHECK(bodyOf(client).empty());
}

TEST_CASE("the client and the server of the cluster understand each other") {
    constexpr std::size_t kCalls = 50;
    ServerPlay play;
    EvhttpClient client(play.loop);
    std::size_t answered = 0;
    for (std::size_t index = 0; index < kCalls; ++index) {
        const std::string id = std::to_string(index);
        HttpCall call;
        call.to = play.server->address();
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
    REQUIRE(play.askedTimes(kCalls));
    for (auto asked = play.asked.rbegin(); asked != play.asked.rend(); ++asked) {
        const std::string id(headerValue(asked->request.headers, "Request-Id"));
        CHECK(asked->request.body.size() == 100 * std::stoul(id));
        asked->respond({201, {{"Request-Id", id}}, "re " + id, false});
    }
    REQUIRE(runUntil(play.loop, [&] { return answered == kCalls; }));
    CHECK(client.connectionsTo(play.server->address()) == kCalls);
}

}  // namespace amberswitch::cluster
