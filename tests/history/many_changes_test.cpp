// Hundreds of changes while one core machine is away: it catches up with the newest value alone, never leads
// or votes with an old state, and hands out nothing older than what was acknowledged.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cstdint>
#include <functional>
#include <string>

#include "tests/cluster/control_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr std::size_t kAway = 2;       // the machine that is away
constexpr int kRoutes = 60;            // of each configuration
constexpr Millis kCatchUpBound{1500};  // from its return until it has the newest configuration
// The value and what the core says anyway; counted for that long after the return.
constexpr Millis kCounted{3000};
constexpr std::uint64_t kOtherBytes = 64 * 1024;

// Some 15 kB.
std::string largeConfiguration(std::int64_t generation) {
    std::string json = configurationJson(generation);
    const std::string first = json.substr(json.find("{\"name\":\"r-1\""));
    const std::string route = first.substr(0, first.find('}') + 1);
    std::string more;
    for (int index = 2; index <= kRoutes; ++index) {
        std::string next = route;
        next.replace(next.find("r-1"), 3, "r-" + std::to_string(index));
        next.replace(next.find("/one/"), 5, "/p" + std::to_string(index) + "/");
        more += "," + next;
    }
    json.insert(json.find(route) + route.size(), more);
    return json;
}

class ManyChanges : public ControlWorld {
public:
    explicit ManyChanges(std::uint64_t seed) : ControlWorld(seed) {
        addClient("edge-1", NodeKind::edge, "10.2.0.1");
        addClient("storage-1", NodeKind::store, "10.1.0.1");
        startAll();
        world.run(Millis(2500));
    }
    CoreMachine& away() { return *core[kAway]; }
    // Through the two others in turn.
    void change(int count) {
        for (int index = 0; index < count; ++index) {
            const std::int64_t next = generation + 1 + index % 3;
            REQUIRE(replace(*core[index % 2], generation, largeConfiguration(next)) == 200);
            generation = next;
        }
    }
    bool hasNewest(const CoreMachine& machine) const {
        return machine.statusHas("\"configuration\":" + std::to_string(generation) + ",");
    }
    // How long until it has the newest configuration and votes, and what was sent to it within kCounted.
    struct Return {
        Millis time{0};
        std::uint64_t bytes = 0;
    };
    Return comeBack(const std::function<void()>& how) {
        network.bytes_to.clear();
        const SteadyTime before = world.now();
        how();
        REQUIRE(world.runUntil([this] { return hasNewest(away()) && away().votes(); }, Millis(20000)));
        Return result;
        result.time = std::chrono::duration_cast<Millis>(world.now() - before);
        world.run(kCounted - std::min(kCounted, result.time));
        result.bytes = network.bytes_to[away().ip()];
        return result;
    }
    // Its value with the changes that are remembered.
    std::uint64_t valueBytes() {
        return largeConfiguration(generation).size() + 512 * sizeof(AcceptedChange);
    }

    std::int64_t generation = 0;
};

// Away for that many changes; the figures of its return.
ManyChanges::Return downDuring(int changes) {
    ManyChanges play(21);
    play.change(5);
    play.away().kill();
    play.change(changes);
    return play.comeBack([&play] { play.away().start(); });
}
ManyChanges::Return cutDuring(int changes) {
    ManyChanges play(22);
    play.change(5);
    play.network.isolate(play.away().ip());
    play.change(changes);
    return play.comeBack([&play] { play.network.healAll(); });
}

void checkReturn(const std::string& what, const std::function<ManyChanges::Return(int)>& after) {
    const ManyChanges::Return few = after(20);
    const ManyChanges::Return many = after(1000);
    const ManyChanges play(1);
    const std::uint64_t value = largeConfiguration(1000).size() + 512 * sizeof(AcceptedChange);
    MESSAGE(what << ", 20 changes: " << few.time.count() << " ms, " << few.bytes << " bytes; 1000 changes: "
                 << many.time.count() << " ms, " << many.bytes << " bytes; a value is at most " << value);
    CHECK(few.time <= kCatchUpBound);
    CHECK(many.time <= kCatchUpBound);
    // Each of the two others may hand it the newest value, and a round or two that it makes itself.
    CHECK(many.bytes <= 8 * value + kOtherBytes);
}

}  // namespace

