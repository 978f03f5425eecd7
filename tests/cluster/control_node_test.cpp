// End-to-end tests of the control plane: three core machines, dispatchers and an operator.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <limits>

#include "cluster/control/operator_api.hpp"
#include "tests/cluster/control_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

void addStores(ControlWorld& play, int count = 3) {
    for (int index = 1; index <= count; ++index) {
        const std::string number = std::to_string(index);
        play.addClient("storage-" + number, NodeKind::store, "10.1.0." + number);
    }
}

void addEdges(ControlWorld& play, int count) {
    for (int index = 1; index <= count; ++index) {
        const std::string number = std::to_string(index);
        play.addClient("edge-" + number, NodeKind::edge, "10.2.0." + number);
    }
}

bool allHaveGeneration(ControlWorld& play, std::int64_t generation) {
    return std::all_of(play.clients.begin(), play.clients.end(), [&](const auto& client) {
        const auto configuration = client.second->client().configuration();
        return configuration && configuration->generation == generation;
    });
}

bool allHaveView(ControlWorld& play, std::size_t alive) {
    return std::all_of(play.clients.begin(), play.clients.end(), [&](const auto& client) {
        const auto view = client.second->client().view();
        if (!view) return false;
        const auto count = std::count_if(view->stores.begin(), view->stores.end(),
                                         [](const StoreMember& store) { return store.alive; });
        return static_cast<std::size_t>(count) == alive;
    });
}

bool allHaveServers(ControlWorld& play, std::size_t count) {
    return std::all_of(play.clients.begin(), play.clients.end(), [&](const auto& client) {
        const auto servers = client.second->client().servers();
        return servers && servers->servers.size() == count;
    });
}

template <class Version>
bool onlyRises(const std::vector<Version>& versions) {
    return std::adjacent_find(versions.begin(), versions.end(), std::greater_equal<>()) == versions.end();
}

void checkVersionsOnlyRise(ControlWorld& play) {
    for (const auto& [name, client] : play.clients) {
        CHECK_MESSAGE(onlyRises(client->generations), name);
        CHECK_MESSAGE(onlyRises(client->server_versions), name);
        CHECK_MESSAGE(onlyRises(client->epochs), name);
    }
}

}  // namespace

TEST_CASE("after a first start all dispatchers get the view, the servers and the configuration") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        ControlWorld play(seed);
        addEdges(play, 8);
        addStores(play);
        play.startAll();
        REQUIRE(play.world.runUntil([&] { return play.leader() != nullptr; }, Millis(2000)));
        CHECK(play.world.runUntil([&] { return allHaveView(play, 3); }, Millis(5000)));
        CHECK(play.world.runUntil([&] { return allHaveServers(play, 1); }, Millis(2000)));
        CHECK(play.replace(*play.core[seed % 3], 0, configurationJson(3)) == 200);
        const SteadyTime acknowledged = play.world.now();
        CHECK(play.world.runUntil([&] { return allHaveGeneration(play, 3); }, Millis(5000)));
        CHECK(play.world.now() - acknowledged < Millis(1000));
        play.world.run(Millis(1500));
        for (const auto& [name, client] : play.clients) CHECK(client->client().edgeShare().edges == 8);
        const auto view = play.clients["edge-1"]->client().view();
        CHECK(view->tolerated == 1);
        CHECK(view->partitions.size() == 24);
        for (int store = 0; store < 3; ++store) {
            CHECK(std::count_if(view->partitions.begin(), view->partitions.end(),
                                [&](const PartitionOwner& partition) { return partition.owner == store; }) ==
                  8);
        }
        checkVersionsOnlyRise(play);
    }
}

