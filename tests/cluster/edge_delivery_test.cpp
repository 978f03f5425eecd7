// Tests the delivery of granted messages: the requests to servers, the reports to owners, and that no attempt
// that may have run is repeated.
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

TEST_CASE("a message runs where it was accepted, exactly as it arrived, and its success is reported") {
    EdgeWorld world;
    world.provideAll();
    const HttpHeaders more = {{"Content-Type", "text/x"}, {"Order-Key", "cab-1"}};
    HttpRequest request = world.request("/ordered/x?a=b%20c", "id-1", more);
    request.method = "PUT";
    CHECK(world.statusOf(request) == 202);
    world.world.run(Millis(100));
    REQUIRE(world.http.sent.size() == 1);
    const HttpCall& call = world.http.sent[0].call;
    CHECK(call.request.method == "PUT");
    CHECK(call.request.target == "/ordered/x?a=b%20c");
    CHECK(call.request.body == "the body");
    CHECK(header(call, "Host") == "host.example");
    CHECK(header(call, "Request-Id") == "id-1");
    CHECK(header(call, "Order-Key") == "cab-1");
    CHECK(header(call, "Content-Type") == "text/x");
    CHECK(header(call, "Deadline-Ms") == "2000");
    CHECK(call.timeout == Millis(2100));
    CHECK(call.max_connections == 86);  // 0.9 of 96
    const std::string uid = header(call, "Expect-Instance");
    REQUIRE(uid.size() == 3);
    CHECK(call.to == serverAddress(static_cast<std::size_t>(uid[2] - '0')));
    REQUIRE(world.results().size() == 1);
    const RunResult result = world.results()[0];
    CHECK(result.id == "id-1");
    CHECK(result.outcome == RunOutcome::completed);
    CHECK(result.stamp == "stamp");
    CHECK(result.attempt == 1);
    CHECK(result.epoch == 1);
    CHECK_FALSE(result.callback_started);
}

TEST_CASE("without a grant nothing runs") {
    EdgeWorld world;
    world.provideAll();
    world.replyToAccepts({AcceptStatus::stored, false, 0, 0});
    CHECK(world.statusOf(world.request("/plain/x", "id-1")) == 202);
    world.world.run(Millis(200));
    CHECK(world.http.sent.empty());
}

TEST_CASE("an attempt that may have run ends the grant with the matching outcome") {
    EdgeWorld world;
    world.provideAll();
    HttpOutcome outcome;
    RunOutcome expected = RunOutcome::unknown;
    SUBCASE("success") {
        outcome = success("s"), expected = RunOutcome::completed;
    }
    SUBCASE("success without a stamp") {
        outcome = answer(200);
    }
    SUBCASE("failure") {
        outcome = answer(500), expected = RunOutcome::failed;
    }
    SUBCASE("permanent rejection") {
        outcome = answer(422), expected = RunOutcome::rejected;
    }
    SUBCASE("time-out reported by the server") {
        outcome = answer(504);
    }
    SUBCASE("no answer") {
        outcome = timedOut();
    }
    SUBCASE("a broken connection") {
        outcome = connectionLost();
    }
    SUBCASE("busy, without Not-Executed") {
        outcome = answer(503);
    }
    SUBCASE("already running") {
        outcome = notExecuted(409);
    }
    world.http.script = [&](const HttpCall&) { return outcome; };
    CHECK(world.push(0, {world.grant("id-1")}) == std::vector<bool>{true});
    world.world.run(Millis(5000));
    CHECK(world.http.sent.size() == 1);
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].outcome == expected);
    CHECK_FALSE(world.stores[0]->results[0].destination_down);
}

TEST_CASE("an attempt that certainly did not run is followed by another server within the grant") {
    EdgeWorld world;
    world.provideAll();
    HttpOutcome outcome;
    SUBCASE("full") {
        outcome = notExecuted(503);
    }
    SUBCASE("too many") {
        outcome = notExecuted(429);
    }
    SUBCASE("another instance") {
        outcome = answer(421);
    }
    SUBCASE("connection refused") {
        outcome = unreachable();
    }
    int tries = 0;
    world.http.script = [&](const HttpCall&) { return tries++ == 0 ? outcome : success("s"); };
    world.push(0, {world.grant("id-1")});
    world.world.run(Millis(1000));
    REQUIRE(world.http.sent.size() == 2);
    CHECK(world.http.sent[0].call.to != world.http.sent[1].call.to);
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::completed);
}

