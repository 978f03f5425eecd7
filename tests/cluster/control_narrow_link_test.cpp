// Distribution of large configurations to hundreds of dispatchers by core machines with narrow links.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>

#include "tests/cluster/control_world.hpp"
#include "tests/cluster/large_configuration.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;
using amberswitch::cluster::testing::largeConfiguration;

namespace {

constexpr double kCoreLinkBytesPerMs = 86e6 / 8 / 1000;  // 86 Mbit/s
constexpr Millis kStartupTime{14000};  // from the start of the machines to the start of traffic
constexpr Millis kDistributionLimit{5000};
constexpr Millis kReplaceLimit{8000};

// Five core machines on narrow links, and dispatchers that start with them.
class LargeConfigurationWorld {
public:
    LargeConfigurationWorld(std::uint64_t seed, std::size_t edges, std::size_t stores) : world(seed, 5) {
        for (auto& machine : world.core) {
            world.network.link_bytes_per_ms[machine->ip()] = kCoreLinkBytesPerMs;
            machine->settings().limits.link_mbps = 86;
        }
        for (std::size_t i = 0; i < edges + stores; ++i) {
            const bool is_edge = i < edges;
            const std::string number = std::to_string(i);
            world.addClient((is_edge ? "edge-" : "store-") + number,
                            is_edge ? NodeKind::edge : NodeKind::store,
                            "10.2." + std::to_string(i / 250) + "." + std::to_string(i % 250));
        }
    }
    // Repeats a change until it is taken; returns false if that takes longer than `within`.
    bool replace(std::int64_t base, const std::string& body, Millis within) {
        const SteadyTime deadline = world.world.now() + within;
        for (std::size_t attempt = 0; world.world.now() < deadline; ++attempt) {
            CoreMachine& machine = *world.core[attempt % world.core.size()];
            if (world.replace(machine, base, body) == 200) return true;
            world.world.run(Millis(100));
        }
        return false;
    }
    bool allHave(std::int64_t generation) const {
        return std::all_of(world.clients.begin(), world.clients.end(), [&](const auto& entry) {
            const auto configuration = entry.second->client().configuration();
            return configuration && configuration->generation >= generation;
        });
    }
    bool isDistributedWithin(std::int64_t generation, Millis span) {
        return world.world.runUntil([&] { return allHave(generation); }, span);
    }

    ControlWorld world;
};

}  // namespace

TEST_CASE("a large configuration reaches all dispatchers before traffic begins, and its changes do in time") {
    LargeConfigurationWorld play(1, 235, 60);
    const SteadyTime traffic_begins = play.world.world.now() + kStartupTime;
    play.world.startAll();
    REQUIRE(play.replace(0, largeConfiguration(4, 600), kStartupTime));
    CHECK(play.isDistributedWithin(4, std::chrono::floor<Millis>(traffic_begins - play.world.world.now())));
    for (std::int64_t version = 5; version < 10; ++version) {
        CAPTURE(version);
        REQUIRE(play.replace(version - 1, largeConfiguration(version, 600), Millis(2000)));
        CHECK(play.isDistributedWithin(version, kDistributionLimit));
        play.world.world.run(Millis(1400));
    }
}

TEST_CASE("1,000 and 10,000 services are taken and distributed in time, and read back unchanged") {
    for (const std::size_t services : {1'000, 10'000}) {
        CAPTURE(services);
        LargeConfigurationWorld play(2, 30, 10);
        play.world.startAll();
        play.world.world.run(Millis(4000));
        for (std::int64_t version = 1; version <= 2; ++version) {
            CAPTURE(version);
            const std::string body = largeConfiguration(version, services);
            REQUIRE(play.replace(version - 1, body, kReplaceLimit));
            CHECK(play.isDistributedWithin(version, kDistributionLimit));
            for (auto& machine : play.world.core) CHECK((play.world.read(*machine).body == body));
        }
    }
}
