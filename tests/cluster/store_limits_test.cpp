// Ceilings, connection limits, probing of what is down, and the choice of edges.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "cluster/storage/edges.hpp"
#include "cluster/storage/rate_limiter.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::storage;

namespace {

const SteadyTime kStart{std::chrono::seconds(1000)};

Configuration oneService(double rate_per_s, std::uint32_t max_connections = 100) {
    Configuration configuration;
    Service service;
    service.name = "partner";
    service.rate_per_s = rate_per_s;
    service.max_connections = max_connections;
    service.endpoint = NodeAddress{"10.9.0.1", 80};
    configuration.services.push_back(service);
    return configuration;
}

// Takes what can be had in that span, asking every millisecond; every attempt ends at once.
int takeAll(RateLimiter& limiter, SteadyTime& now, Millis span) {
    int taken = 0;
    for (const SteadyTime end = now + span; now < end; now += Millis(1)) {
        while (limiter.mayGrant("partner", now)) {
            limiter.granted("partner", now);
            limiter.settled("partner", DestinationSign::reached, now);
            ++taken;
        }
    }
    return taken;
}

}  // namespace

TEST_CASE("a store takes its share of 0.95 of the ceiling, and starts with nothing") {
    RateLimiter limiter;
    limiter.configure(oneService(40));
    limiter.setShares(0.5, 0.5, kStart);
    CHECK(!limiter.mayGrant("partner", kStart));
    SteadyTime now = kStart;
    const int taken = takeAll(limiter, now, Millis(10000));
    CHECK(taken <= 190);
    CHECK(taken >= 188);
}

TEST_CASE("after a silence little is saved up") {
    RateLimiter limiter;
    limiter.configure(oneService(100));
    limiter.setShares(1, 1, kStart);
    SteadyTime now = kStart;
    takeAll(limiter, now, Millis(1000));
    now += Millis(60000);
    CHECK(takeAll(limiter, now, Millis(1)) <= 2);
}

TEST_CASE("without a share nothing is granted, and other services do not care") {
    RateLimiter limiter;
    limiter.configure(oneService(100));
    CHECK(!limiter.mayGrant("partner", kStart + Millis(5000)));
    CHECK(!limiter.nextChance("partner", kStart + Millis(5000)).has_value());
    CHECK(limiter.mayGrant("other", kStart));
}

TEST_CASE("a new share counts from its moment on") {
    RateLimiter limiter;
    limiter.configure(oneService(10));
    limiter.setShares(0.1, 0.1, kStart);
    CHECK(!limiter.mayGrant("partner", kStart));
    limiter.setShares(1, 1, kStart + Millis(500));
    CHECK(!limiter.mayGrant("partner", kStart + Millis(520)));
    SteadyTime now = kStart + Millis(500);
    CHECK(takeAll(limiter, now, Millis(5000)) <= 48);
}

TEST_CASE("the next chance is when the next token is there") {
    RateLimiter limiter;
    limiter.configure(oneService(10));
    limiter.setShares(1, 1, kStart);
    CHECK(!limiter.mayGrant("partner", kStart));
    const auto chance = limiter.nextChance("partner", kStart);
    REQUIRE(chance.has_value());
    CHECK(*chance > kStart);
    CHECK(!limiter.mayGrant("partner", *chance - Millis(1)));
    CHECK(limiter.mayGrant("partner", *chance));
}

TEST_CASE("connections of a static service are shared out, two at least") {
    RateLimiter limiter;
    limiter.configure(oneService(0, 12));
    limiter.setShares(0.25, 0.25, kStart);
    for (int i = 0; i < 3; ++i) {
        REQUIRE(limiter.mayGrant("partner", kStart));
        limiter.granted("partner", kStart);
    }
    CHECK(!limiter.mayGrant("partner", kStart));
    limiter.settled("partner", DestinationSign::reached, kStart);
    CHECK(limiter.mayGrant("partner", kStart));
    limiter.setShares(0.01, 0.01, kStart);
    CHECK(!limiter.mayGrant("partner", kStart));
    limiter.settled("partner", DestinationSign::reached, kStart);
    CHECK(limiter.mayGrant("partner", kStart));
}

TEST_CASE("a destination that is down is probed one at a time, ever more seldom, until it answers") {
    RateLimiter limiter;
    SteadyTime now = kStart;
    for (int i = 0; i < 3; ++i) limiter.granted("partner", now);
    for (int i = 0; i < 3; ++i) limiter.settled("partner", DestinationSign::down, now);
    CHECK(limiter.down("partner"));
    CHECK(!limiter.mayGrant("partner", now));
    int probes = 0;
    for (const SteadyTime end = now + Millis(10000); now < end; now += Millis(1)) {
        if (!limiter.mayGrant("partner", now)) continue;
        limiter.granted("partner", now);
        CHECK(!limiter.mayGrant("partner", now + Millis(400)));
        limiter.settled("partner", DestinationSign::down, now);
        ++probes;
    }
    CHECK(probes >= 19);
    CHECK(probes <= 26);
    now += Millis(500);
    REQUIRE(limiter.mayGrant("partner", now));
    limiter.granted("partner", now);
    limiter.settled("partner", DestinationSign::reached, now);
    CHECK(!limiter.down("partner"));
    CHECK(limiter.mayGrant("partner", now));
}

