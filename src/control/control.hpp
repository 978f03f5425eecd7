// The operators' address: calls to look at this process and to take it out of service and back. It decides
// nothing: it asks the process's standing and its figures.
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
    using Figures = std::function<std::string()>;
    // At most `places` callers at a time (1 or more). The objects given must outlive it.
    Control(Deadlines& deadlines, service::Service& service, Figures figures, std::size_t places);
    ~Control();

    // How many callers a process with so many descriptors in all has room for.
    static std::size_t placesOf(std::size_t sockets) { return std::clamp<std::size_t>(sockets / 16, 8, 32); }

    std::shared_ptr<wire::Machine> accept(Time now);
    std::size_t open() const { return open_; }
    std::size_t places() const { return places_; }
    bool quiet() const;  // nobody waits for an answer, or for the rest of one

    struct Counters {
        std::uint64_t connections = 0, calls = 0, refused = 0, pushedOut = 0;
        std::uint64_t ends[kEnds] = {};
    };
    const Counters& counters() const { return counters_; }

private:
    class Connection;
    using Connections = std::list<std::shared_ptr<Connection>>;
    // What a caller has shown so far; who has shown least goes first when places run out.
    enum Shown { nothing, part, call };

    bool pushOut(Time now);

    Deadlines& deadlines_;
    service::Service& service_;
    Figures figures_;
    const std::size_t places_;
    std::array<Connections, 3> connections_;  // by what they have shown, the oldest first
    std::size_t open_ = 0;
    Counters counters_;
};

}  // namespace amberswitch::control
