// Replacing the process: the old and the new one are one dispatcher. This part decides when the new one may
// take clients, when the old one leaves them to it, and who gets a callback; it knows no socket and no file.
#pragma once

#include <list>

#include "service/service.hpp"
#include "takeover/link.hpp"

namespace amberswitch::takeover {

class Takeover {
public:
    // What it acts on. All outlive it.
    struct Ways {
        std::function<std::string()> list;              // the farm, in discovery's own form
        std::function<std::vector<std::string>()> ids;  // of jobs that are open here
        std::function<void(Time, std::string_view list, const std::vector<std::string>& ids)> inherit;
        std::function<void(Time, bool)> accept;  // take new connections of clients, or leave them
        std::function<void(Time)> listen;        // for the next process, in place of whoever did
        std::function<bool(Time, const std::string& body)> own;  // hand a call on; false: not a job of ours
        std::function<std::size_t()> descriptors;
        std::function<void(const std::string&)> say;
    };
    static constexpr Nanos kPatience =
        std::chrono::milliseconds(1500);                             // with a predecessor, to give its farm
    static constexpr Nanos kUsage = std::chrono::milliseconds(100);  // between two looks at descriptors
    static constexpr std::uint32_t kMostHops = 3;
    static constexpr std::size_t kMostLinks = 4;  // from processes that begin; one is usual

    Takeover(Deadlines& deadlines, service::Service& service, std::string name, Ways ways);

    // The link to ask a predecessor over: to be connected at once. Where there is none, its end says so.
    std::shared_ptr<Link> begin(Time now);
    void alone(Time now) { start(now, {}, {}, Fault::none); }  // there is nowhere to meet
    // Somebody has connected to where this process listens. None where there are too many.
    std::shared_ptr<wire::Machine> accept(Time now);
    // A call that is for no job of this process.
    void elsewhere(Time now, const std::string& body, Link::Said said) { pass(now, nullptr, body, 0, said); }
    std::size_t descriptors() const;  // that the other processes of this dispatcher hold
    bool linked() const { return predecessor_ || !links_.empty(); }

    struct Counters {
        std::uint64_t links = 0, refused = 0, inherited = 0, cold = 0, succeeded = 0, retaken = 0;
        std::uint64_t passedOn = 0, owned = 0, nobodys = 0, unknown = 0, took = 0;
    };
    const Counters& counters() const { return counters_; }

private:
    using LinkRef = std::shared_ptr<Link>;

    LinkRef make(Time now, bool older);
    void start(Time now, std::string_view list, const std::vector<std::string>& ids, Fault why);
    void succeeded(Time now, Link* by);
    void lost(Time now, Link* link, Fault why);
    void taken(Time now, Link* from, std::string body, std::uint32_t hops, Link::Said said);
    void pass(Time now, Link* from, const std::string& body, std::uint32_t hops, Link::Said said);
    void askNext(Time now, std::vector<std::weak_ptr<Link>> left, std::string body, std::uint32_t hops,
                 Link::Said said);
    void tellUsage(Time now);

    Deadlines& deadlines_;
    service::Service& service_;
    const std::string name_;
    Ways ways_;
    LinkRef predecessor_;
    std::list<LinkRef> links_;   // of processes that came later
    Link* successor_ = nullptr;  // the one of them that serves
    Deadlines::Ticket patience_, usage_;
    std::size_t told_ = 0;
    bool started_ = false;
    Counters counters_;
};

}  // namespace amberswitch::takeover
