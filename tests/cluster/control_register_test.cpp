// Safety of the register under message loss, network cuts, crashes and a lost disk, over many seeds.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <array>

#include "cluster/control/voter_recovery.hpp"
#include "tests/cluster/control_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr std::size_t kMachines = 3;
const std::string kKey = kConfigKey;

std::vector<NodeAddress> addresses() {
    return {{"10.0.0.1", 7780}, {"10.0.0.2", 7780}, {"10.0.0.3", 7780}};
}

// Voter, proposer and recovery of one machine, without the other parts of a core machine.
class RegisterMachine {
public:
    RegisterMachine(World& world, Network& network, std::size_t index)
        : world_(world), network_(network), self_(addresses()[index]) {}
    ~RegisterMachine() { kill(); }

    void start(bool bootstrap) {
        scheduler_ = std::make_unique<SimulatedScheduler>(world_);
        disk_ = std::make_unique<FakeDisk>(*scheduler_, content);
        transport_ = std::make_unique<MemoryTransport>(world_, network_, self_);
        voter_ = std::make_unique<RegisterVoter>(*disk_, self_, addresses(), bootstrap);
        const std::uint64_t incarnation = world_.random()();
        proposer_ = std::make_unique<RegisterProposer>(
            *scheduler_, *transport_, *voter_, self_.ip + "#" + std::to_string(incarnation), incarnation);
        recovery_ = std::make_unique<VoterRecovery>(*scheduler_, *transport_, *voter_, *proposer_, self_.ip,
                                                    [] { return addresses(); });
        transport_->serve(
            [this](const Envelope& request, const Responder& respond) { serve(request, respond); });
        recovery_->start();
    }
    void kill() {
        if (scheduler_) scheduler_->kill();
        transport_.reset();
        recovery_.reset();
        proposer_.reset();
        voter_.reset();
        disk_.reset();
        scheduler_.reset();
    }
    bool runs() const { return voter_ != nullptr; }
    RegisterVoter& voter() { return *voter_; }
    RegisterProposer& proposer() { return *proposer_; }
    const std::string& ip() const { return self_.ip; }

    DiskContent content;

private:
    void serve(const Envelope& request, const Responder& respond) {
        if (request.kind == static_cast<std::uint16_t>(MessageKind::register_prepare)) {
            const auto message = decode<PrepareRequest>(request.body);
            voter_->prepare(*message, [respond](const PrepareReply& answer) { respond(reply(answer)); });
        } else if (request.kind == static_cast<std::uint16_t>(MessageKind::register_accept)) {
            const auto message = decode<AcceptRequest>(request.body);
            voter_->accept(*message, [respond](const AcceptReply& answer) { respond(reply(answer)); });
        } else {
            respond(reply(ReadVotersReply{voter_->voterSet()}));
        }
    }

    World& world_;
    Network& network_;
    NodeAddress self_;
    std::unique_ptr<SimulatedScheduler> scheduler_;
    std::unique_ptr<FakeDisk> disk_;
    std::unique_ptr<MemoryTransport> transport_;
    std::unique_ptr<RegisterVoter> voter_;
    std::unique_ptr<RegisterProposer> proposer_;
    std::unique_ptr<VoterRecovery> recovery_;
};

// The register holds a comma-separated line of items. Each change appends its own item to the line that it
// was based on.
std::string lastOf(const std::string& line) {
    const std::size_t comma = line.rfind(',', line.empty() ? 0 : line.size() - 2);
    return line.empty() ? "" : line.substr(comma == std::string::npos ? 0 : comma + 1);
}
bool holds(const std::string& line, const std::string& item) {
    return ("," + line).find("," + item) != std::string::npos;
}

struct Appended {
    std::string item;
    bool wanted_other_base = false;
};

class RegisterSimulation {
public:
    explicit RegisterSimulation(std::uint64_t seed) : world(seed), network(world) {
        for (std::size_t index = 0; index < kMachines; ++index) {
            machines[index] = std::make_unique<RegisterMachine>(world, network, index);
            machines[index]->start(true);
        }
        network.loss = 0.05;
        network.jitter = Millis(20);
    }

    RegisterMachine& any() { return *machines[world.random()() % kMachines]; }

