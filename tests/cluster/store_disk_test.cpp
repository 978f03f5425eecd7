// Stores whose disk fails for some seconds. Meanwhile such a store holds no copy and owns no partition; it
// recovers by itself, and the later loss of another store's disk loses no accepted message.
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
constexpr Millis kLossDetection{1000};  // until a lost store is noticed
constexpr Millis kLoadAfterLoss{6000};
constexpr Millis kMaxMessageDelay{14000};
constexpr Millis kDrainTime{15000};

struct DiskScenario {
    std::uint64_t seed = 0;
    WorldOptions options;
    bool recovers = true;         // the store's writes work again after a failure
    bool restarts_empty = true;   // the machine whose disk is lost starts again with an empty one
    bool fails_by_reads = false;  // reads fail instead of syncs
};

void submitOne(StoreWorld& cluster) {
    const double kind = cluster.world.chance();
    FakeEdge& edge = cluster.anyEdge();
    MessageContent content =
        kind < 0.4 ? cluster.content("lines", "k" + std::to_string(int(cluster.world.chance() * 6)))
                   : cluster.content("plain");
    // Delayed messages, so that many are still pending when the disk is lost.
    const auto longest = static_cast<double>(kMaxMessageDelay.count());
    if (kind > 0.6) content.delay_ms = static_cast<std::int64_t>(cluster.world.chance() * longest);
    if (kind > 0.9) content.callback_url = "http://10.9.0.7:80/done";
    edge.submit(content, 3, cluster.world.chance() < 0.03, cluster.world.chance() < 0.03);
}

void submitFor(StoreWorld& cluster, Millis duration) {
    const SteadyTime end = cluster.world.now() + duration;
    while (cluster.world.now() < end) {
        submitOne(cluster);
        cluster.world.run(Millis(static_cast<std::int64_t>(cluster.world.chance() * 120)));
    }
}

// Runs the scenario. Returns a description of the fault, or an empty string.
std::string runOutageThenLoss(const DiskScenario& scenario) {
    StoreWorld cluster(scenario.seed, scenario.options);
    const std::size_t stores = cluster.machines.size();
    StoreMachine& failing = *cluster.machines[scenario.seed % stores];
    StoreMachine& lost =
        *cluster.machines[(scenario.seed + 1 + scenario.seed / stores % (stores - 1)) % stores];
    failing.platter.recovers = scenario.recovers;
    submitFor(cluster, kLoadBeforeOutage + Millis(static_cast<std::int64_t>(cluster.world.chance() * 500)));

    (scenario.fails_by_reads ? failing.platter.unreadable : failing.platter.fails) = true;
    const std::size_t before = cluster.accepted();
    submitFor(cluster, kOutage);
    const std::size_t during = cluster.accepted() - before;
    failing.platter.fails = failing.platter.unreadable = false;
    submitFor(cluster, kOutageToLoss);
    const bool has_recovered = failing.process->disk->healthy() && !failing.disk_failed;

    cluster.wipe(lost);
    submitFor(cluster, kLossDetection);
    cluster.changeView();
    if (scenario.restarts_empty) {
        cluster.start(lost);
        cluster.changeView();
    }
    submitFor(cluster, kLoadAfterLoss);
    cluster.world.run(kMaxMessageDelay + kDrainTime);
    cluster.checkStates();
    if (!cluster.ledger.faults.empty()) return cluster.faultText();
    if (cluster.unfinished() > 0) return std::to_string(cluster.unfinished()) + " messages never completed";
    if (during < 10) return "too few messages were accepted while one disk failed";
    if (!has_recovered) return "the store did not recover";
    return {};
}

DiskScenario scenarioOf(std::uint64_t seed) {
    DiskScenario scenario;
    scenario.seed = seed;
    scenario.options.lost_answers = 0.03;
    scenario.options.failures = 0.05;
    scenario.options.stores = seed % 4 == 3 ? 5 : 3;
    scenario.options.tolerated = seed % 4 == 3 ? 2 : 1;
    scenario.restarts_empty = seed % 2 == 0;
    return scenario;
}

}  // namespace

TEST_CASE("a disk that fails for four seconds, and the loss of another store's disk seven seconds later") {
    const std::uint64_t runs = diskRunCount(60);
    std::size_t failed_runs = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        const std::string fault = runOutageThenLoss(scenarioOf(seed));
        if (!fault.empty()) ++failed_runs;
        INFO("seed " << seed);
        CHECK_MESSAGE(fault.empty(), fault);
    }
    MESSAGE(failed_runs << " of " << runs << " runs failed");
}

TEST_CASE("a disk that can't be read for four seconds: unreadable records are not treated as absent") {
    const std::uint64_t runs = diskRunCount(30);
    std::size_t failed_runs = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        DiskScenario scenario = scenarioOf(seed);
        scenario.fails_by_reads = true;
        const std::string fault = runOutageThenLoss(scenario);
        if (!fault.empty()) ++failed_runs;
        INFO("seed " << seed);
        CHECK_MESSAGE(fault.empty(), fault);
    }
    MESSAGE(failed_runs << " of " << runs << " runs failed");
}

TEST_CASE("the scenarios detect a store that never recovers and is not counted as lost") {
    constexpr std::uint64_t kRuns = 12;
    std::size_t failed_runs = 0;
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
        DiskScenario scenario = scenarioOf(seed);
        scenario.recovers = false;
        scenario.options.leader_sees_disks = false;
        if (!runOutageThenLoss(scenario).empty()) ++failed_runs;
    }
    CHECK(failed_runs == kRuns);
}
