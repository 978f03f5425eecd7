#include "cluster/common/tcp_transport.hpp"

#include <utility>

#include "cluster/common/tcp_socket.hpp"

namespace amberswitch::cluster {

// The server side of one connection. Responders hold weak references, so a reply after it is closed is
// dropped.
class TcpTransport::IncomingConnection : public FrameListener,
                                         public std::enable_shared_from_this<IncomingConnection> {
public:
    IncomingConnection(TcpTransport& transport, Socket socket)
        : transport_(transport), connection_(transport.loop_, *this, std::move(socket)) {}

    void onFrame(Frame frame) override {
        if (frame.is_reply || !transport_.handler_) return;
        auto respond = [weak = weak_from_this(), id = frame.id](Envelope reply) {
            if (const auto self = weak.lock()) self->sendReply(id, std::move(reply));
        };
        transport_.handler_(Envelope{frame.kind, std::move(frame.body)}, std::move(respond));
    }

    void onClosed() override { transport_.incoming_connections_.erase(this); }

private:
    void sendReply(std::uint64_t id, Envelope reply) {
        connection_.send(Frame{id, reply.kind, true, std::move(reply.body)});
    }

    TcpTransport& transport_;
    FrameConnection connection_;
};

TcpTransport::TcpTransport(EventLoop& loop, const NodeAddress& address) : loop_(loop) {
    Socket socket = listenOn(address);
    address_ = localAddress(socket.descriptor());
    constexpr unsigned int kOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    listener_.reset(
        evconnlistener_new(loop.base(), &TcpTransport::onAccept, this, kOptions, 0, socket.descriptor()));
    if (listener_) socket.release();
    if (!listener_) throw SocketError(address, "no memory to listen");
}

TcpTransport::~TcpTransport() = default;

void TcpTransport::serve(RequestHandler handler) {
    handler_ = std::move(handler);
}

void TcpTransport::call(const NodeAddress& to, Envelope request, Millis timeout,
                        std::function<void(CallResult)> done) {
    std::unique_ptr<TcpPeer>& peer = peers_[to];
    if (!peer) peer = std::make_unique<TcpPeer>(loop_, to);
    peer->call(std::move(request), timeout, std::move(done));
}

void TcpTransport::onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
    auto* transport = static_cast<TcpTransport*>(self);
    transport->loop_.guard([transport, socket] { transport->accept(socket); });
}

void TcpTransport::accept(evutil_socket_t socket) {
    const auto incoming = std::make_shared<IncomingConnection>(*this, Socket(socket));
    incoming_connections_.emplace(incoming.get(), incoming);
}

}  // namespace amberswitch::cluster
