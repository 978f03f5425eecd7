// The client side of the TCP transport: all calls from this process to one address, on one connection.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "cluster/common/event_loop.hpp"
#include "cluster/common/frame_connection.hpp"
#include "cluster/common/transport.hpp"

namespace amberswitch::cluster {

// Connects on the first call and stays connected. While it connects, calls wait for
// kConnectTimeout at most.
class TcpPeer : private FrameListener {
public:
    TcpPeer(EventLoop& loop, NodeAddress address);
    virtual ~TcpPeer() = default;

    // As Transport::call. Throws std::length_error if the body exceeds kMaxBodyBytes.
    void call(Envelope request, Millis timeout, std::function<void(CallResult)> done);

private:
    struct PendingCall {
        Envelope request;  // empty once sent
        std::function<void(CallResult)> done;
        TimerHandle timer;
        std::optional<std::uint64_t> offset;  // of its frame in the output stream; none before it is sent
    };
    using PendingCalls = std::map<std::uint64_t, PendingCall>;

    void onConnected() override;
    void onFrame(Frame frame) override;
    void onReceived() override;
    void onClosed() override;

    void connect();
    void sendCall(std::uint64_t id, PendingCall& call);
    void handleTimeout(std::uint64_t id);
    bool isUnresponsive() const;
    // Closes the connection and ends all calls: as not_executed if no byte of the frame was passed to the
    // kernel, otherwise as unknown.
    void failAllCalls();

    EventLoop& loop_;
    NodeAddress address_;
    std::unique_ptr<FrameConnection> connection_;
    bool connected_ = false;
    TimerHandle connect_timer_;
    std::uint64_t last_call_id_ = 0;
    PendingCalls pending_calls_;
    // When this side began to wait for bytes from the peer; none while no call is open.
    std::optional<SteadyTime> waiting_since_;
};

}  // namespace amberswitch::cluster
