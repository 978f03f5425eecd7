// Sockets of the cluster: listening, options and addresses. IPv4 only.
#pragma once

#include <event2/util.h>
#include <netinet/in.h>

#include <stdexcept>
#include <utility>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// An address that cannot be used; what() names it and the reason.
class SocketError : public std::runtime_error {
public:
    SocketError(const NodeAddress& address, const std::string& reason)
        : std::runtime_error(address.text() + ": " + reason) {}
};

// Owns a socket and closes it.
class Socket {
public:
    explicit Socket(evutil_socket_t descriptor) : descriptor_(descriptor) {}
    Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    Socket& operator=(Socket&&) = delete;
    ~Socket();

    evutil_socket_t descriptor() const { return descriptor_; }
    // Gives up the ownership.
    evutil_socket_t release() { return std::exchange(descriptor_, -1); }

private:
    evutil_socket_t descriptor_;
};

// Throws SocketError where the IP is not a dotted IPv4 address.
sockaddr_in toSocketAddress(const NodeAddress& address);

// The local address of a bound or connected socket.
NodeAddress localAddress(evutil_socket_t socket);

// A non-blocking stream socket, for this address. Throws SocketError.
Socket openSocket(const NodeAddress& address);

// Begins to connect; the socket becomes writable at the end. False where that failed at once.
bool startConnecting(const Socket& socket, const NodeAddress& to);

// The pending error of a socket, 0 for none.
int pendingSocketError(const Socket& socket);

// A non-blocking socket that listens there. While the address is in use it tries again for 3 s, which blocks
// the caller. Throws SocketError.
Socket listenOn(const NodeAddress& address);

// Sends small writes at once.
void setNoDelay(evutil_socket_t socket);

// Breaks the connection when what was sent is not acknowledged for 1.5 s.
void setUserTimeout(evutil_socket_t socket);

}  // namespace amberswitch::cluster
