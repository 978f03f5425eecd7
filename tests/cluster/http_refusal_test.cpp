// Tests of the requests that the HTTP server rejects and the connections it closes, with raw TCP clients on
// loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/cluster/http_fixtures.hpp"

namespace amberswitch::cluster {

using testing::HttpServerFixture;
using testing::okResponse;
using testing::RawConnection;
using testing::runUntil;
using testing::statusLine;

TEST_CASE(
    "an incomplete request reaches no handler, and its connection is closed when the client closes it") {
    const std::vector<std::string> parts{
        "POST /c HT",
        "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n",
        "POST /c HTTP/1.1\r\nContent-Length: 10\r\n\r\n123456789",
        "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
    };
    for (const std::string& part : parts) {
        for (const std::string end : {"stops sending", "closes", "resets"}) {
            INFO(part << " and the client " << end);
            HttpServerFixture fixture;
            RawConnection client(fixture.loop, fixture.server->address());
            client.send(part);
            REQUIRE(runUntil(fixture.loop,
                             [&] { return client.sentAll() && fixture.server->connections() == 1; }));
            if (end == "stops sending") client.shutdownSending();
            if (end == "closes") client.close();
            if (end == "resets") client.reset();
            REQUIRE(runUntil(fixture.loop, [&] { return fixture.server->connections() == 0; }));
            CHECK(fixture.requests.empty());
            CHECK(fixture.server->openRequests() == 0);
        }
    }
}

TEST_CASE("an oversized request is rejected and reaches no handler") {
    HttpServerFixture fixture;
    HttpLimits limits;
    limits.max_body_bytes = 1000;
    limits.max_header_bytes = 500;
    fixture.server->setLimits(limits);
    RawConnection client(fixture.loop, fixture.server->address());
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
    REQUIRE(fixture.waitForText(client, "HTTP/1.1 "));
    CHECK(statusLine(client) == status);
    REQUIRE(fixture.waitForClose(client));
    CHECK(client.count("Connection: close\r\n") == 1);
    CHECK(fixture.requests.empty());
}

TEST_CASE("a body of the maximum size is accepted") {
    HttpServerFixture fixture;
    HttpLimits limits;
    limits.max_body_bytes = 1000;
    fixture.server->setLimits(limits);
    RawConnection client(fixture.loop, fixture.server->address());
    client.send("POST /c HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x'));
    REQUIRE(fixture.waitForRequests(1));
    CHECK(fixture.requests[0].request.body.size() == 1000);
}

TEST_CASE("a request with ambiguous framing is rejected, and nothing after it is parsed") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
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
    SUBCASE("a coding that ends in chunked") {
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
    REQUIRE(fixture.waitForClose(client));
    CHECK(fixture.requests.empty());
    CHECK(client.count("HTTP/1.1 4") == 1);
    CHECK(client.count("HTTP/1.1 ") == 1);
}

TEST_CASE("an unsupported method gets 501") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
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
    REQUIRE(fixture.waitForClose(client));
    CHECK(statusLine(client) == "HTTP/1.1 501 Not Implemented");
    CHECK(client.count("HTTP/1.1 ") == 1);
    CHECK(fixture.requests.empty());
}

TEST_CASE("a response with an invalid header becomes 500") {
    HttpServerFixture fixture;
    RawConnection client(fixture.loop, fixture.server->address());
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    fixture.requests[0].respond({200, {{"X", "a\r\nY: b"}}, "ok", false});
    REQUIRE(fixture.waitForClose(client));
    CHECK(statusLine(client) == "HTTP/1.1 500 Internal Server Error");
}

TEST_CASE("the header timeout closes slow connections but not idle ones") {
    HttpServerFixture fixture;
    HttpLimits limits;
    limits.header_timeout = Millis(150);
    fixture.server->setLimits(limits);
    RawConnection idle(fixture.loop, fixture.server->address());
    RawConnection slow(fixture.loop, fixture.server->address());
    RawConnection sending(fixture.loop, fixture.server->address());
    RawConnection waiting(fixture.loop, fixture.server->address());
    slow.send("GET /1 HTTP/1.1\r\nHost: ");
    sending.send("POST /2 HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345");
    waiting.send("GET /3 HTTP/1.1\r\n\r\n");
    const SteadyTime start = fixture.loop.now();
    TimerHandle drip;
    std::function<void()> drop = [&] {
        slow.send("x");
        drip = fixture.loop.after(Millis(20), drop);
    };
    drop();
    REQUIRE(fixture.waitForClose(slow));
    CHECK(fixture.loop.now() - start >= Millis(150));
    CHECK(fixture.loop.now() - start < Millis(1500));
    drip.reset();
    CHECK_FALSE(idle.closed);
    CHECK_FALSE(sending.closed);
    CHECK_FALSE(waiting.closed);
    sending.send("67890");
    REQUIRE(fixture.waitForRequests(2));
    CHECK(fixture.requests[1].request.body == "1234567890");
}

TEST_CASE("an idle connection is closed after the idle timeout") {
    HttpServerFixture fixture;
    HttpLimits limits;
    limits.idle_timeout = Millis(100);
    fixture.server->setLimits(limits);
    RawConnection never(fixture.loop, fixture.server->address());
    RawConnection once(fixture.loop, fixture.server->address());
    once.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    fixture.requests[0].respond({200, {}, "ok", false});
    REQUIRE(fixture.waitForText(once, "ok"));
    REQUIRE(fixture.waitForClose(never));
    REQUIRE(fixture.waitForClose(once));
    CHECK(fixture.server->connections() == 0);
}

}  // namespace amberswitch::cluster
