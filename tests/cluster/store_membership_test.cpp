// Whole stores that leave, join, miss views or have wrong clocks.
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

void checkClean(StoreWorld& play) {
    CHECK_MESSAGE(play.ledger.faults.empty(), play.faultText());
}

}  // namespace

TEST_CASE("a planned end loses nothing and runs nothing twice") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        StoreWorld play(seed, options());
        bool left = false;
        for (int i = 0; i < 400; ++i) {
            play.anyEdge().submit(
                play.content(i % 3 == 0 ? "lines" : "plain", i % 3 == 0 ? "k" + std::to_string(i % 7) : ""),
                3);
            play.world.run(Millis(10));
            if (i == 150) {
                StoreMachine& machine = *play.machines[seed % 3];
                machine.process->node->leave([&left] { left = true; });
                machine.leaving = true;
            }
            if (i == 155) play.changeView();
            if (left && play.machines[seed % 3]->process) {
                play.stop(*play.machines[seed % 3]);
                play.changeView();
            }
        }
        play.world.run(Millis(8000));
        INFO("seed " << seed);
        CHECK(left);
        CHECK(play.accepted() > 350);
        CHECK(play.unfinished() == 0);
        for (const auto& [id, message] : play.ledger.messages) {
            INFO(id);
            CHECK(message.runs_after_read_success == 0);
        }
        play.checkStates();
        checkClean(play);
    }
}

TEST_CASE("an owner that missed a view asks the others again before it goes on") {
    StoreWorld play(28, options());
    StoreMachine& machine = play.ownerOf(0);
    MessageContent content = play.content("plain");
    content.delay_ms = 4000;
    play.edges[0]->submit(content, 3);
    play.world.run(Millis(300));
    const auto skipped = std::make_shared<StoreView>(*play.view);
    skipped->epoch += 2;
    for (auto& other : play.machines) other->process->node->onView(skipped);
    play.view = skipped;
    for (auto& edge : play.edges) edge->onView(skipped);
    play.world.run(Millis(1000));
    CHECK(machine.process->node->statusJson().find("\"partitions_active\":3") != std::string::npos);
    play.world.run(Millis(5000));
    CHECK(play.unfinished() == 0);
    CHECK(play.ledger.messages[content.id].runs == 1);
}

TEST_CASE("a planned end without any successor is over before the grace period is") {
    StoreWorld play(29, options());
    play.stop(*play.machines[1]);
    play.stop(*play.machines[2]);
    play.changeView();
    play.world.run(Millis(1000));
    bool left = false;
    play.machines[0]->process->node->leave([&left] { left = true; });
    play.world.run(Millis(4400));
    CHECK(!left);
    play.world.run(Millis(200));
    CHECK(left);
}

TEST_CASE("a store that joins a system with a dead one can be counted on") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StoreWorld play(seed, options());
        for (int i = 0; i < 20; ++i) {
            MessageContent content = play.content("plain");
            content.delay_ms = 8000;
            play.anyEdge().submit(content, 3);
        }
        play.world.run(Millis(500));
        play.stop(*play.machines[2]);
        play.changeView();
        play.world.run(Millis(1000));
        play.addMachine();
        play.changeView();
        play.world.run(Millis(2000));
        std::size_t active = 0;
        for (auto& machine : play.machines) {
            if (!machine->process) continue;
            const std::string status = machine->process->node->statusJson();
            const std::size_t at = status.find("\"partitions_active\":") + 20;
            active += std::stoul(status.substr(at));
        }
        CHECK(active == play.options.partitions);
        play.world.run(Millis(8000));
        CHECK(play.unfinished() == 0);
        play.checkStates();
        checkClean(play);
    }
}

TEST_CASE("five stores bear the loss of two at once") {
    StoreWorld play(31, options(5, 2));
    for (int i = 0; i < 60; ++i) {
        MessageContent content =
            play.content(i % 2 == 0 ? "lines" : "plain", i % 2 == 0 ? "k" + std::to_string(i % 5) : "");
        content.delay_ms = 5000;
        play.anyEdge().submit(content, 3);
    }
    play.world.run(Millis(500));
    REQUIRE(play.accepted() == 60);
    play.wipe(*play.machines[1]);
    play.cutPower(*play.machines[3]);
    play.world.run(Millis(1000));
    play.changeView();
    play.world.run(Millis(15000));
    CHECK(play.unfinished() == 0);
    play.checkStates();
    checkClean(play);
}

TEST_CASE("a clock that is set forward on one machine ends nothing early") {
    StoreWorld play(32, options());
    for (int i = 0; i < 30; ++i) {
        MessageContent content = play.content("plain");
        content.delay_ms = 6000;
        play.anyEdge().submit(content, 3);
    }
    play.world.run(Millis(500));
    play.stop(*play.machines[0]);
    play.changeView();
    play.world.run(Millis(1000));
    play.start(*play.machines[0], false, 3'600'000);
    play.changeView();
    play.world.run(Millis(12000));
    CHECK(play.unfinished() == 0);
    for (const auto& [id, message] : play.ledger.messages) CHECK(message.runs >= 1);
    play.checkStates();
    checkClean(play);
}
