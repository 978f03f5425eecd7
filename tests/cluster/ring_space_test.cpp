// Space management of the ring: wrap-around, cleaning, full rings, removals that free space, stalled disks,
// changed sizes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>
#include <string>

#include "cluster/control/register_ring.hpp"
#include "cluster/control/register_values.hpp"
#include "cluster/storage/ring_store.hpp"
#include "tests/cluster/ring_harness.hpp"

namespace amberswitch::cluster {
namespace {

using ring_test::fileCount;
using ring_test::keyOf;
using ring_test::RingHarness;
using ring_test::smallRing;

TEST_CASE("Overwriting many times the capacity keeps records that never change") {
    RingHarness harness(7);
    Records expected;
    for (int i = 0; i < 60; ++i) {
        expected[keyOf(i)] = std::string(200, static_cast<char>('A' + i % 26));
        REQUIRE(harness.store().put(keyOf(i), expected[keyOf(i)]));
    }
    std::mt19937_64 random(7);
    for (int i = 0; i < 6000; ++i) {
        const std::string key = "hot" + std::to_string(random() % 40);
        expected[key] = std::string(random() % 400, static_cast<char>('a' + i % 26));
        REQUIRE(harness.store().put(key, expected[key]));
        if (i % 8 == 0) REQUIRE(harness.syncAndWait());
    }
    CHECK(harness.ring().statistics().segments_started > 200);
    CHECK(harness.ring().statistics().records_rewritten > 60);
    CHECK(harness.content() == expected);
    CHECK(fileCount(harness.directory()) <= 16);
    REQUIRE(harness.syncAndWait());
    harness.losePower();
    CHECK(harness.content() == expected);
}

TEST_CASE("A few records that never change don't keep the ring long") {
    RingOptions options = smallRing();
    options.capacity_bytes = 64 * 4096;
    RingHarness harness(8, options);
    REQUIRE(harness.store().put("stays", std::string(200, 's')));
    for (int i = 0; i < 1000; ++i) {
        REQUIRE(harness.store().put("changes", std::string(300, 'c')));
        REQUIRE(harness.syncAndWait());
    }
    CHECK(harness.store().read("stays") == std::string(200, 's'));
    CHECK(fileCount(harness.directory()) <= 10);
    CHECK(harness.ring().statistics().bytes_rewritten < 1000 * 300 / 20);
}

TEST_CASE("Records removed in write order are not rewritten by cleaning") {
    RingHarness harness(22);
    constexpr int kInUse = 20;
    for (int i = 0; i < 2000; ++i) {
        REQUIRE(harness.store().put(keyOf(i), std::string(300, 'v')));
        if (i >= kInUse) harness.store().erase(keyOf(i - kInUse));
        REQUIRE(harness.syncAndWait());
    }
    CHECK(harness.content().size() == kInUse);
    CHECK(harness.ring().statistics().records_rewritten == 0);
}

// Fills the ring with records of this size until it refuses repeatedly. Returns the number of records stored.
int fill(RingHarness& harness, std::size_t value_bytes) {
    constexpr int kRefusals = 40;
    int taken = 0;
    for (int refusals = 0; refusals < kRefusals;) {
        if (taken % 16 == 0 || refusals > 0) REQUIRE(harness.syncAndWait());
        const bool refused = !harness.store().put(keyOf(taken), std::string(value_bytes, 'f'));
        refusals = refused ? refusals + 1 : 0;
        taken += refused ? 0 : 1;
    }
    return taken;
}

void checkFullRing(std::size_t value_bytes, bool newest_first) {
    CAPTURE(value_bytes);
    CAPTURE(newest_first);
    RingHarness harness(10);
    const int count = fill(harness, value_bytes);
    REQUIRE(harness.content().size() == static_cast<std::size_t>(count));
    CHECK_FALSE(harness.store().put(keyOf(count), std::string(value_bytes, 'm')));
    REQUIRE(harness.syncAndWait());
    harness.restart();
    CHECK(harness.content().size() == static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        harness.store().erase(keyOf(newest_first ? count - 1 - i : i));
        if (i % 16 == 0) REQUIRE(harness.syncAndWait());
        if (i % 100 == 0) REQUIRE(harness.content().size() == static_cast<std::size_t>(count - 1 - i));
    }
    REQUIRE(harness.syncAndWait());
    CHECK(harness.store().usage().live_bytes == 0);
    harness.losePower();
    CHECK(harness.content().empty());
    const int again = fill(harness, value_bytes);
    CHECK(again > count * 9 / 10);
    CHECK(fileCount(harness.directory()) <= 16);
}

TEST_CASE("A full ring refuses puts but stays readable, and removals free space again") {
    for (const std::size_t value_bytes : {0U, 20U, 300U, 1500U, 2500U, 4000U}) {
        checkFullRing(value_bytes, false);
        checkFullRing(value_bytes, true);
    }
}

TEST_CASE("A nearly full ring accepts changes of its records") {
    RingHarness harness(11);
    std::mt19937_64 random(11);
    Records expected;
    std::size_t refused = 0;
    for (int i = 0; i < 20'000; ++i) {
        const std::string key = keyOf(static_cast<int>(random() % 150));
        const std::string value(200 + random() % 150, static_cast<char>('a' + i % 26));
        if (harness.store().put(key, value)) {
            expected[key] = value;
        } else {
            ++refused;
        }
        if (i % 8 == 0) REQUIRE(harness.syncAndWait());
        if (i % 1000 == 0) REQUIRE(harness.content() == expected);
    }
    CHECK(expected.size() == 150);
    CHECK(refused < 200);
    harness.restart();
}

TEST_CASE("A record larger than a segment is refused") {
    RingHarness harness(12);
    CHECK_FALSE(harness.store().put("a", std::string(4096, 'v')));
    const std::size_t largest = 4096 - kSegmentHeaderBytes - kRecordHeaderBytes - 1;
    CHECK_FALSE(harness.store().put("a", std::string(largest + 1, 'v')));
    CHECK(harness.store().put("a", std::string(largest, 'v')));
    REQUIRE(harness.syncAndWait());
    harness.losePower();
    CHECK(harness.store().read("a") == std::string(largest, 'v'));
}

TEST_CASE("The ring of a register accepts repeated changes of its largest value") {
    constexpr int kChanges = 60;  // more than twice around the ring
    RingOptions options;
    options.capacity_bytes = kRegisterRingBytes;
    options.segment_bytes = kRegisterSegmentBytes;
    RingHarness harness(23, options);
    Records expected{{"register/voters", std::string(300, 'v')}};
    REQUIRE(harness.store().put("register/voters", expected["register/voters"]));
    for (int i = 0; i < kChanges; ++i) {
        CAPTURE(i);
        expected["register/promised/config"] = keyOf(i);
        expected["register/accepted/config"] =
            std::string(kMaxConfigurationValueBytes, static_cast<char>('a' + i % 26));
        for (const char* key : {"register/promised/config", "register/accepted/config"}) {
            REQUIRE(harness.store().put(key, expected[key]));
            REQUIRE(harness.syncAndWait());
        }
    }
    CHECK((harness.content() == expected));
    harness.losePower();
    CHECK((harness.content() == expected));
}

TEST_CASE("Memory use is bounded while the disk stalls") {
    RingOptions options = smallRing();
    options.capacity_bytes = 64 * 4096;
    options.max_unsynced_bytes = 10'000;
    RingHarness harness(15, options);
    harness.disk().holdSyncs();
    harness.store().sync([](bool) {});
    int taken = 0;
    while (taken < 1000 && harness.store().put(keyOf(taken), std::string(500, 'v'))) ++taken;
    CHECK(taken < 25);
    CHECK(harness.content().size() == static_cast<std::size_t>(taken));
    harness.disk().releaseSyncs();
    REQUIRE(harness.syncAndWait());
    CHECK(harness.store().put("goes on", "v"));
}

TEST_CASE("A ring can be opened with other sizes") {
    RingHarness harness(16);
    Records expected;
    for (int i = 0; i < 40; ++i) {
        expected[keyOf(i)] = std::string(static_cast<std::size_t>(i) * 20, 'v');
        REQUIRE(harness.store().put(keyOf(i), expected[keyOf(i)]));
    }
    REQUIRE(harness.syncAndWait());
    for (const std::uint32_t segment_bytes : {2048U, 8192U, 1024U, 4096U}) {
        CAPTURE(segment_bytes);
        harness.close();
        harness.setOptions({128 * 2048, segment_bytes, 1 << 20});
        harness.open();
        REQUIRE(harness.content() == expected);
        for (int i = 0; i < 2000; ++i) {
            CAPTURE(i);
            expected["hot"] = std::string(100, static_cast<char>('a' + i % 26));
            REQUIRE(harness.store().put("hot", expected["hot"]));
            REQUIRE(harness.syncAndWait());
        }
        REQUIRE(harness.content() == expected);
    }
}

}  // namespace
}  // namespace amberswitch::cluster
