// Plays the HTTP client against a server of raw sockets, and the HTTP server against raw clients.
#pragma once

#include <doctest/doctest.h>

#include "cluster/common/evhttp_client.hpp"
#include "cluster/common/evhttp_server.hpp"
#include "tests/cluster/loop_peers.hpp"

namespace amberswitch::cluster::testing {

// Counts how often a call ended, and keeps the last outcome.
struct HttpOutcomes {
    int times = 0;
    HttpOutcome result;

    std::function<void(HttpOutcome)> hear() {
        return [this](HttpOutcome heard) {
            ++times;
            result = std::move(heard);
        };
    }
};

inline std::string answer(const std::string& body, const std::string& headers = "") {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// A client, and a server that the test plays by hand.
class ClientPlay {
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
    bool ended(const HttpOutcomes& outcome) {
        return runUntil(loop, [&] { return outcome.times > 0; });
    }
    // One whole exchange on the server's connection of that index, which leaves it idle.
    void exchange(std::size_t connection, std::size_t requests, const std::string& headers = "") {
        HttpOutcomes outcome;
        client.send(get(), outcome.hear());
        REQUIRE(requested(connection, requests));
        at(connection).send(answer("ok", headers));
        REQUIRE(ended(outcome));
        REQUIRE(outcome.result.verdict == CallStatus::answered);
    }
};

// A server that keeps what it is asked until the test answers.
class ServerPlay {
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
inline std::string statusLine(const RawConnection& client) {
    return client.received.substr(0, client.received.find("\r\n"));
}

inline std::string bodyOf(const RawConnection& client) {
    const std::size_t end = client.received.find("\r\n\r\n");
    return end == std::string::npos ? "" : client.received.substr(end + 4);
}

}  // namespace amberswitch::cluster::testing
