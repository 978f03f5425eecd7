// Stores whose disk fails for some seconds: no copy and no owner while it does, they come back by themselves,
// and the loss of another disk afterwards loses nothing that was accepted.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/disk_run_count.hpp"
#include "tests/cluster/store_world_edge.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr Millis kLoadBeforeOutage{1500};
constexpr Millis kOutage{4000};
constexpr Millis kOutageToLoss{7000};   // from the end of the outage
constexpr Millis kLossDetection{1000};  // of a store that is gone
constexpr Millis kLoadAfterLoss{6000};
constexpr Millis kMaxMessageDelay{14000};
constexpr Millis kDrainTime{15000};

struct DiskScenario {
    std::uint64_t seed = 0;
    WorldOptions options;
    bool recovers = true;         // the store's writes, after a failure
    bool restarts_empty = true;   // the machine whose disk is lost
    bool fails_by_reads = false;  // instead of syncs
};

void submitOne(StoreWorld& play) {
    const double kind = play.world.chance();
    FakeEdge& edge = play.anyEdge();
    MessageContent content = kind < 0.4
                                 ? play.content("lines", "k" + std::to_string(int(play.world.chance() * 6)))
                                 : play.content("plain");
    // Many are still to run when the disk is lost.
    const auto longest = static_cast<double>(kMaxMessageDelay.count());
    if (kind > 0.6) content.delay_ms = static_cast<std::int64_t>(play.world.chance() * longest);
    if (kind > 0.9) content.callback_url = "http://10.9.0.7:80/done";
    edge.submit(content, 3, play.world.chance() < 0.03, play.world.chance() < 0.03);
}

void submitFor(StoreWorld& play, Millis duration) {
    const SteadyTime end = play.world.now() + duration;
    while (play.world.now() < end) {
        submitOne(play);
        play.world.run(Millis(static_cast<std::int64_t>(play.world.chance() * 120)));
    }
}

// What broke; empty: nothing.
std::string runOutageThenLoss(const DiskScenario& of) {
    StoreWorld play(of.seed, of.options);
    const std::size_t stores = play.machines.size();
    StoreMachine& failing = *play.machines[of.seed % stores];
    StoreMachine& lost = *play.machines[(of.seed + 1 + of.seed / stores % (stores - 1)) % stores];
    failing.platter.recovers = of.recovers;
    submitFor(play, kLoadBeforeOutage + Millis(static_cast<std::int64_t>(play.world.chance() * 500)));

    (of.fails_by_reads ? failing.platter.unreadable : failing.platter.fails) = true;
    const std::size_t before = play.accepted();
    submitFor(play, kOutage);
    const std::size_t during = play.accepted() - before;
    failing.platter.fails = failing.platter.unreadable = false;
    submitFor(play, kOutageToLoss);
    const bool is_back = failing.process->disk->healthy() && !failing.disk_failed;

    play.wipe(lost);
    submitFor(play, kLossDetection);
    play.changeView();
    if (of.restarts_empty) {
        play.start(lost);
        play.changeView();
    }
    submitFor(play, kLoadAfterLoss);
    play.world.run(kMaxMessageDelay + kDrainTime);
    play.checkStates();
    if (!play.ledger.faults.empty()) return play.faultText();
    if (play.unfinished() > 0) return std::to_string(play.unfinished()) + " messages never ended";
    if (during < 10) return "nothing was accepted while one disk failed";
    if (!is_back) return "the store does not come back";
    return {};
}

DiskScenario scenarioOf(std::uint64_t seed) {
    DiskScenario play;
    play.seed = seed;
    play.options.lost_answers = 0.03;
    play.options.failures = 0.05;
    play.options.stores = seed % 4 == 3 ? 5 : 3;
    play.options.tolerated = seed % 4 == 3 ? 2 : 1;
    play.restarts_empty = seed % 2 == 0;
    return play;
}

}  // namespace

TEST_CASE("a disk that fails for four seconds, and the loss of another store's disk seven seconds later") {
    const std::uint64_t plays = diskRunCount(60);
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= plays; ++seed) {
        const std::string fault = runOutageThenLoss(scenarioOf(seed));
        if (!fault.empty()) ++broken;
        INFO("seed " << seed);
        CHECK_MESSAGE(fault.empty(), fault);
    }
    MESSAGE(broken << " of " << plays << " plays broken");
}

TEST_CASE("the same where the disk can't be read for four seconds: nothing unreadable counts as absent") {
    const std::uint64_t plays = diskRunCount(30);
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= plays; ++seed) {
        DiskScenario play = scenarioOf(seed);
        play.fails_by_reads = true;
        const std::string fault = runOutageThenLoss(play);
        if (!fault.empty()) ++broken;
        INFO("seed " << seed);
        CHECK_MESSAGE(fault.empty(), fault);
    }
    MESSAGE(broken << " of " << plays << " plays broken");
}

TEST_CASE("the same plays find a store that never comes back and that nobody counts as lost") {
    constexpr std::uint64_t kPlays = 12;
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= kPlays; ++seed) {
        DiskScenario play = scenarioOf(seed);
        play.recovers = false;
        play.options.leader_sees_disks = false;
        if (!runOutageThenLoss(play).empty()) ++broken;
    }
    CHECK(broken == kPlays);
}
