// Contract tests for implementations of RecordStore. A test program provides a harness for its store and
// passes it to testRecordStoreContract.
#pragma once

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/storage/record_store.hpp"

namespace amberswitch::cluster {

// Owns a store and its disk, which outlives the store.
class RecordStoreHarness {
public:
    virtual ~RecordStoreHarness() = default;
    virtual RecordStore& store() = 0;
    // Reopens the store as a new process; unsynced changes may survive.
    virtual void restart() = 0;
    // Loses power and reopens the store as a new process.
    virtual void losePower() = 0;
    virtual void wipe() = 0;
    // While stalled, syncs don't complete.
    virtual void setStalled(bool stalled) = 0;
    // Makes the disk fail or work again; the store detects it by itself.
    virtual void setFailing(bool failing) = 0;
    // Runs the scheduler until the condition holds. Returns false on a timeout.
    virtual bool runUntil(const std::function<bool()>& holds) = 0;
    // Runs the tasks that are due now.
    virtual void runPending() = 0;

    // Syncs and waits. Returns true if the changes are durable.
    bool syncAndWait() {
        std::optional<bool> durable;
        store().sync([&durable](bool result) { durable = result; });
        const bool answered = runUntil([&durable] { return durable.has_value(); });
        return answered && *durable;
    }
    std::map<std::string, std::string> content() {
        std::map<std::string, std::string> records;
        store().forEach([&records](std::string_view key, const std::string& value) {
            const bool is_new = records.emplace(key, value).second;
            CHECK(is_new);
        });
        return records;
    }
};

using HarnessFactory = std::function<std::unique_ptr<RecordStoreHarness>(std::uint64_t seed)>;
using Records = std::map<std::string, std::string>;

inline void checkReadsItsWrites(const HarnessFactory& make) {
    const auto harness = make(1);
    RecordStore& store = harness->store();
    CHECK(store.wasEmpty());
    CHECK(store.put("a", "one"));
    CHECK(store.put("b", ""));
    CHECK(store.put("", "no key"));
    CHECK(store.read("a") == "one");
    CHECK(store.read("b") == "");
    CHECK(store.read("") == "no key");
    CHECK(store.read("c") == std::nullopt);
    CHECK(store.put("a", std::string("\0two", 4)));
    CHECK(store.read("a") == std::string("\0two", 4));
    store.erase("b");
    store.erase("never there");
    CHECK(store.read("b") == std::nullopt);
    CHECK(harness->content() == Records{{"", "no key"}, {"a", std::string("\0two", 4)}});
    CHECK(harness->syncAndWait());
    CHECK(harness->content() == Records{{"", "no key"}, {"a", std::string("\0two", 4)}});
    CHECK(store.read("a") == std::string("\0two", 4));
}

inline void checkKeepsSyncedRecords(const HarnessFactory& make) {
    const auto harness = make(2);
    CHECK(harness->store().put("kept", std::string(300, 'k')));
    CHECK(harness->store().put("changed", "before"));
    CHECK(harness->store().put("removed", "x"));
    CHECK(harness->store().put("changed", "after"));
    harness->store().erase("removed");
    CHECK(harness->syncAndWait());
    const Records expected{{"changed", "after"}, {"kept", std::string(300, 'k')}};
    harness->restart();
    CHECK_FALSE(harness->store().wasEmpty());
    CHECK(harness->content() == expected);
    harness->losePower();
    CHECK_FALSE(harness->store().wasEmpty());
    CHECK(harness->content() == expected);
    CHECK(harness->store().read("kept") == std::string(300, 'k'));
}

inline void checkIsEmptyAfterWipe(const HarnessFactory& make) {
    const auto harness = make(3);
    CHECK(harness->store().put("a", "1"));
    CHECK(harness->syncAndWait());
    harness->wipe();
    CHECK(harness->store().wasEmpty());
    CHECK(harness->content().empty());
    CHECK(harness->store().usage().live_bytes == 0);
}

inline void checkAnswersSyncsInOrder(const HarnessFactory& make) {
    const auto harness = make(4);
    std::vector<int> answered;
    for (int i = 0; i < 20; ++i) {
        if (i % 3 != 2) CHECK(harness->store().put("key" + std::to_string(i), "value"));
        harness->store().sync([&answered, i](bool durable) {
            CHECK(durable);
            answered.push_back(i);
        });
        if (i % 7 == 0) harness->runPending();
    }
    CHECK(harness->runUntil([&answered] { return answered.size() == 20; }));
    for (int i = 0; i < 20; ++i) CHECK(answered[static_cast<std::size_t>(i)] == i);
}

inline void checkNeverAnswersSynchronously(const HarnessFactory& make) {
    const auto harness = make(5);
    bool answered = false;
    harness->store().sync([&answered](bool) { answered = true; });
    CHECK_FALSE(answered);
    CHECK(harness->runUntil([&answered] { return answered; }));
}

inline void checkWaitsForAStalledDisk(const HarnessFactory& make) {
    const auto harness = make(6);
    CHECK(harness->store().put("before", "1"));
    CHECK(harness->syncAndWait());
    harness->setStalled(true);
    CHECK(harness->store().put("held", std::string(100, 'h')));
    std::optional<bool> durable;
    harness->store().sync([&durable](bool result) { durable = result; });
    harness->runPending();
    CHECK_FALSE(durable.has_value());
    CHECK(harness->store().put("later", "2"));
    CHECK(harness->store().read("held") == std::string(100, 'h'));
    CHECK(harness->store().read("later") == "2");
    CHECK(harness->content().size() == 3);
    harness->setStalled(false);
    CHECK(harness->runUntil([&durable] { return durable.has_value(); }));
    CHECK(durable == true);
    CHECK(harness->syncAndWait());
    harness->losePower();
    CHECK(harness->content().size() == 3);
}

inline void checkStaysReadableWhileItFails(const HarnessFactory& make) {
    const auto harness = make(7);
    CHECK(harness->store().put("old", "1"));
    CHECK(harness->syncAndWait());
    CHECK(harness->store().healthy());
    harness->setFailing(true);
    CHECK(harness->store().put("new", "2"));
    CHECK_FALSE(harness->syncAndWait());
    CHECK_FALSE(harness->store().healthy());
    CHECK_FALSE(harness->syncAndWait());
    CHECK_FALSE(harness->store().put("refused", "3"));
    CHECK(harness->store().read("old") == "1");
    CHECK(harness->store().read("new") == "2");
    CHECK(harness->store().read("refused") == std::nullopt);
    harness->store().erase("old");
    CHECK(harness->store().read("old") == std::nullopt);
    CHECK_FALSE(harness->syncAndWait());
}

// All changes staged before or during a failure are durable once the store is healthy again.
inline void checkRecoversAfterFailure(const HarnessFactory& make) {
    const auto harness = make(10);
    std::vector<bool> health_changes;
    harness->store().onHealthChange([&health_changes](bool healthy) { health_changes.push_back(healthy); });
    CHECK(harness->store().put("old", "1"));
    CHECK(harness->store().put("gone", "x"));
    CHECK(harness->syncAndWait());
    for (int round = 0; round < 3; ++round) {
        CAPTURE(round);
        harness->setFailing(true);
        const std::string key = "new" + std::to_string(round);
        CHECK(harness->store().put(key, std::string(200, 'n')));
        CHECK_FALSE(harness->syncAndWait());
        CHECK(harness->runUntil(
            [&health_changes] { return !health_changes.empty() && !health_changes.back(); }));
        CHECK(harness->store().putFromReserve("promise", key));
        harness->store().erase("gone");
        harness->runPending();
        harness->setFailing(false);
        CHECK(harness->runUntil([&health_changes] { return health_changes.back(); }));
        CHECK(harness->store().healthy());
        CHECK(harness->store().put("after", key));
        CHECK(harness->syncAndWait());
        harness->losePower();
        harness->store().onHealthChange(
            [&health_changes](bool healthy) { health_changes.push_back(healthy); });
        CHECK(harness->store().read(key) == std::string(200, 'n'));
        CHECK(harness->store().read("promise") == key);
        CHECK(harness->store().read("after") == key);
        CHECK(harness->store().read("old") == "1");
        CHECK(harness->store().read("gone") == std::nullopt);
    }
    CHECK(health_changes == std::vector<bool>{false, true, false, true, false, true});
}

// After a power loss during a failure, the store holds either the durable value or the one staged later.
inline void checkPowerLossWhileItFails(const HarnessFactory& make) {
    const auto harness = make(11);
    CHECK(harness->store().put("old", std::string(1000, 'o')));
    CHECK(harness->syncAndWait());
    harness->setFailing(true);
    CHECK(harness->store().put("old", std::string(1500, 'n')));
    CHECK_FALSE(harness->syncAndWait());
    harness->setFailing(false);
    harness->losePower();
    const auto found = harness->store().read("old");
    const bool is_one_of_both = found == std::string(1000, 'o') || found == std::string(1500, 'n');
    CHECK(is_one_of_both);
}

inline void checkRefusesWhenFull(const HarnessFactory& make) {
    const auto harness = make(8);
    Records expected;
    bool refused = false;
    for (int i = 0; i < 100'000 && !refused; ++i) {
        const std::string key = "key" + std::to_string(i);
        refused = !harness->store().put(key, std::string(400, 'v'));
        if (!refused) expected.emplace(key, std::string(400, 'v'));
        if (i % 50 == 0) CHECK(harness->syncAndWait());
    }
    CHECK(refused);
    const StoreUsage usage = harness->store().usage();
    CHECK(usage.live_bytes <= usage.capacity_bytes);
    CHECK(usage.live_bytes > usage.capacity_bytes / 2);
    CHECK(harness->content() == expected);
    for (int i = 0; i < 20; ++i) harness->store().erase("key" + std::to_string(i));
    CHECK(harness->syncAndWait());
    CHECK(harness->store().put("again", std::string(400, 'v')));
    CHECK(harness->syncAndWait());
    harness->losePower();
    CHECK(harness->content().size() == expected.size() - 19);
}

// Callbacks of a destroyed store never run.
inline void checkDropsCallbacksOnDestruction(const HarnessFactory& make) {
    const auto harness = make(9);
    bool answered = false;
    CHECK(harness->store().put("a", "1"));
    harness->store().sync([&answered](bool) { answered = true; });
    harness->restart();
    CHECK(harness->syncAndWait());
    harness->runPending();
    CHECK_FALSE(answered);
}

// Model of a store's contents: the changes since the last crash, and how many of them are durable.
class CrashModel {
public:
    void put(const std::string& key, const std::string& value) { add({key, value}); }
    void erase(const std::string& key) { add({key, std::nullopt}); }
    const Records& current() const { return current_; }
    std::size_t changes() const { return changes_.size(); }
    // Records that the first `count` changes are durable.
    void synced(std::size_t count) { durable_count_ = std::max(durable_count_, count); }
    // Returns whether the content results from a prefix of the changes that includes all durable ones.
    // Continues from this content.
    bool accept(const Records& content) {
        Records state = base_;
        bool matched = false;
        for (std::size_t count = 0; count <= changes_.size() && !matched; ++count) {
            if (count > 0) apply(state, changes_[count - 1]);
            matched = count >= durable_count_ && state == content;
        }
        base_ = current_ = content;
        changes_.clear();
        durable_count_ = 0;
        return matched;
    }

private:
    struct Change {
        std::string key;
        std::optional<std::string> value;
    };
    static void apply(Records& records, const Change& change) {
        if (change.value) {
            records.insert_or_assign(change.key, *change.value);
        } else {
            records.erase(change.key);
        }
    }
    void add(const Change& change) {
        apply(current_, change);
        changes_.push_back(change);
    }

