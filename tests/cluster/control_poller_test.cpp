// Tests of ServerPoller, which reads the server list from the platform's API.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/control/server_poller.hpp"
#include "tests/cluster/control_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

class PollerFixture {
public:
    explicit PollerFixture(double rate_per_s = 44)
        : world(1),
          scheduler(world),
          cloud(world),
          poller(scheduler, cloud, CloudSettings{{"10.200.0.1", 8065}, rate_per_s, Millis(800)},
                 {.may_poll = [this] { return leads; },
                  .publish = [this](ServerList list) { published.push_back(std::move(list)); },
                  .published = [this] { return published.empty() ? nullptr : &published.back(); }}) {
        cloud.pages = {FakeCloud::page(FakeCloud::instance("i-1"))};
    }
    void twoPages() {
        cloud.pages = {FakeCloud::page(FakeCloud::instance("i-1"), FakeCloud::token(1)),
                       FakeCloud::page(FakeCloud::instance("i-2", "draining"))};
    }

    World world;
    SimulatedScheduler scheduler;
    FakeCloud cloud;
    bool leads = true;
    std::vector<ServerList> published;
    ServerPoller poller;
};

}  // namespace

TEST_CASE("a new leader polls at once and publishes what it reads") {
    PollerFixture play;
    play.poller.start(7);
    play.world.run(Millis(10));
    REQUIRE(play.published.size() == 1);
    const ServerList& list = play.published[0];
    CHECK(list.version == ServerListVersion{7, 1});
    REQUIRE(list.servers.size() == 1);
    CHECK(list.servers[0].uid == "i-1");
    CHECK(list.servers[0].service == "desk");
    CHECK(list.servers[0].address == NodeAddress{"10.9.0.9", 8080});
    CHECK(list.servers[0].zone == "a");
    CHECK(list.servers[0].capacity == 6);
    CHECK_FALSE(list.servers[0].draining);
}

TEST_CASE("all pages are combined into one list, and tokens are escaped") {
    PollerFixture play;
    play.twoPages();
    play.poller.start(1);
    play.world.run(Millis(10));
    REQUIRE(play.published.size() == 1);
    REQUIRE(play.published[0].servers.size() == 2);
    CHECK(play.published[0].servers[1].draining);
    CHECK(play.cloud.targets == std::vector<std::string>{"/instances", "/instances?pageToken=p%261"});
}

TEST_CASE("a list with a failed page is discarded, and the old one stays published") {
    PollerFixture play;
    play.poller.start(1);
    play.world.run(Millis(10));
    play.twoPages();
    play.world.run(Millis(480));
    REQUIRE(play.cloud.targets.size() == 1);
    // The first page of the next list arrives, then the platform rejects three calls.
    play.world.runUntil([&] { return play.cloud.targets.size() == 2; }, Millis(100));
    play.cloud.refuse_next = 3;
    play.world.run(Millis(100));
    CHECK(play.published.size() == 1);
    play.world.run(Millis(3000));
    REQUIRE(play.published.size() == 2);
    CHECK(play.published[1].servers.size() == 2);
    CHECK(play.published[1].version == ServerListVersion{1, 2});
}

TEST_CASE("a body that is not a page is a failure, not an empty list") {
    for (const std::string body :
         {"", "{}", "[]", "{\"instances\":{}}", "{\"instances\":[{\"uid\":\"i-1\"}]}",
          "{\"instances\":[],\"nextPageToken\":5}"}) {
        PollerFixture play;
        play.poller.start(1);
        play.world.run(Millis(10));
        play.cloud.pages = {body};
        play.world.run(Millis(2000));
        CHECK_MESSAGE(play.published.size() == 1, body);
    }
    PollerFixture play;
    play.cloud.pages = {FakeCloud::page("")};
    play.poller.start(1);
    play.world.run(Millis(10));
    REQUIRE(play.published.size() == 1);
    CHECK(play.published[0].servers.empty());
}

TEST_CASE("a change of only the remaining warm-up time is not published") {
    PollerFixture play;
    play.cloud.pages = {FakeCloud::page(FakeCloud::instance("i-1", "ready", 900))};
    play.poller.start(1);
    play.world.run(Millis(100));
    CHECK(play.published[0].servers[0].warmup_remaining_ms == 900);
    play.cloud.pages = {FakeCloud::page(FakeCloud::instance("i-1", "ready", 400))};
    play.world.run(Millis(1500));
    CHECK(play.published.size() == 1);
    play.cloud.pages = {FakeCloud::page(FakeCloud::instance("i-1", "draining"))};
    play.world.run(Millis(600));
    REQUIRE(play.published.size() == 2);
    CHECK(play.published[1].servers[0].draining);
}

TEST_CASE("calls stay within a quarter of the rate limit") {
    for (const double rate : {44.0, 8.0, 2.0}) {
        PollerFixture play(rate);
        play.twoPages();
        play.poller.start(1);
        play.world.run(Millis(60000));
        const double calls_per_s = static_cast<double>(play.cloud.targets.size()) / 60;
        CHECK(calls_per_s <= rate / 4 + 0.1);
        CHECK(calls_per_s <= 4.1);
        CHECK(calls_per_s >= std::min(3.9, rate / 4 - 0.1));
    }
}

TEST_CASE("a platform that does not answer is polled at most about once a second, and the old list stays") {
    PollerFixture play;
    play.poller.start(1);
    play.world.run(Millis(10));
    play.cloud.silent = true;
    play.world.run(Millis(20000));
    CHECK(play.cloud.targets.size() > 8);
    CHECK(play.cloud.targets.size() < 25);
    CHECK(play.published.size() == 1);
    play.cloud.silent = false;
    play.cloud.pages = {FakeCloud::page(FakeCloud::instance("i-9"))};
    play.world.run(Millis(2000));
    REQUIRE(play.published.size() == 2);
    CHECK(play.published[1].servers[0].uid == "i-9");
}

TEST_CASE("a machine that is no longer the leader neither polls nor publishes") {
    PollerFixture play;
    play.poller.start(1);
    play.world.run(Millis(1));
    play.leads = false;
    play.world.run(Millis(3000));
    CHECK(play.published.empty());
    CHECK(play.cloud.targets.size() == 1);
    play.leads = true;
    play.poller.start(4);
    play.world.run(Millis(100));
    REQUIRE(play.published.size() == 1);
    CHECK(play.published[0].version == ServerListVersion{4, 1});
}

TEST_CASE("percent-encoding keeps only the characters that are allowed in a query") {
    CHECK(percentEncode("aZ09-._~") == "aZ09-._~");
    CHECK(percentEncode("a b&c=d/e+f%") == "a%20b%26c%3Dd%2Fe%2Bf%25");
    CHECK(percentEncode("\xc3\xa9") == "%C3%A9");
}
