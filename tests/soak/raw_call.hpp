// One HTTP request of a client on a connection of its own.
#pragma once

#include <memory>
#include <string>

#include "tests/cluster/loopback_peers.hpp"

namespace amberswitch::cluster::testing {

class RawCall {
public:
    RawCall(EventLoop& loop, const NodeAddress& to, const std::string& request)
        : connection_(std::make_unique<RawConnection>(loop, to)), begun_(loop.now()) {
        connection_->send(request);
    }

    // The answer is whole (it states its length), or the connection ended.
    bool isOver() const { return connection_->closed || isWhole(); }
    bool isWhole() const {
        const std::size_t end = connection_->received.find("\r\n\r\n");
        if (end == std::string::npos) return false;
        const std::string length = field("Content-Length");
        return connection_->received.size() >= end + 4 + (length.empty() ? 0 : std::stoul(length));
    }
    // 0 where no whole answer came.
    int status() const { return isWhole() ? std::stoi(connection_->received.substr(9, 3)) : 0; }
    std::string body() const {
        return connection_->received.substr(connection_->received.find("\r\n\r\n") + 4);
    }
    std::string field(const std::string& name) const {
        const std::string wanted = "\r\n" + name + ": ";
        const std::size_t found = connection_->received.find(wanted);
        if (found == std::string::npos) return "";
        const std::size_t begin = found + wanted.size();
        return connection_->received.substr(begin, connection_->received.find("\r\n", begin) - begin);
    }
    SteadyTime begun() const { return begun_; }

private:
    std::unique_ptr<RawConnection> connection_;
    SteadyTime begun_;
};

inline std::string httpRequest(const std::string& method, const std::string& target,
                               const std::string& headers, const std::string& body = "") {
    return method + " " + target + " HTTP/1.1\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

}  // namespace amberswitch::cluster::testing
