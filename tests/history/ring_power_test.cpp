// Simulates a power loss after each write and sync of a ring with constant cleaning and reuse. Synced records
// must survive in every state in which the disk may be left.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/storage/ring_store.hpp"
#include "tests/cluster/manual_scheduler.hpp"
#include "tests/history/disk_journal.hpp"
#include "tests/history/seeds.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::history;

namespace {

using Content = std::map<std::string, std::string>;

constexpr std::uint32_t kSegmentBytes = 2048;
constexpr int kSteps = 90;
constexpr int kMaxChangesPerSync = 4;  // between two syncs

// An open ring whose sync() waits for the result.
class RingSession {
public:
    RingSession(const std::string& folder, const RingOptions& options)
        : store_(scheduler_, folder, options) {}
    RingStore& store() { return store_; }
    bool sync() {
        std::optional<bool> durable;
        store_.sync([&durable](bool result) { durable = result; });
        return scheduler_.runUntil([&durable] { return durable.has_value(); }) && *durable;
    }
    Content content() const {
        Content all;
        store_.forEach([&all](std::string_view key, const std::string& value) { all.emplace(key, value); });
        return all;
    }

private:
    ManualScheduler scheduler_;
    RingStore store_;
};

// The number of changes that were synced after that many disk steps.
struct SyncPoint {
    std::size_t disk_steps = 0;
    std::size_t changes = 0;
};

// A seeded run of a ring: the content after each change, the syncs, and the recorded disk steps.
struct RecordedRun {
    RingOptions options;
    std::vector<Content> contents{{}};  // index: number of changes
    std::vector<SyncPoint> syncs{{}};
    std::vector<DiskStep> steps;
    RingStatistics statistics;
};

void change(RingStore& store, std::mt19937_64& random, Content& content) {
    // Some keys are rarely written again, so that cleaning has to rewrite their records.
    const bool stays = random() % 10 == 0;
    const std::string key = (stays ? "stays" : "hot") + std::to_string(random() % (stays ? 12 : 5));
    if (!stays && random() % 5 == 0) {
        store.erase(key);
        content.erase(key);
        return;
    }
    const std::string value(random() % 500, static_cast<char>('a' + random() % 26));
    if (store.put(key, value)) content[key] = value;
}

RecordedRun recordRun(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    RecordedRun run;
    run.options.segment_bytes = kSegmentBytes;
    run.options.capacity_bytes = kSegmentBytes * (7 + seed % 3);
    const ScratchFolder folder;
    const std::string path = folder.path() + "/ring";
    DiskJournal journal(path);
    RingSession ring(path, run.options);
    for (int step = 0; step < kSteps; ++step) {
        const auto changes = 1 + random() % kMaxChangesPerSync;
        for (std::uint64_t index = 0; index < changes; ++index) {
            Content next = run.contents.back();
            change(ring.store(), random, next);
            run.contents.push_back(std::move(next));
        }
        REQUIRE(ring.sync());
        run.syncs.push_back({journal.size(), run.contents.size() - 1});
    }
    run.statistics = ring.store().statistics();
    run.steps = journal.steps();
    return run;
}

// Returns the index of the last sync completed within that many disk steps.
std::size_t lastSync(const RecordedRun& run, std::size_t steps) {
    std::size_t last = 0;
    while (last + 1 < run.syncs.size() && run.syncs[last + 1].disk_steps <= steps) ++last;
    return last;
}

// Returns whether each key has its synced value or one that was written later.
bool holdsSynced(const RecordedRun& run, const Content& found, std::size_t from, std::size_t to) {
    std::map<std::string, bool> good;
    for (std::size_t index = from; index <= to; ++index) {
        for (const auto& [key, value] : run.contents[index]) good.try_emplace(key, false);
    }
    for (const auto& [key, value] : found) good.try_emplace(key, false);
    for (auto& [key, is_good] : good) {
        const auto now = found.find(key);
        for (std::size_t index = from; index <= to && !is_good; ++index) {
            const auto then = run.contents[index].find(key);
            const bool absent = then == run.contents[index].end();
            is_good = absent ? now == found.end() : now != found.end() && now->second == then->second;
        }
        if (!is_good) return false;
    }
    return true;
}

struct Totals {
    std::size_t states = 0;
    std::size_t rewritten = 0;
    std::size_t segments = 0;
};

void checkState(const RecordedRun& run, std::size_t count, PowerLoss loss, std::mt19937_64& random,
                const std::string& folder) {
    CAPTURE(count);
    CAPTURE(static_cast<int>(loss));
    writeFiles(folder, filesAfter(run.steps, count, kSegmentBytes, loss, random));
    const std::size_t last = lastSync(run, count);
    const std::size_t from = run.syncs[last].changes;
    const std::size_t to = last + 1 < run.syncs.size() ? run.syncs[last + 1].changes : from;
    Content found;
    {
        RingSession ring(folder, run.options);
        found = ring.content();
        REQUIRE(holdsSynced(run, found, from, to));
        if (random() % 4 != 0) return;
        // The records found remain until they are changed, whatever the next process writes.
        for (int index = 0; index < 12; ++index) {
            const std::string value(400, static_cast<char>('A' + index));
            if (ring.store().put("next", value)) found["next"] = value;
            REQUIRE(ring.sync());
        }
    }
    RingSession again(folder, run.options);
    REQUIRE(again.content() == found);
}

void checkPowerLossAtEachStep(std::uint64_t seed, Totals& totals) {
    CAPTURE(seed);
    const RecordedRun run = recordRun(seed);
    std::mt19937_64 random(seed + 1);
    const ScratchFolder folder;
    for (std::size_t count = 0; count <= run.steps.size(); ++count) {
        for (const PowerLoss loss :
             {PowerLoss::keeps_all, PowerLoss::tears_last, PowerLoss::keeps_synced, PowerLoss::keeps_some}) {
            checkState(run, count, loss, random, folder.path() + "/ring");
            ++totals.states;
        }
    }
    totals.rewritten += run.statistics.records_rewritten;
    totals.segments += run.statistics.segments_started;
}

}  // namespace

TEST_CASE("a power loss after any write or sync of a ring during cleaning loses no synced record") {
    Totals totals;
    const SeedRange seeds = seedRange({1, 6});
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) checkPowerLossAtEachStep(seed, totals);
    MESSAGE(totals.states << " states of the disk, " << totals.segments << " segments begun, "
                          << totals.rewritten << " records rewritten by cleaning");
    CHECK(totals.rewritten > 50 * (seeds.last - seeds.first + 1));
}
