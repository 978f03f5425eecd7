// A simulated cluster whose core machines are lost, replaced and lost again while an operator continues to
// change the configuration. AMBERSWITCH_VOTER_PLAYS sets the number of runs of each kind.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "tests/cluster/control_voters_world.hpp"

namespace amberswitch::cluster::simulation {

inline constexpr Millis kReturnGrace{4500};  // a machine counts as lost for this long after its return
// From the recovery of a new machine until the next loss is tolerated.
inline constexpr Millis kRedundancyRestoreTime{1500};
inline constexpr Millis kChangeTimeout{6000};  // for a configuration change after a tolerated loss
inline constexpr Millis kLastingLoss{30000};   // longer than the rest of a run

inline std::size_t runCount(std::size_t default_runs) {
    const char* wanted = std::getenv("AMBERSWITCH_VOTER_PLAYS");
    return wanted == nullptr ? default_runs : std::strtoul(wanted, nullptr, 10);
}

// Network jitter of a run.
inline constexpr std::array<Millis, 3> kJitters{Millis(1), Millis(6), Millis(20)};

enum class Loss : std::uint8_t { for_good, disk, cut_off, frozen };
inline constexpr std::array<Loss, 4> kLosses{Loss::for_good, Loss::disk, Loss::cut_off, Loss::frozen};

inline std::int64_t millisBetween(SteadyTime from, SteadyTime to) {
    return std::chrono::duration_cast<Millis>(to - from).count();
}

class LossWorld : public VotersWorld {
public:
    explicit LossWorld(std::uint64_t seed, std::size_t machines = 3) : VotersWorld(seed, machines) {}

    // Starts all machines and makes a first configuration change, at a time that depends on the seed.
    void begin() {
        startAll();
        world.run(Millis(4000) + randomSpan(1000));
        REQUIRE(leader() != nullptr);
        REQUIRE(makeChange(kChangeTimeout));
    }
    void runUntilTime(SteadyTime moment) {
        if (moment > world.now()) world.run(Millis(millisBetween(world.now(), moment)));
    }
    Millis randomSpan(std::int64_t below) {
        return Millis(static_cast<std::int64_t>(world.chance() * static_cast<double>(below)));
    }
    CoreMachine& follower() {
        const std::size_t first = world.random()() % core.size();
        for (std::size_t step = 0; step < core.size(); ++step) {
            CoreMachine& machine = *core[(first + step) % core.size()];
            if (machine.runs() && !machine.leads()) return machine;
        }
        return *core.front();
    }
    CoreMachine& randomRunning(const CoreMachine* excluded = nullptr) {
        std::vector<CoreMachine*> running;
        for (auto& machine : core) {
            if (machine->runs() && machine.get() != excluded) running.push_back(machine.get());
        }
        return *running[world.random()() % running.size()];
    }
    void injectLoss(CoreMachine& machine, Loss loss) {
        if (loss == Loss::cut_off) return network.isolate(machine.ip());
        if (loss == Loss::frozen) return machine.freeze(kLastingLoss);
        machine.kill();
        if (loss == Loss::for_good) return;
        machine.wipe();
        world.at(world.now() + Millis(300), [&machine] { machine.start(); });
    }
    // Kills a machine for good, and starts an empty one at another address a second later.
    CoreMachine& replaceLost(CoreMachine& lost) {
        lost.kill();
        world.run(Millis(1000));
        return addEmptyMachine();
    }
    static bool hasRecovered(const CoreMachine& machine) { return machine.statusHas("\"recovering\":false"); }
    // Sends one configuration change to all machines in turn until it is acknowledged.
    bool makeChange(Millis within) {
        const std::string body = configurationJson(acknowledged + 1);
        const SteadyTime end = world.now() + within;
        const auto taken = std::make_shared<bool>(false);
        while (!*taken && world.now() < end) {
            for (auto& machine : core) {
                if (!machine->runs()) continue;
                machine->node().handleHttp(
                    replaceRequest(acknowledged, body),
                    [taken](const HttpResponse& response) { *taken = *taken || response.status == 200; });
            }
            world.runUntil([&] { return *taken; }, Millis(250));
        }
        acknowledged += *taken ? 1 : 0;
        return *taken;
    }
    // Checks that after the loss of `lost` all others accept changes and serve the newest configuration.
    void checkService(const CoreMachine* lost) {
        CHECK(makeChange(kChangeTimeout));
        const auto all_serve = [&] {
            return std::all_of(core.begin(), core.end(), [&](const auto& machine) {
                const std::string generation = "\"configuration\":" + std::to_string(acknowledged) + ",";
                return !machine->runs() || machine.get() == lost || machine->statusHas(generation);
            });
        };
        CHECK(world.runUntil(all_serve, Millis(3000)));
        checkVoterSets();
    }
    // Checks that each voter set version stands for the same list on every machine.
    void checkVoterSets() {
        for (const auto& machine : core) {
            if (!machine->runs()) continue;
            const std::string status = machine->node().statusJson();
            const std::size_t at = status.find("\"votersVersion\":");
            const std::string version = status.substr(at, status.find(',', at) - at);
            const auto known = voter_sets_.try_emplace(version, votersOf(*machine)).first;
            CHECK(known->second == votersOf(*machine));
        }
    }

    std::int64_t acknowledged = 0;

private:
    std::map<std::string, std::string> voter_sets_;
};

// Durations measured in a number of runs.
class Durations {
public:
    void add(std::int64_t ms) { all_.push_back(ms); }
    std::string text() {
        if (all_.empty()) return "none";
        std::sort(all_.begin(), all_.end());
        return "median " + std::to_string(all_[all_.size() / 2]) + " ms, worst " +
               std::to_string(all_.back()) + " ms of " + std::to_string(all_.size());
    }
    std::int64_t worst() const { return *std::max_element(all_.begin(), all_.end()); }

private:
    std::vector<std::int64_t> all_;
};

}  // namespace amberswitch::cluster::simulation
