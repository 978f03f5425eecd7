// Reads of the newest configuration through any dispatcher: never older than any change acknowledged before
// the read, and 503 if no quorum confirms the result.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/control/configuration_reader.hpp"
#include "tests/cluster/control_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr Millis kAnswerLimit{2000};

class ReadWorld : public ControlWorld {
public:
    explicit ReadWorld(std::uint64_t seed, std::size_t machines = 3)
        : ControlWorld(seed, machines),
          scheduler_(world),
          transport_(world, network, {kEdgeIp, kFirstPort + 1}),
          reader_(scheduler_, transport_, "edge-1", [this] { return coreAddresses(); }) {
        startAll();
        world.run(Millis(2500));
    }
    HttpResponse readByEdge() {
        const auto answer = std::make_shared<HttpResponse>();
        answer->status = 0;
        reader_.read([answer](HttpResponse response) { *answer = std::move(response); });
        world.runUntil([answer] { return answer->status != 0; }, kAnswerLimit);
        return *answer;
    }
    static constexpr const char* kEdgeIp = "10.2.0.1";

private:
    SimulatedScheduler scheduler_;
    MemoryTransport transport_;
    ConfigurationReader reader_;
};

}  // namespace

TEST_CASE("a dispatcher returns the full newest configuration, or 404 if there is none") {
    ReadWorld play(1);
    CHECK(play.readByEdge().status == 404);
    const std::string body = configurationJson(5, "first");
    REQUIRE(play.replace(*play.core[0], 0, body) == 200);
    const HttpResponse answer = play.readByEdge();
    CHECK(answer.status == 200);
    CHECK(answer.body == body);
}

TEST_CASE("a read through any dispatcher is not older than any change acknowledged before it") {
    int acknowledged = 0;
    int confirmed = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        ReadWorld play(seed);
        std::int64_t base = 0;
        for (std::int64_t generation = 3; generation <= 24; generation += 3) {
            const std::string cut_off = play.core[play.world.random()() % 3]->ip();
            const std::string body = configurationJson(generation, "n" + std::to_string(generation));
            play.network.healAll();
            if (play.world.chance() < 0.5) {
                for (const auto& machine : play.core) {
                    if (machine->ip() != cut_off) play.network.cutBoth(cut_off, machine->ip());
                }
            }
            CoreMachine& receiver = *play.core[play.world.random()() % 3];
            if (play.replace(receiver, base, body) != 200) continue;
            base = generation;
            ++acknowledged;
            const HttpResponse answer = play.readByEdge();
            REQUIRE((answer.status == 200 || answer.status == 503));
            if (answer.status != 200) continue;
            ++confirmed;
            CHECK(answer.body == body);
        }
    }
    CHECK(acknowledged > 200);
    CHECK(confirmed > acknowledged / 2);
}

TEST_CASE("without a majority of the core the dispatcher responds 503 in time") {
    ReadWorld play(2);
    REQUIRE(play.replace(*play.core[0], 0, configurationJson(5, "first")) == 200);
    SUBCASE("the core machines are cut off from each other") {
        play.network.cutBoth(play.core[0]->ip(), play.core[1]->ip());
        play.network.cutBoth(play.core[0]->ip(), play.core[2]->ip());
        play.network.cutBoth(play.core[1]->ip(), play.core[2]->ip());
    }
    SUBCASE("two of three are gone") {
        play.core[1]->kill();
        play.core[2]->kill();
    }
    SUBCASE("the dispatcher is cut off from all") {
        for (const auto& machine : play.core) play.network.cutBoth(ReadWorld::kEdgeIp, machine->ip());
    }
    CHECK(play.readByEdge().status == 503);
}

TEST_CASE("a partitioned core machine does not keep the dispatcher from asking another one") {
    ReadWorld play(3);
    const std::string body = configurationJson(5, "first");
    REQUIRE(play.replace(*play.core[1], 0, body) == 200);
    play.network.cutBoth(play.core[0]->ip(), play.core[1]->ip());
    play.network.cutBoth(play.core[0]->ip(), play.core[2]->ip());
    const HttpResponse answer = play.readByEdge();
    CHECK(answer.status == 200);
    CHECK(answer.body == body);
}
