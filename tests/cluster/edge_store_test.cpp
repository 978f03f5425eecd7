// Real edges with real stores, over many seeds: what clients and servers see keeps the rules, calm or in
// trouble.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/edge_store_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::edge_store;

namespace {

void submitOne(Play& play) {
    const double kind = play.world().chance();
    if (kind < 0.4) return play.submit("lines", "k" + std::to_string(int(play.world().chance() * 8)));
    if (kind < 0.5) return play.submit("limited");
    if (kind < 0.6) return play.submit("plain", {}, false, 700);
    play.submit("plain", {}, kind > 0.8);
}

void traffic(Play& play, int messages) {
    for (int i = 0; i < messages; ++i) {
        submitOne(play);
        play.world().run(Millis(static_cast<std::int64_t>(play.world().chance() * 12)));
    }
}

int rerunsOfReadSuccesses(const Play& play) {
    int count = 0;
    for (const auto& [id, message] : play.seen) count += message.runs_after_read_success;
    return count;
}

// Messages that have ended and whose call-back took longer than that, or has not come.
int lateCallbacks(const Play& play, Millis most) {
    int count = 0;
    for (const auto& [id, message] : play.seen) {
        if (!message.wants_callback || !message.ended) continue;
        const SteadyTime called_back = message.called_back.value_or(SteadyTime::max());
        count += called_back > *message.ended + most;
    }
    return count;
}

int countStatus(const Play& play, int status) {
    int count = 0;
    for (const auto& [id, message] : play.seen) count += message.status == status;
    return count;
}

}  // namespace

TEST_CASE("a calm day: everything is accepted, runs once and is called back") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Play play(seed, 3);
        play.servers.failures = 0.05;
        play.servers.rejections = 0.02;
        play.servers.full = 0.05;
        traffic(play, 400);
        play.world().run(Millis(20'000));
        play.check();
        INFO("seed " << seed);
        CHECK(play.accepted() == 400);
        CHECK(play.unfinished() == 0);
        CHECK(rerunsOfReadSuccesses(play) == 0);
        CHECK_MESSAGE(play.faults.empty(), play.faultText());
    }
}

TEST_CASE("answers of servers get lost") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Play play(seed, 3);
        play.servers.lost_answers = 0.1;
        play.servers.failures = 0.05;
        traffic(play, 300);
        play.world().run(Millis(25'000));
        play.check();
        INFO("seed " << seed);
        CHECK(play.accepted() == 300);
        CHECK(rerunsOfReadSuccesses(play) == 0);
        CHECK_MESSAGE(play.faults.empty(), play.faultText());
    }
}

