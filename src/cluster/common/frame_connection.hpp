// A TCP connection between two processes of the cluster that carries a stream of frames.
#pragma once

#include <event2/buffer.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "cluster/common/event_loop.hpp"
#include "cluster/common/frame.hpp"
#include "cluster/common/tcp_socket.hpp"

namespace amberswitch::cluster {

// Callbacks of a connection. Each of them may destroy the connection.
class FrameListener {
public:
    virtual void onConnected() {}
    virtual void onFrame(Frame frame) = 0;
    // All complete frames received so far have been passed to onFrame().
    virtual void onReceived() {}
    // The connection broke, was refused or was closed by the peer, or the peer sent an invalid frame. The
    // listener must destroy the connection.
    virtual void onClosed() = 0;

protected:
    ~FrameListener() = default;
};

struct BufferDeleter {
    void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};

// Destroying it closes the socket. Frames sent within one loop iteration are written together at its end. The
// class reads and writes the socket itself, because a bufferevent needs twice the system calls and reads 4 KB
// at a time.
class FrameConnection {
public:
    // Takes ownership of a connected socket.
    FrameConnection(EventLoop& loop, FrameListener& listener, Socket socket);
    // Starts connecting; onConnected or onClosed follows, never inside the constructor. Throws SocketError if
    // the address is not an IPv4 address.
    FrameConnection(EventLoop& loop, FrameListener& listener, const NodeAddress& to);
    ~FrameConnection();
    FrameConnection(const FrameConnection&) = delete;
    FrameConnection& operator=(const FrameConnection&) = delete;

    // Queues a frame and returns its offset in the output stream. Throws std::length_error if the body
    // exceeds kMaxBodyBytes.
    std::uint64_t send(const Frame& frame);
    // The number of bytes of the stream passed to the kernel. A frame whose offset is not below it was
    // certainly not sent.
    std::uint64_t bytesWritten() const { return bytes_queued_ - evbuffer_get_length(output_.get()); }

private:
    static void onReadable(evutil_socket_t, short, void* self);
    static void onWritable(evutil_socket_t, short, void* self);

    void createEvents();
    void start();
    void finishConnecting();
    void receive();
    void deliverFrames();
    std::optional<Frame> takeFrame();
    void flush();

    EventLoop& loop_;
    FrameListener& listener_;
    Socket socket_;
    bool connected_ = false;
    std::unique_ptr<evbuffer, BufferDeleter> output_;
    std::uint64_t bytes_queued_ = 0;
    std::string input_;               // received and not yet delivered
    std::size_t consumed_bytes_ = 0;  // delivered bytes at the start of input_
    EventHandle read_event_;
    EventHandle write_event_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace amberswitch::cluster
