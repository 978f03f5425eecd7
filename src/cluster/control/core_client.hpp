// A dispatcher's client of the core: renews its lease at every core machine and long-polls one of them for a
// newer configuration, server list and store view. Used by edges and stores; never goes back to an older
// version.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/configuration.hpp"
#include "cluster/common/edge_share.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/node_locations.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"

namespace amberswitch::cluster {

// Core machines are found through the seeds and through the lists in the replies to renewals.
class CoreClient {
public:
    // Called with each newer version; all are optional.
    struct Callbacks {
        std::function<void(std::shared_ptr<const Configuration>)> on_configuration;
        std::function<void(std::shared_ptr<const ServerList>)> on_servers;
        std::function<void(std::shared_ptr<const StoreView>)> on_view;
    };

    // `core`: internal addresses of the core machines named by the seeds. `locations` must outlive the
    // client, which records the zones of core machines and stores there and prefers to watch a near core
    // machine.
    CoreClient(Scheduler& scheduler, Transport& transport, Member self, std::vector<NodeAddress> core,
               NodeLocations& locations, Callbacks callbacks);
    ~CoreClient();

    void start();
    // Reports immediately that this process is leaving, and repeats that every 100 ms.
    void leave();
    // Reports immediately that the disk of this machine has failed or works again.
    void setDiskFailed(bool failed);
    // Replaces the seeds; they may change while the process runs.
    void setSeeds(std::vector<NodeAddress> core);

    // Each is null until the first version has arrived.
    std::shared_ptr<const Configuration> configuration() const;
    std::shared_ptr<const ServerList> servers() const;
    std::shared_ptr<const StoreView> view() const;
    // This dispatcher's rank among all edges; that of a single edge until a core machine has reported it.
    EdgeShare edgeShare() const;
    // The known core machines, those that answered recently first.
    std::vector<NodeAddress> coreMachines() const;
    // When a core machine last answered a renewal; nullopt if none has yet.
    std::optional<SteadyTime> lastContact() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace amberswitch::cluster