TEST_CASE("outcomes that say nothing of the destination do not end the probing") {
    RateLimiter limiter;
    for (int i = 0; i < 3; ++i) limiter.granted("partner", kStart);
    for (int i = 0; i < 3; ++i) limiter.settled("partner", DestinationSign::down, kStart);
    limiter.granted("partner", kStart + Millis(30));
    limiter.settled("partner", DestinationSign::nothing, kStart + Millis(31));
    CHECK(limiter.down("partner"));
}

TEST_CASE("edges of the own zone are preferred; silent, leaving, unheard and full ones get nothing") {
    Edges edges("here", {}, 1);
    CHECK(edges.choose(kStart) == nullptr);
    Edge& far = edges.heard("far", {"10.2.0.1", 1}, kStart);
    CHECK(edges.choose(kStart) == nullptr);  // it has not told what it runs
    far.synced_epoch = 1;
    far.zone = "there";
    CHECK(edges.choose(kStart)->name == "far");
    Edge& near = edges.heard("near", {"10.2.0.2", 1}, kStart);
    near.synced_epoch = 1;
    near.zone = "here";
    for (int i = 0; i < 20; ++i) CHECK(edges.choose(kStart)->name == "near");
    near.leaving = true;
    CHECK(edges.choose(kStart)->name == "far");
    near.leaving = false;
    near.usable = false;
    CHECK(edges.choose(kStart)->name == "far");
    edges.heard("near", {"10.2.0.2", 1}, kStart);
    CHECK(edges.choose(kStart)->name == "near");
    const Millis silent = kEdgeHeartbeatInterval + kEdgeSilentSlack;
    CHECK(edges.choose(kStart + silent)->name == "near");
    CHECK(edges.choose(kStart + silent + Millis(1)) == nullptr);
    std::vector<QueueItem> items(kMaxGrantsPerEdge);
    for (QueueItem& item : items) edges.attach("near", item);
    CHECK(edges.choose(kStart)->name == "far");
    CHECK(edges.outstanding() == kMaxGrantsPerEdge);
}

TEST_CASE("the less busy of two edges is chosen more often") {
    Edges edges("here", {}, 1);
    std::vector<QueueItem> items(10);
    for (const char* name : {"busy", "idle"}) {
        Edge& edge = edges.heard(name, {"10.2.0.1", 1}, kStart);
        edge.synced_epoch = 1;
        edge.zone = "here";
    }
    for (QueueItem& item : items) edges.attach("busy", item);
    int idle = 0;
    for (int i = 0; i < 100; ++i) idle += edges.choose(kStart)->name == "idle" ? 1 : 0;
    CHECK(idle > 60);
}

TEST_CASE("runs for one destination go to the same few edges until these have clearly more to do") {
    Edges edges("here", {}, 1);
    for (int i = 0; i < 8; ++i) {
        Edge& edge = edges.heard("edge-" + std::to_string(i), {"10.2.0.1", 1}, kStart);
        edge.synced_epoch = 1;
        edge.zone = "here";
    }
    std::set<std::string> first;
    for (int i = 0; i < 20; ++i) first.insert(edges.chooseFor("partner", kStart)->name);
    CHECK(first.size() == 1);
    std::set<std::string> of_all;
    for (int i = 0; i < 40; ++i) of_all.insert(edges.chooseFor("partner-" + std::to_string(i), kStart)->name);
    CHECK(of_all.size() > 4);
    std::vector<QueueItem> items(80);
    for (QueueItem& item : items) edges.attach(edges.chooseFor("partner", kStart)->name, item);
    std::size_t most = 0;
    edges.forEach([&most](Edge& edge) { most = std::max(most, edge.grants.size()); });
    CHECK(most <= 15);
    edges.find(*first.begin())->leaving = true;
    CHECK(edges.chooseFor("partner", kStart)->name != *first.begin());
}

TEST_CASE("a second run for a destination goes to another of its few edges, whose connection is free") {
    Edges edges("here", {}, 1);
    for (int i = 0; i < 8; ++i) {
        Edge& edge = edges.heard("edge-" + std::to_string(i), {"10.2.0.1", 1}, kStart);
        edge.synced_epoch = 1;
        edge.zone = "here";
    }
    std::vector<QueueItem> items(4);
    std::vector<std::string> chosen;
    for (QueueItem& item : items) {
        item.grant = OutstandingGrant{};
        item.grant->service = "partner";
        chosen.push_back(edges.chooseFor("partner", kStart)->name);
        edges.attach(chosen.back(), item);
    }
    const std::set<std::string> first_three(chosen.begin(), chosen.begin() + 3);
    CHECK(first_three.size() == 3);
    CHECK(first_three.contains(chosen.back()));
    CHECK(edges.chooseFor("other", kStart) != nullptr);
}

