// Replacement and addition of core machines: new machines become voters, lost ones are removed from the voter
// set, and the edges and stores follow.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>

#include "cluster/control/voter_change.hpp"
#include "tests/cluster/control_voters_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

NodeAddress address(int number) {
    return {"10.0.0." + std::to_string(number), kFirstPort};
}

}  // namespace

TEST_CASE("a lost core machine is replaced in time, and a second loss is tolerated") {
    SteadyTime::duration longest{};
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        VotersWorld sim(seed);
        sim.startAll();
        sim.world.run(Millis(4000));
        sim.checkChange(1);
        sim.core[seed % 3]->kill();
        sim.world.run(Millis(1000));
        sim.addEmptyMachine();
        const SteadyTime began = sim.world.now();
        CHECK(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, Millis(2000)));
        longest = std::max(longest, sim.world.now() - began);
        sim.checkChange(2);
        sim.core[(seed + 1) % 3]->kill();
        sim.world.run(Millis(3000));
        sim.checkChange(3);
    }
    MESSAGE("replaced at most " << std::chrono::duration_cast<Millis>(longest).count()
                                << " ms after the start of the new machine");
}

TEST_CASE("a planned replacement: the new machine starts before the old one leaves") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        VotersWorld sim(seed);
        sim.startAll();
        sim.world.run(Millis(4000));
        sim.checkChange(1);
        sim.addEmptyMachine();
        sim.world.run(Millis(1500));
        CoreMachine& old = *sim.core[seed % 3];
        bool left = false;
        old.node().leave([&] { left = true; });
        REQUIRE(sim.world.runUntil([&] { return left; }, Millis(1000)));
        old.kill();
        CHECK(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, Millis(7500)));
        sim.checkChange(2);
        sim.core[(seed + 1) % 3]->kill();
        sim.world.run(Millis(3000));
        sim.checkChange(3);
    }
}

TEST_CASE("all initial machines are replaced in turn, and the clients still follow") {
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        INFO("seed " << seed);
        VotersWorld sim(seed);
        sim.startAll();
        sim.world.run(Millis(4000));
        for (std::size_t index = 0; index < 3; ++index) {
            sim.checkChange(static_cast<std::int64_t>(index) + 1);
            sim.core[index]->kill();
            sim.world.run(Millis(1000));
            sim.addEmptyMachine();
            CHECK(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, Millis(8000)));
            sim.world.run(Millis(1000));
        }
        // None of the clients' seeds exists any more.
        sim.checkChange(4);
        // Clients still contact their old seeds occasionally, but rarely.
        std::size_t asked_in_vain = 0;
        MemoryTransport dead(sim.world, sim.network, address(1));
        dead.serve([&](const Envelope&, const Responder&) { ++asked_in_vain; });
        sim.world.run(Millis(12000));
        CHECK(asked_in_vain > 0);
        CHECK(asked_in_vain < 10);
        // All core machines are killed: the new voters restart with their disks and know each other.
        for (std::size_t index = 3; index < 6; ++index) sim.core[index]->kill();
        sim.world.run(Millis(800));
        for (std::size_t index = 3; index < 6; ++index) sim.core[index]->start();
        sim.world.run(Millis(4000));
        CHECK(sim.read(*sim.core[4]).body == configurationJson(4));
        CHECK(sim.replace(*sim.core[5], 4, configurationJson(5)) == 200);
    }
}

TEST_CASE("five core machines with three seeds: all become voters, and two losses are tolerated") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        VotersWorld sim(seed, 5);
        for (auto& machine : sim.core) machine->settings().tolerance.machines = 2;
        sim.startAll();
        CHECK(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, Millis(8000)));
        sim.checkChange(1);
        sim.core[seed % 5]->kill();
        sim.core[(seed + 2) % 5]->kill();
        sim.world.run(Millis(4000));
        sim.checkChange(2);
        // Without new machines the voter set stays as it is.
        CHECK(countVoters(votersOf(sim.anyRunning())) == 5);
        sim.core[seed % 5]->wipe();
        sim.core[seed % 5]->start();
        sim.core[(seed + 2) % 5]->start();
        CHECK(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, Millis(8000)));
        sim.checkChange(3);
    }
}

