// Whole stores under random faults, over many seeds: no accepted message is lost, the order is kept, and the
// states match the servers' answers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/store_world_edge.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

enum class Fault { kill, power, wipe, cut, leave };

// Injects faults one after the other; each ends before the next begins, so that never more than `tolerated`
// machines are away at once.
class FaultInjector {
public:
    FaultInjector(StoreWorld& stores, std::size_t victim_count)
        : stores_(stores), victim_count_(victim_count) {}

    void inject() {
        std::vector<std::size_t> all;
        for (std::size_t i = 0; i < stores_.machines.size(); ++i) all.push_back(i);
        std::shuffle(all.begin(), all.end(), stores_.world.random());
        victims_.assign(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(victim_count_));
        for (const std::size_t i : victims_) injectInto(*stores_.machines[i]);
    }
    void publishView() { stores_.changeView(); }
    void repair() {
        for (const std::size_t i : victims_) {
            StoreMachine& machine = *stores_.machines[i];
            stores_.network.endIsolation(machine.address.ip);
            stores_.hidden.erase(machine.name);
            if (machine.leaving) stores_.stop(machine);
            if (!machine.process) stores_.start(machine);
        }
        stores_.changeView();
    }

private:
    void injectInto(StoreMachine& machine) {
        switch (static_cast<Fault>(stores_.world.chance() * 5)) {
            case Fault::kill:
                return stores_.stop(machine);
            case Fault::power:
                return stores_.cutPower(machine);
            case Fault::wipe:
                return stores_.wipe(machine);
            case Fault::cut:
                stores_.network.isolate(machine.address.ip);
                stores_.hidden.insert(machine.name);
                return;
            case Fault::leave:
                machine.leaving = true;
                machine.process->node->leave([] {});
                return;
        }
    }

    StoreWorld& stores_;
    std::size_t victim_count_;
    std::vector<std::size_t> victims_;
};

void submitOne(StoreWorld& stores) {
    const double kind = stores.world.chance();
    FakeEdge& edge = stores.anyEdge();
    if (!edge.alive()) return;
    MessageContent content =
        kind < 0.5 ? stores.content("lines", "k" + std::to_string(int(stores.world.chance() * 6)))
                   : stores.content("plain");
    if (kind > 0.8) content.delay_ms = static_cast<std::int64_t>(stores.world.chance() * 3000);
    if (kind > 0.9) content.callback_url = "http://10.9.0.7:80/done";
    edge.submit(content, 3, stores.world.chance() < 0.03, stores.world.chance() < 0.03);
}

void runScenario(std::uint64_t seed, WorldOptions options, int rounds) {
    StoreWorld stores(seed, options);
    stores.network.loss = seed % 2 == 0 ? 0.01 : 0;
    FaultInjector injector(stores, options.tolerated);
    for (int round = 0; round < rounds; ++round) {
        for (int step = 0; step < 240; ++step) {
            submitOne(stores);
            stores.world.run(Millis(static_cast<std::int64_t>(stores.world.chance() * 30)));
            if (step == 60) injector.inject();
            if (step == 120) injector.publishView();
            if (step == 180) injector.repair();
            if (step == 100 && seed % 3 == 0) stores.edges[0]->kill();
            if (step == 150 && !stores.edges[0]->alive()) stores.edges[0]->restart();
        }
    }
    stores.network.loss = 0;
    stores.world.run(Millis(15000));
    INFO("seed " << seed);
    CHECK(stores.accepted() > 50);
    CHECK(stores.unfinished() == 0);
    stores.checkStates();
    CHECK_MESSAGE(stores.ledger.faults.empty(), stores.faultText());
    for (const auto& [id, message] : stores.ledger.messages) {
        if (!message.accepted || message.content.callback_url.empty()) continue;
        INFO(id);
        CHECK(message.callbacks_taken >= 1);
    }
}

WorldOptions faultyOptions(int stores, std::uint32_t tolerated) {
    WorldOptions options;
    options.stores = stores;
    options.tolerated = tolerated;
    options.lost_answers = 0.03;
    options.failures = 0.05;
    options.duplicate_reports = true;
    return options;
}

}  // namespace

TEST_CASE("three stores that tolerate one loss") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) runScenario(seed, faultyOptions(3, 1), 2);
}

TEST_CASE("five stores that tolerate two losses") {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) runScenario(seed, faultyOptions(5, 2), 2);
    for (const std::uint64_t seed : {1343, 1389, 1472, 1704, 1739})
        runScenario(seed, faultyOptions(5, 2), 2);  // seeds with stray messages
}
