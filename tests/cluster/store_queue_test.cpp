// Who may run next: lines of ordered messages, due times, priorities.
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
    made.order_scope = "route";
    made.service = "service";
    made.order_key = order_key;
    made.position.epoch = epoch;
    made.position.sequence = sequence;
    made.wanted = kNow;
    made.aim_until = kNow + Millis(1000);
    made.due = kNow;
    made.deadline = kNow + Millis(90000);
    return made;
}

struct Queue {
    ReadyQueues ready;
    PartitionQueue queue{ready};

    QueueItem& stored(QueueItem fresh) {
        QueueItem& added = queue.add(std::move(fresh));
        queue.stored(added);
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

TEST_CASE("of a line only the first may run, whatever else is ready") {
    Queue play;
    play.stored(item("a1", 1, "a"));
    play.stored(item("a2", 2, "a"));
    play.stored(item("b1", 3, "b"));
    CHECK(play.grantHead().id == "a1");
    CHECK(play.grantHead().id == "b1");
    CHECK(play.head().empty());
    play.end("a1");
    CHECK(play.head() == "a2");
}

TEST_CASE("a message that is not on enough disks holds its line up") {
    Queue play;
    QueueItem& first = play.queue.add(item("a1", 1, "a"));
    play.stored(item("a2", 2, "a"));
    CHECK(play.head().empty());
    play.queue.stored(first);
    CHECK(play.head() == "a1");
    CHECK(play.ready.size() == 1);
}

TEST_CASE("a retried message keeps its place at the head of its line") {
    Queue play;
    play.stored(item("a1", 1, "a"));
    play.stored(item("a2", 2, "a"));
    QueueItem& first = play.grantHead();
    play.queue.retry(first, kNow + Millis(100));
    CHECK(play.head().empty());
    CHECK(play.head(kNow + Millis(100)) == "a1");
}

TEST_CASE("an earlier message that is found later goes first") {
    Queue play;
    play.stored(item("late", 1, "a", 2));
    CHECK(play.head() == "late");
    QueueItem found = item("early", 9, "a", 1);
    found.recovered = true;
    play.queue.add(found);
    CHECK(play.head().empty());
    play.queue.settle();
    CHECK(play.head() == "early");
    play.end("early");
    CHECK(play.head() == "late");
}

TEST_CASE("recovered messages are held until the edges have told, and hold up their line") {
    Queue play;
    QueueItem recovered = item("old", 1, "a");
    recovered.recovered = true;
    play.queue.add(recovered);
    play.stored(item("new", 1, "a", 2));
    play.stored(item("other", 2, "b", 2));
    CHECK(play.head() == "other");
    CHECK(play.ready.size() == 1);
    play.queue.settle();
    CHECK(play.head() == "old");
}

TEST_CASE("a message waits until it is due") {
    Queue play;
    QueueItem delayed = item("a", 1);
    delayed.due = kNow + Millis(500);
    play.stored(delayed);
    CHECK(play.head().empty());
    CHECK(play.queue.nextDue() == kNow + Millis(500));
    CHECK(play.head(kNow + Millis(500)) == "a");
    CHECK(!play.queue.nextDue().has_value());
}

TEST_CASE("an end leaves the call-back, which needs no turn in the line") {
    Queue play;
    QueueItem owed = item("a1", 1, "a");
    owed.callback_owed = true;
    play.stored(owed);
    play.stored(item("a2", 2, "a"));
    play.grantHead();
    play.queue.end(*play.queue.find("a1"), [](QueueItem& ended) {
        ended.callback = true;
        ended.service = "receiver";
    });
    CHECK(play.head() == "a2");
    REQUIRE(play.ready.head("receiver", kNow) != nullptr);
    CHECK(play.ready.head("receiver", kNow)->id == "a1");
    play.queue.remove(*play.queue.find("a1"));
    CHECK(play.ready.head("receiver", kNow) == nullptr);
    CHECK(play.queue.size() == 1);
}

TEST_CASE("deadlines are found in their order") {
    Queue play;
    QueueItem early = item("a", 1);
    early.deadline = kNow + Millis(10);
    play.stored(early);
    play.stored(item("b", 2));
    CHECK(play.queue.expired(kNow).empty());
    REQUIRE(play.queue.expired(kNow + Millis(10)).size() == 1);
    CHECK(play.queue.expired(kNow + Millis(10))[0]->id == "a");
}

TEST_CASE("those in time first, by priority and age; then the late ones, then those that are far too late") {
    Queue play;
    QueueItem routine = item("routine", 1);
    routine.priority = 5;
    routine.wanted = kNow - Millis(1000);
    play.stored(routine);
    QueueItem urgent = item("urgent", 2);
    play.stored(urgent);
    QueueItem hopeless = item("hopeless", 3);
    hopeless.wanted = kNow - kTooLateAfter - Millis(1);
    hopeless.aim_until = hopeless.wanted + Millis(1000);
    hopeless.priority = -1;
    play.stored(hopeless);
    QueueItem late = item("late", 4);
    late.wanted = kNow - Millis(2000);
    late.aim_until = late.wanted + Millis(1000);
    play.stored(late);
    CHECK(play.grantHead().id == "urgent");
    CHECK(play.grantHead().id == "routine");
    CHECK(play.grantHead().id == "late");
    CHECK(play.grantHead().id == "hopeless");
}

TEST_CASE("a message that becomes late while it waits moves behind") {
    Queue play;
    QueueItem old = item("old", 1);
    old.wanted = kNow - Millis(500);
    old.aim_until = kNow + Millis(1500);
    play.stored(old);
    QueueItem fresh = item("fresh", 2);
    fresh.aim_until = kNow + Millis(5000);
    play.stored(fresh);
    CHECK(play.head() == "old");
    CHECK(play.ready.hasInTime("service", kNow));
    CHECK(play.head(kNow + Millis(2000)) == "fresh");
    play.queue.remove(*play.queue.find("old"));
    play.queue.remove(*play.queue.find("fresh"));
    CHECK(play.ready.head("service", kNow) == nullptr);
}

TEST_CASE("a queue that is given up leaves nothing behind in the services' queues") {
    ReadyQueues ready;
    {
        PartitionQueue queue(ready);
        QueueItem& added = queue.add(item("a", 1));
        queue.stored(added);
        queue.collectReady(kNow);
        CHECK(ready.size() == 1);
    }
    CHECK(ready.size() == 0);
}

TEST_CASE("an older message that a newer owner did not know is a stray, one that it knew is not") {
    Queue play;
    QueueItem newer = item("newer", 1, "a", 2);
    newer.after = {1, 5};
    play.stored(newer);
    CHECK(!play.queue.isStray(item("known", 5, "a", 1)));
    CHECK(play.queue.isStray(item("stray", 6, "a", 1)));
    CHECK(!play.queue.isStray(item("other line", 6, "b", 1)));
    CHECK(!play.queue.isStray(item("same owner", 7, "a", 2)));
    play.stored(item("newest", 2, "a", 2));
    CHECK(play.queue.isStray(item("stray", 6, "a", 1)));
    CHECK(play.queue.lastOlder(newer) == LinePosition{});
    CHECK(play.queue.lastOlder(item("next epoch", 1, "a", 3)) == LinePosition{2, 2});
    CHECK(play.queue.lastOlder(item("first", 1, "empty")) == LinePosition{});
}
