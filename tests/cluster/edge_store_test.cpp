// Runs real edges with real stores over many seeds and checks that clients and servers observe the delivery
// rules, with and without faults.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/edge_store_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::edge_store;

namespace {

void submitOne(EdgeStoreFixture& fixture) {
    const double kind = fixture.world().chance();
    if (kind < 0.4) return fixture.submit("lines", "k" + std::to_string(int(fixture.world().chance() * 8)));
    if (kind < 0.5) return fixture.submit("limited");
    if (kind < 0.6) return fixture.submit("plain", {}, false, 700);
    fixture.submit("plain", {}, kind > 0.8);
}

void runTraffic(EdgeStoreFixture& fixture, int messages) {
    for (int i = 0; i < messages; ++i) {
        submitOne(fixture);
        fixture.world().run(Millis(static_cast<std::int64_t>(fixture.world().chance() * 12)));
    }
}

int rerunsOfReadSuccesses(const EdgeStoreFixture& fixture) {
    int count = 0;
    for (const auto& [id, message] : fixture.messages) count += message.runs_after_read_success;
    return count;
}

// Counts the ended messages whose call-back took longer than `most` or has not arrived.
int lateCallbacks(const EdgeStoreFixture& fixture, Millis most) {
    int count = 0;
    for (const auto& [id, message] : fixture.messages) {
        if (!message.wants_callback || !message.ended) continue;
        const SteadyTime first_callback_at = message.first_callback_at.value_or(SteadyTime::max());
        count += first_callback_at > *message.ended + most;
    }
    return count;
}

int countStatus(const EdgeStoreFixture& fixture, int status) {
    int count = 0;
    for (const auto& [id, message] : fixture.messages) count += message.status == status;
    return count;
}

}  // namespace

TEST_CASE("without faults every message is accepted, runs once and is called back") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        EdgeStoreFixture fixture(seed, 3);
        fixture.servers.failure_rate = 0.05;
        fixture.servers.rejection_rate = 0.02;
        fixture.servers.full_rate = 0.05;
        runTraffic(fixture, 400);
        fixture.world().run(Millis(20'000));
        fixture.check();
        INFO("seed " << seed);
        CHECK(fixture.accepted() == 400);
        CHECK(fixture.unfinished() == 0);
        CHECK(rerunsOfReadSuccesses(fixture) == 0);
        CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
    }
}

TEST_CASE("answers of servers are lost") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        EdgeStoreFixture fixture(seed, 3);
        fixture.servers.lost_answer_rate = 0.1;
        fixture.servers.failure_rate = 0.05;
        runTraffic(fixture, 300);
        fixture.world().run(Millis(25'000));
        fixture.check();
        INFO("seed " << seed);
        CHECK(fixture.accepted() == 300);
        CHECK(rerunsOfReadSuccesses(fixture) == 0);
        CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
    }
}

