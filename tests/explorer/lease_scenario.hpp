// Scenario: three machines elect a leader; at most one acts at any time.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "cluster/common/codec.hpp"
#include "cluster/control/leader_election.hpp"
#include "tests/explorer/exploration.hpp"
#include "tests/explorer/explored_process.hpp"

namespace amberswitch::cluster::explorer {

class LeaseScenario : public Scenario, private Machines {
public:
    LeaseScenario() : world_(kMachines) {
        world_.setMachines(*this);
        world_.freeze_span = Millis(340);
        world_.cut_span = Millis(1700);
        for (int index = 0; index < kMachines; ++index) {
            electors_.push_back({"10.0.0." + std::to_string(index + 1), 7780});
            listeners_.machines[electors_.back()] = index;
        }
        processes_.resize(kMachines);
    }
    ~LeaseScenario() override {
        for (int index = 0; index < kMachines; ++index) crash(index, false, false);
    }

    ExploredWorld& world() override { return world_; }
    void prepare() override {
        for (int index = 0; index < kMachines; ++index) startProcess(index, true);
        end_ = world_.now() + kPlayed;
    }
    std::string broken() override {
        std::string acting;
        int count = 0;
        for (int index = 0; index < kMachines; ++index) {
            // A machine that stands still compares its lease with the clock before it acts again.
            if (!runs(index) || world_.isFrozen(index) || !processOf(index).election->isLeader()) continue;
            acting += " " + ExploredWorld::nameOf(index);
            ++count;
        }
        return count > 1 ? "two leaders act at once:" + acting : std::string();
    }
    bool finished() override { return world_.now() >= end_; }
    std::string brokenAtEnd(std::size_t) override {
        world_.healAll();
        world_.run(Millis(4000));
        for (int index = 0; index < kMachines; ++index) {
            if (runs(index) && processOf(index).election->isLeader()) return {};
        }
        return "nobody leads 4 s after all is well";
    }
    std::uint64_t fingerprint() const override { return 0; }

private:
    static constexpr int kMachines = 3;
    static constexpr Millis kPlayed{2500};

    struct Process {
        Alive alive;
        std::unique_ptr<ProcessScheduler> scheduler;
        std::unique_ptr<ExploredTransport> transport;
        std::unique_ptr<LeaderElection> election;
    };

    Process& processOf(int machine) { return processes_[static_cast<std::size_t>(machine)]; }

    void startProcess(int machine, bool first_start) {
        Process& process = processOf(machine);
        process.alive = std::make_shared<bool>(true);
        const Incarnation incarnation = static_cast<Incarnation>(++started_ * 10 + machine);
        world_.histories[static_cast<std::size_t>(machine)] = mix(mix(3, incarnation), first_start ? 1u : 0u);
        process.scheduler = std::make_unique<ProcessScheduler>(world_, machine, process.alive);
        const NodeAddress self = electors_[static_cast<std::size_t>(machine)];
        process.transport = std::make_unique<ExploredTransport>(world_, listeners_, machine, incarnation,
                                                                self, process.alive);
        ElectionHooks hooks;
        hooks.voters = [this] { return electors_; };
        hooks.may_vote = [] { return true; };
        hooks.last_leader = [] { return std::string(); };
        process.election = std::make_unique<LeaderElection>(
            *process.scheduler, *process.transport,
            ElectionIdentity{ExploredWorld::nameOf(machine), incarnation, self}, first_start, hooks);
        process.transport->serve(
            [election = process.election.get()](const Envelope& request, const Responder& respond) {
                respond(reply(election->vote(*decode<LeaderLeaseRequest>(request.body))));
            });
        process.election->start();
    }
    void crash(int machine, bool, bool) override {
        Process& process = processOf(machine);
        if (process.alive) *process.alive = false;
        process.election.reset();
        process.transport.reset();
        process.scheduler.reset();
    }
    void start(int machine) override { startProcess(machine, false); }
    bool runs(int machine) const override {
        return processes_[static_cast<std::size_t>(machine)].election != nullptr;
    }
    bool hasUnsynced(int) const override { return false; }
    bool mayLoseDisk(int) const override { return false; }

    ExploredWorld world_;
    Listeners listeners_;
    std::vector<NodeAddress> electors_;
    std::vector<Process> processes_;
    int started_ = 0;
    SteadyTime end_;
};

}  // namespace amberswitch::cluster::explorer
