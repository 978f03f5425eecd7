#include "cluster/edge/edge_node.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/metrics_text.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kShareDropDelay{10'000};  // after which a lower number of edges takes effect
constexpr Millis kLeaveCheckInterval{50};
// The platform probes readiness every second and takes an edge out of service after two failures: new
// connections arrive until then.
constexpr Millis kServeAfterLeave{2300};
constexpr Millis kLeaveMargin{1000};  // left of the grace period when the shutdown ends at the latest
constexpr std::string_view kCountersPath = "/counters";

}  // namespace

EdgeNode::EdgeNode(Scheduler& scheduler, Transport& transport, HttpClient& servers,
                   const NodeSettings& settings, Incarnation incarnation)
    : scheduler_(scheduler),
      transport_(transport),
      self_{settings.name, settings.zone, settings.internalAddress(PortOffset::edge), incarnation,
            settings.topology},
      grace_(settings.bounds.grace),
      partitions_(settings.zone, settings.topology),
      deliveries_(scheduler, transport, servers, partitions_, counters_, self_),
      store_heartbeats_(scheduler, transport, partitions_, deliveries_, self_),
      submitter_(scheduler, transport, partitions_, deliveries_, counters_, self_),
      queries_(scheduler, transport, partitions_, counters_),
      client_requests_(submitter_, queries_, counters_) {}

void EdgeNode::start() {
    transport_.serve([this](const Envelope& request, const Responder& respond) { serve(request, respond); });
    store_heartbeats_.start();
}

// --- Views, servers and configuration ---------------------------------------------------------------------

void EdgeNode::onView(std::shared_ptr<const StoreView> view) {
    if (!partitions_.update(std::move(view))) return;
    deliveries_.onView();
    store_heartbeats_.onView();
}

void EdgeNode::onServers(std::shared_ptr<const ServerList> servers) {
    servers_ = std::move(servers);
    deliveries_.onServers(servers_);
}

void EdgeNode::onConfiguration(std::shared_ptr<const Configuration> configuration) {
    configuration_ = std::move(configuration);
    client_requests_.onConfiguration(configuration_);
    deliveries_.onConfiguration(configuration_);
}

void EdgeNode::setEdgeShare(EdgeShare share) {
    share.edges = std::max<std::uint32_t>(1, share.edges);
    if (share.edges >= share_.edges) {
        share_drop_timer_.reset();
        pending_share_ = {0, 0, 0};
        if (share != share_) applyEdgeShare(share);
        return;
    }
    pending_share_ = std::max(pending_share_, share);
    if (share_drop_timer_) return;
    share_drop_timer_ = scheduler_.after(kShareDropDelay, [this] {
        share_drop_timer_.reset();
        applyEdgeShare(std::exchange(pending_share_, EdgeShare{0, 0, 0}));
    });
}

void EdgeNode::applyEdgeShare(EdgeShare share) {
    share_ = share;
    deliveries_.setEdgeShare(share);
}

// --- Requests ---------------------------------------------------------------------------------------------

void EdgeNode::handleClientRequest(const HttpRequest& request, HttpResponder respond) {
    client_requests_.handle(request, std::move(respond));
}

void EdgeNode::handleReadiness(const HttpRequest& request, HttpResponder respond) {
    HttpResponse response;
    if (request.target == kCountersPath) {
        response.headers.push_back({"Content-Type", "text/plain"});
        response.body = countersText();
    } else if (!isReady()) {
        response.status = 503;
    }
    respond(std::move(response));
}

bool EdgeNode::isReady() const {
    return configuration_ && servers_ && !leaving_ && partitions_.hasUsableOwner();
}

std::string EdgeNode::countersText() const {
    MetricsText text;
    text.add("open_accepts", submitter_.openCount());
    text.add("open_queries", queries_.openCount());
    text.add("grants_held", deliveries_.heldGrantCount());
    text.add("reports_pending", deliveries_.pendingResultCount());
    text.add("callbacks_open", deliveries_.openCallbackCount());
    text.add("view_epoch", partitions_.epoch());
    text.add("edges", share_.edges);
    text.add("edges_of_region", share_.region_edges);
    text.add("configuration", configuration_ ? static_cast<std::uint64_t>(configuration_->generation) : 0);
    text.add("servers_term", servers_ ? servers_->version.term : 0);
    text.add("servers_count", servers_ ? servers_->version.count : 0);
    text.add("servers_listed", servers_ ? servers_->servers.size() : 0);
    return counters_.text() + text.take();
}

// --- Grants pushed by stores ------------------------------------------------------------------------------

void EdgeNode::serve(const Envelope& request, const Responder& respond) {
    if (request.kind != static_cast<std::uint16_t>(MessageKind::grant_push)) return;
    std::optional<GrantPush> push = decode<GrantPush>(request.body);
    if (!push) return;
    respond(reply(acceptGrants(std::move(*push))));
}

GrantPushReply EdgeNode::acceptGrants(GrantPush push) {
    GrantPushReply answer;
    answer.edge_restarted = push.edge_incarnation != 0 && push.edge_incarnation != self_.incarnation;
    const bool accepts_grants = !leaving_ && !answer.edge_restarted;
    for (Grant& grant : push.grants) {
        const bool accepted = accepts_grants && !isStale(push, grant) && deliveries_.acceptGrant(grant);
        ++(accepted ? counters_.granted_by_push : counters_.grants_refused);
        answer.accepted.push_back(accepted);
    }
    return answer;
}

// Whether the grant comes from a store that does not own the partition in this edge's newer view.
bool EdgeNode::isStale(const GrantPush& push, const Grant& grant) const {
    if (grant.epoch >= partitions_.epoch()) return false;
    const StoreMember* const owner = partitions_.owner(grant.partition);
    return !owner || owner->member.name != push.store;
}

// --- Graceful shutdown ------------------------------------------------------------------------------------

void EdgeNode::leave(std::function<void()> done) {
    if (leaving_) return;
    leaving_ = true;
    on_left_ = std::move(done);
    serve_until_ = scheduler_.now() + std::min(kServeAfterLeave, grace_ / 2);
    leave_deadline_ = scheduler_.now() + std::max(grace_ - kLeaveMargin, Millis(0));
    client_requests_.leave();
    store_heartbeats_.leave();
    deliveries_.leave();
    leaveWhenIdle();
}

bool EdgeNode::isIdle() const {
    return submitter_.openCount() == 0 && queries_.openCount() == 0 && deliveries_.isIdle();
}

void EdgeNode::leaveWhenIdle() {
    const SteadyTime now = scheduler_.now();
    if ((isIdle() && now >= serve_until_) || now >= leave_deadline_) {
        leave_check_timer_.reset();
        return std::exchange(on_left_, nullptr)();
    }
    leave_check_timer_ = scheduler_.after(kLeaveCheckInterval, [this] { leaveWhenIdle(); });
}

}  // namespace amberswitch::cluster
