// Tests which message of a partition may run next: order keys, due times, deadlines and priorities.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/storage/partition_queue.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::storage;

namespace {

const SteadyTime kNow{std::chrono::seconds(1000)};

QueueItem item(const MessageId& id, std::uint64_t sequence, const std::string& order_key = {},
               Epoch epoch = 1) {
    QueueItem made;
    made.id = id;
    made.service = "service";
    made.order_key = order_key;
    made.ordered = made.ordered_at_accept = !order_key.empty();
    made.position.epoch = epoch;
    made.position.sequence = sequence;
    made.first_due = kNow;
    made.start_target = kNow + Millis(1000);
    made.due = kNow;
    made.deadline = kNow + Millis(90000);
    return made;
}

struct QueueFixture {
    ReadyQueues ready;
    PartitionQueue queue{ready};

    QueueItem& addStored(QueueItem new_item) {
        QueueItem& added = queue.add(std::move(new_item));
        queue.markStored(added);
        return added;
    }
    std::string head(SteadyTime now = kNow) {
        queue.collectReady(now);
        QueueItem* const first = ready.head("service", now);
        return first == nullptr ? "" : first->id;
    }
    QueueItem& grantHead(SteadyTime now = kNow) {
        queue.collectReady(now);
        QueueItem& first = *ready.head("service", now);
        queue.grant(first, {{1, 1}, "edge", "service", now, now + Millis(1000), std::nullopt, true});
        return first;
    }
    void end(const MessageId& id) {
        queue.end(*queue.find(id), [](QueueItem&) {});
    }
};

}  // namespace

TEST_CASE("only the first message of an order key may run, whatever else is ready") {
    QueueFixture fixture;
    fixture.addStored(item("a1", 1, "a"));
    fixture.addStored(item("a2", 2, "a"));
    fixture.addStored(item("b1", 3, "b"));
    CHECK(fixture.grantHead().id == "a1");
    CHECK(fixture.grantHead().id == "b1");
    CHECK(fixture.head().empty());
    fixture.end("a1");
    CHECK(fixture.head() == "a2");
}

// Guards against messages that overtake earlier ones of their key which were accepted on an unordered route.
TEST_CASE("an unordered message of a key does not wait, and later ordered ones wait for it") {
    QueueFixture fixture;
    for (const char* id : {"a1", "a2"}) {
        QueueItem unordered = item(id, id[1] - '0', "a");
        unordered.ordered = unordered.ordered_at_accept = false;
        fixture.addStored(unordered);
    }
    fixture.addStored(item("a3", 3, "a"));
    CHECK(fixture.grantHead().id == "a1");
    CHECK(fixture.grantHead().id == "a2");
    CHECK(fixture.head().empty());
    fixture.end("a2");
    CHECK(fixture.head().empty());
    fixture.end("a1");
    CHECK(fixture.head() == "a3");
}

TEST_CASE("a message whose route becomes ordered waits from then on, until the route is not any more") {
    QueueFixture fixture;
    fixture.addStored(item("a1", 1, "a"));
    QueueItem unordered = item("a2", 2, "a");
    unordered.ordered = unordered.ordered_at_accept = false;
    QueueItem& second = fixture.addStored(unordered);
    CHECK(fixture.grantHead().id == "a1");
    CHECK(fixture.head() == "a2");
    fixture.queue.update(second, [](QueueItem& changed) { changed.ordered = true; });
    CHECK(fixture.head().empty());
    CHECK_FALSE(fixture.queue.isGrantable(second, kNow));
    fixture.queue.update(second, [](QueueItem& changed) { changed.ordered = false; });
    CHECK(fixture.head() == "a2");
    fixture.queue.update(second, [](QueueItem& changed) { changed.ordered = true; });
    fixture.end("a1");
    CHECK(fixture.head() == "a2");
}

TEST_CASE("a message that is not on enough disks blocks the later ones of its order key") {
    QueueFixture fixture;
    QueueItem& first = fixture.queue.add(item("a1", 1, "a"));
    fixture.addStored(item("a2", 2, "a"));
    CHECK(fixture.head().empty());
    fixture.queue.markStored(first);
    CHECK(fixture.head() == "a1");
    CHECK(fixture.ready.size() == 1);
}

TEST_CASE("a retried message keeps its place at the head of its order queue") {
    QueueFixture fixture;
    fixture.addStored(item("a1", 1, "a"));
    fixture.addStored(item("a2", 2, "a"));
    QueueItem& first = fixture.grantHead();
    fixture.queue.retry(first, kNow + Millis(100));
    CHECK(fixture.head().empty());
    CHECK(fixture.head(kNow + Millis(100)) == "a1");
}

TEST_CASE("an earlier message that is recovered later runs first") {
    QueueFixture fixture;
    fixture.addStored(item("late", 1, "a", 2));
    CHECK(fixture.head() == "late");
    QueueItem found = item("early", 9, "a", 1);
    found.recovered = true;
    fixture.queue.add(found);
    CHECK(fixture.head().empty());
    fixture.queue.releaseRecovered();
    CHECK(fixture.head() == "early");
    fixture.end("early");
    CHECK(fixture.head() == "late");
}

TEST_CASE("recovered messages are held until they are released, and block their order key") {
    QueueFixture fixture;
    QueueItem recovered = item("old", 1, "a");
    recovered.recovered = true;
    fixture.queue.add(recovered);
    fixture.addStored(item("new", 1, "a", 2));
    fixture.addStored(item("other", 2, "b", 2));
    CHECK(fixture.head() == "other");
    CHECK(fixture.ready.size() == 1);
    fixture.queue.releaseRecovered();
    CHECK(fixture.head() == "old");
}

