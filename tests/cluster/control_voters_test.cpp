// Core machines that are replaced or added: they become voters, lost ones are voters no more, and the
// dispatchers follow.
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

TEST_CASE("a lost core machine is replaced in time, and a second loss is borne") {
    SteadyTime::duration longest{};
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        VotersWorld play(seed);
        play.startAll();
        play.world.run(Millis(4000));
        play.checkChange(1);
        play.core[seed % 3]->kill();
        play.world.run(Millis(1000));
        play.addEmpty();
        const SteadyTime began = play.world.now();
        CHECK(play.world.runUntil([&] { return play.runningMachinesVote(); }, Millis(2000)));
        longest = std::max(longest, play.world.now() - began);
        play.checkChange(2);
        play.core[(seed + 1) % 3]->kill();
        play.world.run(Millis(3000));
        play.checkChange(3);
    }
    MESSAGE("at most " << std::chrono::duration_cast<Millis>(longest).count() << " ms after its start");
}

TEST_CASE("a planned replacement: the new machine comes first") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        VotersWorld play(seed);
        play.startAll();
        play.world.run(Millis(4000));
        play.checkChange(1);
        play.addEmpty();
        play.world.run(Millis(1500));
        CoreMachine& old = *play.core[seed % 3];
        bool left = false;
        old.node().leave([&] { left = true; });
        REQUIRE(play.world.runUntil([&] { return left; }, Millis(1000)));
        old.kill();
        CHECK(play.world.runUntil([&] { return play.runningMachinesVote(); }, Millis(7500)));
        play.checkChange(2);
        play.core[(seed + 1) % 3]->kill();
        play.world.run(Millis(3000));
        play.checkChange(3);
    }
}

TEST_CASE("all machines of the first start are replaced in turn, and the dispatchers still follow") {
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        INFO("seed " << seed);
        VotersWorld play(seed);
        play.startAll();
        play.world.run(Millis(4000));
        for (std::size_t index = 0; index < 3; ++index) {
            play.checkChange(static_cast<std::int64_t>(index) + 1);
            play.core[index]->kill();
            play.world.run(Millis(1000));
            play.addEmpty();
            CHECK(play.world.runUntil([&] { return play.runningMachinesVote(); }, Millis(8000)));
            play.world.run(Millis(1000));
        }
        // The seeds of the dispatchers are all gone by now.
        play.checkChange(4);
        // They still ask their old seeds now and then, and only rarely.
        std::size_t asked_in_vain = 0;
        MemoryTransport dead(play.world, play.network, address(1));
        dead.serve([&](const Envelope&, const Responder&) { ++asked_in_vain; });
        play.world.run(Millis(12000));
        CHECK(asked_in_vain > 0);
        CHECK(asked_in_vain < 10);
        // A whole-core kill: the new voters come back with their disks and know each other.
        for (std::size_t index = 3; index < 6; ++index) play.core[index]->kill();
        play.world.run(Millis(800));
        for (std::size_t index = 3; index < 6; ++index) play.core[index]->start();
        play.world.run(Millis(4000));
        CHECK(play.read(*play.core[4]).body == configurationJson(4));
        CHECK(play.replace(*play.core[5], 4, configurationJson(5)) == 200);
    }
}

TEST_CASE("five core machines with three seeds: all become voters, and two losses are borne") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        VotersWorld play(seed, 5);
        for (auto& machine : play.core) machine->settings().tolerance.machines = 2;
        play.startAll();
        CHECK(play.world.runUntil([&] { return play.runningMachinesVote(); }, Millis(8000)));
        play.checkChange(1);
        play.core[seed % 5]->kill();
        play.core[(seed + 2) % 5]->kill();
        play.world.run(Millis(4000));
        play.checkChange(2);
        // Without new machines, the voters stay.
        CHECK(countOf(votersOf(play.anyRunning())) == 5);
        play.core[seed % 5]->wipe();
        play.core[seed % 5]->start();
        play.core[(seed + 2) % 5]->start();
        CHECK(play.world.runUntil([&] { return play.runningMachinesVote(); }, Millis(8000)));
        play.checkChange(3);
    }
}

TEST_CASE("a restart changes no voters, and a voter that was removed meanwhile finds out") {
    VotersWorld play(9);
    play.startAll();
    play.world.run(Millis(4000));
    CoreMachine& lost = *play.core[1];
    lost.kill();
    play.world.run(Millis(6000));
    CHECK(countOf(votersOf(*play.core[0])) == 3);
    CHECK(names(votersOf(*play.core[0]), lost.ip()));
    play.addEmpty();
    REQUIRE(play.world.runUntil([&] { return play.runningMachinesVote(); }, Millis(8000)));
    const std::string now = votersOf(*play.core[0]);
    // Its disk still says that it votes; it meets one machine that knows better.
    play.network.cutBoth(lost.ip(), play.core[2]->ip());
    play.network.cutBoth(lost.ip(), play.core[3]->ip());
    lost.start();
    CHECK(play.world.runUntil([&] { return votersOf(lost) == now; }, Millis(1500)));
    CHECK_FALSE(lost.votes());
    play.network.healAll();
    // It is a machine like any other now, and is taken as a voter again.
    CHECK(play.world.runUntil([&] { return play.runningMachinesVote(); }, Millis(6000)));
    play.checkChange(1);
}