TEST_CASE("a restart changes no voters, and a voter that was removed while down learns of its removal") {
    VotersWorld sim(9);
    sim.startAll();
    sim.world.run(Millis(4000));
    CoreMachine& lost = *sim.core[1];
    lost.kill();
    sim.world.run(Millis(6000));
    CHECK(countVoters(votersOf(*sim.core[0])) == 3);
    CHECK(listsVoter(votersOf(*sim.core[0]), lost.ip()));
    sim.addEmptyMachine();
    REQUIRE(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, Millis(8000)));
    const std::string now = votersOf(*sim.core[0]);
    // Its disk still names it as a voter; it can reach only one machine that knows the newer set.
    sim.network.cutBoth(lost.ip(), sim.core[2]->ip());
    sim.network.cutBoth(lost.ip(), sim.core[3]->ip());
    lost.start();
    CHECK(sim.world.runUntil([&] { return votersOf(lost) == now; }, Millis(1500)));
    CHECK_FALSE(lost.votes());
    sim.network.healAll();
    // It is now an ordinary machine and becomes a voter again.
    CHECK(sim.world.runUntil([&] { return sim.runningMachinesVote(); }, Millis(6000)));
    sim.checkChange(1);
}

TEST_CASE("one change adds or removes one machine, and only if the remaining voters have a majority") {
    const VoterSet three{4, {address(1), address(2), address(3)}};
    const VoterSet four{5, {address(1), address(2), address(3), address(4)}};
    const CoreObservation one{address(1), true, false, true};
    const CoreObservation two{address(2), true, false, true};
    const CoreObservation third{address(3), true, false, true};
    const CoreObservation third_absent{address(3), false, false, false};
    const CoreObservation third_gone{address(3), false, true, false};
    const CoreObservation newcomer{address(4), true, false, true};
    const CoreObservation unready{address(4), true, false, false};
    CHECK(nextVoters(three, {one, two, third, newcomer}, 1) == four);
    // If another machine is ready, the lost voter is removed first, and then the ready machine is added.
    const VoterSet two_left{5, {address(1), address(2)}};
    CHECK(nextVoters(three, {one, two, third_gone, newcomer}, 1) == two_left);
    CHECK(nextVoters(three, {one, two, third_absent, newcomer}, 1) == two_left);
    CHECK(nextVoters(two_left, {one, two, newcomer}, 1) == VoterSet{6, {address(1), address(2), address(4)}});
    CHECK(nextVoters(four, {one, two, third_gone, newcomer}, 1) ==
          VoterSet{6, {address(1), address(2), address(4)}});
    // Not without a replacement, not below 2f voters, and not for a machine without data.
    CHECK_FALSE(nextVoters(three, {one, two, third_gone}, 1).has_value());
    CHECK_FALSE(nextVoters(three, {one, two, third_gone, unready}, 1).has_value());
    CHECK_FALSE(nextVoters(four, {one, two, third_gone, newcomer}, 2).has_value());
    CHECK_FALSE(nextVoters(two_left, {one, {address(2), false, true, false}, newcomer}, 1).has_value());
    // Two of four are no majority, so no later change could be made.
    const CoreObservation two_gone{address(2), false, true, false};
    CHECK_FALSE(nextVoters(three, {one, two_gone, third_gone, newcomer}, 1).has_value());
    CHECK_FALSE(nextVoters(four, {one, two_gone, third_gone, newcomer}, 1).has_value());
    // Never two machines at once.
    const VoterSet five{7, {address(1), address(2), address(3), address(4), address(5)}};
    CHECK(nextVoters(five, {one, two, third_gone, newcomer, {address(5), false, true, false}}, 1)
              ->addresses.size() == 4);
    // If the others tolerate another loss, a short absence changes nothing.
    const CoreObservation fifth{address(5), true, false, true};
    CHECK_FALSE(nextVoters(five, {one, two, third_absent, newcomer, fifth}, 1).has_value());
    CHECK(nextVoters(five, {one, two, third_gone, newcomer, fifth}, 1)->addresses.size() == 4);
    CHECK_FALSE(nextVoters(five, {one, two, third_gone, newcomer, fifth}, 2).has_value());
    const CoreObservation sixth{address(6), true, false, true};
    CHECK(nextVoters(five, {one, two, third_absent, newcomer, fifth, sixth}, 2)->addresses.size() == 4);
}

