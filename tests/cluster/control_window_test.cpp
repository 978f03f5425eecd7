// The window of past changes that a configuration state remembers, and the answers to repeats of older
// changes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

#include "cluster/common/codec.hpp"
#include "cluster/control/operator_api.hpp"
#include "tests/cluster/control_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr int kChanges = 600;
constexpr std::size_t kEncodedChangeBytes = 24;

// Generations that rise in uneven steps.
std::vector<std::int64_t> unevenGenerations(int count) {
    std::vector<std::int64_t> generations;
    std::int64_t generation = 0;
    for (int index = 0; index < count; ++index) generations.push_back(generation += 1 + index % 7);
    return generations;
}

AcceptedChange changeTo(std::int64_t generation, std::int64_t base, std::uint64_t digest = 1) {
    return {generation, base, digest};
}

// All accepted changes, and the state after them.
struct History {
    std::vector<AcceptedChange> changes;
    ConfigurationState state;

    explicit History(int count) {
        for (const std::int64_t generation : unevenGenerations(count)) take(generation);
    }
    void take(std::int64_t generation) {
        changes.push_back(changeTo(generation, state.generation));
        const ReplaceDecision decision = decideReplace(state, changes.back(), "body");
        REQUIRE(decision.verdict == ReplaceVerdict::taken);
        REQUIRE(decision.write);
        state = decision.next;
    }
    ReplaceVerdict verdictOf(const AcceptedChange& change) const {
        const ReplaceDecision decision = decideReplace(state, change, "body");
        if (change.base != state.generation) CHECK_FALSE(decision.write);
        return decision.verdict;
    }
};

}  // namespace

TEST_CASE("an accepted change is never refused later, however many changes follow it") {
    History history(0);
    for (const std::int64_t generation : unevenGenerations(kChanges)) {
        history.take(generation);
        const std::size_t count = history.changes.size();
        const std::size_t forgotten = count > kMaxTakenChanges ? count - kMaxTakenChanges : 0;
        for (std::size_t index = 0; index < count; ++index) {
            const ReplaceVerdict expected =
                index < forgotten ? ReplaceVerdict::forgotten : ReplaceVerdict::taken;
            if (history.verdictOf(history.changes[index]) != expected) FAIL(count << " " << index);
        }
    }
}

TEST_CASE("after the 513th change the first one is forgotten, and the second is the oldest known") {
    History history(512);
    CHECK(newestForgotten(history.state) == 0);
    CHECK(history.verdictOf(history.changes[0]) == ReplaceVerdict::taken);
    const std::int64_t next = history.state.generation + 3;
    history.take(next);
    CHECK(history.state.accepted_changes.size() == kMaxTakenChanges);
    CHECK(newestForgotten(history.state) == history.changes[0].generation);
    CHECK(history.verdictOf(history.changes[0]) == ReplaceVerdict::forgotten);
    CHECK(history.verdictOf(history.changes[1]) == ReplaceVerdict::taken);
    CHECK(history.verdictOf(history.changes[512]) == ReplaceVerdict::taken);
}

