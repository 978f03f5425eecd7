// Guards against a retirement that is reported as completed too early: by then all messages and states that
// must be kept are synced on `tolerated` + 1 of the other stores, even if stores stop, start or lose their
// disks meanwhile.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "tests/cluster/store_simulation.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

std::string keyOf(const std::string& prefix, PartitionId partition, const MessageId& id) {
    return prefix + std::to_string(partition) + "/" + id;
}

// What the synced part of a disk holds of a message.
struct DiskState {
    bool content = false;
    bool ended = false;
    bool dead_letter = false;
};

DiskState synced(const StoreMachine& machine, PartitionId partition, const MessageId& id) {
    DiskState state;
    const auto& disk = machine.platter.synced;
    if (const auto found = disk.find(keyOf("c/", partition, id)); found != disk.end()) {
        state.content = true;
        state.ended = decode<MessageRecord>(found->second)->phase != Phase::pending;
    }
    if (const auto found = disk.find(keyOf("s/", partition, id)); found != disk.end()) {
        const Phase phase = decode<RecordUpdate>(found->second)->phase;
        state.ended = state.ended || phase != Phase::pending;
        state.dead_letter = phase == Phase::dead_letter;
    }
    return state;
}

bool isRetired(const StoreView& view, const std::string& name) {
    return std::any_of(view.retired.begin(), view.retired.end(),
                       [&name](const RetiredStore& store) { return store.name == name; });
}

// On how many disks, without those of retired stores, parts of a message are synced.
struct Copies {
    std::size_t any = 0;      // its content, or its end
    std::size_t ended = 0;    // its end
    std::size_t content = 0;  // its content
};

Copies copiesElsewhere(const LeaderSimulation& play, const StoreView& view, PartitionId partition,
                       const MessageId& id) {
    Copies copies;
    for (const auto& machine : play.stores.machines) {
        if (isRetired(view, machine->name)) continue;
        const DiskState state = synced(*machine, partition, id);
        if (state.content || state.ended) ++copies.any;
        if (state.ended) ++copies.ended;
        if (state.content) ++copies.content;
    }
    return copies;
}

// The stores that know of an end have synced it within this time after its report.
constexpr Millis kEndsSynced{2000};

// When a view first shows a retirement as completed, f + 1 of the other disks must hold, synced: the messages
// that have not ended, the ends that the retired store knew, and the contents of dead letters.
void checkDisks(const LeaderSimulation& play, const StoreView& view, const std::string& retired) {
    const SteadyTime now = play.stores.world.now();
    const std::size_t required = std::size_t{play.stores.options.tolerated} + 1;
    const auto machine = std::find_if(play.stores.machines.begin(), play.stores.machines.end(),
                                      [&retired](const auto& each) { return each->name == retired; });
    for (const auto& [id, message] : play.stores.ledger.messages) {
        if (!message.accepted) continue;
        const Copies copies = copiesElsewhere(play, view, message.partition, id);
        const DiskState retired_disk = synced(**machine, message.partition, id);
        INFO("seed " << play.seed << " view " << view.epoch << " " << id);
        CHECK(copies.any >= required);
        const bool long_ago = message.ended && *message.ended + kEndsSynced < now;
        if (retired_disk.ended && long_ago) CHECK(copies.ended >= required);
        if (retired_disk.dead_letter) CHECK(copies.content >= required);
    }
}

// Retires machines, and wipes each one when its retirement is reported as completed. At the same moment up to
// `victims` other machines lose their disks; they start again with empty ones.
class Retirement {
public:
    explicit Retirement(LeaderSimulation& play) : play_(play) {
        play_.leader.on_view = [this](const StoreView& view) { onView(view); };
    }

    RetireVerdict order(StoreMachine& machine) {
        const RetireVerdict verdict = play_.leader.orderRetirement(machine.name);
        if (verdict == RetireVerdict::ordered) ordered_.insert(machine.name);
        return verdict;
    }
    bool completed() const { return completed_ == ordered_; }
    // Number of other stores that lose their disks when a retirement is completed.
    std::size_t victims = 0;

private:
    void onView(const StoreView& view) {
        for (const std::string& name : ordered_) {
            if (!isRetired(view, name) || !completed_.insert(name).second) continue;
            checkDisks(play_, view, name);
            wipeRetired(name);
        }
    }
    void wipeRetired(const std::string& name) {
        std::size_t lost = 0;
        for (auto& machine : play_.stores.machines) {
            if (machine->name == name) {
                play_.stores.wipe(*machine);
            } else if (machine->process && !ordered_.contains(machine->name) && lost < victims) {
                ++lost;
                play_.stores.wipe(*machine);
                restartLater(*machine);
            }
        }
    }
    void restartLater(StoreMachine& machine) {
        play_.world().at(play_.world().now() + Millis(700), [this, &machine] {
            if (!machine.process) play_.stores.start(machine);
        });
    }

    LeaderSimulation& play_;
    std::set<std::string> ordered_;
    std::set<std::string> completed_;
};

void awaitCompleted(LeaderSimulation& play, const Retirement& retirement, Millis most) {
    const SteadyTime end = play.world().now() + most;
    while (!retirement.completed() && play.world().now() < end) play.trafficFor(Millis(100));
    INFO("seed " << play.seed);
    CHECK(retirement.completed());
}

}  // namespace

