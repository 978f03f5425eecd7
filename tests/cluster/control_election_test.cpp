// The leader lease never has two holders, even with frozen processes, network cuts, message loss and
// restarts.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>

#include "cluster/common/codec.hpp"
#include "cluster/control/leader_election.hpp"
#include "tests/cluster/simulation.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

const std::string kNoLastLeader;

// Defers all work of one process while it is frozen, and runs it when it thaws.
class Freezer {
public:
    bool frozen = false;

    std::function<void()> deferWhileFrozen(std::function<void()> work) {
        return [this, work = std::move(work)] {
            if (frozen)
                deferred_.push_back(work);
            else
                work();
        };
    }
    void thaw() {
        frozen = false;
        for (const auto& work : std::exchange(deferred_, {})) work();
    }

private:
    std::vector<std::function<void()>> deferred_;
};

class FreezableScheduler : public SimulatedScheduler {
public:
    FreezableScheduler(World& world, Freezer& freezer) : SimulatedScheduler(world), freezer_(freezer) {}
    TimerHandle after(Millis delay, std::function<void()> work) override {
        // As in the real scheduler, the handle also cancels work that is due but deferred.
        const auto alive = std::make_shared<bool>(true);
        auto inner =
            SimulatedScheduler::after(delay, freezer_.deferWhileFrozen([alive, work = std::move(work)] {
                if (*alive) work();
            }));
        return std::make_unique<FreezableTimer>(std::move(inner), alive);
    }
    void post(std::function<void()> work) override {
        SimulatedScheduler::post(freezer_.deferWhileFrozen(std::move(work)));
    }

private:
    class FreezableTimer : public Timer {
    public:
        FreezableTimer(TimerHandle inner, std::shared_ptr<bool> alive)
            : inner_(std::move(inner)), alive_(std::move(alive)) {}
        ~FreezableTimer() override { *alive_ = false; }

    private:
        TimerHandle inner_;
        std::shared_ptr<bool> alive_;
    };
    Freezer& freezer_;
};

class FreezableTransport : public MemoryTransport {
public:
    FreezableTransport(World& world, Network& network, NodeAddress self, Freezer& freezer)
        : MemoryTransport(world, network, std::move(self)), freezer_(freezer) {}
    void call(const NodeAddress& to, Envelope request, Millis timeout,
              std::function<void(CallResult)> done) override {
        MemoryTransport::call(
            to, std::move(request), timeout, [this, done = std::move(done)](CallResult result) {
                freezer_.deferWhileFrozen([done, result = std::move(result)] { done(result); })();
            });
    }
    void serve(RequestHandler handler) override {
        MemoryTransport::serve(
            [this, handler = std::move(handler)](const Envelope& request, Responder respond) {
                freezer_.deferWhileFrozen(
                    [handler, request, respond = std::move(respond)] { handler(request, respond); })();
            });
    }

private:
    Freezer& freezer_;
};

std::vector<NodeAddress> addresses() {
    return {{"10.0.0.1", 7780}, {"10.0.0.2", 7780}, {"10.0.0.3", 7780}};
}

class Candidate {
public:
    Candidate(World& world, Network& network, std::size_t index)
        : world_(world), network_(network), self_(addresses()[index]) {}
    ~Candidate() { kill(); }