TEST_CASE("stores of several zones choose several edges for one destination") {
    std::set<std::string> chosen;
    for (int zone = 0; zone < 6; ++zone) {
        const std::string store_zone = "zone-" + std::to_string(zone);
        Edges edges(store_zone, Topology({{store_zone, "stores"}, {"there", "edges"}}), 1);
        for (int i = 0; i < 40; ++i) {
            Edge& edge = edges.heard("edge-" + std::to_string(i), {"10.2.0.1", 1}, kStart);
            edge.synced_epoch = 1;
            edge.zone = "there";
        }
        chosen.insert(edges.chooseFor("partner", kStart)->name);
    }
    CHECK(chosen.size() >= 4);
}

TEST_CASE("an edge of another region leaves a run to a near one, if one may take it") {
    Edges edges("here", Topology({{"here", "east"}, {"beside", "east"}, {"there", "west"}}), 1);
    Edge& far = edges.heard("far", {"10.2.0.1", 1}, kStart);
    far.synced_epoch = 1;
    far.zone = "there";
    CHECK_FALSE(edges.hasNearerThan(far, kStart));
    Edge& near = edges.heard("near", {"10.2.0.2", 1}, kStart);
    near.synced_epoch = 1;
    near.zone = "beside";
    const SteadyTime later = kStart + Millis(200);
    CHECK(edges.hasNearerThan(far, later));
    CHECK_FALSE(edges.hasNearerThan(near, later));
    near.leaving = true;
    CHECK_FALSE(edges.hasNearerThan(far, later + Millis(200)));
}

TEST_CASE("all have told once each connected edge, and as many as there should be, named the view") {
    Edges edges("here", {}, 1);
    CHECK(edges.allSynced(1, 0, kStart));
    CHECK(!edges.allSynced(1, 2, kStart));
    edges.heard("a", {"10.2.0.1", 1}, kStart).synced_epoch = 4;
    CHECK(!edges.allSynced(4, 2, kStart));
    edges.heard("b", {"10.2.0.2", 1}, kStart).synced_epoch = 3;
    CHECK(!edges.allSynced(4, 2, kStart));
    edges.find("b")->synced_epoch = 4;
    CHECK(edges.allSynced(4, 2, kStart));
    edges.find("b")->synced_epoch = 3;
    const SteadyTime b_is_gone = kStart + kEdgeHeartbeatInterval + kEdgeGoneSlack + Millis(1);
    edges.heard("a", {"10.2.0.1", 1}, b_is_gone);
    CHECK(edges.allSynced(4, 1, b_is_gone));
}

TEST_CASE("an edge counts as silent by the heartbeat that it promised itself") {
    Edges edges("here", {}, 1);
    Edge& rests = edges.heard("rests", {"10.2.0.1", 1}, kStart);
    rests.synced_epoch = 1;
    rests.heartbeat = kRemoteIdleHeartbeatFactor * kEdgeHeartbeatInterval;
    CHECK(edges.choose(kStart + kEdgeHeartbeatInterval + kEdgeSilentSlack + Millis(1))->name == "rests");
    CHECK(edges.choose(kStart + rests.heartbeat + kEdgeSilentSlack + Millis(1)) == nullptr);
}

TEST_CASE("an edge that is asked whether it is there gets nothing until it is heard") {
    Edges edges("here", {}, 1);
    Edge& edge = edges.heard("edge", {"10.2.0.1", 1}, kStart);
    edge.synced_epoch = 1;
    edge.asked = kStart + Millis(10);
    CHECK(edges.choose(kStart + Millis(20)) == nullptr);
    edges.heard("edge", {"10.2.0.1", 1}, kStart + Millis(30));
    CHECK(edges.choose(kStart + Millis(40))->name == "edge");
}

TEST_CASE("a listed service gets no more at once than twice its slots, by the partitions that are owned") {
    RateLimiter limiter;
    const SteadyTime now{std::chrono::seconds(1000)};
    limiter.setCapacities({{"board", 12}});
    limiter.setShares(0, 0.5, now);  // ceilings of a new owner wait; what it owns counts at once
    for (int granted = 0; granted < 12; ++granted) {
        REQUIRE(limiter.mayGrant("board", now));
        limiter.granted("board", now);
    }
    CHECK_FALSE(limiter.mayGrant("board", now));
    limiter.settled("board", DestinationSign::reached, now);
    CHECK(limiter.mayGrant("board", now));
}