    Records base_;
    Records current_;
    std::vector<Change> changes_;
    std::size_t durable_count_ = 0;
};

// Applies random changes with restarts and power losses. After each of these the store must hold a prefix of
// the staged changes that includes all changes reported as durable.
inline void checkRandomCrashes(const HarnessFactory& make, std::uint64_t seed, int rounds,
                               bool fails_at_times = false) {
    CAPTURE(seed);
    const auto harness = make(seed);
    std::mt19937_64 random(seed);
    CrashModel model;
    for (int round = 0; round < rounds; ++round) {
        CAPTURE(round);
        const auto model_access = std::make_shared<CrashModel*>(&model);
        const auto changes = random() % 120;
        for (std::uint64_t i = 0; i < changes; ++i) {
            const std::string key = "k" + std::to_string(random() % 40);
            const auto choice = random() % 10;
            if (choice < 6) {
                const std::string value(random() % 300, static_cast<char>('a' + random() % 26));
                if (harness->store().put(key, value)) model.put(key, value);
            } else if (fails_at_times && random() % 12 == 0) {
                harness->setFailing(random() % 2 == 0);
            } else if (choice < 8) {
                harness->store().erase(key);
                if (model.current().contains(key)) model.erase(key);
            } else if (choice == 8) {
                harness->store().sync([model_access, count = model.changes()](bool durable) {
                    if (durable && *model_access) (*model_access)->synced(count);
                });
            } else {
                harness->runPending();
            }
        }
        if (fails_at_times) harness->setFailing(random() % 4 == 0);
        if (random() % 2 == 0) {
            const bool synced = harness->syncAndWait();
            if (synced) model.synced(model.changes());
            if (!fails_at_times) CHECK(synced);
        }
        REQUIRE(harness->content() == model.current());
        harness->setFailing(false);
        if (random() % 3 == 0) {
            harness->restart();
        } else {
            harness->losePower();
        }
        *model_access = nullptr;
        CHECK_FALSE(harness->store().hasMissingRecords());
        REQUIRE(model.accept(harness->content()));
    }
}

inline void testRecordStoreContract(const HarnessFactory& make) {
    SUBCASE("reads its writes") {
        checkReadsItsWrites(make);
    }
    SUBCASE("keeps synced records") {
        checkKeepsSyncedRecords(make);
    }
    SUBCASE("is empty after a wipe") {
        checkIsEmptyAfterWipe(make);
    }
    SUBCASE("answers syncs in call order") {
        checkAnswersSyncsInOrder(make);
    }
    SUBCASE("never answers a sync synchronously") {
        checkNeverAnswersSynchronously(make);
    }
    SUBCASE("waits for a stalled disk") {
        checkWaitsForAStalledDisk(make);
    }
    SUBCASE("stays readable while it fails") {
        checkStaysReadableWhileItFails(make);
    }
    SUBCASE("recovers after a failure") {
        checkRecoversAfterFailure(make);
    }
    SUBCASE("power loss during a failure") {
        checkPowerLossWhileItFails(make);
    }
    SUBCASE("refuses when full") {
        checkRefusesWhenFull(make);
    }
    SUBCASE("drops callbacks on destruction") {
        checkDropsCallbacksOnDestruction(make);
    }
    SUBCASE("random crashes") {
        for (std::uint64_t seed = 100; seed < 130; ++seed) checkRandomCrashes(make, seed, 25);
    }
    SUBCASE("random crashes with disk failures") {
        for (std::uint64_t seed = 200; seed < 230; ++seed) checkRandomCrashes(make, seed, 25, true);
    }
}

}  // namespace amberswitch::cluster
