// The core role of one machine: connects the register, the leader lease, membership, the store view, the
// server list and the operator API.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/common/http.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/storage/record_store.hpp"

namespace amberswitch::cluster {

// The constructor arguments, except the settings, must outlive the node.
class ControlNode {
public:
    // Serves requests of `transport`, which listens at settings.internal(PortOffset::core).
    ControlNode(Scheduler& scheduler, Transport& transport, HttpClient& cloud, RecordStore& disk,
                const NodeSettings& settings, Incarnation incarnation);
    ~ControlNode();

    void start();
    // Handles a request to the control address.
    void handleHttp(const HttpRequest& request, HttpResponder respond);
    // Announces that this machine leaves and releases the leader lease; `done` runs 100 ms later, when the
    // messages have been sent.
    void leave(std::function<void()> done);
    // Sets the control addresses of the core machines; they may change while the process runs.
    void setSeeds(const std::vector<NodeAddress>& seeds);
    // Members, leases, leader, versions, view and the state of the voter, as JSON.
    std::string statusJson() const;
    // Metrics, one a line.
    std::string metricsText() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace amberswitch::cluster
