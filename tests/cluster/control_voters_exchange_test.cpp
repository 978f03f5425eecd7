// Replacements of voters that do not complete in the simplest way: the removed voter comes back, the new
// machine fails, the lost voter was only cut off, the replacement was planned, two voters are replaced at
// once, or all are restarted in turn.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/control_loss_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr Millis kNoVoteAfterStart{1500};  // a machine that has just started grants no vote for this long

// All running machines vote within `within`; from `moment` on, the loss of any one of them is tolerated.
void checkSurvivesLoss(LossWorld& sim, Millis within, SteadyTime moment, std::size_t number) {
    CHECK(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, within));
    sim.runUntilTime(moment);
    CoreMachine& victim = sim.randomRunning();
    sim.injectLoss(victim, kLosses[number % kLosses.size()]);
    sim.checkService(&victim);
}

// The smallest number of voters in any voter set known to a running machine.
std::size_t fewestKnownVoters(LossWorld& sim) {
    std::size_t fewest = sim.core.size();
    for (const auto& machine : sim.core) {
        if (machine->runs()) fewest = std::min(fewest, countVoters(votersOf(*machine)));
    }
    return fewest;
}

}  // namespace

TEST_CASE("the lost machine comes back with its disk at any moment of its replacement") {
    for (std::size_t number = 0; number < runCount(40); ++number) {
        INFO("run " << number);
        LossWorld sim(20000 + number);
        sim.network.jitter = kJitters[number % kJitters.size()];
        sim.begin();
        CoreMachine& lost = number % 2 == 0 ? *sim.leader() : sim.follower();
        CoreMachine& added = sim.replaceLost(lost);
        sim.world.runUntil([&] { return LossWorld::hasRecovered(added) && sim.leader() != nullptr; },
                           Millis(6000));
        sim.world.run(Millis(static_cast<std::int64_t>(number / 2 % 240)));
        lost.start();
        // The new machine may be lost permanently at that moment or shortly after.
        const bool new_one_dies = number / 2 % 3 != 0;
        if (new_one_dies) sim.world.run(sim.randomSpan(100));
        if (new_one_dies) added.kill();
        checkSurvivesLoss(sim, kReturnGrace, sim.world.now() + kReturnGrace, number / 6);
    }
}

TEST_CASE("the new machine fails right after the lost one was removed, and the replacement is resumed") {
    std::size_t removed = 0;
    for (std::size_t number = 0; number < runCount(40); ++number) {
        INFO("run " << number);
        LossWorld sim(30000 + number);
        sim.network.jitter = kJitters[number % kJitters.size()];
        sim.begin();
        CoreMachine& lost = number % 2 == 0 ? *sim.leader() : sim.follower();
        CoreMachine& added = sim.replaceLost(lost);
        removed += sim.world.runUntil([&] { return fewestKnownVoters(sim) == 2; }, Millis(5000)) ? 1 : 0;
        sim.world.run(Millis(static_cast<std::int64_t>(number / 2 % 20)));
        added.kill();
        CHECK(sim.makeChange(kChangeTimeout));
        sim.world.run(sim.randomSpan(3000));
        // Either the lost machine returns, or another empty one is added.
        if (number / 2 % 2 == 0)
            lost.start();
        else
            sim.addEmptyMachine();
        checkSurvivesLoss(sim, kReturnGrace, sim.world.now() + kReturnGrace, number / 4);
    }
    // In the other runs the new machine was ready, and therefore added, before the lost one counted as
    // absent.
    CHECK(removed > runCount(40) / 2);
}

TEST_CASE("a voter that was only cut off while another machine was ready comes back as an additional voter") {
    for (std::size_t number = 0; number < runCount(40); ++number) {
        INFO("run " << number);
        LossWorld sim(40000 + number);
        sim.network.jitter = kJitters[number % kJitters.size()];
        sim.begin();
        CoreMachine& cut_off = number % 2 == 0 ? *sim.leader() : sim.follower();
        sim.network.isolate(cut_off.ip());
        sim.world.run(sim.randomSpan(1200));
        sim.addEmptyMachine();
        sim.world.run(Millis(1000) + sim.randomSpan(2000));
        CHECK(sim.makeChange(kChangeTimeout));
        sim.network.healAll();
        checkSurvivesLoss(sim, kReturnGrace, sim.world.now() + kReturnGrace, number / 2);
        CHECK(sim.core.size() == 4);
    }
}

TEST_CASE("a planned replacement restores redundancy 1.5 s after the old machine stops") {
    Durations replaced;
    for (std::size_t number = 0; number < runCount(40); ++number) {
        INFO("run " << number);
        LossWorld sim(50000 + number);
        sim.network.jitter = kJitters[number % kJitters.size()];
        sim.begin();
        CoreMachine& old = number % 2 == 0 ? *sim.leader() : sim.follower();
        sim.addEmptyMachine();
        const SteadyTime started = sim.world.now();
        // The new machine may be a voter by then, or still be recovering.
        sim.world.run(sim.randomSpan(1200));
        const auto left = std::make_shared<bool>(false);
        old.node().leave([left] { *left = true; });
        REQUIRE(sim.world.runUntil([&] { return *left; }, Millis(1000)));
        old.kill();
        const SteadyTime ended = sim.world.now();
        // A machine grants no vote to a leader until 1.5 s after its start.
        const SteadyTime redundant = std::max(ended, started + kNoVoteAfterStart) + kRedundancyRestoreTime;
        CHECK(sim.world.runUntil([&] { return sim.runningMachinesVote(); },
                                 Millis(millisBetween(ended, redundant))));
        replaced.add(millisBetween(ended, sim.world.now()));
        checkSurvivesLoss(sim, Millis(1), redundant, number / 2);
    }
    MESSAGE("from the stop of the old machine to the end of the replacement: " << replaced.text());
}

