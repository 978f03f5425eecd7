// Tests of the pure functions on the store view: nextView(), rendezvousOrder() and the retirement of stores.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

#include "cluster/control/store_view.hpp"

using namespace amberswitch::cluster;

namespace {

constexpr ViewRules kOldOwnersStopped{.old_owners_stopped = true};

StoreObservation store(const std::string& name, Incarnation incarnation = 1) {
    StoreObservation seen;
    seen.member.name = name;
    seen.member.kind = NodeKind::store;
    seen.member.incarnation = incarnation;
    return seen;
}
StoreObservation timedOut(StoreObservation seen) {
    seen.timed_out = true;
    return seen;
}
StoreObservation leaving(StoreObservation seen) {
    seen.member.leaving = true;
    return seen;
}

StoreView firstView(int stores) {
    std::vector<StoreObservation> observed;
    for (int index = 0; index < stores; ++index) observed.push_back(store("s" + std::to_string(index)));
    return *nextView({}, observed, kOldOwnersStopped);
}

std::vector<std::size_t> counts(const StoreView& view) {
    std::vector<std::size_t> owned(view.stores.size(), 0);
    for (const PartitionOwner& partition : view.partitions) {
        if (partition.owner >= 0) ++owned[static_cast<std::size_t>(partition.owner)];
    }
    return owned;
}

std::size_t moved(const StoreView& before, const StoreView& after) {
    std::size_t count = 0;
    for (std::size_t partition = 0; partition < kPartitionCount; ++partition) {
        if (before.partitions[partition].owner != after.partitions[partition].owner) ++count;
    }
    return count;
}

}  // namespace

TEST_CASE("partitions are distributed evenly") {
    CHECK(counts(firstView(1)) == std::vector<std::size_t>{24});
    CHECK(counts(firstView(2)) == std::vector<std::size_t>{12, 12});
    CHECK(counts(firstView(3)) == std::vector<std::size_t>{8, 8, 8});
    CHECK(counts(firstView(6)) == std::vector<std::size_t>{4, 4, 4, 4, 4, 4});
    const StoreView view = firstView(3);
    CHECK(view.epoch == 1);
    for (const PartitionOwner& partition : view.partitions) {
        CHECK(partition.previous == -1);
        CHECK(partition.previous_stopped);
    }
}

TEST_CASE("the rendezvous order contains every store once and does not depend on their positions") {
    const StoreView view = firstView(4);
    std::vector<StoreMember> turned(view.stores.rbegin(), view.stores.rend());
    for (PartitionId partition = 0; partition < kPartitionCount; ++partition) {
        const auto order = rendezvousOrder(partition, view.stores);
        const auto turned_order = rendezvousOrder(partition, turned);
        for (std::size_t place = 0; place < order.size(); ++place) {
            CHECK(view.stores[order[place]].member.name == turned[turned_order[place]].member.name);
        }
    }
}

TEST_CASE("the view does not change if the stores are the same or not observed") {
    const StoreView view = firstView(3);
    CHECK_FALSE(nextView(view, {store("s0"), store("s1"), store("s2")}, kOldOwnersStopped));
    CHECK_FALSE(nextView(view, {store("s0")}, kOldOwnersStopped));
    CHECK_FALSE(nextView(view, {}, kOldOwnersStopped));
}

