// Replaces the process of a dispatcher without interruption. Decides when the new process accepts clients,
// when the old one stops to, and which process handles a callback of a job server. It uses no sockets and no
// files.
#pragma once

#include <list>

#include "service/service.hpp"
#include "takeover/link.hpp"

namespace amberswitch::takeover {

class Takeover {
public:
    // The functions by which it acts on the rest of the process. They must outlive it.
    struct Actions {
        std::function<std::string()> list;              // the roster, in the format of the list service
        std::function<std::vector<std::string>()> ids;  // of jobs that are open in this process
        std::function<void(Time, std::string_view list, const std::vector<std::string>& ids)> inherit;
        std::function<void(Time, bool)> accept;  // starts or stops to accept clients
        std::function<void(Time)> listen;        // for the next process, replacing the previous listener
        // Handles a callback; returns false if it is not for a job of this process.
        std::function<bool(Time, const std::string& body)> own;
        std::function<std::size_t()> descriptors;
        std::function<void(const std::string&)> log;
    };
    static constexpr Nanos kPredecessorTimeout =
        std::chrono::milliseconds(1500);  // for a predecessor to send its roster
    static constexpr Nanos kUsageInterval = std::chrono::milliseconds(100);  // checks of descriptors
    static constexpr std::uint32_t kMaxHops = 3;
    static constexpr std::size_t kMaxLinks = 4;  // from starting processes; one is usual

    Takeover(Deadlines& deadlines, service::Service& service, std::string name, Actions actions);

    // Returns the link to a predecessor; the caller connects it at once. If there is no predecessor, the
    // failed connection starts the service.
    std::shared_ptr<Link> begin(Time now);
    void alone(Time now) { start(now, {}, {}, Fault::none); }  // no link address is configured
    // Accepts a link from a later process. Returns null if there are too many.
    std::shared_ptr<wire::Machine> accept(Time now);
    // Forwards a callback that is not for a job of this process.
    void elsewhere(Time now, const std::string& body, Link::Reply reply) {
        pass(now, nullptr, body, 0, reply);
    }
    std::size_t descriptors() const;  // held by the other processes of this dispatcher
    bool linked() const { return predecessor_ || !links_.empty(); }

    struct Counters {
        std::uint64_t links = 0, refused = 0, inherited = 0, cold = 0, succeeded = 0, retaken = 0;
        std::uint64_t passedOn = 0, owned = 0, unowned = 0, unknown = 0, took = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    using LinkRef = std::shared_ptr<Link>;

    LinkRef make(Time now, bool older);
    void start(Time now, std::string_view list, const std::vector<std::string>& ids, Fault why);
    void succeeded(Time now, Link* by);
    void lost(Time now, Link* link, Fault why);
    void taken(Time now, Link* from, std::string body, std::uint32_t hops, Link::Reply reply);
    void pass(Time now, Link* from, const std::string& body, std::uint32_t hops, Link::Reply reply);
    void askNext(Time now, std::vector<std::weak_ptr<Link>> left, std::string body, std::uint32_t hops,
                 Link::Reply reply);
    void tellUsage(Time now);

    Deadlines& deadlines_;
    service::Service& service_;
    const std::string name_;
    Actions actions_;
    LinkRef predecessor_;
    std::list<LinkRef> links_;   // to later processes
    Link* successor_ = nullptr;  // the one whose process accepts clients
    Deadlines::Timer predecessorTimer_, usageTimer_;
    std::size_t sentUsage_ = 0;
    bool started_ = false;
    Counters counters_;
};

}  // namespace amberswitch::takeover
