// Safety of the register while its voters change, under message loss, network cuts, crashes, lost disks,
// machines that are lost for good and new ones, over many seeds. Any machine may believe that it leads, also
// several at once.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

#include "cluster/control/voter_recovery.hpp"
#include "cluster/control/voter_set_manager.hpp"
#include "tests/cluster/control_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

const std::string kKey = kConfigKey;
constexpr std::size_t kFirstMachines = 3;
constexpr std::size_t kMaxRunning = 6;

NodeAddress addressOf(std::size_t index) {
    return {"10.0.0." + std::to_string(index + 1), kFirstPort};
}
std::vector<NodeAddress> firstVoters() {
    return {addressOf(0), addressOf(1), addressOf(2)};
}

// The register components of one core machine, without the store view and the operator API.
class VotingMachine {
public:
    VotingMachine(World& world, Network& network, std::size_t index, std::vector<NodeAddress> seeds)
        : world_(world), network_(network), self_(addressOf(index)), seeds_(std::move(seeds)) {}
    ~VotingMachine() { kill(); }

    void start(bool bootstrap) {
        scheduler_ = std::make_unique<SimulatedScheduler>(world_);
        disk_ = std::make_unique<FakeDisk>(*scheduler_, content);
        transport_ = std::make_unique<MemoryTransport>(world_, network_, self_);
        voter_ = std::make_unique<RegisterVoter>(*disk_, self_, firstVoters(), bootstrap);
        incarnation_ = world_.random()() | 1;
        proposer_ = std::make_unique<RegisterProposer>(
            *scheduler_, *transport_, *voter_, self_.ip + "#" + std::to_string(incarnation_), incarnation_);
        const auto peers_now = [this] { return peers(); };
        recovery_ = std::make_unique<VoterRecovery>(*scheduler_, *transport_, *voter_, *proposer_, self_.ip,
                                                    peers_now);
        membership_ = std::make_unique<Membership>(*scheduler_);
        voter_set_manager_ = std::make_unique<VoterSetManager>(
            *scheduler_, *transport_, *voter_, *proposer_, *membership_, self_.ip, 1,
            VoterSetHooks{.is_acting_leader = [this] { return acts_as_leader; }, .peers = peers_now});
        transport_->serve(
            [this](const Envelope& request, const Responder& respond) { serve(request, respond); });
        recovery_->onRecovered([this] { renew(); });
        recovery_->start();
        voter_set_manager_->start();
        renew();
    }
    void kill() {
        if (scheduler_) scheduler_->kill();
        renew_timer_.reset();
        transport_.reset();
        voter_set_manager_.reset();
        membership_.reset();
        recovery_.reset();
        proposer_.reset();
        voter_.reset();
        disk_.reset();
        scheduler_.reset();
    }
    bool runs() const { return voter_ != nullptr; }
    bool hasData() const {
        if (lost_for_good) return false;
        return runs() ? voter_->hasData() : content.contains("register/voters");
    }
    RegisterVoter& voter() { return *voter_; }
    RegisterProposer& proposer() { return *proposer_; }
    const NodeAddress& self() const { return self_; }

    DiskContent content;
    bool acts_as_leader = false;  // believes that it leads
    bool lost_for_good = false;   // never restarted

private:
    std::vector<NodeAddress> peers() const {
        std::set<NodeAddress> all(seeds_.begin(), seeds_.end());
        all.insert(voter_->voters().begin(), voter_->voters().end());
        for (const MemberEntry& entry : membership_->live(NodeKind::core)) all.insert(entry.member.address);
        all.erase(self_);
        return {all.begin(), all.end()};
    }
    void renew() {
        RenewLeaseRequest request;
        request.member.name = self_.ip;
        request.member.kind = NodeKind::core;
        request.member.address = self_;
        request.member.incarnation = incarnation_;
        request.member.disk_empty = !voter_->hasData();
        for (const NodeAddress& peer : peers())
            transport_->call(peer, envelope(MessageKind::renew_lease, request), Millis(400),
                             [](const CallResult&) {});
        renew_timer_ = scheduler_->after(Millis(500), [this] { renew(); });
    }
    void serve(const Envelope& request, const Responder& respond) {
        if (request.kind == static_cast<std::uint16_t>(MessageKind::register_prepare)) {
            const auto message = decode<PrepareRequest>(request.body);
            voter_->prepare(*message, [respond](const PrepareReply& answer) { respond(reply(answer)); });
        } else if (request.kind == static_cast<std::uint16_t>(MessageKind::register_accept)) {
            const auto message = decode<AcceptRequest>(request.body);
            voter_->accept(*message, [respond](const AcceptReply& answer) { respond(reply(answer)); });
        } else if (request.kind == static_cast<std::uint16_t>(MessageKind::renew_lease)) {
            const auto message = decode<RenewLeaseRequest>(request.body);
            membership_->renew(*message);
            voter_set_manager_->onLeaseRenewed(message->member.name);
            respond(reply(Acknowledgement{}));
        } else {
            respond(reply(ReadVotersReply{voter_->voterSet()}));
        }
    }

