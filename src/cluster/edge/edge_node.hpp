// The data plane of one edge process: takes messages from clients, delivers what stores grant, reports, and
// calls back. The program wires it to the core client, the HTTP servers and the HTTP client.
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
    // `servers` reaches application servers and receivers of call-backs.
    EdgeNode(Scheduler& scheduler, Transport& transport, HttpClient& servers, const NodeSettings& settings,
             Incarnation incarnation);

    // Serves grant_push on the transport and begins the heartbeats to the stores.
    void start();

    void onView(std::shared_ptr<const StoreView> view);
    void onServers(std::shared_ptr<const ServerList> servers);
    void onConfiguration(std::shared_ptr<const Configuration> configuration);
    // Answers a client that asks for the newest configuration (Front::onConfigurationRead).
    void onConfigurationRead(std::function<void(HttpResponder)> read) {
        client_requests_.onConfigurationRead(std::move(read));
    }
    // This dispatcher's place among those that share the servers' connections; a fall of their number counts
    // only once it has lasted.
    void setEdgeShare(EdgeShare share);

    void handleClientRequest(const HttpRequest& request, HttpResponder respond);
    // 200 while this edge can take messages, else 503; GET /counters answers with countersText().
    void handleReadiness(const HttpRequest& request, HttpResponder respond);
    bool isReady() const;

    // The planned end: `done` runs once the platform has noticed that this edge is not ready and everything
    // open has its end and was reported, or a second before the grace is over.
    void leave(std::function<void()> done);
    // Nothing is open: no request of a client, no delivery, no report.
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
    EdgeShare pending_share_{0, 0, 0};  // the one with the highest lower count since the fall
    TimerHandle share_drop_timer_;
    bool leaving_ = false;
    SteadyTime serve_until_{};
    SteadyTime leave_deadline_{};
    std::function<void()> on_left_;
    TimerHandle leave_check_timer_;
};

}  // namespace amberswitch::cluster
