// The HTTP server against raw clients on loopback, and the server and the client of the cluster together.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/common/evhttp_client.hpp"
#include "cluster/common/evhttp_server.hpp"
#include "tests/cluster/loop_peers.hpp"

namespace amberswitch::cluster {
namespace {

using testing::RawConnection;
using testing::runUntil;

// A server that keeps what it is asked until the test answers.
class Play {
public:
    struct Asked {
        HttpRequest request;
        HttpResponder respond;
    };

    EventLoop loop;
    std::vector<Asked> asked;
    std::unique_ptr<EvhttpServer> server = std::make_unique<EvhttpServer>(
        loop, NodeAddress{"127.0.0.1", 0}, [this](const HttpRequest& request, HttpResponder respond) {
            asked.push_back({request, std::move(respond)});
        });

    bool askedTimes(std::size_t times) {
        return runUntil(loop, [&] { return asked.size() >= times; });
    }
    bool receives(const RawConnection& client, const std::string& text) {
        return runUntil(loop, [&] { return client.count(text) > 0 || client.closed; }) &&
               client.count(text) > 0;
    }
    bool closes(const RawConnection& client) {
        return runUntil(loop, [&] { return client.closed; });
    }
};

// The first line of what a client received.
std::string statusLine(const RawConnection& client) {
    return client.received.substr(0, client.received.find("\r\n"));
}

std::string bodyOf(const RawConnection& client) {
    const std::size_t end = client.received.find("\r\n\r\n");
    return end == std::string::npos ? "" : client.received.substr(end + 4);
}

}  // namespace

TEST_CASE("a request reaches the handler as it was sent, and its answer the client") {
    Play play;
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
    Play play;
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
    Play play;
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
    Play play;
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

TEST_CASE("a request that is not whole reaches no handler") {
    Play play;
    RawConnection client(play.loop, play.server->address());
    SUBCASE("part of the request line") {
        client.send("POST /c HT");
    }
    SUBCASE("part of the header") {
        client.send("POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n");
    }
    SUBCASE("part of the body") {
        client.send("POST /c HTTP/1.1\r\nContent-Length: 10\r\n\r\n123456789");
    }
    SUBCASE("part of the chunks") {
        client.send("POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n");
    }
    REQUIRE(runUntil(play.loop, [&] { return client.sentAll() && play.server->connections() == 1; }));
    SUBCASE("the client stops sending") {
        client.shutdownSending();
    }
    SUBCASE("the client closes") {
        client.close();
    }
    SUBCASE("the client resets") {
        client.reset();
    }
    REQUIRE(runUntil(
        play.loop, [&] { return play.server->connections() == 0; }, Millis(16'000)));
    CHECK(play.asked.empty());
    CHECK(play.server->openRequests() == 0);
}

TEST_CASE("requests in a row are handled one after the other") {
    Play play;
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

TEST_CASE("what is too large is refused and reaches no handler") {
    Play play;
    HttpLimits limits;
    limits.max_body_bytes = 1000;
    limits.max_header_bytes = 500;
    play.server->setLimits(limits);
    RawConnection client(play.loop, play.server->address());
    std::string status = "HTTP/1.1 413 Request Entity Too Large";
    SUBCASE("a body with a length") {
        client.send("POST /c HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'));
    }
    SUBCASE("a body in chunks") {
        client.send("POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3E8\r\n" + std::string(1000, 'x') +
                    "\r\n1\r\nx\r\n");
    }
    SUBCASE("a body that the client asks about") {
        client.send("POST /c HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1001\r\n\r\n" +
                    std::string(1001, 'x'));
    }
    SUBCASE("a header") {
        status = "HTTP/1.1 400 Bad Request";
        client.send("GET /c HTTP/1.1\r\nX: " + std::string(500, 'x') + "\r\n\r\n");
    }
    SUBCASE("a request line") {
        status = "HTTP/1.1 400 Bad Request";
        client.send("GET /" + std::string(500, 'x') + " HTTP/1.1\r\n\r\n");
    }
    REQUIRE(play.receives(client, "HTTP/1.1 "));
    CHECK(statusLine(client) == status);
    REQUIRE(play.closes(client));
    CHECK(client.count("Connection: close\r\n") == 1);
    CHECK(play.asked.empty());
}

TEST_CASE("bodies up to the limit are taken") {
    Play play;
    HttpLimits limits;
    limits.max_body_bytes = 1000;
    play.server->setLimits(limits);
    RawConnection client(play.loop, play.server->address());
    client.send("POST /c HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x'));
    REQUIRE(play.askedTimes(1));
    CHECK(play.asked[0].request.body.size() == 1000);
}

TEST_CASE("a request whose end is in doubt is refused, and nothing after it is read") {
    Play play;
    RawConnection client(play.loop, play.server->address());
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string head = "POST /c HTTP/1.1\r\nHost: h\r\n";
    SUBCASE("a length and chunks") {
        head += "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    }
    SUBCASE("two lengths") {
        head += "Content-Length: 0\r\nContent-Length: 33\r\n\r\n";
    }
    SUBCASE("a length that is no number") {
        head += "Content-Length: +0\r\n\r\n";
    }
    SUBCASE("a negative length") {
        head += "Content-Length: -1\r\n\r\n";
    }
    SUBCASE("a name with a space") {
        head += "Content-Length : 33\r\n\r\n";
    }
    SUBCASE("a name that is no token") {
        head += "Content\"Length: 33\r\n\r\n";
    }
    SUBCASE("another coding") {
        head += "Transfer-Encoding: gzip\r\n\r\n";
    }
    SUBCASE("two codings") {
        head += "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n";
    }
    SUBCASE("a coding that is not quite one") {
        head += "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n";
    }
    SUBCASE("chunks twice") {
        head += "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    }
    SUBCASE("a body of HEAD") {
        head = "HEAD /c HTTP/1.1\r\nContent-Length: 33\r\n\r\n";
    }
    SUBCASE("chunks of HEAD") {
        head = "HEAD /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    }
    SUBCASE("a chunk size that is no number") {
        head += "Transfer-Encoding: chunked\r\n\r\nxyz\r\n";
    }
    SUBCASE("no colon") {
        head += "Content-Length 33\r\n\r\n";
    }
    SUBCASE("a space in the target") {
        head = "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    SUBCASE("no protocol") {
        head = "GET /a\r\n\r\n";
    }
    SUBCASE("another protocol") {
        head = "GET /a HTTP/2.0\r\n\r\n";
    }
    client.send(head + hidden);
    REQUIRE(play.closes(client));
    CHECK(play.asked.empty());
    CHECK(client.count("HTTP/1.1 4") == 1);
    CHECK(client.count("HTTP/1.1 ") == 1);
}

TEST_CASE("a method that is not served gets 501") {
    Play play;
    RawConnection client(play.loop, play.server->address());
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    SUBCASE("unknown") {
        client.send("FETCH /c HTTP/1.1\r\nHost: h\r\n\r\n" + hidden);
    }
    SUBCASE("lower case") {
        client.send("get /c HTTP/1.1\r\nHost: h\r\n\r\n" + hidden);
    }
    SUBCASE("a tunnel") {
        client.send("CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n" + hidden);
    }
    SUBCASE("long") {
        client.send("ABCDEFGHIJKLMNOP /c HTTP/1.1\r\nHost: h\r\n\r\n" + hidden);
    }
    REQUIRE(play.closes(client));
    CHECK(statusLine(client) == "HTTP/1.1 501 Not Implemented");
    CHECK(client.count("HTTP/1.1 ") == 1);
    CHECK(play.asked.empty());
}

TEST_CASE("an answer after the client has left is dropped") {
    Play play;
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
    Play play;
    RawConnection client(play.loop, play.server->address());
    client.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    play.server.reset();
    play.asked[0].respond({200, {}, "late", false});
    REQUIRE(play.closes(client));
    CHECK(client.received.empty());
}

TEST_CASE("a request that is never answered is freed with its responder") {
    Play play;
    RawConnection client(play.loop, play.server->address());
    client.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    play.asked.clear();
    CHECK(play.server->openRequests() == 1);
    play.server.reset();
}

TEST_CASE("answers ask to close where they should") {
    Play play;
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
    for (const Play::Asked& asked : play.asked) asked.respond({200, {}, "ok", close});
    REQUIRE(play.closes(client));
    REQUIRE(play.closes(second));
    CHECK(client.count("Connection: close\r\n") == 1);
    CHECK(second.count("Connection: close\r\n") == 1);
    CHECK(bodyOf(client) == "ok");
}

TEST_CASE("a server that stops listening serves the connections it has") {
    Play play;
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
    Play play;
    RawConnection client(play.loop, play.server->address());
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    play.asked[0].respond({204, {}, "ignored", false});
    REQUIRE(play.receives(client, "\r\n\r\n"));
    CHECK(client.count("Content-Length") == 0);
    CHECK(bodyOf(client).empty());
}

TEST_CASE("an answer with a header that cannot be sent becomes 500") {
    Play play;
    RawConnection client(play.loop, play.server->address());
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    play.asked[0].respond({200, {{"X", "a\r\nY: b"}}, "ok", false});
    REQUIRE(play.closes(client));
    CHECK(statusLine(client) == "HTTP/1.1 500 Internal Server Error");
}

TEST_CASE("a header that takes too long closes its connection, an idle one stays") {
    Play play;
    HttpLimits limits;
    limits.header_timeout = Millis(150);
    play.server->setLimits(limits);
    RawConnection idle(play.loop, play.server->address());
    RawConnection slow(play.loop, play.server->address());
    RawConnection sending(play.loop, play.server->address());
    RawConnection waiting(play.loop, play.server->address());
    slow.send("GET /1 HTTP/1.1\r\nHost: ");
    sending.send("POST /2 HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345");
    waiting.send("GET /3 HTTP/1.1\r\n\r\n");
    const SteadyTime start = play.loop.now();
    TimerHandle drip;
    std::function<void()> drop = [&] {
        slow.send("x");
        drip = play.loop.after(Millis(20), drop);
    };
    drop();
    REQUIRE(play.closes(slow));
    CHECK(play.loop.now() - start >= Millis(150));
    CHECK(play.loop.now() - start < Millis(1500));
    drip.reset();
    CHECK_FALSE(idle.closed);
    CHECK_FALSE(sending.closed);
    CHECK_FALSE(waiting.closed);
    sending.send("67890");
    REQUIRE(play.askedTimes(2));
    CHECK(play.asked[1].request.body == "1234567890");
}

TEST_CASE("an idle connection is closed after the idle timeout") {
    Play play;
    HttpLimits limits;
    limits.idle_timeout = Millis(100);
    play.server->setLimits(limits);
    RawConnection never(play.loop, play.server->address());
    RawConnection once(play.loop, play.server->address());
    once.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(play.askedTimes(1));
    play.asked[0].respond({200, {}, "ok", false});
    REQUIRE(play.receives(once, "ok"));
    REQUIRE(play.closes(never));
    REQUIRE(play.closes(once));
    CHECK(play.server->connections() == 0);
}

TEST_CASE("the client and the server of the cluster understand each other") {
    constexpr std::size_t kCalls = 50;
    Play play;
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
            CHECK(outcome.verdict == Verdict::answered);
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
