// The message plane of a store machine: keeps its partitions, replicates, orders and grants. Everything
// arrives through the transport that it serves; views and configurations are handed in by whoever talks to
// the core.
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

class StoreNode {
public:
    // All references must outlive the node; scheduler and transport must not call back after its end.
    StoreNode(Scheduler& scheduler, Transport& transport, RecordStore& disk, const NodeSettings& settings,
              Incarnation incarnation);
    ~StoreNode();

    // Reads the disk and begins to serve. Call once.
    void start();
    // Older views and configurations than the present ones are ignored.
    void onView(std::shared_ptr<const StoreView> view);
    void onConfiguration(std::shared_ptr<const Configuration> configuration);
    // How many edges hold a lease.
    void onServers(std::shared_ptr<const ServerList> servers);
    void setEdgeCount(std::uint32_t edges);
    // Runs when this store's disk begins to fail, or works again, and in start() where it fails already.
    // While it is not usable, the core must be told: the store is no copy and no owner.
    void onUsable(std::function<void(bool usable)> listener);
    // A planned end: accepts and grants nothing more; `done` runs once the successors have everything, or
    // shortly before the grace period is over.
    void leave(std::function<void()> done);
    // For the operator's status page.
    std::string statusJson() const;
    // Its figures, one a line.
    std::string metricsText() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace amberswitch::cluster
