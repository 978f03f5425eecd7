// Brings the leader's list of servers to a core machine that does not lead, by long polls.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/lifetime.hpp"

namespace amberswitch::cluster {

class ServerRelay {
public:
    struct Hooks {
        std::function<std::optional<NodeAddress>()> leader;  // nothing: unknown, or this machine
        std::function<ServerListVersion()> known;
        std::function<void(ServerList)> learn;
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
