// All grants of this edge, from their arrival until an owner has taken their last report: runs go to the
// dispatcher of their service, call-backs to their receiver, results to the owner of the partition.
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
    NodeAddress address;  // internal
    Incarnation incarnation = 0;
    Topology topology = {};
};

class Deliveries {
public:
    Deliveries(Scheduler& scheduler, Transport& transport, HttpClient& http, const PartitionMap& partitions,
               EdgeCounters& counters, EdgeIdentity self);

    void onConfiguration(std::shared_ptr<const Configuration> configuration);
    void onServers(std::shared_ptr<const ServerList> servers);
    // A newer view. To be called before the owners are told what runs here: ends that a former owner may have
    // taken with it count as running until its successor has taken them.
    void onView();
    void setEdgeShare(EdgeShare share);

    // Whether one more run of that service could begin here at once.
    bool hasRoomFor(const std::string& service) const;
    // Whether a message of that service that is accepted here should run here: an endpoint to which no
    // connection is open is left to the edges that have one.
    bool wantsGrantFor(const std::string& service) const;
    // False: not taken, not begun and left as it is; it is the owner's again. A repeated grant is taken and
    // not begun twice.
    bool acceptGrant(Grant& grant);  // moved from where it is taken
    // Tells the owner that a grant which take() did not take will not run here.
    void returnGrant(const Grant& grant) { reportNotRun(grant, false); }
    std::vector<RunningAttempt> runningAttempts() const { return grants_.runningAttempts(); }

    // The planned end has begun: nothing new is taken, what has not begun goes back.
    void leave();
    // Nothing runs and every result has been taken.
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
    // The newest configuration of this edge sends the message to the service of the grant, or the grant rests
    // on a newer one.
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
