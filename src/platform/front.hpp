// The platform's HTTP front: clients, callbacks and what the platform asks of a dispatcher, on one listener.
#pragma once

#include <list>

#include "http/server.hpp"
#include "platform/servers.hpp"

namespace amberswitch::platform {

class Front {
public:
    Front(Core& core, Servers& servers, Deadlines& deadlines);
    ~Front();

    std::shared_ptr<wire::Machine> accept(Time now);
    // The process is to end. All goes on until the hand-over's turn-away; from then on new jobs are turned
    // away, answers ask for the connection's close, and idle connections are closed.
    void drain(Time now);
    bool handedOver(Time now) const { return turnAway_ && (now >= *turnAway_ || connections_.empty()); }
    bool relieve(Time now);  // closes the connection that was idle longest, if there is one
    bool quiet() const;      // nothing is owed or waits to be written
    std::size_t open() const { return connections_.size(); }
    void setReport(std::function<std::string()> report) { report_ = std::move(report); }

    struct Counters {
        std::uint64_t connections = 0, requests = 0, malformed = 0;
        std::uint64_t ends[kEnds] = {};
    };
    const Counters& counters() const { return counters_; }

private:
    class Connection;
    Core& core_;
    Servers& servers_;
    Deadlines& deadlines_;
    std::list<std::shared_ptr<Connection>> connections_;  // idle ones in the order they became so
    std::function<std::string()> report_;
    std::optional<Time> turnAway_;
    Deadlines::Ticket handOver_;
    Counters counters_;
};

}  // namespace amberswitch::platform
