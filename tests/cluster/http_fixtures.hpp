// Test fixtures: the HTTP client with a raw TCP server, and the HTTP server for raw TCP clients.
#pragma once

#include <doctest/doctest.h>

#include "cluster/common/evhttp_client.hpp"
#include "cluster/common/evhttp_server.hpp"
#include "tests/cluster/loopback_peers.hpp"

namespace amberswitch::cluster::testing {

// Counts the completions of a call and keeps the last outcome.
struct HttpOutcomeRecorder {
    int completions = 0;
    HttpOutcome result;

    std::function<void(HttpOutcome)> callback() {
        return [this](HttpOutcome ended) {
            ++completions;
            result = std::move(ended);
        };
    }
};

inline std::string okResponse(const std::string& body, const std::string& headers = "") {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// An HTTP client, and a raw TCP server whose responses the test writes.
class HttpClientFixture {
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
    // Waits until the server has received at least that many requests on its connection of that index.
    // Returns false on a timeout, as all functions that wait.
    bool waitForRequestsOn(std::size_t connection, std::size_t requests) {
        return runUntil(loop, [&] {
            return server.connections.size() > connection &&
                   server.connections[connection]->count("\r\n\r\n") >= requests;
        });
    }
    RawConnection& serverConnection(std::size_t connection) { return *server.connections.at(connection); }
    bool waitForOutcome(const HttpOutcomeRecorder& outcome) {
        return runUntil(loop, [&] { return outcome.completions > 0; });
    }
    // Completes one exchange on the server's connection of that index, which is idle afterwards.
    void completeExchange(std::size_t connection, std::size_t requests, const std::string& headers = "") {
        HttpOutcomeRecorder outcome;
        client.send(get(), outcome.callback());
        REQUIRE(waitForRequestsOn(connection, requests));
        serverConnection(connection).send(okResponse("ok", headers));
        REQUIRE(waitForOutcome(outcome));
        REQUIRE(outcome.result.verdict == CallStatus::answered);
    }
};

// A server that holds each request until the test answers it.
class HttpServerFixture {
public:
    struct PendingRequest {
        HttpRequest request;
        HttpResponder respond;
    };

    EventLoop loop;
    std::vector<PendingRequest> requests;
    std::unique_ptr<EvhttpServer> server = std::make_unique<EvhttpServer>(
        loop, NodeAddress{"127.0.0.1", 0}, [this](const HttpRequest& request, HttpResponder respond) {
            requests.push_back({request, std::move(respond)});
        });

    bool waitForRequests(std::size_t count) {
        return runUntil(loop, [&] { return requests.size() >= count; });
    }
    bool waitForText(const RawConnection& client, const std::string& text) {
        return runUntil(loop, [&] { return client.count(text) > 0 || client.closed; }) &&
               client.count(text) > 0;
    }
    bool waitForClose(const RawConnection& client) {
        return runUntil(loop, [&] { return client.closed; });
    }
};

// The first line that a client received.
inline std::string statusLine(const RawConnection& client) {
    return client.received.substr(0, client.received.find("\r\n"));
}

inline std::string bodyOf(const RawConnection& client) {
    const std::size_t end = client.received.find("\r\n\r\n");
    return end == std::string::npos ? "" : client.received.substr(end + 4);
}

}  // namespace amberswitch::cluster::testing
