#include "cluster/storage/sync_thread.hpp"

#include <glog/logging.h>

#include <iterator>
#include <utility>

#include "cluster/storage/storage_error.hpp"

namespace amberswitch::cluster {
namespace {

// What is queued without anyone waiting for a sync is written once it has grown to this.
constexpr std::uint64_t kWriteBehindBytes = 1024 * 1024;

}  // namespace

SyncThread::SyncThread(Scheduler& scheduler, std::uint64_t segment_bytes)
    : scheduler_(scheduler), segment_bytes_(segment_bytes) {}

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
    unwritten_bytes_ += bytes.size();
    if (unwritten_bytes_ >= kWriteBehindBytes && !failed_) wake();
}

void SyncThread::sync(SyncCallback done) {
    const std::lock_guard lock(mutex_);
    if (failed_) return finish({std::move(done)}, false);
    const bool all_durable = queued_.empty() && !busy_ && !unsynced_;
    if (all_durable) return finish({std::move(done)}, true);
    waiting_.push_back(std::move(done));
    wake();
}

std::optional<std::string> SyncThread::readUnwritten(const Place& place, std::size_t size) const {
    const std::lock_guard lock(mutex_);
    for (const auto* chunks : {&queued_, &writing_}) {
        for (const Chunk& chunk : *chunks) {
            if (chunk.place.generation != place.generation || place.offset < chunk.place.offset) continue;
            const std::uint64_t start = place.offset - chunk.place.offset;
            if (start + size <= chunk.bytes.size()) return chunk.bytes.substr(start, size);
        }
    }
    return std::nullopt;
}

bool SyncThread::accepts(std::uint64_t unwritten_limit_bytes) const {
    const std::lock_guard lock(mutex_);
    return !failed_ && unwritten_bytes_ <= unwritten_limit_bytes;
}

bool SyncThread::failed() const {
    const std::lock_guard lock(mutex_);
    return failed_;
}

void SyncThread::fail(const std::string& reason) {
    const std::lock_guard lock(mutex_);
    if (failed_) return;
    LOG(ERROR) << "record store takes no more writes: " << reason;
    failed_ = true;
    if (!busy_) finish(std::exchange(waiting_, {}), false);
}

// Called under the mutex.
void SyncThread::wake() {
    work_wanted_ = true;
    if (!thread_.joinable()) thread_ = std::thread([this] { run(); });
    if (!busy_) work_arrived_.notify_one();
}

void SyncThread::run() {
    std::unique_lock lock(mutex_);
    while (true) {
        work_arrived_.wait(lock, [this] { return stopping_ || work_wanted_; });
        if (stopping_ || failed_) return;
        work_wanted_ = false;
        busy_ = true;
        writing_.swap(queued_);
        std::vector<SyncCallback> served = std::exchange(waiting_, {});
        lock.unlock();
        const bool written = writeAndSync(!served.empty());
        lock.lock();
        busy_ = false;
        unsynced_ = dirty_file_ != nullptr;
        if (written) {
            for (const Chunk& chunk : writing_) unwritten_bytes_ -= chunk.bytes.size();
            writing_.clear();
        }
        failed_ = failed_ || !written;
        if (failed_) {
            std::move(waiting_.begin(), waiting_.end(), std::back_inserter(served));
            waiting_.clear();
        }
        if (!stopping_) finish(std::move(served), !failed_);
    }
}

bool SyncThread::writeAndSync(bool sync_wanted) {
    try {
        for (const Chunk& chunk : writing_) write(chunk);
        if (sync_wanted) syncDirtyFile();
        return true;
    } catch (const StorageError& error) {
        LOG(ERROR) << "record store takes no more writes: " << error.what();
        return false;
    }
}

void SyncThread::write(const Chunk& chunk) {
    if (chunk.place.generation != dirty_generation_) syncDirtyFile();
    if (chunk.place.offset == 0) chunk.place.file->prepare(segment_bytes_);
    dirty_file_ = chunk.place.file;
    dirty_generation_ = chunk.place.generation;
    chunk.place.file->writeAt(chunk.place.offset, chunk.bytes);
}

void SyncThread::syncDirtyFile() {
    if (!dirty_file_) return;
    dirty_file_->sync();
    dirty_file_.reset();
}

// Called under the mutex, so that callbacks are posted in call order.
void SyncThread::finish(std::vector<SyncCallback> callbacks, bool durable) {
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