TEST_CASE("a store is killed: others go on, and what succeeded is not run again") {
    int reruns = 0;
    int unclear = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Play play(seed, 3);
        traffic(play, 200);
        StoreMachine& victim = *play.stores.machines[seed % 3];
        play.stores.stop(victim);
        traffic(play, 100);  // nobody has noticed yet
        play.changeView();
        traffic(play, 150);
        play.stores.start(victim);
        play.changeView();
        traffic(play, 150);
        play.world().run(Millis(25'000));
        play.check();
        INFO("seed " << seed);
        CHECK(play.accepted() > 450);
        CHECK(play.unfinished() == 0);
        CHECK_MESSAGE(play.faults.empty(), play.faultText());
        reruns += rerunsOfReadSuccesses(play);
        unclear += countStatus(play, 504);
    }
    MESSAGE("runs again after a success that was read: " << reruns << ", unclear answers: " << unclear);
    CHECK(reruns <= 3);
}

TEST_CASE("a store leaves as planned: nothing runs twice") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Play play(seed, 3);
        traffic(play, 200);
        StoreMachine& leaver = *play.stores.machines[seed % 3];
        leaver.leaving = true;
        bool left = false;
        leaver.process->node->leave([&] { left = true; });
        play.changeView();
        traffic(play, 200);
        play.world().runUntil([&] { return left; }, Millis(6000));
        CHECK(left);
        play.stores.stop(leaver);
        play.changeView();
        traffic(play, 100);
        play.stores.start(leaver);
        play.changeView();
        traffic(play, 100);
        play.world().run(Millis(25'000));
        play.check();
        INFO("seed " << seed);
        CHECK(rerunsOfReadSuccesses(play) == 0);
        CHECK(play.unfinished() == 0);
        CHECK_MESSAGE(play.faults.empty(), play.faultText());
    }
}

TEST_CASE("an edge is killed and comes back") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Play play(seed, 3);
        traffic(play, 200);
        play.killEdge(seed % 3);
        traffic(play, 200);
        play.startEdge(seed % 3);
        traffic(play, 100);
        play.world().run(Millis(25'000));
        play.check();
        INFO("seed " << seed);
        CHECK(play.unfinished() == 0);
        CHECK_MESSAGE(play.faults.empty(), play.faultText());
    }
}

TEST_CASE("an edge leaves as planned: its clients are answered and nothing runs twice") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Play play(seed, 3);
        traffic(play, 200);
        const std::size_t leaver = seed % 3;
        bool left = false;
        play.edges[leaver].node->leave([&] {
            left = true;
            play.edges[leaver].scheduler->post([&] { play.killEdge(leaver); });  // the process exits
        });
        traffic(play, 600);  // some goes there until it has left
        CHECK(left);
        play.startEdge(leaver);
        traffic(play, 100);
        play.world().run(Millis(25'000));
        play.check();
        INFO("seed " << seed);
        for (const auto& [id, message] : play.seen) CHECK(message.status != 0);
        CHECK(rerunsOfReadSuccesses(play) == 0);
        CHECK(play.unfinished() == 0);
        CHECK_MESSAGE(play.faults.empty(), play.faultText());
    }
}

TEST_CASE("a receiver of call-backs is down for a while") {
    Play play(5, 3);
    play.servers.receiver_down = true;
    traffic(play, 300);
    play.world().run(Millis(12'000));
    play.servers.receiver_down = false;
    play.world().run(Millis(20'000));
    play.check();
    CHECK_MESSAGE(play.faults.empty(), play.faultText());
}

TEST_CASE("more edges than a receiver of call-backs takes connections: none is reset, none is late") {
    constexpr std::size_t kReceiverConnections = 64;
    constexpr int kEdges = 200;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        Play play(seed, kEdges);
        play.servers.receiver_connections = kReceiverConnections;
        for (int i = 0; i < 1500; ++i) {
            play.submit("plain", {}, true);
            play.world().run(Millis(3));
        }
        play.world().run(Millis(10'000));
        play.check();
        CHECK(play.accepted() == 1500);
        CHECK(play.unfinished() == 0);
        CHECK(play.receiver_resets == 0);
        CHECK(play.receiver_connections <= kReceiverConnections / 2);
        CHECK(lateCallbacks(play, Millis(5000)) == 0);
        CHECK_MESSAGE(play.faults.empty(), play.faultText());
    }
}

TEST_CASE("the edges that tell a receiver of call-backs are killed: others do it") {
    Play play(1, 60);
    play.servers.receiver_connections = 64;
    traffic(play, 300);
    int killed = 0;
    for (std::size_t index = 0; index < play.edges.size() && killed < 8; ++index) {
        if (play.edges[index].http->receiverConnections() == 0) continue;
        play.killEdge(index);
        ++killed;
    }
    REQUIRE(killed > 0);
    traffic(play, 600);
    play.world().run(Millis(25'000));
    play.check();
    CHECK(play.unfinished() == 0);
    CHECK_MESSAGE(play.faults.empty(), play.faultText());
}

TEST_CASE("a ceiling holds over all edges and stores") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Play play(seed, 3);
        for (int i = 0; i < 1200; ++i) {
            play.submit("limited");
            play.world().run(Millis(10));
            if (i == 400) {
                play.stores.stop(*play.stores.machines[0]);
                play.changeView();
            }
        }
        std::size_t first = 0;
        std::size_t most = 0;
        const auto& times = play.limited_arrivals;
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
        Play play(seed, 3);
        play.stores.network.loss = 0.01;
        traffic(play, 400);
        play.stores.network.loss = 0;
        play.world().run(Millis(25'000));
        play.check();
        INFO("seed " << seed);
        CHECK(play.unfinished() == 0);
        CHECK_MESSAGE(play.faults.empty(), play.faultText());
    }
}

namespace {

constexpr Millis kQuotaPeriod{100};

// A share of a core as a quota: each process runs for a part of each tenth of a second, from a moment of its
// own on, and stands still for the rest.
void limitByQuota(Play& play, Millis standing, SteadyTime until) {
    const auto stop = [&play, standing](SimulatedScheduler* scheduler, MemoryTransport* transport) {
        scheduler->freeze(standing);
        transport->freeze(play.world().now() + standing);
    };
    for (SteadyTime at = play.world().now(); at < until; at += kQuotaPeriod) {
        for (std::size_t index = 0; index < play.edges.size() + play.stores.machines.size(); ++index) {
            const Millis offset(static_cast<std::int64_t>(play.world().chance() * 25));
            play.world().at(at + offset, [&play, stop, index] {
                if (index < play.edges.size()) {
                    EdgeProcess& edge = play.edges[index];
                    return stop(edge.scheduler.get(), edge.transport.get());
                }
                auto& process = play.stores.machines[index - play.edges.size()]->process;
                stop(process->scheduler.get(), process->transport.get());
            });
        }
    }
}

}  // namespace

TEST_CASE("edges and stores whose processor is a quota keep the rules, and nothing waits for good") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        Play play(seed, 3);
        play.servers.failures = 0.05;
        play.servers.rejections = 0.02;
        play.servers.full = 0.05;
        limitByQuota(play, Millis(75), play.world().now() + Millis(30'000));
        traffic(play, 300);
        play.world().run(Millis(40'000));
        play.check();
        CHECK(play.accepted() > 250);
        CHECK(play.unfinished() == 0);
        CHECK(rerunsOfReadSuccesses(play) == 0);
        CHECK_MESSAGE(play.faults.empty(), play.faultText());
    }
}
