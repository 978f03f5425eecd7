// Opening a ring: which segments are current, and the index of what they hold.
#include <glog/logging.h>

#include <algorithm>

#include "cluster/storage/ring_files.hpp"
#include "cluster/storage/ring_store.hpp"
#include "cluster/storage/storage_error.hpp"

namespace amberswitch::cluster {
namespace {

// Numbers that a lost end of the last life may have used are never used again.
constexpr std::uint64_t kGenerationGap = 1024;
constexpr std::uint64_t kSequenceGap = 1U << 20U;

}  // namespace

void RingStore::open() {
    createFolder(directory_);
    const std::size_t existing = slotsInFolder(directory_);
    while (files_.size() < std::max(slot_count_, existing)) addFile();
    const std::vector<FoundSegment> found = findSegments();
    was_empty_ = found.empty();
    if (found.empty()) return;
    const SegmentHeader& newest = found.back().header;
    for (const FoundSegment& segment : found) {
        if (segment.header.generation < newest.oldest_generation) {
            released_slots_.push_back(segment.slot);
        } else {
            load(segment);
        }
    }
    // Only the newest segment may hold something that was written and not synced. Nobody may be told of it
    // before it is durable.
    files_[found.back().slot]->sync();
    last_generation_ = newest.generation + kGenerationGap;
    last_sequence_ += kSequenceGap;
    LOG(INFO) << directory_ << ": " << segments_.size() << " segments, " << index_.size() << " records, "
              << live_bytes_ << " bytes";
}

std::size_t RingStore::addFile() {
    const std::size_t slot = files_.size();
    files_.push_back(std::make_shared<SegmentFile>(segmentPath(directory_, slot)));
    return slot;
}

std::vector<RingStore::FoundSegment> RingStore::findSegments() {
    std::vector<FoundSegment> found;
    for (std::size_t slot = 0; slot < files_.size(); ++slot) {
        if (!files_[slot]->openExisting()) {
            unused_slots_.push_back(slot);
            continue;
        }
        SegmentReader reader(*files_[slot]);
        if (const auto header = readSegmentHeader(reader)) {
            found.push_back({*header, slot});
        } else {
            released_slots_.push_back(slot);
        }
    }
    std::reverse(unused_slots_.begin(), unused_slots_.end());  // the lowest comes first
    const auto older = [](const FoundSegment& a, const FoundSegment& b) {
        return a.header.generation < b.header.generation;
    };
    std::sort(found.begin(), found.end(), older);
    return found;
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
    if (record.type == RecordType::put) return setCurrent(record.key, segment, offset, record.value.size());
    const auto found = index_.find(record.key);
    if (found == index_.end()) return;
    unlink(found->second);
    index_.erase(found);
}

}  // namespace amberswitch::cluster
