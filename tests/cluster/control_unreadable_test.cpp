// Register values that cannot be decoded are not treated as empty, and are never overwritten.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/control/register_messages.hpp"
#include "tests/cluster/control_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

const std::string kAcceptedPrefix = "register/accepted/";
const std::string kVotersRecordKey = "register/voters";
const HttpRequest kRetireStart{"POST", "/Retire.Start/storage-1", {}, R"({"deadlineS":10})"};
const HttpRequest kRetireRead{"GET", "/Retire.Read/storage-1", {}, {}};

AcceptedRecord acceptedOn(CoreMachine& machine, const std::string& key) {
    return decode<AcceptedRecord>(machine.content()[kAcceptedPrefix + key]).value_or(AcceptedRecord{});
}

// Starts a cluster with a configuration and three stores.
void runWithConfiguration(ControlWorld& sim) {
    for (const std::string number : {"1", "2", "3"}) {
        sim.addClient("storage-" + number, NodeKind::store, "10.1.0." + number);
    }
    sim.startAll();
    sim.world.run(Millis(4000));
    REQUIRE(sim.replace(*sim.core[0], 0, configurationJson(3)) == 200);
    sim.world.run(Millis(1000));
}

// Stops the core, replaces the value of the key on all its disks by `change(value)`, and starts the core
// again.
template <class Change>
std::string damage(ControlWorld& sim, const std::string& key, Change change) {
    std::string damaged;
    for (auto& machine : sim.core) machine->kill();
    for (auto& machine : sim.core) {
        AcceptedRecord record = acceptedOn(*machine, key);
        record.value = change(record.value);
        damaged = record.value;
        machine->content()[kAcceptedPrefix + key] = encode(record);
    }
    sim.startAll();
    sim.world.run(Millis(4000));
    return damaged;
}

std::string cutShort(const std::string& value) {
    return value.substr(0, value.size() / 2);
}
std::string lengthened(const std::string& value) {
    return value + "more";
}
std::string garbled(const std::string&) {
    return "not a value of the register";
}
std::string zeroed(const std::string& value) {
    return std::string(value.size(), '\0');
}

using Damage = std::string (*)(const std::string&);
constexpr Damage kDamages[] = {cutShort, lengthened, garbled, zeroed};

}  // namespace

TEST_CASE("a configuration that can't be decoded is refused, reported and never overwritten") {
    for (const Damage change : kDamages) {
        ControlWorld sim(71);
        runWithConfiguration(sim);
        const std::string damaged = damage(sim, kConfigKey, change);
        INFO(damaged.size() << " bytes");
        for (auto& machine : sim.core) {
            CHECK(sim.replace(*machine, 0, configurationJson(2)) == 500);
            CHECK(sim.replace(*machine, 0, configurationJson(4)) == 500);
            CHECK(sim.replace(*machine, 3, configurationJson(5)) == 500);
            CHECK(sim.replace(*machine, 0, configurationJson(3)) == 500);
            const HttpResponse read = sim.read(*machine);
            CHECK(read.status == 500);
            CHECK(read.body == "the stored configuration is not readable; nothing was changed\n");
            CHECK(machine->statusHas(R"("unreadable":["config"])"));
        }
        sim.world.run(Millis(3000));
        for (auto& machine : sim.core) CHECK(acceptedOn(*machine, kConfigKey).value == damaged);
        // Everything else keeps working.
        CHECK(sim.leader() != nullptr);
        CHECK(sim.call(*sim.core[0], kRetireRead).status == 404);
    }
}

TEST_CASE("a store view that can't be decoded is refused, reported and never overwritten") {
    for (const Damage change : kDamages) {
        ControlWorld sim(72);
        runWithConfiguration(sim);
        const std::string damaged = damage(sim, kViewKey, change);
        INFO(damaged.size() << " bytes");
        const std::uint64_t round_before = acceptedOn(*sim.core[0], kViewKey).ballot.round;
        for (auto& machine : sim.core) {
            CHECK(sim.call(*machine, kRetireStart).status == 500);
            const HttpResponse read = sim.call(*machine, kRetireRead);
            CHECK(read.status == 500);
            CHECK(read.body == "the stored store view is not readable; nothing was changed\n");
            CHECK(machine->statusHas(R"("unreadable":["view"])"));
        }
        sim.world.run(Millis(10'000));
        for (auto& machine : sim.core) CHECK(acceptedOn(*machine, kViewKey).value == damaged);
        // The lease holder tries to claim the view about once a second, not continuously.
        CHECK(acceptedOn(*sim.core[0], kViewKey).ballot.round - round_before < 60);
        CHECK(sim.leader() == nullptr);
        // Configuration changes still work, and the clients keep what they have.
        CHECK(sim.replace(*sim.core[1], 3, configurationJson(4)) == 200);
        CHECK(sim.clients["storage-1"]->client().view()->stores.size() == 3);
    }
}

TEST_CASE("a voter set that can't be decoded is kept, and no machine becomes a voter because of it") {
    ControlWorld sim(73);
    runWithConfiguration(sim);
    const std::string damaged = damage(sim, kVotersKey, garbled);
    for (auto& machine : sim.core) CHECK(machine->statusHas(R"("unreadable":["voters"])"));
    sim.core[2]->kill();
    sim.core[2]->wipe();
    sim.core[2]->start();
    sim.world.run(Millis(10'000));
    CHECK_FALSE(sim.core[2]->votes());
    CHECK(acceptedOn(*sim.core[0], kVotersKey).value == damaged);
    CHECK(acceptedOn(*sim.core[1], kVotersKey).value == damaged);
    CHECK(sim.replace(*sim.core[1], 3, configurationJson(4)) == 200);
}

TEST_CASE("a value that can't be decoded on one machine only is replaced by the majority's") {
    ControlWorld sim(74);
    runWithConfiguration(sim);
    CoreMachine& machine = *sim.core[1];
    machine.kill();
    machine.content()[kAcceptedPrefix + kConfigKey] = "not a record";
    machine.start();
    CHECK(sim.world.runUntil([&] { return machine.votes(); }, Millis(4000)));
    CHECK(sim.read(machine).body == configurationJson(3));
    CHECK(machine.statusHas(R"("unreadable":[])"));
}

TEST_CASE(
    "a bootstrap with records that can't be decoded does not count: the machine recovers before it votes") {
    for (const std::string& record : {kVotersRecordKey, kAcceptedPrefix + kConfigKey}) {
        ControlWorld sim(75);
        runWithConfiguration(sim);
        CoreMachine& machine = *sim.core[1];
        machine.kill();
        machine.content()[record] = "not a record";
        for (auto& other : sim.core) other->kill();
        machine.settings().bootstrap = true;
        machine.start();
        sim.world.run(Millis(2000));
        CHECK_FALSE(machine.votes());  // alone
        sim.core[0]->start();
        sim.core[2]->start();
        CHECK(sim.world.runUntil([&] { return machine.votes(); }, Millis(5000)));
        CHECK(sim.read(machine).body == configurationJson(3));
    }
}
