#include "cluster/control/server_relay.hpp"

#include <limits>
#include <utility>

#include "cluster/common/typed_call.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kMaxWait{1000};
constexpr Millis kCallTimeout{1400};
constexpr Millis kNoLeaderPause{100};
constexpr Millis kPollPause{5};  // limits the rate when the leader answers immediately

}  // namespace

ServerRelay::ServerRelay(Scheduler& scheduler, Transport& transport, std::string name, Hooks hooks)
    : scheduler_(scheduler), transport_(transport), name_(std::move(name)), hooks_(std::move(hooks)) {}

void ServerRelay::pollAfter(Millis pause) {
    timer_ = scheduler_.after(pause, [this] { poll(); });
}

void ServerRelay::poll() {
    const std::optional<NodeAddress> leader = hooks_.leader();
    if (!leader) return pollAfter(kNoLeaderPause);
    WatchRequest request;
    request.name = name_;
    // Core machines get the configuration and the view from the register; only the server list is requested
    // here.
    request.config_generation = std::numeric_limits<std::int64_t>::max();
    request.view_epoch = std::numeric_limits<Epoch>::max();
    request.servers = hooks_.known();
    request.max_wait_ms = kMaxWait.count();
    const auto done = [this](std::optional<WatchReply> reply) {
        if (!reply) return pollAfter(kNoLeaderPause);
        if (reply->servers) hooks_.learn(std::move(*reply->servers));
        pollAfter(kPollPause);
    };
    callFor<WatchReply>(transport_, *leader, MessageKind::watch, request, kCallTimeout,
                        lifetime_.guard(done));
}

}  // namespace amberswitch::cluster
