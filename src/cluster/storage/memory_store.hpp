// In-memory record store for tests on the simulated scheduler. The disk is a separate object that outlives
// the store, so that a test can restart a process on the contents of its disk.
#pragma once

#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/storage/record_store.hpp"

namespace amberswitch::cluster {

// Simulated disk of one machine. At most one store uses it at a time.
class SimulatedDisk {
public:
    explicit SimulatedDisk(std::uint64_t seed) : random_(seed) {}

    Millis sync_latency{2};
    std::uint64_t capacity_bytes = 64 * 1024 * 1024;
    bool refuse_puts = false;  // puts fail as on a full disk
    bool fail_syncs = false;   // the store notices at its next sync, and detects the recovery by retrying

    // While stalled no sync completes; pending syncs complete when the stall ends.
    void setStalled(bool stalled) {
        stalled_ = stalled;
        if (!stalled && on_resume_) on_resume_();
    }
    // Keeps all synced changes and a random prefix of the changes staged since. Detaches the store.
    void losePower() {
        endProcess();
        const auto kept = std::uniform_int_distribution<std::size_t>(0, staged_.size())(random_);
        makeDurable(kept);
        staged_.clear();
    }
    // Erases the disk, as if it had been replaced by an empty one. Detaches the store.
    void wipe() {
        endProcess();
        staged_.clear();
        durable_.clear();
        ever_synced_ = false;
    }
    bool isEmpty() const { return !ever_synced_ && staged_.empty(); }

private:
    friend class MemoryStore;
    using Records = std::map<std::string, std::string, std::less<>>;
    // A put, or the removal of the key if `value` is empty.
    struct Change {
        std::string key;
        std::optional<std::string> value;
    };

    // Detaches the store as if its process had been killed: changes not yet handed to the kernel (a random
    // suffix) are lost, the others remain staged until power is lost.
    void endProcess() {
        if (!in_use_) return;
        in_use_ = false;
        ++session_;
        on_resume_ = nullptr;
        staged_.resize(std::uniform_int_distribution<std::size_t>(0, staged_.size())(random_));
    }
    void makeDurable(std::size_t changes) {
        for (std::size_t i = 0; i < changes; ++i) apply(durable_, staged_[i]);
        staged_.erase(staged_.begin(), staged_.begin() + static_cast<std::ptrdiff_t>(changes));
        ever_synced_ = ever_synced_ || changes > 0;
    }
    static void apply(Records& records, const Change& change) {
        if (change.value) {
            records.insert_or_assign(change.key, *change.value);
        } else {
            records.erase(change.key);
        }
    }

    std::mt19937_64 random_;
    Records durable_;
    std::vector<Change> staged_;  // in call order, not yet durable
    bool ever_synced_ = false;
    bool stalled_ = false;
    bool in_use_ = false;
    std::uint64_t session_ = 0;  // of the store that uses the disk; calls of earlier stores have no effect
    std::function<void()> on_resume_;
};

// RecordStore on a SimulatedDisk. Runs one sync at a time; calls that arrive meanwhile share the next one.
class MemoryStore : public RecordStore {
public:
    MemoryStore(Scheduler& scheduler, SimulatedDisk& disk) : scheduler_(scheduler), disk_(disk) {
        disk_.endProcess();
        was_empty_ = disk_.isEmpty();
        disk_.makeDurable(disk_.staged_.size());
        records_ = disk_.durable_;
        for (const auto& [key, value] : records_) live_bytes_ += recordSize(key, value);
        disk_.in_use_ = true;
        session_ = ++disk_.session_;
        disk_.on_resume_ = [this] { endSync(); };
    }
    ~MemoryStore() override {
        if (isCurrent()) disk_.endProcess();
    }
    MemoryStore(const MemoryStore&) = delete;
    MemoryStore& operator=(const MemoryStore&) = delete;

