// Ring stores on a disk that is full or fails: which records survive, which operations still work, and the
// recovery.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cluster/storage/open_ring.hpp"
#include "cluster/storage/storage_error.hpp"
#include "tests/cluster/ring_harness.hpp"

namespace amberswitch::cluster {
namespace {

using ring_test::fileCount;
using ring_test::keyOf;
using ring_test::readFile;
using ring_test::RingHarness;
using ring_test::smallRing;
using ring_test::writeFile;

bool recovers(RingHarness& harness) {
    return harness.runUntil([&harness] { return harness.store().healthy(); });
}

// Registers a health listener. Health changes are then posted to the scheduler, so that runUntil() wakes up.
void subscribeToHealth(RingHarness& harness) {
    harness.store().onHealthChange([](bool) {});
}

// Runs the stall checks until `holds` returns true, at most kMaxRounds times.
bool fireTimersUntil(RingHarness& harness, const std::function<bool()>& holds) {
    constexpr int kMaxRounds = 1'000'000;
    for (int round = 0; round < kMaxRounds && !holds(); ++round) {
        harness.fireTimers();
        harness.runPending();
        std::this_thread::yield();
    }
    return holds();
}

}  // namespace

TEST_CASE("A stalled sync counts as failed, and all changes are durable once it has returned") {
    RingHarness harness(21);
    subscribeToHealth(harness);
    REQUIRE(harness.store().put("before", "1"));
    REQUIRE(harness.syncAndWait());
    harness.disk().holdSyncs();
    std::optional<bool> durable;
    REQUIRE(harness.store().put("during", "2"));
    harness.store().sync([&durable](bool result) { durable = result; });
    REQUIRE(fireTimersUntil(harness, [&durable] { return durable.has_value(); }));
    CHECK(durable == false);
    CHECK_FALSE(harness.store().healthy());
    CHECK_FALSE(harness.store().put("refused", "3"));
    CHECK(harness.store().read("during") == "2");
    harness.disk().releaseSyncs();
    REQUIRE(recovers(harness));
    REQUIRE(harness.store().put("after", "4"));
    REQUIRE(harness.syncAndWait());
    harness.losePower();
    CHECK(harness.store().read("before") == "1");
    CHECK(harness.store().read("during") == "2");
    CHECK(harness.store().read("after") == "4");
}

TEST_CASE("Opening a ring is retried until its disk can be read") {
    RingHarness harness(23);
    REQUIRE(harness.store().put("a", "1"));
    REQUIRE(harness.syncAndWait());
    harness.close();
    harness.disk().read_error = EIO;
    ManualScheduler scheduler;
    std::vector<Millis> pauses;
    const auto wait = [&](Millis pause) {
        pauses.push_back(pause);
        if (pauses.size() == 6) harness.disk().read_error = 0;
    };
    const auto ring = openRing(scheduler, harness.directory(), smallRing(), wait);
    CHECK(ring->read("a") == "1");
    CHECK(pauses.size() == 6);
    CHECK(pauses.front() < pauses.back());
    CHECK(pauses.back() == Millis(1000));
}

TEST_CASE("A disk without waiting syncs, or with progress from pass to pass, does not count as stalled") {
    RingHarness harness(22);
    subscribeToHealth(harness);
    for (int i = 0; i < 100; ++i) {
        REQUIRE(harness.store().put(keyOf(i), "v"));
        REQUIRE(harness.syncAndWait());
        harness.fireTimers();
    }
    for (int i = 0; i < 50; ++i) harness.fireTimers();
    CHECK(harness.store().healthy());
}

TEST_CASE("A partial write leaves a prefix and is overwritten once the disk has space") {
    for (int before = 1; before <= 3; ++before) {
        CAPTURE(before);
        RingHarness harness(1);
        subscribeToHealth(harness);
        REQUIRE(harness.store().put("old", std::string(300, 'o')));
        REQUIRE(harness.syncAndWait());
        harness.disk().writes_before_error = before;
        harness.disk().write_error = ENOSPC;
        std::map<std::string, std::string> expected{{"old", std::string(300, 'o')}};
        for (int i = 0; i < 30; ++i) {
            expected[keyOf(i)] = std::string(400, static_cast<char>('a' + i % 26));
            REQUIRE(harness.store().put(keyOf(i), expected[keyOf(i)]));
        }
        REQUIRE_FALSE(harness.syncAndWait());
        CHECK(harness.content() == expected);
        harness.disk().write_error = 0;
        REQUIRE(recovers(harness));
        CHECK(harness.content() == expected);
        harness.losePower();
        CHECK(harness.content() == expected);
    }
}

TEST_CASE("A process that ends while the disk is full leaves synced records and a prefix of the others") {
    for (int before = 0; before <= 4; ++before) {
        CAPTURE(before);
        RingHarness harness(2);
        REQUIRE(harness.store().put("old", std::string(300, 'o')));
        REQUIRE(harness.syncAndWait());
        harness.disk().writes_before_error = before;
        harness.disk().write_error = ENOSPC;
        for (int i = 0; i < 30; ++i) REQUIRE(harness.store().put(keyOf(i), std::string(400, 'n')));
        REQUIRE_FALSE(harness.syncAndWait());
        harness.close();
        harness.disk().write_error = 0;
        harness.open();
        CHECK_FALSE(harness.store().hasMissingRecords());
        CHECK(harness.store().read("old") == std::string(300, 'o'));
        const Records found = harness.content();
        for (int i = 1; i < 30; ++i) {
            const bool has_both_or_first = !found.contains(keyOf(i)) || found.contains(keyOf(i - 1));
            CHECK(has_both_or_first);
        }
        REQUIRE(harness.store().put("goes on", "v"));
        REQUIRE(harness.syncAndWait());
    }
}

TEST_CASE("A ring opened on a full disk becomes healthy once there is space") {
    RingHarness harness(3);
    harness.close();
    std::filesystem::remove_all(harness.directory());
    harness.disk().reserve_error = ENOSPC;
    harness.open();
    subscribeToHealth(harness);
    CHECK(harness.store().wasEmpty());
    REQUIRE(harness.store().put("a", "1"));
    REQUIRE_FALSE(harness.syncAndWait());
    CHECK_FALSE(harness.store().healthy());
    harness.disk().reserve_error = 0;
    REQUIRE(recovers(harness));
    harness.losePower();
    CHECK(harness.store().read("a") == "1");
}

TEST_CASE("A ring whose content can't be made durable on opening is not healthy until it is") {
    RingHarness harness(4);
    REQUIRE(harness.store().put("a", "1"));
    REQUIRE(harness.syncAndWait());
    for (const bool by_syncs : {true, false}) {
        CAPTURE(by_syncs);
        harness.failBySyncs(by_syncs);
        harness.setFailing(true);
        harness.restart();
        subscribeToHealth(harness);
        CHECK_FALSE(harness.store().healthy());
        CHECK(harness.store().read("a") == "1");
        REQUIRE_FALSE(harness.syncAndWait());
        harness.setFailing(false);
        REQUIRE(recovers(harness));
        harness.losePower();
        CHECK(harness.store().read("a") == "1");
    }
}

TEST_CASE("Records before a failed sync of the previous process are written again on opening") {
    RingHarness harness(5);
    REQUIRE(harness.store().put("a", "1"));
    REQUIRE(harness.syncAndWait());
    harness.setFailing(true);
    REQUIRE(harness.store().put("b", "2"));
    REQUIRE_FALSE(harness.syncAndWait());
    harness.close();
    harness.setFailing(false);
    harness.open();
    // The bytes are still in the page cache, where they are marked clean.
    REQUIRE(harness.store().read("b") == "2");
    harness.losePower();
    CHECK(harness.store().read("b") == "2");
}

TEST_CASE("During a disk failure memory use is bounded, and putFromReserve works when put is refused") {
    RingOptions options = smallRing();
    options.capacity_bytes = 64 * 4096;
    options.max_unsynced_bytes = 10'000;
    RingHarness harness(6, options);
    subscribeToHealth(harness);
    REQUIRE(harness.store().put("kept", "v"));
    REQUIRE(harness.syncAndWait());
    harness.setFailing(true);
    REQUIRE(harness.store().put("staged", "v"));
    REQUIRE_FALSE(harness.syncAndWait());
    CHECK_FALSE(harness.store().put("refused", "v"));
    int taken = 0;
    while (taken < 1000 && harness.store().putFromReserve(keyOf(taken), std::string(500, 'v'))) ++taken;
    CHECK(taken >= 20);
    CHECK(taken < 45);
    harness.store().erase("kept");
    const Records expected = harness.content();
    harness.setFailing(false);
    REQUIRE(recovers(harness));
    CHECK(harness.store().put("goes on", "v"));
    REQUIRE(harness.syncAndWait());
    harness.store().erase("goes on");
    REQUIRE(harness.syncAndWait());
    harness.losePower();
    CHECK(harness.content() == expected);
}

TEST_CASE("A full ring still accepts putFromReserve and removals") {
    RingHarness harness(7);
    int taken = 0;
    while (taken < 10'000 && harness.store().put(keyOf(taken), std::string(400, 'v'))) {
        ++taken;
        if (taken % 20 == 0) REQUIRE(harness.syncAndWait());
    }
    REQUIRE(harness.syncAndWait());
    REQUIRE_FALSE(harness.store().put("refused", std::string(400, 'v')));
    for (int i = 0; i < 20; ++i) {
        REQUIRE(harness.store().putFromReserve("end" + std::to_string(i), "completed"));
        REQUIRE(harness.syncAndWait());
    }
    for (int i = 0; i < taken; ++i) {
        harness.store().erase(keyOf(i));
        if (i % 10 == 0) REQUIRE(harness.syncAndWait());
    }
    REQUIRE(harness.syncAndWait());
    harness.losePower();
    CHECK(harness.content().size() == 20);
}

TEST_CASE("Reading an unreadable record throws, and works again after the fault") {
    RingHarness harness(8);
    REQUIRE(harness.store().put("a", "1"));
    REQUIRE(harness.syncAndWait());
    harness.disk().read_error = EIO;
    CHECK_THROWS_AS(harness.store().read("a"), StorageError);
    CHECK(harness.store().read("b") == std::nullopt);
    CHECK_THROWS_AS(harness.content(), StorageError);
    std::vector<std::string> keys;
    harness.store().forEachKey([&keys](std::string_view key) { keys.emplace_back(key); });
    CHECK(keys == std::vector<std::string>{"a"});
    harness.disk().read_error = 0;
    CHECK(harness.store().read("a") == "1");
}

TEST_CASE("Cleaning resumes after a read error and loses no record") {
    RingHarness harness(9);
    REQUIRE(harness.store().put("cold", std::string(1000, 'c')));
    REQUIRE(harness.syncAndWait());
    int written = 0;
    const auto writeHot = [&harness, &written] {
        ++written;
        const bool taken =
            harness.store().put("hot", std::string(500, static_cast<char>('a' + written % 26)));
        return taken && harness.syncAndWait();
    };
    harness.disk().read_error = EIO;
    bool refused = false;
    for (int i = 0; i < 200 && !refused; ++i) refused = !writeHot();
    CHECK(refused);  // no segment can be released
    CHECK(harness.store().healthy());
    harness.disk().read_error = 0;
    harness.store().erase("hot");
    REQUIRE(harness.syncAndWait());
    int tries = 0;
    while (!writeHot()) REQUIRE(++tries < 100);
    for (int i = 0; i < 400; ++i) REQUIRE(writeHot());
    CHECK(harness.store().read("cold") == std::string(1000, 'c'));
}

TEST_CASE("Damage before the end of the durable records is detected on opening, unlike a torn tail") {
    RingHarness harness(10);
    for (int i = 0; i < 40; ++i) {
        REQUIRE(harness.store().put(keyOf(i), std::string(400, 'v')));
        REQUIRE(harness.syncAndWait());
    }
    harness.restart();
    CHECK_FALSE(harness.store().hasMissingRecords());
    harness.close();
    const std::string path = segmentPath(harness.directory(), 1);
    const std::string whole = readFile(path);
    for (const std::size_t at : {std::size_t{45}, std::size_t{1000}, std::size_t{2100}}) {
        CAPTURE(at);
        std::string damaged = whole;
        damaged[at] = static_cast<char>(damaged[at] ^ 1);
        writeFile(path, damaged);
        harness.open();
        CHECK(harness.store().hasMissingRecords());
        harness.close();
    }
    std::filesystem::remove(path);
    harness.open();
    CHECK(harness.store().hasMissingRecords());
}

}  // namespace amberswitch::cluster