TEST_CASE("responses to the operator") {
    ControlWorld play(5);
    play.startAll();
    play.world.run(Millis(2000));
    CoreMachine& first = *play.core[0];
    CoreMachine& second = *play.core[1];
    CHECK(play.read(first).status == 404);
    CHECK(play.replace(first, 0, "{\"generation\":") == 400);
    CHECK(play.replace(first, 0, configurationJson(0)) >= 400);
    CHECK(play.replace(first, 4, configurationJson(5)) == 412);
    const std::string body = configurationJson(5);
    CHECK(play.replace(first, 0, body) == 200);
    CHECK(play.read(second).body == body);
    SUBCASE("a repeat is acknowledged again, also at another machine and after newer changes") {
        CHECK(play.replace(second, 0, body) == 200);
        CHECK(play.replace(second, 5, configurationJson(9)) == 200);
        CHECK(play.replace(first, 0, body) == 200);
        CHECK(play.read(first).body == configurationJson(9));
    }
    SUBCASE("another body with the same number on the old base is refused") {
        CHECK(play.replace(second, 0, configurationJson(5, "other")) == 412);
        CHECK(play.read(first).body == body);
    }
    SUBCASE("a generation that is not above the current one is invalid") {
        CHECK(play.replace(second, 5, configurationJson(5, "other")) == 400);
        CHECK(play.replace(second, 5, configurationJson(4)) == 400);
    }
    SUBCASE("a base version that is missing or malformed") {
        HttpRequest request = ControlWorld::replaceRequest(5, configurationJson(6));
        request.headers[0].value = "5x";
        CHECK(play.call(first, request).status == 400);
        request.headers[0].value = "";
        CHECK(play.call(first, request).status == 400);
        request.headers.clear();
        CHECK(play.call(first, request).status == 400);
    }
    SUBCASE("too large, unknown calls, retiring") {
        CHECK(play.replace(first, 5, std::string(kMaxOperatorBodyBytes + 1, ' ')) == 413);
        CHECK(play.call(first, {"GET", "/else", {}, {}}).status == 404);
        CHECK(play.call(first, {"DELETE", "/Config.Read", {}, {}}).status == 404);
        CHECK(play.call(first, {"POST", "/Retire.Start/storage-1", {}, "{}"}).status == 404);
        addStores(play, 1);
        play.world.run(Millis(1000));
        CHECK(play.call(first, {"POST", "/Retire.Start/storage-1", {}, "{}"}).status == 409);
        CHECK(play.call(first, {"GET", "/Retire.Read/storage-2", {}, {}}).status == 404);
    }
    SUBCASE("the status shows members and the configuration") {
        addStores(play, 1);
        play.world.run(Millis(1000));
        const HttpResponse status = play.call(first, {"GET", "/status", {}, {}});
        CHECK(status.status == 200);
        CHECK(status.body.find("\"storage-1\"") != std::string::npos);
        CHECK(status.body.find("\"configuration\":5") != std::string::npos);
    }
}

TEST_CASE("of two changes with the same base at two machines, one is taken") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        ControlWorld play(seed);
        play.startAll();
        play.world.run(Millis(2000));
        std::vector<int> answers;
        for (const std::string note : {"left", "right"}) {
            CoreMachine& machine = *play.core[note == "left" ? 0 : 1];
            machine.node().handleHttp(
                ControlWorld::replaceRequest(0, configurationJson(4, note)),
                [&](const HttpResponse& response) { answers.push_back(response.status); });
        }
        play.world.run(Millis(2000));
        std::sort(answers.begin(), answers.end());
        CHECK(answers == std::vector<int>{200, 412});
    }
}

TEST_CASE("without a majority the answer is 503 in time, and the same change is taken later") {
    ControlWorld play(9);
    play.startAll();
    play.world.run(Millis(2000));
    play.network.isolate(play.core[0]->ip());
    const SteadyTime asked = play.world.now();
    CHECK(play.replace(*play.core[0], 0, configurationJson(2)) == 503);
    CHECK(play.world.now() - asked <= Millis(1600));
    play.network.healAll();
    CHECK(play.replace(*play.core[1], 0, configurationJson(2)) == 200);
    CHECK(play.read(*play.core[0]).body == configurationJson(2));
}

