// Tests call-backs and the graceful shutdown of an edge.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/edge_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::edge_test;

namespace {

const NodeAddress kReceiver{"10.20.0.4", 8080};
const NodeAddress kOtherReceiver{"10.20.0.5", 8080};

Grant withCallback(const EdgeWorld& world, const std::string& id, const NodeAddress& receiver = kReceiver) {
    Grant grant = world.grant(id);
    grant.content.callback_url = "http://" + receiver.text() + "/done?x=1";
    return grant;
}
Grant callbackGrant(const EdgeWorld& world, const std::string& id, const NodeAddress& receiver = kReceiver) {
    Grant grant = withCallback(world, id, receiver);
    grant.callback = true;
    grant.phase = Phase::dead_letter;
    return grant;
}
bool toReceiver(const HttpCall& call) {
    return call.to == kReceiver || call.to == kOtherReceiver;
}

}  // namespace

TEST_CASE("a success is called back with its stamp, after it was reported to the owner") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall& call) {
        return toReceiver(call) ? answer(200) : success("st\"1");
    };
    world.push(0, {withCallback(world, "id-1")});
    world.world.run(Millis(300));
    REQUIRE(world.http.sent.size() == 2);
    const HttpCall& call = world.http.sent[1].call;
    CHECK(call.to == kReceiver);
    CHECK(call.request.method == "POST");
    CHECK(call.request.target == "/done?x=1");
    CHECK(headerValue(call.request.headers, "Content-Type") == "application/json");
    CHECK(call.request.body == R"({"uid":"id-1","phase":"completed","stamp":"st\"1"})");
    const auto results = world.stores[0]->results;
    REQUIRE(results.size() == 2);
    CHECK(results[0].outcome == RunOutcome::completed);
    CHECK(results[0].callback_started);
    CHECK(results[1].outcome == RunOutcome::callback_delivered);
    CHECK(world.edge->countersText().find("grants_held 0\n") != std::string::npos);
}

TEST_CASE("a rejected message is called back as a dead letter, a failed one is left to the owner") {
    EdgeWorld world;
    world.provideAll();
    int status = 422;
    world.http.script = [&](const HttpCall& call) { return toReceiver(call) ? answer(400) : answer(status); };
    world.push(0, {withCallback(world, "id-1")});
    world.world.run(Millis(300));
    REQUIRE(world.http.sent.size() == 2);
    CHECK(world.http.sent[1].call.request.body == R"({"uid":"id-1","phase":"dead_letter"})");
    CHECK(world.stores[0]->results.back().outcome == RunOutcome::callback_delivered);
    status = 500;
    world.push(0, {withCallback(world, "id-2")});
    world.world.run(Millis(300));
    CHECK(world.http.sent.size() == 3);
    CHECK_FALSE(world.stores[0]->results.back().callback_started);
}

TEST_CASE("the result is acknowledged before the call-back is reported") {
    EdgeWorld world;
    world.provideAll();
    world.stores[0]->acknowledges_reports = false;
    world.push(0, {withCallback(world, "id-1")});
    world.http.script = [](const HttpCall&) { return answer(200, {{"Response-Stamp", "s"}}); };
    world.world.run(Millis(1000));
    CHECK(world.http.sentTo(kReceiver) == 1);
    for (const RunResult& result : world.stores[0]->unacknowledged)
        CHECK(result.outcome == RunOutcome::completed);
    REQUIRE_FALSE(world.stores[0]->syncs.back().running.empty());
    CHECK_FALSE(world.stores[0]->syncs.back().running[0].callback);
    world.stores[0]->acknowledges_reports = true;
    world.world.run(Millis(300));
    REQUIRE(world.stores[0]->results.size() == 2);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::completed);
    CHECK(world.stores[0]->results[1].outcome == RunOutcome::callback_delivered);
    CHECK(world.http.sentTo(kReceiver) == 1);
}

TEST_CASE("a granted call-back is sent without running the message") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return answer(200); };
    CHECK(world.push(0, {callbackGrant(world, "id-1")}) == std::vector<bool>{true});
    world.world.run(Millis(300));
    REQUIRE(world.http.sent.size() == 1);
    CHECK(world.http.sent[0].call.to == kReceiver);
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::callback_delivered);
}

