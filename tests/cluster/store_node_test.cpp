// Tests of whole stores: normal operation, failovers, ceilings and refusals.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/store_world_edge.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

WorldOptions options(int stores = 3, std::uint32_t tolerated = 1) {
    WorldOptions chosen;
    chosen.stores = stores;
    chosen.tolerated = tolerated;
    return chosen;
}

const Ledger::Message& only(StoreWorld& stores) {
    return stores.ledger.messages.begin()->second;
}

StoreMachine& ownerOfOnly(StoreWorld& stores) {
    return stores.ownerOf(only(stores).partition);
}

void checkClean(StoreWorld& stores) {
    CHECK_MESSAGE(stores.ledger.faults.empty(), stores.faultText());
}

}  // namespace

TEST_CASE("a message is accepted, granted with the answer, run once and completed") {
    StoreWorld stores(1, options());
    stores.edges[0]->submit(stores.content("plain"), 3);
    stores.world.run(Millis(500));
    CHECK(only(stores).accepted.has_value());
    CHECK(only(stores).runs == 1);
    const auto state =
        stores.edges[1]->query(MessageKind::state_query, only(stores).partition, only(stores).content.id);
    REQUIRE(state.has_value());
    CHECK(state->phase == Phase::completed);
    CHECK(only(stores).stamps.contains(state->stamp));
    stores.world.run(Millis(20000));
    CHECK(only(stores).runs == 1);
}

TEST_CASE("a message that its edge cannot run is granted to another edge") {
    StoreWorld stores(2, options());
    stores.edges[0]->wants_grants = false;
    stores.edges[0]->submit(stores.content("plain"), 3);
    stores.world.run(Millis(500));
    CHECK(only(stores).runs == 1);
    CHECK(only(stores).success_read);
}

TEST_CASE("a delayed message does not run early") {
    StoreWorld stores(3, options());
    MessageContent content = stores.content("plain");
    content.delay_ms = 2000;
    stores.edges[0]->submit(content, 3);
    stores.world.run(Millis(1950));
    CHECK(only(stores).runs == 0);
    stores.world.run(Millis(400));
    CHECK(only(stores).runs == 1);
}

TEST_CASE("a message that always fails is a dead letter after its last try, and its body can be read") {
    StoreWorld stores(4, options());
    stores.edges[0]->submit(stores.content("plain"), 3, true);
    stores.world.run(Millis(10000));
    CHECK(only(stores).runs == 3);
    const auto state =
        stores.edges[1]->query(MessageKind::body_query, only(stores).partition, only(stores).content.id);
    REQUIRE(state.has_value());
    CHECK(state->phase == Phase::dead_letter);
    CHECK(state->body == only(stores).content.body);
    stores.checkStates();
    checkClean(stores);
}

TEST_CASE("a rejected message is a dead letter at once, and its call-back is delivered once") {
    StoreWorld stores(5, options());
    MessageContent content = stores.content("plain");
    content.callback_url = "http://10.9.0.7:80/done";
    stores.edges[0]->submit(content, 3, false, true);
    stores.world.run(Millis(3000));
    CHECK(only(stores).runs == 1);
    CHECK(only(stores).callbacks_taken == 1);
    stores.world.run(Millis(10000));
    CHECK(only(stores).callbacks_taken == 1);
}

TEST_CASE("the owner dies after the accept: its successor runs the message") {
    for (const bool power : {false, true}) {
        StoreWorld stores(6, options());
        MessageContent content = stores.content("plain");
        content.delay_ms = 3000;
        stores.edges[0]->submit(content, 3);
        stores.world.run(Millis(500));
        REQUIRE(only(stores).accepted.has_value());
        StoreMachine& owner = ownerOfOnly(stores);
        power ? stores.cutPower(owner) : stores.stop(owner);
        stores.world.run(Millis(1000));
        stores.changeView();
        stores.world.run(Millis(5000));
        CHECK(only(stores).runs == 1);
        stores.checkStates();
        checkClean(stores);
    }
}

TEST_CASE("a run that goes on while its owner dies is not granted again") {
    StoreWorld stores(7, options());
    stores.edges[0]->run_time = Millis(4000);
    stores.edges[0]->submit(stores.content("plain"), 3);
    stores.world.run(Millis(500));
    REQUIRE(only(stores).runs == 1);
    stores.stop(ownerOfOnly(stores));
    stores.world.run(Millis(1000));
    stores.changeView();
    stores.world.run(Millis(8000));
    CHECK(only(stores).runs == 1);
    stores.checkStates();
    checkClean(stores);
}

