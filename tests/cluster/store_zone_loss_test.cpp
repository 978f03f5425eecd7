// All stores of a zone lose their disks at once, a loss that `faultTolerance.zones` tolerates: no
// acknowledged message is lost, although the zone has more machines than may be lost in arbitrary places.
// AMBERSWITCH_STORE_SEEDS sets the number of seeds of each simulation.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <string>

#include "tests/cluster/store_simulation.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr Millis kAway{600};

void wipeZone(LeaderSimulation& simulation, const std::string& zone) {
    for (auto& machine : simulation.stores.machines) {
        if (machine->zone == zone) simulation.stores.wipe(*machine);
    }
}

void startAll(LeaderSimulation& simulation) {
    for (auto& machine : simulation.stores.machines) {
        if (!machine->process) simulation.stores.start(*machine);
    }
}

}  // namespace

TEST_CASE("all disks of one zone are lost at once") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        CAPTURE(seed);
        LeaderSimulation simulation(seed, 6, 1, 1);
        simulation.traffic(60);
        simulation.trafficFor(Millis(500) + simulation.drawSpan(Millis(1500)));
        wipeZone(simulation, "zone-" + std::to_string(seed % 3));
        simulation.trafficFor(kAway);
        startAll(simulation);
        simulation.trafficFor(Millis(4500));
        simulation.checkEnd();
    }
}

TEST_CASE("all disks of one zone are lost, and all other machines lose power at the same moment") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        CAPTURE(seed);
        LeaderSimulation simulation(seed, 6, 1, 1);
        simulation.traffic(60);
        simulation.trafficFor(Millis(500) + simulation.drawSpan(Millis(1500)));
        wipeZone(simulation, "zone-" + std::to_string(seed % 3));
        for (auto& machine : simulation.stores.machines) simulation.stores.cutPower(*machine);
        simulation.run(kAway);
        startAll(simulation);
        simulation.trafficFor(Millis(4500));
        simulation.checkEnd();
    }
}