TEST_CASE("one change adds or removes one machine, and only where the rest has a majority") {
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
    // A lost one goes first where another stands by, then that one comes.
    const VoterSet two_left{5, {address(1), address(2)}};
    CHECK(nextVoters(three, {one, two, third_gone, newcomer}, 1) == two_left);
    CHECK(nextVoters(three, {one, two, third_absent, newcomer}, 1) == two_left);
    CHECK(nextVoters(two_left, {one, two, newcomer}, 1) == VoterSet{6, {address(1), address(2), address(4)}});
    CHECK(nextVoters(four, {one, two, third_gone, newcomer}, 1) ==
          VoterSet{6, {address(1), address(2), address(4)}});
    // Not without a replacement, not below 2f, and not for a machine without data.
    CHECK_FALSE(nextVoters(three, {one, two, third_gone}, 1).has_value());
    CHECK_FALSE(nextVoters(three, {one, two, third_gone, unready}, 1).has_value());
    CHECK_FALSE(nextVoters(four, {one, two, third_gone, newcomer}, 2).has_value());
    CHECK_FALSE(nextVoters(two_left, {one, {address(2), false, true, false}, newcomer}, 1).has_value());
    // Two of four could not choose anything.
    const CoreObservation two_gone{address(2), false, true, false};
    CHECK_FALSE(nextVoters(three, {one, two_gone, third_gone, newcomer}, 1).has_value());
    CHECK_FALSE(nextVoters(four, {one, two_gone, third_gone, newcomer}, 1).has_value());
    // Never two at once.
    const VoterSet five{7, {address(1), address(2), address(3), address(4), address(5)}};
    CHECK(nextVoters(five, {one, two, third_gone, newcomer, {address(5), false, true, false}}, 1)
              ->addresses.size() == 4);
    // Where the rest bears another loss, a short absence changes nothing.
    const CoreObservation fifth{address(5), true, false, true};
    CHECK_FALSE(nextVoters(five, {one, two, third_absent, newcomer, fifth}, 1).has_value());
    CHECK(nextVoters(five, {one, two, third_gone, newcomer, fifth}, 1)->addresses.size() == 4);
    CHECK_FALSE(nextVoters(five, {one, two, third_gone, newcomer, fifth}, 2).has_value());
    const CoreObservation sixth{address(6), true, false, true};
    CHECK(nextVoters(five, {one, two, third_absent, newcomer, fifth, sixth}, 2)->addresses.size() == 4);
}

namespace {

CoreObservation standing(int index, const std::string& zone, const std::string& region = "r") {
    return {address(index), true, false, true, zone, region};
}

// Repeats nextVoters() until nothing changes.
VoterSet settled(VoterSet voters, const std::vector<CoreObservation>& machines, std::size_t tolerated,
                 const VoterSpread& spread) {
    for (int changes = 0; changes < 20; ++changes) {
        const auto next = nextVoters(voters, machines, tolerated, spread);
        if (!next) return voters;
        voters = *next;
    }
    FAIL("voters never settle");
    return voters;
}

bool holds(const VoterSet& voters, int index) {
    return std::find(voters.addresses.begin(), voters.addresses.end(), address(index)) !=
           voters.addresses.end();
}

}  // namespace

TEST_CASE("voters are spread so that any one zone may be lost") {
    const std::vector<CoreObservation> machines = {standing(1, "a"), standing(2, "a"), standing(3, "a"),
                                                   standing(4, "b"), standing(5, "c")};
    const VoterSet first{0, {address(1), address(2), address(3)}};
    const VoterSet anywhere = settled(first, machines, 1, {});
    CHECK(anywhere.addresses.size() == 5);
    const VoterSet spread = settled(first, machines, 1, {1, 0});
    CHECK(spread.addresses.size() == 3);
    CHECK(holds(spread, 4));
    CHECK(holds(spread, 5));
}

TEST_CASE("voters are spread so that any one region may be lost, and keep what machines may be lost") {
    const std::vector<CoreObservation> machines = {standing(1, "a", "x"), standing(2, "b", "x"),
                                                   standing(3, "c", "y"), standing(4, "d", "y"),
                                                   standing(5, "e", "z"), standing(6, "f", "x")};
    const VoterSet first{0, {address(1), address(2), address(6)}};
    const VoterSet spread = settled(first, machines, 2, {0, 1});
    CHECK(spread.addresses.size() == 5);
    CHECK(holds(spread, 1));
    CHECK(holds(spread, 2));
    CHECK_FALSE(holds(spread, 6));
}

TEST_CASE("where no choice of machines bears the loss of a zone, all become voters") {
    const std::vector<CoreObservation> machines = {standing(1, "a"), standing(2, "a"), standing(3, "b")};
    CHECK(settled({0, {address(1)}}, machines, 1, {1, 0}).addresses.size() == 3);
}

TEST_CASE("no voter goes while one is absent, or the zone of one is not known") {
    std::vector<CoreObservation> machines = {standing(1, "a"), standing(2, "a"), standing(3, "b"),
                                             standing(4, "c"), standing(5, "a")};
    const VoterSet all{3, {address(1), address(2), address(3), address(4), address(5)}};
    CHECK(nextVoters(all, machines, 1, {1, 0}).has_value());
    machines[2].zone.clear();
    CHECK_FALSE(nextVoters(all, machines, 1, {1, 0}).has_value());
    machines[2].zone = "b";
    machines[3].live = machines[3].ready = false;
    CHECK_FALSE(nextVoters(all, machines, 1, {1, 0}).has_value());
}
