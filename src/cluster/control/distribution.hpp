// Answers the long polls of edges, stores and other core machines with what is newer than what they have.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>

#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"

namespace amberswitch::cluster {

class Distribution {
public:
    // `is_fresh`: whether this machine is in contact with a majority. Where it is not, it still tells what is
    // newer than the caller's, but refuses to hold the caller (an empty reply), who then asks another
    // machine.
    Distribution(Scheduler& scheduler, std::function<bool()> is_fresh);

    void watch(const WatchRequest& request, Responder respond);

    // Each takes only what is newer than what it has, and wakes those who wait for it.
    void setConfiguration(ConfigurationState state);
    void setServers(ServerList servers);
    void setView(StoreView view);

    const ServerList* servers() const { return servers_ ? &*servers_ : nullptr; }
    const StoreView* view() const { return view_ ? &*view_ : nullptr; }
    std::int64_t configurationGeneration() const { return config_ ? config_->generation : 0; }
    std::size_t watchers() const { return watchers_.size(); }

private:
    struct Watcher {
        WatchRequest request;
        SteadyTime until;
        Responder respond;
    };

    // Which parts are newer than what the caller has: bits of the Part constants.
    unsigned newerParts(const WatchRequest& request) const;
    const std::string& encoded(unsigned parts);
    void changed();
    void sweep();
    void armTimer();

    Scheduler& scheduler_;
    std::function<bool()> is_fresh_;
    std::optional<ConfigurationState> config_;  // without `taken`
    std::optional<ServerList> servers_;
    std::optional<StoreView> view_;
    std::array<std::string, 8> encoded_;  // by parts; empty: not encoded yet
    std::list<Watcher> watchers_;
    TimerHandle timer_;
    bool timer_armed_ = false;
};

}  // namespace amberswitch::cluster
