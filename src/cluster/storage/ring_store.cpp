#include "cluster/storage/ring_store.hpp"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <random>
#include <stdexcept>
#include <utility>

#include "cluster/storage/storage_error.hpp"

namespace amberswitch::cluster {
namespace {

// Share of the capacity that current records may occupy.
constexpr double kMaxLiveShare = 0.85;
// The same for putFromReserve(), whose records (completions of messages and promises) are small.
constexpr double kMaxLiveShareWithReserve = 0.9;
// Free segments that putFromReserve() leaves to cleaning and removals.
constexpr std::size_t kMinFreeSegmentsForReserve = 1;
constexpr std::uint64_t kReserveMemoryFactor = 2;  // limit of putFromReserve(), relative to that of put()
// Number of changes after which cleaning retries a record that it couldn't read.
constexpr std::size_t kChangesUntilReadRetry = 64;
// put() leaves one in this many segments, and at least kMinReservedSegments, to cleaning and to removals,
// which must always find space.
constexpr std::size_t kReservedDivisor = 16;
constexpr std::size_t kMinReservedSegments = 2;
// Bytes that cleaning may rewrite for each appended byte: while the oldest segment is nearly dead (relaxed),
// when few segments are free (busy), and when almost none are (urgent).
constexpr std::size_t kRelaxedCleaningRate = 1;
constexpr std::size_t kBusyCleaningRate = 8;
constexpr std::size_t kUrgentCleaningRate = 32;
// A segment is nearly dead if at most one byte in this many is live.
constexpr std::uint64_t kNearlyDeadDivisor = 8;
// A ring is long if it has more than this many segments beyond twice its live bytes. A shorter one isn't
// cleaned early: records mostly die in write order, so the last live ones of the oldest segment will mostly
// be dead soon.
constexpr std::uint64_t kShortRingSegments = 8;
// Few segments are free if they exceed the reserve by no more than one in this many segments.
constexpr std::size_t kFewFreeDivisor = 16;

std::size_t slotCount(const RingOptions& options) {
    const std::size_t count = options.segment_bytes == 0 ? 0 : options.capacity_bytes / options.segment_bytes;
    if (count < RingStore::kMinSegments) {
        throw std::invalid_argument("ring capacity: fewer than " + std::to_string(RingStore::kMinSegments) +
                                    " segments");
    }
    return count;
}

std::uint64_t generateSalt() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace

RingStore::RingStore(Scheduler& scheduler, std::string directory, RingOptions options)
    : directory_(std::move(directory)),
      options_(options),
      slot_count_(slotCount(options)),
      reserved_segments_(std::max(kMinReservedSegments, slot_count_ / kReservedDivisor)),
      salt_(generateSalt()),
      sync_thread_(scheduler, {options.segment_bytes, options.retry_interval}, [this](bool healthy) {
          if (on_health_) on_health_(healthy);
      }) {
    open();
}

RingStore::~RingStore() {
    for (Segment& segment : segments_) segment.live.clear();
}

bool RingStore::put(std::string_view key, std::string_view value) {
    const std::size_t size = recordBytes(key.size(), value.size());
    if (!acceptsWrites() || !hasRoomFor(key, size, kMaxLiveShare)) return false;
    stagePendingRemovals();
    clean(size);
    if (!fits(size) && freeSlots() < kMinReservedSegments) cleanOldestSegment();
    if (!fits(size) && (freeSlots() <= reserved_segments_ || !startSegment())) return false;
    writePut(key, value);
    return true;
}

bool RingStore::putFromReserve(std::string_view key, std::string_view value) {
    const std::size_t size = recordBytes(key.size(), value.size());
    if (sync_thread_.bytesInMemory() > kReserveMemoryFactor * options_.max_unsynced_bytes) return false;
    if (!hasRoomFor(key, size, kMaxLiveShareWithReserve)) return false;
    clean(size);
    if (!fits(size)) cleanUntilSegmentsAreFree();
    if (!fits(size) && (freeSlots() <= kMinFreeSegmentsForReserve || !startSegment())) return false;
    writePut(key, value);
    return true;
}

bool RingStore::acceptsWrites() const {
    return !sync_thread_.failed() && sync_thread_.bytesInMemory() <= options_.max_unsynced_bytes;
}

bool RingStore::hasRoomFor(std::string_view key, std::size_t size, double live_share) const {
    if (size > options_.segment_bytes - kSegmentHeaderBytes) return false;
    const auto found = index_.find(key);
    const std::uint64_t replaced = found == index_.end() ? 0 : found->second.recordSize();
    const auto limit = static_cast<std::uint64_t>(live_share * static_cast<double>(options_.capacity_bytes));
    return live_bytes_ + size <= limit + replaced;
}

void RingStore::writePut(std::string_view key, std::string_view value) {
    const std::uint64_t offset = write(RecordType::put, key, value);
    setCurrent(key, *active_segment_, offset, value.size());
    const auto removal = pending_removals_.find(key);
    if (removal != pending_removals_.end()) pending_removals_.erase(removal);
}

void RingStore::erase(std::string_view key) {
    const auto found = index_.find(key);
    if (found == index_.end()) return;
    pending_removals_.emplace(key);
    unlink(found->second);
    index_.erase(found);
    stagePendingRemovals();
}

void RingStore::stagePendingRemovals() {
    while (!pending_removals_.empty()) {
        const auto next = pending_removals_.begin();
        const std::size_t size = recordBytes(next->size(), 0);
        clean(size);
        if (!fits(size)) cleanUntilSegmentsAreFree();
        if (!fits(size) && !startSegment()) return;
        write(RecordType::erase, *next, {});
        pending_removals_.erase(next);
    }
}

void RingStore::sync(std::function<void(bool)> done) {
    stagePendingRemovals();
    if (!pending_removals_.empty()) sync_thread_.fail(directory_ + ": no free segment for a removal record");
    sync_thread_.sync(std::move(done));
}

std::optional<std::string> RingStore::read(std::string_view key) const {
    const auto found = index_.find(key);
    if (found == index_.end()) return std::nullopt;
    return readValue(found->second);
}

void RingStore::forEach(
    const std::function<void(std::string_view key, const std::string& value)>& visit) const {
    for (const Segment& segment : segments_) {
        SegmentReader reader(*files_[segment.slot]);
        for (const Entry& entry : segment.live) {
            const std::size_t size = entry.recordSize();
            const auto in_memory = sync_thread_.readFromMemory(placeOf(segment, entry.offset), size);
            auto value = valueOf(entry, in_memory ? *in_memory : reader.at(entry.offset, size));
            // The reader's window may have been read before the record was written; then read it again.
            visit(*entry.key, value ? *value : readValue(entry));
        }
    }
}

void RingStore::forEachKey(const std::function<void(std::string_view key)>& visit) const {
    for (const auto& [key, entry] : index_) visit(key);
}

StoreUsage RingStore::usage() const {
    return {options_.capacity_bytes, live_bytes_};
}

void RingStore::setCurrent(std::string_view key, Segment& segment, std::uint64_t offset,
                           std::size_t value_bytes) {
    auto found = index_.find(key);
    if (found == index_.end()) {
        found = index_.try_emplace(std::string(key)).first;
        found->second.key = &found->first;
    } else {
        unlink(found->second);
    }
    link(found->second, segment, offset, value_bytes);
}

void RingStore::link(Entry& entry, Segment& segment, std::uint64_t offset, std::size_t value_bytes) {
    entry.segment = &segment;
    entry.offset = static_cast<std::uint32_t>(offset);
    entry.value_bytes = static_cast<std::uint32_t>(value_bytes);
    segment.live.push_back(entry);
    segment.live_bytes += entry.recordSize();
    live_bytes_ += entry.recordSize();
}

void RingStore::unlink(Entry& entry) {
    entry.segment->live_bytes -= entry.recordSize();
    live_bytes_ -= entry.recordSize();
    entry.segment->live.erase(entry.segment->live.iterator_to(entry));
    entry.segment = nullptr;
    if (unreadable_entry_ == &entry) unreadable_entry_ = nullptr;
}

std::string RingStore::readValue(const Entry& entry) const {
    const SyncThread::Place place = placeOf(*entry.segment, entry.offset);
    const std::size_t size = entry.recordSize();
    const auto in_memory = sync_thread_.readFromMemory(place, size);
    auto value = valueOf(entry, in_memory ? *in_memory : place.file->readAt(place.offset, size));
    if (!value) throw StorageError(directory_, "read", "record is damaged");
    return *std::move(value);
}

std::optional<std::string> RingStore::valueOf(const Entry& entry, std::string_view record_bytes) const {
    const auto record = decodeRecord(record_bytes, entry.segment->checksum_seed);
    if (!record || record->key != *entry.key) return std::nullopt;
    return std::string(record->value);
}

SyncThread::Place RingStore::placeOf(const Segment& segment, std::uint64_t offset) const {
    return {files_[segment.slot], segment.header.generation, offset};
}

std::uint64_t RingStore::write(RecordType type, std::string_view key, std::string_view value) {
    encode_buffer_.clear();
    appendRecord(encode_buffer_, active_segment_->checksum_seed, type, ++last_sequence_, key, value);
    const std::uint64_t offset = active_segment_->used_bytes;
    sync_thread_.append(placeOf(*active_segment_, offset), encode_buffer_);
    active_segment_->used_bytes += encode_buffer_.size();
    return offset;
}

bool RingStore::fits(std::size_t record_bytes) const {
    return active_segment_ != nullptr && active_segment_->used_bytes + record_bytes <= options_.segment_bytes;
}

bool RingStore::startSegment() {
    releaseDeadSegments();
    const auto slot = takeFreeSlot();
    if (!slot) return false;
    Segment& segment = segments_.emplace_back();
    segment.slot = *slot;
    segment.header.generation = ++last_generation_;
    segment.header.oldest_generation = segments_.front().header.generation;
    segment.header.salt = XXH64(&last_generation_, sizeof last_generation_, salt_);
    segment.checksum_seed = segment.header.checksumSeed();
    encode_buffer_.clear();
    appendSegmentHeader(encode_buffer_, segment.header);
    sync_thread_.append(placeOf(segment, 0), encode_buffer_);
    segment.used_bytes = encode_buffer_.size();
    active_segment_ = &segment;
    ++statistics_.segments_started;
    return true;
}

std::optional<std::size_t> RingStore::takeFreeSlot() {
    if (!released_slots_.empty()) {
        const std::size_t slot = released_slots_.front();
        released_slots_.pop_front();
        return slot;
    }
    if (!unused_slots_.empty()) {
        const std::size_t slot = unused_slots_.back();
        unused_slots_.pop_back();
        return slot;
    }
    if (files_.size() >= max_files_) return std::nullopt;
    return addFile();
}

void RingStore::releaseDeadSegments() {
    while (!segments_.empty() && !isOldestActive() && segments_.front().live.empty()) {
        released_slots_.push_back(segments_.front().slot);
        segments_.pop_front();
    }
}

void RingStore::clean(std::size_t appended_bytes) {
    if (changes_until_read_retry_ > 0) --changes_until_read_retry_;
    releaseDeadSegments();
    if (!acceptsWrites()) return;
    const std::size_t rate = cleaningRate();
    if (rate == 0) {
        cleaning_credit_ = 0;
        return;
    }
    cleaning_credit_ =
        std::min<std::size_t>(cleaning_credit_ + rate * appended_bytes, options_.segment_bytes);
    while (cleaningRate() != 0) {
        const std::size_t size = segments_.front().live.front().recordSize();
        const bool may_start_segment = freeSlots() >= kMinReservedSegments;
        if (size > cleaning_credit_ || (!fits(size) && !may_start_segment)) return;
        if (!rewriteOldestLiveRecord()) return;
        cleaning_credit_ -= size;
        releaseDeadSegments();
    }
}

std::size_t RingStore::cleaningRate() const {
    if (segments_.empty() || isOldestActive() || isCleaningBlocked()) return 0;
    if (freeSlots() <= reserved_segments_ + 1) return kUrgentCleaningRate;
    if (freeSlots() <= reserved_segments_ + 1 + slot_count_ / kFewFreeDivisor) return kBusyCleaningRate;
    const bool nearly_dead = segments_.front().live_bytes <= options_.segment_bytes / kNearlyDeadDivisor;
    const std::uint64_t ring_bytes = segments_.size() * std::uint64_t{options_.segment_bytes};
    const bool ring_is_long = ring_bytes > 2 * live_bytes_ + kShortRingSegments * options_.segment_bytes;
    return nearly_dead && ring_is_long ? kRelaxedCleaningRate : 0;
}

// The current records of the oldest segment always fit into one free segment.
void RingStore::cleanOldestSegment() {
    if (segments_.empty() || isOldestActive()) return;
    const Segment* oldest = &segments_.front();
    while (&segments_.front() == oldest && !oldest->live.empty()) {
        if (!rewriteOldestLiveRecord()) return;
    }
    releaseDeadSegments();
}

// Used when removals consume segments faster than cleaning frees them. Cleans until enough segments are free,
// and at most once around the ring.
void RingStore::cleanUntilSegmentsAreFree() {
    std::size_t attempts_left = segments_.size();
    while (freeSlots() < kMinReservedSegments && attempts_left > 0 && acceptsWrites()) {
        cleanOldestSegment();
        --attempts_left;
    }
}

bool RingStore::isCleaningBlocked() const {
    return unreadable_entry_ != nullptr && changes_until_read_retry_ > 0;
}

bool RingStore::rewriteOldestLiveRecord() {
    if (isCleaningBlocked()) return false;
    Entry& entry = segments_.front().live.front();
    const std::size_t size = entry.recordSize();
    if (!fits(size) && !startSegment()) return false;
    try {
        const std::string value = readValue(entry);
        const std::uint64_t offset = write(RecordType::put, *entry.key, value);
        unlink(entry);
        link(entry, *active_segment_, offset, value.size());
    } catch (const StorageError& error) {
        LOG(ERROR) << "cannot clean the oldest ring segment: " << error.what();
        unreadable_entry_ = &entry;
        changes_until_read_retry_ = kChangesUntilReadRetry;
        return false;
    }
    ++statistics_.records_rewritten;
    statistics_.bytes_rewritten += size;
    return true;
}

}  // namespace amberswitch::cluster