TEST_CASE("a failing receiver is retried with growing backoff, then the call-back is reported as failed") {
    EdgeWorld world;
    world.provideAll();
    SUBCASE("it answers 503") {
        world.http.script = [](const HttpCall&) { return answer(503); };
    }
    SUBCASE("it is down") {
        world.http.script = [](const HttpCall&) { return unreachable(); };
    }
    SUBCASE("it breaks the connection") {
        world.http.script = [](const HttpCall&) { return connectionLost(); };
    }
    world.push(0, {callbackGrant(world, "id-1")});
    world.world.run(Millis(7000));
    CHECK(world.stores[0]->results.empty());
    world.world.run(Millis(2000));
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::callback_failed);
    CHECK(world.http.sent.size() >= 6);
    CHECK(world.http.sent.size() <= 16);
    world.world.run(Millis(10'000));
    CHECK(world.stores[0]->results.size() == 1);
}

TEST_CASE("a receiver that is down does not delay others and gets few requests") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall& call) {
        return call.to == kReceiver ? unreachable() : answer(200);
    };
    std::vector<Grant> grants;
    for (int i = 0; i < 50; ++i) {
        grants.push_back(callbackGrant(world, "down-" + std::to_string(i)));
        grants.push_back(callbackGrant(world, "up-" + std::to_string(i), kOtherReceiver));
    }
    world.push(0, grants);
    world.world.run(Millis(1000));
    CHECK(world.stores[0]->results.size() == 50);
    CHECK(world.http.sentTo(kReceiver) <= 20);
    // Once the receiver is up again, all call-backs reach it.
    world.http.script = [](const HttpCall&) { return answer(200); };
    world.world.run(Millis(4000));
    CHECK(world.stores[0]->results.size() == 100);
}

TEST_CASE("a receiver that resets established connections gets few requests") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return connectionLost(); };
    std::vector<Grant> grants;
    for (int i = 0; i < 50; ++i) grants.push_back(callbackGrant(world, "id-" + std::to_string(i)));
    world.push(0, grants);
    world.world.run(Millis(1000));
    CHECK(world.http.sentTo(kReceiver) <= 20);
    world.http.script = [](const HttpCall&) { return answer(200); };
    world.world.run(Millis(4000));
    CHECK(world.stores[0]->results.size() == 50);
}

TEST_CASE("a receiver gets few connections per edge, fewer with many edges") {
    EdgeWorld world;
    world.provideAll();
    std::size_t most = 8;
    SUBCASE("few edges") {}
    SUBCASE("many edges") {
        world.edge->setEdgeShare({20, 20, 0});
        most = 3;
    }
    std::vector<Grant> grants;
    for (int i = 0; i < 60; ++i) grants.push_back(callbackGrant(world, "id-" + std::to_string(i)));
    world.http.script = [](const HttpCall&) { return answer(200); };
    world.push(0, grants);
    world.world.run(Millis(2000));
    CHECK(world.http.max_open == most);
    CHECK(world.stores[0]->results.size() == 60);
}

TEST_CASE("if not all edges may connect to a receiver, the owner grants the call-backs") {
    EdgeWorld world;
    world.provideAll();
    world.edge->setEdgeShare({200, 200, 0});
    world.http.script = [](const HttpCall& call) { return toReceiver(call) ? answer(200) : success("s"); };
    world.push(0, {withCallback(world, "own")});
    world.world.run(Millis(300));
    CHECK(world.http.sentTo(kReceiver) == 0);
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::completed);
    CHECK_FALSE(world.stores[0]->results[0].callback_started);
    std::vector<Grant> grants;
    for (int i = 0; i < 60; ++i) grants.push_back(callbackGrant(world, "id-" + std::to_string(i)));
    world.push(0, grants);
    world.world.run(Millis(2000));
    CHECK(world.http.sentTo(kReceiver) == 60);
    CHECK(world.http.max_open <= 4);
}

