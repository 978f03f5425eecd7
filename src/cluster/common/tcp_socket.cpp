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
constexpr Millis kBindRetryTimeout{3000};
constexpr Millis kBindRetryInterval{50};
constexpr unsigned int kUserTimeoutMillis = 1500;

// Returns false if the address is in use. Throws SocketError on any other error.
bool tryListen(const Socket& socket, const NodeAddress& address, const sockaddr_in& target) {
    const auto* name = reinterpret_cast<const sockaddr*>(&target);
    const bool is_bound = bind(socket.descriptor(), name, sizeof(target)) == 0;
    if (is_bound && listen(socket.descriptor(), kListenBacklog) == 0) return true;
    if (errno == EADDRINUSE) return false;
    throw SocketError(address, std::strerror(errno));
}

}  // namespace

Socket::~Socket() {
    if (descriptor_ >= 0) close(descriptor_);
}

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

Socket openSocket(const NodeAddress& address) {
    const evutil_socket_t descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) throw SocketError(address, std::strerror(errno));
    return Socket(descriptor);
}

bool startConnecting(const Socket& socket, const NodeAddress& to) {
    const sockaddr_in target = toSocketAddress(to);
    const auto* name = reinterpret_cast<const sockaddr*>(&target);
    return connect(socket.descriptor(), name, sizeof(target)) == 0 || errno == EINPROGRESS;
}

int pendingSocketError(const Socket& socket) {
    int error = 0;
    socklen_t size = sizeof(error);
    if (getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
    return error;
}

Socket listenOn(const NodeAddress& address) {
    const sockaddr_in target = toSocketAddress(address);
    const auto end = std::chrono::steady_clock::now() + kBindRetryTimeout;
    Socket socket = openSocket(address);
    const int on = 1;
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    while (!tryListen(socket, address, target)) {
        if (std::chrono::steady_clock::now() >= end) throw SocketError(address, std::strerror(EADDRINUSE));
        std::this_thread::sleep_for(kBindRetryInterval);
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