TEST_CASE("an acknowledged change survives a kill of the whole core, also with the loss of one disk") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        ControlWorld play(seed);
        addEdges(play, 2);
        addStores(play);
        play.startAll();
        play.world.run(Millis(3000));
        REQUIRE(play.replace(*play.core[0], 0, configurationJson(2)) == 200);
        for (auto& machine : play.core) machine->kill();
        if (seed % 2 == 0) play.core[seed % 3]->wipe();
        play.world.run(Millis(500));
        play.startAll();
        CHECK(play.world.runUntil([&] { return allHaveGeneration(play, 2); }, Millis(4000)));
        CHECK(play.world.runUntil([&] { return play.core[seed % 3]->votes(); }, Millis(4000)));
        CHECK(play.read(*play.core[seed % 3]).body == configurationJson(2));
        CHECK(play.replace(*play.core[1], 2, configurationJson(3)) == 200);
        CHECK(play.world.runUntil([&] { return allHaveGeneration(play, 3); }, Millis(1000)));
        CHECK(play.world.runUntil([&] { return play.leader() != nullptr; }, Millis(4000)));
        checkVersionsOnlyRise(play);
    }
}

TEST_CASE("responses to operators hold under message loss, kills and a lost disk") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        ControlWorld play(seed);
        addEdges(play, 3);
        play.startAll();
        play.world.run(Millis(2000));
        play.network.loss = 0.03;
        std::int64_t current = 0;
        std::string current_body;
        for (std::int64_t generation = 1; generation <= 25; ++generation) {
            const std::string body = configurationJson(generation);
            int status = 0;
            for (int attempt = 0; attempt < 20 && status != 200; ++attempt) {
                CoreMachine& machine = *play.core[play.world.random()() % 3];
                if (machine.runs()) status = play.replace(machine, current, body);
                // A change based on the newest version may have an unknown outcome, but is never rejected.
                CHECK((status == 0 || status == 200 || status == 503));
                if (play.world.chance() < 0.15) {
                    CoreMachine& victim = *play.core[play.world.random()() % 3];
                    const bool others_vote = std::all_of(
                        play.core.begin(), play.core.end(),
                        [&](const auto& other) { return other.get() == &victim || other->votes(); });
                    victim.kill();
                    if (others_vote && play.world.chance() < 0.5) victim.wipe();
                    play.world.run(Millis(300));
                    victim.start();
                }
            }
            REQUIRE(status == 200);
            current = generation;
            current_body = body;
            const int lost_race =
                play.replace(*play.core[0], current - 1, configurationJson(generation, "rival"));
            CHECK((lost_race == 412 || lost_race == 503));
        }
        play.network.loss = 0;
        play.world.run(Millis(3000));
        for (auto& machine : play.core) CHECK(play.read(*machine).body == current_body);
        CHECK(allHaveGeneration(play, current));
        checkVersionsOnlyRise(play);
    }
}

TEST_CASE("a leader that fails or leaves is replaced, and a store that leaves is out of the view at once") {
    ControlWorld play(21);
    addEdges(play, 2);
    addStores(play);
    play.startAll();
    REQUIRE(play.world.runUntil([&] { return allHaveView(play, 3); }, Millis(5000)));
    CoreMachine* leader = play.leader();
    REQUIRE(leader != nullptr);
    SUBCASE("a killed leader") {
        leader->kill();
        REQUIRE(play.world.runUntil([&] { return play.leader() != nullptr; }, Millis(3000)));
        leader->start();
    }
    SUBCASE("a leader that leaves releases its lease") {
        bool left = false;
        leader->node().leave([&] { left = true; });
        REQUIRE(play.world.runUntil([&] { return play.leader() != nullptr; }, Millis(1000)));
        CHECK(play.leader() != leader);
        CHECK(play.world.runUntil([&] { return left; }, Millis(200)));
    }
    SUBCASE("a leader that is cut off") {
        play.network.isolate(leader->ip());
        play.world.run(Millis(1300));
        CHECK_FALSE(leader->leads());
        REQUIRE(play.world.runUntil([&] { return play.leader() != nullptr; }, Millis(3000)));
        CHECK(play.leader() != leader);
    }
    play.world.run(Millis(2000));
    play.clients["storage-2"]->client().leave();
    const SteadyTime left_at = play.world.now();
    CHECK(play.world.runUntil([&] { return allHaveView(play, 2); }, Millis(2000)));
    CHECK(play.world.now() - left_at < Millis(500));
    const auto view = play.clients["edge-1"]->client().view();
    for (const PartitionOwner& partition : view->partitions) {
        CHECK(partition.owner >= 0);
        CHECK(partition.previous_stopped);
        CHECK(view->stores[static_cast<std::size_t>(partition.owner)].alive);
    }
    checkVersionsOnlyRise(play);
}