TEST_CASE("a restarted owner is not peered in a view that names its previous process") {
    StoreWorld play(1, simulationOptions(3, 1));
    REQUIRE(play.awaitPeered(Millis(3000)));
    StoreMachine& owner = play.ownerOf(0);
    play.stop(owner);
    play.start(owner);
    owner.process->node->onView(play.view);
    play.world.run(Millis(500));
    CHECK(!play.isPeered());
    play.changeView();
    CHECK(play.awaitPeered(Millis(3000)));
}

TEST_CASE("a retired store is wiped while others lose their disks") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        const std::uint32_t tolerated = seed % 4 == 0 ? 2 : 1;
        LeaderSimulation play(seed, tolerated == 2 ? 6 : 4, tolerated);
        Retirement retirement(play);
        retirement.victims = tolerated;
        play.traffic(60);
        REQUIRE(retirement.order(play.anyMachine()) == RetireVerdict::ordered);
        awaitCompleted(play, retirement, Millis(10'000));
        play.trafficFor(Millis(3000));
        play.checkEnd();
    }
}

TEST_CASE("an owner starts again during a retirement") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        LeaderSimulation play(seed, 4, 1);
        Retirement retirement(play);
        retirement.victims = 1;
        play.traffic(60);
        StoreMachine& retiring = play.anyMachine();
        REQUIRE(retirement.order(retiring) == RetireVerdict::ordered);
        play.trafficFor(play.drawSpan(Millis(400)));
        StoreMachine& owner = play.anyMachineBut(retiring, true);
        if (seed % 2 == 0)
            play.stores.cutPower(owner);
        else
            play.stores.stop(owner);
        play.trafficFor(play.drawSpan(Millis(600)));
        play.stores.start(owner);
        awaitCompleted(play, retirement, Millis(15'000));
        play.trafficFor(Millis(3000));
        play.checkEnd();
    }
}

TEST_CASE("a store is retired during a roll, with a change of the leader") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        LeaderSimulation play(seed, 5, 1);
        Retirement retirement(play);
        retirement.victims = seed % 2;
        play.traffic(60);
        StoreMachine& retiring = play.anyMachine();
        const Millis ordered_after = play.drawSpan(Millis(8000));
        play.world().at(play.world().now() + ordered_after,
                        [&] { CHECK(retirement.order(retiring) == RetireVerdict::ordered); });
        for (std::size_t next = 0; next < 4; ++next) {
            StoreMachine& machine = *play.stores.machines[next];
            if (!machine.process) continue;  // retired, or its disk was wiped
            machine.leaving = true;
            bool left = false;
            machine.process->node->leave([&left] { left = true; });
            const SteadyTime by = play.world().now() + Millis(5000);
            while (!left && machine.process && play.world().now() < by) play.trafficFor(Millis(50));
            if (machine.process) play.stores.stop(machine);
            play.trafficFor(play.drawSpan(Millis(1000)));
            if (next == 1) play.leader.depose();
            if (next == 1) play.trafficFor(play.drawSpan(Millis(1500)));
            if (next == 1) play.leader.elect();
            const bool is_retired = play.leader.retirePhase(machine.name) == RetirePhase::completed;
            if (!is_retired && !machine.process) play.stores.start(machine);
            play.trafficFor(Millis(1500));
        }
        awaitCompleted(play, retirement, Millis(15'000));
        play.trafficFor(Millis(3000));
        play.checkEnd();
    }
}

TEST_CASE("a retiring store is stopped, killed, cut off or wiped halfway") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        LeaderSimulation play(seed, 4, 1);
        Retirement retirement(play);
        play.traffic(60);
        StoreMachine& retiring = play.anyMachine();
        REQUIRE(retirement.order(retiring) == RetireVerdict::ordered);
        play.trafficFor(play.drawSpan(Millis(500)));
        const std::uint64_t fault = seed % 4;
        if (retiring.process && fault == 0) {
            retiring.leaving = true;
            retiring.process->node->leave([] {});
            play.trafficFor(Millis(500));
            play.stores.stop(retiring);
        }
        if (fault == 1) play.stores.stop(retiring);
        if (fault == 2) play.stores.wipe(retiring);
        if (fault == 3) play.cutOff(retiring);
        play.trafficFor(play.drawSpan(Millis(4000)));
        play.join(retiring);
        const bool is_retired = play.leader.retirePhase(retiring.name) == RetirePhase::completed;
        if (!is_retired && !retiring.process) play.stores.start(retiring);
        awaitCompleted(play, retirement, Millis(15'000));
        play.trafficFor(Millis(2000));
        play.checkEnd();
    }
}

TEST_CASE("two stores are retired at once, and a third is refused where too few would be left") {
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        LeaderSimulation play(seed, 5, 1);
        Retirement retirement(play);
        play.traffic(60);
        CHECK(retirement.order(*play.stores.machines[0]) == RetireVerdict::ordered);
        play.trafficFor(play.drawSpan(Millis(300)));
        CHECK(retirement.order(*play.stores.machines[1]) == RetireVerdict::ordered);
        CHECK(retirement.order(*play.stores.machines[0]) == RetireVerdict::ordered);
        CHECK(play.leader.orderRetirement(play.stores.machines[2]->name) == RetireVerdict::too_few_left);
        if (seed % 2 == 0) {
            play.leader.depose();
            play.trafficFor(play.drawSpan(Millis(1500)));
            play.leader.elect();
        }
        awaitCompleted(play, retirement, Millis(15'000));
        play.trafficFor(Millis(2000));
        play.checkEnd();
    }
}
