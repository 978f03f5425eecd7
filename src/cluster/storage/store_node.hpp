// The message side of a store process: keeps its partitions, replicates messages, orders them and grants
// their runs to edges. Requests arrive through the transport; the caller passes in the views and
// configurations that it receives from the core.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cluster/common/configuration.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/storage/record_store.hpp"

namespace amberswitch::cluster {

// Not thread-safe: all calls and callbacks run on the scheduler's thread.
class StoreNode {
public:
    // The scheduler, transport and disk must outlive the node; scheduler and transport must not call back
    // after its destruction.
    StoreNode(Scheduler& scheduler, Transport& transport, RecordStore& disk, const NodeSettings& settings,
              Incarnation incarnation);
    ~StoreNode();

    // Loads the disk and begins to serve requests. Call once.
    void start();
    // Views and configurations that are not newer than the current ones are ignored.
    void onView(std::shared_ptr<const StoreView> view);
    void onConfiguration(std::shared_ptr<const Configuration> configuration);
    void onServers(std::shared_ptr<const ServerList> servers);
    // `edges`: the number of edges that hold a lease.
    void setEdgeCount(std::uint32_t edges);
    // Sets the listener for changes of usability: the disk fails or works again, or data is unreadable. It
    // also runs in start() if the store is not usable then. The caller must report this to the core, since a
    // store that is not usable counts neither as a copy nor as an owner.
    void onUsable(std::function<void(bool usable)> listener);
    // Starts a planned shutdown: nothing is accepted or granted any more. `done` runs once the successors
    // have everything, or shortly before the grace period ends.
    void leave(std::function<void()> done);
    // Returns the status page for operators as JSON.
    std::string statusJson() const;
    // Returns the metrics, one per line.
    std::string metricsText() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace amberswitch::cluster
