#include "cluster/common/evhttp_server.hpp"

#include <event2/listener.h>
#include <glog/logging.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "cluster/common/evhttp_message.hpp"
#include "cluster/common/stream_flush.hpp"
#include "cluster/common/tcp_socket.hpp"

namespace amberswitch::cluster {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kInternalError = 500;
constexpr Millis kMinHeaderCheckInterval{100};
constexpr int kHeaderChecksPerTimeout = 4;
constexpr std::string_view kNotImplemented =
    "HTTP/1.1 501 Not Implemented\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

timeval toTimeval(Millis span) {
    constexpr std::int64_t kMillisPerSecond = 1'000;
    constexpr std::int64_t kMicrosPerMilli = 1'000;
    timeval value{};
    value.tv_sec = span.count() / kMillisPerSecond;
    value.tv_usec = span.count() % kMillisPerSecond * kMicrosPerMilli;
    return value;
}

// Whether evhttp reads a request body for this method. After a HEAD or TRACE request it parses a body as the
// next request.
bool isRequestBodyRead(evhttp_cmd_type method) {
    return method != EVHTTP_REQ_HEAD && method != EVHTTP_REQ_TRACE;
}

bool isResponseBodySent(evhttp_request* request, int status) {
    const bool is_head = evhttp_request_get_command(request) == EVHTTP_REQ_HEAD;
    return !is_head && status != kNoContent && status != kNotModified;
}

// Whether the received part of a header contains its end. evhttp consumes complete lines at once, so the
// input begins at the start of a line.
bool containsHeaderEnd(evbuffer* input) {
    std::array<char, 2> first{};
    const ev_ssize_t copied = evbuffer_copyout(input, first.data(), first.size());
    if (copied > 0 && first[0] == '\n') return true;
    if (copied > 1 && first[0] == '\r' && first[1] == '\n') return true;
    const auto holds = [input](std::string_view mark) {
        return evbuffer_search(input, mark.data(), mark.size(), nullptr).pos >= 0;
    };
    return holds("\n\r\n") || holds("\n\n");
}

// Whether the first bytes of a request are, or may become, a supported method. evhttp would respond to any
// other method with a status of 0.
bool mayBeServedMethod(evbuffer* input) {
    std::array<char, 8> first{};
    const ev_ssize_t copied = evbuffer_copyout(input, first.data(), first.size());
    const std::string_view start(first.data(), static_cast<std::size_t>(std::max<ev_ssize_t>(copied, 0)));
    const std::size_t space = start.find(' ');
    if (space != std::string_view::npos) return methodByName(start.substr(0, space)).has_value();
    return start.size() < first.size();
}

}  // namespace

// A request passed to the handler; shared with its responder.
struct EvhttpServer::Exchange {
    EvhttpServer* server = nullptr;
    Connection* connection = nullptr;
    evhttp_request* request = nullptr;  // null once answered, or once the connection is closed
};

struct EvhttpServer::Connection {
    EvhttpServer& server;
    bufferevent* stream;
    std::shared_ptr<Exchange> exchange;             // from the request until its response is written
    std::optional<SteadyTime> header_started = {};  // set while a request header is being received
    bool in_request = false;  // from the first byte of a request until its response is written
};

