// HTTP/1.1 server on libevent's evhttp.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cluster/common/configuration.hpp"
#include "cluster/common/event_loop.hpp"
#include "cluster/common/http.hpp"

namespace amberswitch::cluster {

struct EvhttpDeleter {
    void operator()(evhttp* http) const { evhttp_free(http); }
};

// Passes complete, well-formed requests to the handler, one at a time per connection. It rejects all others
// itself (400, 413, 501) or closes the connection. Responses are dropped if the client has disconnected or
// the server is destroyed.
class EvhttpServer {
public:
    // Starts listening; port 0 selects any free port. Throws SocketError.
    EvhttpServer(EventLoop& loop, const NodeAddress& bind, HttpHandler handler);
    ~EvhttpServer();
    EvhttpServer(const EvhttpServer&) = delete;
    EvhttpServer& operator=(const EvhttpServer&) = delete;

    // Applies to connections accepted from now on, except for the header timeout, which applies to all.
    void setLimits(const HttpLimits& limits);
    // Refuses new connections; open ones stay.
    void stopListening();
    // Adds Connection: close to every later response.
    void startDraining();
    // The number of requests passed to the handler whose response is not completely written.
    std::size_t openRequests() const { return open_requests_; }
    std::size_t connections() const { return connections_.size(); }
    // The address that it listens on.
    const NodeAddress& address() const { return address_; }

private:
    struct Exchange;
    struct Connection;

    static bufferevent* onAccept(event_base* base, void* self);
    static void onRegister(evutil_socket_t, short, void* self);
    static void onInput(evbuffer* input, const evbuffer_cb_info* info, void* connection);
    static void onRequest(evhttp_request* request, void* self);
    static void onResponseSent(evhttp_request* request, void* connection);
    static void onClosed(evhttp_connection* handle, void* self);

    void registerAccepted();
    void registerConnection(bufferevent* stream);
    void handleRequest(evhttp_request* request);
    void sendResponse(Exchange& exchange, const HttpResponse& response);
    void finishExchange(Connection& connection);
    void handleClosed(evhttp_connection* handle);
    void handleInput(Connection& connection, evbuffer* input);
    void scheduleHeaderTimeoutCheck();
    void checkHeaderTimeouts();

    EventLoop& loop_;
    HttpHandler handler_;
    NodeAddress address_;
    HttpLimits limits_;
    bool draining_ = false;
    std::size_t open_requests_ = 0;
    std::vector<bufferevent*> accepted_;  // not yet in connections_; a reference is held to each
    EventHandle register_event_;
    TimerHandle header_timeout_timer_;
    std::unordered_map<evhttp_connection*, std::unique_ptr<Connection>> connections_;
    std::unique_ptr<evhttp, EvhttpDeleter> http_;
    evhttp_bound_socket* listener_ = nullptr;
};

}  // namespace amberswitch::cluster
