// Operators send changes to any core machine, lose responses and repeat. The responses are compared with the
// changes that the register holds as taken in the end.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "cluster/control/register_messages.hpp"
#include "tests/cluster/control_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr int kTaken = 200;
constexpr int kUnknownOutcome = 503;

struct Order {
    std::int64_t base = 0;
    std::int64_t generation = 0;
    std::string body;
    std::vector<int> answers;  // all responses of the core, including those that the operator lost
    bool hasAnswer(int status) const { return std::count(answers.begin(), answers.end(), status) > 0; }
};

// The core machines and their operators. The replacement of a lost machine has a new address.
class OperatorsWorld : public ControlWorld {
public:
    explicit OperatorsWorld(std::uint64_t seed, std::size_t machines = 3) : ControlWorld(seed, machines) {
        addClient("edge-1", NodeKind::edge, "10.2.0.1");
        startAll();
        world.run(Millis(2500));
    }

    Order& order(std::int64_t base, std::int64_t generation, const std::string& note) {
        orders_.push_back({base, generation, configurationJson(generation, note), {}});
        return orders_.back();
    }
    // Sends without waiting; a stopped machine does not answer.
    void send(Order& order, CoreMachine& machine) {
        if (!machine.runs()) return;
        const HttpRequest request = replaceRequest(order.base, order.body);
        machine.node().handleHttp(
            request, [&order](const HttpResponse& response) { order.answers.push_back(response.status); });
    }
    void sendAt(Millis delay, Order& order, CoreMachine& machine) {
        world.at(world.now() + delay, [this, &order, &machine] { send(order, machine); });
    }
    void killAt(Millis delay, CoreMachine& machine) {
        world.at(world.now() + delay, [&machine] { machine.kill(); });
    }
    void repeatEverywhere() {
        for (Order& order : orders_) {
            for (auto& machine : core) {
                send(order, *machine);
                world.run(Millis(100));
            }
        }
        world.run(Millis(1600));
    }
    void restartAll() {
        for (auto& machine : core) {
            if (machine->runs()) machine->kill();
        }
        world.run(Millis(200));
        startStopped();
        world.run(Millis(2500));
    }
    void startStopped() {
        for (auto& machine : core) {
            if (!machine->runs() && !isLost(*machine)) machine->start();
        }
    }
    // Loses one machine for good, and starts an empty one at a new address.
    void replaceMachine(CoreMachine& lost) {
        lost.kill();
        lost_.push_back(&lost);
        NodeSettings settings = core.front()->settings();
        settings.name = "core-new";
        settings.ip = "10.0.0." + std::to_string(core.size() + 1);
        settings.bootstrap = false;
        core.push_back(std::make_unique<CoreMachine>(world, network, cloud, settings));
        core.back()->start();
        world.run(Millis(9000));
        CHECK(core.back()->votes());
    }
    CoreMachine& anyRunning() {
        return **std::find_if(core.begin(), core.end(), [](const auto& machine) { return machine->runs(); });
    }
    std::int64_t currentGeneration() {
        const HttpResponse response = read(anyRunning());
        if (response.status != kTaken) return 0;
        const std::string mark = R"("generation":)";
        return std::stoll(response.body.substr(response.body.find(mark) + mark.size()));
    }
    // Sends a change based on the current version until it is acknowledged.
    void applyNext(std::int64_t generation) {
        Order& next = order(currentGeneration(), generation, "next");
        for (int attempt = 0; attempt < 5 && !next.hasAnswer(kTaken); ++attempt) {
            send(next, anyRunning());
            world.run(Millis(1600));
        }
        CHECK(next.hasAnswer(kTaken));
    }

