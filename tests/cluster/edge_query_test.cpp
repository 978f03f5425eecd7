// Tests GET /message and /message-body: an edge answers 404 only if it is certain that the message does not
// exist, and always answers in time. Also checks the order keys and the number of runs that servers see.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "tests/cluster/edge_store_world.hpp"
#include "tests/cluster/edge_world.hpp"

using namespace amberswitch::cluster;
using edge_store::EdgeStoreFixture;
using edge_store::ObservedMessage;
using edge_test::EdgeWorld;

namespace {

constexpr Millis kMaxAnswerTime{2000};
constexpr Millis kQueryMinAge{2000};

// Returns the status of a query and checks that it arrives in time.
int queryInTime(EdgeWorld& world, const std::string& target) {
    HttpRequest ask = world.request(target, "q");
    ask.method = "GET";
    const SteadyTime start = world.world.now();
    const int status = world.statusOf(ask);
    CHECK(world.world.now() - start <= kMaxAnswerTime);
    return status;
}

// Queries the state and the body of messages accepted at least kQueryMinAge ago, and records wrong answers as
// violations.
class QueryClient {
public:
    explicit QueryClient(EdgeStoreFixture& fixture) : fixture_(fixture) {}

    void queryRandomMessages(int queries) {
        std::vector<std::string> candidates;
        for (const auto& [id, message] : fixture_.messages) {
            const bool is_old =
                message.status == 202 && fixture_.world().now() - message.answered > kQueryMinAge;
            if (is_old) candidates.push_back(id);
        }
        for (int query = 0; query < queries && !candidates.empty(); ++query) {
            const std::string& id = candidates[fixture_.world().random()() % candidates.size()];
            ask(id, query % 2 == 0);
        }
    }
    int asked() const { return asked_; }
    int answered() const { return answered_; }
    int unavailable() const { return unavailable_; }

private:
    void ask(const std::string& id, bool state) {
        const std::size_t edge = fixture_.world().random()() % fixture_.edges.size();
        if (!fixture_.edges[edge].node) return;
        ++asked_;
        HttpRequest request;
        request.method = "GET";
        request.target = (state ? "/message/" : "/message-body/") + fixture_.messages.at(id).ref;
        request.headers = {{"Host", "host.example"}};
        const SteadyTime start = fixture_.world().now();
        fixture_.edges[edge].node->handleClientRequest(
            request, [this, id, state, start](const HttpResponse& response) {
                checkResponse(id, state, start, response);
            });
    }
    void checkResponse(const std::string& id, bool state, SteadyTime start, const HttpResponse& response) {
        ++answered_;
        const ObservedMessage& message = fixture_.messages.at(id);
        if (fixture_.world().now() - start > kMaxAnswerTime)
            fixture_.violations.push_back("late: answer to a query for " + id);
        if (response.status == 503) ++unavailable_;
        const bool exists = state || !message.ended;
        if (response.status == 404 && exists) fixture_.violations.push_back("lost: 404 for " + id);
        const bool has_bytes = !state && response.status == 200;
        if (has_bytes && response.body != "body of " + id)
            fixture_.violations.push_back("changed: the queried body of " + id);
    }