TEST_CASE("a message waits until it is due") {
    QueueFixture fixture;
    QueueItem delayed = item("a", 1);
    delayed.due = kNow + Millis(500);
    fixture.addStored(delayed);
    CHECK(fixture.head().empty());
    CHECK(fixture.queue.nextDue() == kNow + Millis(500));
    CHECK(fixture.head(kNow + Millis(500)) == "a");
    CHECK(!fixture.queue.nextDue().has_value());
}

TEST_CASE("an ended message leaves its call-back, which does not block the order key") {
    QueueFixture fixture;
    QueueItem owed = item("a1", 1, "a");
    owed.callback_owed = true;
    fixture.addStored(owed);
    fixture.addStored(item("a2", 2, "a"));
    fixture.grantHead();
    fixture.queue.end(*fixture.queue.find("a1"), [](QueueItem& ended) {
        ended.callback = true;
        ended.service = "receiver";
    });
    CHECK(fixture.head() == "a2");
    REQUIRE(fixture.ready.head("receiver", kNow) != nullptr);
    CHECK(fixture.ready.head("receiver", kNow)->id == "a1");
    fixture.queue.remove(*fixture.queue.find("a1"));
    CHECK(fixture.ready.head("receiver", kNow) == nullptr);
    CHECK(fixture.queue.size() == 1);
}

TEST_CASE("expired finds the messages whose deadline has passed") {
    QueueFixture fixture;
    QueueItem early = item("a", 1);
    early.deadline = kNow + Millis(10);
    fixture.addStored(early);
    fixture.addStored(item("b", 2));
    CHECK(fixture.queue.expired(kNow).empty());
    REQUIRE(fixture.queue.expired(kNow + Millis(10)).size() == 1);
    CHECK(fixture.queue.expired(kNow + Millis(10))[0]->id == "a");
}

TEST_CASE("messages in time run first, by priority and age, then late ones, then those that are too late") {
    QueueFixture fixture;
    QueueItem routine = item("routine", 1);
    routine.priority = 5;
    routine.first_due = kNow - Millis(1000);
    fixture.addStored(routine);
    QueueItem urgent = item("urgent", 2);
    fixture.addStored(urgent);
    QueueItem too_late = item("too_late", 3);
    too_late.first_due = kNow - kTooLateAfter - Millis(1);
    too_late.start_target = too_late.first_due + Millis(1000);
    too_late.priority = -1;
    fixture.addStored(too_late);
    QueueItem late = item("late", 4);
    late.first_due = kNow - Millis(2000);
    late.start_target = late.first_due + Millis(1000);
    fixture.addStored(late);
    CHECK(fixture.grantHead().id == "urgent");
    CHECK(fixture.grantHead().id == "routine");
    CHECK(fixture.grantHead().id == "late");
    CHECK(fixture.grantHead().id == "too_late");
}

TEST_CASE("a message that becomes late while it waits moves behind those in time") {
    QueueFixture fixture;
    QueueItem old = item("old", 1);
    old.first_due = kNow - Millis(500);
    old.start_target = kNow + Millis(1500);
    fixture.addStored(old);
    QueueItem fresh = item("fresh", 2);
    fresh.start_target = kNow + Millis(5000);
    fixture.addStored(fresh);
    CHECK(fixture.head() == "old");
    CHECK(fixture.ready.hasInTime("service", kNow));
    CHECK(fixture.head(kNow + Millis(2000)) == "fresh");
    fixture.queue.remove(*fixture.queue.find("old"));
    fixture.queue.remove(*fixture.queue.find("fresh"));
    CHECK(fixture.ready.head("service", kNow) == nullptr);
}

TEST_CASE("a destroyed partition queue removes its messages from the ready queues") {
    ReadyQueues ready;
    {
        PartitionQueue queue(ready);
        QueueItem& added = queue.add(item("a", 1));
        queue.markStored(added);
        queue.collectReady(kNow);
        CHECK(ready.size() == 1);
    }
    CHECK(ready.size() == 0);
}

TEST_CASE("isUnknownToNewerEpoch is true only for older messages that the newer owner did not know") {
    QueueFixture fixture;
    QueueItem newer = item("newer", 1, "a", 2);
    newer.predecessor = {1, 5};
    fixture.addStored(newer);
    CHECK(!fixture.queue.isUnknownToNewerEpoch(item("known", 5, "a", 1)));
    CHECK(fixture.queue.isUnknownToNewerEpoch(item("unknown", 6, "a", 1)));
    CHECK(!fixture.queue.isUnknownToNewerEpoch(item("other key", 6, "b", 1)));
    CHECK(!fixture.queue.isUnknownToNewerEpoch(item("same owner", 7, "a", 2)));
    fixture.addStored(item("newest", 2, "a", 2));
    CHECK(fixture.queue.isUnknownToNewerEpoch(item("unknown", 6, "a", 1)));
    CHECK(fixture.queue.lastOfOlderEpochs(newer) == OrderPosition{});
    CHECK(fixture.queue.lastOfOlderEpochs(item("next epoch", 1, "a", 3)) == OrderPosition{2, 2});
    CHECK(fixture.queue.lastOfOlderEpochs(item("first", 1, "empty")) == OrderPosition{});
}
