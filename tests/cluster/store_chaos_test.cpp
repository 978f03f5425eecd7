// Whole stores under random trouble, over many seeds: nothing accepted is lost, order holds, states are true.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/store_world_edge.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

enum class Trouble { kill, power, wipe, cut, leave };

// Troubles come one after the other, each ending before the next begins, so that never more than `tolerated`
// machines are away at once.
class Chaos {
public:
    Chaos(StoreWorld& play, std::size_t victims) : play_(play), victims_(victims) {}

    void strike() {
        std::vector<std::size_t> all;
        for (std::size_t i = 0; i < play_.machines.size(); ++i) all.push_back(i);
        std::shuffle(all.begin(), all.end(), play_.world.random());
        struck_.assign(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(victims_));
        for (const std::size_t i : struck_) harm(*play_.machines[i]);
    }
    void notice() { play_.changeView(); }
    void mend() {
        for (const std::size_t i : struck_) {
            StoreMachine& machine = *play_.machines[i];
            play_.network.endIsolation(machine.address.ip);
            play_.hidden.erase(machine.name);
            if (machine.leaving) play_.stop(machine);
            if (!machine.process) play_.start(machine);
        }
        play_.changeView();
    }

private:
    void harm(StoreMachine& machine) {
        switch (static_cast<Trouble>(play_.world.chance() * 5)) {
            case Trouble::kill:
                return play_.stop(machine);
            case Trouble::power:
                return play_.cutPower(machine);
            case Trouble::wipe:
                return play_.wipe(machine);
            case Trouble::cut:
                play_.network.isolate(machine.address.ip);
                play_.hidden.insert(machine.name);
                return;
            case Trouble::leave:
                machine.leaving = true;
                machine.process->node->leave([] {});
                return;
        }
    }

    StoreWorld& play_;
    std::size_t victims_;
    std::vector<std::size_t> struck_;
};

void submitOne(StoreWorld& play) {
    const double kind = play.world.chance();
    FakeEdge& edge = play.anyEdge();
    if (!edge.alive()) return;
    MessageContent content = kind < 0.5
                                 ? play.content("lines", "k" + std::to_string(int(play.world.chance() * 6)))
                                 : play.content("plain");
    if (kind > 0.8) content.delay_ms = static_cast<std::int64_t>(play.world.chance() * 3000);
    if (kind > 0.9) content.callback_url = "http://10.9.0.7:80/done";
    edge.submit(content, 3, play.world.chance() < 0.03, play.world.chance() < 0.03);
}

void playDay(std::uint64_t seed, WorldOptions options, int rounds) {
    StoreWorld play(seed, options);
    play.network.loss = seed % 2 == 0 ? 0.01 : 0;
    Chaos chaos(play, options.tolerated);
    for (int round = 0; round < rounds; ++round) {
        for (int step = 0; step < 240; ++step) {
            submitOne(play);
            play.world.run(Millis(static_cast<std::int64_t>(play.world.chance() * 30)));
            if (step == 60) chaos.strike();
            if (step == 120) chaos.notice();
            if (step == 180) chaos.mend();
            if (step == 100 && seed % 3 == 0) play.edges[0]->kill();
            if (step == 150 && !play.edges[0]->alive()) play.edges[0]->restart();
        }
    }
    play.network.loss = 0;
    play.world.run(Millis(15000));
    INFO("seed " << seed);
    CHECK(play.accepted() > 50);
    CHECK(play.unfinished() == 0);
    play.checkStates();
    CHECK_MESSAGE(play.ledger.faults.empty(), play.faultText());
    for (const auto& [id, message] : play.ledger.messages) {
        if (!message.accepted || message.content.callback_url.empty()) continue;
        INFO(id);
        CHECK(message.callbacks_taken >= 1);
    }
}

WorldOptions troubled(int stores, std::uint32_t tolerated) {
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
    for (std::uint64_t seed = 1; seed <= 200; ++seed) playDay(seed, troubled(3, 1), 2);
}

TEST_CASE("five stores that tolerate two losses") {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) playDay(seed, troubled(5, 2), 2);
    for (const std::uint64_t seed : {1343, 1389, 1472, 1704, 1739})
        playDay(seed, troubled(5, 2), 2);  // strays
}