    World& world_;
    Network& network_;
    NodeAddress self_;
    std::vector<NodeAddress> seeds_;
    Incarnation incarnation_ = 0;
    std::unique_ptr<SimulatedScheduler> scheduler_;
    std::unique_ptr<FakeDisk> disk_;
    std::unique_ptr<MemoryTransport> transport_;
    std::unique_ptr<RegisterVoter> voter_;
    std::unique_ptr<RegisterProposer> proposer_;
    std::unique_ptr<VoterRecovery> recovery_;
    std::unique_ptr<Membership> membership_;
    std::unique_ptr<VoterSetManager> voter_set_manager_;
    TimerHandle renew_timer_;
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

struct Acknowledged {
    std::string item;
    std::string base;
};

class VotersSimulation {
public:
    explicit VotersSimulation(std::uint64_t seed) : world(seed), network(world) {
        for (std::size_t index = 0; index < kFirstMachines; ++index) add(firstVoters()).start(true);
        network.loss = 0.03;
        network.jitter = Millis(15);
    }

    VotingMachine& add(std::vector<NodeAddress> seeds) {
        machines.push_back(
            std::make_unique<VotingMachine>(world, network, machines.size(), std::move(seeds)));
        return *machines.back();
    }
    VotingMachine& any() {
        std::vector<VotingMachine*> present_machines;
        for (auto& machine : machines) {
            if (!machine->lost_for_good) present_machines.push_back(machine.get());
        }
        return *present_machines[world.random()() % present_machines.size()];
    }
    std::vector<NodeAddress> present() const {
        std::vector<NodeAddress> addresses;
        for (const auto& machine : machines) {
            if (!machine->lost_for_good) addresses.push_back(machine->self());
        }
        return addresses;
    }
    VotingMachine* at(const NodeAddress& address) const {
        for (const auto& machine : machines) {
            if (machine->self() == address) return machine.get();
        }
        return nullptr;
    }
    VoterSet newestVoters() const {
        VoterSet latest{0, firstVoters()};
        for (const auto& machine : machines) {
            if (!machine->runs()) continue;
            const VoterSet& known = machine->voter().voterSet();
            if (known.version > latest.version) latest = known;
        }
        return latest;
    }
    // One loss at a time is tolerated: all other voters must have their data, whether they run or not. While
    // a lost voter is replaced, only two voters remain for a moment, and both are needed.
    bool othersHaveData(const VotingMachine& lost) const {
        const VoterSet latest = newestVoters();
        const std::vector<NodeAddress>& voters = latest.addresses;
        const bool is_voter = std::find(voters.begin(), voters.end(), lost.self()) != voters.end();
        if (is_voter && voters.size() < kFirstMachines) return false;
        return std::all_of(voters.begin(), voters.end(), [&](const NodeAddress& address) {
            return address == lost.self() || at(address)->hasData();
        });
    }

    void append(VotingMachine& machine, const std::string& item) {
        const std::string base = lastOf(newest);
        const auto refused = std::make_shared<bool>(false);
        const auto decide = [item, base, refused](const std::string& current) {
            *refused = false;
            if (holds(current, item)) return Decision::keep();
            *refused = lastOf(current) != base;
            return *refused ? Decision::keep() : Decision::replaceBy(current + item);
        };
        const auto done = [this, item, base, refused](const ChangeOutcome& outcome) {
            if (!outcome.known) return;
            recordChosen(outcome.value);
            if (*refused)
                refusals.push_back(item);
            else
                acknowledged.push_back({item, base});
        };
        machine.proposer().change(kKey, decide, {}, done);
    }
    // Every chosen value must be a prefix of all later ones.
    void recordChosen(const std::string& value) {
        const std::string& shorter = value.size() < newest.size() ? value : newest;
        const std::string& longer = value.size() < newest.size() ? newest : value;
        if (longer.compare(0, shorter.size(), shorter) != 0)
            violation = "diverging values: " + newest + " and " + value;
        newest = longer;
    }

