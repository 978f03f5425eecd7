// Writer thread of a ring. The store's thread queues bytes and sync callbacks; this thread writes all queued
// bytes and serves all waiting callbacks with one sync (group commit). It is started on first use.
//
// Order on disk: a segment is synced before the first byte of the next one is written. After a power loss the
// disk therefore holds a prefix of the queued bytes, and a file may be reused for a new segment as soon as
// the records that replace its content have been queued before that segment.
//
// Failures: bytes stay in memory until a sync has covered them. After a failed write or sync, bytes not known
// to be durable are assumed not to be on the disk: all waiting callbacks get false, and the thread reopens
// the files and writes these bytes again at the same offsets, followed by a sync, until that succeeds. What a
// failed write left on the disk is a part of the bytes that then overwrite it.
//
// Stalls: a write or sync that does not return within Options::stall_limit while callbacks wait is treated as
// failed. Its bytes are written again once it has returned, and the disk is healthy again only after an
// attempt that took less than half of the limit.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/storage/segment_file.hpp"

namespace amberswitch::cluster {

class SyncThread {
public:
    using SyncCallback = std::function<void(bool)>;
    // Position of a range of bytes on the disk.
    struct Place {
        std::shared_ptr<SegmentFile> file;
        std::uint64_t generation = 0;
        std::uint64_t offset = 0;
    };

    struct Options {
        std::uint64_t segment_bytes = 0;  // size of each segment, allocated when it is started
        Millis retry_interval{250};       // initial retry delay while the disk fails; doubles a few times
        Millis stall_limit{700};          // for one pass of writes and a sync
    };

    // `on_health` runs on the scheduler's thread when the disk starts to fail and when it has recovered.
    SyncThread(Scheduler& scheduler, Options options, std::function<void(bool healthy)> on_health);
    // Waits for the pass in progress and discards queued bytes. Pending callbacks are dropped without a call.
    ~SyncThread();
    SyncThread(const SyncThread&) = delete;
    SyncThread& operator=(const SyncThread&) = delete;

    // Queues bytes. Within a segment each call must continue at the end of the previous one.
    void append(const Place& place, std::string_view bytes);
    // Calls `done(true)` once all bytes queued before are durable, `done(false)` on a failure. Callbacks run
    // on the scheduler's thread, in call order.
    void sync(SyncCallback done);
    // Returns the bytes at this position if they are still in memory.
    std::optional<std::string> readFromMemory(const Place& place, std::size_t size) const;
    // Number of bytes that are not known to be durable.
    std::uint64_t bytesInMemory() const;
    // True from a failed write or sync until all its bytes are durable.
    bool failed() const;
    // Marks the disk as failed, as after a failed write, and starts the retries.
    void fail(const std::string& reason);

private:
    // Contiguous bytes of one segment.
    struct Chunk {
        Place place;
        std::string bytes;
    };

    void wake();
    // Schedules checkStall(), which detects a stalled pass while callbacks wait. Runs on the scheduler's
    // thread.
    void scheduleStallCheck();
    void checkStall();
    bool hasWaiters() const { return !waiting_.empty() || !in_progress_.empty(); }
    void run();
    bool waitForWork(std::unique_lock<std::mutex>& lock);
    void resetForRewrite();
    void takeQueued();
    bool writeAndSync(bool sync_wanted);
    void write(const Chunk& chunk);
    void syncDirtyFile();
    void discardDurableChunks();
    void enterFailedState(const std::string& reason);
    void leaveFailedState();
    Millis nextRetryDelay();
    void notifyHealth(bool healthy);
    void postCallbacks(std::vector<SyncCallback> callbacks, bool durable);

    Scheduler& scheduler_;
    const Options options_;
    const std::function<void(bool)> on_health_;
    const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // used on the scheduler's thread only

    mutable std::mutex mutex_;
    std::condition_variable work_arrived_;
    std::deque<Chunk> queued_;
    // Taken from `queued_` and not known to be durable. Modified by the writer thread only, under the mutex.
    std::deque<Chunk> unsynced_;
    std::vector<SyncCallback> waiting_;
    std::vector<SyncCallback> in_progress_;  // callbacks served by the current pass
    std::uint64_t bytes_in_memory_ = 0;
    std::uint64_t queued_bytes_ = 0;
    bool has_work_ = false;
    bool busy_ = false;
    bool stopping_ = false;
    bool failed_ = false;
    std::uint64_t pass_ = 0;  // number of the current or last pass

    // Used on the scheduler's thread only:
    std::uint64_t checked_pass_ = 0;
    int stalled_checks_ = 0;
    TimerHandle stall_timer_;

    // Used on the writer thread only:
    std::size_t written_chunks_ = 0;  // leading chunks of `unsynced_` that are written
    std::size_t durable_chunks_ = 0;
    std::shared_ptr<SegmentFile> dirty_file_;
    std::uint64_t dirty_generation_ = 0;
    std::string failure_reason_;
    bool is_retry_ = false;  // the current pass is a retry after a failure
    int retry_count_ = 0;    // since the disk was last healthy for kStablePeriod
    std::chrono::steady_clock::time_point healthy_since_{};
    std::thread thread_;
};

}  // namespace amberswitch::cluster
