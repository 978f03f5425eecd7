// Helpers for TCP sockets: creation, listening, options and addresses. IPv4 only.
#pragma once

#include <event2/util.h>
#include <netinet/in.h>

#include <stdexcept>
#include <utility>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// Thrown for an address that cannot be used; what() gives the address and the reason.
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
    // Gives up ownership without closing.
    evutil_socket_t release() { return std::exchange(descriptor_, -1); }

private:
    evutil_socket_t descriptor_;
};

// Throws SocketError if the IP is not an IPv4 address in dotted notation.
sockaddr_in toSocketAddress(const NodeAddress& address);

// The local address of a bound or connected socket.
NodeAddress localAddress(evutil_socket_t socket);

// Creates a non-blocking stream socket. Throws SocketError, which names `address`.
Socket openSocket(const NodeAddress& address);

// Starts a non-blocking connect; the socket becomes writable when it ends. Returns false if it failed at
// once.
bool startConnecting(const Socket& socket, const NodeAddress& to);

// Returns and clears the pending error of a socket (SO_ERROR); 0 if there is none.
int pendingSocketError(const Socket& socket);

// Creates a non-blocking socket that listens on the address. If the address is in use, it blocks the caller
// and retries for up to 3 s. Throws SocketError.
Socket listenOn(const NodeAddress& address);

// Disables Nagle's algorithm, so that small writes are sent at once.
void setNoDelay(evutil_socket_t socket);

// Makes the kernel drop the connection if sent data is not acknowledged within 1.5 s.
void setUserTimeout(evutil_socket_t socket);

}  // namespace amberswitch::cluster