TEST_CASE("a store that timed out loses its partitions to the others, which keep their own") {
    const StoreView before = firstView(3);
    const auto after = nextView(before, {timedOut(store("s1"))}, kOldOwnersStopped);
    REQUIRE(after);
    CHECK(after->epoch == 2);
    CHECK_FALSE(after->stores[1].alive);
    CHECK(counts(*after) == std::vector<std::size_t>{12, 0, 12});
    CHECK(moved(before, *after) == 8);
    for (std::size_t partition = 0; partition < kPartitionCount; ++partition) {
        const PartitionOwner& owner = after->partitions[partition];
        CHECK(owner.previous == before.partitions[partition].owner);
        CHECK(owner.previous_stopped == (owner.previous != 1));
    }
    CHECK_FALSE(nextView(*after, {timedOut(store("s1"))}, kOldOwnersStopped));
    SUBCASE("the view records the epoch since which it has been unavailable") {
        CHECK(after->stores[1].absent_since_epoch == 2);
        const auto later =
            nextView(*after, {timedOut(store("s1")), timedOut(store("s2"))}, kOldOwnersStopped);
        REQUIRE(later);
        CHECK(later->stores[1].absent_since_epoch == 2);
        CHECK(later->stores[2].absent_since_epoch == 3);
        const auto back = nextView(*later, {store("s1")}, kOldOwnersStopped);
        REQUIRE(back);
        CHECK(back->stores[1].absent_since_epoch == 0);
    }
    SUBCASE("it returns with its even share when it renews its lease again") {
        const auto back = nextView(*after, {store("s1")}, kOldOwnersStopped);
        REQUIRE(back);
        CHECK(counts(*back) == std::vector<std::size_t>{8, 8, 8});
        CHECK(moved(*after, *back) == 8);
        // The previous owners are alive and may continue until they receive the view.
        for (const PartitionOwner& owner : back->partitions)
            CHECK(owner.previous_stopped == (owner.owner != 1));
    }
    SUBCASE("an old owner that may still run stays recorded through another change") {
        const auto next = nextView(*after, {leaving(store("s2"))}, {.old_owners_stopped = false});
        REQUIRE(next);
        for (std::size_t partition = 0; partition < kPartitionCount; ++partition) {
            CHECK(next->partitions[partition].previous_stopped ==
                  after->partitions[partition].previous_stopped);
        }
        const auto later = nextView(*after, {leaving(store("s2"))}, kOldOwnersStopped);
        for (const PartitionOwner& owner : later->partitions) CHECK(owner.previous_stopped);
    }
}

TEST_CASE("a store that leaves counts as stopped, and stays out until a new process of it appears") {
    const StoreView before = firstView(3);
    const auto after = nextView(before, {leaving(store("s1"))}, kOldOwnersStopped);
    REQUIRE(after);
    CHECK_FALSE(after->stores[1].alive);
    for (const PartitionOwner& owner : after->partitions) CHECK(owner.previous_stopped);
    CHECK_FALSE(nextView(*after, {leaving(store("s1"))}, kOldOwnersStopped));
    CHECK_FALSE(nextView(*after, {store("s1")}, kOldOwnersStopped));
    CHECK_FALSE(nextView(*after, {timedOut(store("s1"))}, kOldOwnersStopped));
    const auto back = nextView(*after, {store("s1", 2)}, kOldOwnersStopped);
    REQUIRE(back);
    CHECK(back->stores[1].alive);
    CHECK(back->stores[1].member.incarnation == 2);
    CHECK_FALSE(back->stores[1].member.leaving);
}

TEST_CASE(
    "a store that restarts before it times out gets a new epoch, and its old process counts as stopped") {
    const StoreView before = firstView(3);
    const auto after = nextView(before, {store("s1", 2)}, kOldOwnersStopped);
    REQUIRE(after);
    CHECK(after->epoch == 2);
    CHECK(after->stores[1].member.incarnation == 2);
    CHECK(moved(before, *after) == 0);
    for (const PartitionOwner& owner : after->partitions) CHECK(owner.previous_stopped);
}

TEST_CASE("an unknown store joins and takes only its share") {
    const StoreView before = firstView(3);
    const auto after = nextView(before, {store("s3")}, kOldOwnersStopped);
    REQUIRE(after);
    CHECK(after->stores.size() == 4);
    CHECK(counts(*after) == std::vector<std::size_t>{6, 6, 6, 6});
    CHECK(moved(before, *after) == 6);
    CHECK_FALSE(nextView(before, {leaving(store("s3"))}, kOldOwnersStopped));
    CHECK_FALSE(nextView(before, {timedOut(store("s3"))}, kOldOwnersStopped));
}

