// The platform's HTTP front: clients, callbacks and what the platform asks of a dispatcher, on one listener.
#pragma once

#include <array>
#include <deque>
#include <list>
#include <unordered_set>
#include <vector>

#include "core/hand_over.hpp"
#include "http/server.hpp"
#include "platform/servers.hpp"
#include "service/service.hpp"

namespace amberswitch::platform {

class Front {
public:
    // It follows the standing of the process, `service`, which outlives it.
    Front(Core& core, Servers& servers, Deadlines& deadlines, service::Service& service);
    ~Front();

    std::shared_ptr<wire::Machine> accept(Time now);
    // The process ends, and its clients have had the time to go elsewhere.
    bool handedOver(Time now) const;
    // What a connection has shown of itself so far: it has asked nothing, no job, or a job or a callback.
    enum Standing { silent, stranger, client };
    // Closes an idle connection of at most that standing, if there is one: the lowest first, then the one
    // that was idle longest.
    bool relieve(Time now, Standing most = client);
    void hurry(Time now);  // cuts first messages off that are long in coming
    bool quiet() const;    // nothing is owed or waits to be written
    std::size_t open() const;
    std::size_t clients() const;  // of those, who are not known for job servers or the platform
    // Nobody new comes, and nothing is owed: who rests is shut down, and who has sent half a message is told
    // to come again. To be said again for those who had bytes unread.
    void shutdown(Time now);
    void setRoom(std::size_t bytes) { room_ = bytes; }  // for messages that are not whole and for open jobs
    // Asked for calls that are for no job of this process: the status to answer with is to be said once, at
    // any time. Without it they are answered as taken.
    using Answer = std::function<void(Time, int status)>;
    using Elsewhere = std::function<void(Time, const std::string& body, Answer)>;
    void setElsewhere(Elsewhere elsewhere) { elsewhere_ = std::move(elsewhere); }
    std::vector<std::string> idsInUse() const;
    void claimElsewhere(Time now, const std::vector<std::string>& ids);  // in use at another process
    void setReport(std::function<std::string()> report) { report_ = std::move(report); }

    struct Counters {
        std::uint64_t connections = 0, requests = 0, malformed = 0, takenIds = 0, noRoom = 0;
        std::uint64_t relieved[3] = {}, hurried = 0;  // closed for want of descriptors, by standing
        std::uint64_t ends[kEnds] = {};
    };
    const Counters& counters() const { return counters_; }

private:
    class Connection;
    static constexpr Nanos kIdsKept = std::chrono::seconds(10);
    static constexpr unsigned kMostFaults = 8;  // of one connection in a row, then it is told to wait
    static constexpr Nanos kPatience =
        std::chrono::milliseconds(300);  // with who has not asked yet, when short

    Core& core_;
    Servers& servers_;
    Deadlines& deadlines_;
    using Connections = std::list<std::shared_ptr<Connection>>;

    template <class Of>
    std::size_t countIf(Of&& of) const;
    bool claim(Time now, const std::string& traceId);
    void release(Time now, const std::string& traceId);
    void standingChanged(Time now);
    void sweep(Time now);            // closes clients' connections that rest
    bool leaves(Time now) const;     // clients are to go elsewhere: each answer is their connection's last
    bool turnsAway(Time now) const;  // a job that comes now can't be taken any more

    // Who rests, by standing and in the order they came to rest, and who doesn't. Apart, so that making room
    // costs no more with thousands that have stopped half way.
    std::array<Connections, 3> resting_;
    Connections busy_;
    // Ids of jobs that are open, and for a while of those that were: a callback could come for them yet.
    std::unordered_set<std::string> ids_;
    std::deque<std::pair<Time, std::string>> ended_;
    std::size_t room_ = 16 * 1024 * 1024, held_ = 0;
    std::function<std::string()> report_;
    Elsewhere elsewhere_;
    service::Service& service_;
    const ShutdownSchedule handOver_;
    Deadlines::Timer sweep_;
    Counters counters_;
};

}  // namespace amberswitch::platform