    // Appends to the newest line that any caller has read.
    void append(RegisterMachine& machine, const std::string& item) {
        const std::string base = lastOf(newest);
        const auto refused = std::make_shared<bool>(false);
        const auto decide = [item, base, refused](const std::string& current) {
            *refused = false;
            if (holds(current, item)) return Decision::keep();
            if (lastOf(current) != base) {
                *refused = true;
                return Decision::keep();
            }
            return Decision::replaceBy(current + item);
        };
        machine.proposer().change(kKey, decide, {},
                                  [this, item, base, refused](const ChangeOutcome& outcome) {
                                      if (!outcome.known) return;
                                      recordChosen(outcome.value);
                                      if (*refused)
                                          refusals.push_back(item);
                                      else
                                          acknowledged.emplace_back(item, base);
                                  });
    }

    // Every chosen value must be a prefix of all later ones.
    void recordChosen(const std::string& value) {
        const std::string& shorter = value.size() < newest.size() ? value : newest;
        const std::string& longer = value.size() < newest.size() ? newest : value;
        const bool descends = longer.compare(0, shorter.size(), shorter) == 0;
        if (!descends) violation = "diverging values: " + newest + " and " + value;
        newest = longer;
    }

    void injectFault() {
        const double draw = world.chance();
        RegisterMachine& machine = any();
        if (draw < 0.25) {
            machine.kill();
            const bool loses_disk = world.chance() < 0.4 && othersHaveData(machine);
            if (loses_disk) machine.content.clear();
            const Millis down{static_cast<std::int64_t>(world.chance() * 700)};
            world.at(world.now() + down, [&machine] {
                if (!machine.runs()) machine.start(false);
            });
        } else if (draw < 0.45) {
            network.cut(machine.ip(), any().ip());
        } else if (draw < 0.55) {
            network.isolate(machine.ip());
        } else if (draw < 0.8) {
            network.healAll();
        }
    }
    // One lost disk at a time is tolerated: the other machines must have their data, whether they run or not.
    bool othersHaveData(const RegisterMachine& lost) {
        return std::all_of(machines.begin(), machines.end(), [&](const auto& machine) {
            const bool has_data = machine->runs() ? machine->voter().canVote() : !machine->content.empty();
            return machine.get() == &lost || has_data;
        });
    }

    void heal() {
        network.healAll();
        network.loss = 0;
        for (auto& machine : machines) {
            if (!machine->runs()) machine->start(false);
        }
        world.run(Millis(8000));
    }
    std::optional<std::string> readFrom(RegisterMachine& machine) {
        std::optional<std::string> line;
        machine.proposer().change(
            kKey, [](const std::string&) { return Decision::keep(); }, {},
            [&](const ChangeOutcome& outcome) {
                if (outcome.known) line = outcome.value;
            });
        world.run(Millis(2000));
        return line;
    }

    World world;
    Network network;
    std::array<std::unique_ptr<RegisterMachine>, kMachines> machines;
    std::string newest;
    std::string violation;
    std::vector<std::pair<std::string, std::string>> acknowledged;  // item and base
    std::vector<std::string> refusals;
};

void runSeed(std::uint64_t seed, std::size_t& acknowledged_changes, std::size_t& recoveries) {
    RegisterSimulation sim(seed);
    for (int step = 0; step < 60; ++step) {
        const std::string item = "s" + std::to_string(step) + ",";
        RegisterMachine& machine = sim.any();
        if (machine.runs()) sim.append(machine, item);
        RegisterMachine& other = sim.any();
        if (other.runs() && sim.world.chance() < 0.4) sim.append(other, "t" + std::to_string(step) + ",");
        if (sim.world.chance() < 0.35) sim.injectFault();
        sim.world.run(Millis(static_cast<std::int64_t>(sim.world.chance() * 400)));
    }
    sim.heal();
    INFO("seed " << seed);
    for (auto& machine : sim.machines) {
        CHECK(machine->voter().canVote());
        const std::optional<std::string> line = sim.readFrom(*machine);
        REQUIRE(line.has_value());
        sim.recordChosen(*line);
        for (const auto& [item, base] : sim.acknowledged)
            CHECK_MESSAGE(holds(*line, item), item << " in " << *line);
        for (const std::string& item : sim.refusals)
            CHECK_MESSAGE(!holds(*line, item), item << " in " << *line);
    }
    CHECK(sim.violation == "");
    std::set<std::string> bases;
    for (const auto& [item, base] : sim.acknowledged)
        CHECK_MESSAGE(bases.insert(base).second, "two acknowledged changes based on " << base);
    acknowledged_changes += sim.acknowledged.size();
    for (auto& machine : sim.machines) recoveries += machine->voter().isFirstStart() ? 0 : 1;
}

}  // namespace

