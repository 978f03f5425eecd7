// The data plane of one edge process: submits the messages of clients to stores, delivers granted messages,
// reports results and sends call-backs. The program connects it to the core client, the HTTP servers and the
// HTTP client.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cluster/common/http.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/edge/client_request_handler.hpp"
#include "cluster/edge/deliveries.hpp"
#include "cluster/edge/message_submitter.hpp"
#include "cluster/edge/partition_map.hpp"
#include "cluster/edge/queries.hpp"
#include "cluster/edge/store_heartbeats.hpp"

namespace amberswitch::cluster {

class EdgeNode {
public:
    // `servers` sends requests to application servers and call-back receivers.
    EdgeNode(Scheduler& scheduler, Transport& transport, HttpClient& servers, const NodeSettings& settings,
             Incarnation incarnation);

    // Serves grant_push on the transport and starts the heartbeats to the stores.
    void start();

    void onView(std::shared_ptr<const StoreView> view);
    void onServers(std::shared_ptr<const ServerList> servers);
    void onConfiguration(std::shared_ptr<const Configuration> configuration);
    // Sets the handler for clients that read the newest configuration
    // (ClientRequestHandler::onConfigurationRead).
    void onConfigurationRead(std::function<void(HttpResponder)> read) {
        client_requests_.onConfigurationRead(std::move(read));
    }
    // Sets this edge's rank among the edges that share the servers' connections. A lower number of edges
    // takes effect only after a delay.
    void setEdgeShare(EdgeShare share);

    void handleClientRequest(const HttpRequest& request, HttpResponder respond);
    // Answers 200 while this edge can accept messages, else 503; GET /counters answers with countersText().
    void handleReadiness(const HttpRequest& request, HttpResponder respond);
    bool isReady() const;

    // Begins the graceful shutdown. `done` runs once the platform has had time to see that this edge is not
    // ready and all open work has ended and was reported, at the latest one second before the grace period
    // ends.
    void leave(std::function<void()> done);
    // Whether no client request, delivery, call-back or report is open.
    bool isIdle() const;

    std::string countersText() const;

private:
    void serve(const Envelope& request, const Responder& respond);
    GrantPushReply acceptGrants(GrantPush push);
    bool isStale(const GrantPush& push, const Grant& grant) const;
    void applyEdgeShare(EdgeShare share);
    void leaveWhenIdle();

    Scheduler& scheduler_;
    Transport& transport_;
    EdgeIdentity self_;
    Millis grace_;
    EdgeCounters counters_;
    PartitionMap partitions_;
    Deliveries deliveries_;
    StoreHeartbeats store_heartbeats_;
    MessageSubmitter submitter_;
    Queries queries_;
    ClientRequestHandler client_requests_;
    std::shared_ptr<const Configuration> configuration_;
    std::shared_ptr<const ServerList> servers_;
    EdgeShare share_;
    // Takes effect after the delay: the highest share below share_ seen since the number of edges fell.
    EdgeShare pending_share_{0, 0, 0};
    TimerHandle share_drop_timer_;
    bool leaving_ = false;
    SteadyTime serve_until_{};
    SteadyTime leave_deadline_{};
    std::function<void()> on_left_;
    TimerHandle leave_check_timer_;
};

}  // namespace amberswitch::cluster