TEST_CASE("a machine that lost its disk holds copies again before the next loss") {
    StoreWorld stores(8, options());
    for (int i = 0; i < 40; ++i) {
        MessageContent content = stores.content("plain");
        content.delay_ms = 12000;
        stores.anyEdge().submit(content, 3);
    }
    stores.world.run(Millis(500));
    REQUIRE(stores.accepted() == 40);
    stores.wipe(*stores.machines[0]);
    stores.world.run(Millis(1000));
    stores.changeView();
    stores.world.run(Millis(1000));
    stores.start(*stores.machines[0]);
    stores.changeView();
    stores.world.run(Millis(2000));
    stores.wipe(*stores.machines[1]);
    stores.world.run(Millis(1000));
    stores.changeView();
    stores.world.run(Millis(1000));
    stores.start(*stores.machines[1]);
    stores.changeView();
    stores.world.run(Millis(2000));
    stores.wipe(*stores.machines[2]);
    stores.world.run(Millis(1000));
    stores.changeView();
    stores.world.run(Millis(20000));
    CHECK(stores.unfinished() == 0);
    stores.checkStates();
    checkClean(stores);
}

TEST_CASE("an owner that was replaced without knowing it accepts nothing") {
    StoreWorld stores(9, options());
    StoreMachine& stale = stores.ownerOf(0);
    const auto old_view = stores.view;
    stores.hidden.insert(stale.name);  // the other stores and clients still reach it; only views do not
    stores.changeView();
    stores.world.run(Millis(1000));
    REQUIRE(stores.ownerOf(0).name != stale.name);
    AcceptMessageRequest request;
    request.edge = "edge-9";
    request.edge_address = {"10.2.0.99", 7001};
    request.content = stores.content("plain");
    request.retention_ms = 1000;
    MemoryTransport client(stores.world, stores.network, request.edge_address);
    std::optional<AcceptMessageReply> answer;
    const auto ask = [&] {
        answer.reset();
        client.call(
            stale.address, envelope(MessageKind::accept_message, request), Millis(5000),
            [&](const CallResult& result) { answer = decode<AcceptMessageReply>(result.reply.body); });
        stores.world.run(Millis(3000));
    };
    ask();
    REQUIRE(answer.has_value());
    CHECK(answer->status == AcceptStatus::not_owner);  // it has received the new owner's pull

    stores.hidden.clear();
    stores.changeView();
    stores.world.run(Millis(1000));
    StoreMachine& cut = stores.ownerOf(0);
    stores.network.isolate(cut.address.ip);
    stores.hidden.insert(cut.name);
    stores.changeView();
    stores.world.run(Millis(1500));
    stores.network.endIsolation(cut.address.ip);  // connected again, still without the new view
    request.content.id = "later";
    client.call(cut.address, envelope(MessageKind::accept_message, request), Millis(5000),
                [&](const CallResult& result) { answer = decode<AcceptMessageReply>(result.reply.body); });
    stores.world.run(Millis(3000));
    REQUIRE(answer.has_value());
    CHECK(answer->status != AcceptStatus::stored);
}

TEST_CASE("with too few stores nothing is accepted, and what was accepted still runs") {
    StoreWorld stores(10, options());
    MessageContent content = stores.content("plain");
    content.delay_ms = 5000;
    stores.edges[0]->submit(content, 3);
    stores.world.run(Millis(500));
    const std::size_t owner = static_cast<std::size_t>(stores.view->partitions[only(stores).partition].owner);
    for (std::size_t i = 0; i < 3; ++i) {
        if (i != owner) stores.stop(*stores.machines[i]);
    }
    stores.changeView();
    stores.world.run(Millis(1000));
    MessageContent refused = stores.content("plain");
    stores.edges[0]->submit(refused, 3);
    stores.world.run(Millis(1000));
    CHECK(!stores.ledger.messages[refused.id].accepted.has_value());
    CHECK(stores.edges[0]->last_status == AcceptStatus::refused);
    stores.world.run(Millis(6000));
    CHECK(stores.ledger.messages[content.id].runs == 1);
}

TEST_CASE("a full disk refuses new messages and still takes ends") {
    StoreWorld stores(11, options());
    for (auto& machine : stores.machines) machine->platter.capacity = 60000;
    // Messages that end free room, so nothing may end while the disks fill up.
    for (auto& edge : stores.edges) edge->down_services.insert("servers");
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
        MessageContent content = stores.content("plain");
        content.body.assign(2000, 'x');
        stores.edges[0]->submit(content, 3);
        stores.world.run(Millis(20));
        if (stores.edges[0]->last_status == AcceptStatus::refused) ++refused;
    }
    CHECK(refused > 100);
    CHECK(stores.accepted() > 10);
    for (auto& edge : stores.edges) edge->down_services.clear();
    stores.world.run(Millis(6000));
    CHECK(stores.unfinished() == 0);
    stores.edges[0]->submit(stores.content("plain"), 3);
    stores.world.run(Millis(1000));
    CHECK(stores.edges[0]->last_status == AcceptStatus::stored);
    CHECK(stores.unfinished() == 0);
    stores.checkStates();
    checkClean(stores);
}