TEST_CASE("no acknowledged change is lost and no base is used twice, over 300 seeds with faults") {
    std::size_t acknowledged_changes = 0;
    std::size_t restarted = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) runSeed(seed, acknowledged_changes, restarted);
    CHECK(acknowledged_changes > 3000);
    CHECK(restarted > 300);
}

TEST_CASE("a voter without its data gives no vote until it has recovered") {
    RegisterSimulation sim(7);
    sim.network.loss = 0;
    sim.append(*sim.machines[0], "a,");
    sim.world.run(Millis(500));
    REQUIRE(sim.newest == "a,");
    RegisterMachine& lost = *sim.machines[2];
    lost.kill();
    lost.content.clear();
    sim.network.isolate(lost.ip());
    lost.start(false);
    sim.world.run(Millis(2000));
    CHECK_FALSE(lost.voter().canVote());
    PrepareReply answer;
    answer.voter = true;
    lost.voter().prepare({kKey, {1000, "x"}}, [&](PrepareReply reply) { answer = std::move(reply); });
    CHECK_FALSE(answer.voter);
    CHECK_FALSE(answer.promised);
    sim.network.healAll();
    sim.world.run(Millis(3000));
    CHECK(lost.voter().canVote());
}

TEST_CASE("a proposal prepared before a disk was lost cannot be chosen beside a newer one") {
    // Machine 2 promises a ballot, loses its disk and recovers; the old proposer continues with the forgotten
    // promise.
    RegisterSimulation sim(11);
    sim.network.loss = 0;
    RegisterVoter& first = sim.machines[0]->voter();
    sim.world.run(Millis(50));
    const Ballot old_ballot{9, "old"};
    sim.machines[2]->voter().prepare({kKey, old_ballot}, [](const PrepareReply&) {});
    sim.world.run(Millis(50));
    RegisterMachine& lost = *sim.machines[2];
    lost.kill();
    lost.content.clear();
    lost.start(false);
    sim.world.run(Millis(3000));
    REQUIRE(lost.voter().canVote());
    // The delayed prepare and accept of the old proposer now reach the others.
    PrepareReply prepared;
    first.prepare({kKey, old_ballot}, [&](PrepareReply reply) { prepared = std::move(reply); });
    AcceptReply accepted;
    lost.voter().accept({kKey, old_ballot, "old,"}, [&](AcceptReply reply) { accepted = std::move(reply); });
    sim.world.run(Millis(50));
    CHECK_FALSE(prepared.promised);
    CHECK_FALSE(accepted.accepted);
}

TEST_CASE("a voter whose disk fails does not answer as a voter") {
    World world(1);
    SimulatedScheduler scheduler(world);
    DiskContent content;
    FakeDisk disk(scheduler, content);
    RegisterVoter voter(disk, addresses()[0], addresses(), true);
    world.run(Millis(10));
    disk.fails = true;
    std::optional<PrepareReply> answer;
    voter.prepare({kKey, {1, "x"}}, [&](PrepareReply reply) { answer = std::move(reply); });
    world.run(Millis(10));
    REQUIRE(answer.has_value());
    CHECK_FALSE(answer->voter);
    CHECK_FALSE(voter.canVote());
}

TEST_CASE("a voter whose disk works again votes again, and keeps the promises it made meanwhile") {
    World world(1);
    SimulatedScheduler scheduler(world);
    DiskContent content;
    FakeDisk disk(scheduler, content);
    RegisterVoter voter(disk, addresses()[0], addresses(), true);
    world.run(Millis(10));
    disk.fails = true;
    std::optional<PrepareReply> untold;
    voter.prepare({kKey, {7, "x"}}, [&](PrepareReply reply) { untold = std::move(reply); });
    world.run(Millis(1000));
    CHECK_FALSE(untold->voter);
    std::optional<AcceptReply> refused;
    voter.accept({kKey, {8, "x"}, "value"}, [&](AcceptReply reply) { refused = reply; });
    CHECK_FALSE(refused->voter);
    CHECK_FALSE(voter.hasData());
    disk.fails = false;
    world.run(Millis(300));
    CHECK(voter.canVote());
    std::optional<AcceptReply> older;
    voter.accept({kKey, {6, "x"}, "older"}, [&](AcceptReply reply) { older = reply; });
    CHECK(older->voter);
    CHECK_FALSE(older->accepted);
    // The promise that was never reported to a proposer is on the disk by now.
    FakeDisk later_disk(scheduler, content);
    RegisterVoter later(later_disk, addresses()[0], {}, false);
    std::optional<PrepareReply> answer;
    later.prepare({kKey, {7, "w"}}, [&](PrepareReply reply) { answer = std::move(reply); });
    CHECK_FALSE(answer->promised);
}

