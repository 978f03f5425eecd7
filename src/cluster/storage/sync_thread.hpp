// The thread that writes to the disk. The store's thread queues bytes and waiters; this one writes all that
// is queued and makes one sync serve all who wait (group commit). It starts with the first work.
//
// Order on disk: a segment is synced before the first byte of the next one is written. What survives a loss
// of power is therefore a prefix of what was queued, and a file may be given to a new segment as soon as the
// records that replace its content have been queued before that segment.
//
// Failures: bytes stay in memory until a sync has covered them. After a write or sync that failed, nothing
// that is not known to be durable is trusted to be on the disk: all waiters are told so, and the thread
// reopens the files and writes all of it again at the same places, followed by a sync, until that succeeds.
// What a failed write left there is a part of what is then written over it.
//
// A disk that stalls: a write or sync that does not return within Options::stall_limit, while somebody waits,
// counts as failed from then on. What it was for is written again once it has returned, and the disk works
// again only after an attempt that took less than half of that.
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
    // Where a range of bytes lies.
    struct Place {
        std::shared_ptr<SegmentFile> file;
        std::uint64_t generation = 0;
        std::uint64_t offset = 0;
    };

    struct Options {
        std::uint64_t segment_bytes = 0;  // of each segment, given to it as it is begun
        Millis retry_interval{250};       // between attempts while the disk fails; doubles a few times
        Millis stall_limit{700};          // of one pass of writes and a sync
    };

    // `on_health` runs on the scheduler's thread when the disk begins to fail, and when it works again.
    SyncThread(Scheduler& scheduler, Options options, std::function<void(bool healthy)> on_health);
    // Waits for the write under way; drops what is queued. Callbacks that have not run yet never will.
    ~SyncThread();
    SyncThread(const SyncThread&) = delete;
    SyncThread& operator=(const SyncThread&) = delete;

    // Queues bytes. Within a segment each call must continue where the one before ended.
    void append(const Place& place, std::string_view bytes);
    // `done` runs on the scheduler's thread, in call order: true once all that was queued before is durable.
    void sync(SyncCallback done);
    // The bytes at this place, if they are still in memory.
    std::optional<std::string> readFromMemory(const Place& place, std::size_t size) const;
    // How much is not known to be durable.
    std::uint64_t bytesInMemory() const;
    // A write or sync failed, and what it was for is not on the disk yet.
    bool failed() const;
    // Treats the disk as failed, as after a failed write, and lets the thread try again.
    void fail(const std::string& reason);

private:
    // Contiguous bytes of one segment.
    struct Chunk {
        Place place;
        std::string bytes;
    };

    void wake();
    // Looks, while somebody waits, whether the pass under way has stalled. On the scheduler's thread.
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
    const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // of the scheduler's thread only

    mutable std::mutex mutex_;
    std::condition_variable work_arrived_;
    std::deque<Chunk> queued_;
    // Taken from `queued_`, and not known to be durable. Changed by the worker only, under the mutex.
    std::deque<Chunk> unsynced_;
    std::vector<SyncCallback> waiting_;
    std::vector<SyncCallback> in_progress_;  // by the pass under way
    std::uint64_t bytes_in_memory_ = 0;
    std::uint64_t queued_bytes_ = 0;
    bool has_work_ = false;
    bool busy_ = false;
    bool stopping_ = false;
    bool failed_ = false;
    std::uint64_t pass_ = 0;  // counts passes

    // Of the scheduler's thread only:
    std::uint64_t checked_pass_ = 0;
    int stalled_checks_ = 0;
    TimerHandle stall_timer_;

    // Of the worker only:
    std::size_t written_chunks_ = 0;  // of `unsynced_`, from its beginning
    std::size_t durable_chunks_ = 0;
    std::shared_ptr<SegmentFile> dirty_file_;
    std::uint64_t dirty_generation_ = 0;
    std::string failure_reason_;
    bool is_retry_ = false;  // this pass is an attempt after a failure
    int retry_count_ = 0;    // since the disk last worked for long
    std::chrono::steady_clock::time_point healthy_since_{};
    std::thread thread_;
};

}  // namespace amberswitch::cluster