TEST_CASE("at most three sends per grant, then it goes back as not run") {
    std::size_t servers = 6;
    HttpOutcome outcome = unreachable();
    bool down = false;
    SUBCASE("all full") {
        outcome = notExecuted(503);
    }
    SUBCASE("all servers full, and no others") {
        outcome = notExecuted(503), servers = 3;
    }
    SUBCASE("unreachable, but there are others") {}
    SUBCASE("every server unreachable") {
        servers = 3, down = true;
    }
    EdgeWorld world(1, 3, servers);
    world.provideAll();
    world.http.script = [&](const HttpCall&) { return outcome; };
    world.push(0, {world.grant("id-1")});
    world.world.run(Millis(3000));
    CHECK(world.http.sent.size() == 3);
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::not_run);
    CHECK(world.stores[0]->results[0].destination_down == down);
}

TEST_CASE("a rate-limited service gets one request per grant") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return notExecuted(429); };
    Grant grant = world.cappedGrant("id-1");
    world.push(0, {grant});
    world.world.run(Millis(3000));
    REQUIRE(world.http.sent.size() == 1);
    CHECK(world.http.sent[0].call.to == NodeAddress{"172.20.0.3", 8066});
    CHECK(header(world.http.sent[0].call, "Expect-Instance").empty());
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::not_run);
    CHECK_FALSE(world.stores[0]->results[0].destination_down);
}

TEST_CASE("an endpoint that is down is reported as down") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return unreachable(); };
    Grant grant = world.cappedGrant("id-1");
    world.push(0, {grant});
    world.world.run(Millis(3000));
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::not_run);
    CHECK(world.stores[0]->results[0].destination_down);
}

TEST_CASE("connections to a server stay within this edge's share, and deliveries wait for them") {
    EdgeWorld world;
    world.provideAll();
    world.edge->setEdgeShare({2, 2, 0});  // 4 connections for all: 1 for each of two edges
    std::vector<Grant> grants;
    for (std::uint64_t i = 0; i < 5; ++i) {
        Grant grant = world.cappedGrant("id-" + std::to_string(i));
        grants.push_back(grant);
    }
    world.push(0, grants);
    world.world.run(Millis(500));
    CHECK(world.http.sent.size() == 5);
    CHECK(world.http.max_open == 1);
    CHECK(world.stores[0]->results.size() == 5);
}

TEST_CASE("any edge may run a message for an endpoint, even with more edges than connections") {
    for (std::uint32_t rank = 0; rank < 20; ++rank) {
        CAPTURE(rank);
        EdgeWorld world;
        world.provideAll();
        world.edge->setEdgeShare({20, 20, rank});
        world.push(0, {world.cappedGrant("id-1")});
        world.world.run(Millis(500));
        REQUIRE(world.stores[0]->results.size() == 1);
        CHECK(world.stores[0]->results[0].outcome == RunOutcome::completed);
    }
}

TEST_CASE("a grant that waits too long for a connection goes back") {
    EdgeWorld world;
    world.provideAll();
    world.edge->setEdgeShare({4, 4, 0});
    world.http.script = [](const HttpCall&) { return std::nullopt; };
    Grant first = world.cappedGrant("id-1");
    Grant second = world.cappedGrant("id-2");
    world.push(0, {first, second});
    world.world.run(Millis(1100));
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].id == "id-2");
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::not_run);
    CHECK(world.http.sent.size() == 1);
}

TEST_CASE("with no server listed a grant goes back at once") {
    EdgeWorld world;
    world.provideAll();
    world.listServers({});
    world.push(0, {world.grant("id-1")});
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::not_run);
    CHECK(world.stores[0]->results[0].destination_down);
}

TEST_CASE("a draining or removed server gets no requests once the list says so") {
    EdgeWorld world;
    world.provideAll();
    for (std::uint64_t i = 0; i < 30; ++i) world.push(0, {world.grant("a" + std::to_string(i))});
    for (std::size_t i = 0; i < 3; ++i) CHECK(world.http.sentTo(serverAddress(i)) > 0);
    const std::size_t drained = world.http.sentTo(serverAddress(0));
    const std::size_t gone = world.http.sentTo(serverAddress(2));
    world.listServers({server(0, true), server(1)});
    for (std::uint64_t i = 0; i < 30; ++i) world.push(0, {world.grant("b" + std::to_string(i))});
    CHECK(world.http.sentTo(serverAddress(0)) == drained);
    CHECK(world.http.sentTo(serverAddress(2)) == gone);
    CHECK(world.http.sent.size() == 60);
    REQUIRE(world.http.drained_addresses.size() == 1);
    CHECK(world.http.drained_addresses[0] == serverAddress(2));
}

