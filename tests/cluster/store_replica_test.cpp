// Tests of Replica: merging, restarts, promises, trimming.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/storage/replica.hpp"
#include "tests/cluster/store_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;
using namespace amberswitch::cluster::storage;

namespace {

constexpr Millis kStatusKept{120000};

// One machine's disk and the replica of its present process.
struct Machine {
    World world{1};
    DiskState platter;
    std::unique_ptr<SimulatedScheduler> scheduler;
    std::unique_ptr<FakeDisk> disk;
    std::unique_ptr<StoreClock> clock;
    std::unique_ptr<Replica> replica;

    explicit Machine(bool bootstrap = true) { start(bootstrap); }
    void start(bool bootstrap, std::int64_t wall_step_ms = 0) {
        if (disk) disk->writeAll();
        replica.reset();
        disk.reset();
        scheduler = std::make_unique<SimulatedScheduler>(world);
        scheduler->stepWallClock(wall_step_ms);
        disk = std::make_unique<FakeDisk>(world, *scheduler, platter);
        clock = std::make_unique<StoreClock>(*scheduler);
        replica = std::make_unique<Replica>(*disk, *clock, bootstrap && disk->wasEmpty(), kStatusKept);
        replica->load();
    }
    MessageRecord record(const MessageId& id) const {
        MessageRecord made;
        made.content.id = id;
        made.content.body = "body of " + id;
        made.partition = 3;
        made.epoch = 1;
        made.sequence = 1;
        made.accepted_wall_ms = clock->wallMillis();
        made.retention_ms = 90000;
        made.callback_done = true;
        return made;
    }
    RecordUpdate end(const MessageId& id, Phase phase, const std::string& stamp = {}) const {
        RecordUpdate made;
        made.partition = 3;
        made.id = id;
        made.phase = phase;
        made.stamp = stamp;
        made.ended_wall_ms = clock->wallMillis();
        made.callback_done = true;
        made.keep_until_wall_ms = made.ended_wall_ms + 130000;
        return made;
    }
    RecordUpdate count(const MessageId& id, std::uint32_t failures) const {
        RecordUpdate made;
        made.partition = 3;
        made.id = id;
        made.failures = failures;
        return made;
    }
};

}  // namespace

TEST_CASE("records come back after a restart, with their bodies and states") {
    Machine machine;
    REQUIRE(machine.replica->store(machine.record("a"), true));
    REQUIRE(machine.replica->store(machine.record("b"), true));
    machine.replica->merge(machine.count("a", 2));
    machine.replica->merge(machine.end("b", Phase::completed, "stamp"));
    machine.start(false);
    const StoredMessage* const a = machine.replica->find(3, "a");
    REQUIRE(a != nullptr);
    CHECK(a->failures == 2);
    CHECK(a->phase == Phase::pending);
    CHECK(machine.replica->content(3, "a")->body == "body of a");
    const StoredMessage* const b = machine.replica->find(3, "b");
    REQUIRE(b != nullptr);
    CHECK(b->phase == Phase::completed);
    CHECK(b->stamp == "stamp");
}

TEST_CASE("the content is removed once it is not needed, and kept for dead letters") {
    Machine machine;
    for (const char* id : {"done", "dead"}) REQUIRE(machine.replica->store(machine.record(id), true));
    MessageRecord with_callback = machine.record("owes");
    with_callback.callback_done = false;
    REQUIRE(machine.replica->store(with_callback, true));
    RecordUpdate owes = machine.end("owes", Phase::completed, "stamp");
    owes.callback_done = false;
    machine.replica->merge(machine.end("done", Phase::completed, "stamp"));
    machine.replica->merge(owes);
    machine.replica->merge(machine.end("dead", Phase::dead_letter));
    CHECK_FALSE(machine.disk->read("c/3/done").has_value());
    CHECK(machine.disk->read("c/3/owes").has_value());
    CHECK(machine.disk->read("c/3/dead").has_value());
    machine.replica->merge(machine.end("owes", Phase::completed, "stamp"));
    CHECK_FALSE(machine.disk->read("c/3/owes").has_value());
    // A late copy does not restore the content, and the end is kept beyond the retention of that copy.
    const std::int64_t kept = machine.replica->find(3, "done")->keep_until_wall_ms;
    REQUIRE(machine.replica->store(machine.record("done"), true));
    CHECK_FALSE(machine.disk->read("c/3/done").has_value());
    CHECK(machine.replica->find(3, "done")->keep_until_wall_ms >= kept);
    machine.start(false);
    CHECK(machine.replica->find(3, "done")->phase == Phase::completed);
    CHECK(machine.replica->find(3, "done")->stamp == "stamp");
    CHECK(machine.replica->content(3, "dead")->body == "body of dead");
}

TEST_CASE("merging does not depend on the order, nor on repeats") {
    const auto apply = [](std::vector<int> order) {
        Machine machine;
        for (const int step : order) {
            if (step == 0) machine.replica->store(machine.record("a"), false);
            if (step == 1) machine.replica->merge(machine.count("a", 2));
            if (step == 2) machine.replica->merge(machine.count("a", 1));
            if (step == 3) machine.replica->merge(machine.end("a", Phase::dead_letter));
            if (step == 4) machine.replica->merge(machine.end("a", Phase::completed, "stamp"));
        }
        const StoredMessage& message = *machine.replica->find(3, "a");
        return std::make_tuple(message.phase, message.stamp, message.live());
    };
    std::vector<int> order{0, 1, 2, 3, 4};
    do {
        CHECK(apply(order) == std::make_tuple(Phase::completed, std::string("stamp"), false));
    } while (std::next_permutation(order.begin(), order.end()));
    CHECK(apply({4, 4, 0, 3, 3, 0}) == std::make_tuple(Phase::completed, std::string("stamp"), false));
}

