// HTTP/1.1 as the planes see it. Implemented on libevent's evhttp (evhttp_server.hpp, evhttp_client.hpp);
// tests use their own implementations.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

struct HttpHeader {
    std::string name;
    std::string value;
};
using HttpHeaders = std::vector<HttpHeader>;

// The first value of a header, by its name without case; empty if there is none.
std::string_view headerValue(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
    std::string method;
    std::string target;  // path and query, as sent
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
    bool close = false;  // ask the client to close (Connection: close)
};

// Answers once; an answer after the client has left is dropped.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest&, HttpResponder)>;

struct HttpCall {
    NodeAddress to;
    HttpRequest request;
    Millis timeout{1000};
    std::size_t max_connections = 8;  // to this address from this process; further calls are not_executed
};

struct HttpOutcome {
    Verdict verdict = Verdict::unknown;  // not_executed: refused, no connection in time, or none free
    bool unreachable = false;            // no connection could be made
    bool timed_out = false;
    HttpResponse response;  // only where verdict is answered
};

class HttpClient {
public:
    virtual ~HttpClient() = default;
    // One request on a pooled connection; `done` runs exactly once, never inside send(). Where the call has a
    // Request-Id, an answer that does not repeat it closes its connection and gives unknown.
    virtual void send(HttpCall call, std::function<void(HttpOutcome)> done) = 0;
    // Connections that are open now to an address, idle or not.
    virtual std::size_t connectionCount(const NodeAddress& address) const = 0;
    // Closes idle connections, at an address that is not used any more.
    virtual void drainConnections(const NodeAddress& address) = 0;
};

}  // namespace amberswitch::cluster
