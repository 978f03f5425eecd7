// The changes that a configuration's state remembers, and what is said of older ones.
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

// Versions rise in uneven steps.
std::vector<std::int64_t> unevenGenerations(int count) {
    std::vector<std::int64_t> generations;
    std::int64_t generation = 0;
    for (int index = 0; index < count; ++index) generations.push_back(generation += 1 + index % 7);
    return generations;
}

AcceptedChange changeTo(std::int64_t generation, std::int64_t base, std::uint64_t digest = 1) {
    return {generation, base, digest};
}

// All changes that were taken, and the state after them.
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

TEST_CASE("no change that was taken is ever refused, however many came after it") {
    History history(0);
    for (const std::int64_t generation : unevenGenerations(kChanges)) {
        history.take(generation);
        const std::size_t count = history.changes.size();
        const std::size_t forgotten = count > kTakenKept ? count - kTakenKept : 0;
        for (std::size_t index = 0; index < count; ++index) {
            const ReplaceVerdict expected =
                index < forgotten ? ReplaceVerdict::forgotten : ReplaceVerdict::taken;
            if (history.verdictOf(history.changes[index]) != expected) FAIL(count << " " << index);
        }
    }
}

TEST_CASE("the 513th change: the first one is forgotten, the second is the oldest that is known") {
    History history(512);
    CHECK(newestForgotten(history.state) == 0);
    CHECK(history.verdictOf(history.changes[0]) == ReplaceVerdict::taken);
    const std::int64_t next = history.state.generation + 3;
    history.take(next);
    CHECK(history.state.accepted_changes.size() == kTakenKept);
    CHECK(newestForgotten(history.state) == history.changes[0].generation);
    CHECK(history.verdictOf(history.changes[0]) == ReplaceVerdict::forgotten);
    CHECK(history.verdictOf(history.changes[1]) == ReplaceVerdict::taken);
    CHECK(history.verdictOf(history.changes[512]) == ReplaceVerdict::taken);
}

TEST_CASE("changes that were surely not taken are refused after any number of changes") {
    const History history(kChanges);
    const std::int64_t current = history.state.generation;
    const std::int64_t forgotten = newestForgotten(history.state);
    CHECK(forgotten == history.changes[kChanges - kTakenKept - 1].generation);
    // Not above the current version, on top of it.
    CHECK(history.verdictOf(changeTo(current, current, 9)) == ReplaceVerdict::generation_too_low);
    CHECK(history.verdictOf(changeTo(current - 1, current, 9)) == ReplaceVerdict::generation_too_low);
    CHECK(history.verdictOf(changeTo(1, current, 9)) == ReplaceVerdict::generation_too_low);
    // A rival of each remembered change, with its number or another one: the base is not the current version.
    for (std::size_t index = kChanges - kTakenKept; index < history.changes.size(); ++index) {
        const AcceptedChange& won = history.changes[index];
        CHECK(history.verdictOf(changeTo(won.generation, won.base, 9)) == ReplaceVerdict::other_base);
        CHECK(history.verdictOf(changeTo(current + 1, won.base, 9)) == ReplaceVerdict::other_base);
    }
    // A new one on an old base, on one that is forgotten, and on one that is not there yet.
    CHECK(history.verdictOf(changeTo(current + 1, 0, 9)) == ReplaceVerdict::other_base);
    CHECK(history.verdictOf(changeTo(current + 9, current + 5, 9)) == ReplaceVerdict::other_base);
    CHECK(history.verdictOf(changeTo(forgotten + 1, 0, 9)) == ReplaceVerdict::other_base);
    CHECK(history.verdictOf(changeTo(forgotten, 0, 9)) == ReplaceVerdict::forgotten);
    CHECK(history.verdictOf(changeTo(current + 1, current, 9)) == ReplaceVerdict::taken);
}

TEST_CASE("what the remembered changes add to each value is bounded") {
    History history(0);
    const std::size_t empty = encode(ConfigurationState{1, "body", {}}).size();
    std::size_t largest = 0;
    for (const std::int64_t generation : unevenGenerations(kChanges)) {
        history.take(generation);
        const std::size_t added = encode(history.state).size() - empty;
        const std::size_t kept = std::min(history.changes.size(), kTakenKept);
        CHECK(added == kept * kEncodedChangeBytes);
        largest = std::max(largest, added);
    }
    CHECK(largest == 12'288);
}

TEST_CASE("600 changes at running machines: repeats are confirmed or unclear, invalid ones refused") {
    ControlWorld play(81);
    play.startAll();
    play.world.run(Millis(2500));
    const std::vector<std::int64_t> generations = unevenGenerations(kChanges);
    const auto baseOf = [&](int index) {
        return index == 0 ? 0 : generations[static_cast<std::size_t>(index) - 1];
    };
    const auto bodyOf = [&](int index) {
        return configurationJson(generations[static_cast<std::size_t>(index)]);
    };
    for (int index = 0; index < kChanges; ++index) {
        CoreMachine& machine = *play.core[static_cast<std::size_t>(index) % 3];
        REQUIRE(play.replace(machine, baseOf(index), bodyOf(index)) == 200);
    }
    const std::int64_t current = generations.back();
    const auto check = [&](CoreMachine& machine) {
        constexpr int kOldestKept = kChanges - static_cast<int>(kTakenKept);
        CHECK(play.replace(machine, 0, bodyOf(0)) == 503);
        CHECK(play.replace(machine, baseOf(kOldestKept - 1), bodyOf(kOldestKept - 1)) == 503);
        CHECK(play.replace(machine, baseOf(kOldestKept), bodyOf(kOldestKept)) == 200);
        CHECK(play.replace(machine, baseOf(kChanges - 1), bodyOf(kChanges - 1)) == 200);
        const std::string rival = configurationJson(current, "rival");
        CHECK(play.replace(machine, current, rival) == 400);
        CHECK(play.replace(machine, current, configurationJson(generations[0])) == 400);
        CHECK(play.replace(machine, baseOf(kChanges - 1), rival) == 412);
        CHECK(play.replace(machine, baseOf(300), configurationJson(current + 1)) == 412);
        CHECK(play.replace(machine, 0, configurationJson(current + 1)) == 412);
        CHECK(play.read(machine).body == bodyOf(kChanges - 1));
    };
    for (auto& machine : play.core) check(*machine);
    for (auto& machine : play.core) machine->kill();
    play.startAll();
    play.world.run(Millis(2500));
    for (auto& machine : play.core) check(*machine);
    CHECK(play.replace(*play.core[0], current, configurationJson(current + 1)) == 200);
}
