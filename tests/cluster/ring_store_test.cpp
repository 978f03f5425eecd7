// Tests specific to the on-disk ring: torn tails, damage, reuse of files, space, and the report for
// operators.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "cluster/storage/ring_store.hpp"

#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <vector>

#include "cluster/storage/inspect.hpp"
#include "cluster/storage/storage_error.hpp"
#include "tests/cluster/ring_harness.hpp"

namespace amberswitch::cluster {
namespace {

using ring_test::fileCount;
using ring_test::keyOf;
using ring_test::RingHarness;
using ring_test::smallRing;

// Returns the offsets of the records of a segment, followed by the end offset of the last one.
std::vector<std::size_t> recordOffsets(const std::string& path) {
    SegmentFile file(path);
    REQUIRE(file.openForReading());
    SegmentReader reader(file);
    const auto header = readSegmentHeader(reader);
    REQUIRE(header.has_value());
    std::vector<std::size_t> offsets;
    const std::uint64_t end = scanRecords(
        reader, *header, [&offsets](std::uint64_t offset, const RecordView&) { offsets.push_back(offset); });
    offsets.push_back(end);
    return offsets;
}

// Writes and syncs three records in the first segment and closes the store.
Records writeThreeRecords(RingHarness& harness) {
    const Records records{{"a", "first value"}, {"b", "second value"}, {"c", "third value"}};
    for (const auto& [key, value] : records) REQUIRE(harness.store().put(key, value));
    REQUIRE(harness.syncAndWait());
    harness.close();
    return records;
}

TEST_CASE("A record truncated at any byte is dropped, and no earlier one") {
    RingHarness harness(1);
    Records expected = writeThreeRecords(harness);
    expected.erase("c");
    const std::string path = segmentPath(harness.directory(), 0);
    const std::string whole = ring_test::readFile(path);
    const std::vector<std::size_t> offsets = recordOffsets(path);
    REQUIRE(offsets.size() == 4);
    for (std::size_t cut = offsets[2]; cut < offsets[3]; ++cut) {
        CAPTURE(cut);
        std::string zeroed = whole;
        std::fill(zeroed.begin() + static_cast<std::ptrdiff_t>(cut), zeroed.end(), '\0');
        std::string garbled = whole;
        for (std::size_t i = cut; i < offsets[3]; ++i) garbled[i] = static_cast<char>(garbled[i] ^ 0x5a);
        for (const std::string& torn : {whole.substr(0, cut), zeroed, garbled}) {
            ring_test::writeFile(path, torn);
            harness.open();
            // If the last bytes of the record are zeros, zeroing them leaves it intact.
            if (torn.compare(0, offsets[3], whole, 0, offsets[3]) != 0) CHECK(harness.content() == expected);
            CHECK(harness.store().put("d", "after the crash"));
            CHECK(harness.syncAndWait());
            harness.restart();
            CHECK(harness.store().read("d") == "after the crash");
            CHECK(harness.store().read("b") == expected["b"]);
            harness.close();
            std::filesystem::remove(segmentPath(harness.directory(), 1));
        }
    }
}

TEST_CASE("A flipped bit is detected at any position") {
    RingHarness harness(2);
    const Records records = writeThreeRecords(harness);
    const std::string path = segmentPath(harness.directory(), 0);
    const std::string whole = ring_test::readFile(path);
    const std::vector<std::size_t> offsets = recordOffsets(path);
    for (std::size_t position = 0; position < offsets[3]; ++position) {
        CAPTURE(position);
        std::string damaged = whole;
        damaged[position] = static_cast<char>(damaged[position] ^ 1);
        ring_test::writeFile(path, damaged);
        harness.open();
        CHECK(harness.store().wasEmpty() == (position < kSegmentHeaderBytes));
        for (std::size_t i = 0; i < 3; ++i) {
            const std::string key(1, static_cast<char>('a' + i));
            const bool intact = position >= offsets[i + 1];
            CHECK(harness.store().read(key) == (intact ? std::optional(records.at(key)) : std::nullopt));
        }
        harness.close();
    }
}

TEST_CASE("Damage that occurs while the ring is open makes reads throw") {
    RingHarness harness(3);
    REQUIRE(harness.store().put("a", std::string(100, 'a')));
    REQUIRE(harness.syncAndWait());
    const std::string path = segmentPath(harness.directory(), 0);
    std::fstream file(path, std::ios::binary | std::ios::in | std::ios::out);
    file.seekp(static_cast<std::streamoff>(kSegmentHeaderBytes + kRecordHeaderBytes + 50));
    file.put('x');
    file.close();
    CHECK_THROWS_AS(harness.store().read("a"), StorageError);
    CHECK_THROWS_AS(harness.content(), StorageError);
}

TEST_CASE("forEach works while records are written to the disk") {
    RingHarness harness(3);
    REQUIRE(harness.store().put("a", "first"));
    REQUIRE(harness.syncAndWait());
    REQUIRE(harness.store().put("b", "second"));
    Records seen;
    harness.store().forEach([&](std::string_view key, const std::string& value) {
        seen.emplace(key, value);
        REQUIRE(harness.syncAndWait());
    });
    CHECK(seen == Records{{"a", "first"}, {"b", "second"}});
}

TEST_CASE("A missing file loses only its own records") {
    RingHarness harness(4);
    for (int i = 0; i < 30; ++i) REQUIRE(harness.store().put(keyOf(i), std::string(400, 'v')));
    REQUIRE(harness.syncAndWait());
    harness.close();
    REQUIRE(fileCount(harness.directory()) >= 4);
    std::filesystem::remove(segmentPath(harness.directory(), 1));
    harness.open();
    const std::size_t left = harness.content().size();
    CHECK(left < 30);
    CHECK(left >= 20);
    CHECK(harness.store().read(keyOf(0)).has_value());
    CHECK(harness.store().read(keyOf(29)).has_value());
    CHECK(harness.store().put("new", "value"));
    CHECK(harness.syncAndWait());
    harness.restart();
    CHECK(harness.content().size() == left + 1);
}

TEST_CASE("Files of other lengths, empty files and unrelated files are tolerated") {
    RingHarness harness(5);
    const Records records = writeThreeRecords(harness);
    ring_test::writeFile(segmentPath(harness.directory(), 1), "");
    ring_test::writeFile(segmentPath(harness.directory(), 2), "short");
    ring_test::writeFile(segmentPath(harness.directory(), 3), std::string(10'000, 'z'));
    ring_test::writeFile(harness.directory() + "/segment-x.ring", "no number");
    ring_test::writeFile(harness.directory() + "/notes.txt", "not ours");
    harness.open();
    CHECK(harness.content() == records);
    for (int i = 0; i < 40; ++i) {
        REQUIRE(harness.store().put(keyOf(i), std::string(300, 'v')));
    }
    REQUIRE(harness.syncAndWait());
    harness.restart();
    CHECK(harness.content().size() == 43);
    for (std::size_t slot = 1; slot <= 3; ++slot) {
        CHECK(std::filesystem::file_size(segmentPath(harness.directory(), slot)) == 4096);
    }
}

TEST_CASE("Stale records of an earlier use of a file never reappear") {
    // All records have the same size, so stale records directly follow those of the current use.
    RingHarness harness(6);
    Records expected;
    for (int i = 0; i < 2000; ++i) {
        const std::string key = keyOf(i % 7);
        const std::string value = std::to_string(10'000 + i) + std::string(200, 'v');
        REQUIRE(harness.store().put(key, value));
        expected[key] = value;
        if (i % 3 == 0) REQUIRE(harness.syncAndWait());
        if (i % 41 != 0) continue;
        REQUIRE(harness.syncAndWait());
        harness.restart();
        REQUIRE(harness.content() == expected);
    }
    CHECK(fileCount(harness.directory()) < 16);
}

// Simulates a power loss that loses only the first block of an unsynced segment.
void loseHeader(const std::string& path) {
    std::string content = ring_test::readFile(path);
    content.replace(0, kSegmentHeaderBytes, kSegmentHeaderBytes, '\0');
    ring_test::writeFile(path, content);
}

TEST_CASE("Records behind a lost header don't reappear when the next process writes the same segment") {
    RingHarness harness(19);
    REQUIRE(harness.store().put("base", std::string(1000, 'b')));
    REQUIRE(harness.syncAndWait());
    harness.restart();
    for (const char* key : {"x", "y", "z"}) REQUIRE(harness.store().put(key, "ghost"));
    REQUIRE(harness.syncAndWait());
    harness.close();
    loseHeader(segmentPath(harness.directory(), 1));
    harness.open();
    REQUIRE(harness.content().size() == 1);
    REQUIRE(harness.store().put("x", "later"));
    REQUIRE(harness.syncAndWait());
    harness.restart();
    CHECK(harness.content() == Records{{"base", std::string(1000, 'b')}, {"x", "later"}});
}

// Path of the file of the newest segment.
std::string newestPath(const std::string& directory) {
    std::vector<std::shared_ptr<SegmentFile>> files;
    for (std::size_t slot = 0; slot < slotCountInDirectory(directory); ++slot) {
        files.push_back(std::make_shared<SegmentFile>(segmentPath(directory, slot)));
    }
    return segmentPath(directory, readLayout(files, FileAccess::read_only).current.back().slot);
}

TEST_CASE("A removal stays effective when the header of a reused file is lost") {
    RingHarness harness(20);
    const auto overwriteUntilSegment = [&harness](std::uint64_t begun) {
        std::string value;
        while (harness.ring().statistics().segments_started < begun) {
            value = std::string(500, static_cast<char>('a' + value.size() % 26));
            REQUIRE(harness.store().put("filler", value));
        }
    };
    REQUIRE(harness.store().put("victim", "v"));
    REQUIRE(harness.store().put("holds the first segment", std::string(700, 'h')));
    overwriteUntilSegment(2);
    harness.store().erase("victim");
    overwriteUntilSegment(3);
    harness.store().erase("holds the first segment");
    REQUIRE(harness.syncAndWait());
    overwriteUntilSegment(4);  // reuses the file of the first or the second segment; both are released
    REQUIRE(harness.syncAndWait());
    harness.close();
    REQUIRE(fileCount(harness.directory()) == 3);
    loseHeader(newestPath(harness.directory()));
    harness.open();
    CHECK(harness.content().size() == 1);
    CHECK(harness.store().read("filler").has_value());
}

TEST_CASE("A sync covers records that were written earlier without a sync") {
    RingOptions options;
    options.capacity_bytes = 32 << 20;
    options.segment_bytes = 4 << 20;
    RingHarness harness(21, options);
    constexpr std::size_t kBytes = 2 * 1024 * 1024;  // more than is kept in memory without a sync
    const Records expected{{"large", std::string(kBytes, 'v')}};
    REQUIRE(harness.store().put("large", expected.at("large")));
    REQUIRE(harness.disk().waitUntilWritten(kBytes));
    REQUIRE(harness.syncAndWait());
    for (int i = 0; i < 8; ++i) {
        harness.losePower();
        REQUIRE(harness.content() == expected);
    }
}

TEST_CASE("A record is bound to the generation and the salt of its segment") {
    const SegmentHeader header{7, 3, 99};
    std::string bytes;
    appendRecord(bytes, header.checksumSeed(), RecordType::put, 1, "key", "value");
    CHECK(decodeRecord(bytes, header.checksumSeed()).has_value());
    CHECK_FALSE(decodeRecord(bytes, SegmentHeader{8, 3, 99}.checksumSeed()).has_value());
    CHECK_FALSE(decodeRecord(bytes, SegmentHeader{7, 3, 98}.checksumSeed()).has_value());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeRecord(std::string_view(bytes).substr(0, size), header.checksumSeed()).has_value());
    }
}

TEST_CASE("A removed key stays removed while its files are reused") {
    RingHarness harness(9);
    Records expected;
    for (int round = 0; round < 6; ++round) {
        REQUIRE(harness.store().put("victim", "value " + std::to_string(round)));
        for (int i = 0; i < 5 * (round + 1); ++i) {
            expected[keyOf(i)] = std::string(500, 'p');
            REQUIRE(harness.store().put(keyOf(i), expected[keyOf(i)]));
        }
        harness.store().erase("victim");
        for (int i = 0; i < 600; ++i) {
            expected[keyOf(i % 30)] = std::string(500, static_cast<char>('a' + i % 26));
            REQUIRE(harness.store().put(keyOf(i % 30), expected[keyOf(i % 30)]));
            if (i % 5 == 0) REQUIRE(harness.syncAndWait());
            if (i % 25 != 0) continue;
            if (i % 2 == 0) {
                harness.restart();
            } else {
                harness.losePower();
            }
            REQUIRE(harness.content() == expected);
        }
    }
}

TEST_CASE("Concurrent sync calls share a disk sync") {
    RingHarness harness(13);
    REQUIRE(harness.store().put("first", "1"));
    REQUIRE(harness.syncAndWait());
    harness.disk().holdSyncs();
    int answered = 0;
    for (int i = 0; i < 100; ++i) {
        REQUIRE(harness.store().put(keyOf(i), "v"));
        harness.store().sync([&answered](bool durable) { answered += durable ? 1 : 0; });
    }
    const std::uint64_t syncs_before = harness.disk().syncs;
    harness.disk().releaseSyncs();
    REQUIRE(harness.runUntil([&answered] { return answered == 100; }));
    // One for the pass that was blocked, one for the rest, and those between segments.
    CHECK(harness.disk().syncs - syncs_before <= 5);
}

TEST_CASE("A sync without changes does not touch the disk") {
    RingHarness harness(14);
    REQUIRE(harness.store().put("a", "1"));
    REQUIRE(harness.syncAndWait());
    const std::uint64_t syncs_before = harness.disk().syncs;
    CHECK(harness.syncAndWait());
    CHECK(harness.disk().syncs == syncs_before);
}

TEST_CASE("Invalid options and directories are refused") {
    ManualScheduler scheduler;
    ring_test::TemporaryFolder folder;
    CHECK_THROWS_AS(RingStore(scheduler, folder.path() + "/ring", {5 * 4096, 4096, 1}),
                    std::invalid_argument);
    CHECK_THROWS_AS(RingStore(scheduler, folder.path() + "/ring", {1 << 20, 0, 1}), std::invalid_argument);
    ring_test::writeFile(folder.path() + "/file", "in the way");
    CHECK_THROWS_AS(RingStore(scheduler, folder.path() + "/file", smallRing()), StorageError);
}

TEST_CASE("Unsynced records of a killed process are made durable before the next process reports them") {
    RingHarness harness(17);
    REQUIRE(harness.store().put("a", "1"));
    REQUIRE(harness.syncAndWait());
    // More than is kept in memory without a sync, so some of it is written but never synced.
    RingOptions options = smallRing();
    options.capacity_bytes = 8 << 20;
    options.segment_bytes = 1 << 20;
    RingHarness large(17, options);
    int written = 0;
    while (written < 7000) REQUIRE(large.store().put(keyOf(written++), std::string(300, 'v')));
    large.close();
    large.open();
    const Records seen = large.content();
    for (int i = 0; i < 3; ++i) {
        large.losePower();
        REQUIRE(large.content() == seen);
    }
}

TEST_CASE("Small rings survive many crashes") {
    for (std::uint64_t seed = 1000; seed < 1060; ++seed) {
        const auto make = [](std::uint64_t of_seed) {
            RingOptions options;
            options.segment_bytes = 1024 + static_cast<std::uint32_t>(of_seed % 4) * 256;
            options.capacity_bytes = options.segment_bytes * (6 + of_seed % 7);
            return std::make_unique<RingHarness>(of_seed, options);
        };
        checkRandomCrashes(make, seed, 40);
    }
}

TEST_CASE("The report names segments, live and dead bytes, and the first bad record") {
    RingHarness harness(18);
    for (const char* key : {"a", "b", "c"}) REQUIRE(harness.store().put(key, std::string(300, 'v')));
    REQUIRE(harness.syncAndWait());
    harness.restart();
    REQUIRE(harness.store().put("a", "changed"));
    harness.store().erase("b");
    REQUIRE(harness.syncAndWait());
    harness.close();
    ring_test::writeFile(segmentPath(harness.directory(), 3), "junk");
    std::ostringstream report;
    inspectRing(harness.directory(), report);
    CAPTURE(report.str());
    CHECK(report.str().find("slot 0 generation 1 oldest 1 puts 3 erases 0 live 1 live_bytes 333") !=
          std::string::npos);
    CHECK(report.str().find("puts 1 erases 1 live 1 live_bytes 40 dead_bytes 33") != std::string::npos);
    CHECK(report.str().find("slot 2 no file") != std::string::npos);
    CHECK(report.str().find("slot 3 no valid header") != std::string::npos);
    CHECK(report.str().find("segments 2 of 4 records 2 live_bytes 373") != std::string::npos);
    CHECK(report.str().find("bad_record_at") == std::string::npos);

    const std::string path = segmentPath(harness.directory(), 0);
    std::string damaged = ring_test::readFile(path);
    const std::size_t second_record = recordOffsets(path)[1];
    damaged[second_record + kRecordHeaderBytes] = 'X';
    ring_test::writeFile(path, damaged);
    std::ostringstream damaged_report;
    inspectRing(harness.directory(), damaged_report);
    CHECK(damaged_report.str().find("bad_record_at " + std::to_string(second_record)) != std::string::npos);
    CHECK(ring_test::readFile(path) == damaged);
    CHECK_THROWS_AS(inspectRing(harness.directory() + "/none", report), StorageError);
}

}  // namespace
}  // namespace amberswitch::cluster
