// The thread that writes to the disk. The store's thread queues bytes and waiters; this one writes all that
// is queued and makes one sync serve all who wait (group commit). It starts with the first work.
//
// Order on disk: a segment is synced before the first byte of the next one is written. What survives a loss
// of power is therefore a prefix of what was queued, and a file may be given to a new segment as soon as the
// records that replace its content have been queued before that segment.
#pragma once

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

    // Segments are given `segment_bytes` as they are begun.
    SyncThread(Scheduler& scheduler, std::uint64_t segment_bytes);
    // Waits for the write under way; drops what is queued. Callbacks that have not run yet never will.
    ~SyncThread();
    SyncThread(const SyncThread&) = delete;
    SyncThread& operator=(const SyncThread&) = delete;

    // Queues bytes. Within a segment each call must continue where the one before ended.
    void append(const Place& place, std::string_view bytes);
    // `done` runs on the scheduler's thread, in call order: true once all that was queued before is durable.
    void sync(SyncCallback done);
    // The bytes at this place, if they are still in memory.
    std::optional<std::string> readUnwritten(const Place& place, std::size_t size) const;
    // False once failed, and while more than this much is in memory only.
    bool accepts(std::uint64_t unwritten_limit_bytes) const;
    // True for good after the first write or sync that failed; what was not written stays readable.
    bool failed() const;
    // Refuses all further work, as after a failed write.
    void fail(const std::string& reason);

private:
    // Contiguous bytes of one segment.
    struct Chunk {
        Place place;
        std::string bytes;
    };

    void wake();
    void run();
    bool writeAndSync(bool sync_wanted);
    void write(const Chunk& chunk);
    void syncDirtyFile();
    void finish(std::vector<SyncCallback> callbacks, bool durable);

    Scheduler& scheduler_;
    const std::uint64_t segment_bytes_;
    const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // of the scheduler's thread only

    mutable std::mutex mutex_;
    std::condition_variable work_arrived_;
    std::deque<Chunk> queued_;
    std::deque<Chunk> writing_;  // changed under the mutex; read without it by the worker only
    std::vector<SyncCallback> waiting_;
    std::uint64_t unwritten_bytes_ = 0;
    bool work_wanted_ = false;
    bool busy_ = false;
    bool stopping_ = false;
    bool failed_ = false;
    bool unsynced_ = false;  // something was written since the last sync

    std::shared_ptr<SegmentFile> dirty_file_;  // of the worker only
    std::uint64_t dirty_generation_ = 0;       // of the worker only
    std::thread thread_;
};

}  // namespace amberswitch::cluster
