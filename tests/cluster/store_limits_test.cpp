// Tests the rate limiter (ceilings, limits of outstanding attempts, probing of destinations that are down)
// and the choice of an edge for a grant.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "cluster/storage/edge_registry.hpp"
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

// Grants as much as the limiter allows during `span`, asking every millisecond; every attempt ends at once.
// Advances `now` to the end of the span.
int takeAll(RateLimiter& limiter, SteadyTime& now, Millis span) {
    int taken = 0;
    for (const SteadyTime end = now + span; now < end; now += Millis(1)) {
        while (limiter.mayGrant("partner", now)) {
            limiter.recordGrant("partner", now);
            limiter.recordEnd("partner", DestinationStatus::reached, now);
            ++taken;
        }
    }
    return taken;
}

}  // namespace

TEST_CASE("a store uses its share of 0.95 of the ceiling, and starts with an empty bucket") {
    RateLimiter limiter;
    limiter.configure(oneService(40));
    limiter.setShares(0.5, 0.5, kStart);
    CHECK(!limiter.mayGrant("partner", kStart));
    SteadyTime now = kStart;
    const int taken = takeAll(limiter, now, Millis(10000));
    CHECK(taken <= 190);
    CHECK(taken >= 188);
}

TEST_CASE("an idle period accumulates at most a small burst") {
    RateLimiter limiter;
    limiter.configure(oneService(100));
    limiter.setShares(1, 1, kStart);
    SteadyTime now = kStart;
    takeAll(limiter, now, Millis(1000));
    now += Millis(60000);
    CHECK(takeAll(limiter, now, Millis(1)) <= 2);
}

TEST_CASE("without a share a service with a ceiling gets no grants, and other services are unaffected") {
    RateLimiter limiter;
    limiter.configure(oneService(100));
    CHECK(!limiter.mayGrant("partner", kStart + Millis(5000)));
    CHECK(!limiter.nextAllowedTime("partner", kStart + Millis(5000)).has_value());
    CHECK(limiter.mayGrant("other", kStart));
}

TEST_CASE("a new share applies only from the time at which it is set") {
    RateLimiter limiter;
    limiter.configure(oneService(10));
    limiter.setShares(0.1, 0.1, kStart);
    CHECK(!limiter.mayGrant("partner", kStart));
    limiter.setShares(1, 1, kStart + Millis(500));
    CHECK(!limiter.mayGrant("partner", kStart + Millis(520)));
    SteadyTime now = kStart + Millis(500);
    CHECK(takeAll(limiter, now, Millis(5000)) <= 48);
}

TEST_CASE("nextAllowedTime is the time at which the next token is available") {
    RateLimiter limiter;
    limiter.configure(oneService(10));
    limiter.setShares(1, 1, kStart);
    CHECK(!limiter.mayGrant("partner", kStart));
    const auto allowed = limiter.nextAllowedTime("partner", kStart);
    REQUIRE(allowed.has_value());
    CHECK(*allowed > kStart);
    CHECK(!limiter.mayGrant("partner", *allowed - Millis(1)));
    CHECK(limiter.mayGrant("partner", *allowed));
}

TEST_CASE("a store gets its share of the connections of a static service, and at least two") {
    RateLimiter limiter;
    limiter.configure(oneService(0, 12));
    limiter.setShares(0.25, 0.25, kStart);
    for (int i = 0; i < 3; ++i) {
        REQUIRE(limiter.mayGrant("partner", kStart));
        limiter.recordGrant("partner", kStart);
    }
    CHECK(!limiter.mayGrant("partner", kStart));
    limiter.recordEnd("partner", DestinationStatus::reached, kStart);
    CHECK(limiter.mayGrant("partner", kStart));
    limiter.setShares(0.01, 0.01, kStart);
    CHECK(!limiter.mayGrant("partner", kStart));
    limiter.recordEnd("partner", DestinationStatus::reached, kStart);
    CHECK(limiter.mayGrant("partner", kStart));
}

TEST_CASE("a destination that is down gets single probes with growing backoff until it answers") {
    RateLimiter limiter;
    SteadyTime now = kStart;
    for (int i = 0; i < 3; ++i) limiter.recordGrant("partner", now);
    for (int i = 0; i < 3; ++i) limiter.recordEnd("partner", DestinationStatus::down, now);
    CHECK(limiter.isDown("partner"));
    CHECK(!limiter.mayGrant("partner", now));
    int probes = 0;
    for (const SteadyTime end = now + Millis(10000); now < end; now += Millis(1)) {
        if (!limiter.mayGrant("partner", now)) continue;
        limiter.recordGrant("partner", now);
        CHECK(!limiter.mayGrant("partner", now + Millis(400)));
        limiter.recordEnd("partner", DestinationStatus::down, now);
        ++probes;
    }
    CHECK(probes >= 19);
    CHECK(probes <= 26);
    now += Millis(500);
    REQUIRE(limiter.mayGrant("partner", now));
    limiter.recordGrant("partner", now);
    limiter.recordEnd("partner", DestinationStatus::reached, now);
    CHECK(!limiter.isDown("partner"));
    CHECK(limiter.mayGrant("partner", now));
}

