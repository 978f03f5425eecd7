// Checks that no message gets stuck: within 6 s after faults of edges, stores, links or receivers have ended,
// every due message, or one with the same order key, reaches a server, and within kCallbackWithin every
// pending call-back is delivered. AMBERSWITCH_STORE_SEEDS sets the number of seeds per test.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <set>

#include "tests/cluster/edge_store_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::edge_store;

namespace {

constexpr Millis kSettleTime{6000};
// Longest time without faults until the call-back of an ended message is delivered.
constexpr Millis kCallbackWithin{10'000};
constexpr std::uint64_t kRetriesAllowed = 3;

std::uint64_t seedCount() {
    const char* const chosen = std::getenv("AMBERSWITCH_STORE_SEEDS");
    return chosen == nullptr ? 30 : std::strtoull(chosen, nullptr, 10);
}

Millis randomSpan(EdgeStoreFixture& fixture, Millis most) {
    return Millis(static_cast<std::int64_t>(fixture.world().chance() * static_cast<double>(most.count())));
}

void submitOne(EdgeStoreFixture& fixture) {
    const double kind = fixture.world().chance();
    const std::string key = "k" + std::to_string(static_cast<int>(fixture.world().chance() * 8));
    if (kind < 0.4) return fixture.submit("lines", key);
    if (kind < 0.5) return fixture.submit("limited");
    const auto delay_ms = kind < 0.65 ? static_cast<std::int64_t>(fixture.world().chance() * 5000) : 0;
    fixture.submit("plain", {}, kind > 0.75, delay_ms);
}

void runTrafficFor(EdgeStoreFixture& fixture, Millis span) {
    const SteadyTime end = fixture.world().now() + span;
    while (fixture.world().now() < end) {
        submitOne(fixture);
        fixture.world().run(Millis(1) + randomSpan(fixture, Millis(60)));
    }
}

std::string ipOfEdge(std::size_t index) {
    return "10.5.0." + std::to_string(index + 1);
}

enum class Fault {
    edge_killed,
    edge_cut,
    edge_outbound_cut,
    edge_inbound_cut,
    store_killed,
    store_power_loss,
    store_wiped,
    store_cut,
    store_frozen,
    full_power_loss,
    loss,
    receiver_down,
    count,
};

// Injects one fault and ends it.
class InjectedFault {
public:
    InjectedFault(EdgeStoreFixture& fixture, Fault fault)
        : fixture_(fixture),
          fault_(fault),
          edge_(fixture.world().random()() % fixture.edges.size()),
          store_(*fixture.stores.machines[fixture.world().random()() % fixture.stores.machines.size()]) {}

    void begin(Millis span) {
        Network& network = fixture_.stores.network;
        const std::string& store_ip = store_.address.ip;
        switch (fault_) {
            case Fault::edge_killed:
                return fixture_.killEdge(edge_);
            case Fault::edge_cut:
                return network.isolate(ipOfEdge(edge_));
            case Fault::edge_outbound_cut:
                for (auto& machine : fixture_.stores.machines)
                    network.cut(ipOfEdge(edge_), machine->address.ip);
                return;
            case Fault::edge_inbound_cut:
                for (auto& machine : fixture_.stores.machines)
                    network.cut(machine->address.ip, ipOfEdge(edge_));
                return;
            case Fault::store_killed:
                return fixture_.stores.stop(store_);
            case Fault::store_power_loss:
                return fixture_.stores.cutPower(store_);
            case Fault::store_wiped:
                return fixture_.stores.wipe(store_);
            case Fault::store_cut:
                fixture_.stores.hidden.insert(store_.name);
                return network.isolate(store_ip);
            case Fault::store_frozen:
                fixture_.stores.hidden.insert(store_.name);
                store_.process->scheduler->freeze(fixture_.world().now() + span);
                return store_.process->transport->freeze(fixture_.world().now() + span);
            case Fault::full_power_loss:
                for (auto& machine : fixture_.stores.machines) fixture_.stores.cutPower(*machine);
                for (std::size_t i = 0; i < fixture_.edges.size(); ++i) fixture_.killEdge(i);
                return;
            case Fault::loss:
                network.loss = 0.05;
                return;
            case Fault::receiver_down:
                fixture_.servers.receiver_down = true;
                return;
            case Fault::count:
                return;
        }
    }
    void end() {
        fixture_.stores.network.healAll();
        fixture_.stores.network.loss = 0;
        fixture_.stores.hidden.clear();
        fixture_.servers.receiver_down = false;
        for (auto& machine : fixture_.stores.machines) {
            if (!machine->process) fixture_.stores.start(*machine);
        }
        fixture_.changeView();
        for (std::size_t i = 0; i < fixture_.edges.size(); ++i) {
            if (!fixture_.edges[i].node) fixture_.startEdge(i);
        }
    }

private:
    EdgeStoreFixture& fixture_;
    Fault fault_;
    std::size_t edge_;
    StoreMachine& store_;
};

// Returns the ids and order keys of the messages that reached a server after `since`.
std::set<std::string> activeSince(const EdgeStoreFixture& fixture, SteadyTime since) {
    std::set<std::string> active;
    for (const auto& [id, message] : fixture.messages) {
        if (!message.last_run || *message.last_run <= since) continue;
        active.insert(id);
        if (!message.order_key.empty()) active.insert(message.order_key);
    }
    return active;
}

void checkNothingStuck(const EdgeStoreFixture& fixture, std::uint64_t seed, int fault, SteadyTime healed) {
    const std::set<std::string> active = activeSince(fixture, healed);
    std::string stuck;
    for (const auto& [id, message] : fixture.messages) {
        const bool due = message.status == 202 && message.sent + Millis(message.delay_ms) < healed;
        if (!due || message.ended || active.contains(id) || active.contains(message.order_key)) continue;
        stuck += id + " of " + message.route + " " + message.order_key + "\n";
    }
    INFO("seed " << seed << " fault " << fault);
    CHECK_MESSAGE(stuck.empty(), stuck);
}

void checkCallbacks(const EdgeStoreFixture& fixture, std::uint64_t seed, int fault, SteadyTime before) {
    std::string missing;
    for (const auto& [id, message] : fixture.messages) {
        const bool done = message.status == 202 && message.ended && *message.ended < before;
        if (done && message.wants_callback && message.callbacks_delivered == 0) missing += id + "\n";
    }
    INFO("seed " << seed << " fault " << fault);
    CHECK_MESSAGE(missing.empty(), missing);
}

void runFaults(std::uint64_t seed, Fault first_fault, int rounds) {
    EdgeStoreFixture fixture(seed, 3);
    fixture.servers.failure_rate = 0.03;
    fixture.servers.lost_answer_rate = 0.02;
    runTrafficFor(fixture, Millis(1500));
    Fault fault = first_fault;
    for (int round = 0; round < rounds; ++round) {
        InjectedFault injected(fixture, fault);
        const Millis span = seed % 3 == 0 ? Millis(20'000) : Millis(300) + randomSpan(fixture, Millis(4000));
        injected.begin(span);
        const Millis detection_delay = std::min(span, Millis(1000) + randomSpan(fixture, Millis(300)));
        runTrafficFor(fixture, detection_delay);
        fixture.changeView();
        if (span > detection_delay) runTrafficFor(fixture, span - detection_delay);
        injected.end();
        const auto kinds = static_cast<std::uint64_t>(Fault::count);
        fault = static_cast<Fault>(fixture.world().random()() % kinds);
    }
    const SteadyTime healed = fixture.world().now();
    fixture.world().run(kSettleTime);
    checkNothingStuck(fixture, seed, static_cast<int>(first_fault), healed);
    fixture.world().run(kCallbackWithin - kSettleTime);
    checkCallbacks(fixture, seed, static_cast<int>(first_fault), healed);
    fixture.world().run(Millis(15'000));
    fixture.check();
    INFO("seed " << seed << " fault " << static_cast<int>(first_fault));
    CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
}

}  // namespace

TEST_CASE("no message is stuck after one fault") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        const auto kinds = static_cast<std::uint64_t>(Fault::count);
        runFaults(seed, static_cast<Fault>(seed % kinds), 1);
    }
}

TEST_CASE("no message is stuck after two faults in a row") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        const auto kinds = static_cast<std::uint64_t>(Fault::count);
        runFaults(1000 + seed, static_cast<Fault>(seed % kinds), 2);
    }
}

