// A simulated cluster whose core machines are replaced or added, with an edge and a store as clients.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>

#include "tests/cluster/control_world.hpp"

namespace amberswitch::cluster::simulation {

// The voters in the status of a core machine, as JSON.
inline std::string votersOf(const CoreMachine& machine) {
    const std::string status = const_cast<CoreMachine&>(machine).node().statusJson();
    const std::string begin = "\"voters\":[";
    const std::size_t from = status.find(begin) + begin.size();
    return status.substr(from, status.find(']', from) - from);
}
inline std::size_t countVoters(const std::string& voters) {
    return voters.empty() ? 0 : 1 + static_cast<std::size_t>(std::count(voters.begin(), voters.end(), ','));
}
inline bool listsVoter(const std::string& voters, const std::string& ip) {
    return voters.find("\"" + ip + ":") != std::string::npos;
}

class VotersWorld : public ControlWorld {
public:
    explicit VotersWorld(std::uint64_t seed, std::size_t machines = 3) : ControlWorld(seed, machines) {
        addClient("edge-1", NodeKind::edge, "10.2.0.1");
        addClient("storage-1", NodeKind::store, "10.1.0.1");
    }
    // Starts an empty machine at a new address, whose seeds are up to three of the running machines.
    CoreMachine& addEmptyMachine() {
        NodeSettings settings = core.front()->settings();
        const std::string number = std::to_string(core.size() + 1);
        settings.name = "core-new-" + number;
        settings.ip = "10.0.0." + number;
        settings.bootstrap = false;
        settings.seeds.clear();
        for (const auto& machine : core) {
            if (machine->runs() && settings.seeds.size() < 3) settings.seeds.push_back({machine->ip(), 8064});
        }
        core.push_back(std::make_unique<CoreMachine>(world, network, cloud, settings));
        core.back()->start();
        return *core.back();
    }
    // True if all running machines vote, and the voter set contains only them.
    bool runningMachinesVote() const {
        std::size_t running = 0;
        for (const auto& machine : core) running += machine->runs() ? 1 : 0;
        return std::all_of(core.begin(), core.end(), [&](const auto& machine) {
            if (!machine->runs()) return true;
            const std::string voters = votersOf(*machine);
            if (!machine->votes() || countVoters(voters) != running) return false;
            return std::all_of(core.begin(), core.end(), [&](const auto& other) {
                return other->runs() == listsVoter(voters, other->ip());
            });
        });
    }
    CoreMachine& anyRunning() {
        const auto found =
            std::find_if(core.begin(), core.end(), [](const auto& machine) { return machine->runs(); });
        return **found;
    }
    bool clientsHave(std::int64_t generation) const {
        return std::all_of(clients.begin(), clients.end(), [&](const auto& client) {
            const auto configuration = client.second->client().configuration();
            return configuration && configuration->generation == generation;
        });
    }
    // Checks that the next configuration change is accepted and reaches all clients, and that the previous
    // one was not lost.
    void checkChange(std::int64_t generation) {
        CoreMachine& machine = anyRunning();
        if (generation > 1) CHECK(read(machine).body == configurationJson(generation - 1));
        CHECK(replace(machine, generation - 1, configurationJson(generation)) == 200);
        CHECK(world.runUntil([&] { return clientsHave(generation); }, Millis(3000)));
    }
};

}  // namespace amberswitch::cluster::simulation