TEST_CASE("changes that were certainly not accepted are refused after any number of changes") {
    const History history(kChanges);
    const std::int64_t current = history.state.generation;
    const std::int64_t forgotten = newestForgotten(history.state);
    CHECK(forgotten == history.changes[kChanges - kMaxTakenChanges - 1].generation);
    // Not above the current version, although based on it.
    CHECK(history.verdictOf(changeTo(current, current, 9)) == ReplaceVerdict::generation_too_low);
    CHECK(history.verdictOf(changeTo(current - 1, current, 9)) == ReplaceVerdict::generation_too_low);
    CHECK(history.verdictOf(changeTo(1, current, 9)) == ReplaceVerdict::generation_too_low);
    // A conflicting change for each remembered one, with the same or another generation: the base is not the
    // current version.
    for (std::size_t index = kChanges - kMaxTakenChanges; index < history.changes.size(); ++index) {
        const AcceptedChange& won = history.changes[index];
        CHECK(history.verdictOf(changeTo(won.generation, won.base, 9)) == ReplaceVerdict::other_base);
        CHECK(history.verdictOf(changeTo(current + 1, won.base, 9)) == ReplaceVerdict::other_base);
    }
    // A new change on an old base, on a forgotten one, and on one that does not exist yet.
    CHECK(history.verdictOf(changeTo(current + 1, 0, 9)) == ReplaceVerdict::other_base);
    CHECK(history.verdictOf(changeTo(current + 9, current + 5, 9)) == ReplaceVerdict::other_base);
    CHECK(history.verdictOf(changeTo(forgotten + 1, 0, 9)) == ReplaceVerdict::other_base);
    CHECK(history.verdictOf(changeTo(forgotten, 0, 9)) == ReplaceVerdict::forgotten);
    CHECK(history.verdictOf(changeTo(current + 1, current, 9)) == ReplaceVerdict::taken);
}

TEST_CASE("the size that remembered changes add to each value is bounded") {
    History history(0);
    const std::size_t empty = encode(ConfigurationState{1, "body", {}}).size();
    std::size_t largest = 0;
    for (const std::int64_t generation : unevenGenerations(kChanges)) {
        history.take(generation);
        const std::size_t added = encode(history.state).size() - empty;
        const std::size_t kept = std::min(history.changes.size(), kMaxTakenChanges);
        CHECK(added == kept * kEncodedChangeBytes);
        largest = std::max(largest, added);
    }
    CHECK(largest == 12'288);
}

TEST_CASE("600 changes at running machines: repeats are confirmed or unknown, invalid ones refused") {
    ControlWorld sim(81);
    sim.startAll();
    sim.world.run(Millis(2500));
    const std::vector<std::int64_t> generations = unevenGenerations(kChanges);
    const auto baseOf = [&](int index) {
        return index == 0 ? 0 : generations[static_cast<std::size_t>(index) - 1];
    };
    const auto bodyOf = [&](int index) {
        return configurationJson(generations[static_cast<std::size_t>(index)]);
    };
    for (int index = 0; index < kChanges; ++index) {
        CoreMachine& machine = *sim.core[static_cast<std::size_t>(index) % 3];
        REQUIRE(sim.replace(machine, baseOf(index), bodyOf(index)) == 200);
    }
    const std::int64_t current = generations.back();
    const auto check = [&](CoreMachine& machine) {
        constexpr int kOldestKept = kChanges - static_cast<int>(kMaxTakenChanges);
        CHECK(sim.replace(machine, 0, bodyOf(0)) == 503);
        CHECK(sim.replace(machine, baseOf(kOldestKept - 1), bodyOf(kOldestKept - 1)) == 503);
        CHECK(sim.replace(machine, baseOf(kOldestKept), bodyOf(kOldestKept)) == 200);
        CHECK(sim.replace(machine, baseOf(kChanges - 1), bodyOf(kChanges - 1)) == 200);
        const std::string rival = configurationJson(current, "rival");
        CHECK(sim.replace(machine, current, rival) == 400);
        CHECK(sim.replace(machine, current, configurationJson(generations[0])) == 400);
        CHECK(sim.replace(machine, baseOf(kChanges - 1), rival) == 412);
        CHECK(sim.replace(machine, baseOf(300), configurationJson(current + 1)) == 412);
        CHECK(sim.replace(machine, 0, configurationJson(current + 1)) == 412);
        CHECK(sim.read(machine).body == bodyOf(kChanges - 1));
    };
    for (auto& machine : sim.core) check(*machine);
    for (auto& machine : sim.core) machine->kill();
    sim.startAll();
    sim.world.run(Millis(2500));
    for (auto& machine : sim.core) check(*machine);
    CHECK(sim.replace(*sim.core[0], current, configurationJson(current + 1)) == 200);
}