    void start(bool first_start) {
        freezer_ = std::make_unique<Freezer>();
        scheduler_ = std::make_unique<FreezableScheduler>(world_, *freezer_);
        transport_ = std::make_unique<FreezableTransport>(world_, network_, self_, *freezer_);
        const ElectionHooks hooks{.voters = [] { return addresses(); },
                                  .may_vote = [] { return true; },
                                  .last_leader = [] { return std::string(); }};
        election_ = std::make_unique<LeaderElection>(*scheduler_, *transport_,
                                                     ElectionIdentity{self_.ip, world_.random()(), self_},
                                                     first_start, hooks);
        transport_->serve([this](const Envelope& request, const Responder& respond) {
            respond(reply(election_->vote(*decode<LeaderLeaseRequest>(request.body))));
        });
        election_->start();
    }
    void kill() {
        if (scheduler_) scheduler_->kill();
        transport_.reset();
        election_.reset();
        scheduler_.reset();
    }
    bool runs() const { return election_ != nullptr; }
    bool leads() const { return runs() && election_->isLeader(); }
    LeaderElection& election() { return *election_; }
    Freezer& freezer() { return *freezer_; }
    const std::string& ip() const { return self_.ip; }

private:
    World& world_;
    Network& network_;
    NodeAddress self_;
    std::unique_ptr<Freezer> freezer_;
    std::unique_ptr<FreezableScheduler> scheduler_;
    std::unique_ptr<FreezableTransport> transport_;
    std::unique_ptr<LeaderElection> election_;
};

class ElectionSimulation {
public:
    explicit ElectionSimulation(std::uint64_t seed) : world(seed), network(world) {
        for (std::size_t index = 0; index < 3; ++index) {
            candidates[index] = std::make_unique<Candidate>(world, network, index);
            candidates[index]->start(true);
        }
    }
    std::size_t leaders() const {
        std::size_t count = 0;
        for (const auto& candidate : candidates) count += candidate->leads() ? 1 : 0;
        return count;
    }
    Candidate* leader() const {
        for (const auto& candidate : candidates) {
            if (candidate->leads()) return candidate.get();
        }
        return nullptr;
    }
    Candidate& any() { return *candidates[world.random()() % 3]; }
    // Runs for `span`, sampling every 5 ms; returns the highest number of leaders at one moment.
    std::size_t maxLeaders(Millis span) {
        std::size_t max_leaders = 0;
        for (Millis passed{0}; passed < span; passed += Millis(5)) {
            world.run(Millis(5));
            max_leaders = std::max(max_leaders, leaders());
        }
        return max_leaders;
    }
    void injectFault() {
        Candidate& victim = any();
        const double draw = world.chance();
        const Millis span{static_cast<std::int64_t>(world.chance() * 2500)};
        if (draw < 0.3 && victim.runs() && !victim.freezer().frozen) {
            victim.freezer().frozen = true;
            world.at(world.now() + span, [&victim, freezer = &victim.freezer()] {
                if (victim.runs() && &victim.freezer() == freezer) freezer->thaw();
            });
        } else if (draw < 0.5) {
            victim.kill();
            world.at(world.now() + span / 4, [&victim] {
                if (!victim.runs()) victim.start(false);
            });
        } else if (draw < 0.7) {
            network.cut(victim.ip(), any().ip());
        } else if (draw < 0.85) {
            network.healAll();
        }
    }

    World world;
    Network network;
    std::array<std::unique_ptr<Candidate>, 3> candidates;
};

}  // namespace

TEST_CASE("never two leaders at one moment, over 200 seeds of freezes, cuts, kills and loss") {
    std::size_t elected = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        ElectionSimulation sim(seed);
        sim.network.loss = 0.1;
        sim.network.jitter = Millis(seed % 2 == 0 ? 5 : 400);  // delayed messages may be reordered
        for (int step = 0; step < 40; ++step) {
            if (sim.world.chance() < 0.4) sim.injectFault();
            CHECK_MESSAGE(sim.maxLeaders(Millis(200)) <= 1, "seed " << seed);
            elected += sim.leaders();
        }
    }
    CHECK(elected > 2000);
}

TEST_CASE("a first start has a leader within 1.5 s, and keeps it while there are no faults") {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        ElectionSimulation sim(seed);
        CHECK(sim.world.runUntil([&] { return sim.leader() != nullptr; }, Millis(1500)));
        Candidate* leader = sim.leader();
        REQUIRE(leader != nullptr);
        sim.world.run(Millis(20000));
        CHECK(sim.leader() == leader);
        CHECK(leader->election().leadershipPeriod() == 1);
    }
}