TEST_CASE("a store is killed: others take over, and messages that succeeded are not run again") {
    int reruns = 0;
    int unclear = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        EdgeStoreFixture fixture(seed, 3);
        runTraffic(fixture, 200);
        StoreMachine& victim = *fixture.stores.machines[seed % 3];
        fixture.stores.stop(victim);
        runTraffic(fixture, 100);  // no view reflects the death of the store yet
        fixture.changeView();
        runTraffic(fixture, 150);
        fixture.stores.start(victim);
        fixture.changeView();
        runTraffic(fixture, 150);
        fixture.world().run(Millis(25'000));
        fixture.check();
        INFO("seed " << seed);
        CHECK(fixture.accepted() > 450);
        CHECK(fixture.unfinished() == 0);
        CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
        reruns += rerunsOfReadSuccesses(fixture);
        unclear += countStatus(fixture, 504);
    }
    MESSAGE("runs after a success that an edge had read: " << reruns << ", answers of 504: " << unclear);
    CHECK(reruns <= 3);
}

TEST_CASE("a store shuts down gracefully: nothing runs twice") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        EdgeStoreFixture fixture(seed, 3);
        runTraffic(fixture, 200);
        StoreMachine& leaver = *fixture.stores.machines[seed % 3];
        leaver.leaving = true;
        bool left = false;
        leaver.process->node->leave([&] { left = true; });
        fixture.changeView();
        runTraffic(fixture, 200);
        fixture.world().runUntil([&] { return left; }, Millis(6000));
        CHECK(left);
        fixture.stores.stop(leaver);
        fixture.changeView();
        runTraffic(fixture, 100);
        fixture.stores.start(leaver);
        fixture.changeView();
        runTraffic(fixture, 100);
        fixture.world().run(Millis(25'000));
        fixture.check();
        INFO("seed " << seed);
        CHECK(rerunsOfReadSuccesses(fixture) == 0);
        CHECK(fixture.unfinished() == 0);
        CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
    }
}

TEST_CASE("an edge is killed and restarted") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        EdgeStoreFixture fixture(seed, 3);
        runTraffic(fixture, 200);
        fixture.killEdge(seed % 3);
        runTraffic(fixture, 200);
        fixture.startEdge(seed % 3);
        runTraffic(fixture, 100);
        fixture.world().run(Millis(25'000));
        fixture.check();
        INFO("seed " << seed);
        CHECK(fixture.unfinished() == 0);
        CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
    }
}

TEST_CASE("an edge shuts down gracefully: its clients are answered and nothing runs twice") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        EdgeStoreFixture fixture(seed, 3);
        runTraffic(fixture, 200);
        const std::size_t leaver = seed % 3;
        bool left = false;
        fixture.edges[leaver].node->leave([&] {
            left = true;
            fixture.edges[leaver].scheduler->post(
                [&] { fixture.killEdge(leaver); });  // simulates the exit of the process
        });
        runTraffic(fixture, 600);  // some messages go to the leaving edge until it has left
        CHECK(left);
        fixture.startEdge(leaver);
        runTraffic(fixture, 100);
        fixture.world().run(Millis(25'000));
        fixture.check();
        INFO("seed " << seed);
        for (const auto& [id, message] : fixture.messages) CHECK(message.status != 0);
        CHECK(rerunsOfReadSuccesses(fixture) == 0);
        CHECK(fixture.unfinished() == 0);
        CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
    }
}

TEST_CASE("a call-back receiver is down for a while") {
    EdgeStoreFixture fixture(5, 3);
    fixture.servers.receiver_down = true;
    runTraffic(fixture, 300);
    fixture.world().run(Millis(12'000));
    fixture.servers.receiver_down = false;
    fixture.world().run(Millis(20'000));
    fixture.check();
    CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
}

TEST_CASE(
    "more edges than connections to a call-back receiver: no connection is reset, no call-back is late") {
    constexpr std::size_t kReceiverConnections = 64;
    constexpr int kEdges = 200;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        EdgeStoreFixture fixture(seed, kEdges);
        fixture.servers.max_receiver_connections = kReceiverConnections;
        for (int i = 0; i < 1500; ++i) {
            fixture.submit("plain", {}, true);
            fixture.world().run(Millis(3));
        }
        fixture.world().run(Millis(10'000));
        fixture.check();
        CHECK(fixture.accepted() == 1500);
        CHECK(fixture.unfinished() == 0);
        CHECK(fixture.receiver_resets == 0);
        CHECK(fixture.receiver_connections <= kReceiverConnections / 2);
        CHECK(lateCallbacks(fixture, Millis(5000)) == 0);
        CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
    }
}

TEST_CASE("the edges that send call-backs to a receiver are killed: others send them") {
    EdgeStoreFixture fixture(1, 60);
    fixture.servers.max_receiver_connections = 64;
    runTraffic(fixture, 300);
    int killed = 0;
    for (std::size_t index = 0; index < fixture.edges.size() && killed < 8; ++index) {
        if (fixture.edges[index].http->receiverConnections() == 0) continue;
        fixture.killEdge(index);
        ++killed;
    }
    REQUIRE(killed > 0);
    runTraffic(fixture, 600);
    fixture.world().run(Millis(25'000));
    fixture.check();
    CHECK(fixture.unfinished() == 0);
    CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
}

TEST_CASE("a rate limit holds over all edges and stores") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        EdgeStoreFixture fixture(seed, 3);
        for (int i = 0; i < 1200; ++i) {
            fixture.submit("limited");
            fixture.world().run(Millis(10));
            if (i == 400) {
                fixture.stores.stop(*fixture.stores.machines[0]);
                fixture.changeView();
            }
        }
        std::size_t first = 0;
        std::size_t most = 0;
        const auto& times = fixture.limited_arrivals;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= Millis(5000)) ++first;
            most = std::max(most, last - first + 1);
        }
        INFO("seed " << seed);
        CHECK(most <= 20 * 5 * 1.1 + 5);
        CHECK(times.size() > 150);
    }
}

TEST_CASE("a lossy network") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        EdgeStoreFixture fixture(seed, 3);
        fixture.stores.network.loss = 0.01;
        runTraffic(fixture, 400);
        fixture.stores.network.loss = 0;
        fixture.world().run(Millis(25'000));
        fixture.check();
        INFO("seed " << seed);
        CHECK(fixture.unfinished() == 0);
        CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
    }
}

namespace {

constexpr Millis kQuotaPeriod{100};

// Simulates a CPU quota: each process is frozen for `standing` in every period of 100 ms, starting at a
// random offset, and runs for the rest.
void limitByQuota(EdgeStoreFixture& fixture, Millis standing, SteadyTime until) {
    const auto stop = [&fixture, standing](SimulatedScheduler* scheduler, MemoryTransport* transport) {
        scheduler->freeze(standing);
        transport->freeze(fixture.world().now() + standing);
    };
    for (SteadyTime at = fixture.world().now(); at < until; at += kQuotaPeriod) {
        for (std::size_t index = 0; index < fixture.edges.size() + fixture.stores.machines.size(); ++index) {
            const Millis offset(static_cast<std::int64_t>(fixture.world().chance() * 25));
            fixture.world().at(at + offset, [&fixture, stop, index] {
                if (index < fixture.edges.size()) {
                    EdgeProcess& edge = fixture.edges[index];
                    return stop(edge.scheduler.get(), edge.transport.get());
                }
                auto& process = fixture.stores.machines[index - fixture.edges.size()]->process;
                stop(process->scheduler.get(), process->transport.get());
            });
        }
    }
}

}  // namespace

TEST_CASE("edges and stores under a CPU quota keep the rules, and no message waits forever") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        EdgeStoreFixture fixture(seed, 3);
        fixture.servers.failure_rate = 0.05;
        fixture.servers.rejection_rate = 0.02;
        fixture.servers.full_rate = 0.05;
        limitByQuota(fixture, Millis(75), fixture.world().now() + Millis(30'000));
        runTraffic(fixture, 300);
        fixture.world().run(Millis(40'000));
        fixture.check();
        CHECK(fixture.accepted() > 250);
        CHECK(fixture.unfinished() == 0);
        CHECK(rerunsOfReadSuccesses(fixture) == 0);
        CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
    }
}