    bool put(std::string_view key, std::string_view value) override {
        return !failed_ && stagePut(key, value);
    }
    bool putFromReserve(std::string_view key, std::string_view value) override {
        return stagePut(key, value);
    }
    void erase(std::string_view key) override {
        const auto found = records_.find(key);
        if (found == records_.end()) return;
        live_bytes_ -= recordSize(found->first, found->second);
        stage({found->first, std::nullopt});
    }
    void sync(std::function<void(bool)> done) override {
        if (failed_)
            return scheduler_.post([alive = std::weak_ptr<bool>(alive_), done = std::move(done)] {
                if (!alive.expired()) done(false);
            });
        waiting_.push_back(std::move(done));
        if (!timer_ && !sync_overdue_) beginSync();
    }
    std::optional<std::string> read(std::string_view key) const override {
        const auto found = records_.find(key);
        if (found == records_.end()) return std::nullopt;
        return found->second;
    }
    void forEach(
        const std::function<void(std::string_view key, const std::string& value)>& visit) const override {
        for (const auto& [key, value] : records_) visit(key, value);
    }
    StoreUsage usage() const override { return {disk_.capacity_bytes, live_bytes_}; }
    bool wasEmpty() const override { return was_empty_; }
    bool healthy() const override { return !failed_; }
    void onHealthChange(std::function<void(bool)> listener) override { on_health_ = std::move(listener); }

private:
    static constexpr Millis kRetryInterval{250};
    static constexpr std::uint64_t kRecordOverhead = 32;

    static std::uint64_t recordSize(std::string_view key, std::string_view value) {
        return kRecordOverhead + key.size() + value.size();
    }
    bool isCurrent() const { return session_ == disk_.session_; }
    bool stagePut(std::string_view key, std::string_view value) {
        if (disk_.refuse_puts) return false;
        const auto found = records_.find(key);
        const std::uint64_t replaced = found == records_.end() ? 0 : recordSize(found->first, found->second);
        const std::uint64_t live = live_bytes_ - replaced + recordSize(key, value);
        if (live > disk_.capacity_bytes) return false;
        live_bytes_ = live;
        stage({std::string(key), std::string(value)});
        return true;
    }
    void stage(SimulatedDisk::Change change) {
        SimulatedDisk::apply(records_, change);
        if (isCurrent()) disk_.staged_.push_back(std::move(change));
    }
    void beginSync() {
        in_progress_ = std::exchange(waiting_, {});
        changes_in_progress_ = disk_.staged_.size();
        timer_ = scheduler_.after(disk_.sync_latency, [this] {
            timer_.reset();
            sync_overdue_ = true;
            endSync();
        });
    }
    void endSync() {
        if (!sync_overdue_ || disk_.stalled_ || !isCurrent()) return;
        sync_overdue_ = false;
        const bool durable = !disk_.fail_syncs;
        if (durable) disk_.makeDurable(changes_in_progress_);
        std::vector<std::function<void(bool)>> served = std::exchange(in_progress_, {});
        if (!durable) {
            std::move(waiting_.begin(), waiting_.end(), std::back_inserter(served));
            waiting_.clear();
        }
        const auto alive = std::weak_ptr<bool>(alive_);
        if (!durable) setFailed(true);
        if (!waiting_.empty()) beginSync();
        for (const auto& done : served) {
            if (alive.expired()) return;
            done(durable);
        }
    }
    void setFailed(bool failed) {
        failed_ = failed;
        if (failed) scheduleRetry();
        if (on_health_) on_health_(!failed);
    }
    void scheduleRetry() {
        retry_timer_ = scheduler_.after(kRetryInterval, [this] {
            if (disk_.fail_syncs || disk_.stalled_) return scheduleRetry();
            if (isCurrent()) disk_.makeDurable(disk_.staged_.size());
            setFailed(false);
        });
    }

    Scheduler& scheduler_;
    SimulatedDisk& disk_;
    SimulatedDisk::Records records_;
    std::uint64_t live_bytes_ = 0;
    std::uint64_t session_ = 0;
    bool was_empty_ = false;
    bool failed_ = false;        // a sync failed, and staged changes are not durable yet
    bool sync_overdue_ = false;  // the sync latency has passed, but the disk may be stalled
    std::size_t changes_in_progress_ = 0;
    TimerHandle timer_;
    TimerHandle retry_timer_;
    std::function<void(bool)> on_health_;
    std::vector<std::function<void(bool)>> waiting_;
    std::vector<std::function<void(bool)>> in_progress_;
    const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace amberswitch::cluster