TEST_CASE("a further send within a grant uses the newest list") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return std::nullopt; };
    world.push(0, {world.grant("id-1")});
    REQUIRE(world.http.held() == 1);
    world.listServers({server(0, true), server(1, true), server(2, true)});
    world.http.release(notExecuted(503));
    world.world.run(Millis(3000));
    CHECK(world.http.sent.size() == 1);
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::not_run);
}

TEST_CASE("the module spreads requests evenly over equal servers") {
    EdgeWorld world(1, 3, 4);
    world.provideAll();
    for (std::uint64_t i = 0; i < 200; ++i) world.push(0, {world.grant("id-" + std::to_string(i))});
    for (std::size_t i = 0; i < 4; ++i) {
        CHECK(world.http.sentTo(serverAddress(i)) > 40);
        CHECK(world.http.sentTo(serverAddress(i)) < 60);
    }
}

TEST_CASE("a server that broke connections is used again after a while") {
    EdgeWorld world(1, 3, 2);
    world.provideAll();
    bool sick = true;
    world.http.script = [&](const HttpCall& call) {
        return sick && call.to == serverAddress(0) ? connectionLost() : success("s");
    };
    for (std::uint64_t i = 0; i < 40; ++i) world.push(0, {world.grant("a" + std::to_string(i))});
    CHECK(world.http.sentTo(serverAddress(0)) <= 4);
    sick = false;
    const std::size_t before = world.http.sentTo(serverAddress(0));
    for (std::uint64_t i = 0; i < 600; ++i) world.push(0, {world.grant("b" + std::to_string(i))});
    CHECK(world.http.sentTo(serverAddress(0)) > before + 100);
}

TEST_CASE("slower servers get fewer requests") {
    EdgeWorld world(1, 3, 2);
    world.provideAll();
    std::map<NodeAddress, Millis> work = {{serverAddress(0), Millis(20)}, {serverAddress(1), Millis(80)}};
    world.http.script = [&](const HttpCall& call) {
        world.http.response_delay = work[call.to];
        return success("s");
    };
    for (std::uint64_t i = 0; i < 600; ++i) world.push(0, {world.grant("id-" + std::to_string(i))});
    CHECK(world.http.sentTo(serverAddress(0)) > world.http.sentTo(serverAddress(1)) * 3 / 2);
}

TEST_CASE("a repeated grant is accepted and not started twice, another attempt of the message is refused") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return std::nullopt; };
    CHECK(world.push(0, {world.grant("id-1", 0, 1)}) == std::vector<bool>{true});
    CHECK(world.push(0, {world.grant("id-1", 0, 1)}) == std::vector<bool>{true});
    CHECK(world.push(0, {world.grant("id-1", 0, 2)}) == std::vector<bool>{false});
    CHECK(world.http.sent.size() == 1);
    world.http.release(success("s"));
    world.world.run(Millis(50));
    CHECK(world.stores[0]->results.size() == 1);
    CHECK(world.push(0, {world.grant("id-1", 0, 3)}) == std::vector<bool>{true});
}

TEST_CASE("an attempt whose result is not acknowledged yet counts as running") {
    EdgeWorld world;
    world.provideAll();
    world.stores[0]->acknowledges_reports = false;
    world.push(0, {world.grant("id-1", 0, 1)});
    world.world.run(Millis(50));
    CHECK(world.push(0, {world.grant("id-1", 0, 2)}) == std::vector<bool>{false});
    world.world.run(Millis(1000));
    REQUIRE_FALSE(world.stores[0]->syncs.empty());
    REQUIRE(world.stores[0]->syncs.back().running.size() == 1);
    CHECK(world.stores[0]->syncs.back().running[0].id == "id-1");
    CHECK(world.http.sent.size() == 1);
}

TEST_CASE("grants of a store that lost the partition are refused") {
    EdgeWorld world;
    world.provideAll();
    world.edge->onView(world.viewWithout(2, 0));
    CHECK(world.push(0, {world.grant("id-1")}) == std::vector<bool>{false});
    CHECK(world.push(1, {world.grant("id-2")}) == std::vector<bool>{true});
    Grant newer = world.grant("id-3");
    newer.epoch = 3;  // epoch of a view that this edge does not have yet
    CHECK(world.push(0, {newer}) == std::vector<bool>{true});
}

