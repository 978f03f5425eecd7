// An application server on a raw socket that answers late, twice, not at all or with failures, and notes each
// run.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "cluster/common/http.hpp"
#include "tests/cluster/loopback_peers.hpp"

namespace amberswitch::cluster::testing {

struct Run {
    SteadyTime begun;
    std::string service;  // of the server
    SteadyTime ended{};
    bool is_over = false;
    bool succeeded = false;
    bool failed = false;    // answered 500
    bool answered = false;  // its answer was written whole, on a connection that the caller had not closed
    std::string stamp;
};
using Runs = std::map<std::string, std::vector<Run>>;  // by message

// Shares of the requests.
struct ServerFaults {
    double second_answer_late = 0;  // again, right before the next answer on the connection
    double second_answer = 0;       // at once
    double answer_lost = 0;         // the connection is closed instead
    double silent = 0;
    double fails = 0;  // 500
    double full = 0;   // 503, not run
};

class FaultyServer {
public:
    FaultyServer(EventLoop& loop, const NodeAddress& at, std::string service, std::string uid, Runs& runs,
                 const ServerFaults& faults, std::uint64_t seed)
        : loop_(loop),
          service_(std::move(service)),
          uid_(std::move(uid)),
          runs_(runs),
          faults_(faults),
          random_(seed) {
        const evutil_socket_t socket = listenOn(at).release();
        listener_.reset(evconnlistener_new(loop.base(), &FaultyServer::onAccept, this, LEV_OPT_CLOSE_ON_FREE,
                                           -1, socket));
    }

private:
    struct Connection {
        FaultyServer& server;
        std::uint64_t number;
        BufferEventHandle stream;
        std::string received = {};
        std::string late = {};  // an answer that is sent again before the next one
    };
    struct Request {
        std::string id;
        std::string expected_instance;
    };

    static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        auto* server = static_cast<FaultyServer*>(self);
        const std::uint64_t number = ++server->last_connection_;
        auto connection = std::make_unique<Connection>(Connection{
            *server, number,
            BufferEventHandle(bufferevent_socket_new(server->loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE))});
        bufferevent* stream = connection->stream.get();
        bufferevent_setcb(stream, &FaultyServer::onRead, nullptr, &FaultyServer::onEnd, connection.get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        server->connections_[number] = std::move(connection);
    }
    static void onRead(bufferevent* stream, void* self) {
        auto* connection = static_cast<Connection*>(self);
        evbuffer* input = bufferevent_get_input(stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        connection->received += bytes;
        while (connection->server.takeRequest(*connection)) {
        }
    }
    static void onEnd(bufferevent*, short, void* self) {
        auto* connection = static_cast<Connection*>(self);
        connection->server.connections_.erase(connection->number);
    }

    static std::string field(const std::string& head, const std::string& name) {
        const std::string wanted = "\r\n" + name + ": ";
        const std::size_t found = head.find(wanted);
        if (found == std::string::npos) return "";
        const std::size_t begin = found + wanted.size();
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    bool takeRequest(Connection& connection) {
        const std::size_t end = connection.received.find("\r\n\r\n");
        if (end == std::string::npos) return false;
        const std::string head = connection.received.substr(0, end + 2);
        const std::string length = field(head, "Content-Length");
        const std::size_t whole = end + 4 + (length.empty() ? 0 : std::stoul(length));
        if (connection.received.size() < whole) return false;
        connection.received.erase(0, whole);
        begin(connection, {field(head, "Request-Id"), field(head, "Expect-Instance")});
        return true;
    }

    bool draw(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

    void begin(Connection& connection, const Request& request) {
        if (request.expected_instance != uid_) return refuse(connection, request, "421 Other");
        if (draw(faults_.full)) return refuse(connection, request, "503 Full");
        std::vector<Run>& runs = runs_[request.id];
        const std::size_t index = runs.size();
        Run& run = runs.emplace_back();
        run.begun = loop_.now();
        run.service = service_;
        const Millis work(std::uniform_int_distribution<int>(2, 40)(random_));
        const std::uint64_t timer = ++last_timer_;
        timers_[timer] = loop_.after(work, [this, timer, number = connection.number, request, index] {
            end(number, request, runs_[request.id][index]);
            loop_.post([this, timer] { timers_.erase(timer); });
        });
    }

    void refuse(Connection& connection, const Request& request, const std::string& status) {
        write(connection, "HTTP/1.1 " + status + "\r\nNot-Executed: 1\r\nRequest-Id: " + request.id +
                              "\r\nContent-Length: 0\r\n\r\n");
    }

    void end(std::uint64_t number, const Request& request, Run& run) {
        run.ended = loop_.now();
        run.is_over = true;
        run.failed = draw(faults_.fails);
        run.succeeded = !run.failed;
        if (run.succeeded) run.stamp = uid_ + "." + std::to_string(++last_stamp_);
        const auto found = connections_.find(number);
        if (found == connections_.end() || draw(faults_.silent)) return;
        Connection& connection = *found->second;
        if (draw(faults_.answer_lost)) {
            connections_.erase(number);
            return;
        }
        run.answered = true;
        const std::string status = run.failed ? "500 Failed" : "200 OK";
        const std::string stamp = run.failed ? "" : "Response-Stamp: " + run.stamp + "\r\n";
        const std::string answer = "HTTP/1.1 " + status + "\r\n" + stamp + "Request-Id: " + request.id +
                                   "\r\nContent-Length: 4\r\n\r\ndone";
        write(connection, std::exchange(connection.late, "") + answer);
        if (draw(faults_.second_answer_late)) connection.late = answer;
        if (draw(faults_.second_answer)) write(connection, answer);
    }

    static void write(Connection& connection, const std::string& bytes) {
        bufferevent_write(connection.stream.get(), bytes.data(), bytes.size());
    }

    EventLoop& loop_;
    std::string service_;
    std::string uid_;
    Runs& runs_;
    const ServerFaults& faults_;
    std::mt19937_64 random_;
    ListenerHandle listener_;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    std::map<std::uint64_t, TimerHandle> timers_;
    std::uint64_t last_connection_ = 0;
    std::uint64_t last_timer_ = 0;
    std::uint64_t last_stamp_ = 0;
};

}  // namespace amberswitch::cluster::testing
