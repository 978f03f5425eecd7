// Helpers for tests on loopback sockets: run an event loop until a condition holds, and raw TCP peers on that
// loop.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/common/event_loop.hpp"
#include "cluster/common/tcp_socket.hpp"
#include "cluster/common/tcp_transport.hpp"

namespace amberswitch::cluster::testing {

struct BufferEventDeleter {
    void operator()(bufferevent* handle) const { bufferevent_free(handle); }
};
using BufferEventHandle = std::unique_ptr<bufferevent, BufferEventDeleter>;

inline constexpr Millis kTestLimit{10'000};

// Runs the loop until the condition holds. Returns false if it does not hold within the limit.
inline bool runUntil(EventLoop& loop, const std::function<bool()>& holds, Millis limit = kTestLimit) {
    bool over = false;
    const TimerHandle deadline = loop.after(limit, [&over] { over = true; });
    while (!over && !holds()) loop.runOnce();
    return holds();
}

// A loopback address on which nothing listens.
inline NodeAddress closedAddress() {
    const Socket socket = listenOn({"127.0.0.1", 0});
    return localAddress(socket.descriptor());
}

// One end of a TCP connection that sends and receives raw bytes.
class RawConnection {
public:
    RawConnection(EventLoop& loop, evutil_socket_t socket)
        : stream_(bufferevent_socket_new(loop.base(), socket, 0)) {
        bufferevent_setcb(stream_.get(), &RawConnection::onRead, nullptr, &RawConnection::onEvent, this);
        bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    }
    RawConnection(EventLoop& loop, const NodeAddress& to) : RawConnection(loop, -1) {
        const sockaddr_in target = toSocketAddress(to);
        bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    }

    ~RawConnection() { close(); }

    void send(const std::string& bytes) { bufferevent_write(stream_.get(), bytes.data(), bytes.size()); }
    // Closes at once, without a loop iteration. reset() closes with a TCP reset.
    void close() {
        if (!stream_) return;
        const evutil_socket_t socket = bufferevent_getfd(stream_.get());
        stream_.reset();
        if (socket >= 0) evutil_closesocket(socket);
    }
    void reset() {
        const linger at_once{1, 0};
        setsockopt(bufferevent_getfd(stream_.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        close();
    }
    bool sentAll() const { return evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0; }
    // Half-closes the connection: sends the end of the stream and continues to read.
    void shutdownSending() { ::shutdown(bufferevent_getfd(stream_.get()), SHUT_WR); }
    // Stops reading from the socket.
    void stopReading() { bufferevent_disable(stream_.get(), EV_READ); }

    std::string received;
    bool closed = false;  // by the peer, or broken
    // The number of occurrences of a text in the received bytes.
    std::size_t count(const std::string& text) const {
        std::size_t times = 0;
        for (auto at = received.find(text); at != std::string::npos; at = received.find(text, at + 1))
            ++times;
        return times;
    }

private:
    static void onRead(bufferevent* stream, void* self) {
        evbuffer* input = bufferevent_get_input(stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        static_cast<RawConnection*>(self)->received += bytes;
    }
    static void onEvent(bufferevent*, short what, void* self) {
        if ((what & BEV_EVENT_CONNECTED) == 0) static_cast<RawConnection*>(self)->closed = true;
    }

    BufferEventHandle stream_;
};

// Accepts connections on loopback and keeps them.
class RawServer {
public:
    explicit RawServer(EventLoop& loop, const NodeAddress& at = {"127.0.0.1", 0}) : loop_(loop) {
        const evutil_socket_t socket = listenOn(at).release();
        address = localAddress(socket);
        listener_.reset(
            evconnlistener_new(loop.base(), &RawServer::onAccept, this, LEV_OPT_CLOSE_ON_FREE, 0, socket));
    }

    NodeAddress address;
    std::vector<std::unique_ptr<RawConnection>> connections;

private:
    static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        auto* server = static_cast<RawServer*>(self);
        server->connections.push_back(std::make_unique<RawConnection>(server->loop_, socket));
    }

    EventLoop& loop_;
    ListenerHandle listener_;
};

}  // namespace amberswitch::cluster::testing