    // All changes that were ever taken, as recorded in the state after one more change.
    std::vector<AcceptedChange> takenChanges() {
        applyNext(1'000'000);
        AcceptedRecord newest;
        for (auto& machine : core) {
            const auto record =
                decode<AcceptedRecord>(machine->content()[std::string("register/accepted/") + kConfigKey]);
            if (record && record->ballot > newest.ballot) newest = *record;
        }
        const auto state = decode<ConfigurationState>(newest.value);
        REQUIRE(state.has_value());
        return state->accepted_changes;
    }
    // Checks that the responses agree with the taken changes: a taken change was never rejected, no other
    // change was acknowledged, and exactly one change builds on each version.
    void checkAnswers() {
        const std::vector<AcceptedChange> taken = takenChanges();
        std::int64_t base = 0;
        for (const AcceptedChange& change : taken) {
            CHECK(change.base == base);
            base = change.generation;
        }
        for (const Order& order : orders_) {
            const bool is_taken = std::any_of(taken.begin(), taken.end(), [&](const AcceptedChange& change) {
                return change == changeOf(order);
            });
            for (const int answer : order.answers) {
                const bool is_right = answer == kUnknownOutcome || (answer == kTaken) == is_taken;
                CHECK_MESSAGE(is_right, order.base << " -> " << order.generation << " " << answer);
            }
        }
    }

private:
    static AcceptedChange changeOf(const Order& order) {
        return {order.generation, order.base, XXH64(order.body.data(), order.body.size(), 0)};
    }
    bool isLost(const CoreMachine& machine) const {
        return std::find(lost_.begin(), lost_.end(), &machine) != lost_.end();
    }

    std::deque<Order> orders_;
    std::vector<const CoreMachine*> lost_;
};

}  // namespace

TEST_CASE("of two changes with one generation, at any two machines with any delay, one is taken") {
    for (int first = 0; first < 3; ++first) {
        for (int second = 0; second < 3; ++second) {
            for (int offset = 0; offset <= 20; ++offset) {
                INFO(first << " " << second << " " << offset);
                OperatorsWorld play(static_cast<std::uint64_t>(1 + offset + 21 * (second + 3 * first)));
                Order& left = play.order(0, 4, "left");
                Order& right = play.order(0, 4, "right");
                play.send(left, *play.core[static_cast<std::size_t>(first)]);
                play.sendAt(Millis(offset), right, *play.core[static_cast<std::size_t>(second)]);
                play.world.run(Millis(1600));
                CHECK(left.hasAnswer(kTaken) != right.hasAnswer(kTaken));
                play.repeatEverywhere();
                play.applyNext(9);
                play.repeatEverywhere();
                play.checkAnswers();
            }
        }
    }
}

TEST_CASE("one change sent to two machines with any delay is acknowledged by both") {
    for (int offset = 0; offset <= 40; ++offset) {
        INFO(offset);
        OperatorsWorld play(static_cast<std::uint64_t>(300 + offset));
        Order& order = play.order(0, 4, "same");
        play.send(order, *play.core[0]);
        play.sendAt(Millis(offset), order, *play.core[1 + static_cast<std::size_t>(offset) % 2]);
        play.world.run(Millis(1600));
        CHECK(order.answers == std::vector<int>{kTaken, kTaken});
        play.checkAnswers();
    }
}

TEST_CASE("responses hold if the machine handling a change dies at any time and repeats go elsewhere") {
    for (int killed_after = 0; killed_after <= 20; ++killed_after) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            INFO(killed_after << " " << seed);
            OperatorsWorld play(seed + 4 * static_cast<std::uint64_t>(killed_after));
            Order& left = play.order(0, 4, "left");
            Order& right = play.order(0, 4, "right");
            CoreMachine& machine = *play.core[seed % 3];
            play.send(left, machine);
            play.killAt(Millis(killed_after), machine);
            play.sendAt(Millis(static_cast<std::int64_t>(play.world.chance() * 30)), right,
                        *play.core[(seed + 1) % 3]);
            play.sendAt(Millis(20 + static_cast<std::int64_t>(play.world.chance() * 30)), left,
                        *play.core[(seed + 2) % 3]);
            play.world.run(Millis(1600));
            if (seed % 2 == 0) play.startStopped();
            play.repeatEverywhere();
            play.startStopped();
            play.applyNext(9);
            play.repeatEverywhere();
            play.restartAll();
            play.repeatEverywhere();
            play.checkAnswers();
        }
    }
}

