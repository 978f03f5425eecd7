// The production transport between the cluster's processes: frames on TCP, with one outgoing connection to
// each address.
#pragma once

#include <event2/listener.h>

#include <map>
#include <memory>
#include <unordered_map>

#include "cluster/common/event_loop.hpp"
#include "cluster/common/tcp_peer.hpp"
#include "cluster/common/transport.hpp"

namespace amberswitch::cluster {

struct ListenerDeleter {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
};
using ListenerHandle = std::unique_ptr<evconnlistener, ListenerDeleter>;

// The callbacks of calls that are open when the transport is destroyed never run; replies sent after that are
// dropped.
class TcpTransport : public Transport {
public:
    // Starts listening; port 0 selects any free port. Throws SocketError.
    TcpTransport(EventLoop& loop, const NodeAddress& address);
    ~TcpTransport() override;

    // Throws SocketError if the address is not an IPv4 address.
    void call(const NodeAddress& to, Envelope request, Millis timeout,
              std::function<void(CallResult)> done) override;
    void serve(RequestHandler handler) override;

    // The address that it listens on.
    const NodeAddress& address() const { return address_; }

private:
    class IncomingConnection;

    static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
    void accept(evutil_socket_t socket);

    EventLoop& loop_;
    NodeAddress address_;
    RequestHandler handler_;
    ListenerHandle listener_;
    std::map<NodeAddress, std::unique_ptr<TcpPeer>> peers_;
    std::unordered_map<const IncomingConnection*, std::shared_ptr<IncomingConnection>> incoming_connections_;
};

}  // namespace amberswitch::cluster