namespace {

CoreObservation readyMachineIn(int index, const std::string& zone, const std::string& region = "r") {
    return {address(index), true, false, true, zone, region};
}

// Repeats nextVoters() until it proposes no further change.
VoterSet convergedVoters(VoterSet voters, const std::vector<CoreObservation>& machines,
                         std::size_t tolerated_machines, const DomainTolerance& tolerated_domains) {
    for (int changes = 0; changes < 20; ++changes) {
        const auto next = nextVoters(voters, machines, tolerated_machines, tolerated_domains);
        if (!next) return voters;
        voters = *next;
    }
    FAIL("the voter set does not converge");
    return voters;
}

bool holds(const VoterSet& voters, int index) {
    return std::find(voters.addresses.begin(), voters.addresses.end(), address(index)) !=
           voters.addresses.end();
}

}  // namespace

TEST_CASE("voters are spread so that any one zone may be lost") {
    const std::vector<CoreObservation> machines = {readyMachineIn(1, "a"), readyMachineIn(2, "a"),
                                                   readyMachineIn(3, "a"), readyMachineIn(4, "b"),
                                                   readyMachineIn(5, "c")};
    const VoterSet first{0, {address(1), address(2), address(3)}};
    const VoterSet anywhere = convergedVoters(first, machines, 1, {});
    CHECK(anywhere.addresses.size() == 5);
    const VoterSet tolerated_domains = convergedVoters(first, machines, 1, {1, 0});
    CHECK(tolerated_domains.addresses.size() == 3);
    CHECK(holds(tolerated_domains, 4));
    CHECK(holds(tolerated_domains, 5));
}

TEST_CASE(
    "voters are spread so that any one region may be lost, and still tolerate the loss of two machines") {
    const std::vector<CoreObservation> machines = {readyMachineIn(1, "a", "x"), readyMachineIn(2, "b", "x"),
                                                   readyMachineIn(3, "c", "y"), readyMachineIn(4, "d", "y"),
                                                   readyMachineIn(5, "e", "z"), readyMachineIn(6, "f", "x")};
    const VoterSet first{0, {address(1), address(2), address(6)}};
    const VoterSet tolerated_domains = convergedVoters(first, machines, 2, {0, 1});
    CHECK(tolerated_domains.addresses.size() == 5);
    CHECK(holds(tolerated_domains, 1));
    CHECK(holds(tolerated_domains, 2));
    CHECK_FALSE(holds(tolerated_domains, 6));
}

TEST_CASE("if no choice of machines survives the loss of a zone, all become voters") {
    const std::vector<CoreObservation> machines = {readyMachineIn(1, "a"), readyMachineIn(2, "a"),
                                                   readyMachineIn(3, "b")};
    CHECK(convergedVoters({0, {address(1)}}, machines, 1, {1, 0}).addresses.size() == 3);
}

TEST_CASE("no voter is removed while one is absent, or while the zone of one is unknown") {
    std::vector<CoreObservation> machines = {readyMachineIn(1, "a"), readyMachineIn(2, "a"),
                                             readyMachineIn(3, "b"), readyMachineIn(4, "c"),
                                             readyMachineIn(5, "a")};
    const VoterSet all{3, {address(1), address(2), address(3), address(4), address(5)}};
    CHECK(nextVoters(all, machines, 1, {1, 0}).has_value());
    machines[2].zone.clear();
    CHECK_FALSE(nextVoters(all, machines, 1, {1, 0}).has_value());
    machines[2].zone = "b";
    machines[3].live = machines[3].ready = false;
    CHECK_FALSE(nextVoters(all, machines, 1, {1, 0}).has_value());
}