TEST_CASE("a message that always fails reaches a server no more than three times its retries") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        EdgeStoreFixture fixture(seed, 3);
        fixture.servers.failure_rate = 1;
        for (int i = 0; i < 10; ++i) fixture.submit(i % 2 == 0 ? "plain" : "lines", i % 2 == 0 ? "" : "k");
        for (int round = 0; round < 3; ++round) {
            fixture.world().run(Millis(100) + randomSpan(fixture, Millis(900)));
            InjectedFault injected(fixture, round == 1 ? Fault::full_power_loss : Fault::store_killed);
            injected.begin(Millis(1000));
            fixture.world().run(Millis(1000));
            fixture.changeView();
            fixture.world().run(randomSpan(fixture, Millis(1000)));
            injected.end();
        }
        fixture.world().run(Millis(20'000));
        INFO("seed " << seed);
        for (const auto& [id, message] : fixture.messages) {
            if (message.status != 202) continue;
            INFO(id);
            CHECK(message.ended.has_value());
            CHECK(static_cast<std::uint64_t>(message.runs) <= 3 * kRetriesAllowed);
        }
    }
}

TEST_CASE("a delayed message runs after its delay, even under a new owner") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        EdgeStoreFixture fixture(seed, 3);
        for (int i = 0; i < 30; ++i) {
            fixture.submit("plain", {}, false, 1000 + randomSpan(fixture, Millis(6000)).count());
            fixture.world().run(Millis(30));
        }
        StoreMachine& store = *fixture.stores.machines[seed % 3];
        if (seed % 2 == 0)
            fixture.stores.wipe(store);
        else
            fixture.stores.cutPower(store);
        fixture.world().run(Millis(1000));
        fixture.changeView();
        fixture.world().run(Millis(500));
        fixture.stores.start(store);
        fixture.changeView();
        fixture.world().run(Millis(12'000));
        INFO("seed " << seed);
        for (const auto& [id, message] : fixture.messages) {
            if (message.status != 202) continue;
            INFO(id);
            REQUIRE(message.first_run.has_value());
            CHECK(*message.first_run >= message.sent + Millis(message.delay_ms));
            CHECK(*message.first_run < message.sent + Millis(message.delay_ms) + kSettleTime);
        }
    }
}