EvhttpServer::EvhttpServer(EventLoop& loop, const NodeAddress& bind, HttpHandler handler)
    : loop_(loop), handler_(std::move(handler)), http_(evhttp_new(loop.base())) {
    register_event_.reset(event_new(loop.base(), -1, 0, &EvhttpServer::onRegister, this));
    if (!http_ || !register_event_) throw SocketError(bind, "no memory for the HTTP server");
    evhttp_set_allowed_methods(http_.get(), kServedMethods);
    evhttp_set_default_content_type(http_.get(), nullptr);
    evhttp_set_flags(http_.get(), EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_gencb(http_.get(), &EvhttpServer::onRequest, this);
    evhttp_set_bevcb(http_.get(), &EvhttpServer::onAccept, this);
    setLimits(HttpLimits{});
    Socket socket = listenOn(bind);
    address_ = localAddress(socket.descriptor());
    listener_ = evhttp_accept_socket_with_handle(http_.get(), socket.descriptor());
    if (listener_ == nullptr) throw SocketError(bind, "no memory to listen");
    socket.release();
}

EvhttpServer::~EvhttpServer() {
    for (bufferevent* stream : accepted_) bufferevent_decref(stream);
    accepted_.clear();
    http_.reset();
}

void EvhttpServer::setLimits(const HttpLimits& limits) {
    limits_ = limits;
    const timeval idle = toTimeval(limits.idle_timeout);
    evhttp_set_max_headers_size(http_.get(), limits.max_header_bytes);
    evhttp_set_max_body_size(http_.get(), limits.max_body_bytes);
    evhttp_set_timeout_tv(http_.get(), &idle);
}

void EvhttpServer::stopListening() {
    if (listener_ != nullptr) evhttp_del_accept_socket(http_.get(), std::exchange(listener_, nullptr));
}

void EvhttpServer::startDraining() {
    draining_ = true;
}

// evhttp has no callback for new connections; it only asks for the bufferevent of each. The evhttp_connection
// is assigned to the bufferevent after this callback returns. register_event_ runs in the same loop
// iteration, before any data can be read.
bufferevent* EvhttpServer::onAccept(event_base* base, void* self) {
    auto* server = static_cast<EvhttpServer*>(self);
    bufferevent* stream = bufferevent_socket_new(base, -1, 0);
    if (stream == nullptr) return nullptr;
    bufferevent_incref(stream);
    server->accepted_.push_back(stream);
    event_active(server->register_event_.get(), EV_TIMEOUT, 0);
    return stream;
}

void EvhttpServer::onRegister(evutil_socket_t, short, void* self) {
    auto* server = static_cast<EvhttpServer*>(self);
    server->loop_.guard([server] { server->registerAccepted(); });
}

void EvhttpServer::registerAccepted() {
    const std::vector<bufferevent*> accepted = std::exchange(accepted_, {});
    for (bufferevent* stream : accepted) {
        registerConnection(stream);
        bufferevent_decref(stream);
    }
}

void EvhttpServer::registerConnection(bufferevent* stream) {
    void* owner = nullptr;
    bufferevent_getcb(stream, nullptr, nullptr, nullptr, &owner);
    if (owner == nullptr) return;  // already closed
    auto* handle = static_cast<evhttp_connection*>(owner);
    auto connection = std::make_unique<Connection>(Connection{*this, stream, nullptr});
    setNoDelay(bufferevent_getfd(stream));
    evbuffer_add_cb(bufferevent_get_input(stream), &EvhttpServer::onInput, connection.get());
    evhttp_connection_set_closecb(handle, &EvhttpServer::onClosed, this);
    connections_.emplace(handle, std::move(connection));
}

void EvhttpServer::onInput(evbuffer* input, const evbuffer_cb_info* info, void* connection) {
    if (info->n_added == 0) return;
    auto* target = static_cast<Connection*>(connection);
    EvhttpServer& server = target->server;
    server.loop_.guard([&] { server.handleInput(*target, input); });
}

void EvhttpServer::handleInput(Connection& connection, evbuffer* input) {
    if (!connection.in_request) {
        connection.in_request = true;
        connection.header_started = loop_.now();
        if (!mayBeServedMethod(input)) {
            const evutil_socket_t socket = bufferevent_getfd(connection.stream);
            send(socket, kNotImplemented.data(), kNotImplemented.size(), MSG_NOSIGNAL);
            shutdown(socket, SHUT_RDWR);
            return;
        }
    }
    if (!connection.header_started) return;
    if (containsHeaderEnd(input)) {
        connection.header_started.reset();
    } else {
        scheduleHeaderTimeoutCheck();
    }
}

void EvhttpServer::scheduleHeaderTimeoutCheck() {
    if (header_timeout_timer_) return;
    const Millis step = std::max(kMinHeaderCheckInterval, limits_.header_timeout / kHeaderChecksPerTimeout);
    header_timeout_timer_ = loop_.after(step, [this] { checkHeaderTimeouts(); });
}

// Shuts down receiving on connections whose header exceeds the timeout; evhttp then reads the end of the
// stream and closes them.
void EvhttpServer::checkHeaderTimeouts() {
    header_timeout_timer_.reset();
    const SteadyTime now = loop_.now();
    for (const auto& [handle, connection] : connections_) {
        if (!connection->header_started) continue;
        if (now - *connection->header_started >= limits_.header_timeout) {
            shutdown(bufferevent_getfd(connection->stream), SHUT_RD);
            connection->header_started.reset();
        } else {
            scheduleHeaderTimeoutCheck();
        }
    }
}

void EvhttpServer::onRequest(evhttp_request* request, void* self) {
    auto* server = static_cast<EvhttpServer*>(self);
    server->loop_.guard([server, request] { server->handleRequest(request); });
}

void EvhttpServer::handleRequest(evhttp_request* request) {
    Connection& connection = *connections_.at(evhttp_request_get_connection(request));
    const evhttp_cmd_type method = evhttp_request_get_command(request);
    HttpRequest received{
        std::string(methodName(method)), evhttp_request_get_uri(request), readHeaders(request), {}};
    connection.header_started.reset();
    const bool has_unread_body = !isRequestBodyRead(method) && declaresBody(received.headers);
    if (!isValidTarget(received.target) || !hasUnambiguousFraming(received.headers) || has_unread_body) {
        return evhttp_send_error(request, kBadRequest, nullptr);
    }
    received.body = takeBody(request);
    connection.exchange = std::make_shared<Exchange>(Exchange{this, &connection, request});
    evhttp_request_set_on_complete_cb(request, &EvhttpServer::onResponseSent, &connection);
    ++open_requests_;
    handler_(received, [exchange = connection.exchange](HttpResponse response) {
        if (exchange->request != nullptr) exchange->server->sendResponse(*exchange, response);
    });
}

void EvhttpServer::sendResponse(Exchange& exchange, const HttpResponse& response) {
    evhttp_request* request = std::exchange(exchange.request, nullptr);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    try {
        writeHeaders(request, response.headers);
    } catch (const std::invalid_argument& error) {
        LOG(ERROR) << "response replaced by status 500: " << error.what();
        return evhttp_send_error(request, kInternalError, nullptr);
    }
    if (response.status != kNoContent && evhttp_find_header(headers, "Content-Length") == nullptr) {
        evhttp_add_header(headers, "Content-Length", std::to_string(response.body.size()).c_str());
    }
    if (response.close || draining_) evhttp_add_header(headers, "Connection", "close");
    if (isResponseBodySent(request, response.status)) {
        evbuffer_add(evhttp_request_get_output_buffer(request), response.body.data(), response.body.size());
    }
    evhttp_send_reply(request, response.status, nullptr, nullptr);
    scheduleWrite(exchange.connection->stream);
}

void EvhttpServer::onResponseSent(evhttp_request*, void* connection) {
    auto* target = static_cast<Connection*>(connection);
    target->server.finishExchange(*target);
}

void EvhttpServer::finishExchange(Connection& connection) {
    connection.exchange.reset();
    connection.in_request = false;
    --open_requests_;
    // The bytes of a pipelined request may have arrived before the response was written; handle them now.
    evbuffer* input = bufferevent_get_input(connection.stream);
    if (evbuffer_get_length(input) > 0) handleInput(connection, input);
}

void EvhttpServer::onClosed(evhttp_connection* handle, void* self) {
    static_cast<EvhttpServer*>(self)->handleClosed(handle);
}

void EvhttpServer::handleClosed(evhttp_connection* handle) {
    const auto found = connections_.find(handle);
    if (found == connections_.end()) return;
    if (const std::shared_ptr<Exchange> exchange = found->second->exchange) {
        evhttp_request* unanswered = std::exchange(exchange->request, nullptr);
        // evhttp detaches a request when its client disconnects and does not free it; it frees all others
        // with their connection.
        const bool must_free = unanswered != nullptr && evhttp_request_get_connection(unanswered) == nullptr;
        if (must_free) evhttp_request_free(unanswered);
        --open_requests_;
    }
    connections_.erase(found);
}

}  // namespace amberswitch::cluster
