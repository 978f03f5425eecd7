// Edges of another region, whose heartbeats are less frequent while they are idle. Guards against requeueing
// a message because its edge was silent before the grant: only evidence from after the grant counts.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/store_simulation.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr Millis kRegionDelay{12};
constexpr int kMessages = 60;

WorldOptions farEdges() {
    WorldOptions options;
    options.far_edges = true;
    options.edges = 4;
    return options;
}

void slowDown(StoreWorld& play) {
    play.network.delay = kRegionDelay;
    for (auto& edge : play.edges) edge->run_time = Millis(90);
}

// Ordered and unordered messages, with pauses in which edges become idle.
void submitSome(StoreWorld& play, int messages) {
    for (int i = 0; i < messages; ++i) {
        const bool ordered = play.world.chance() < 0.5;
        FakeEdge& edge = play.anyEdge();
        edge.wants_grants = play.world.chance() < 0.3;
        edge.submit(ordered ? play.content("lines", "k" + std::to_string(i % 5)) : play.content("plain"), 3);
        play.world.run(Millis(static_cast<std::int64_t>(play.world.chance() * 400)));
    }
}

int repeatedRuns(const StoreWorld& play) {
    int repeated = 0;
    for (const auto& [id, message] : play.ledger.messages) repeated += std::max(0, message.runs - 1);
    return repeated;
}

}  // namespace

TEST_CASE("without faults no message runs twice at idle edges of another region") {
    for (std::uint64_t seed = 1; seed <= seedCount(60); ++seed) {
        CAPTURE(seed);
        StoreWorld play(seed, farEdges());
        slowDown(play);
        play.world.run(Millis(3000));
        submitSome(play, kMessages);
        play.world.run(Millis(1000));
        play.world.runUntil([&] { return play.unfinished() == 0; }, Millis(5000));
        CHECK(play.accepted() == kMessages);
        CHECK(play.unfinished() == 0);
        CHECK(repeatedRuns(play) == 0);
        CHECK_MESSAGE(play.ledger.faults.empty(), play.faultText());
    }
}

TEST_CASE("messages of a far edge that loses power or is cut off are granted to others within two seconds") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        StoreWorld play(seed, farEdges());
        slowDown(play);
        play.world.run(Millis(3000));
        for (auto& edge : play.edges) {
            edge->wants_grants = false;
            edge->run_time = Millis(4000);  // longer than the detection of a lost edge
        }
        for (int i = 0; i < 20; ++i) play.edges[0]->submit(play.content("plain"), 3);
        play.world.run(Millis(300));
        FakeEdge& lost = *play.edges[1];
        const std::size_t held = lost.running();
        for (auto& edge : play.edges) edge->run_time = Millis(90);
        if (seed % 2 == 0) {
            lost.kill();
        } else {
            play.network.isolate("10.2.0.2");
        }
        play.world.run(Millis(2000));
        std::size_t again = 0;
        for (const auto& [id, message] : play.ledger.messages) again += message.runs > 1 ? 1 : 0;
        CHECK(held > 0);
        CHECK(again == held);
    }
}