TEST_CASE("outcomes that show nothing about the destination do not end the probing") {
    RateLimiter limiter;
    for (int i = 0; i < 3; ++i) limiter.recordGrant("partner", kStart);
    for (int i = 0; i < 3; ++i) limiter.recordEnd("partner", DestinationStatus::down, kStart);
    limiter.recordGrant("partner", kStart + Millis(30));
    limiter.recordEnd("partner", DestinationStatus::unknown, kStart + Millis(31));
    CHECK(limiter.isDown("partner"));
}

TEST_CASE("edges of the own zone are preferred, and silent, leaving, unsynced and full edges get no grants") {
    EdgeRegistry edges("here", {}, 1);
    CHECK(edges.choose(kStart) == nullptr);
    Edge& far = edges.recordContact("far", {"10.2.0.1", 1}, kStart);
    CHECK(edges.choose(kStart) == nullptr);  // no edge_sync has arrived from it yet
    far.synced_epoch = 1;
    far.zone = "there";
    CHECK(edges.choose(kStart)->name == "far");
    Edge& near = edges.recordContact("near", {"10.2.0.2", 1}, kStart);
    near.synced_epoch = 1;
    near.zone = "here";
    for (int i = 0; i < 20; ++i) CHECK(edges.choose(kStart)->name == "near");
    near.leaving = true;
    CHECK(edges.choose(kStart)->name == "far");
    near.leaving = false;
    near.usable = false;
    CHECK(edges.choose(kStart)->name == "far");
    edges.recordContact("near", {"10.2.0.2", 1}, kStart);
    CHECK(edges.choose(kStart)->name == "near");
    const Millis silent = kEdgeHeartbeatInterval + kEdgeSilentSlack;
    CHECK(edges.choose(kStart + silent)->name == "near");
    CHECK(edges.choose(kStart + silent + Millis(1)) == nullptr);
    std::vector<QueueItem> items(kMaxGrantsPerEdge);
    for (QueueItem& item : items) edges.attach("near", item);
    CHECK(edges.choose(kStart)->name == "far");
    CHECK(edges.outstandingGrants() == kMaxGrantsPerEdge);
}

TEST_CASE("the edge with fewer grants is chosen more often") {
    EdgeRegistry edges("here", {}, 1);
    std::vector<QueueItem> items(10);
    for (const char* name : {"busy", "idle"}) {
        Edge& edge = edges.recordContact(name, {"10.2.0.1", 1}, kStart);
        edge.synced_epoch = 1;
        edge.zone = "here";
    }
    for (QueueItem& item : items) edges.attach("busy", item);
    int idle = 0;
    for (int i = 0; i < 100; ++i) idle += edges.choose(kStart)->name == "idle" ? 1 : 0;
    CHECK(idle > 60);
}

TEST_CASE("grants for one destination go to the same few edges until these hold clearly more than the mean") {
    EdgeRegistry edges("here", {}, 1);
    for (int i = 0; i < 8; ++i) {
        Edge& edge = edges.recordContact("edge-" + std::to_string(i), {"10.2.0.1", 1}, kStart);
        edge.synced_epoch = 1;
        edge.zone = "here";
    }
    std::set<std::string> first;
    for (int i = 0; i < 20; ++i) first.insert(edges.chooseForDestination("partner", kStart)->name);
    CHECK(first.size() == 1);
    std::set<std::string> of_all;
    for (int i = 0; i < 40; ++i)
        of_all.insert(edges.chooseForDestination("partner-" + std::to_string(i), kStart)->name);
    CHECK(of_all.size() > 4);
    std::vector<QueueItem> items(80);
    for (QueueItem& item : items) edges.attach(edges.chooseForDestination("partner", kStart)->name, item);
    std::size_t most = 0;
    edges.forEach([&most](Edge& edge) { most = std::max(most, edge.grants.size()); });
    CHECK(most <= 15);
    edges.find(*first.begin())->leaving = true;
    CHECK(edges.chooseForDestination("partner", kStart)->name != *first.begin());
}

TEST_CASE("a second grant for a destination goes to another preferred edge, whose connection is unused") {
    EdgeRegistry edges("here", {}, 1);
    for (int i = 0; i < 8; ++i) {
        Edge& edge = edges.recordContact("edge-" + std::to_string(i), {"10.2.0.1", 1}, kStart);
        edge.synced_epoch = 1;
        edge.zone = "here";
    }
    std::vector<QueueItem> items(4);
    std::vector<std::string> chosen;
    for (QueueItem& item : items) {
        item.grant = OutstandingGrant{};
        item.grant->service = "partner";
        chosen.push_back(edges.chooseForDestination("partner", kStart)->name);
        edges.attach(chosen.back(), item);
    }
    const std::set<std::string> first_three(chosen.begin(), chosen.begin() + 3);
    CHECK(first_three.size() == 3);
    CHECK(first_three.contains(chosen.back()));
    CHECK(edges.chooseForDestination("other", kStart) != nullptr);
}