TEST_CASE("grants for another incarnation of the edge are refused") {
    EdgeWorld world;
    world.provideAll();
    const Incarnation own = 7;
    CHECK(world.push(0, {world.grant("id-1")}, own - 1) == std::vector<bool>{false});
    CHECK(world.push(0, {world.grant("id-1", 0, 2)}, own + 1) == std::vector<bool>{false});
    world.world.run(Millis(200));
    CHECK(world.http.sent.empty());
    CHECK(world.push(0, {world.grant("id-1", 0, 3)}, own) == std::vector<bool>{true});
    CHECK(world.push(0, {world.grant("id-2")}) == std::vector<bool>{true});
    world.world.run(Millis(200));
    CHECK(world.http.sent.size() == 2);
}

TEST_CASE("grants above the limit are refused") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return std::nullopt; };
    std::vector<Grant> grants;
    for (std::uint64_t i = 0; i < 310; ++i) grants.push_back(world.grant("id-" + std::to_string(i)));
    const std::vector<bool> accepted = world.push(0, grants);
    REQUIRE(accepted.size() == 310);
    CHECK(std::count(accepted.begin(), accepted.end(), true) == 300);
    // A message is still accepted, but this edge does not ask for its grant.
    CHECK(world.statusOf(world.request("/plain/x", "more")) == 202);
    CHECK_FALSE(world.stores[0]->accepts.at(0).wants_grant);
}

TEST_CASE("messages of a route that a newer configuration removed are not run") {
    EdgeWorld world;
    world.provideAll();
    auto without = std::make_shared<Configuration>(*edge_test::configuration());
    without->generation = 2;
    std::erase_if(without->routes, [](const Route& route) { return route.name == "plain"; });
    without->buildIndexes();
    world.edge->onConfiguration(without);
    world.push(0, {world.grant("id-1")});
    CHECK(world.http.sent.empty());
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::not_run);
    // A grant made under a newer configuration than this edge has is delivered.
    Grant newer = world.grant("id-2");
    newer.content.config_generation = 3;
    world.push(0, {newer});
    CHECK(world.http.sent.size() == 1);
}

TEST_CASE("the module is rebuilt for another number of edges without losing grants") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return std::nullopt; };
    for (std::uint64_t i = 0; i < 3; ++i) world.push(0, {world.grant("id-" + std::to_string(i))});
    world.edge->setEdgeShare({8, 8, 0});
    world.http.release(notExecuted(503));  // sent by the previous module: the grant goes back to the owner
    world.http.release(success("s"));
    world.http.release(success("s"));
    world.http.script = [](const HttpCall&) { return success("s"); };
    world.push(0, {world.grant("after")});
    world.world.run(Millis(200));
    CHECK(world.stores[0]->results.size() == 4);
    const std::string counters = world.edge->countersText();
    CHECK(counters.find("not_run 1\n") != std::string::npos);
    CHECK(counters.find("completed 3\n") != std::string::npos);
    CHECK(counters.find("edges 8\n") != std::string::npos);
}

TEST_CASE("a lower number of edges takes effect only after a delay") {
    EdgeWorld world;
    world.provideAll();
    world.edge->setEdgeShare({8, 8, 0});
    world.edge->setEdgeShare({1, 1, 0});
    world.world.run(Millis(9000));
    CHECK(world.edge->countersText().find("edges 8\n") != std::string::npos);
    world.edge->setEdgeShare({7, 7, 0});
    world.world.run(Millis(1500));
    CHECK(world.edge->countersText().find("edges 7\n") != std::string::npos);
}

TEST_CASE("a grant received with an accept that this edge cannot run goes back at once") {
    EdgeWorld world;
    world.provideAll();
    world.http.script = [](const HttpCall&) { return std::nullopt; };
    std::vector<Grant> grants;
    for (std::uint64_t i = 0; i < 300; ++i) grants.push_back(world.grant("id-" + std::to_string(i)));
    world.push(0, grants);
    world.stores[0]->grants_unrequested = true;
    CHECK(world.statusOf(world.request("/plain/x", "more")) == 202);
    world.world.run(Millis(50));
    REQUIRE(world.stores[0]->results.size() == 1);
    CHECK(world.stores[0]->results[0].id == "more");
    CHECK(world.stores[0]->results[0].outcome == RunOutcome::not_run);
    for (const auto& sent : world.http.sent) CHECK(header(sent.call, "Request-Id") != "more");
}