    void injectFault() {
        const double draw = world.chance();
        if (draw < 0.18) return crash(any());
        if (draw < 0.30) return replace(any());
        if (draw < 0.36) return addEmptyMachine();
        if (draw < 0.50) return network.cut(any().self().ip, any().self().ip);
        if (draw < 0.58) return network.isolate(any().self().ip);
        if (draw < 0.85) return network.healAll();
        any().acts_as_leader = world.chance() < 0.5;
    }
    void crash(VotingMachine& machine) {
        machine.kill();
        if (world.chance() < 0.4 && othersHaveData(machine)) machine.content.clear();
        const Millis down{static_cast<std::int64_t>(world.chance() * 700)};
        world.at(world.now() + down, [&machine] {
            if (!machine.runs() && !machine.lost_for_good) machine.start(false);
        });
    }
    void replace(VotingMachine& machine) {
        if (!othersHaveData(machine) || present().size() < kFirstMachines) return;
        ++replaced;
        machine.kill();
        machine.lost_for_good = true;
        world.at(world.now() + Millis(1000), [this] { addEmptyMachine(); });
    }
    void addEmptyMachine() {
        if (present().size() >= kMaxRunning) return;
        VotingMachine& added = add(present());
        added.start(false);
        added.acts_as_leader = world.chance() < 0.5;
    }
    void heal() {
        network.healAll();
        network.loss = 0;
        for (auto& machine : machines) {
            if (!machine->runs() && !machine->lost_for_good) machine->start(false);
            machine->acts_as_leader = true;
        }
        world.run(Millis(30000));
    }
    std::optional<std::string> readFrom(VotingMachine& machine) {
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
    std::vector<std::unique_ptr<VotingMachine>> machines;
    std::string newest;
    std::string violation;
    std::vector<Acknowledged> acknowledged;
    std::vector<std::string> refusals;
    std::size_t replaced = 0;
};

struct RunTotals {
    std::size_t acknowledged = 0;
    std::size_t replaced = 0;
    std::uint64_t voter_changes = 0;
};

void runSeed(std::uint64_t seed, RunTotals& totals) {
    VotersSimulation sim(seed);
    for (int step = 0; step < 120; ++step) {
        VotingMachine& machine = sim.any();
        if (machine.runs()) sim.append(machine, "s" + std::to_string(step) + ",");
        VotingMachine& other = sim.any();
        if (other.runs() && sim.world.chance() < 0.4) sim.append(other, "t" + std::to_string(step) + ",");
        if (sim.world.chance() < 0.25) sim.injectFault();
        if (step % 15 == 0) sim.any().acts_as_leader = true;
        sim.world.run(Millis(static_cast<std::int64_t>(sim.world.chance() * 600)));
    }
    sim.heal();
    INFO("seed " << seed);
    const VoterSet voters = sim.newestVoters();
    const std::vector<NodeAddress> present = sim.present();
    CHECK(std::set<NodeAddress>(voters.addresses.begin(), voters.addresses.end()) ==
          std::set<NodeAddress>(present.begin(), present.end()));
    for (const NodeAddress& address : present) {
        VotingMachine& machine = *sim.at(address);
        CHECK(machine.voter().canVote());
        CHECK(machine.voter().voterSet() == voters);
        const std::optional<std::string> line = sim.readFrom(machine);
        REQUIRE(line.has_value());
        sim.recordChosen(*line);
        for (const Acknowledged& change : sim.acknowledged)
            CHECK_MESSAGE(holds(*line, change.item), change.item << " in " << *line);
        for (const std::string& item : sim.refusals)
            CHECK_MESSAGE(!holds(*line, item), item << " in " << *line);
    }
    CHECK(sim.violation == "");
    std::set<std::string> bases;
    for (const Acknowledged& change : sim.acknowledged)
        CHECK_MESSAGE(bases.insert(change.base).second, "two acknowledged changes based on " << change.base);
    totals.acknowledged += sim.acknowledged.size();
    totals.replaced += sim.replaced;
    totals.voter_changes += voters.version;
}

}  // namespace

TEST_CASE("no acknowledged change is lost while voters are replaced and added, over 300 seeds with faults") {
    RunTotals totals;
    const char* wanted = std::getenv("AMBERSWITCH_VOTER_PLAYS");
    const std::uint64_t seeds = wanted == nullptr ? 300 : std::strtoull(wanted, nullptr, 10);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) runSeed(seed, totals);
    MESSAGE(totals.acknowledged << " changes, " << totals.replaced << " machines replaced, "
                                << totals.voter_changes << " voter set changes");
    CHECK(totals.acknowledged > 5000);
    CHECK(totals.replaced > 300);
    CHECK(totals.voter_changes > 900);
}

