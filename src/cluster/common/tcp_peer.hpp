// The calling side of the TCP transport: all calls from this process to one address, on one connection.
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

// Connects when a call needs it and stays connected. Calls wait while it connects, 1 s at most.
class TcpPeer : private FrameListener {
public:
    TcpPeer(EventLoop& loop, NodeAddress address);
    virtual ~TcpPeer() = default;

    // As Transport::call. Throws std::length_error where the body is over kMaxBodyBytes.
    void call(Envelope request, Millis timeout, std::function<void(CallResult)> done);

private:
    struct PendingCall {
        Envelope request;  // empty once it was sent
        std::function<void(CallResult)> done;
        TimerHandle timer;
        std::optional<std::uint64_t> offset;  // of its frame in the stream; none before it was sent
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
    // Ends all calls: those whose frame surely never left as not_executed, the others as unknown.
    void failAllCalls();

    EventLoop& loop_;
    NodeAddress address_;
    std::unique_ptr<FrameConnection> connection_;
    bool connected_ = false;
    TimerHandle connect_timer_;
    std::uint64_t last_call_id_ = 0;
    PendingCalls pending_calls_;
    // Since when this side has waited for bytes from the peer; none while nothing is owed.
    std::optional<SteadyTime> waiting_since_;
};

}  // namespace amberswitch::cluster