TEST_CASE("two of five are lost and replaced at once, and two more losses are tolerated 1.5 s later") {
    Durations replaced;
    for (std::size_t number = 0; number < runCount(40); ++number) {
        INFO("run " << number);
        LossWorld sim(60000 + number, 5);
        for (auto& machine : sim.core) machine->settings().tolerance.machines = 2;
        sim.network.jitter = kJitters[number % kJitters.size()];
        sim.begin();
        REQUIRE(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, Millis(4000)));
        CoreMachine& first = number % 2 == 0 ? *sim.leader() : sim.follower();
        first.kill();
        sim.randomRunning().kill();
        sim.world.run(Millis(1000));
        CoreMachine& one = sim.addEmptyMachine();
        sim.world.run(sim.randomSpan(300));
        CoreMachine& other = sim.addEmptyMachine();
        REQUIRE(sim.world.runUntil(
            [&] { return LossWorld::hasRecovered(one) && LossWorld::hasRecovered(other); }, Millis(4000)));
        const SteadyTime recovered = sim.world.now();
        CHECK(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, kRedundancyRestoreTime));
        replaced.add(millisBetween(recovered, sim.world.now()));
        sim.runUntilTime(recovered + kRedundancyRestoreTime);
        CoreMachine& victim = sim.randomRunning();
        sim.injectLoss(victim, kLosses[number / 2 % kLosses.size()]);
        sim.randomRunning(&victim).kill();
        sim.checkService(&victim);
    }
    MESSAGE("from recovery of the new machine to the end of the replacement: " << replaced.text());
}

TEST_CASE(
    "of five, the leader is lost for good at any step of a replacement, and a third loss is tolerated") {
    for (std::size_t number = 0; number < runCount(40); ++number) {
        INFO("run " << number);
        LossWorld sim(90000 + number, 5);
        for (auto& machine : sim.core) machine->settings().tolerance.machines = 2;
        sim.network.jitter = kJitters[number % kJitters.size()];
        sim.begin();
        REQUIRE(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, Millis(4000)));
        CoreMachine& added = sim.replaceLost(number % 2 == 0 ? *sim.leader() : sim.follower());
        sim.world.runUntil([&] { return LossWorld::hasRecovered(added) && sim.leader() != nullptr; },
                           Millis(6000));
        sim.world.run(Millis(static_cast<std::int64_t>(number / 2 % 240)));
        REQUIRE(sim.leader() != nullptr);
        sim.leader()->kill();
        CHECK(sim.makeChange(kChangeTimeout));
        // The set has five voters again: the lost leader, which was not replaced, and the four running
        // machines.
        const auto all_vote = [&] {
            return std::all_of(sim.core.begin(), sim.core.end(), [](const auto& machine) {
                return !machine->runs() || (machine->votes() && countVoters(votersOf(*machine)) == 5);
            });
        };
        CHECK(sim.world.runUntil(all_vote, kReturnGrace));
        CoreMachine& victim = sim.randomRunning();
        sim.injectLoss(victim, kLosses[number / 2 % kLosses.size()]);
        sim.checkService(&victim);
    }
}

TEST_CASE("the next loss is tolerated 1.5 s after a machine that lost its disk has recovered") {
    for (std::size_t number = 0; number < runCount(40); ++number) {
        INFO("run " << number);
        LossWorld sim(70000 + number);
        sim.network.jitter = kJitters[number % kJitters.size()];
        sim.begin();
        CoreMachine& repaired = number % 2 == 0 ? *sim.leader() : sim.follower();
        repaired.kill();
        repaired.wipe();
        sim.world.run(Millis(100) + sim.randomSpan(4000));
        repaired.start();
        REQUIRE(sim.world.runUntil([&] { return LossWorld::hasRecovered(repaired); }, Millis(4000)));
        checkSurvivesLoss(sim, kRedundancyRestoreTime, sim.world.now() + kRedundancyRestoreTime, number / 2);
    }
}

TEST_CASE("machines restarted in turn remain the voters, and the next loss is tolerated") {
    for (std::size_t number = 0; number < runCount(40); ++number) {
        INFO("run " << number);
        LossWorld sim(80000 + number, number % 2 == 0 ? 3 : 5);
        sim.network.jitter = kJitters[number % kJitters.size()];
        sim.begin();
        REQUIRE(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, Millis(4000)));
        for (auto& machine : sim.core) {
            const auto left = std::make_shared<bool>(false);
            machine->node().leave([left] { *left = true; });
            REQUIRE(sim.world.runUntil([&] { return *left; }, Millis(1000)));
            machine->kill();
            sim.world.run(Millis(300) + sim.randomSpan(2500));
            CHECK(sim.makeChange(kChangeTimeout));
            machine->start();
            sim.world.run(kReturnGrace);
            CHECK(sim.runningMachinesVote());
        }
        checkSurvivesLoss(sim, Millis(1), sim.world.now(), number / 2);
    }
}
