// Whole stores: the ordinary path, failovers, ceilings and refusals.
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

const Ledger::Message& only(StoreWorld& play) {
    return play.ledger.messages.begin()->second;
}

StoreMachine& ownerOfOnly(StoreWorld& play) {
    return play.ownerOf(only(play).partition);
}

void checkClean(StoreWorld& play) {
    CHECK_MESSAGE(play.ledger.faults.empty(), play.faultText());
}

}  // namespace

TEST_CASE("a message is accepted, granted with the answer, run once and completed") {
    StoreWorld play(1, options());
    play.edges[0]->submit(play.content("plain"), 3);
    play.world.run(Millis(500));
    CHECK(only(play).accepted.has_value());
    CHECK(only(play).runs == 1);
    const auto state =
        play.edges[1]->query(MessageKind::state_query, only(play).partition, only(play).content.id);
    REQUIRE(state.has_value());
    CHECK(state->phase == Phase::completed);
    CHECK(only(play).stamps.contains(state->stamp));
    play.world.run(Millis(20000));
    CHECK(only(play).runs == 1);
}

TEST_CASE("an edge that cannot run it leaves it to another one") {
    StoreWorld play(2, options());
    play.edges[0]->wants_grants = false;
    play.edges[0]->submit(play.content("plain"), 3);
    play.world.run(Millis(500));
    CHECK(only(play).runs == 1);
    CHECK(only(play).success_read);
}

TEST_CASE("a delayed message does not run early") {
    StoreWorld play(3, options());
    MessageContent content = play.content("plain");
    content.delay_ms = 2000;
    play.edges[0]->submit(content, 3);
    play.world.run(Millis(1950));
    CHECK(only(play).runs == 0);
    play.world.run(Millis(400));
    CHECK(only(play).runs == 1);
}

TEST_CASE("a message that always fails dies after its last try, its body can still be had") {
    StoreWorld play(4, options());
    play.edges[0]->submit(play.content("plain"), 3, true);
    play.world.run(Millis(10000));
    CHECK(only(play).runs == 3);
    const auto state =
        play.edges[1]->query(MessageKind::body_query, only(play).partition, only(play).content.id);
    REQUIRE(state.has_value());
    CHECK(state->phase == Phase::dead_letter);
    CHECK(state->body == only(play).content.body);
    play.checkStates();
    checkClean(play);
}

TEST_CASE("a message that can never be done dies at once, and its call-back is delivered once") {
    StoreWorld play(5, options());
    MessageContent content = play.content("plain");
    content.callback_url = "http://10.9.0.7:80/done";
    play.edges[0]->submit(content, 3, false, true);
    play.world.run(Millis(3000));
    CHECK(only(play).runs == 1);
    CHECK(only(play).callbacks_taken == 1);
    play.world.run(Millis(10000));
    CHECK(only(play).callbacks_taken == 1);
}

TEST_CASE("the owner dies after the accept: its successor runs the message") {
    for (const bool power : {false, true}) {
        StoreWorld play(6, options());
        MessageContent content = play.content("plain");
        content.delay_ms = 3000;
        play.edges[0]->submit(content, 3);
        play.world.run(Millis(500));
        REQUIRE(only(play).accepted.has_value());
        StoreMachine& owner = ownerOfOnly(play);
        power ? play.cutPower(owner) : play.stop(owner);
        play.world.run(Millis(1000));
        play.changeView();
        play.world.run(Millis(5000));
        CHECK(only(play).runs == 1);
        play.checkStates();
        checkClean(play);
    }
}

TEST_CASE("a run that goes on while its owner dies is not granted again") {
    StoreWorld play(7, options());
    play.edges[0]->run_time = Millis(4000);
    play.edges[0]->submit(play.content("plain"), 3);
    play.world.run(Millis(500));
    REQUIRE(only(play).runs == 1);
    play.stop(ownerOfOnly(play));
    play.world.run(Millis(1000));
    play.changeView();
    play.world.run(Millis(8000));
    CHECK(only(play).runs == 1);
    play.checkStates();
    checkClean(play);
}

TEST_CASE("a machine that lost its disk holds copies again before the next loss") {
    StoreWorld play(8, options());
    for (int i = 0; i < 40; ++i) {
        MessageContent content = play.content("plain");
        content.delay_ms = 12000;
        play.anyEdge().submit(content, 3);
    }
    play.world.run(Millis(500));
    REQUIRE(play.accepted() == 40);
    play.wipe(*play.machines[0]);
    play.world.run(Millis(1000));
    play.changeView();
    play.world.run(Millis(1000));
    play.start(*play.machines[0]);
    play.changeView();
    play.world.run(Millis(2000));
    play.wipe(*play.machines[1]);
    play.world.run(Millis(1000));
    play.changeView();
    play.world.run(Millis(1000));
    play.start(*play.machines[1]);
    play.changeView();
    play.world.run(Millis(2000));
    play.wipe(*play.machines[2]);
    play.world.run(Millis(1000));
    play.changeView();
    play.world.run(Millis(20000));
    CHECK(play.unfinished() == 0);
    play.checkStates();
    checkClean(play);
}

