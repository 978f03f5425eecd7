// A second store is lost one catch-up time after the first was repaired, was replaced or came back, with a
// leader that follows the rules of the program: no acknowledged message is lost, and all of them end.
// AMBERSWITCH_STORE_SEEDS sets the number of seeds of each simulation.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/store_simulation.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr Millis kCatchUp{4500};

// Runs traffic for the catch-up time, which begins when the first machine is back or its successor runs. The
// second loss follows.
void runUntilSecondLoss(LeaderSimulation& simulation) {
    simulation.trafficFor(kCatchUp);
}

// The same, but the leader is deposed at a random moment of the catch-up time and another one is elected
// within `most`.
void runUntilSecondLossWithNewLeader(LeaderSimulation& simulation, Millis most) {
    const Millis before = simulation.drawSpan(kCatchUp - most);
    const Millis without = Millis(300) + simulation.drawSpan(most - Millis(300));
    simulation.trafficFor(before);
    simulation.leader.depose();
    simulation.trafficFor(without);
    simulation.leader.elect();
    simulation.trafficFor(kCatchUp - before - without);
}

// Causes the second loss: one disk, or one disk together with a power failure of all machines.
void loseSecond(LeaderSimulation& simulation, StoreMachine& second) {
    const bool all_power = simulation.world().chance() < 0.4;
    simulation.stores.wipe(second);
    if (all_power) {
        for (auto& machine : simulation.stores.machines) simulation.stores.cutPower(*machine);
        simulation.run(Millis(500) + simulation.drawSpan(Millis(500)));
        for (auto& machine : simulation.stores.machines) {
            const bool gone = machine.get() == simulation.gone;
            if (!gone && !machine->process) simulation.stores.start(*machine);
        }
    } else {
        simulation.trafficFor(Millis(500) + simulation.drawSpan(Millis(2000)));
        simulation.stores.start(second);
    }
    simulation.trafficFor(Millis(2000));
}

}  // namespace

TEST_CASE("a lost disk, and after the catch-up time another one") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        LeaderSimulation simulation(seed, seed % 4 == 0 ? 5 : 3, seed % 4 == 0 ? 2 : 1);
        simulation.traffic(60);
        StoreMachine& first = simulation.anyMachine();
        simulation.stores.wipe(first);
        simulation.trafficFor(Millis(300) + simulation.drawSpan(Millis(2500)));
        simulation.stores.start(first);
        runUntilSecondLoss(simulation);
        loseSecond(simulation, simulation.anyMachineBut(first, seed % 3 != 0));
        simulation.checkEnd();
    }
}

TEST_CASE("a store is replaced by an empty one, and after the catch-up time another disk is lost") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        LeaderSimulation simulation(seed, 3, 1);
        simulation.traffic(60);
        StoreMachine& first = simulation.anyMachine();
        simulation.remove(first);
        simulation.trafficFor(Millis(1000));
        simulation.stores.addMachine();
        runUntilSecondLoss(simulation);
        loseSecond(simulation, simulation.anyMachine());
        simulation.checkEnd();
    }
}

TEST_CASE("a store is replaced, the leader changes meanwhile, and after the catch-up time a disk is lost") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        LeaderSimulation simulation(seed, 3, 1);
        simulation.traffic(60);
        simulation.remove(simulation.anyMachine());
        simulation.trafficFor(Millis(1000));
        simulation.stores.addMachine();
        runUntilSecondLossWithNewLeader(simulation, Millis(1500));
        loseSecond(simulation, simulation.anyMachine());
        simulation.checkEnd();
    }
}

TEST_CASE("a store is cut off for twenty seconds and returns, and after the catch-up time a disk is lost") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        LeaderSimulation simulation(seed, seed % 2 == 0 ? 4 : 3, 1);
        simulation.traffic(60);
        StoreMachine& first = simulation.anyMachine();
        simulation.cutOff(first);
        simulation.trafficFor(Millis(20'000));
        simulation.join(first);
        runUntilSecondLoss(simulation);
        loseSecond(simulation, simulation.anyMachineBut(first, seed % 3 != 0));
        simulation.checkEnd();
    }
}

TEST_CASE("an owner is frozen for twenty seconds and goes on with its old epoch") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        LeaderSimulation simulation(seed, seed % 2 == 0 ? 4 : 3, 1);
        simulation.traffic(60);
        StoreMachine& first = simulation.anyMachine();
        simulation.freeze(first, Millis(20'000));
        simulation.trafficFor(Millis(20'000));
        runUntilSecondLoss(simulation);
        loseSecond(simulation, simulation.anyMachineBut(first, seed % 3 != 0));
        simulation.checkEnd();
    }
}

TEST_CASE("a dropped store returns with its old records right after another disk was lost") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        LeaderSimulation simulation(seed, 4, 1);
        simulation.traffic(60);
        StoreMachine& dropped = simulation.anyMachine();
        simulation.stores.stop(dropped);
        simulation.trafficFor(Millis(8000) + simulation.drawSpan(Millis(20'000)));
        const auto runs = simulation.runsOfEnded();
        StoreMachine& second = simulation.anyMachine();
        simulation.stores.wipe(second);
        simulation.trafficFor(simulation.drawSpan(Millis(1500)));
        simulation.stores.start(dropped);
        simulation.trafficFor(Millis(3000));
        simulation.stores.start(second);
        simulation.trafficFor(Millis(3000));
        simulation.checkEnd();
        simulation.checkRuns(runs);
    }
}
