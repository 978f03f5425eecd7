// Tests the responses to clients: accepted messages, refusals and message queries.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <set>

#include "cluster/edge/message_ref.hpp"
#include "tests/cluster/edge_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::edge_test;

TEST_CASE("a stored message gets 202 with a reference that identifies it") {
    EdgeWorld world;
    world.provideAll();
    const auto response = world.responseTo(world.request("/plain/x", "id-1"));
    REQUIRE(response);
    CHECK(response->status == 202);
    const MessageRef ref = parseMessageRef(headerValue(response->headers, "Message-Ref"));
    CHECK(ref.id == "id-1");
    REQUIRE(ref.partition);
    REQUIRE(world.acceptRequestCount() == 1);
    CHECK(world.stores[*ref.partition % 3]->accepts.at(0).partition == *ref.partition);
}

TEST_CASE("references are unambiguous and at most 64 characters long") {
    CHECK(formatMessageRef(3, "x6162") == "p3-x6162");
    CHECK(formatMessageRef(3, "a b") == "p3.612062");
    CHECK(parseMessageRef("p3.612062").id == "a b");
    CHECK(parseMessageRef("p3.612062").partition == 3);
    CHECK(parseMessageRef("p12-p3-x").id == "p3-x");
    CHECK_FALSE(parseMessageRef("9c41d07be2a35f68").partition);
    CHECK_FALSE(parseMessageRef("p").partition);
    CHECK_FALSE(parseMessageRef("p3.zz").partition);
    CHECK_FALSE(formatMessageRef(3, std::string(62, 'a')));
    CHECK(formatMessageRef(3, std::string(61, 'a'))->size() == 64);
}

TEST_CASE("requests that are not valid messages of a route are refused with the matching status") {
    EdgeWorld world;
    CHECK(world.statusOf(world.request("/plain/x", "early")) == 503);
    world.provideAll();
    CHECK(world.statusOf(world.request("/nowhere/x", "id")) == 404);
    HttpRequest other_host = world.request("/plain/x", "id");
    other_host.headers[0].value = "other.example";
    CHECK(world.statusOf(other_host) == 404);
    HttpRequest unnamed = world.request("/plain/x", "id");
    unnamed.headers.pop_back();
    CHECK(world.statusOf(unnamed) == 400);
    CHECK(world.statusOf(world.request("/plain/x", "id", {{"Delay-Ms", "soon"}})) == 400);
    CHECK(world.statusOf(world.request("/plain/x", "id", {{"Delay-Ms", "-5"}})) == 400);
    CHECK(world.statusOf(world.request("/plain/x", "id", {{"Callback-Url", "ftp://x"}})) == 400);
    CHECK(world.statusOf(world.request("/plain/x", std::string(80, 'a'))) == 400);
    CHECK(world.acceptRequestCount() == 0);
}