TEST_CASE("a count never goes back, and one of an unknown message is ignored") {
    Machine machine;
    CHECK(!machine.replica->merge(machine.count("a", 2)).changed);
    CHECK(machine.replica->find(3, "a") == nullptr);
    machine.replica->store(machine.record("a"), false);
    CHECK(machine.replica->merge(machine.count("a", 2)).changed);
    CHECK(!machine.replica->merge(machine.count("a", 1)).changed);
    CHECK(machine.replica->find(3, "a")->failures == 2);
}

TEST_CASE("an end that arrives before its content is kept") {
    Machine machine;
    CHECK(machine.replica->merge(machine.end("a", Phase::completed, "stamp")).ended);
    REQUIRE(machine.replica->store(machine.record("a"), true));
    CHECK(machine.replica->find(3, "a")->phase == Phase::completed);
    machine.start(false);
    CHECK(machine.replica->find(3, "a")->phase == Phase::completed);
    CHECK(machine.replica->residentBodyBytes() == 0);
}

TEST_CASE("promises and validity survive a restart") {
    Machine machine;
    CHECK(machine.replica->isValid(3));
    machine.replica->promise(3, 7);
    machine.start(false);
    CHECK(machine.replica->promised(3) == 7);
    CHECK(machine.replica->isValid(3));
    CHECK(machine.replica->isValid(4));
    machine.replica->promise(3, 5);
    CHECK(machine.replica->promised(3) == 7);
}

TEST_CASE("a replica that lost its disk is not valid until the newest owner marks it valid") {
    Machine machine(false);
    CHECK(!machine.replica->isValid(3));
    machine.replica->promise(3, 7);
    CHECK(!machine.replica->markValid(3, 6));
    CHECK(!machine.replica->isValid(3));
    CHECK(machine.replica->markValid(3, 7));
    machine.start(false);
    CHECK(machine.replica->isValid(3));
    CHECK(!machine.replica->isValid(4));
}

TEST_CASE("nothing changes where the disk has no room") {
    Machine machine;
    machine.platter.capacity = 700;
    MessageRecord big = machine.record("big");
    big.content.body.assign(1000, 'x');
    CHECK(!machine.replica->store(big, true));
    CHECK(machine.replica->find(3, "big") == nullptr);
    CHECK(machine.replica->store(machine.record("a"), true));
}

TEST_CASE("messages are removed once they cannot be queried any more, not earlier") {
    Machine machine;
    machine.replica->store(machine.record("ended"), false);
    machine.replica->store(machine.record("waits"), false);
    machine.replica->merge(machine.end("ended", Phase::completed, "stamp"));
    machine.world.run(Millis(124000));
    machine.replica->trim(100);
    CHECK(machine.replica->find(3, "ended") != nullptr);
    machine.world.run(Millis(3000));
    machine.replica->trim(100);
    CHECK(machine.replica->find(3, "ended") == nullptr);
    CHECK(machine.replica->find(3, "waits") != nullptr);
    machine.world.run(Millis(100000));
    machine.replica->trim(100);
    CHECK(machine.replica->find(3, "waits") == nullptr);
    machine.start(false);
    CHECK(machine.replica->size() == 0);
}

TEST_CASE("trimming is limited per call") {
    Machine machine;
    for (int i = 0; i < 50; ++i) machine.replica->store(machine.record("m" + std::to_string(i)), false);
    machine.world.run(Millis(300000));
    machine.replica->trim(20);
    CHECK(machine.replica->size() >= 30);
    machine.replica->trim(100);
    CHECK(machine.replica->size() == 0);
}

TEST_CASE("a clock that was set back does not prolong anything, one that is ahead is corrected by others") {
    Machine machine;
    machine.replica->store(machine.record("a"), false);
    const std::int64_t accepted = machine.clock->wallMillis();
    machine.start(false, -3'600'000);
    CHECK(machine.replica->find(3, "a")->accepted_wall_ms <= machine.clock->wallMillis());
    machine.start(false, 3'600'000);
    StoredMessage& message = *machine.replica->find(3, "a");
    CHECK(message.accepted_wall_ms == accepted);
    machine.replica->correctAcceptTime(message, accepted + 3'600'000);
    CHECK(message.accepted_wall_ms == accepted + 3'600'000);
    CHECK(message.keep_until_wall_ms > machine.clock->wallMillis());
}

TEST_CASE("bodies stay in memory up to the limit, the others are read back") {
    Machine machine;
    const std::size_t size = 8u << 20;
    for (int i = 0; i < 8; ++i) {
        MessageRecord record = machine.record("m" + std::to_string(i));
        record.content.body.assign(size, static_cast<char>('a' + i));
        REQUIRE(machine.replica->store(record, true));
    }
    CHECK(machine.replica->residentBodyBytes() <= kResidentBodyBytes);
    CHECK(machine.replica->content(3, "m7")->body == std::string(size, 'h'));
    for (int i = 0; i < 8; ++i)
        machine.replica->merge(machine.end("m" + std::to_string(i), Phase::completed));
    CHECK(machine.replica->residentBodyBytes() == 0);
}
