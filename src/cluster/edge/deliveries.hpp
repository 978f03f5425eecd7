// Manages all grants of this edge, from their arrival until an owner has acknowledged their last result: runs
// go to the dispatcher of their service, call-backs to their receiver, results to the owner of the partition.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "cluster/common/configuration.hpp"
#include "cluster/common/http.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/topology.hpp"
#include "cluster/edge/callback_sender.hpp"
#include "cluster/edge/counters.hpp"
#include "cluster/edge/held_grants.hpp"
#include "cluster/edge/recent_results.hpp"
#include "cluster/edge/run_reports.hpp"
#include "cluster/edge/service_dispatcher.hpp"

namespace amberswitch::cluster {

struct EdgeIdentity {
    std::string name;
    std::string zone;
    NodeAddress address;  // address for calls between nodes
    Incarnation incarnation = 0;
    Topology topology = {};
};

class Deliveries {
public:
    Deliveries(Scheduler& scheduler, Transport& transport, HttpClient& http, const PartitionMap& partitions,
               EdgeCounters& counters, EdgeIdentity self);

    void onConfiguration(std::shared_ptr<const Configuration> configuration);
    void onServers(std::shared_ptr<const ServerList> servers);
    // Handles a newer view. Must be called before the edge syncs its running attempts to the owners: results
    // that only a former owner may know count as running until its successor has acknowledged them.
    void onView();
    void setEdgeShare(EdgeShare share);

    // Whether this edge can start another run of the service immediately.
    bool hasRoomFor(const std::string& service) const;
    // Whether this edge should ask for the grant of a message of the service that it submits. False for a
    // static endpoint to which this edge has no open connection: its messages are left to the edges that have
    // one.
    bool wantsGrantFor(const std::string& service) const;
    // Returns false if the grant is refused: nothing is started, `grant` is unchanged, and the message stays
    // with the owner. A repeated grant is accepted but not started twice.
    bool acceptGrant(Grant& grant);  // moved from if accepted
    // Reports to the owner that a grant refused by acceptGrant() will not run here.
    void returnGrant(const Grant& grant) { reportNotRun(grant, false); }
    std::vector<RunningAttempt> runningAttempts() const { return grants_.runningAttempts(); }

    // Begins the graceful shutdown: new grants are refused, and grants that have not started go back to their
    // owners.
    void leave();
    // No run or call-back is in progress and every result has been acknowledged.
    bool isIdle() const {
        return grants_.size() == 0 && reports_.pending() == 0 && callbacks_.openCount() == 0;
    }

    std::size_t heldGrantCount() const { return grants_.size(); }
    std::size_t pendingResultCount() const { return reports_.pending(); }
    std::size_t openCallbackCount() const { return callbacks_.openCount(); }

private:
    void startRun(Grant grant);
    void startCallback(const Grant& grant);
    void onRunFinished(const Grant& grant, const DeliveryResult& result);
    void reportNotRun(const Grant& grant, bool destination_down);
    void resendResult(const RecentResult& end);
    bool mayReport(const RunResult& result);
    void onCallbackDone(const CallbackJob& job, bool delivered);
    void onResultAcknowledged(const RunResult& result);
    // Whether the newest configuration of this edge routes the message to the service of the grant, or the
    // grant was made under a newer configuration.
    bool followsConfiguration(const Grant& grant) const;
    void applyServers();

    Scheduler& scheduler_;
    HttpClient& http_;
    const PartitionMap& partitions_;
    EdgeCounters& counters_;
    EdgeIdentity self_;
    HeldGrants grants_;
    RunReports reports_;
    RecentResults recent_results_;
    CallbackSender callbacks_;
    std::map<std::string, std::unique_ptr<ServiceDispatcher>> services_;
    std::shared_ptr<const Configuration> configuration_;
    std::shared_ptr<const ServerList> servers_;
    EdgeShare share_;
    bool leaving_ = false;
};

}  // namespace amberswitch::cluster
