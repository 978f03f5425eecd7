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

// Hands whole, well-formed requests to the handler, one at a time on each connection; everything else it
// refuses by itself (400, 413, 501) or closes. Answers are dropped where the client or the server is gone.
class EvhttpServer {
public:
    // Listens at once; port 0 takes any free one. Throws SocketError.
    EvhttpServer(EventLoop& loop, const NodeAddress& bind, HttpHandler handler);
    ~EvhttpServer();
    EvhttpServer(const EvhttpServer&) = delete;
    EvhttpServer& operator=(const EvhttpServer&) = delete;

    // For connections accepted from now on; the header timeout holds for all of them.
    void setLimits(const HttpLimits& limits);
    // New connections are refused; those that are open stay.
    void stopListening();
    // Every later answer carries Connection: close.
    void startDraining();
    // Requests that were handed over and whose answer is not written yet.
    std::size_t openRequests() const { return open_requests_; }
    std::size_t connections() const { return connections_.size(); }
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
    std::vector<bufferevent*> accepted_;  // not claimed yet; each holds a reference
    EventHandle register_event_;
    TimerHandle header_timeout_timer_;
    std::unordered_map<evhttp_connection*, std::unique_ptr<Connection>> connections_;
    std::unique_ptr<evhttp, EvhttpDeleter> http_;
    evhttp_bound_socket* listener_ = nullptr;
};

}  // namespace amberswitch::cluster