TEST_CASE("leaving: not ready, no new grants, running attempts end and are reported") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return std::nullopt; };
    world.push(0, {withCallback(world, "id-1")});
    bool left = false;
    world.edge->leave([&] { left = true; });
    CHECK_FALSE(world.edge->isReady());
    world.world.run(Millis(20));
    for (const auto& store : world.stores) CHECK(store->syncs.back().leaving);
    CHECK(world.push(0, {world.grant("id-2")}) == std::vector<bool>{false});
    // A client on an open connection is still served and asked to close it; its message runs on another edge.
    const auto response = world.responseTo(world.request("/plain/x", "id-3"));
    REQUIRE(response);
    CHECK(response->status == 202);
    CHECK(response->close);
    CHECK_FALSE(world.stores[0]->accepts.at(0).wants_grant);
    world.world.run(Millis(2500));
    CHECK_FALSE(left);
    world.http.release(success("s"));
    world.world.run(Millis(200));
    CHECK(left);
    REQUIRE(world.stores[0]->results.size() >= 1);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::completed);
    CHECK_FALSE(world.stores[0]->results[0].callback_started);
}

TEST_CASE("leaving: grants that have not started go back at once") {
    EdgeWorld world;
    world.provideAll();
    world.edge->setEdgeShare({4, 4, 0});
    world.http.script = [](const HttpCall&) { return std::nullopt; };
    Grant first = world.cappedGrant("id-1");
    Grant second = world.cappedGrant("id-2");
    world.push(0, {first, second});
    world.edge->leave([] {});
    world.world.run(Millis(20));
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].id == "id-2");
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::not_run);
}

TEST_CASE("leaving: queued call-backs go back, those in flight may still be delivered") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return std::nullopt; };
    std::vector<Grant> grants;
    for (int i = 0; i < 10; ++i) grants.push_back(callbackGrant(world, "id-" + std::to_string(i)));
    world.push(0, grants);
    CHECK(world.http.held() == 8);
    bool left = false;
    world.edge->leave([&] { left = true; });
    world.world.run(Millis(20));
    CHECK(world.stores[0]->results.size() == 2);
    for (int i = 0; i < 7; ++i) world.http.release(answer(200));
    world.http.release(unreachable());
    world.world.run(Millis(200));
    CHECK(world.stores[0]->results.size() == 10);
    world.world.run(Millis(2200));
    CHECK(left);
    CHECK(world.stores[0]->results.size() == 10);
    CHECK(world.stores[0]->results.back().outcome == RunOutcome::callback_failed);
}

TEST_CASE("leaving ends at the latest one second before the end of the grace period") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return std::nullopt; };
    world.push(0, {world.grant("id-1")});
    bool left = false;
    world.edge->leave([&] { left = true; });
    world.world.run(Millis(4900));
    CHECK_FALSE(left);
    world.world.run(Millis(150));
    CHECK(left);
}

TEST_CASE("leaving: clients are served until the platform has seen that the edge is not ready") {
    EdgeWorld world;
    world.provideAll();
    bool left = false;
    world.edge->leave([&] { left = true; });
    world.world.run(Millis(2250));
    CHECK_FALSE(left);
    CHECK(world.statusOf(world.request("/plain/x", "late")) == 202);
    world.world.run(Millis(100));
    CHECK(left);
}

TEST_CASE("a new owner gets the result again before the call-back is reported") {
    EdgeWorld world;
    world.provideAll();
    std::optional<HttpOutcome> receiver;
    world.http.script = [&](const HttpCall& call) {
        return toReceiver(call) ? receiver : std::optional<HttpOutcome>(success("s"));
    };
    SUBCASE("the call-back is still in flight") {}
    SUBCASE("the call-back was delivered as well") {
        receiver = answer(200);
    }
    world.push(0, {withCallback(world, "id-1")});
    world.world.run(Millis(100));
    world.edge->onView(world.viewWithout(2, 0));
    world.world.run(Millis(50));
    REQUIRE(world.stores[1]->results.size() >= 1);
    CHECK(world.stores[1]->results[0].outcome == RunOutcome::completed);
    CHECK(world.stores[1]->results[0].callback_started);
    if (!receiver) {
        CHECK(world.stores[1]->results.size() == 1);
        world.http.release(answer(200));
        world.world.run(Millis(50));
    }
    REQUIRE(world.stores[1]->results.size() == 2);
    CHECK(world.stores[1]->results[1].outcome == RunOutcome::callback_delivered);
    CHECK(world.http.sentTo(kReceiver) == 1);
    CHECK(world.edge->countersText().find("grants_held 0\n") != std::string::npos);
}