TEST_CASE("an owner that was replaced without knowing it accepts nothing") {
    StoreWorld play(9, options());
    StoreMachine& stale = play.ownerOf(0);
    const auto old_view = play.view;
    play.hidden.insert(stale.name);  // the leader and the others still reach it, only views do not
    play.changeView();
    play.world.run(Millis(1000));
    REQUIRE(play.ownerOf(0).name != stale.name);
    AcceptMessageRequest request;
    request.edge = "edge-9";
    request.edge_address = {"10.2.0.99", 7001};
    request.content = play.content("plain");
    request.retention_ms = 1000;
    MemoryTransport client(play.world, play.network, request.edge_address);
    std::optional<AcceptMessageReply> answer;
    const auto ask = [&] {
        answer.reset();
        client.call(
            stale.address, envelope(MessageKind::accept_message, request), Millis(5000),
            [&](const CallResult& result) { answer = decode<AcceptMessageReply>(result.reply.body); });
        play.world.run(Millis(3000));
    };
    ask();
    REQUIRE(answer.has_value());
    CHECK(answer->status == AcceptStatus::not_owner);  // it heard the pull

    play.hidden.clear();
    play.changeView();
    play.world.run(Millis(1000));
    StoreMachine& cut = play.ownerOf(0);
    play.network.isolate(cut.address.ip);
    play.hidden.insert(cut.name);
    play.changeView();
    play.world.run(Millis(1500));
    play.network.endIsolation(cut.address.ip);  // back, still without the view
    request.content.id = "later";
    client.call(cut.address, envelope(MessageKind::accept_message, request), Millis(5000),
                [&](const CallResult& result) { answer = decode<AcceptMessageReply>(result.reply.body); });
    play.world.run(Millis(3000));
    REQUIRE(answer.has_value());
    CHECK(answer->status != AcceptStatus::stored);
}

TEST_CASE("with too few stores nothing is accepted, and what was accepted still runs") {
    StoreWorld play(10, options());
    MessageContent content = play.content("plain");
    content.delay_ms = 5000;
    play.edges[0]->submit(content, 3);
    play.world.run(Millis(500));
    const std::size_t owner = static_cast<std::size_t>(play.view->partitions[only(play).partition].owner);
    for (std::size_t i = 0; i < 3; ++i) {
        if (i != owner) play.stop(*play.machines[i]);
    }
    play.changeView();
    play.world.run(Millis(1000));
    MessageContent refused = play.content("plain");
    play.edges[0]->submit(refused, 3);
    play.world.run(Millis(1000));
    CHECK(!play.ledger.messages[refused.id].accepted.has_value());
    CHECK(play.edges[0]->last_status == AcceptStatus::refused);
    play.world.run(Millis(6000));
    CHECK(play.ledger.messages[content.id].runs == 1);
}

TEST_CASE("a full disk refuses new messages and still takes ends") {
    StoreWorld play(11, options());
    for (auto& machine : play.machines) machine->platter.capacity = 60000;
    // What has ended makes room again, so nothing ends while the disks fill up.
    for (auto& edge : play.edges) edge->down_services.insert("servers");
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
        MessageContent content = play.content("plain");
        content.body.assign(2000, 'x');
        play.edges[0]->submit(content, 3);
        play.world.run(Millis(20));
        if (play.edges[0]->last_status == AcceptStatus::refused) ++refused;
    }
    CHECK(refused > 100);
    CHECK(play.accepted() > 10);
    for (auto& edge : play.edges) edge->down_services.clear();
    play.world.run(Millis(6000));
    CHECK(play.unfinished() == 0);
    play.edges[0]->submit(play.content("plain"), 3);
    play.world.run(Millis(1000));
    CHECK(play.edges[0]->last_status == AcceptStatus::stored);
    CHECK(play.unfinished() == 0);
    play.checkStates();
    checkClean(play);
}

