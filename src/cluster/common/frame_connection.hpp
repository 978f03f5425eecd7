// One TCP connection between two processes of the cluster, as a stream of frames.
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

// Hears from a connection. Any member may destroy the connection.
class FrameListener {
public:
    virtual void onConnected() {}
    virtual void onFrame(Frame frame) = 0;
    // All that was received up to now has been handed over.
    virtual void onReceived() {}
    // Broken, refused, closed by the peer, or the peer sent what is not a frame. The connection must be
    // destroyed.
    virtual void onClosed() = 0;

protected:
    ~FrameListener() = default;
};

struct BufferDeleter {
    void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};

// Destroying it closes the socket. Frames that are sent in one turn of the loop leave together at its end. It
// reads and writes by itself rather than by a bufferevent, which takes twice the system calls and 4 KB at a
// time.
class FrameConnection {
public:
    // Takes over a connected socket.
    FrameConnection(EventLoop& loop, FrameListener& listener, Socket socket);
    // Connects; tells onConnected or onClosed later, never from here. Throws SocketError where the address is
    // no IPv4 address.
    FrameConnection(EventLoop& loop, FrameListener& listener, const NodeAddress& to);
    ~FrameConnection();
    FrameConnection(const FrameConnection&) = delete;
    FrameConnection& operator=(const FrameConnection&) = delete;

    // Queues a frame and returns its offset in the stream. Throws std::length_error if the body is over the
    // limit.
    std::uint64_t send(const Frame& frame);
    // Bytes of the stream that were handed to the kernel: a frame at an offset from there on surely never
    // left.
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
    std::string input_;               // received and not yet handed over
    std::size_t consumed_bytes_ = 0;  // of input_
    EventHandle read_event_;
    EventHandle write_event_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace amberswitch::cluster
