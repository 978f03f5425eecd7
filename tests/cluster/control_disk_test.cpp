// Core machines whose disk fails for some seconds: they do not vote meanwhile, return without intervention,
// and losing another machine afterwards loses nothing that was acknowledged.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/control_world.hpp"
#include "tests/cluster/disk_run_count.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr Millis kOutage{4000};
constexpr Millis kOutageToLoss{7000};  // from the end of the outage

// An operator that bases each change on what it last read, and remembers what was acknowledged.
class Operator {
public:
    explicit Operator(ControlWorld& sim) : play_(sim) {}

    // Returns whether the change was acknowledged.
    bool requestChange(CoreMachine& machine) {
        const std::int64_t next = last_tried_ + 1;
        const int status = play_.replace(machine, base_, configurationJson(next));
        last_tried_ = next;
        if (status == 200) base_ = acknowledged_ = next;
        if (status != 200) readBase(machine);
        return status == 200;
    }
    // Whether the machine serves a configuration that is not older than the last acknowledged one.
    bool servesAcknowledged(CoreMachine& machine) {
        const HttpResponse answer = play_.read(machine);
        return answer.status == 200 && generationOf(answer) >= acknowledged_;
    }
    std::int64_t acknowledged() const { return acknowledged_; }

private:
    static std::int64_t generationOf(const HttpResponse& answer) {
        const std::string name = "\"generation\":";
        const std::size_t at = answer.body.find(name);
        return at == std::string::npos ? -1 : std::stoll(answer.body.substr(at + name.size()));
    }
    // Reads the outcome of a change that was not answered.
    void readBase(CoreMachine& machine) {
        const HttpResponse answer = play_.read(machine);
        if (answer.status == 200) base_ = std::max(base_, generationOf(answer));
    }

    ControlWorld& play_;
    std::int64_t base_ = 0;
    std::int64_t last_tried_ = 0;
    std::int64_t acknowledged_ = 0;
};

struct DiskRun {
    std::uint64_t seed = 0;
    std::size_t failing = 0;      // the machine whose disk fails
    std::size_t lost = 0;         // the machine that is lost later
    Millis before{0};             // from a stable cluster to the outage
    bool restarts_empty = false;  // the lost machine restarts without its data
};

// Returns a description of the failure; empty if there is none.
std::string runOutageThenLoss(const DiskRun& run) {
    ControlWorld sim(run.seed);
    sim.startAll();
    if (!sim.world.runUntil([&sim] { return sim.leader() != nullptr; }, Millis(5000))) return "no leader";
    sim.world.run(Millis(1000) + run.before);
    Operator client(sim);
    if (!client.requestChange(*sim.core[0])) return "the first change was not accepted";

    CoreMachine& failing = *sim.core[run.failing];
    failing.disk().fails = true;
    const SteadyTime end = sim.world.now() + kOutage;
    std::size_t orders = 0;
    while (sim.world.now() < end) {
        client.requestChange(*sim.core[orders++ % sim.core.size()]);
        sim.world.run(Millis(static_cast<std::int64_t>(50 + sim.world.chance() * 250)));
    }
    const std::int64_t taken_during = client.acknowledged();
    failing.disk().fails = false;
    sim.world.run(kOutageToLoss);
    if (taken_during < 3) return "changes were not accepted while one disk failed";
    const bool votes_again = failing.votes();

    client.requestChange(*sim.core[run.failing]);
    CoreMachine& lost = *sim.core[run.lost];
    lost.kill();
    lost.wipe();
    if (run.restarts_empty) lost.start();
    sim.world.run(Millis(4000));
    for (auto& machine : sim.core) {
        const bool asked = machine->runs() && (machine.get() != &lost);
        if (asked && !client.servesAcknowledged(*machine)) return "what was acknowledged is lost";
        if (asked && !client.requestChange(*machine)) return "changes are no longer accepted";
    }
    if (!votes_again) return "the machine does not vote again";
    return {};
}

std::size_t runMany(std::uint64_t runs) {
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        DiskRun sim;
        sim.seed = seed;
        sim.failing = seed % 3;
        sim.lost = (sim.failing + 1 + seed / 3 % 2) % 3;
        sim.before = Millis(static_cast<std::int64_t>(seed * 37 % 1000));
        sim.restarts_empty = seed / 6 % 2 == 0;
        const std::string fault = runOutageThenLoss(sim);
        if (!fault.empty()) ++broken;
        INFO("seed " << seed);
        CHECK_MESSAGE(fault.empty(), fault);
    }
    return broken;
}

}  // namespace

TEST_CASE("a disk that fails for four seconds, and the loss of another core machine seven seconds later") {
    const std::uint64_t runs = diskRunCount(60);
    const std::size_t broken = runMany(runs);
    MESSAGE(broken << " of " << runs << " runs failed");
    CHECK(broken == 0);
}

TEST_CASE(
    "a core machine whose disk fails does not vote, and votes again within two seconds after it works") {
    ControlWorld sim(5);
    sim.startAll();
    REQUIRE(sim.world.runUntil([&sim] { return sim.leader() != nullptr; }, Millis(5000)));
    sim.world.run(Millis(1000));
    CoreMachine& failing = *sim.core[1];
    CHECK(failing.statusHas("\"diskWorks\":true"));
    failing.disk().fails = true;
    CHECK(sim.replace(*sim.core[0], 0, configurationJson(1)) == 200);
    sim.world.run(Millis(600));
    CHECK_FALSE(failing.votes());
    CHECK(failing.statusHas("\"diskWorks\":false"));
    CHECK(sim.core[0]->statusHas("\"diskFailed\":true"));
    sim.world.run(Millis(5000));
    failing.disk().fails = false;
    CHECK(sim.world.runUntil([&failing] { return failing.votes(); }, Millis(2000)));
    sim.world.run(Millis(600));
    CHECK_FALSE(sim.core[0]->statusHas("\"diskFailed\":true"));
}

TEST_CASE("a leader whose disk fails for longer than a second hands over the leadership") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        ControlWorld sim(seed);
        sim.startAll();
        REQUIRE(sim.world.runUntil([&sim] { return sim.leader() != nullptr; }, Millis(5000)));
        sim.world.run(Millis(1000));
        CoreMachine& leader = *sim.leader();
        leader.disk().fails = true;
        CHECK(sim.replace(leader, 0, configurationJson(1)) == 200);
        const auto handedOver = [&sim, &leader] {
            return sim.leader() != nullptr && sim.leader() != &leader;
        };
        CHECK(sim.world.runUntil(handedOver, Millis(2500)));
        CHECK(sim.replace(*sim.leader(), 1, configurationJson(2)) == 200);
    }
}

TEST_CASE("a core machine that lost its data on a disk that fails recovers once it works") {
    ControlWorld sim(9);
    sim.startAll();
    REQUIRE(sim.world.runUntil([&sim] { return sim.leader() != nullptr; }, Millis(5000)));
    CHECK(sim.replace(*sim.core[0], 0, configurationJson(1)) == 200);
    CoreMachine& lost = *sim.core[2];
    lost.kill();
    lost.wipe();
    lost.start();
    lost.disk().fails = true;
    sim.world.run(Millis(4000));
    CHECK_FALSE(lost.votes());
    lost.disk().fails = false;
    CHECK(sim.world.runUntil([&lost] { return lost.votes(); }, Millis(2000)));
}
