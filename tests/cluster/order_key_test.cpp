// Tests of the order of messages with one order key while the operator changes the routes that they take:
// real edges and real stores, which learn of each change at different moments.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/edge_store_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::edge_store;

namespace {

constexpr int kKeys = 6;
constexpr Millis kSlowResponse{120};  // so that messages of every key wait
constexpr Millis kInForceEverywhere{3000};
constexpr Millis kDrained{40'000};

// Messages of a few order keys go to /lines/cabs/x and /lines/x while the routes change.
class OrderedTraffic {
public:
    explicit OrderedTraffic(std::uint64_t seed) : fixture(seed, 3) {
        fixture.servers.mean_response_time = kSlowResponse;
    }

    void send(int messages, Millis pause = Millis(12)) {
        for (int i = 0; i < messages; ++i) {
            ClientSubmission message{.route = "lines"};
            message.order_key = "k" + std::to_string(draw(kKeys));
            message.rest = draw(4) == 0 ? "x" : "cabs/x";
            if (hosts.size() > 1) message.host = hosts[draw(hosts.size())];
            if (delays && draw(5) == 0) message.delay_ms = 300;
            message.is_ordered = is_ordered;
            fixture.submit(message);
            fixture.world().run(Millis(static_cast<std::int64_t>(draw(2 * pause.count()))));
        }
    }
    // The configuration one generation later; `change` edits its routes.
    void change(const std::function<void(std::vector<Route>&)>& edit, Millis spread = Millis(80)) {
        auto next = std::make_shared<Configuration>(*fixture.stores.configuration);
        ++next->generation;
        edit(next->routes);
        fixture.configure(next, spread);
    }
    std::size_t draw(std::size_t count) {
        return static_cast<std::size_t>(fixture.world().chance() * static_cast<double>(count));
    }
    void finish() {
        fixture.world().run(kDrained);
        fixture.check();
        CHECK(fixture.unfinished() == 0);
        CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
    }

    EdgeStoreFixture fixture;
    std::vector<std::string> hosts{"host.example"};
    bool delays = false;
    bool is_ordered = true;  // whether the routes are `ordered` at all edges
};

Route& routeOf(std::vector<Route>& routes, const std::string& name) {
    return *std::find_if(routes.begin(), routes.end(),
                         [&name](const Route& route) { return route.name == name; });
}
void removeRoute(std::vector<Route>& routes, const std::string& name) {
    std::erase_if(routes, [&name](const Route& route) { return route.name == name; });
}
// A route with a longer prefix in front of `lines`.
void addLongerRoute(std::vector<Route>& routes) {
    Route longer = routeOf(routes, "lines");
    longer.name = "cabs";
    longer.path_prefix = "/lines/cabs/";
    routes.push_back(longer);
}

}  // namespace

// Guards against messages that overtake the earlier ones of their key when a longer route takes their path.
TEST_CASE("a longer route that comes and goes keeps the order of the keys") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        OrderedTraffic traffic(seed);
        traffic.send(100);
        traffic.change(addLongerRoute);
        traffic.send(100);
        traffic.change([](auto& routes) { removeRoute(routes, "cabs"); });
        traffic.send(100);
        traffic.finish();
        CHECK(traffic.fixture.accepted() == 300);
    }
}

// Guards against the same fault behind messages that are delayed.
TEST_CASE("a longer route that comes and goes keeps the order of keys with delayed messages") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        OrderedTraffic traffic(seed);
        traffic.delays = true;
        traffic.send(100);
        traffic.change(addLongerRoute);
        traffic.send(60);
        traffic.change([](auto& routes) { removeRoute(routes, "cabs"); });
        traffic.send(60);
        traffic.finish();
    }
}

// Guards against edges that still have the old configuration beside others that have the new one.
TEST_CASE("the order holds while only some edges and stores know of a longer route") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        OrderedTraffic traffic(seed);
        traffic.send(60);
        traffic.change(addLongerRoute, kInForceEverywhere);
        traffic.send(200);
        traffic.change([](auto& routes) { removeRoute(routes, "cabs"); }, kInForceEverywhere);
        traffic.send(200);
        traffic.finish();
    }
}

