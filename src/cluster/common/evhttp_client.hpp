// HTTP/1.1 client on libevent's evhttp, with a connection pool for each address.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/event_loop.hpp"
#include "cluster/common/http.hpp"

namespace amberswitch::cluster {

// Counters since the client was created.
struct HttpClientCounters {
    std::uint64_t connections_opened = 0;
    // Discarded responses, which do not repeat the Request-Id of the open call on their connection.
    std::uint64_t answers_of_earlier_calls = 0;  // the id is that of an earlier call on the connection
    std::uint64_t answers_of_unknown_calls = 0;  // the id is not among the latest ones of the connection
    std::uint64_t answers_without_id = 0;
    std::uint64_t answers_not_final = 0;          // status below 200
    std::uint64_t dropped_with_more_behind = 0;   // of all these: more bytes had been received after them
    std::uint64_t own_answers_behind_others = 0;  // responses accepted after others had been discarded
    // Calls that ended as unknown although a response was received.
    std::uint64_t answers_without_end = 0;  // ambiguous framing: a truncated body could not be detected
    std::uint64_t answers_ambiguous = 0;    // the call had no id and more bytes followed the response
    std::uint64_t too_many_others = 0;      // too many responses were discarded during one call

    // One line for each counter; all names begin with "http_client_".
    std::string text() const;
};

struct HttpConnectionDeleter {
    void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
};

// Reuses the most recently used idle connection. An idle connection is closed shortly before the time that
// the server stated in `Keep-Alive: timeout=` (5 s if it stated none), when the peer closes it, and when any
// data arrives on it. The client never retries a request. A call with a Request-Id is never sent on a
// connection that recently carried a call with the same id, because a late second response to the earlier
// call could not be distinguished from its own response.
//
// A response that does not repeat the call's id belongs to another call. The client discards it and reads the
// next response on the connection, until the call's timeout; the connection is closed afterwards. If a call
// has no id, a response that is followed by more bytes may belong to an earlier call, so the outcome is
// unknown.
//
// The callbacks of calls that are open when the client is destroyed never run.
class EvhttpClient : public HttpClient {
public:
    explicit EvhttpClient(EventLoop& loop);
    ~EvhttpClient() override;
    EvhttpClient(const EvhttpClient&) = delete;
    EvhttpClient& operator=(const EvhttpClient&) = delete;

    // A request with an invalid method, target or header ends as not_executed.
    void send(HttpCall call, std::function<void(HttpOutcome)> done) override;
    std::size_t connectionCount(const NodeAddress& address) const override;
    // Connections in use are closed after their response.
    void drainConnections(const NodeAddress& address) override;

    const HttpClientCounters& counters() const { return counters_; }

private:
    struct Exchange {
        std::function<void(HttpOutcome)> done;
        std::string request_id;  // empty: the response needs no id
        evhttp_cmd_type method = EVHTTP_REQ_GET;
        std::size_t dropped_responses = 0;
        SteadyTime deadline;
        bool timed_out = false;  // its own response was received by then and is still being read
    };
    struct Connection {
        EvhttpClient& client;
        NodeAddress to;
        std::unique_ptr<evhttp_connection, HttpConnectionDeleter> handle;
        std::optional<Exchange> exchange = {};  // the open request; none while idle
        bool connected = false;
        bool close_after_response = false;
        std::uint64_t calls = 0;                   // carried so far, including the open one
        std::deque<std::string> carried_ids = {};  // Request-Ids of the latest calls, newest last
        TimerHandle timer = {};                    // request timeout, or idle timeout
    };
    struct Pool {
        std::vector<std::unique_ptr<Connection>> connections;
        std::vector<Connection*> idle;  // most recently used last
    };

    static void onResponse(evhttp_request* response, void* connection);
    static void onClosed(evhttp_connection*, void* connection);
    static void onOutput(evbuffer* output, const evbuffer_cb_info* info, void* connection);
    static void onReap(evutil_socket_t, short, void* self);

    Connection* takeIdleConnection(const NodeAddress& address, const std::string& request_id);
    // Makes room for a new connection when every idle one has carried the call's id.
    void retireOldestIdleConnection(const NodeAddress& address);
    Connection& openConnection(const NodeAddress& address);
    void startExchange(Connection& connection, HttpCall call, std::function<void(HttpOutcome)> done);
    void sendRequest(Connection& connection, const HttpRequest& request);
    void rejectCall(std::function<void(HttpOutcome)> done);
    void handleResponse(Connection& connection, evhttp_request* response);
    // Whether the response is final and repeats the id of the open call.
    static bool isResponseToOpenCall(const Connection& connection, const HttpResponse& answer);
    // Discards a response to another call and reads the next one.
    void discardResponse(Connection& connection, const HttpResponse& answer);
    // Checks that no response to a call that ends as unknown is among the received bytes.
    static void checkOwnResponseNotDropped(const Connection& connection);
    // Whether the received bytes that are not parsed yet contain the id of the open call.
    static bool isOwnResponseUnread(const Connection& connection);
    void recordDiscarded(const Connection& connection, const HttpResponse& answer);
    void handleConnected(Connection& connection);
    void handleTimeout(Connection& connection);
    void failExchange(Connection& connection);
    void finishExchange(Connection& connection, HttpOutcome outcome);
    void returnToPool(Connection& connection, const HttpHeaders& headers);
    void handleClosed(Connection& connection);
    void retire(Connection& connection);

    EventLoop& loop_;
    std::map<NodeAddress, Pool> pools_;
    // Freed by reap_event_, because evhttp's callbacks still use them.
    std::vector<std::unique_ptr<Connection>> retired_;
    EventHandle reap_event_;
    HttpClientCounters counters_;
    bool in_send_ = false;  // `done` must not run inside send()
};

}  // namespace amberswitch::cluster