TEST_CASE("a machine that was down for 1000 changes catches up with the newest alone") {
    checkReturn("down", downDuring);
}

TEST_CASE("a machine that was cut off for 1000 changes catches up with the newest alone") {
    checkReturn("cut off", cutDuring);
}

TEST_CASE("a machine that restarts again and again through 1000 changes ends with the newest") {
    ManyChanges play(23);
    for (int round = 0; round < 50; ++round) {
        play.away().kill();
        play.change(10);
        play.away().start();
        play.change(10);
    }
    CHECK(play.generation >= 1000);
    play.away().kill();
    const ManyChanges::Return result = play.comeBack([&play] { play.away().start(); });
    MESSAGE("restarted: " << result.time.count() << " ms, " << result.bytes << " bytes");
    CHECK(result.time <= kCatchUpBound);
    CHECK(result.bytes <= 8 * play.valueBytes() + kOtherBytes);
    std::uint64_t disk = 0;
    for (const auto& [key, value] : play.away().diskContent()) disk += key.size() + value.size();
    MESSAGE("its records take " << disk << " bytes");
    CHECK(disk <= 2 * play.valueBytes());
}

TEST_CASE("a machine without its disk catches up with the newest of 1000 changes") {
    ManyChanges play(24);
    play.change(1000);
    play.away().kill();
    play.away().wipe();
    const ManyChanges::Return result = play.comeBack([&play] { play.away().start(); });
    MESSAGE("empty: " << result.time.count() << " ms, " << result.bytes << " bytes");
    CHECK(result.time <= kCatchUpBound);
    CHECK(result.bytes <= 10 * play.valueBytes() + kOtherBytes);
}

TEST_CASE("while it is cut off with an old state it answers no read, and afterwards none that is old") {
    ManyChanges play(25);
    play.change(5);
    play.network.isolate(play.away().ip());
    play.change(200);
    CHECK(play.read(play.away()).status == 503);
    CHECK(play.replace(play.away(), play.generation, largeConfiguration(play.generation + 1)) == 503);
    play.network.healAll();
    // From the first moment on, whatever it believes of itself.
    for (int look = 0; look < 30; ++look) {
        const HttpResponse answer = play.read(play.away());
        if (answer.status == 200) CHECK(answer.body == largeConfiguration(play.generation));
        if (play.away().leads()) CHECK(play.hasNewest(play.away()));
        play.world.run(Millis(20));
    }
    CHECK(play.read(play.away()).status == 200);
    for (auto& [name, client] : play.clients) {
        CHECK(std::is_sorted(client->generations.begin(), client->generations.end()));
        CHECK(client->generations.back() == play.generation);
    }
}

TEST_CASE("a member that only reaches a machine with an old state keeps what it has") {
    ManyChanges play(26);
    play.change(5);
    CoreMachine& old = play.away();
    play.network.isolate(old.ip());
    play.change(100);
    play.world.run(Millis(1500));
    ClientProcess& edge = *play.clients["edge-1"];
    REQUIRE(edge.generations.back() == play.generation);
    // It now reaches the old machine alone, which reaches nobody else.
    play.network.healAll();
    for (const auto& machine : play.core) {
        if (machine.get() == &old) continue;
        play.network.cutBoth(old.ip(), machine->ip());
        play.network.cutBoth("10.2.0.1", machine->ip());
    }
    play.world.run(Millis(8000));
    CHECK(edge.generations.back() == play.generation);
    CHECK(std::is_sorted(edge.generations.begin(), edge.generations.end()));
    CHECK_FALSE(old.leads());
}
