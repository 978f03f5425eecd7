// Tests what an edge reports to the owners of partitions: results, until they are acknowledged, and running
// attempts.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <map>

#include "tests/cluster/edge_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::edge_test;

namespace {

std::string header(const HttpCall& call, const std::string& name) {
    return std::string(headerValue(call.request.headers, name));
}

}  // namespace

TEST_CASE("a result is reported again until the owner in the newest view acknowledges it") {
    EdgeWorld world;
    world.provideAll();
    SUBCASE("the owner does not acknowledge it") {
        world.stores[0]->acknowledges_reports = false;
    }
    SUBCASE("the owner is dead") {
        world.stores[0]->die();
    }
    SUBCASE("the owner is cut off") {
        world.network.isolate("10.2.0.1");
    }
    // The grant names store-0, which the edge's view still has as the owner.
    Grant grant = world.grant("id-1");
    world.stores[1]->push(world.world, world.edge_address, {"store-0", 0, {grant}});
    world.world.run(Millis(2000));
    CHECK(world.results().empty());
    world.edge->onView(world.viewWithout(2, 0));
    world.world.run(Millis(700));
    REQUIRE(world.stores[1]->results.size() == 1);
    CHECK(world.stores[1]->results[0].outcome == RunOutcome::completed);
    world.world.run(Millis(3000));
    CHECK(world.results().size() == 1);
    CHECK(world.http.sent.size() == 1);
}

TEST_CASE("reports are batched while a call is open") {
    EdgeWorld world;
    world.provideAll();
    world.http.response_delay = Millis(1);
    std::vector<Grant> grants;
    for (std::uint64_t i = 0; i < 50; ++i) grants.push_back(world.grant("id-" + std::to_string(i)));
    world.push(0, grants);
    world.world.run(Millis(200));
    CHECK(world.stores[0]->results.size() == 50);
    CHECK(world.stores[0]->report_calls <= 4);
}

TEST_CASE("results survive a lossy network") {
    EdgeWorld world(7);
    world.provideAll();
    world.network.loss = 0.3;
    std::size_t accepted = 0;
    for (std::uint64_t i = 0; i < 40; ++i) {
        // The store treats a lost answer as a refused grant, as an owner does.
        const std::string id = "id-" + std::to_string(i);
        const std::vector<bool> answer = world.push(0, {world.grant(id)});
        accepted += !answer.empty() && answer[0];
        world.world.run(Millis(500));
    }
    world.network.loss = 0;
    world.world.run(Millis(3000));
    std::map<std::string, int> sends;
    for (const auto& sent : world.http.sent) ++sends[header(sent.call, "Request-Id")];
    for (const auto& [id, count] : sends) CHECK(count == 1);
    std::map<std::string, int> reported;
    for (const RunResult& result : world.results()) ++reported[result.id];
    CHECK(reported.size() == sends.size());
    CHECK(sends.size() >= accepted);
}

TEST_CASE("every live store gets the running attempts with each view and every second") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return std::nullopt; };
    world.push(0, {world.grant("id-1")});
    world.world.run(Millis(2500));
    for (const auto& store : world.stores) {
        CHECK(store->syncs.size() >= 3);
        CHECK(store->syncs.back().edge == "edge-1");
        CHECK(store->syncs.back().incarnation == 7);
        REQUIRE(store->syncs.back().running.size() == 1);
        CHECK(store->syncs.back().running[0].attempt == 1);
        CHECK_FALSE(store->syncs.back().leaving);
    }
    const std::size_t before = world.stores[2]->syncs.size();
    world.edge->onView(world.view(2));
    world.world.run(Millis(5));
    CHECK(world.stores[2]->syncs.size() == before + 1);
    CHECK(world.stores[2]->syncs.back().view_epoch == 2);
}

TEST_CASE("a new owner gets results again that the dead owner may not have replicated") {
    EdgeWorld world;
    world.provideAll();
    int status = 200;
    world.http.script = [&](const HttpCall&) { return status == 200 ? success("s") : answer(status); };
    world.push(0, {world.grant("done", 0)});
    status = 500;
    world.push(0, {world.grant("failed", 3)});
    status = 200;
    world.push(1, {world.grant("elsewhere", 1)});
    world.world.run(Millis(1000));
    REQUIRE(world.stores[0]->results.size() == 2);
    const std::size_t of_next = world.stores[1]->results.size();
    // The successor is not ready at first. Until it acknowledges the result, the attempt counts as running,
    // so that the message is not run again.
    world.stores[1]->acknowledges_reports = false;
    world.edge->onView(world.viewWithout(2, 0));
    world.world.run(Millis(50));
    REQUIRE(world.stores[1]->syncs.back().view_epoch == 2);
    REQUIRE(world.stores[1]->syncs.back().running.size() == 1);
    CHECK(world.stores[1]->syncs.back().running[0].id == "done");
    CHECK(world.stores[1]->syncs.back().running[0].attempt == 1);
    world.stores[1]->acknowledges_reports = true;
    world.world.run(Millis(500));
    // The failure is not reported again, since it might be counted twice.
    REQUIRE(world.stores[1]->results.size() == of_next + 1);
    CHECK(world.stores[1]->results.back().id == "done");
    CHECK(world.stores[1]->results.back().outcome == RunOutcome::completed);
    CHECK(world.stores[1]->results.back().stamp == "s");
    CHECK(world.edge->countersText().find("grants_held 0\n") != std::string::npos);
    // Nothing is reported again if the owner stays the same, and neither are old results.
    world.world.run(Millis(3100));
    const std::size_t before = world.results().size();
    world.edge->onView(world.viewWithout(3, 1));
    world.world.run(Millis(500));
    CHECK(world.results().size() == before);
}
