#include "cluster/common/frame_connection.hpp"

#include <glog/logging.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace amberswitch::cluster {

namespace {

// Read at once; also the largest input buffer that an idle connection keeps.
constexpr std::size_t kReceiveBufferBytes = 64 * 1024;

bool isRetriable(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

FrameConnection::FrameConnection(EventLoop& loop, FrameListener& listener, Socket socket)
    : loop_(loop), listener_(listener), socket_(std::move(socket)), output_(evbuffer_new()) {
    createEvents();
    start();
}

FrameConnection::FrameConnection(EventLoop& loop, FrameListener& listener, const NodeAddress& to)
    : loop_(loop), listener_(listener), socket_(openSocket(to)), output_(evbuffer_new()) {
    createEvents();
    if (startConnecting(socket_, to)) {
        event_add(write_event_.get(), nullptr);
        return;
    }
    loop_.post([this, alive = alive_] {
        if (*alive) listener_.onClosed();
    });
}

FrameConnection::~FrameConnection() {
    *alive_ = false;
}

void FrameConnection::createEvents() {
    read_event_.reset(event_new(loop_.base(), socket_.descriptor(), EV_READ | EV_PERSIST,
                                &FrameConnection::onReadable, this));
    write_event_.reset(
        event_new(loop_.base(), socket_.descriptor(), EV_WRITE, &FrameConnection::onWritable, this));
    if (!output_ || !read_event_ || !write_event_)
        throw std::runtime_error("frame connection: out of memory");
}

void FrameConnection::start() {
    connected_ = true;
    setNoDelay(socket_.descriptor());
    setUserTimeout(socket_.descriptor());
    event_add(read_event_.get(), nullptr);
}

std::uint64_t FrameConnection::send(const Frame& frame) {
    if (frame.body.size() > kMaxBodyBytes) {
        throw std::length_error("message of kind " + std::to_string(frame.kind) + " exceeds 64 MB");
    }
    const FramePrefix prefix = encodePrefix(frame);
    evbuffer_expand(output_.get(), prefix.size() + frame.body.size());
    evbuffer_add(output_.get(), prefix.data(), prefix.size());
    evbuffer_add(output_.get(), frame.body.data(), frame.body.size());
    // Writes after the other callbacks of this loop iteration, without a system call to poll the socket.
    if (connected_) event_active(write_event_.get(), EV_WRITE, 0);
    return std::exchange(bytes_queued_, bytes_queued_ + prefix.size() + frame.body.size());
}

void FrameConnection::onReadable(evutil_socket_t, short, void* self) {
    auto* connection = static_cast<FrameConnection*>(self);
    connection->loop_.guard([connection] { connection->receive(); });
}

void FrameConnection::onWritable(evutil_socket_t, short, void* self) {
    auto* connection = static_cast<FrameConnection*>(self);
    connection->loop_.guard([connection] {
        if (connection->connected_) {
            connection->flush();
        } else {
            connection->finishConnecting();
        }
    });
}

void FrameConnection::finishConnecting() {
    if (pendingSocketError(socket_) != 0) return listener_.onClosed();
    start();
    listener_.onConnected();
}

void FrameConnection::flush() {
    if (evbuffer_get_length(output_.get()) == 0) return;
    const int written = evbuffer_write(output_.get(), socket_.descriptor());
    if (written < 0 && !isRetriable(errno)) return listener_.onClosed();
    if (evbuffer_get_length(output_.get()) > 0) event_add(write_event_.get(), nullptr);
}

void FrameConnection::receive() {
    static thread_local std::array<char, kReceiveBufferBytes> bytes;
    const ssize_t received = recv(socket_.descriptor(), bytes.data(), bytes.size(), 0);
    if (received < 0 && isRetriable(errno)) return;
    if (received <= 0) return listener_.onClosed();
    input_.append(bytes.data(), static_cast<std::size_t>(received));
    deliverFrames();
}

void FrameConnection::deliverFrames() {
    const std::shared_ptr<bool> alive = alive_;
    try {
        while (std::optional<Frame> frame = takeFrame()) {
            listener_.onFrame(std::move(*frame));
            if (!*alive) return;
        }
    } catch (const InvalidFrame& error) {
        LOG(WARNING) << "connection closed: invalid frame: " << error.what();
        return listener_.onClosed();
    }
    input_.erase(0, std::exchange(consumed_bytes_, 0));
    if (input_.empty() && input_.capacity() > kReceiveBufferBytes) input_.shrink_to_fit();
    listener_.onReceived();
}

std::optional<Frame> FrameConnection::takeFrame() {
    const std::string_view remaining = std::string_view(input_).substr(consumed_bytes_);
    if (remaining.size() < kFramePrefixBytes) return std::nullopt;
    const FrameHeader header = decodePrefix(remaining);
    if (remaining.size() - kFramePrefixBytes < header.body_bytes) return std::nullopt;
    consumed_bytes_ += kFramePrefixBytes + header.body_bytes;
    return Frame{header.id, header.kind, header.is_reply,
                 std::string(remaining.substr(kFramePrefixBytes, header.body_bytes))};
}

}  // namespace amberswitch::cluster