TEST_CASE("a store that stops renewing is replaced in about a second and comes back") {
    ControlWorld play(22);
    addEdges(play, 1);
    addStores(play);
    play.startAll();
    REQUIRE(play.world.runUntil([&] { return allHaveView(play, 3); }, Millis(5000)));
    play.world.run(Millis(4000));
    play.clients.erase("storage-1");
    const SteadyTime killed_at = play.world.now();
    CHECK(play.world.runUntil([&] { return allHaveView(play, 2); }, Millis(3000)));
    CHECK(play.world.now() - killed_at < Millis(1600));
    const auto view = play.clients["edge-1"]->client().view();
    CHECK(std::count_if(view->partitions.begin(), view->partitions.end(),
                        [](const PartitionOwner& partition) { return !partition.previous_stopped; }) == 8);
    addStores(play, 1);
    CHECK(play.world.runUntil([&] { return allHaveView(play, 3); }, Millis(1500)));
    checkVersionsOnlyRise(play);
}

TEST_CASE("a stop of the whole core preserves the view and the configuration") {
    ControlWorld play(23);
    addEdges(play, 2);
    addStores(play);
    play.startAll();
    REQUIRE(play.world.runUntil([&] { return allHaveView(play, 3); }, Millis(5000)));
    REQUIRE(play.replace(*play.core[0], 0, configurationJson(2)) == 200);
    play.world.run(Millis(500));
    const Epoch epoch = play.clients["edge-1"]->client().view()->epoch;
    for (auto& machine : play.core) machine->kill();
    play.world.run(Millis(5000));
    play.startAll();
    play.world.run(Millis(6000));
    CHECK(allHaveGeneration(play, 2));
    CHECK(play.clients["edge-1"]->client().view()->epoch == epoch);
}

TEST_CASE("watchers leave a core machine that is partitioned from the others") {
    ControlWorld play(24);
    addEdges(play, 6);
    play.startAll();
    play.world.run(Millis(2000));
    REQUIRE(play.replace(*play.core[0], 0, configurationJson(2)) == 200);
    play.world.run(Millis(1000));
    // The edges can reach it, but no other core machine can.
    play.network.cutBoth(play.core[2]->ip(), play.core[0]->ip());
    play.network.cutBoth(play.core[2]->ip(), play.core[1]->ip());
    play.world.run(Millis(1500));
    REQUIRE(play.replace(*play.core[0], 2, configurationJson(3)) == 200);
    CHECK(play.world.runUntil([&] { return allHaveGeneration(play, 3); }, Millis(2000)));
}

TEST_CASE("of eight concurrent changes one is taken, the others are rejected, and every outcome is known") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        ControlWorld play(seed);
        play.startAll();
        play.world.run(Millis(2500));
        std::vector<int> answers;
        for (int order = 0; order < 8; ++order) {
            CoreMachine& machine = *play.core[static_cast<std::size_t>(order) % 3];
            const std::string body = configurationJson(4, "s" + std::to_string(order));
            machine.node().handleHttp(
                ControlWorld::replaceRequest(0, body),
                [&](const HttpResponse& response) { answers.push_back(response.status); });
        }
        const SteadyTime sent = play.world.now();
        CHECK(play.world.runUntil([&] { return answers.size() == 8; }, Millis(3000)));
        CHECK(play.world.now() - sent < Millis(1000));
        CHECK(std::count(answers.begin(), answers.end(), 200) == 1);
        CHECK(std::count(answers.begin(), answers.end(), 412) == 7);
    }
}

