// Runs the contract tests of record stores with each implementation.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <memory>

#include "cluster/storage/memory_store.hpp"
#include "tests/cluster/record_store_contract.hpp"
#include "tests/cluster/ring_harness.hpp"
#include "tests/cluster/simulation.hpp"

namespace amberswitch::cluster {
namespace {

class MemoryHarness : public RecordStoreHarness {
public:
    explicit MemoryHarness(std::uint64_t seed) : world_(seed), disk_(seed) {
        disk_.capacity_bytes = 64 * 1024;
        open();
    }
    RecordStore& store() override { return *store_; }
    void restart() override {
        close();
        open();
    }
    void losePower() override {
        disk_.losePower();
        close();
        open();
    }
    void wipe() override {
        disk_.wipe();
        close();
        open();
    }
    void setStalled(bool stalled) override { disk_.setStalled(stalled); }
    void setFailing(bool failing) override { disk_.fail_syncs = failing; }
    bool runUntil(const std::function<bool()>& holds) override {
        return world_.runUntil(holds, Millis(10'000));
    }
    void runPending() override { world_.run(Millis(1)); }

private:
    void close() {
        store_.reset();
        scheduler_.reset();
    }
    void open() {
        scheduler_ = std::make_unique<simulation::SimulatedScheduler>(world_);
        store_ = std::make_unique<MemoryStore>(*scheduler_, disk_);
    }

    simulation::World world_;
    SimulatedDisk disk_;
    std::unique_ptr<simulation::SimulatedScheduler> scheduler_;
    std::unique_ptr<MemoryStore> store_;
};

TEST_CASE("MemoryStore fulfills the contract of record stores") {
    testRecordStoreContract([](std::uint64_t seed) { return std::make_unique<MemoryHarness>(seed); });
}

TEST_CASE("RingStore fulfills the contract of record stores") {
    testRecordStoreContract(
        [](std::uint64_t seed) { return std::make_unique<ring_test::RingHarness>(seed); });
}

TEST_CASE("RingStore fulfills the contract of record stores when writes fail instead of syncs") {
    testRecordStoreContract([](std::uint64_t seed) {
        auto harness = std::make_unique<ring_test::RingHarness>(seed);
        harness->failBySyncs(false);
        return harness;
    });
}

TEST_CASE("MemoryStore with refuse_puts refuses puts but accepts removals") {
    simulation::World world(1);
    simulation::SimulatedScheduler scheduler(world);
    SimulatedDisk disk(1);
    MemoryStore store(scheduler, disk);
    CHECK(store.put("a", "1"));
    disk.refuse_puts = true;
    CHECK_FALSE(store.put("b", "2"));
    store.erase("a");
    CHECK(store.read("a") == std::nullopt);
    disk.refuse_puts = false;
    CHECK(store.put("b", "2"));
}

TEST_CASE("A store of a wiped disk can no longer change it") {
    simulation::World world(1);
    simulation::SimulatedScheduler scheduler(world);
    SimulatedDisk disk(1);
    MemoryStore old_store(scheduler, disk);
    CHECK(old_store.put("a", "1"));
    bool answered = false;
    old_store.sync([&answered](bool) { answered = true; });
    disk.wipe();
    CHECK(old_store.put("b", "2"));
    world.run(Millis(100));
    CHECK_FALSE(answered);
    MemoryStore new_store(scheduler, disk);
    CHECK(new_store.wasEmpty());
    CHECK(new_store.read("b") == std::nullopt);
}

}  // namespace
}  // namespace amberswitch::cluster
