// HTTP/1.1 messages and the client interface, independent of the library behind them. Implemented on
// libevent's evhttp (evhttp_server.hpp, evhttp_client.hpp); tests use their own implementations.
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

// Returns the value of the first header with that name, ignoring case; empty if there is none.
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
    bool close = false;  // sends Connection: close; in a received response: the connection was closed
};

// Sends the response. Only the first call has an effect, and none if the client has disconnected.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest&, HttpResponder)>;

struct HttpCall {
    NodeAddress to;
    HttpRequest request;
    Millis timeout{1000};
    // Limit of open connections from this process to the address. A call that would exceed it ends as
    // not_executed.
    std::size_t max_connections = 8;
};

struct HttpOutcome {
    // not_executed: the connection was refused or timed out, none was free, or the request is not valid.
    CallStatus verdict = CallStatus::unknown;
    bool unreachable = false;  // no connection could be established
    bool timed_out = false;    // the call's timeout elapsed after the connection was established
    HttpResponse response;     // set only if verdict is answered
};

class HttpClient {
public:
    virtual ~HttpClient() = default;
    // Sends one request on a pooled connection. `done` runs exactly once, never inside send(). If the request
    // has a Request-Id header, only a response that repeats it ends the call as answered; a connection that
    // delivers any other response is closed, and the call ends as unknown if its own response does not follow
    // in time.
    virtual void send(HttpCall call, std::function<void(HttpOutcome)> done) = 0;
    // The number of open connections to the address, idle or in use.
    virtual std::size_t connectionCount(const NodeAddress& address) const = 0;
    // Closes the idle connections to an address that is no longer used.
    virtual void drainConnections(const NodeAddress& address) = 0;
};

}  // namespace amberswitch::cluster