TEST_CASE("a first start on a disk that fails is completed when the disk works") {
    World world(1);
    SimulatedScheduler scheduler(world);
    DiskContent content;
    FakeDisk disk(scheduler, content);
    disk.fails = true;
    RegisterVoter voter(disk, addresses()[0], addresses(), true);
    disk.onHealthChange([&voter](bool healthy) {
        if (healthy) voter.onDiskHealthy();
    });
    world.run(Millis(2000));
    CHECK_FALSE(voter.canVote());
    disk.fails = false;
    world.run(Millis(300));
    CHECK(voter.canVote());
}

TEST_CASE("a voter that can't read its disk recovers, even if the settings say bootstrap") {
    World world(1);
    SimulatedScheduler scheduler(world);
    DiskContent content;
    {
        FakeDisk disk(scheduler, content);
        RegisterVoter voter(disk, addresses()[0], addresses(), true);
        world.run(Millis(10));
        REQUIRE(voter.canVote());
    }
    const DiskContent whole = content;
    for (auto& [key, value] : content) value = "not readable";
    FakeDisk damaged(scheduler, content);
    RegisterVoter voter(damaged, addresses()[0], addresses(), true);
    world.run(Millis(10));
    CHECK(voter.needsRecovery());
    CHECK_FALSE(voter.canVote());
    content = whole;
    FakeDisk lacking(scheduler, content);
    lacking.lacks_records = true;
    RegisterVoter doubting(lacking, addresses()[0], addresses(), true);
    world.run(Millis(10));
    CHECK(doubting.needsRecovery());
    CHECK_FALSE(doubting.canVote());
}

TEST_CASE("a voter answers only after its sync, and keeps promise and value across a restart") {
    World world(1);
    SimulatedScheduler scheduler(world);
    DiskContent content;
    {
        FakeDisk disk(scheduler, content);
        RegisterVoter voter(disk, addresses()[0], addresses(), true);
        // The voter must not vote before its voter set is durable: without it, a restart would be a second
        // first start.
        CHECK_FALSE(voter.canVote());
        world.run(Millis(10));
        CHECK(voter.canVote());
        std::optional<AcceptReply> answer;
        voter.accept({kKey, {4, "x"}, "value"}, [&](AcceptReply reply) { answer = reply; });
        CHECK_FALSE(answer.has_value());
        world.run(Millis(10));
        REQUIRE(answer.has_value());
        CHECK(answer->accepted);
    }
    FakeDisk disk(scheduler, content);
    RegisterVoter voter(disk, addresses()[0], {}, false);
    CHECK(voter.canVote());
    CHECK(voter.voters() == addresses());
    std::optional<PrepareReply> answer;
    voter.prepare({kKey, {4, "x"}}, [&](PrepareReply reply) { answer = std::move(reply); });
    REQUIRE(answer.has_value());
    CHECK_FALSE(answer->promised);
    voter.prepare({kKey, {5, "x"}}, [&](PrepareReply reply) { answer = std::move(reply); });
    world.run(Millis(10));
    CHECK(answer->promised);
    CHECK(answer->value == "value");
    CHECK(answer->accepted == Ballot{4, "x"});
}

TEST_CASE("without a majority a change ends as unknown in time, and nothing is chosen") {
    RegisterSimulation sim(3);
    sim.network.loss = 0;
    sim.network.isolate("10.0.0.1");
    std::optional<ChangeOutcome> outcome;
    const SteadyTime begun = sim.world.now();
    SteadyTime ended;
    sim.machines[0]->proposer().change(
        kKey, [](const std::string&) { return Decision::replaceBy("a,"); }, {.timeout = Millis(1500)},
        [&](ChangeOutcome result) {
            outcome = std::move(result);
            ended = sim.world.now();
        });
    sim.world.run(Millis(3000));
    REQUIRE(outcome.has_value());
    CHECK_FALSE(outcome->known);
    CHECK(ended - begun <= Millis(1500));
    sim.network.healAll();
    CHECK(sim.readFrom(*sim.machines[1]) == std::string());
}
