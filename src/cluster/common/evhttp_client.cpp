#include "cluster/common/evhttp_client.hpp"

#include <glog/logging.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "cluster/common/evhttp_message.hpp"
#include "cluster/common/invariant.hpp"
#include "cluster/common/metrics_text.hpp"
#include "cluster/common/next_response.hpp"
#include "cluster/common/stream_flush.hpp"
#include "cluster/common/tcp_socket.hpp"

namespace amberswitch::cluster {

namespace {

constexpr Millis kConnectTimeout{300};
constexpr Millis kDefaultKeepAlive{5000};
constexpr Millis kMaxKeepAlive{60'000};
constexpr Millis kKeepAliveMargin{500};
constexpr int kKeepAliveMarginDivisor = 3;  // the margin is at most a third of the keep-alive time
constexpr std::string_view kRequestIdHeader = "Request-Id";
constexpr ev_ssize_t kMaxHeaderBytes = 64 * 1024;
constexpr ev_ssize_t kMaxBodyBytes = 64 * 1024 * 1024;
constexpr int kFirstFinalStatus = 200;
// A response behind one to another call is read a turn of the loop later.
constexpr Millis kUnreadResponseGrace{20};
constexpr std::size_t kMaxCarriedIds = 16;        // Request-Ids remembered per connection
constexpr std::size_t kMaxDroppedResponses = 16;  // per call; a server that sends more is faulty
constexpr int kLogIntervalSeconds = 10;

// How long the server keeps an idle connection open, by its Keep-Alive header.
Millis keepAliveTimeout(const HttpHeaders& headers) {
    constexpr std::string_view kTimeout = "timeout=";
    const std::string_view value = headerValue(headers, "Keep-Alive");
    const std::size_t found = value.find(kTimeout);
    if (found == std::string_view::npos) return kDefaultKeepAlive;
    const std::string_view number = value.substr(found + kTimeout.size());
    std::uint32_t seconds = 0;
    if (std::from_chars(number.data(), number.data() + number.size(), seconds).ec != std::errc()) {
        return kDefaultKeepAlive;
    }
    return std::min<Millis>(std::chrono::seconds(seconds), kMaxKeepAlive);
}

bool isRequest(const HttpRequest& request) {
    return methodByName(request.method).has_value() && isValidTarget(request.target);
}

bool hasCarriedId(const std::deque<std::string>& ids, const std::string& id) {
    return !id.empty() && std::find(ids.begin(), ids.end(), id) != ids.end();
}

void recordCarriedId(std::deque<std::string>& ids, const std::string& id) {
    if (id.empty()) return;
    ids.push_back(id);
    if (ids.size() > kMaxCarriedIds) ids.pop_front();
}

// Whether an idle connection can carry another request: no unexpected bytes, end of stream or error are
// pending.
bool isReusable(evhttp_connection* handle) {
    bufferevent* stream = evhttp_connection_get_bufferevent(handle);
    const evutil_socket_t socket = bufferevent_getfd(stream);
    if (socket < 0 || evbuffer_get_length(bufferevent_get_input(stream)) > 0) return false;
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

// The number of bytes received after the latest response.
std::size_t unreadBytes(evhttp_connection* handle) {
    return evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(handle)));
}

// Whether the received, unparsed bytes contain the id, as the response to its call would.
bool unreadInputContains(evhttp_connection* handle, const std::string& id) {
    evbuffer* const input = bufferevent_get_input(evhttp_connection_get_bufferevent(handle));
    return evbuffer_search(input, id.data(), id.size(), nullptr).pos >= 0;
}

}  // namespace

std::string HttpClientCounters::text() const {
    MetricsText text("http_client_");
    text.add("connections_opened", connections_opened);
    text.add("answers_of_earlier_calls", answers_of_earlier_calls);
    text.add("answers_of_unknown_calls", answers_of_unknown_calls);
    text.add("answers_without_id", answers_without_id);
    text.add("answers_not_final", answers_not_final);
    text.add("dropped_with_more_behind", dropped_with_more_behind);
    text.add("own_answers_behind_others", own_answers_behind_others);
    text.add("answers_without_end", answers_without_end);
    text.add("answers_ambiguous", answers_ambiguous);
    text.add("too_many_others", too_many_others);
    return text.take();
}

EvhttpClient::EvhttpClient(EventLoop& loop) : loop_(loop) {
    reap_event_.reset(event_new(loop.base(), -1, 0, &EvhttpClient::onReap, this));
    if (!reap_event_) throw std::runtime_error("HTTP client: out of memory");
}

EvhttpClient::~EvhttpClient() {
    for (auto& [address, pool] : pools_) {
        for (const auto& connection : pool.connections) {
            evhttp_connection_set_closecb(connection->handle.get(), nullptr, nullptr);
        }
    }
}

void EvhttpClient::send(HttpCall call, std::function<void(HttpOutcome)> done) {
    if (!isRequest(call.request)) return rejectCall(std::move(done));
    const std::string request_id(headerValue(call.request.headers, kRequestIdHeader));
    if (Connection* idle = takeIdleConnection(call.to, request_id))
        return startExchange(*idle, std::move(call), std::move(done));
    if (connectionCount(call.to) >= call.max_connections) retireOldestIdleConnection(call.to);
    if (connectionCount(call.to) >= call.max_connections) return rejectCall(std::move(done));
    Connection& fresh = openConnection(call.to);
    startExchange(fresh, std::move(call), std::move(done));
}

void EvhttpClient::rejectCall(std::function<void(HttpOutcome)> done) {
    loop_.post([done = std::move(done)] { done(HttpOutcome{CallStatus::not_executed, false, false, {}}); });
}

std::size_t EvhttpClient::connectionCount(const NodeAddress& address) const {
    const auto found = pools_.find(address);
    return found == pools_.end() ? 0 : found->second.connections.size();
}

void EvhttpClient::drainConnections(const NodeAddress& address) {
    const auto found = pools_.find(address);
    if (found == pools_.end()) return;
    for (const auto& connection : found->second.connections) connection->close_after_response = true;
    const std::vector<Connection*> idle = found->second.idle;
    for (Connection* connection : idle) retire(*connection);
}

EvhttpClient::Connection* EvhttpClient::takeIdleConnection(const NodeAddress& address,
                                                           const std::string& request_id) {
    const auto found = pools_.find(address);
    if (found == pools_.end()) return nullptr;
    const std::vector<Connection*>& idle = found->second.idle;
    const std::vector<Connection*> newest_first(idle.rbegin(), idle.rend());
    for (Connection* connection : newest_first) {
        if (!isReusable(connection->handle.get())) {
            retire(*connection);  // may erase the pool
        } else if (!hasCarriedId(connection->carried_ids, request_id)) {
            std::erase(pools_.at(address).idle, connection);
            return connection;
        }
    }
    return nullptr;
}

void EvhttpClient::retireOldestIdleConnection(const NodeAddress& address) {
    const auto found = pools_.find(address);
    if (found != pools_.end() && !found->second.idle.empty()) retire(*found->second.idle.front());
}

EvhttpClient::Connection& EvhttpClient::openConnection(const NodeAddress& address) {
    evhttp_connection* handle =
        evhttp_connection_base_new(loop_.base(), nullptr, address.ip.c_str(), address.port);
    if (handle == nullptr) throw std::runtime_error("HTTP client: out of memory for a connection");
    ++counters_.connections_opened;
    auto connection = std::make_unique<Connection>(Connection{*this, address, {}});
    connection->handle.reset(handle);
    evhttp_connection_set_retries(handle, 0);
    evhttp_connection_set_max_headers_size(handle, kMaxHeaderBytes);
    evhttp_connection_set_max_body_size(handle, kMaxBodyBytes);
    evhttp_connection_set_closecb(handle, &EvhttpClient::onClosed, connection.get());
    evbuffer* output = bufferevent_get_output(evhttp_connection_get_bufferevent(handle));
    evbuffer_add_cb(output, &EvhttpClient::onOutput, connection.get());
    return *pools_[address].connections.emplace_back(std::move(connection));
}

void EvhttpClient::startExchange(Connection& connection, HttpCall call,
                                 std::function<void(HttpOutcome)> done) {
    const std::string request_id(headerValue(call.request.headers, kRequestIdHeader));
    recordCarriedId(connection.carried_ids, request_id);
    ++connection.calls;
    connection.exchange = Exchange{std::move(done), request_id, *methodByName(call.request.method), 0,
                                   loop_.now() + call.timeout};
    const Millis initial_timeout =
        connection.connected ? call.timeout : std::min(call.timeout, kConnectTimeout);
    connection.timer = loop_.after(initial_timeout, [this, &connection] { handleTimeout(connection); });
    in_send_ = true;
    sendRequest(connection, call.request);
    in_send_ = false;
}

void EvhttpClient::sendRequest(Connection& connection, const HttpRequest& request) {
    evhttp_request* message = evhttp_request_new(&EvhttpClient::onResponse, &connection);
    if (message == nullptr) throw std::runtime_error("HTTP client: no memory for a request");
    try {
        writeHeaders(message, request.headers);
    } catch (const std::invalid_argument&) {
        evhttp_request_free(message);
        retire(connection);
        return finishExchange(connection, HttpOutcome{CallStatus::not_executed, false, false, {}});
    }
    evkeyvalq* headers = evhttp_request_get_output_headers(message);
    if (!request.body.empty() && evhttp_find_header(headers, "Content-Length") == nullptr) {
        evhttp_add_header(headers, "Content-Length", std::to_string(request.body.size()).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(), request.body.size());
    const bool is_accepted = evhttp_make_request(connection.handle.get(), message,
                                                 connection.exchange->method, request.target.c_str()) == 0;
    if (!is_accepted && connection.exchange) return failExchange(connection);
    if (connection.connected) scheduleWrite(evhttp_connection_get_bufferevent(connection.handle.get()));
}

// evhttp writes the request into the output buffer of a new connection once it is connected, so the first
// output tells that the connection is established.
void EvhttpClient::onOutput(evbuffer*, const evbuffer_cb_info* info, void* connection) {
    auto* target = static_cast<Connection*>(connection);
    if (info->n_added > 0 && !target->connected) target->client.handleConnected(*target);
}

void EvhttpClient::handleConnected(Connection& connection) {
    connection.connected = true;
    setNoDelay(bufferevent_getfd(evhttp_connection_get_bufferevent(connection.handle.get())));
    if (!connection.exchange) return;
    const auto remaining = std::chrono::ceil<Millis>(connection.exchange->deadline - loop_.now());
    connection.timer = loop_.after(remaining, [this, &connection] { handleTimeout(connection); });
}

void EvhttpClient::handleTimeout(Connection& connection) {
    if (!connection.connected) return failExchange(connection);
    if (isOwnResponseUnread(connection) && !std::exchange(connection.exchange->timed_out, true)) {
        connection.timer =
            loop_.after(kUnreadResponseGrace, [this, &connection] { handleTimeout(connection); });
        return;
    }
    checkOwnResponseNotDropped(connection);
    retire(connection);
    finishExchange(connection, HttpOutcome{CallStatus::unknown, false, true, {}});
}

void EvhttpClient::onResponse(evhttp_request* response, void* connection) {
    auto* target = static_cast<Connection*>(connection);
    EvhttpClient& client = target->client;
    client.loop_.guard([&] { client.handleResponse(*target, response); });
}

// evhttp passes no message if the connection broke, and a status of 0 if it could not be established.
void EvhttpClient::handleResponse(Connection& connection, evhttp_request* response) {
    if (!connection.exchange) return;
    const int status = response == nullptr ? 0 : evhttp_request_get_response_code(response);
    if (status == 0) return failExchange(connection);
    HttpResponse answer{status, readHeaders(response), takeBody(response), false};
    if (!isResponseToOpenCall(connection, answer)) return discardResponse(connection, answer);
    if (!hasUnambiguousFraming(answer.headers)) {
        ++counters_.answers_without_end;
        return failExchange(connection);
    }
    const bool has_unread_bytes = unreadBytes(connection.handle.get()) > 0;
    if (has_unread_bytes && connection.exchange->request_id.empty() && connection.calls > 1) {
        ++counters_.answers_ambiguous;
        return failExchange(connection);
    }
    if (connection.exchange->dropped_responses > 0) ++counters_.own_answers_behind_others;
    answer.close = bufferevent_getfd(evhttp_connection_get_bufferevent(connection.handle.get())) < 0;
    if (answer.close || connection.close_after_response || has_unread_bytes) {
        retire(connection);
    } else {
        returnToPool(connection, answer.headers);
    }
    finishExchange(connection, HttpOutcome{CallStatus::answered, false, false, std::move(answer)});
}

bool EvhttpClient::isResponseToOpenCall(const Connection& connection, const HttpResponse& answer) {
    if (answer.status < kFirstFinalStatus) return false;
    const std::string& expected = connection.exchange->request_id;
    return expected.empty() || headerValue(answer.headers, kRequestIdHeader) == expected;
}

void EvhttpClient::discardResponse(Connection& connection, const HttpResponse& answer) {
    recordDiscarded(connection, answer);
    if (answer.status >= kFirstFinalStatus) connection.close_after_response = true;
    if (++connection.exchange->dropped_responses > kMaxDroppedResponses) {
        ++counters_.too_many_others;
        return failExchange(connection);
    }
    evhttp_connection* const handle = connection.handle.get();
    if (bufferevent_getfd(evhttp_connection_get_bufferevent(handle)) < 0) return failExchange(connection);
    evhttp_request* const message = evhttp_request_new(&EvhttpClient::onResponse, &connection);
    if (message == nullptr) throw std::runtime_error("HTTP client: no memory for a request");
    if (!readNextResponse(handle, message, connection.exchange->method)) failExchange(connection);
}

void EvhttpClient::recordDiscarded(const Connection& connection, const HttpResponse& answer) {
    const std::string& expected = connection.exchange->request_id;
    const std::string id(headerValue(answer.headers, kRequestIdHeader));
    const bool is_earlier = id != expected && hasCarriedId(connection.carried_ids, id);
    const std::size_t unread_bytes = unreadBytes(connection.handle.get());
    if (unread_bytes > 0) ++counters_.dropped_with_more_behind;
    if (answer.status < kFirstFinalStatus) {
        ++counters_.answers_not_final;
        return;
    }
    if (id.empty()) {
        ++counters_.answers_without_id;
    } else {
        ++(is_earlier ? counters_.answers_of_earlier_calls : counters_.answers_of_unknown_calls);
    }
    LOG_EVERY_T(WARNING, kLogIntervalSeconds)
        << "response from " << connection.to.text() << " with status " << answer.status << " and Request-Id '"
        << id << "' does not match call '" << expected << "'" << (is_earlier ? ", but an earlier call" : "")
        << "; " << unread_bytes << " unread bytes follow; call number " << connection.calls
        << " on this connection";
}

void EvhttpClient::checkOwnResponseNotDropped(const Connection& connection) {
    checkInvariant(Invariant::own_answer_is_taken, !isOwnResponseUnread(connection),
                   "call " + connection.exchange->request_id + " to " + connection.to.text());
}

bool EvhttpClient::isOwnResponseUnread(const Connection& connection) {
    const std::string& id = connection.exchange->request_id;
    return !id.empty() && unreadInputContains(connection.handle.get(), id);
}

void EvhttpClient::failExchange(Connection& connection) {
    const bool connected = connection.connected;
    checkOwnResponseNotDropped(connection);
    retire(connection);
    finishExchange(
        connection,
        HttpOutcome{connected ? CallStatus::unknown : CallStatus::not_executed, !connected, false, {}});
}

void EvhttpClient::returnToPool(Connection& connection, const HttpHeaders& headers) {
    const Millis kept = keepAliveTimeout(headers);
    const Millis margin = std::min(kKeepAliveMargin, kept / kKeepAliveMarginDivisor);
    connection.timer = loop_.after(kept - margin, [this, &connection] { retire(connection); });
    pools_.at(connection.to).idle.push_back(&connection);
}

void EvhttpClient::finishExchange(Connection& connection, HttpOutcome outcome) {
    std::function<void(HttpOutcome)> done = std::move(connection.exchange->done);
    connection.exchange.reset();
    if (!in_send_) return done(std::move(outcome));
    loop_.post([done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
}

void EvhttpClient::onClosed(evhttp_connection*, void* connection) {
    auto* target = static_cast<Connection*>(connection);
    target->client.handleClosed(*target);
}

// If the connection carries a request, evhttp also reports its end through onResponse().
void EvhttpClient::handleClosed(Connection& connection) {
    if (!connection.exchange) retire(connection);
}

void EvhttpClient::retire(Connection& connection) {
    const auto found = pools_.find(connection.to);
    if (found == pools_.end()) return;
    Pool& pool = found->second;
    const auto is_this = [&](const std::unique_ptr<Connection>& other) { return other.get() == &connection; };
    const auto place = std::find_if(pool.connections.begin(), pool.connections.end(), is_this);
    if (place == pool.connections.end()) return;
    connection.timer.reset();
    evhttp_connection_set_closecb(connection.handle.get(), nullptr, nullptr);
    std::erase(pool.idle, &connection);
    retired_.push_back(std::move(*place));
    pool.connections.erase(place);
    if (pool.connections.empty()) pools_.erase(found);
    event_active(reap_event_.get(), EV_TIMEOUT, 0);
}

void EvhttpClient::onReap(evutil_socket_t, short, void* self) {
    std::exchange(static_cast<EvhttpClient*>(self)->retired_, {}).clear();
}

}  // namespace amberswitch::cluster
