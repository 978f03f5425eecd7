#include "cluster/common/callback_plan.hpp"

#include <algorithm>

namespace amberswitch::cluster {
namespace {

constexpr std::uint32_t kReceiverConnectionLimit = 64;  // that one receiver accepts from all dispatchers
constexpr std::uint32_t kPlannedConnections = kReceiverConnectionLimit / 2;
constexpr std::uint32_t kMaxConnectionsPerSender = 8;  // from one dispatcher to one receiver
// Enough senders that one that stalls delays few callbacks.
constexpr std::uint32_t kSenders = 8;

}  // namespace

CallbackPlan planCallbacks(std::uint32_t edges) {
    edges = std::max<std::uint32_t>(1, edges);
    CallbackPlan plan;
    plan.all_send = edges <= kPlannedConnections;
    plan.senders = plan.all_send ? edges : kSenders;
    const std::uint32_t shared = plan.all_send ? kReceiverConnectionLimit : kPlannedConnections;
    plan.connections_per_sender =
        std::clamp<std::uint32_t>(shared / plan.senders, 1, kMaxConnectionsPerSender);
    return plan;
}

}  // namespace amberswitch::cluster