TEST_CASE("a rejection is final when a change reached only a minority and its machine is partitioned") {
    for (int cut_after = 0; cut_after <= 14; ++cut_after) {
        for (int form = 0; form < 4; ++form) {
            for (std::uint64_t seed = 1; seed <= 4; ++seed) {
                INFO(cut_after << " " << form << " " << seed);
                OperatorsWorld play(seed + 10 * static_cast<std::uint64_t>(cut_after + 20 * form));
                CoreMachine& machine = *play.core[seed % 3];
                CoreMachine& other = *play.core[(seed + 1) % 3];
                CoreMachine& third = *play.core[(seed + 2) % 3];
                const std::string from = machine.ip();
                Order& left = play.order(0, 4, "left");
                Order& right = play.order(0, 4, "right");
                play.send(left, machine);
                play.world.run(Millis(cut_after));
                if (form == 0) play.network.isolate(from);
                if (form == 1) play.network.cutBoth(from, other.ip());
                if (form == 2) play.network.cut(from, other.ip()), play.network.cut(from, third.ip());
                if (form == 3) play.network.cut(other.ip(), from), play.network.cut(third.ip(), from);
                play.send(right, other);
                play.sendAt(Millis(static_cast<std::int64_t>(play.world.chance() * 40)), left, third);
                play.world.run(Millis(200 + 300 * static_cast<std::int64_t>(seed)));
                play.network.healAll();
                play.world.run(Millis(1600));
                play.repeatEverywhere();
                play.applyNext(9);
                play.repeatEverywhere();
                play.checkAnswers();
            }
        }
    }
}

TEST_CASE("responses to repeats hold after a machine is replaced and the core restarts with its new voters") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO(seed);
        OperatorsWorld play(500 + seed);
        Order& left = play.order(0, 4, "left");
        Order& right = play.order(0, 4, "right");
        CoreMachine& machine = *play.core[seed % 3];
        play.send(left, machine);
        play.sendAt(Millis(static_cast<std::int64_t>(play.world.chance() * 20)), right,
                    *play.core[(seed + 1) % 3]);
        play.killAt(Millis(static_cast<std::int64_t>(play.world.chance() * 30)), machine);
        play.world.run(Millis(100));
        play.replaceMachine(machine);
        play.repeatEverywhere();
        play.applyNext(9);
        play.restartAll();
        play.repeatEverywhere();
        play.checkAnswers();
    }
}

TEST_CASE(
    "responses match the taken changes under loss, partitions and kills, with three and five machines") {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO(seed);
        const std::size_t machines = seed % 2 == 0 ? 5 : 3;
        OperatorsWorld play(700 + seed, machines);
        const auto any = [&]() -> CoreMachine& { return *play.core[play.world.random()() % machines]; };
        std::int64_t base = 0;
        for (int round = 1; round <= 6; ++round) {
            play.network.loss = 0.05;
            const std::int64_t generation = base + 1 + static_cast<std::int64_t>(play.world.random()() % 3);
            std::vector<Order*> rivals;
            for (const std::string note : {"one", "two", "three"}) {
                rivals.push_back(&play.order(base, generation, note + std::to_string(round)));
            }
            for (int attempt = 0; attempt < 9; ++attempt) {
                Order& order = *rivals[play.world.random()() % rivals.size()];
                play.sendAt(Millis(static_cast<std::int64_t>(play.world.chance() * 400)), order, any());
            }
            CoreMachine& victim = any();
            if (round % 3 == 0)
                play.killAt(Millis(static_cast<std::int64_t>(play.world.chance() * 400)), victim);
            if (round % 3 == 1) play.network.isolate(victim.ip());
            play.world.run(Millis(1000));
            play.network.healAll();
            play.startStopped();
            play.network.loss = 0;
            play.world.run(Millis(1800));
            base = play.currentGeneration();
        }
        play.repeatEverywhere();
        play.checkAnswers();
    }
}