TEST_CASE("stores of several zones choose several edges for one destination") {
    std::set<std::string> chosen;
    for (int zone = 0; zone < 6; ++zone) {
        const std::string store_zone = "zone-" + std::to_string(zone);
        EdgeRegistry edges(store_zone, Topology({{store_zone, "stores"}, {"there", "edges"}}), 1);
        for (int i = 0; i < 40; ++i) {
            Edge& edge = edges.recordContact("edge-" + std::to_string(i), {"10.2.0.1", 1}, kStart);
            edge.synced_epoch = 1;
            edge.zone = "there";
        }
        chosen.insert(edges.chooseForDestination("partner", kStart)->name);
    }
    CHECK(chosen.size() >= 4);
}

TEST_CASE("an edge of another region gets no grant at accept while a near edge can take it") {
    EdgeRegistry edges("here", Topology({{"here", "east"}, {"beside", "east"}, {"there", "west"}}), 1);
    Edge& far = edges.recordContact("far", {"10.2.0.1", 1}, kStart);
    far.synced_epoch = 1;
    far.zone = "there";
    CHECK_FALSE(edges.hasNearerThan(far, kStart));
    Edge& near = edges.recordContact("near", {"10.2.0.2", 1}, kStart);
    near.synced_epoch = 1;
    near.zone = "beside";
    const SteadyTime later = kStart + Millis(200);
    CHECK(edges.hasNearerThan(far, later));
    CHECK_FALSE(edges.hasNearerThan(near, later));
    near.leaving = true;
    CHECK_FALSE(edges.hasNearerThan(far, later + Millis(200)));
}

TEST_CASE("allSynced needs every connected edge, and the expected number of edges, to have synced the view") {
    EdgeRegistry edges("here", {}, 1);
    CHECK(edges.allSynced(1, 0, kStart));
    CHECK(!edges.allSynced(1, 2, kStart));
    edges.recordContact("a", {"10.2.0.1", 1}, kStart).synced_epoch = 4;
    CHECK(!edges.allSynced(4, 2, kStart));
    edges.recordContact("b", {"10.2.0.2", 1}, kStart).synced_epoch = 3;
    CHECK(!edges.allSynced(4, 2, kStart));
    edges.find("b")->synced_epoch = 4;
    CHECK(edges.allSynced(4, 2, kStart));
    edges.find("b")->synced_epoch = 3;
    const SteadyTime b_is_gone = kStart + kEdgeHeartbeatInterval + kEdgeGoneSlack + Millis(1);
    edges.recordContact("a", {"10.2.0.1", 1}, b_is_gone);
    CHECK(edges.allSynced(4, 1, b_is_gone));
}

TEST_CASE("an edge counts as silent by the heartbeat interval that it announced") {
    EdgeRegistry edges("here", {}, 1);
    Edge& idle = edges.recordContact("idle", {"10.2.0.1", 1}, kStart);
    idle.synced_epoch = 1;
    idle.heartbeat = kRemoteIdleHeartbeatFactor * kEdgeHeartbeatInterval;
    CHECK(edges.choose(kStart + kEdgeHeartbeatInterval + kEdgeSilentSlack + Millis(1))->name == "idle");
    CHECK(edges.choose(kStart + idle.heartbeat + kEdgeSilentSlack + Millis(1)) == nullptr);
}

TEST_CASE("an edge with a pending probe gets no grants until its next contact") {
    EdgeRegistry edges("here", {}, 1);
    Edge& edge = edges.recordContact("edge", {"10.2.0.1", 1}, kStart);
    edge.synced_epoch = 1;
    edge.probed = kStart + Millis(10);
    CHECK(edges.choose(kStart + Millis(20)) == nullptr);
    edges.recordContact("edge", {"10.2.0.1", 1}, kStart + Millis(30));
    CHECK(edges.choose(kStart + Millis(40))->name == "edge");
}

TEST_CASE("a listed service has at most twice its slots outstanding, by the share of owned partitions") {
    RateLimiter limiter;
    const SteadyTime now{std::chrono::seconds(1000)};
    limiter.setCapacities({{"board", 12}});
    limiter.setShares(0, 0.5,
                      now);  // a new owner may not use its ceilings yet, but its owned share counts at once
    for (int grants = 0; grants < 12; ++grants) {
        REQUIRE(limiter.mayGrant("board", now));
        limiter.recordGrant("board", now);
    }
    CHECK_FALSE(limiter.mayGrant("board", now));
    limiter.recordEnd("board", DestinationStatus::reached, now);
    CHECK(limiter.mayGrant("board", now));
}