// Guards against a key whose place depends on the name, the service or the prefix of its route.
TEST_CASE("a route with another name, service or prefix keeps the order of the keys") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        OrderedTraffic traffic(seed);
        traffic.send(80);
        traffic.change([](auto& routes) { routeOf(routes, "lines").name = "renamed"; });
        traffic.send(80);
        traffic.change([](auto& routes) { routeOf(routes, "renamed").service = "servers"; });
        traffic.send(80);
        traffic.change([](auto& routes) { routeOf(routes, "renamed").path_prefix = "/line"; });
        traffic.send(80);
        traffic.finish();
    }
}

// Guards against a key whose place depends on the host: two routes with different hosts serve the same keys.
TEST_CASE("a key keeps its order when its route moves to another host") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        OrderedTraffic traffic(seed);
        traffic.hosts = {"host.example", "other.example"};
        traffic.change([](auto& routes) {
            Route other = routeOf(routes, "lines");
            other.name = "other";
            other.hostname = "other.example";
            routes.push_back(other);
        });
        traffic.send(150);
        traffic.change([](auto& routes) {
            removeRoute(routes, "lines");
            routeOf(routes, "other").hostname = "host.example";
        });
        traffic.send(150);
        traffic.finish();
    }
}

// Guards against messages that overtake the ones of their key that were accepted before the route was
// `ordered`.
TEST_CASE("a route that becomes ordered keeps the order behind the messages accepted before") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        OrderedTraffic traffic(seed);
        traffic.delays = true;
        const auto setOrdered = [&traffic](bool ordered) {
            if (!ordered) traffic.is_ordered = false;
            traffic.change([ordered](auto& routes) { routeOf(routes, "lines").ordered = ordered; });
            traffic.send(20);
            traffic.fixture.world().run(Millis(100));
            traffic.is_ordered = ordered;
        };
        for (int round = 0; round < 3; ++round) {
            setOrdered(false);
            traffic.send(60);
            setOrdered(true);
            traffic.send(60);
        }
        traffic.finish();
    }
}

// Guards against a new owner, or a restarted one, that places or orders a key in another way.
TEST_CASE("the order holds when an owner is replaced at the moment of a change") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        OrderedTraffic traffic(seed);
        StoreWorld& stores = traffic.fixture.stores;
        StoreMachine& victim = *stores.machines[seed % 3];
        traffic.send(80);
        traffic.change(addLongerRoute);
        stores.stop(victim);
        traffic.fixture.changeView();
        traffic.send(60);
        stores.start(victim);
        traffic.fixture.changeView();
        traffic.change([](auto& routes) { removeRoute(routes, "cabs"); });
        traffic.send(80);
        traffic.finish();
    }
}

// Guards against an order that holds over one change and not over many, one right after the other.
TEST_CASE("the order holds over series of changes while stores and edges restart") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        OrderedTraffic traffic(seed);
        EdgeStoreFixture& fixture = traffic.fixture;
        bool has_longer_route = false;
        for (int round = 0; round < 60; ++round) {
            const Millis spread = traffic.draw(4) == 0 ? kInForceEverywhere : Millis(80);
            traffic.change(
                [&](auto& routes) {
                    Route& lines = routeOf(routes, "lines");
                    if (traffic.draw(3) == 0) lines.service = lines.service == "board" ? "servers" : "board";
                    if (has_longer_route) {
                        removeRoute(routes, "cabs");
                    } else {
                        addLongerRoute(routes);
                    }
                    has_longer_route = !has_longer_route;
                },
                spread);
            traffic.send(8);
            if (round % 20 == 7) {
                StoreMachine& victim = *fixture.stores.machines[traffic.draw(3)];
                fixture.stores.stop(victim);
                fixture.changeView();
                traffic.send(8);
                fixture.stores.start(victim);
                fixture.changeView();
            }
            if (round % 20 == 15) {
                const std::size_t victim = traffic.draw(3);
                fixture.killEdge(victim);
                traffic.send(8);
                fixture.startEdge(victim);
            }
        }
        traffic.finish();
    }
}
