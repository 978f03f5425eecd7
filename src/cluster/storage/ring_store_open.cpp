// Opens a ring: determines the current segments and builds the index of their records.
#include <glog/logging.h>

#include <algorithm>
#include <filesystem>
#include <system_error>

#include "cluster/storage/ring_layout.hpp"
#include "cluster/storage/ring_store.hpp"
#include "cluster/storage/storage_error.hpp"

namespace amberswitch::cluster {
namespace {

// Generations and sequence numbers skip this much on opening, so that numbers used by a lost tail of the
// previous process are never reused.
constexpr std::uint64_t kGenerationGap = 1024;
constexpr std::uint64_t kSequenceGap = 1U << 20U;
// Files allowed beyond the capacity, or beyond the segments left by an earlier, larger capacity.
constexpr std::size_t kExtraFiles = 2;

// Creates the directory. Returns false if the disk is full; the directory is then created with the first
// segment.
bool createDirectoryUnlessFull(const std::string& directory) {
    std::error_code error;
    std::filesystem::create_directories(directory, error);
    if (error == std::errc::no_space_on_device) return std::filesystem::exists(directory);
    if (error) throw StorageError(directory, "create folder", error.message());
    return true;
}

}  // namespace

void RingStore::open() {
    const bool has_folder = createDirectoryUnlessFull(directory_);
    const std::size_t slots =
        has_folder ? std::max(slot_count_, slotCountInDirectory(directory_)) : slot_count_;
    while (files_.size() < slots) addFile();
    const RingLayout layout = readLayout(files_, FileAccess::read_write);
    released_slots_.assign(layout.without_header.begin(), layout.without_header.end());
    for (const FoundSegment& segment : layout.released) released_slots_.push_back(segment.slot);
    unused_slots_.assign(layout.missing.rbegin(), layout.missing.rend());
    was_empty_ = layout.current.empty();
    max_files_ = std::max(slot_count_, layout.current.size()) + kExtraFiles;
    if (was_empty_) return;
    for (const FoundSegment& segment : layout.current) load(segment);
    const FoundSegment& newest = layout.current.back();
    has_missing_records_ = hasGaps();
    if (has_missing_records_) LOG(ERROR) << directory_ << ": durable records are missing or damaged";
    makeDurable(segments_.back());
    last_generation_ = newest.header.generation + kGenerationGap;
    last_sequence_ += kSequenceGap;
    LOG(INFO) << directory_ << ": " << segments_.size() << " segments, " << index_.size() << " records, "
              << live_bytes_ << " bytes";
}

// Only the newest segment may hold records that were written but not synced. They must be durable before the
// store reports them. A plain sync is not enough: if a sync of the previous process failed, a later
// successful sync doesn't cover the data written before it. So the whole segment is written again and synced.
void RingStore::makeDurable(const Segment& newest) {
    SegmentFile& file = *files_[newest.slot];
    const std::string content = file.readAt(0, newest.used_bytes);
    try {
        file.writeAt(0, content);
        file.sync();
    } catch (const StorageError& error) {
        sync_thread_.append(placeOf(newest, 0), content);
        sync_thread_.fail(error.what());
    }
}

// Returns true if durable records are missing. Within one process, generations and sequence numbers increase
// by one. A segment is synced before the next one is started, so only the last segment of a process may be
// incomplete. The oldest may be, too: once it is released, its file is reused for a new segment, of which a
// power loss may preserve the records but not the header.
bool RingStore::hasGaps() const {
    for (std::size_t i = 1; i < segments_.size(); ++i) {
        const Segment& before = segments_[i - 1];
        const Segment& after = segments_[i];
        const std::uint64_t step = after.header.generation - before.header.generation;
        if (step > kGenerationGap) continue;  // written by another process
        if (step != 1) return true;
        const bool before_is_oldest = i == 1;
        if (before_is_oldest) continue;
        const bool follows = after.first_sequence == 0 || after.first_sequence == before.last_sequence + 1;
        if (before.last_sequence == 0 || !follows) return true;
    }
    return false;
}

std::size_t RingStore::addFile() {
    const std::size_t slot = files_.size();
    files_.push_back(std::make_shared<SegmentFile>(segmentPath(directory_, slot)));
    return slot;
}

void RingStore::load(const FoundSegment& found) {
    Segment& segment = segments_.emplace_back();
    segment.header = found.header;
    segment.checksum_seed = found.header.checksumSeed();
    segment.slot = found.slot;
    SegmentReader reader(*files_[found.slot]);
    segment.used_bytes = scanRecords(
        reader, found.header,
        [this, &segment](std::uint64_t offset, const RecordView& record) { apply(segment, offset, record); });
}

void RingStore::apply(Segment& segment, std::uint64_t offset, const RecordView& record) {
    last_sequence_ = std::max(last_sequence_, record.sequence);
    if (segment.first_sequence == 0) segment.first_sequence = record.sequence;
    segment.last_sequence = record.sequence;
    if (record.type == RecordType::put) return setCurrent(record.key, segment, offset, record.value.size());
    const auto found = index_.find(record.key);
    if (found == index_.end()) return;
    unlink(found->second);
    index_.erase(found);
}

}  // namespace amberswitch::cluster
