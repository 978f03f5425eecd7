// Tests of whole stores that leave, join, miss views or have wrong clocks.
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

void checkClean(StoreWorld& stores) {
    CHECK_MESSAGE(stores.ledger.faults.empty(), stores.faultText());
}

}  // namespace

TEST_CASE("a planned shutdown loses nothing and runs nothing twice") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        StoreWorld stores(seed, options());
        bool left = false;
        for (int i = 0; i < 400; ++i) {
            stores.anyEdge().submit(
                stores.content(i % 3 == 0 ? "lines" : "plain", i % 3 == 0 ? "k" + std::to_string(i % 7) : ""),
                3);
            stores.world.run(Millis(10));
            if (i == 150) {
                StoreMachine& machine = *stores.machines[seed % 3];
                machine.process->node->leave([&left] { left = true; });
                machine.leaving = true;
            }
            if (i == 155) stores.changeView();
            if (left && stores.machines[seed % 3]->process) {
                stores.stop(*stores.machines[seed % 3]);
                stores.changeView();
            }
        }
        stores.world.run(Millis(8000));
        INFO("seed " << seed);
        CHECK(left);
        CHECK(stores.accepted() > 350);
        CHECK(stores.unfinished() == 0);
        for (const auto& [id, message] : stores.ledger.messages) {
            INFO(id);
            CHECK(message.runs_after_read_success == 0);
        }
        stores.checkStates();
        checkClean(stores);
    }
}

TEST_CASE("an owner that missed a view asks the others again before it goes on") {
    StoreWorld stores(28, options());
    StoreMachine& machine = stores.ownerOf(0);
    MessageContent content = stores.content("plain");
    content.delay_ms = 4000;
    stores.edges[0]->submit(content, 3);
    stores.world.run(Millis(300));
    const auto skipped = std::make_shared<StoreView>(*stores.view);
    skipped->epoch += 2;
    for (auto& other : stores.machines) other->process->node->onView(skipped);
    stores.view = skipped;
    for (auto& edge : stores.edges) edge->onView(skipped);
    stores.world.run(Millis(1000));
    CHECK(machine.process->node->statusJson().find("\"partitions_active\":3") != std::string::npos);
    stores.world.run(Millis(5000));
    CHECK(stores.unfinished() == 0);
    CHECK(stores.ledger.messages[content.id].runs == 1);
}

TEST_CASE("a planned shutdown without any successor ends before the grace period") {
    StoreWorld stores(29, options());
    stores.stop(*stores.machines[1]);
    stores.stop(*stores.machines[2]);
    stores.changeView();
    stores.world.run(Millis(1000));
    bool left = false;
    stores.machines[0]->process->node->leave([&left] { left = true; });
    stores.world.run(Millis(4400));
    CHECK(!left);
    stores.world.run(Millis(200));
    CHECK(left);
}

TEST_CASE("a store that joins a system with a dead one can be counted on") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StoreWorld stores(seed, options());
        for (int i = 0; i < 20; ++i) {
            MessageContent content = stores.content("plain");
            content.delay_ms = 8000;
            stores.anyEdge().submit(content, 3);
        }
        stores.world.run(Millis(500));
        stores.stop(*stores.machines[2]);
        stores.changeView();
        stores.world.run(Millis(1000));
        stores.addMachine();
        stores.changeView();
        stores.world.run(Millis(2000));
        std::size_t active = 0;
        for (auto& machine : stores.machines) {
            if (!machine->process) continue;
            const std::string status = machine->process->node->statusJson();
            const std::size_t at = status.find("\"partitions_active\":") + 20;
            active += std::stoul(status.substr(at));
        }
        CHECK(active == stores.options.partitions);
        stores.world.run(Millis(8000));
        CHECK(stores.unfinished() == 0);
        stores.checkStates();
        checkClean(stores);
    }
}

TEST_CASE("five stores tolerate the loss of two at once") {
    StoreWorld stores(31, options(5, 2));
    for (int i = 0; i < 60; ++i) {
        MessageContent content =
            stores.content(i % 2 == 0 ? "lines" : "plain", i % 2 == 0 ? "k" + std::to_string(i % 5) : "");
        content.delay_ms = 5000;
        stores.anyEdge().submit(content, 3);
    }
    stores.world.run(Millis(500));
    REQUIRE(stores.accepted() == 60);
    stores.wipe(*stores.machines[1]);
    stores.cutPower(*stores.machines[3]);
    stores.world.run(Millis(1000));
    stores.changeView();
    stores.world.run(Millis(15000));
    CHECK(stores.unfinished() == 0);
    stores.checkStates();
    checkClean(stores);
}

TEST_CASE("a clock that is set forward on one machine ends nothing early") {
    StoreWorld stores(32, options());
    for (int i = 0; i < 30; ++i) {
        MessageContent content = stores.content("plain");
        content.delay_ms = 6000;
        stores.anyEdge().submit(content, 3);
    }
    stores.world.run(Millis(500));
    stores.stop(*stores.machines[0]);
    stores.changeView();
    stores.world.run(Millis(1000));
    stores.start(*stores.machines[0], false, 3'600'000);
    stores.changeView();
    stores.world.run(Millis(12000));
    CHECK(stores.unfinished() == 0);
    for (const auto& [id, message] : stores.ledger.messages) CHECK(message.runs >= 1);
    stores.checkStates();
    checkClean(stores);
}
