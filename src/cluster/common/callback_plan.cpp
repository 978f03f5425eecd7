#include "cluster/common/callback_plan.hpp"

#include <algorithm>

namespace amberswitch::cluster {
namespace {

constexpr std::uint32_t kReceiverConnections = 64;  // of one receiver, from all dispatchers
constexpr std::uint32_t kPlannedConnections = kReceiverConnections / 2;
constexpr std::uint32_t kMostConnections = 8;  // of one receiver, from one dispatcher
// Enough that one that stands still holds up few call-backs.
constexpr std::uint32_t kSenders = 8;

}  // namespace

CallbackPlan planCallbacks(std::uint32_t edges) {
    edges = std::max<std::uint32_t>(1, edges);
    CallbackPlan plan;
    plan.all_send = edges <= kPlannedConnections;
    plan.senders = plan.all_send ? edges : kSenders;
    const std::uint32_t shared = plan.all_send ? kReceiverConnections : kPlannedConnections;
    plan.connections_each = std::clamp<std::uint32_t>(shared / plan.senders, 1, kMostConnections);
    return plan;
}

}  // namespace amberswitch::cluster
