#include "cluster/common/tcp_peer.hpp"

#include <stdexcept>
#include <utility>

namespace amberswitch::cluster {

namespace {

constexpr Millis kConnectTimeout{300};
// If a peer has open calls and sends nothing for this long, the next call timeout closes the connection.
// Later calls connect again.
constexpr Millis kUnresponsiveTimeout{1000};

}  // namespace

TcpPeer::TcpPeer(EventLoop& loop, NodeAddress address) : loop_(loop), address_(std::move(address)) {}

void TcpPeer::call(Envelope request, Millis timeout, std::function<void(CallResult)> done) {
    if (request.body.size() > kMaxBodyBytes) throw std::length_error("request exceeds 64 MB");
    if (!connection_) connect();
    const std::uint64_t id = ++last_call_id_;
    PendingCall& call = pending_calls_[id];
    call.request = std::move(request);
    call.done = std::move(done);
    call.timer = loop_.after(timeout, [this, id] { handleTimeout(id); });
    if (connected_) sendCall(id, call);
}

void TcpPeer::connect() {
    FrameListener& listener = *this;
    connection_ = std::make_unique<FrameConnection>(loop_, listener, address_);
    connect_timer_ = loop_.after(kConnectTimeout, [this] { failAllCalls(); });
}

void TcpPeer::sendCall(std::uint64_t id, PendingCall& call) {
    call.offset = connection_->send(Frame{id, call.request.kind, false, std::move(call.request.body)});
    if (!waiting_since_) waiting_since_ = loop_.now();
}

void TcpPeer::onConnected() {
    connected_ = true;
    connect_timer_.reset();
    for (auto& [id, call] : pending_calls_) sendCall(id, call);
}

void TcpPeer::onFrame(Frame frame) {
    const auto found = pending_calls_.find(frame.id);
    if (!frame.is_reply || found == pending_calls_.end()) return;
    const std::function<void(CallResult)> done = std::move(found->second.done);
    pending_calls_.erase(found);
    done({CallStatus::answered, Envelope{frame.kind, std::move(frame.body)}});
}

void TcpPeer::onReceived() {
    if (pending_calls_.empty()) {
        waiting_since_.reset();
    } else {
        waiting_since_ = loop_.now();
    }
}

void TcpPeer::onClosed() {
    failAllCalls();
}

void TcpPeer::handleTimeout(std::uint64_t id) {
    if (connected_ && isUnresponsive()) return failAllCalls();
    const auto found = pending_calls_.find(id);
    const CallStatus verdict = found->second.offset ? CallStatus::unknown : CallStatus::not_executed;
    const std::function<void(CallResult)> done = std::move(found->second.done);
    pending_calls_.erase(found);
    done({verdict, {}});
}

bool TcpPeer::isUnresponsive() const {
    return waiting_since_ && loop_.now() - *waiting_since_ > kUnresponsiveTimeout;
}

void TcpPeer::failAllCalls() {
    const std::uint64_t written = connection_->bytesWritten();
    connection_.reset();
    connected_ = false;
    connect_timer_.reset();
    waiting_since_.reset();
    const PendingCalls failed = std::exchange(pending_calls_, {});
    for (const auto& [id, call] : failed) {
        const bool is_unsent = !call.offset || *call.offset >= written;
        call.done({is_unsent ? CallStatus::not_executed : CallStatus::unknown, {}});
    }
}

}  // namespace amberswitch::cluster
