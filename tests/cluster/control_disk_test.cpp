// Core machines whose disk fails for some seconds: they vote no more while it does, come back by themselves,
// and the loss of another machine afterwards loses nothing that was acknowledged.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/control_world.hpp"
#include "tests/cluster/disk_run_count.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr Millis kOutage{4000};
constexpr Millis kUntilLoss{7000};  // from the end of the outage

// An operator that always orders on top of what it last read, and remembers what was acknowledged.
class Operator {
public:
    explicit Operator(ControlWorld& play) : play_(play) {}

    // Tells whether the order was acknowledged.
    bool order(CoreMachine& machine) {
        const std::int64_t next = last_tried_ + 1;
        const int status = play_.replace(machine, base_, configurationJson(next));
        last_tried_ = next;
        if (status == 200) base_ = acknowledged_ = next;
        if (status != 200) readBase(machine);
        return status == 200;
    }
    // Whether the machine hands out a configuration, none older than what was acknowledged.
    bool readsWhatWasAcknowledged(CoreMachine& machine) {
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
    // What became of an order without an answer.
    void readBase(CoreMachine& machine) {
        const HttpResponse answer = play_.read(machine);
        if (answer.status == 200) base_ = std::max(base_, generationOf(answer));
    }

    ControlWorld& play_;
    std::int64_t base_ = 0;
    std::int64_t last_tried_ = 0;
    std::int64_t acknowledged_ = 0;
};

struct DiskPlay {
    std::uint64_t seed = 0;
    std::size_t failing = 0;      // whose disk fails,
    std::size_t lost = 0;         // and which machine is lost later
    Millis before{0};             // from a time at which all is quiet to the outage
    bool restarts_empty = false;  // the lost one comes back without its data
};

// What broke; empty: nothing.
std::string playOutageThenLoss(const DiskPlay& of) {
    ControlWorld play(of.seed);
    play.startAll();
    if (!play.world.runUntil([&play] { return play.leader() != nullptr; }, Millis(5000))) return "no leader";
    play.world.run(Millis(1000) + of.before);
    Operator operators(play);
    if (!operators.order(*play.core[0])) return "the first order was not taken";

    CoreMachine& failing = *play.core[of.failing];
    failing.disk().fails = true;
    const SteadyTime end = play.world.now() + kOutage;
    std::size_t orders = 0;
    while (play.world.now() < end) {
        operators.order(*play.core[orders++ % play.core.size()]);
        play.world.run(Millis(static_cast<std::int64_t>(50 + play.world.chance() * 250)));
    }
    const std::int64_t taken_during = operators.acknowledged();
    failing.disk().fails = false;
    play.world.run(kUntilLoss);
    if (taken_during < 3) return "orders stood still while one disk failed";
    const bool votes_again = failing.votes();

    operators.order(*play.core[of.failing]);
    CoreMachine& lost = *play.core[of.lost];
    lost.kill();
    lost.wipe();
    if (of.restarts_empty) lost.start();
    play.world.run(Millis(4000));
    for (auto& machine : play.core) {
        const bool asked = machine->runs() && (machine.get() != &lost);
        if (asked && !operators.readsWhatWasAcknowledged(*machine)) return "what was acknowledged is lost";
        if (asked && !operators.order(*machine)) return "no order is taken any more";
    }
    if (!votes_again) return "the machine does not vote again";
    return {};
}

std::size_t playMany(std::uint64_t plays) {
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= plays; ++seed) {
        DiskPlay play;
        play.seed = seed;
        play.failing = seed % 3;
        play.lost = (play.failing + 1 + seed / 3 % 2) % 3;
        play.before = Millis(static_cast<std::int64_t>(seed * 37 % 1000));
        play.restarts_empty = seed / 6 % 2 == 0;
        const std::string fault = playOutageThenLoss(play);
        if (!fault.empty()) ++broken;
        INFO("seed " << seed);
        CHECK_MESSAGE(fault.empty(), fault);
    }
    return broken;
}

}  // namespace

TEST_CASE("a disk that fails for four seconds, and the loss of another core machine seven seconds later") {
    const std::uint64_t plays = diskRunCount(60);
    const std::size_t broken = playMany(plays);
    MESSAGE(broken << " of " << plays << " plays broken");
    CHECK(broken == 0);
}

TEST_CASE("a core machine whose disk fails is no voter for the others, and one again within two seconds") {
    ControlWorld play(5);
    play.startAll();
    REQUIRE(play.world.runUntil([&play] { return play.leader() != nullptr; }, Millis(5000)));
    play.world.run(Millis(1000));
    CoreMachine& failing = *play.core[1];
    CHECK(failing.statusHas("\"diskWorks\":true"));
    failing.disk().fails = true;
    CHECK(play.replace(*play.core[0], 0, configurationJson(1)) == 200);
    play.world.run(Millis(600));
    CHECK_FALSE(failing.votes());
    CHECK(failing.statusHas("\"diskWorks\":false"));
    CHECK(play.core[0]->statusHas("\"diskFailed\":true"));
    play.world.run(Millis(5000));
    failing.disk().fails = false;
    CHECK(play.world.runUntil([&failing] { return failing.votes(); }, Millis(2000)));
    play.world.run(Millis(600));
    CHECK_FALSE(play.core[0]->statusHas("\"diskFailed\":true"));
}

TEST_CASE("a leader whose disk fails for longer than a second hands over") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        ControlWorld play(seed);
        play.startAll();
        REQUIRE(play.world.runUntil([&play] { return play.leader() != nullptr; }, Millis(5000)));
        play.world.run(Millis(1000));
        CoreMachine& leader = *play.leader();
        leader.disk().fails = true;
        CHECK(play.replace(leader, 0, configurationJson(1)) == 200);
        const auto handedOver = [&play, &leader] {
            return play.leader() != nullptr && play.leader() != &leader;
        };
        CHECK(play.world.runUntil(handedOver, Millis(2500)));
        CHECK(play.replace(*play.leader(), 1, configurationJson(2)) == 200);
    }
}

TEST_CASE("a core machine that lost its data on a disk that fails recovers once it works") {
    ControlWorld play(9);
    play.startAll();
    REQUIRE(play.world.runUntil([&play] { return play.leader() != nullptr; }, Millis(5000)));
    CHECK(play.replace(*play.core[0], 0, configurationJson(1)) == 200);
    CoreMachine& lost = *play.core[2];
    lost.kill();
    lost.wipe();
    lost.start();
    lost.disk().fails = true;
    play.world.run(Millis(4000));
    CHECK_FALSE(lost.votes());
    lost.disk().fails = false;
    CHECK(play.world.runUntil([&lost] { return lost.votes(); }, Millis(2000)));
}
