#include "cluster/common/tcp_peer.hpp"

#include <stdexcept>
#include <utility>

namespace amberswitch::cluster {

namespace {

constexpr Millis kConnectTimeout{300};
// A peer that owes an answer and sent nothing for so long gets a new connection after the next timeout.
constexpr Millis kSilenceLimit{1000};

}  // namespace

TcpPeer::TcpPeer(EventLoop& loop, NodeAddress address) : loop_(loop), address_(std::move(address)) {}

void TcpPeer::call(Envelope request, Millis timeout, std::function<void(CallResult)> done) {
    if (request.body.size() > kMaxBodyBytes) throw std::length_error("request of over 64 MB");
    if (!connection_) connect();
    const std::uint64_t id = ++last_id_;
    Call& call = calls_[id];
    call.request = std::move(request);
    call.done = std::move(done);
    call.timer = loop_.after(timeout, [this, id] { timedOut(id); });
    if (connected_) send(id, call);
}

void TcpPeer::connect() {
    FrameListener& listener = *this;
    connection_ = std::make_unique<FrameConnection>(loop_, listener, address_);
    connect_timer_ = loop_.after(kConnectTimeout, [this] { failAll(); });
}

void TcpPeer::send(std::uint64_t id, Call& call) {
    call.offset = connection_->send(Frame{id, call.request.kind, false, std::move(call.request.body)});
    if (!silent_since_) silent_since_ = loop_.now();
}

void TcpPeer::onConnected() {
    connected_ = true;
    connect_timer_.reset();
    for (auto& [id, call] : calls_) send(id, call);
}

void TcpPeer::onFrame(Frame frame) {
    const auto found = calls_.find(frame.id);
    if (!frame.reply || found == calls_.end()) return;
    const std::function<void(CallResult)> done = std::move(found->second.done);
    calls_.erase(found);
    done({CallStatus::answered, Envelope{frame.kind, std::move(frame.body)}});
}

void TcpPeer::onReceived() {
    if (calls_.empty()) {
        silent_since_.reset();
    } else {
        silent_since_ = loop_.now();
    }
}

void TcpPeer::onClosed() {
    failAll();
}

void TcpPeer::timedOut(std::uint64_t id) {
    if (connected_ && silentTooLong()) return failAll();
    const auto found = calls_.find(id);
    const CallStatus verdict = found->second.offset ? CallStatus::unknown : CallStatus::not_executed;
    const std::function<void(CallResult)> done = std::move(found->second.done);
    calls_.erase(found);
    done({verdict, {}});
}

bool TcpPeer::silentTooLong() const {
    return silent_since_ && loop_.now() - *silent_since_ > kSilenceLimit;
}

void TcpPeer::failAll() {
    const std::uint64_t written = connection_->bytesWritten();
    connection_.reset();
    connected_ = false;
    connect_timer_.reset();
    silent_since_.reset();
    const Calls failed = std::exchange(calls_, {});
    for (const auto& [id, call] : failed) {
        const bool never_left = !call.offset || *call.offset >= written;
        call.done({never_left ? CallStatus::not_executed : CallStatus::unknown, {}});
    }
}

}  // namespace amberswitch::cluster