TEST_CASE("with no store alive partitions have no owner, and the first store to return owns all") {
    const StoreView before = firstView(2);
    const auto none = nextView(before, {timedOut(store("s0")), timedOut(store("s1"))}, kOldOwnersStopped);
    REQUIRE(none);
    for (const PartitionOwner& owner : none->partitions) CHECK(owner.owner == -1);
    const auto back = nextView(*none, {store("s0", 2)}, {.old_owners_stopped = false});
    REQUIRE(back);
    CHECK(counts(*back) == std::vector<std::size_t>{24, 0});
    for (const PartitionOwner& owner : back->partitions) CHECK_FALSE(owner.previous_stopped);
}

TEST_CASE("random changes keep shares even, raise the epoch by one and assign only live owners") {
    std::mt19937_64 random(99);
    for (int run = 0; run < 200; ++run) {
        StoreView view = firstView(3);
        std::vector<Incarnation> incarnations(6, 1);
        for (int step = 0; step < 30; ++step) {
            const std::size_t index = random() % 6;
            const bool restarted = random() % 3 == 0;
            if (restarted) ++incarnations[index];
            StoreObservation seen = store("s" + std::to_string(index), incarnations[index]);
            seen.timed_out = random() % 3 == 0;
            seen.member.leaving = random() % 4 == 0;
            const auto next = nextView(view, {seen}, ViewRules{.old_owners_stopped = random() % 2 == 0});
            if (!next) continue;
            CHECK(next->epoch == view.epoch + 1);
            const auto alive = static_cast<std::size_t>(std::count_if(
                next->stores.begin(), next->stores.end(), [](const StoreMember& s) { return s.alive; }));
            const std::size_t cap = alive == 0 ? 0 : (kPartitionCount + alive - 1) / alive;
            for (const std::size_t owned : counts(*next)) CHECK(owned <= cap);
            for (std::size_t partition = 0; partition < kPartitionCount; ++partition) {
                const std::int32_t owner = next->partitions[partition].owner;
                CHECK((owner >= 0) == (alive > 0));
                if (owner >= 0) CHECK(next->stores[static_cast<std::size_t>(owner)].alive);
                CHECK(next->partitions[partition].previous == view.partitions[partition].owner);
            }
            view = *next;
        }
    }
}

TEST_CASE("a store unavailable for long is removed once the view is peered, if enough stores are left") {
    const StoreView four = firstView(4);
    const StoreView away = *nextView(four, {timedOut(store("s1"))}, kOldOwnersStopped);
    ViewRules rules = kOldOwnersStopped;
    rules.long_unavailable = {"s1"};
    CHECK_FALSE(nextView(away, {timedOut(store("s1"))}, rules));
    rules.peered = true;
    const auto dropped = nextView(away, {timedOut(store("s1"))}, rules);
    REQUIRE(dropped);
    CHECK(dropped->stores.size() == 3);
    CHECK(moved(away, *dropped) > 0);  // the indices have changed
    for (std::size_t partition = 0; partition < kPartitionCount; ++partition) {
        const PartitionOwner& owner = dropped->partitions[partition];
        const auto name = [](const StoreView& view, std::int32_t place) {
            return view.stores[static_cast<std::size_t>(place)].member.name;
        };
        CHECK(name(*dropped, owner.owner) == name(away, away.partitions[partition].owner));
        CHECK(owner.previous == owner.owner);
    }
    // It comes back as a new store.
    const auto back = nextView(*dropped, {store("s1")}, rules);
    REQUIRE(back);
    CHECK(back->stores.back().joined_epoch == back->epoch);
    // If it returns in the same change, it stays.
    CHECK(nextView(away, {store("s1")}, rules)->stores.size() == 4);
    const StoreView three = *nextView(firstView(3), {timedOut(store("s1"))}, kOldOwnersStopped);
    CHECK_FALSE(nextView(three, {timedOut(store("s1"))}, rules));
}