TEST_CASE("a message whose retention expires becomes a dead letter, and is removed later") {
    StoreWorld stores(12, options());
    for (auto& edge : stores.edges) edge->down_services.insert("servers");
    stores.edges[0]->submit(stores.content("plain"), 3);
    stores.world.run(Millis(85000));
    auto state =
        stores.edges[0]->query(MessageKind::state_query, only(stores).partition, only(stores).content.id);
    REQUIRE(state.has_value());
    CHECK(state->phase == Phase::pending);
    stores.world.run(Millis(10000));
    state = stores.edges[0]->query(MessageKind::state_query, only(stores).partition, only(stores).content.id);
    REQUIRE(state.has_value());
    CHECK(state->phase == Phase::dead_letter);
    stores.world.run(Millis(140000));
    state = stores.edges[0]->query(MessageKind::state_query, only(stores).partition, only(stores).content.id);
    REQUIRE(state.has_value());
    CHECK(state->status == QueryStatus::not_found);
    for (auto& machine : stores.machines) {
        int messages = 0;
        machine->process->disk->forEach([&](std::string_view key, const std::string&) {
            if (key.starts_with("c/") || key.starts_with("s/")) ++messages;
        });
        CHECK(messages == 0);
    }
}

TEST_CASE("a configuration that drops the route ends its messages") {
    StoreWorld stores(13, options());
    MessageContent content = stores.content("plain");
    content.delay_ms = 5000;
    content.callback_url = "http://10.9.0.7:80/done";
    stores.edges[0]->submit(content, 3);
    stores.world.run(Millis(500));
    auto next = std::make_shared<Configuration>(*stores.configuration);
    next->generation = 2;
    std::erase_if(next->routes, [](const Route& route) { return route.name == "plain"; });
    stores.configure(next);
    stores.world.run(Millis(8000));
    CHECK(only(stores).runs == 0);
    CHECK(only(stores).callbacks_taken == 1);
    const auto state =
        stores.edges[0]->query(MessageKind::state_query, only(stores).partition, only(stores).content.id);
    REQUIRE(state.has_value());
    CHECK(state->phase == Phase::dead_letter);
}

TEST_CASE("an edge that dies loses no message") {
    StoreWorld stores(14, options());
    stores.edges[0]->run_time = Millis(3000);
    for (int i = 0; i < 10; ++i) stores.edges[0]->submit(stores.content("plain"), 3);
    stores.world.run(Millis(500));
    REQUIRE(stores.accepted() == 10);
    stores.edges[0]->kill();
    stores.world.run(Millis(4000));
    CHECK(stores.unfinished() == 0);
}

TEST_CASE("an edge that was restarted gets its old runs granted again") {
    StoreWorld stores(15, options());
    stores.edges[0]->run_time = Millis(30000);
    for (int i = 0; i < 10; ++i) stores.edges[0]->submit(stores.content("plain"), 3);
    stores.world.run(Millis(1000));
    stores.edges[0]->kill();
    stores.edges[0]->run_time = Millis(30);
    stores.edges[0]->restart();
    stores.world.run(Millis(1500));
    CHECK(stores.unfinished() == 0);
}

TEST_CASE("the ceiling of a service holds over failovers") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        StoreWorld stores(seed, options());
        for (int i = 0; i < 1500; ++i) {
            stores.anyEdge().submit(stores.content("limited"), 3);
            stores.world.run(Millis(20));
            const std::size_t victim = static_cast<std::size_t>(i / 400) % 3;
            if (i % 400 == 100) stores.stop(*stores.machines[victim]);
            if (i % 400 == 150) stores.changeView();
            if (i % 400 == 250) {
                stores.start(*stores.machines[victim]);
                stores.changeView();
            }
        }
        INFO("seed " << seed);
        CHECK(stores.ledger.arrivals["partner"].size() > 300);
        CHECK(stores.maxArrivalsIn("partner", Millis(5000)) <= 20 * 5 * 1.1 + 5);
    }
}

TEST_CASE("a destination that is down is only probed, and holds up no other service") {
    StoreWorld stores(16, options());
    for (auto& edge : stores.edges) edge->down_services.insert("partner");
    for (int i = 0; i < 50; ++i) {
        stores.anyEdge().submit(stores.content("limited"), 3);
        stores.anyEdge().submit(stores.content("plain"), 3);
        stores.world.run(Millis(20));
    }
    CHECK(stores.ledger.arrivals["servers"].size() >= 49);
    for (auto& edge : stores.edges) edge->down_services.clear();
    stores.world.run(Millis(12000));
    CHECK(stores.unfinished() == 0);
}

TEST_CASE("the status page shows the active partitions and the view") {
    StoreWorld stores(17, options());
    const std::string status = stores.machines[0]->process->node->statusJson();
    CHECK(status.find("\"partitions_active\":") != std::string::npos);
    CHECK(status.find("\"view_epoch\":1") != std::string::npos);
}

TEST_CASE("an edge that takes no grants or cannot be reached is skipped") {
    StoreWorld stores(27, options());
    stores.edges[0]->wants_grants = false;
    stores.edges[1]->leaving = true;  // not reported by its syncs yet
    stores.edges[2]->kill();
    for (int i = 0; i < 20; ++i) stores.edges[0]->submit(stores.content("plain"), 3);
    stores.world.run(Millis(6000));
    CHECK(stores.accepted() == 20);
    CHECK(stores.unfinished() == 0);
}
