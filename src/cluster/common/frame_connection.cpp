#include "cluster/common/frame_connection.hpp"

#include <event2/buffer.h>
#include <glog/logging.h>

#include <array>
#include <stdexcept>
#include <utility>

#include "cluster/common/tcp_socket.hpp"

namespace amberswitch::cluster {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kKindBytes = 2;
constexpr std::size_t kFlagsBytes = 1;
constexpr std::size_t kPrefixBytes = kLengthBytes + kFrameHeadBytes;
static_assert(kFrameHeadBytes == kIdBytes + kKindBytes + kFlagsBytes);
constexpr std::uint8_t kReplyFlag = 1;
constexpr std::size_t kMaxSingleRead = 256 * 1024;

using FramePrefix = std::array<unsigned char, kPrefixBytes>;

class BadFrame : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

void putNumber(unsigned char* to, std::uint64_t value, std::size_t bytes) {
    for (std::size_t index = bytes; index-- > 0; value >>= 8) to[index] = static_cast<unsigned char>(value);
}

std::uint64_t getNumber(const unsigned char* from, std::size_t bytes) {
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < bytes; ++index) value = (value << 8) | from[index];
    return value;
}

FramePrefix encodePrefix(const Frame& frame) {
    FramePrefix prefix;
    unsigned char* at = prefix.data();
    putNumber(at, kFrameHeadBytes + frame.body.size(), kLengthBytes);
    putNumber(at += kLengthBytes, frame.id, kIdBytes);
    putNumber(at += kIdBytes, frame.kind, kKindBytes);
    putNumber(at += kKindBytes, frame.reply ? kReplyFlag : 0, kFlagsBytes);
    return prefix;
}

Frame decodePrefix(const FramePrefix& prefix) {
    Frame frame;
    const unsigned char* at = prefix.data() + kLengthBytes;
    frame.id = getNumber(at, kIdBytes);
    frame.kind = static_cast<std::uint16_t>(getNumber(at += kIdBytes, kKindBytes));
    const std::uint64_t flags = getNumber(at += kKindBytes, kFlagsBytes);
    if (flags > kReplyFlag) throw BadFrame("unknown flags " + std::to_string(flags));
    frame.reply = flags == kReplyFlag;
    return frame;
}

}  // namespace

FrameConnection::FrameConnection(EventLoop& loop, FrameListener& listener, evutil_socket_t socket)
    : loop_(loop),
      listener_(listener),
      stream_(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)) {
    start();
    setOptions();
}

FrameConnection::FrameConnection(EventLoop& loop, FrameListener& listener, const NodeAddress& to)
    : loop_(loop),
      listener_(listener),
      stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    const sockaddr_in target = toSocketAddress(to);
    start();
    if (bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&target),
                                   sizeof(target)) == 0) {
        return;
    }
    loop_.post([this, alive = alive_] {
        if (*alive) listener_.onClosed();
    });
}

FrameConnection::~FrameConnection() {
    *alive_ = false;
}

void FrameConnection::start() {
    if (!stream_) throw std::runtime_error("connection: no memory for its buffers");
    bufferevent_setcb(stream_.get(), &FrameConnection::onReadable, nullptr, &FrameConnection::onEvent, this);
    bufferevent_set_max_single_read(stream_.get(), kMaxSingleRead);
    bufferevent_set_max_single_write(stream_.get(), kMaxSingleRead);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

void FrameConnection::setOptions() {
    setNoDelay(bufferevent_getfd(stream_.get()));
    setUserTimeout(bufferevent_getfd(stream_.get()));
}

std::uint64_t FrameConnection::send(const Frame& frame) {
    if (frame.body.size() > kMaxBodyBytes) {
        throw std::length_error("message of kind " + std::to_string(frame.kind) + " is over 64 MB");
    }
    const FramePrefix prefix = encodePrefix(frame);
    evbuffer* output = bufferevent_get_output(stream_.get());
    evbuffer_expand(output, prefix.size() + frame.body.size());
    evbuffer_add(output, prefix.data(), prefix.size());
    evbuffer_add(output, frame.body.data(), frame.body.size());
    return std::exchange(bytes_queued_, bytes_queued_ + prefix.size() + frame.body.size());
}

std::uint64_t FrameConnection::bytesWritten() const {
    return bytes_queued_ - evbuffer_get_length(bufferevent_get_output(stream_.get()));
}

void FrameConnection::onReadable(bufferevent*, void* self) {
    auto* connection = static_cast<FrameConnection*>(self);
    connection->loop_.guard([connection] { connection->readFrames(); });
}

void FrameConnection::onEvent(bufferevent*, short what, void* self) {
    auto* connection = static_cast<FrameConnection*>(self);
    connection->loop_.guard([connection, what] { connection->handleEvent(what); });
}

void FrameConnection::readFrames() {
    const std::shared_ptr<bool> alive = alive_;
    try {
        while (std::optional<Frame> frame = takeFrame()) {
            listener_.onFrame(std::move(*frame));
            if (!*alive) return;
        }
    } catch (const BadFrame& error) {
        LOG(WARNING) << "connection closed: bad frame: " << error.what();
        return listener_.onClosed();
    }
    listener_.onRead();
}

std::optional<Frame> FrameConnection::takeFrame() {
    evbuffer* input = bufferevent_get_input(stream_.get());
    FramePrefix prefix;
    if (evbuffer_get_length(input) < prefix.size()) return std::nullopt;
    evbuffer_copyout(input, prefix.data(), prefix.size());
    const std::uint64_t length = getNumber(prefix.data(), kLengthBytes);
    if (length < kFrameHeadBytes || length > kMaxFrameBytes)
        throw BadFrame("length " + std::to_string(length));
    Frame frame = decodePrefix(prefix);
    if (evbuffer_get_length(input) < kLengthBytes + length) return std::nullopt;
    frame.body.resize(length - kFrameHeadBytes);
    evbuffer_drain(input, prefix.size());
    evbuffer_remove(input, frame.body.data(), frame.body.size());
    return frame;
}

void FrameConnection::handleEvent(short what) {
    if ((what & BEV_EVENT_CONNECTED) == 0) return listener_.onClosed();
    setOptions();
    listener_.onConnected();
}

}  // namespace amberswitch::cluster
