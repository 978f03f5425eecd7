// Simulated disk of a machine in store_world.hpp. It loses unsynced changes on a power loss.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "cluster/storage/record_store.hpp"
#include "cluster/storage/storage_error.hpp"
#include "tests/cluster/simulation.hpp"

namespace amberswitch::cluster::simulation {

// Durable contents and fault settings of a machine's disk; outlives the machine's processes.
struct DiskState {
    std::map<std::string, std::string, std::less<>> synced;
    bool formatted = false;
    std::uint64_t capacity = 400u << 20;
    bool fails = false;       // syncs fail from the next one on
    bool unreadable = false;  // reads of existing records fail
    bool recovers = true;     // false: after its first failure a store keeps failing until its process ends
};

// RecordStore of one process on that disk. Staged changes that were not synced are lost on a power loss.
class FakeDisk : public RecordStore {
public:
    FakeDisk(World& world, Scheduler& scheduler, DiskState& state)
        : world_(world), scheduler_(scheduler), state_(state), records_(state.synced) {
        was_empty_ = !state.formatted;
        state.formatted = true;
        for (const auto& [key, value] : records_) live_ += key.size() + value.size();
    }
    bool put(std::string_view key, std::string_view value) override {
        return healthy_ && putFromReserve(key, value);
    }
    bool putFromReserve(std::string_view key, std::string_view value) override {
        if (live_ + key.size() + value.size() > state_.capacity) return false;
        removeCurrent(key);
        live_ += key.size() + value.size();
        records_[std::string(key)] = value;
        staged_.emplace_back(std::string(key), std::string(value));
        return true;
    }
    void erase(std::string_view key) override {
        removeCurrent(key);
        staged_.emplace_back(std::string(key), std::nullopt);
    }
    void sync(std::function<void(bool)> done) override {
        const std::size_t end = written_ + staged_.size();
        const auto latency = Millis(1 + static_cast<std::int64_t>(world_.chance() * 6));
        const SteadyTime at = std::max(last_sync_, world_.now() + latency);
        last_sync_ = at;
        timers_.push_back(scheduler_.after(std::chrono::ceil<Millis>(at - world_.now()), [this, end, done] {
            if (state_.fails && healthy_) setHealthy(false);
            const bool works = healthy_;
            if (works) writeUpTo(end);
            done(works);
        }));
        while (timers_.size() > 500) timers_.pop_front();
    }
    std::optional<std::string> read(std::string_view key) const override {
        const auto found = records_.find(key);
        if (found == records_.end()) return std::nullopt;
        if (state_.unreadable) throw StorageError("disk", "read", "Input/output error");
        return found->second;
    }
    void forEach(const std::function<void(std::string_view, const std::string&)>& visit) const override {
        for (const auto& [key, value] : records_) visit(key, value);
    }
    StoreUsage usage() const override { return {state_.capacity, live_}; }
    bool wasEmpty() const override { return was_empty_; }
    bool healthy() const override { return healthy_; }
    void onHealthChange(std::function<void(bool)> listener) override { listener_ = std::move(listener); }

    // Simulates the end of the process while the machine keeps running: staged changes still reach the disk.
    void writeAll() {
        if (!state_.fails) writeUpTo(written_ + staged_.size());
    }
    // Simulates a power loss: a random prefix of the staged changes reaches the disk.
    void losePower() {
        if (state_.fails) return;
        writeUpTo(written_ + static_cast<std::size_t>(world_.chance() * 1.5 * (staged_.size())));
    }

private:
    void setHealthy(bool healthy) {
        healthy_ = healthy;
        if (!healthy && state_.recovers) scheduleRetry();
        if (listener_) listener_(healthy);
    }
    void scheduleRetry() {
        retry_timer_ = scheduler_.after(Millis(250), [this] {
            if (state_.fails) return scheduleRetry();
            writeUpTo(written_ + staged_.size());
            setHealthy(true);
        });
    }
    void removeCurrent(std::string_view key) {
        const auto found = records_.find(key);
        if (found == records_.end()) return;
        live_ -= key.size() + found->second.size();
        records_.erase(found);
    }
    void writeUpTo(std::size_t end) {
        while (written_ < end && !staged_.empty()) {
            auto& [key, value] = staged_.front();
            if (value) state_.synced[key] = *value;
            if (!value) state_.synced.erase(key);
            staged_.pop_front();
            ++written_;
        }
    }

    World& world_;
    Scheduler& scheduler_;
    DiskState& state_;
    std::map<std::string, std::string, std::less<>> records_;
    std::deque<std::pair<std::string, std::optional<std::string>>> staged_;
    std::size_t written_ = 0;
    std::uint64_t live_ = 0;
    SteadyTime last_sync_{};
    std::deque<TimerHandle> timers_;
    bool was_empty_ = false;
    bool healthy_ = true;
    std::function<void(bool)> listener_;
    TimerHandle retry_timer_;
};

}  // namespace amberswitch::cluster::simulation