TEST_CASE("the message reaches the owner unchanged, with the settings of its route") {
    EdgeWorld world;
    world.provideAll();
    const HttpHeaders more = {
        {"Content-Type", "text/x"}, {"Delay-Ms", "1500"}, {"Callback-Url", "http://10.20.0.4:8080/done"}};
    CHECK(world.statusOf(world.request("/plain/x?a=b%20c", "id-1", more)) == 202);
    const AcceptMessageRequest* asked = nullptr;
    for (const auto& store : world.stores) {
        if (!store->accepts.empty()) asked = &store->accepts[0];
    }
    REQUIRE(asked);
    CHECK(asked->content.method == "POST");
    CHECK(asked->content.target == "/plain/x?a=b%20c");
    CHECK(asked->content.host == "host.example");
    CHECK(asked->content.body == "the body");
    CHECK(asked->content.content_type == "text/x");
    CHECK(asked->content.callback_url == "http://10.20.0.4:8080/done");
    CHECK(asked->content.delay_ms == 1500);
    CHECK(asked->content.service == "desk");
    CHECK(asked->content.config_generation == 1);
    CHECK(asked->retention_ms == 90'000);
    CHECK(asked->max_failures == 3);
    CHECK(asked->timeout_ms == 2000);
    CHECK_FALSE(asked->wants_grant);  // it is not due yet
    CHECK(asked->epoch == 1);
}

TEST_CASE("an edge asks for the grant of a message for a static endpoint only if it has an open connection") {
    EdgeWorld world;
    world.provideAll();
    const auto wanted = [&world](const std::string& id) {
        CHECK(world.statusOf(world.request("/capped/x", id)) == 202);
        for (const auto& store : world.stores) {
            for (const AcceptMessageRequest& asked : store->accepts) {
                if (asked.content.id == id) return asked.wants_grant;
            }
        }
        return false;
    };
    CHECK_FALSE(wanted("id-1"));
    world.http.connected.insert({"172.20.0.3", 8066});
    CHECK(wanted("id-2"));
}

TEST_CASE("unordered messages go to owners in the edge's zone, ordered ones by their key") {
    EdgeWorld world;
    world.provideAll();
    for (int i = 0; i < 20; ++i) {
        CHECK(world.statusOf(world.request("/plain/x", "u" + std::to_string(i))) == 202);
    }
    CHECK(world.stores[0]->accepts.size() == 20);
    std::set<PartitionId> partitions;
    for (const auto& asked : world.stores[0]->accepts) partitions.insert(asked.partition);
    CHECK(partitions.size() > 1);

    const std::size_t before = world.acceptRequestCount();
    std::set<PartitionId> of_key;
    std::set<PartitionId> of_keys;
    for (int i = 0; i < 30; ++i) {
        const std::string key = "cab-" + std::to_string(i);
        for (int again = 0; again < 2; ++again) {
            const auto response = world.responseTo(
                world.request("/ordered/x", key + "." + std::to_string(again), {{"Order-Key", key}}));
            const auto ref = parseMessageRef(headerValue(response->headers, "Message-Ref"));
            of_keys.insert(*ref.partition);
            if (i == 0) of_key.insert(*ref.partition);
        }
    }
    CHECK(of_key.size() == 1);
    CHECK(of_keys.size() > 4);
    CHECK(world.acceptRequestCount() == before + 60);
}

TEST_CASE("an ordered route without a key takes messages as unordered") {
    EdgeWorld world;
    world.provideAll();
    CHECK(world.statusOf(world.request("/ordered/x", "id-1")) == 202);
    REQUIRE(world.stores[0]->accepts.size() == 1);
    CHECK_FALSE(world.stores[0]->accepts[0].content.ordered);
}

TEST_CASE("an unordered message that is certainly not stored goes to other owners, each once") {
    EdgeWorld world;
    world.provideAll();
    SUBCASE("refused") {
        world.stores[0]->accept_reply = {AcceptStatus::refused, false, 0, 0};
    }
    SUBCASE("not the owner") {
        world.stores[0]->accept_reply = {AcceptStatus::not_owner, false, 0, 0};
    }
    SUBCASE("connection refused") {
        world.stores[0]->die();
    }
    CHECK(world.statusOf(world.request("/plain/x", "id-1"), Millis(60)) == 202);
    CHECK(world.stores[1]->accepts.size() + world.stores[2]->accepts.size() == 1);
}

TEST_CASE("if all owners refuse, the client gets 503 at once with Retry-After") {
    EdgeWorld world;
    world.provideAll();
    world.replyToAccepts({AcceptStatus::refused, false, 0, 0});
    const auto response = world.responseTo(world.request("/plain/x", "id-1"), Millis(60));
    REQUIRE(response);
    CHECK(response->status == 503);
    CHECK_FALSE(headerValue(response->headers, "Retry-After").empty());
    for (const auto& store : world.stores) CHECK(store->accepts.size() == 1);
}

TEST_CASE("an ordered message waits briefly for another owner, then gets 503") {
    EdgeWorld world;
    world.provideAll();
    world.replyToAccepts({AcceptStatus::not_owner, false, 0, 0});
    const HttpRequest request = world.request("/ordered/x", "id-1", {{"Order-Key", "k"}});
    const SteadyTime start = world.world.now();
    CHECK(world.statusOf(request) == 503);
    CHECK(world.world.now() - start <= Millis(30 + 10 + 2));
    CHECK(world.acceptRequestCount() == 1);
}

TEST_CASE("an ordered message goes to the new owner that a newer view names") {
    EdgeWorld world;
    world.provideAll();
    for (auto& store : world.stores) store->die();
    for (int i = 0; i < 3; ++i) {
        world.stores[static_cast<std::size_t>(i)] = std::make_unique<FakeStore>(
            world.world, world.network, NodeAddress{"10.3.0." + std::to_string(i + 1), 7782});
    }
    std::optional<HttpResponse> response;
    world.edge->handleClientRequest(world.request("/ordered/x", "id-1", {{"Order-Key", "k"}}),
                                    [&](HttpResponse given) { response = std::move(given); });
    world.world.run(Millis(8));
    CHECK_FALSE(response);
    world.edge->onView(world.view(2));
    world.world.run(Millis(40));
    REQUIRE(response);
    CHECK(response->status == 202);
}

TEST_CASE("a message that may be stored gets 504, never 503") {
    EdgeWorld world;
    world.provideAll();
    SUBCASE("the owner does not know") {
        world.replyToAccepts({AcceptStatus::unknown, false, 0, 0});
        CHECK(world.statusOf(world.request("/plain/x", "id-1")) == 504);
        CHECK(world.acceptRequestCount() == 1);
    }
    SUBCASE("no answer until the client's deadline") {
        for (auto& store : world.stores) store->answers_accepts = false;
        const SteadyTime start = world.world.now();
        CHECK(world.statusOf(world.request("/plain/x", "id-1", {{"Deadline-Ms", "300"}})) == 504);
        CHECK(world.world.now() - start == Millis(300));
        CHECK(world.acceptRequestCount() == 1);
    }
    SUBCASE("no answer for two and a half times the target latency, within bounds") {
        for (auto& store : world.stores) store->answers_accepts = false;
        const auto answerDelay = [&](const std::string& id, Millis target) {
            auto changed = std::make_shared<Configuration>(*edge_test::configuration());
            for (Route& route : changed->routes) route.target_latency = target;
            changed->buildIndexes();
            world.edge->onConfiguration(changed);
            world.world.run(Millis(1200));  // until heartbeats clear the suspicion of the owners
            const SteadyTime start = world.world.now();
            CHECK(world.statusOf(world.request("/ordered/x", id, {{"Order-Key", "k"}})) == 504);
            return world.world.now() - start;
        };
        CHECK(answerDelay("id-1", Millis(120)) == Millis(300));
        CHECK(answerDelay("id-2", Millis(20)) == Millis(150));
        CHECK(answerDelay("id-3", Millis(900)) == Millis(1000));
    }
}

namespace {

// Ends the first accept calls as unknown instead of carrying them, like a connection that breaks during a
// request.
class BreakingTransport : public Transport {
public:
    BreakingTransport(World& world, Transport& below) : world_(world), below_(below) {}
    int connections_to_break = 0;
    void serve(RequestHandler handler) override { below_.serve(std::move(handler)); }
    void call(const NodeAddress& to, Envelope request, Millis timeout,
              std::function<void(CallResult)> done) override {
        const bool accept = request.kind == static_cast<std::uint16_t>(MessageKind::accept_message);
        if (!accept || connections_to_break == 0)
            return below_.call(to, std::move(request), timeout, std::move(done));
        --connections_to_break;
        world_.at(world_.now() + Millis(2), [done] { done({CallStatus::unknown, {}}); });
    }

private:
    World& world_;
    Transport& below_;
};

struct BreakingEdge {
    EdgeWorld world;
    BreakingTransport breaking_transport{world.world, *world.transport};
    EdgeNode edge{world.scheduler, breaking_transport, world.http, edgeSettings(), Incarnation{9}};

    BreakingEdge() {
        edge.start();
        edge.onView(world.view(1));
        edge.onConfiguration(edge_test::configuration());
    }
    int statusOf(const HttpRequest& request) {
        int status = 0;
        edge.handleClientRequest(request, [&](const HttpResponse& response) { status = response.status; });
        world.world.run(Millis(1100));
        return status;
    }
};

}  // namespace

TEST_CASE("after a broken connection an unordered message goes to another owner under the same id") {
    BreakingEdge fixture;
    fixture.breaking_transport.connections_to_break = 1;
    CHECK(fixture.statusOf(fixture.world.request("/plain/x", "id-1")) == 202);
    CHECK(fixture.world.acceptRequestCount() == 1);
}

TEST_CASE(
    "a refusal after a broken connection gives 504, since the first owner may have stored the message") {
    BreakingEdge fixture;
    fixture.breaking_transport.connections_to_break = 1;
    fixture.world.replyToAccepts({AcceptStatus::refused, false, 0, 0});
    CHECK(fixture.statusOf(fixture.world.request("/plain/x", "id-1")) == 504);
}

TEST_CASE("an ordered message whose owner's connection broke gets 504") {
    BreakingEdge fixture;
    fixture.breaking_transport.connections_to_break = 1;
    CHECK(fixture.statusOf(fixture.world.request("/ordered/x", "id-1", {{"Order-Key", "k"}})) == 504);
    CHECK(fixture.world.acceptRequestCount() == 0);
}

TEST_CASE("messages above the limit of open submissions get 503 at once") {
    EdgeWorld world;
    world.provideAll();
    for (auto& store : world.stores) store->answers_accepts = false;
    int open = 0;
    std::vector<int> statuses;
    for (int i = 0; i < 410; ++i) {
        ++open;
        world.edge->handleClientRequest(
            world.request("/plain/x", "id-" + std::to_string(i)),
            [&](const HttpResponse& response) { statuses.push_back(response.status); });
    }
    CHECK(statuses.size() == 10);
    for (const int status : statuses) CHECK(status == 503);
}

TEST_CASE("the state of a message comes from its owner") {
    EdgeWorld world;
    world.provideAll();
    HttpRequest ask = world.request("/message/p4-id-1", "q");
    ask.method = "GET";
    SUBCASE("pending") {
        const auto response = world.responseTo(ask);
        CHECK(response->status == 200);
        CHECK(response->body == R"({"phase":"pending"})");
        REQUIRE(world.stores[1]->queries.size() == 1);
        CHECK(world.stores[1]->queries[0].partition == 4);
        CHECK(world.stores[1]->queries[0].id == "id-1");
    }
    SUBCASE("completed") {
        world.stores[1]->state_reply = {QueryStatus::found, Phase::completed, "3e1b.07", ""};
        const auto response = world.responseTo(ask);
        CHECK(response->body == R"({"phase":"completed","stamp":"3e1b.07"})");
        CHECK(headerValue(response->headers, "Content-Type") == "application/json");
    }
    SUBCASE("dead letter") {
        world.stores[1]->state_reply = {QueryStatus::found, Phase::dead_letter, "", ""};
        CHECK(world.responseTo(ask)->body == R"({"phase":"dead_letter"})");
    }
    SUBCASE("unknown to its owner") {
        world.stores[1]->state_reply.status = QueryStatus::not_found;
        CHECK(world.statusOf(ask) == 404);
    }
    SUBCASE("body") {
        ask.target = "/message-body/p4-id-1";
        CHECK(world.responseTo(ask)->body == "body");
    }
}

TEST_CASE("a query waits for a new owner and gets 503 before the client gives up") {
    EdgeWorld world;
    world.provideAll();
    world.stores[1]->state_reply.status = QueryStatus::not_owner;
    HttpRequest ask = world.request("/message/p4-id-1", "q");
    ask.method = "GET";
    SUBCASE("a newer view") {
        std::optional<HttpResponse> response;
        world.edge->handleClientRequest(ask, [&](HttpResponse given) { response = std::move(given); });
        world.world.run(Millis(350));
        CHECK_FALSE(response);
        world.edge->onView(world.viewWithout(2, 1));
        world.world.run(Millis(150));
        REQUIRE(response);
        CHECK(response->status == 200);
    }
    SUBCASE("no newer view") {
        const SteadyTime start = world.world.now();
        CHECK(world.statusOf(ask) == 503);
        CHECK(world.world.now() - start <= Millis(1700));
    }
}

TEST_CASE("a query for a bare id asks every partition") {
    EdgeWorld world;
    world.provideAll();
    HttpRequest ask = world.request("/message/9c41d07b", "q");
    ask.method = "GET";
    for (auto& store : world.stores) store->state_reply.status = QueryStatus::not_found;
    CHECK(world.statusOf(ask) == 404);
    std::size_t queries = 0;
    for (auto& store : world.stores) queries += store->queries.size();
    CHECK(queries == 12);
    world.stores[2]->state_reply = {QueryStatus::found, Phase::completed, "s", ""};
    CHECK(world.statusOf(ask) == 200);
}

TEST_CASE("readiness needs a configuration, servers and a usable owner") {
    EdgeWorld world;
    const auto status = [&] {
        int given = 0;
        HttpRequest ask = world.request("/ready", "");
        world.edge->handleReadiness(ask, [&](const HttpResponse& response) { given = response.status; });
        return given;
    };
    CHECK(status() == 503);
    world.edge->onView(world.view(1));
    world.edge->onConfiguration(edge_test::configuration());
    CHECK(status() == 503);
    world.listServers(world.servers);
    CHECK(status() == 200);
    for (auto& store : world.stores) store->die();
    CHECK(world.statusOf(world.request("/plain/x", "id-1")) == 503);
    CHECK(status() == 503);
    world.world.run(Millis(3000));
    CHECK(status() == 503);  // no store has answered
    world.stores[2] = std::make_unique<FakeStore>(world.world, world.network, NodeAddress{"10.2.0.3", 7782});
    world.world.run(Millis(150));
    CHECK(status() == 200);
    std::string counters;
    world.edge->handleReadiness(world.request("/counters", ""),
                                [&](const HttpResponse& response) { counters = response.body; });
    CHECK(counters.find("unavailable 1\n") != std::string::npos);
}

TEST_CASE("Retry-After spreads a client's retries over its deadline") {
    EdgeWorld world;
    world.provideAll();
    world.replyToAccepts({AcceptStatus::refused, false, 0, 0});
    const auto advised = [&](const std::string& deadline) {
        HttpHeaders more;
        if (!deadline.empty()) more.push_back({"Deadline-Ms", deadline});
        const auto response = world.responseTo(world.request("/plain/x", "id", more));
        return std::string(headerValue(response->headers, "Retry-After"));
    };
    CHECK(advised("") == "0.100");
    CHECK(advised("60") == "0.100");
    CHECK(advised("500") == "0.166");
    CHECK(advised("9000") == "0.400");
}
