// Copies the leader's server list to a core machine that is not the leader, by long polls.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/lifetime.hpp"

namespace amberswitch::cluster {

// Polls until it is destroyed.
class ServerRelay {
public:
    struct Hooks {
        std::function<std::optional<NodeAddress>()> leader;  // nullopt if unknown or this machine
        std::function<ServerListVersion()> known;            // version of the local list
        std::function<void(ServerList)> learn;               // receives a newer list
    };

    ServerRelay(Scheduler& scheduler, Transport& transport, std::string name, Hooks hooks);
    void start() { poll(); }

private:
    void poll();
    void pollAfter(Millis pause);

    Scheduler& scheduler_;
    Transport& transport_;
    std::string name_;
    Hooks hooks_;
    TimerHandle timer_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
