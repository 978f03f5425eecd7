// Test harness of a RingStore on a FaultInjectingDisk.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "cluster/storage/ring_store.hpp"
#include "tests/cluster/manual_scheduler.hpp"
#include "tests/cluster/record_store_contract.hpp"
#include "tests/cluster/ring_test_support.hpp"

namespace amberswitch::cluster::ring_test {

// Options with segments so small that a few records fill one.
inline RingOptions smallRing() {
    RingOptions options;
    options.capacity_bytes = 16 * 4096;
    options.segment_bytes = 4096;
    options.retry_interval = Millis(1);
    return options;
}

inline std::string keyOf(int number) {
    return "key" + std::to_string(1000 + number);
}

inline std::size_t fileCount(const std::string& directory) {
    std::size_t count = 0;
    for ([[maybe_unused]] const auto& item : std::filesystem::directory_iterator(directory)) ++count;
    return count;
}

class RingHarness : public RecordStoreHarness {
public:
    explicit RingHarness(std::uint64_t seed, RingOptions options = smallRing())
        : options_(options), random_(seed), directory_(folder_.path() + "/data/ring") {
        open();
    }
    RecordStore& store() override { return *store_; }
    RingStore& ring() { return *store_; }
    const std::string& directory() const { return directory_; }
    void setOptions(RingOptions options) { options_ = options; }
    FaultInjectingDisk& disk() { return disk_; }
    void restart() override {
        close();
        open();
    }
    void losePower() override {
        close();
        disk_.losePower(directory_, random_);
        open();
    }
    void wipe() override {
        close();
        std::filesystem::remove_all(directory_);
        open();
    }
    void setStalled(bool stalled) override { stalled ? disk_.holdSyncs() : disk_.releaseSyncs(); }
    void setFailing(bool failing) override {
        const int error = failing ? (fails_by_syncs_ ? EIO : ENOSPC) : 0;
        (fails_by_syncs_ ? disk_.sync_error : disk_.write_error) = error;
    }
    // Selects whether setFailing() makes syncs (EIO) or writes (ENOSPC) fail.
    void failBySyncs(bool by_syncs) { fails_by_syncs_ = by_syncs; }
    bool runUntil(const std::function<bool()>& holds) override { return scheduler_.runUntil(holds); }
    void runPending() override { scheduler_.runPosted(); }
    void fireTimers() { scheduler_.fireTimers(); }

    void close() { store_.reset(); }
    void open() { store_ = std::make_unique<RingStore>(scheduler_, directory_, options_); }

private:
    bool fails_by_syncs_ = true;
    RingOptions options_;
    std::mt19937_64 random_;
    TemporaryFolder folder_;
    std::string directory_;
    FaultInjectingDisk disk_;
    ManualScheduler scheduler_;
    std::unique_ptr<RingStore> store_;
};

}  // namespace amberswitch::cluster::ring_test
