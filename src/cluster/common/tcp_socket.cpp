#include "cluster/common/tcp_socket.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <thread>

namespace amberswitch::cluster {

namespace {

constexpr int kListenBacklog = 1024;
constexpr Millis kBindRetryFor{3000};
constexpr Millis kBindRetryEvery{50};
constexpr unsigned int kUserTimeoutMillis = 1500;

evutil_socket_t openListener(const NodeAddress& address) {
    const evutil_socket_t socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) throw SocketError(address, std::strerror(errno));
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    return socket;
}

// True where it is bound, false where the address is in use.
bool tryBind(evutil_socket_t socket, const NodeAddress& address, const sockaddr_in& target) {
    if (bind(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0 &&
        listen(socket, kListenBacklog) == 0) {
        return true;
    }
    const int error = errno;
    if (error == EADDRINUSE) return false;
    close(socket);
    throw SocketError(address, std::strerror(error));
}

}  // namespace

sockaddr_in toSocketAddress(const NodeAddress& address) {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr) != 1) {
        throw SocketError(address, "not an IPv4 address");
    }
    return target;
}

NodeAddress localAddress(evutil_socket_t socket) {
    sockaddr_in local{};
    socklen_t size = sizeof(local);
    getsockname(socket, reinterpret_cast<sockaddr*>(&local), &size);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &local.sin_addr, text, sizeof(text));
    return {text, ntohs(local.sin_port)};
}

evutil_socket_t listenOn(const NodeAddress& address) {
    const sockaddr_in target = toSocketAddress(address);
    const auto end = std::chrono::steady_clock::now() + kBindRetryFor;
    const evutil_socket_t socket = openListener(address);
    while (!tryBind(socket, address, target)) {
        if (std::chrono::steady_clock::now() >= end) {
            close(socket);
            throw SocketError(address, std::strerror(EADDRINUSE));
        }
        std::this_thread::sleep_for(kBindRetryEvery);
    }
    return socket;
}

void setNoDelay(evutil_socket_t socket) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void setUserTimeout(evutil_socket_t socket) {
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMillis, sizeof(kUserTimeoutMillis));
}

}  // namespace amberswitch::cluster
