// HTTP/1.1 client on libevent's evhttp, with a pool of connections to each address.
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

// What the client counts, since its start.
struct HttpClientCounters {
    std::uint64_t connections_opened = 0;
    // Dropped answers that do not repeat the Request-Id of the call that was open on their connection.
    std::uint64_t answers_of_earlier_calls = 0;  // they repeat that of an earlier call on it
    std::uint64_t answers_of_unknown_calls = 0;  // they repeat one that it did not carry lately
    std::uint64_t answers_without_id = 0;
    std::uint64_t answers_not_final = 0;          // their status is below 200
    std::uint64_t dropped_with_more_behind = 0;   // of all these, those behind which more bytes were waiting
    std::uint64_t own_answers_behind_others = 0;  // taken after others had been dropped
    // Calls that ended as unknown although something was answered.
    std::uint64_t answers_without_end = 0;  // nothing tells a whole one from one that was cut short
    std::uint64_t answers_ambiguous = 0;    // to a call without an id, with more behind
    std::uint64_t too_many_others = 0;      // more than are dropped for one call

    // One line for each counter, its name beginning with "http_client_".
    std::string text() const;
};

struct HttpConnectionDeleter {
    void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
};

// Reuses the connection that was used last. Idle ones are closed a while before the time that the server gave
// in `Keep-Alive: timeout=` (5 s where it gave none), when the peer closes them and when anything arrives on
// them. Nothing is ever sent twice. A call with a Request-Id never goes out on a connection that carried one
// with the same id lately: a second answer to that one, which came late, could not be told from its own.
// An answer that does not repeat a call's id says nothing of that call: it is dropped and the next one on the
// connection is read, for as long as the call may take; the connection is closed after it. Where a call has
// no id, an answer behind which more arrived may be an earlier call's: the outcome is unknown. Calls that are
// open when the client is destroyed never hear their end.
class EvhttpClient : public HttpClient {
public:
    explicit EvhttpClient(EventLoop& loop);
    ~EvhttpClient() override;
    EvhttpClient(const EvhttpClient&) = delete;
    EvhttpClient& operator=(const EvhttpClient&) = delete;

    // A call that cannot be put into a request (method, target or a header) is not_executed.
    void send(HttpCall call, std::function<void(HttpOutcome)> done) override;
    std::size_t connectionCount(const NodeAddress& address) const override;
    // Connections that are in use close after their answer.
    void drainConnections(const NodeAddress& address) override;

    const HttpClientCounters& counters() const { return counters_; }

private:
    struct Exchange {
        std::function<void(HttpOutcome)> done;
        std::string request_id;  // empty: its answer needs none
        evhttp_cmd_type method = EVHTTP_REQ_GET;
        std::size_t dropped_responses = 0;
        SteadyTime deadline;
    };
    struct Connection {
        EvhttpClient& client;
        NodeAddress to;
        std::unique_ptr<evhttp_connection, HttpConnectionDeleter> handle;
        std::optional<Exchange> exchange = {};  // the request that it carries; none while idle
        bool connected = false;
        bool close_after_response = false;
        std::uint64_t calls = 0;                   // that it has carried, with the one that is open
        std::deque<std::string> carried_ids = {};  // of the latest of them, newest last
        TimerHandle timer = {};                    // of the request, or of the idle time
    };
    struct Pool {
        std::vector<std::unique_ptr<Connection>> connections;
        std::vector<Connection*> idle;  // used last at the back
    };

    static void onResponse(evhttp_request* response, void* connection);
    static void onClosed(evhttp_connection*, void* connection);
    static void onOutput(evbuffer* output, const evbuffer_cb_info* info, void* connection);
    static void onReap(evutil_socket_t, short, void* self);

    Connection* takeIdleConnection(const NodeAddress& address, const std::string& request_id);
    // Makes room where every idle connection has carried this id.
    void retireOldestIdleConnection(const NodeAddress& address);
    Connection& openConnection(const NodeAddress& address);
    void startExchange(Connection& connection, HttpCall call, std::function<void(HttpOutcome)> done);
    void sendRequest(Connection& connection, const HttpRequest& request);
    void rejectCall(std::function<void(HttpOutcome)> done);
    void handleResponse(Connection& connection, evhttp_request* response);
    // Whether the answer says what became of the open call.
    static bool isResponseToOpenCall(const Connection& connection, const HttpResponse& answer);
    // Drops an answer that is not the open call's, and reads the next one.
    void discardResponse(Connection& connection, const HttpResponse& answer);
    // A call whose outcome is unknown has no answer of its own among what was read.
    static void checkOwnResponseNotDropped(const Connection& connection);
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
    std::vector<std::unique_ptr<Connection>> retired_;  // freed outside evhttp's callbacks
    EventHandle reap_event_;
    HttpClientCounters counters_;
    bool in_send_ = false;
};

}  // namespace amberswitch::cluster