TEST_CASE(
    "a change whose answer was lost is acknowledged at another machine, even while the first still runs") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        ControlWorld play(seed);
        play.startAll();
        play.world.run(Millis(2500));
        const std::string body = configurationJson(4);
        const HttpRequest request = ControlWorld::replaceRequest(0, body);
        std::vector<int> answers;
        const auto note = [&](const HttpResponse& response) { answers.push_back(response.status); };
        play.core[0]->node().handleHttp(request, note);
        play.world.run(Millis(static_cast<std::int64_t>(play.world.chance() * 30)));
        play.core[1]->node().handleHttp(request, note);
        play.world.run(Millis(2000));
        CHECK(answers == std::vector<int>{200, 200});
        CHECK(play.read(*play.core[2]).body == body);
    }
}

TEST_CASE("a new leader removes no store during its observation period") {
    // The whole core restarts, and a store is unreachable for a short time afterwards.
    ControlWorld play(31);
    addEdges(play, 1);
    addStores(play);
    play.startAll();
    REQUIRE(play.world.runUntil([&] { return allHaveView(play, 3); }, Millis(5000)));
    for (auto& machine : play.core) machine->kill();
    play.world.run(Millis(200));
    play.startAll();
    REQUIRE(play.world.runUntil([&] { return play.leader() != nullptr; }, Millis(5000)));
    // All core machines know storage-1 by now; it is cut off during the observation period of the leader.
    play.network.isolate("10.1.0.1");
    play.world.run(Millis(1100));
    CHECK(allHaveView(play, 3));
    play.network.healAll();
    play.world.run(Millis(3000));
    CHECK(allHaveView(play, 3));
}

TEST_CASE("a retirement continues after the leader has died, and every core machine reports it") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        ControlWorld play(seed);
        addStores(play, 4);
        play.startAll();
        REQUIRE(play.world.runUntil([&] { return allHaveView(play, 4); }, Millis(5000)));
        for (auto& [name, client] : play.clients) client->peers = false;
        const HttpRequest start{"POST", "/Retire.Start/storage-2", {}, R"({"deadlineS":10})"};
        const HttpRequest read{"GET", "/Retire.Read/storage-2", {}, {}};
        CHECK(play.call(*play.core[seed % 3], read).status == 404);
        CHECK(play.call(*play.core[seed % 3], start).status == 200);
        if (seed % 2 == 0) play.world.run(Millis(500));
        CoreMachine* leader = play.leader();
        REQUIRE(leader != nullptr);
        leader->kill();
        for (auto& machine : play.core) {
            if (machine.get() == leader) continue;
            CHECK(play.call(*machine, start).status == 200);
            CHECK(play.call(*machine, read).body == R"({"phase":"in_progress"})");
        }
        play.world.run(Millis(5000));
        for (auto& machine : play.core) {
            if (machine.get() != leader)
                CHECK(play.call(*machine, read).body == R"({"phase":"in_progress"})");
        }
        for (auto& [name, client] : play.clients) client->peers = true;
        play.world.run(Millis(1500));
        leader->start();
        play.world.run(Millis(1500));
        for (auto& machine : play.core) {
            CHECK(play.call(*machine, read).body == R"({"phase":"completed"})");
            CHECK(play.call(*machine, start).status == 200);
        }
        CHECK(play.call(*leader, {"POST", "/Retire.Start/storage-1", {}, "{}"}).status == 409);
        CHECK(allHaveView(play, 3));
    }
}

// Upper limit of requests in 60 s, with three core machines and seven members; guards against additional
// traffic.
constexpr std::uint64_t kMaxIdleRequests = 7520;

TEST_CASE("an idle system does not write to disk and sends no more messages than the limit") {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ControlWorld play(seed);
        addEdges(play, 4);
        addStores(play);
        play.startAll();
        play.world.run(Millis(5000));
        REQUIRE(play.replace(*play.core[0], 0, configurationJson(3)) == 200);
        play.world.run(Millis(5000));
        const auto syncs = [&] {
            std::uint64_t all = 0;
            for (const auto& machine : play.core) all += machine->syncs();
            return all;
        };
        const std::uint64_t syncs_before = syncs();
        const std::uint64_t requests_before = play.network.requests;
        play.world.run(Millis(60000));
        const std::uint64_t requests = play.network.requests - requests_before;
        MESSAGE(requests << " requests");
        CHECK(syncs() == syncs_before);
        CHECK(requests <= kMaxIdleRequests);
    }
}
