// Seeded simulations of stores under a leader: traffic, faults of single machines, and the checks at the end.
// Shared by several tests.
#pragma once

#include <doctest/doctest.h>

#include <cstdlib>
#include <map>
#include <string>

#include "tests/cluster/store_leader.hpp"
#include "tests/cluster/store_world_edge.hpp"

namespace amberswitch::cluster::simulation {

// Returns the number of seeds of each simulation; the environment variable AMBERSWITCH_STORE_SEEDS overrides
// `usual`.
inline std::uint64_t seedCount(std::uint64_t usual = 40) {
    const char* const chosen = std::getenv("AMBERSWITCH_STORE_SEEDS");
    return chosen == nullptr ? usual : std::strtoull(chosen, nullptr, 10);
}

inline WorldOptions simulationOptions(int stores, std::uint32_t tolerated,
                                      std::uint32_t tolerated_zones = 0) {
    WorldOptions options;
    options.stores = stores;
    options.tolerated = tolerated;
    options.tolerated_zones = tolerated_zones;
    options.partitions = static_cast<std::uint32_t>(kPartitionCount);
    options.lost_answers = 0.03;
    options.failures = 0.05;
    options.duplicate_reports = true;
    return options;
}

class LeaderSimulation {
public:
    LeaderSimulation(std::uint64_t number, int machines, std::uint32_t tolerated,
                     std::uint32_t tolerated_zones = 0)
        : seed(number),
          stores(number, simulationOptions(machines, tolerated, tolerated_zones)),
          leader(stores) {
        stores.world.run(Millis(500));
    }

    World& world() { return stores.world; }
    void run(Millis span) { stores.world.run(span); }
    Millis drawSpan(Millis most) {
        return Millis(static_cast<std::int64_t>(world().chance() * static_cast<double>(most.count())));
    }

    // --- Traffic ---
    void submitOne() {
        const double kind = world().chance();
        const std::string key = "k" + std::to_string(static_cast<int>(world().chance() * 6));
        MessageContent content = kind < 0.5 ? stores.content("lines", key) : stores.content("plain");
        if (kind > 0.8) content.delay_ms = static_cast<std::int64_t>(world().chance() * 12'000);
        if (kind > 0.9) content.callback_url = "http://10.9.0.7:80/done";
        stores.anyEdge().submit(content, 3, world().chance() < 0.05, world().chance() < 0.05);
    }
    void traffic(int messages) {
        for (int sent = 0; sent < messages; ++sent) {
            submitOne();
            run(drawSpan(Millis(30)));
        }
    }
    // Submits about ten messages per second.
    void trafficFor(Millis span) {
        const SteadyTime end = world().now() + span;
        while (world().now() < end) {
            submitOne();
            run(std::min(Millis(1) + drawSpan(Millis(200)),
                         std::chrono::duration_cast<Millis>(end - world().now())));
        }
    }

    // --- Machines ---
    StoreMachine& anyMachine() {
        while (true) {
            StoreMachine& machine = *stores.machines[world().random()() % stores.machines.size()];
            if (machine.process) return machine;
        }
    }
    StoreMachine& anyMachineBut(const StoreMachine& other, bool differs) {
        while (true) {
            StoreMachine& machine = anyMachine();
            if (!differs || &machine != &other) return machine;
        }
    }
    // Removes the machine and its disk permanently.
    void remove(StoreMachine& machine) {
        stores.wipe(machine);
        gone = &machine;
    }
    void cutOff(StoreMachine& machine) {
        stores.network.isolate(machine.address.ip);
        stores.hidden.insert(machine.name);
    }
    void join(StoreMachine& machine) {
        stores.network.endIsolation(machine.address.ip);
        stores.hidden.erase(machine.name);
    }
    // Suspends the process for `span`; what arrives meanwhile is delivered afterwards.
    void freeze(StoreMachine& machine, Millis span) {
        const SteadyTime until = world().now() + span;
        machine.process->scheduler->freeze(until);
        machine.process->transport->freeze(until);
        stores.hidden.insert(machine.name);
        world().at(until, [this, &machine] { stores.hidden.erase(machine.name); });
    }

    // --- Checks ---
    // Returns the runs of the messages that ended more than 3000 ms ago, so that the owner knows the end and
    // has sent it to the replicas.
    std::map<MessageId, int> runsOfEnded() {
        std::map<MessageId, int> runs;
        for (const auto& [id, message] : stores.ledger.messages) {
            if (message.ended && *message.ended + Millis(3000) < world().now()) runs[id] = message.runs;
        }
        return runs;
    }
    void checkRuns(const std::map<MessageId, int>& before) const {
        for (const auto& [id, runs] : before) {
            INFO("seed " << seed << " " << id);
            CHECK(stores.ledger.messages.at(id).runs == runs);
        }
    }
    // Checks that every accepted message has ended, that its state matches the servers' answers, and that the
    // bodies of dead letters are intact.
    void checkEnd() {
        run(Millis(25'000));
        INFO("seed " << seed);
        CHECK(stores.accepted() > 40);
        CHECK(stores.unfinished() == 0);
        stores.checkStates();
        CHECK_MESSAGE(stores.ledger.faults.empty(), stores.faultText());
        checkBodies();
    }
    void checkBodies() {
        for (const auto& [id, message] : stores.ledger.messages) {
            if (!message.accepted) continue;
            const auto state = stores.edges[0]->query(MessageKind::state_query, message.partition, id);
            if (!state || state->phase != Phase::dead_letter) continue;
            const auto body = stores.edges[0]->query(MessageKind::body_query, message.partition, id);
            INFO("seed " << seed << " " << id);
            REQUIRE(body.has_value());
            CHECK(body->status == QueryStatus::found);
            CHECK(body->body == message.content.body);
        }
    }

    std::uint64_t seed;
    StoreWorld stores;
    StoreLeader leader;
    StoreMachine* gone = nullptr;
};

}  // namespace amberswitch::cluster::simulation
