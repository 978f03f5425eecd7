// The operators' HTTP interface: calls to inspect this process and to take it out of service and back. It
// delegates to service::Service and to the function that formats the counters.
#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <list>

#include "http/server.hpp"
#include "service/service.hpp"

namespace amberswitch::control {

class Control {
public:
    using FormatCounters = std::function<std::string()>;
    // Accepts at most `maxConnections` connections at a time (1 or more). The objects passed in must outlive
    // it.
    Control(Deadlines& deadlines, service::Service& service, FormatCounters formatCounters,
            std::size_t maxConnections);
    ~Control();

    // Returns the connection limit for a process with `sockets` file descriptors in total.
    static std::size_t connectionLimitFor(std::size_t sockets) {
        return std::clamp<std::size_t>(sockets / 16, 8, 32);
    }

    std::shared_ptr<wire::Machine> accept(Time now);
    std::size_t open() const { return open_; }
    std::size_t maxConnections() const { return maxConnections_; }
    bool quiet() const;  // no answer is pending or partly unsent

    struct Counters {
        std::uint64_t connections = 0, calls = 0, refused = 0, evicted = 0;
        std::uint64_t ends[kEnds] = {};
    };
    const Counters& counters() const { return counters_; }

private:
    class Connection;
    using Connections = std::list<std::shared_ptr<Connection>>;
    // What a connection has sent so far. At the limit, the connections that have sent least are closed first.
    enum Progress { nothing, part, call };

    bool closeLeastProgressed(Time now);

    Deadlines& deadlines_;
    service::Service& service_;
    FormatCounters formatCounters_;
    const std::size_t maxConnections_;
    std::array<Connections, 3> connections_;  // indexed by Progress, oldest first
    std::size_t open_ = 0;
    Counters counters_;
};

}  // namespace amberswitch::control
