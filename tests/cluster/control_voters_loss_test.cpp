// A second loss after a core machine was lost for good and replaced, at many moments: configuration changes
// are accepted again and nothing acknowledged is lost. AMBERSWITCH_VOTER_PLAYS sets the number of runs of
// each kind.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/control_loss_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

TEST_CASE("a second loss is tolerated 1.5 s after the replacement of the first one has recovered") {
    Durations replaced;
    for (std::size_t number = 0; number < runCount(160); ++number) {
        INFO("run " << number);
        LossWorld sim(1000 + number);
        sim.network.jitter = kJitters[number / 24 % kJitters.size()];
        sim.begin();
        const bool leader_first = number % 2 == 0;
        const Loss loss = kLosses[number / 2 % kLosses.size()];
        CoreMachine& added = sim.replaceLost(leader_first ? *sim.leader() : sim.follower());
        const SteadyTime started = sim.world.now();
        REQUIRE(sim.world.runUntil([&] { return LossWorld::hasRecovered(added); }, Millis(4000)));
        const SteadyTime recovered = sim.world.now();
        const bool redundant =
            sim.world.runUntil([&] { return sim.runningMachinesVote(); }, kRedundancyRestoreTime);
        CHECK(redundant);
        if (redundant) replaced.add(millisBetween(recovered, sim.world.now()));
        // At the earliest allowed moment, some time later, or at the end of the grace period of the new
        // machine.
        SteadyTime second = recovered + kRedundancyRestoreTime;
        if (number / 8 % 3 == 1) second += sim.randomSpan(1500);
        if (number / 8 % 3 == 2) second = started + kReturnGrace;
        sim.runUntilTime(second);
        CoreMachine& victim = sim.randomRunning();
        sim.injectLoss(victim, loss);
        sim.checkService(&victim);
    }
    MESSAGE("from recovery of the new machine to the end of the replacement: " << replaced.text());
}

TEST_CASE("the loss of the leader at any step of a voter replacement only delays the replacement") {
    Durations restored_after;
    for (std::size_t number = 0; number < runCount(160); ++number) {
        INFO("run " << number);
        LossWorld sim(5000 + number);
        sim.network.jitter = kJitters[number / 24 % kJitters.size()];
        sim.begin();
        CoreMachine& added = sim.replaceLost(number % 2 == 0 ? *sim.leader() : sim.follower());
        sim.world.runUntil([&] { return LossWorld::hasRecovered(added) && sim.leader() != nullptr; },
                           Millis(6000));
        // The replacement takes about 100 ms from here, or from the next evaluation by the leader.
        sim.world.run(Millis(static_cast<std::int64_t>(number / 2 % 240)));
        CoreMachine* driver = sim.leader();
        REQUIRE(driver != nullptr);
        const Millis away = Millis(300) + sim.randomSpan(2500);
        const std::size_t kind = number / 4 % 3;
        if (kind == 0) driver->kill();
        if (kind == 1) sim.network.isolate(driver->ip());
        if (kind == 2) driver->freeze(away);
        sim.world.run(away);
        if (kind == 0) driver->start();
        sim.network.healAll();
        const SteadyTime returned = sim.world.now();
        CHECK(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, kReturnGrace));
        restored_after.add(millisBetween(returned, sim.world.now()));
        sim.runUntilTime(returned + kReturnGrace);
        CoreMachine& victim = sim.randomRunning();
        sim.injectLoss(victim, kLosses[number / 12 % kLosses.size()]);
        sim.checkService(&victim);
    }
    MESSAGE("from the return of the leader to the end of the replacement: " << restored_after.text());
}
