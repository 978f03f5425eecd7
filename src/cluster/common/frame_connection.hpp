// One TCP connection between two processes of the cluster, as a stream of frames. A frame is, in network byte
// order, a length of 4 bytes (of all that follows), a request id of 8, a kind of 2, flags of 1, and the body.
#pragma once

#include <event2/bufferevent.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "cluster/common/event_loop.hpp"
#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

inline constexpr std::size_t kMaxFrameBytes = 64 * 1024 * 1024;  // by the length that it states
inline constexpr std::size_t kFrameHeadBytes = 8 + 2 + 1;        // id, kind, flags
inline constexpr std::size_t kMaxBodyBytes = kMaxFrameBytes - kFrameHeadBytes;

struct Frame {
    std::uint64_t id = 0;  // of the request; its answer carries the same
    std::uint16_t kind = 0;
    bool reply = false;
    std::string body;
};

// Hears from a connection. Any member may destroy the connection.
class FrameListener {
public:
    virtual void onConnected() {}
    virtual void onFrame(Frame frame) = 0;
    // All that could be read at this time has been handed over.
    virtual void onRead() {}
    // Broken, refused, closed by the peer, or the peer sent what is not a frame. Called once at most.
    virtual void onClosed() = 0;

protected:
    ~FrameListener() = default;
};

struct BufferEventDeleter {
    void operator()(bufferevent* handle) const { bufferevent_free(handle); }
};
using BufferEventHandle = std::unique_ptr<bufferevent, BufferEventDeleter>;

// Destroying it closes the socket. Frames that are sent in one turn of the loop leave together.
class FrameConnection {
public:
    // Takes over a connected socket.
    FrameConnection(EventLoop& loop, FrameListener& listener, evutil_socket_t socket);
    // Connects; tells onConnected or onClosed later, never from here.
    FrameConnection(EventLoop& loop, FrameListener& listener, const NodeAddress& to);
    ~FrameConnection();
    FrameConnection(const FrameConnection&) = delete;
    FrameConnection& operator=(const FrameConnection&) = delete;

    // Queues a frame and returns its offset in the stream. Throws std::length_error if it is over the limit.
    std::uint64_t send(const Frame& frame);
    // Bytes of the stream that were handed to the kernel: a frame at an offset from there on surely never
    // left.
    std::uint64_t bytesWritten() const;

private:
    static void onReadable(bufferevent*, void* self);
    static void onEvent(bufferevent*, short what, void* self);

    void start();
    void setOptions();
    void readFrames();
    std::optional<Frame> takeFrame();
    void handleEvent(short what);

    EventLoop& loop_;
    FrameListener& listener_;
    BufferEventHandle stream_;
    std::uint64_t bytes_queued_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace amberswitch::cluster