    EdgeStoreFixture& fixture_;
    int asked_ = 0;
    int answered_ = 0;
    int unavailable_ = 0;
};

const std::string kOddKey = "k \xff\x80\xc3\xa9;,=%00\"'";

void runTrafficWithQueries(EdgeStoreFixture& fixture, QueryClient& client, int messages) {
    for (int i = 0; i < messages; ++i) {
        const double kind = fixture.world().chance();
        if (kind < 0.3) {
            fixture.submit("lines", kind < 0.1 ? kOddKey : "k" + std::to_string(i % 5));
        } else {
            fixture.submit("plain", {}, false, kind < 0.6 ? 6000 : 0);
        }
        fixture.world().run(Millis(static_cast<std::int64_t>(fixture.world().chance() * 24)));
        if (i % 10 == 0) client.queryRandomMessages(6);
    }
}

void checkAnswers(EdgeStoreFixture& fixture, const QueryClient& client) {
    fixture.world().run(Millis(25'000));
    fixture.check();
    CHECK(client.asked() > 100);
    CHECK(client.answered() > client.asked() * 9 / 10);  // a killed edge answers nothing
    CHECK(client.unavailable() < client.asked());
    CHECK_MESSAGE(fixture.violations.empty(), fixture.violationText());
}

}  // namespace

TEST_CASE("an edge that is not certain answers 503 within two seconds") {
    struct Situation {
        std::string name;
        std::function<void(EdgeWorld&)> setUp;
        int expected = 503;
    };
    const std::vector<Situation> situations{
        {"no view yet", [](EdgeWorld&) {}},
        {"a partition without an owner",
         [](EdgeWorld& world) {
             auto view = world.view(1);
             view->partitions[4].owner = -1;
             world.edge->onView(view);
         }},
        {"a dead owner",
         [](EdgeWorld& world) {
             world.provideAll();
             world.stores[1]->die();
         }},
        {"a silent owner",
         [](EdgeWorld& world) {
             world.provideAll();
             world.network.isolate(world.stores[1]->address().ip);
         }},
        {"an owner that is not ready",
         [](EdgeWorld& world) {
             world.provideAll();
             world.stores[1]->state_reply.status = QueryStatus::not_owner;
         }},
        {"owners without the message", [](EdgeWorld& world) { world.provideAll(); }, 404},
    };
    for (const Situation& situation : situations) {
        for (const std::string target : {"/message/p4-id-1", "/message-body/p4-id-1", "/message/bare-id"}) {
            INFO(situation.name << " " << target);
            EdgeWorld world;
            for (auto& store : world.stores) store->state_reply.status = QueryStatus::not_found;
            situation.setUp(world);
            CHECK(queryInTime(world, target) == situation.expected);
        }
    }
}

TEST_CASE("an edge answers from its first view on, and is not ready from the start of its shutdown") {
    EdgeWorld world;
    HttpRequest ask = world.request("/message/p4-id-1", "q");
    ask.method = "GET";
    int state = 0;
    world.edge->handleClientRequest(ask, [&](const HttpResponse& response) { state = response.status; });
    world.world.run(Millis(900));
    CHECK(state == 0);
    world.provideAll();
    world.world.run(Millis(200));
    CHECK(state == 200);
    const auto readiness = [&] {
        int given = 0;
        world.edge->handleReadiness(world.request("/ready", ""),
                                    [&](const HttpResponse& response) { given = response.status; });
        return given;
    };
    CHECK(readiness() == 200);
    world.edge->leave([] {});
    CHECK(readiness() == 503);
    CHECK(queryInTime(world, "/message/p4-id-1") == 200);  // on open connections
    CHECK(readiness() == 503);
}

TEST_CASE("no accepted message is unknown while stores and edges die and restart, order keys are unchanged") {
    int unavailable = 0;
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        INFO("seed " << seed);
        EdgeStoreFixture fixture(seed, 3);
        QueryClient client(fixture);
        runTrafficWithQueries(fixture, client, 250);
        auto& victim = *fixture.stores.machines[seed % 3];
        fixture.stores.stop(victim);
        runTrafficWithQueries(fixture, client, 80);  // no view reflects the death of the store yet
        fixture.changeView();
        runTrafficWithQueries(fixture, client, 150);
        fixture.stores.start(victim);
        fixture.changeView();
        runTrafficWithQueries(fixture, client, 150);
        fixture.killEdge(seed % 3);
        runTrafficWithQueries(fixture, client, 50);
        fixture.startEdge(seed % 3);
        runTrafficWithQueries(fixture, client, 100);
        unavailable += client.unavailable();
        checkAnswers(fixture, client);
    }
    MESSAGE("queries answered with 503: " << unavailable);
}

TEST_CASE("no accepted message is unknown on a lossy network") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        EdgeStoreFixture fixture(seed, 3);
        fixture.stores.network.loss = 0.02;
        QueryClient client(fixture);
        runTrafficWithQueries(fixture, client, 500);
        fixture.stores.network.loss = 0;
        checkAnswers(fixture, client);
    }
}

TEST_CASE("a message that has used up its runs reaches no server again, also under new owners") {
    int runs_over_budget = 0;
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        INFO("seed " << seed);
        EdgeStoreFixture fixture(seed, 3);
        QueryClient client(fixture);
        fixture.servers.failure_rate = 0.6;
        fixture.servers.rejection_rate = 0.2;
        runTrafficWithQueries(fixture, client, 200);
        CHECK(fixture.runs_over_budget == 0);
        auto& victim = *fixture.stores.machines[seed % 3];
        fixture.stores.stop(victim);
        runTrafficWithQueries(fixture, client, 60);
        fixture.changeView();
        runTrafficWithQueries(fixture, client, 150);
        fixture.stores.start(victim);
        fixture.changeView();
        runTrafficWithQueries(fixture, client, 150);
        checkAnswers(fixture, client);  // checks the specified bounds for each message
        CHECK(fixture.runs_over_budget <= 8);
        runs_over_budget += fixture.runs_over_budget;
    }
    CHECK(runs_over_budget <= 20);  // caused by failure counts lost with their owner; about one per seed
}

TEST_CASE("a read of the configuration is answered by its handler, unless a route matches its path") {
    EdgeWorld world;
    world.provideAll();
    int reads = 0;
    world.edge->onConfigurationRead([&reads](const HttpResponder& respond) {
        ++reads;
        respond(HttpResponse{});
    });
    HttpRequest read{"GET", "/Config.Read", {{"Host", "10.1.0.1:8069"}}, ""};
    CHECK(world.statusOf(read) == 200);
    CHECK(reads == 1);
    SUBCASE("another method is a message without a route") {
        read.method = "POST";
        CHECK(world.statusOf(read) == 404);
    }
    SUBCASE("another path is a message without a route") {
        read.target = "/Config.Reading";
        CHECK(world.statusOf(read) == 404);
    }
    SUBCASE("a route that matches the path takes precedence") {
        const auto changed = std::make_shared<Configuration>(*edge_test::configuration());
        ++changed->generation;
        changed->routes.front().path_prefix = "/Config.Read";
        changed->buildIndexes();
        world.edge->onConfiguration(changed);
        HttpRequest message = world.request("/Config.Read", "m-1");
        message.method = "GET";
        world.responseTo(message);
        CHECK(world.acceptRequestCount() > 0);
    }
    CHECK(reads == 1);
}