TEST_CASE("a removed voter with its old data, and a majority of its old voter set, choose nothing") {
    VotersSimulation sim(5);
    sim.network.loss = 0;
    sim.machines[0]->acts_as_leader = true;
    sim.append(*sim.machines[0], "a,");
    sim.world.run(Millis(1000));
    REQUIRE(sim.newest == "a,");
    // Machine 2 is unreachable; a new machine takes its place.
    sim.network.isolate(sim.machines[2]->self().ip);
    sim.addEmptyMachine();
    sim.world.run(Millis(8000));
    const VoterSet now = sim.newestVoters();
    REQUIRE(now.version == 2);
    REQUIRE(sim.at(addressOf(2))->voter().voterSet().version == 0);
    REQUIRE(std::find(now.addresses.begin(), now.addresses.end(), addressOf(2)) == now.addresses.end());
    // It can now reach only one voter of its old majority, which must not vote for it.
    sim.network.healAll();
    for (std::size_t other : {0, 3}) sim.network.cutBoth(addressOf(2).ip, addressOf(other).ip);
    PrepareReply answer;
    answer.promised = true;
    sim.machines[1]->voter().prepare({kKey, {1u << 30, "old"}, {0, firstVoters()}},
                                     [&](PrepareReply reply) { answer = std::move(reply); });
    CHECK_FALSE(answer.promised);
    REQUIRE(answer.newer_voters.has_value());
    CHECK(*answer.newer_voters == now);
    sim.append(*sim.machines[0], "b,");
    sim.world.run(Millis(3000));
    CHECK(sim.newest == "a,b,");
    // It has learned of its removal, and still knows it after a restart with its data.
    CHECK(sim.machines[2]->voter().voterSet() == now);
    CHECK_FALSE(sim.machines[2]->voter().canVote());
    sim.machines[2]->kill();
    sim.machines[2]->start(false);
    CHECK_FALSE(sim.machines[2]->voter().canVote());
    CHECK(sim.machines[2]->voter().hasData());
}

TEST_CASE("a minority that is cut off changes nothing, whichever machine leads there") {
    VotersSimulation sim(6);
    sim.network.loss = 0;
    sim.world.run(Millis(500));
    for (auto& machine : sim.machines) machine->acts_as_leader = true;
    sim.network.isolate(addressOf(2).ip);
    sim.network.isolate(addressOf(3).ip);
    VotingMachine& added = sim.add({addressOf(2)});
    added.start(false);
    sim.world.run(Millis(15000));
    CHECK(sim.newestVoters() == VoterSet{0, firstVoters()});
    CHECK_FALSE(added.voter().hasData());
    sim.network.healAll();
    sim.world.run(Millis(5000));
    CHECK(sim.newestVoters().addresses.size() == 4);
    CHECK(added.voter().canVote());
}

TEST_CASE("what an old majority chose is seen after two removals in a row") {
    VotersSimulation sim(8);
    sim.network.loss = 0;
    sim.machines[0]->acts_as_leader = true;
    sim.addEmptyMachine();
    sim.addEmptyMachine();
    sim.machines[3]->acts_as_leader = sim.machines[4]->acts_as_leader = false;
    sim.world.run(Millis(6000));
    REQUIRE(sim.newestVoters().addresses.size() == 5);
    // Chosen by machines 0, 3 and 4 alone; machines 3 and 4 are then lost for good.
    sim.network.isolate(addressOf(1).ip);
    sim.network.isolate(addressOf(2).ip);
    sim.append(*sim.machines[0], "a,");
    sim.world.run(Millis(500));
    REQUIRE(sim.newest == "a,");
    for (std::size_t lost : {3, 4}) {
        sim.machines[lost]->kill();
        sim.machines[lost]->lost_for_good = true;
    }
    sim.network.healAll();
    sim.world.run(Millis(8000));
    REQUIRE(sim.newestVoters().addresses == firstVoters());
    sim.machines[0]->kill();
    CHECK(sim.readFrom(*sim.machines[1]) == std::string("a,"));
}

TEST_CASE("an empty machine finds a voter set that was chosen and that no machine knows yet") {
    VotersSimulation sim(9);
    sim.network.loss = 0;
    sim.world.run(Millis(500));
    const VoterSet chosen{1, {addressOf(0), addressOf(1), addressOf(2), addressOf(3)}};
    const AcceptRequest request{kVotersKey, {50, "gone"}, encode(chosen), {0, firstVoters()}};
    std::size_t accepted = 0;
    for (std::size_t index : {0, 1}) {
        sim.machines[index]->voter().accept(
            request, [&](const AcceptReply& answer) { accepted += answer.accepted ? 1 : 0; });
    }
    sim.world.run(Millis(50));
    REQUIRE(accepted == 2);
    // The machine may have voted in that set before its disk was lost, so it must recover as one of its
    // voters.
    VotingMachine& empty = sim.add({addressOf(2)});
    empty.start(false);
    sim.world.run(Millis(3000));
    CHECK(empty.voter().voterSet() == chosen);
    CHECK(empty.voter().canVote());
}
