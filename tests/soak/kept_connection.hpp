// A client that sends one message after the other on one connection until the dispatcher's process closes it,
// and then goes to another dispatcher.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/cluster/loopback_peers.hpp"

namespace amberswitch::cluster::testing {

// A message that was sent whole, and whose connection ended without an answer.
struct CutMessage {
    std::string id;
    SteadyTime sent;
    SteadyTime closed;
};

class KeptConnection {
public:
    using Edge = std::function<NodeAddress()>;

    KeptConnection(EventLoop& loop, std::string name, Edge edge)
        : loop_(loop), name_(std::move(name)), edge_(std::move(edge)) {}

    void step() {
        const SteadyTime now = loop_.now();
        if (!connection_) {
            if (now >= next_) connect();
            return;
        }
        if (waiting_ && takeAnswer()) {
            waiting_ = false;
            next_ = now + kBetweenMessages;
        }
        if (connection_->closed) return drop(now);
        if (waiting_ && now - sent_ > kPatience) return connection_.reset();
        if (!waiting_ && now >= next_) send(now);
    }

    std::vector<CutMessage> cut;
    std::size_t answered = 0;

private:
    static constexpr Millis kBetweenMessages{25};
    static constexpr Millis kReconnectPause{100};
    static constexpr Millis kPatience{3000};

    void connect() {
        connection_ = std::make_unique<RawConnection>(loop_, edge_());
        waiting_ = false;
    }
    void send(SteadyTime now) {
        id_ = name_ + "-" + std::to_string(++count_);
        sent_ = now;
        waiting_ = true;
        connection_->received.clear();
        connection_->send("POST /plain/x HTTP/1.1\r\nHost: soak\r\nDeadline-Ms: 1000\r\nRequest-Id: " + id_ +
                          "\r\nContent-Length: 4\r\n\r\nkept");
    }
    bool takeAnswer() {
        const std::string& received = connection_->received;
        const std::size_t end = received.find("\r\n\r\n");
        if (end == std::string::npos) return false;
        const std::string wanted = "\r\nContent-Length: ";
        const std::size_t length = received.find(wanted);
        const std::size_t body = length > end ? 0 : std::stoul(received.substr(length + wanted.size()));
        if (received.size() < end + 4 + body) return false;
        ++answered;
        return true;
    }
    void drop(SteadyTime now) {
        if (waiting_) cut.push_back({id_, sent_, now});
        connection_.reset();
        next_ = now + kReconnectPause;
    }

    EventLoop& loop_;
    std::string name_;
    Edge edge_;
    std::unique_ptr<RawConnection> connection_;
    bool waiting_ = false;
    std::string id_;
    SteadyTime sent_{};
    SteadyTime next_{};
    std::uint64_t count_ = 0;
};

}  // namespace amberswitch::cluster::testing
