// The core role: assembles the register, the leader lease, membership, the store view, the list of servers
// and the operator's API of one core machine.
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

class ControlNode {
public:
    // Serves `transport`, which listens at settings.internalAddress(PortOffset::core).
    ControlNode(Scheduler& scheduler, Transport& transport, HttpClient& cloud, RecordStore& disk,
                const NodeSettings& settings, Incarnation incarnation);
    ~ControlNode();

    void start();
    // A request to the control address.
    void handleHttp(const HttpRequest& request, HttpResponder respond);
    // Gives the leader lease back; `done` runs once that has been said.
    void leave(std::function<void()> done);
    // Control addresses of the core machines; they may change while the process runs.
    void setSeeds(const std::vector<NodeAddress>& seeds);
    // Members, leases, leader, versions, view and the state of the voter, as JSON.
    std::string statusJson() const;
    // Its figures, one a line.
    std::string metricsText() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace amberswitch::cluster