TEST_CASE("a retired store loses its partitions at once, leaves once the view is peered, and cannot return") {
    StoreView view = firstView(4);
    CHECK(orderRetirement(view, "s9") == RetireVerdict::unknown_store);
    CHECK(orderRetirement(view, "s1") == RetireVerdict::ordered);
    CHECK(orderRetirement(view, "s1") == RetireVerdict::ordered);
    CHECK(orderRetirement(view, "s2") == RetireVerdict::too_few_left);
    CHECK(retirePhase(view, "s1") == RetirePhase::in_progress);
    CHECK(retirePhase(view, "s2") == RetirePhase::none);
    const StoreView retiring = *nextView(view, {}, kOldOwnersStopped);
    CHECK(counts(retiring) == std::vector<std::size_t>{8, 0, 8, 8});
    ViewRules rules = kOldOwnersStopped;
    CHECK_FALSE(nextView(retiring, {store("s1")}, rules));
    rules.peered = true;
    StoreView left = *nextView(retiring, {store("s1")}, rules);
    CHECK(left.stores.size() == 3);
    CHECK(retirePhase(left, "s1") == RetirePhase::completed);
    CHECK(orderRetirement(left, "s1") == RetireVerdict::ordered);
    CHECK_FALSE(nextView(left, {store("s1")}, rules));
    CHECK_FALSE(nextView(left, {store("s1", 2)}, rules));
    StoreObservation empty = store("s1", 3);
    empty.member.disk_empty = true;
    CHECK(nextView(left, {empty}, rules));
}

TEST_CASE("a store that joins gets its share in several views") {
    ViewRules rules = kOldOwnersStopped;
    rules.moves_gradually = true;
    StoreView view = *nextView(firstView(3), {store("s3")}, rules);
    CHECK(counts(view)[3] == 2);
    CHECK_FALSE(nextView(view, {}, rules));
    rules.peered = rules.may_rebalance = true;
    view = *nextView(view, {}, rules);
    CHECK(counts(view)[3] == 4);
    view = *nextView(view, {}, rules);
    CHECK(counts(view) == std::vector<std::size_t>{6, 6, 6, 6});
    CHECK_FALSE(nextView(view, {}, rules));
    CHECK_FALSE(needsPeeringProgress(view));
}

TEST_CASE(
    "a store whose disk fails loses its partitions and copies at once, and returns when the disk works") {
    const StoreView before = firstView(3);
    const auto observe = [](bool failed) {
        std::vector<StoreObservation> observed{store("s0"), store("s1"), store("s2")};
        observed[1].member.disk_failed = failed;
        return observed;
    };
    const auto without = nextView(before, observe(true), kOldOwnersStopped);
    REQUIRE(without.has_value());
    CHECK_FALSE(without->stores[1].keepsCopies());
    CHECK(without->stores[1].member.disk_failed);
    CHECK(counts(*without) == std::vector<std::size_t>{12, 0, 12});
    for (const PartitionOwner& partition : without->partitions) {
        // Its process is still running, so runs that it granted may be under way.
        if (partition.previous == 1) CHECK_FALSE(partition.previous_stopped);
    }
    CHECK_FALSE(nextView(*without, observe(true), kOldOwnersStopped).has_value());
    const auto after = nextView(*without, observe(false), kOldOwnersStopped);
    REQUIRE(after.has_value());
    CHECK(after->stores[1].keepsCopies());
    CHECK(after->stores[1].joined_epoch == before.stores[1].joined_epoch);
    CHECK(counts(*after)[1] > 0);
    // A new store does not join before its disk works.
    StoreObservation fresh = store("s3");
    fresh.member.disk_failed = true;
    CHECK_FALSE(
        nextView(before, {store("s0"), store("s1"), store("s2"), fresh}, kOldOwnersStopped).has_value());
}