TEST_CASE("a frozen lease holder no longer leads at the moment it wakes") {
    ElectionSimulation sim(4);
    sim.world.run(Millis(2000));
    Candidate* leader = sim.leader();
    REQUIRE(leader != nullptr);
    leader->freezer().frozen = true;
    sim.world.run(Millis(1250));
    CHECK_FALSE(leader->leads());
    CHECK(sim.world.runUntil([&] { return sim.leader() != nullptr; }, Millis(2000)));
    CHECK(sim.leader() != leader);
    leader->freezer().thaw();
    CHECK_FALSE(leader->leads());
    sim.world.run(Millis(3000));
    CHECK(sim.leaders() == 1);
}

TEST_CASE("a freeze longer than the lease starts a new leadership period, even if no other machine led") {
    ElectionSimulation sim(5);
    sim.world.run(Millis(2000));
    Candidate* leader = sim.leader();
    REQUIRE(leader != nullptr);
    const std::uint64_t before = leader->election().leadershipPeriod();
    leader->freezer().frozen = true;
    sim.world.run(Millis(1210));
    leader->freezer().thaw();
    sim.world.run(Millis(3000));
    if (sim.leader() == leader) CHECK(leader->election().leadershipPeriod() == before + 1);
    CHECK(sim.leaders() == 1);
}

TEST_CASE("a core machine that has just started gives no vote for a whole lease") {
    World world(1);
    SimulatedScheduler scheduler(world);
    LeaseGrantor grantor(scheduler, false);
    CHECK_FALSE(grantor.answer({"a", 1, 1500, 1}, kNoLastLeader).granted);
    world.run(Millis(1499));
    CHECK_FALSE(grantor.answer({"a", 1, 1500, 2}, kNoLastLeader).granted);
    world.run(Millis(1));
    CHECK(grantor.answer({"a", 1, 1500, 3}, kNoLastLeader).granted);
    CHECK_FALSE(grantor.answer({"b", 2, 1500, 1}, kNoLastLeader).granted);
}

TEST_CASE("a core machine that has just started votes at once for the leader that its disk names") {
    World world(1);
    SimulatedScheduler scheduler(world);
    LeaseGrantor grantor(scheduler, false);
    CHECK_FALSE(grantor.answer({"b", 2, 1500, 1}, "a").granted);
    CHECK(grantor.answer({"a", 1, 1500, 1}, "a").granted);
    CHECK_FALSE(grantor.answer({"b", 2, 1500, 2}, "a").granted);
    world.run(Millis(1600));
    CHECK(grantor.answer({"b", 2, 1500, 3}, "a").granted);
}

TEST_CASE("a delayed release does not revoke the vote of a newer round") {
    World world(1);
    SimulatedScheduler scheduler(world);
    LeaseGrantor grantor(scheduler, true);
    CHECK(grantor.answer({"a", 1, 1500, 1}, kNoLastLeader).granted);
    CHECK(grantor.answer({"a", 1, 1500, 2}, kNoLastLeader).granted);
    grantor.answer({"a", 1, 0, 1}, kNoLastLeader);
    CHECK_FALSE(grantor.answer({"b", 2, 1500, 1}, kNoLastLeader).granted);
    grantor.answer({"b", 2, 0, 9}, kNoLastLeader);
    CHECK_FALSE(grantor.answer({"b", 2, 1500, 1}, kNoLastLeader).granted);
    grantor.answer({"a", 1, 0, 2}, kNoLastLeader);
    CHECK(grantor.answer({"b", 2, 1500, 1}, kNoLastLeader).granted);
}

TEST_CASE("a leader that leaves stops at once, and the next one does not wait for the lease to end") {
    ElectionSimulation sim(8);
    sim.world.run(Millis(2000));
    Candidate* leader = sim.leader();
    REQUIRE(leader != nullptr);
    leader->election().leave();
    CHECK_FALSE(leader->leads());
    CHECK(sim.world.runUntil([&] { return sim.leader() != nullptr; }, Millis(900)));
    CHECK(sim.leader() != leader);
}