TEST_CASE("a message whose time is over dies, and is forgotten in the end") {
    StoreWorld play(12, options());
    for (auto& edge : play.edges) edge->down_services.insert("servers");
    play.edges[0]->submit(play.content("plain"), 3);
    play.world.run(Millis(85000));
    auto state = play.edges[0]->query(MessageKind::state_query, only(play).partition, only(play).content.id);
    REQUIRE(state.has_value());
    CHECK(state->phase == Phase::pending);
    play.world.run(Millis(10000));
    state = play.edges[0]->query(MessageKind::state_query, only(play).partition, only(play).content.id);
    REQUIRE(state.has_value());
    CHECK(state->phase == Phase::dead_letter);
    play.world.run(Millis(140000));
    state = play.edges[0]->query(MessageKind::state_query, only(play).partition, only(play).content.id);
    REQUIRE(state.has_value());
    CHECK(state->status == QueryStatus::not_found);
    for (auto& machine : play.machines) {
        int messages = 0;
        machine->process->disk->forEach([&](std::string_view key, const std::string&) {
            if (key.starts_with("c/") || key.starts_with("s/")) ++messages;
        });
        CHECK(messages == 0);
    }
}

TEST_CASE("a configuration that drops the route ends its messages") {
    StoreWorld play(13, options());
    MessageContent content = play.content("plain");
    content.delay_ms = 5000;
    content.callback_url = "http://10.9.0.7:80/done";
    play.edges[0]->submit(content, 3);
    play.world.run(Millis(500));
    auto next = std::make_shared<Configuration>(*play.configuration);
    next->generation = 2;
    std::erase_if(next->routes, [](const Route& route) { return route.name == "plain"; });
    play.configure(next);
    play.world.run(Millis(8000));
    CHECK(only(play).runs == 0);
    CHECK(only(play).callbacks_taken == 1);
    const auto state =
        play.edges[0]->query(MessageKind::state_query, only(play).partition, only(play).content.id);
    REQUIRE(state.has_value());
    CHECK(state->phase == Phase::dead_letter);
}

TEST_CASE("an edge that dies loses no message") {
    StoreWorld play(14, options());
    play.edges[0]->run_time = Millis(3000);
    for (int i = 0; i < 10; ++i) play.edges[0]->submit(play.content("plain"), 3);
    play.world.run(Millis(500));
    REQUIRE(play.accepted() == 10);
    play.edges[0]->kill();
    play.world.run(Millis(4000));
    CHECK(play.unfinished() == 0);
}

TEST_CASE("an edge that was restarted gets its old runs granted again") {
    StoreWorld play(15, options());
    play.edges[0]->run_time = Millis(30000);
    for (int i = 0; i < 10; ++i) play.edges[0]->submit(play.content("plain"), 3);
    play.world.run(Millis(1000));
    play.edges[0]->kill();
    play.edges[0]->run_time = Millis(30);
    play.edges[0]->restart();
    play.world.run(Millis(1500));
    CHECK(play.unfinished() == 0);
}

TEST_CASE("the ceiling of a service holds over failovers") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        StoreWorld play(seed, options());
        for (int i = 0; i < 1500; ++i) {
            play.anyEdge().submit(play.content("limited"), 3);
            play.world.run(Millis(20));
            const std::size_t victim = static_cast<std::size_t>(i / 400) % 3;
            if (i % 400 == 100) play.stop(*play.machines[victim]);
            if (i % 400 == 150) play.changeView();
            if (i % 400 == 250) {
                play.start(*play.machines[victim]);
                play.changeView();
            }
        }
        INFO("seed " << seed);
        CHECK(play.ledger.arrivals["partner"].size() > 300);
        CHECK(play.mostIn("partner", Millis(5000)) <= 20 * 5 * 1.1 + 5);
    }
}

TEST_CASE("a destination that is down is only probed, and holds up no other service") {
    StoreWorld play(16, options());
    for (auto& edge : play.edges) edge->down_services.insert("partner");
    for (int i = 0; i < 50; ++i) {
        play.anyEdge().submit(play.content("limited"), 3);
        play.anyEdge().submit(play.content("plain"), 3);
        play.world.run(Millis(20));
    }
    CHECK(play.ledger.arrivals["servers"].size() >= 49);
    for (auto& edge : play.edges) edge->down_services.clear();
    play.world.run(Millis(12000));
    CHECK(play.unfinished() == 0);
}

TEST_CASE("the status page tells what the store holds") {
    StoreWorld play(17, options());
    const std::string status = play.machines[0]->process->node->statusJson();
    CHECK(status.find("\"partitions_active\":") != std::string::npos);
    CHECK(status.find("\"view_epoch\":1") != std::string::npos);
}

TEST_CASE("an edge that takes nothing, or cannot be reached, is passed over") {
    StoreWorld play(27, options());
    play.edges[0]->wants_grants = false;
    play.edges[1]->leaving = true;  // its syncs have not said so yet
    play.edges[2]->kill();
    for (int i = 0; i < 20; ++i) play.edges[0]->submit(play.content("plain"), 3);
    play.world.run(Millis(6000));
    CHECK(play.accepted() == 20);
    CHECK(play.unfinished() == 0);
}
