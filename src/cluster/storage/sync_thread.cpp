#include "cluster/storage/sync_thread.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "cluster/storage/storage_error.hpp"

namespace amberswitch::cluster {
namespace {

// Bytes queued without a waiting sync are written once they reach this size,
constexpr std::uint64_t kWriteBehindBytes = 1024 * 1024;
// and synced once this much is in memory, so that it can be freed.
constexpr std::uint64_t kSyncBehindBytes = 4 * 1024 * 1024;
// Maximum number of times the retry delay doubles, so that a recovered disk is used soon.
constexpr int kMaxDoublings = 2;
// Number of stall checks within the stall limit. A stall is detected by consecutive checks and not by elapsed
// time, since the whole process may have been suspended without a fault of the disk.
constexpr int kChecksPerStallLimit = 7;
// The retry delay is reset only after the disk has been healthy for this long. A disk that fails again
// earlier is retried no sooner than at its previous failure.
constexpr std::chrono::seconds kStablePeriod{10};

}  // namespace

SyncThread::SyncThread(Scheduler& scheduler, Options options, std::function<void(bool)> on_health)
    : scheduler_(scheduler), options_(options), on_health_(std::move(on_health)) {}

SyncThread::~SyncThread() {
    *alive_ = false;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    work_arrived_.notify_one();
    if (thread_.joinable()) thread_.join();
}

void SyncThread::append(const Place& place, std::string_view bytes) {
    const std::lock_guard lock(mutex_);
    if (queued_.empty() || queued_.back().place.generation != place.generation)
        queued_.push_back({place, {}});
    queued_.back().bytes.append(bytes);
    queued_bytes_ += bytes.size();
    bytes_in_memory_ += bytes.size();
    if (queued_bytes_ >= kWriteBehindBytes && !failed_) wake();
}

void SyncThread::sync(SyncCallback done) {
    {
        const std::lock_guard lock(mutex_);
        if (failed_) return postCallbacks({std::move(done)}, false);
        const bool all_durable = queued_.empty() && unsynced_.empty() && !busy_;
        if (all_durable) return postCallbacks({std::move(done)}, true);
        waiting_.push_back(std::move(done));
        wake();
    }
    scheduleStallCheck();
}

void SyncThread::scheduleStallCheck() {
    if (stall_timer_) return;
    stall_timer_ = scheduler_.after(options_.stall_limit / kChecksPerStallLimit, [this] {
        stall_timer_.reset();
        checkStall();
    });
}

void SyncThread::checkStall() {
    {
        const std::lock_guard lock(mutex_);
        if (failed_ || !hasWaiters()) return;
        const bool same_pass = busy_ && pass_ == checked_pass_;
        stalled_checks_ = same_pass ? stalled_checks_ + 1 : 0;
        checked_pass_ = pass_;
        if (stalled_checks_ >= kChecksPerStallLimit) {
            stalled_checks_ = 0;
            enterFailedState("a write or sync did not return within the stall limit");
            postCallbacks(std::exchange(in_progress_, {}), false);
            return postCallbacks(std::exchange(waiting_, {}), false);
        }
    }
    scheduleStallCheck();
}

std::optional<std::string> SyncThread::readFromMemory(const Place& place, std::size_t size) const {
    const std::lock_guard lock(mutex_);
    for (const auto* chunks : {&queued_, &unsynced_}) {
        for (const Chunk& chunk : *chunks) {
            if (chunk.place.generation != place.generation || place.offset < chunk.place.offset) continue;
            const std::uint64_t start = place.offset - chunk.place.offset;
            if (start + size <= chunk.bytes.size()) return chunk.bytes.substr(start, size);
        }
    }
    return std::nullopt;
}

std::uint64_t SyncThread::bytesInMemory() const {
    const std::lock_guard lock(mutex_);
    return bytes_in_memory_;
}

bool SyncThread::failed() const {
    const std::lock_guard lock(mutex_);
    return failed_;
}

void SyncThread::fail(const std::string& reason) {
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
    enterFailedState(reason);
    if (!busy_) postCallbacks(std::exchange(waiting_, {}), false);
    wake();
}

// Called under the mutex.
void SyncThread::wake() {
    has_work_ = true;
    if (!thread_.joinable()) thread_ = std::thread([this] { run(); });
    if (!busy_) work_arrived_.notify_one();
}

void SyncThread::run() {
    std::unique_lock lock(mutex_);
    while (waitForWork(lock)) {
        is_retry_ = failed_;
        if (is_retry_) resetForRewrite();
        takeQueued();
        in_progress_ = std::exchange(waiting_, {});
        const bool sync_wanted = is_retry_ || !in_progress_.empty() || bytes_in_memory_ >= kSyncBehindBytes;
        busy_ = true;
        ++pass_;
        lock.unlock();
        const auto began = std::chrono::steady_clock::now();
        const bool done = writeAndSync(sync_wanted);
        const bool quick = std::chrono::steady_clock::now() - began < options_.stall_limit / 2;
        lock.lock();
        busy_ = false;
        discardDurableChunks();
        if (!done) enterFailedState(failure_reason_);
        if (done && is_retry_ && quick) leaveFailedState();
        if (stopping_) return;
        postCallbacks(std::exchange(in_progress_, {}), !failed_);
        if (failed_) postCallbacks(std::exchange(waiting_, {}), false);
    }
}

// Called under the mutex. Returns false if the store is being destroyed.
bool SyncThread::waitForWork(std::unique_lock<std::mutex>& lock) {
    if (failed_) {
        work_arrived_.wait_for(lock, nextRetryDelay(), [this] { return stopping_; });
    } else {
        work_arrived_.wait(lock, [this] { return stopping_ || has_work_; });
    }
    has_work_ = false;
    return !stopping_;
}

// Marks all chunks that are not known to be durable as not written.
void SyncThread::resetForRewrite() {
    written_chunks_ = 0;
    dirty_file_.reset();
}

// Called under the mutex.
void SyncThread::takeQueued() {
    for (Chunk& chunk : queued_) {
        const bool continues = !unsynced_.empty() && unsynced_.size() > written_chunks_ &&
                               unsynced_.back().place.generation == chunk.place.generation;
        if (continues) {
            unsynced_.back().bytes += chunk.bytes;
        } else {
            unsynced_.push_back(std::move(chunk));
        }
    }
    queued_.clear();
    queued_bytes_ = 0;
}

bool SyncThread::writeAndSync(bool sync_wanted) {
    try {
        while (written_chunks_ < unsynced_.size()) {
            write(unsynced_[written_chunks_]);
            ++written_chunks_;
        }
        if (sync_wanted) syncDirtyFile();
        return true;
    } catch (const StorageError& error) {
        failure_reason_ = error.what();
        return false;
    }
}

void SyncThread::write(const Chunk& chunk) {
    if (chunk.place.generation != dirty_generation_) syncDirtyFile();
    if (!dirty_file_ && is_retry_) chunk.place.file->reopen();
    if (chunk.place.offset == 0) chunk.place.file->prepare(options_.segment_bytes);
    dirty_file_ = chunk.place.file;
    dirty_generation_ = chunk.place.generation;
    chunk.place.file->writeAt(chunk.place.offset, chunk.bytes);
}

// Makes all written chunks durable: each is in the dirty file or was synced before.
void SyncThread::syncDirtyFile() {
    if (!dirty_file_) return;
    dirty_file_->sync();
    dirty_file_.reset();
    durable_chunks_ = written_chunks_;
}

// Called under the mutex.
void SyncThread::discardDurableChunks() {
    for (std::size_t i = 0; i < durable_chunks_; ++i) {
        bytes_in_memory_ -= unsynced_.front().bytes.size();
        unsynced_.pop_front();
    }
    written_chunks_ -= durable_chunks_;
    durable_chunks_ = 0;
}

// Called under the mutex.
void SyncThread::enterFailedState(const std::string& reason) {
    if (failed_) return;
    LOG(ERROR) << "ring disk failure: " << reason;
    if (std::chrono::steady_clock::now() - healthy_since_ >= kStablePeriod) retry_count_ = 0;
    failed_ = true;
    notifyHealth(false);
}

// Called under the mutex.
void SyncThread::leaveFailedState() {
    LOG(WARNING) << "ring disk recovered; all bytes kept in memory are durable";
    failed_ = false;
    healthy_since_ = std::chrono::steady_clock::now();
    notifyHealth(true);
}

Millis SyncThread::nextRetryDelay() {
    const int doublings = std::min(retry_count_++, kMaxDoublings);
    return options_.retry_interval * (1 << doublings);
}

void SyncThread::notifyHealth(bool healthy) {
    scheduler_.post([this, alive = std::weak_ptr<bool>(alive_), healthy] {
        const auto store_alive = alive.lock();
        if (store_alive && *store_alive) on_health_(healthy);
    });
}

// Called under the mutex, so that callbacks are posted in call order.
void SyncThread::postCallbacks(std::vector<SyncCallback> callbacks, bool durable) {
    if (callbacks.empty()) return;
    scheduler_.post([alive = std::weak_ptr<bool>(alive_), callbacks = std::move(callbacks), durable] {
        for (const SyncCallback& callback : callbacks) {
            const auto store_alive = alive.lock();
            if (!store_alive || !*store_alive) return;
            callback(durable);
        }
    });
}

}  // namespace amberswitch::cluster
