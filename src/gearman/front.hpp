// The Gearman front: a job server to its clients and its workers. Jobs that clients submit become
// transactions of the core; each connection that offers functions is an application server to the core.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <unordered_map>

#include "core/core.hpp"
#include "gearman/config.hpp"
#include "gearman/packet.hpp"
#include "wire/machine.hpp"

namespace amberswitch::gearman {

class Front : public ApplicationServers, public RosterSource {
public:
    Front(Core& core, Deadlines& deadlines, Config config);
    ~Front() override;

    std::shared_ptr<wire::Machine> accept(Time now);
    void drain(Time now);  // the process is to end: no job is taken any more
    void setShutdown(std::function<void(Time)> shutdown) { shutdown_ = std::move(shutdown); }
    bool quiet() const;
    std::size_t open() const { return connections_.size(); }

    void start(Time now, const ProxyPass& pass) override;
    void abandon(Time now, const ProxyPass& pass) override;
    bool begun(const ProxyPass& pass) const override;
    void closeIdle(Time, Worker) override {}  // a worker's connection is its own
    void probe(Time now, Worker server) override;

    struct Counters {
        std::uint64_t connections = 0, packets = 0, submitted = 0, joined = 0, assigned = 0, stray = 0,
                      malformed = 0, refused = 0, slowed = 0;
        std::uint64_t ends[kEnds] = {};
    };
    const Counters& counters() const { return counters_; }

private:
    class Connection;
    class Job;
    using Handle = std::string;

    std::optional<std::size_t> classOf(std::string_view function) const;
    Connection* workerOf(Worker server) const;
    std::string tableOfFunctions() const;
    std::string tableOfWorkers() const;
    std::string tableOfJobs() const;
    std::string tableOfPriorities() const;

    Core& core_;
    Deadlines& deadlines_;
    Config config_;
    std::list<std::shared_ptr<Connection>> connections_;
    std::unordered_map<Handle, std::shared_ptr<Job>> jobs_;                 // not answered yet
    std::unordered_map<std::string, std::shared_ptr<Job>> jobsByUniqueId_;  // by class and unique id
    std::unordered_map<Worker, Connection*> workers_;
    std::set<std::size_t> freeSlots_;
    std::vector<std::size_t> maxQueue_;  // open jobs that a class may have; 0: any number
    std::size_t slotCount_ = 0;
    std::uint64_t lastHandle_ = 0, lastConnection_ = 0, registrations_ = 0;
    std::function<void(Time)> shutdown_;
    bool draining_ = false;
    Counters counters_;
};

}  // namespace amberswitch::gearman
