// The record store on disk: a ring of preallocated files, the segments, which are written one after the other
// and reused in place. New records go to the newest segment. The oldest segment is given back when nothing in
// it is current; when segments get scarce its current records are written again at the other end, a bounded
// amount with each change. Everything older than the oldest segment is void, so a removal needs to be on disk
// only until its record is in the oldest segment.
//
// The index of keys is in memory, the values are on disk only. All members belong to the scheduler's thread;
// the disk has a thread of its own (sync_thread.hpp). Members that touch the disk throw StorageError if it
// refuses.
#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/common/scheduler.hpp"
#include "cluster/storage/record_format.hpp"
#include "cluster/storage/record_store.hpp"
#include "cluster/storage/ring_layout.hpp"
#include "cluster/storage/segment_file.hpp"
#include "cluster/storage/sync_thread.hpp"

namespace amberswitch::cluster {

struct RingOptions {
    std::uint64_t capacity_bytes = 64 * 1024 * 1024;  // of all files together
    std::uint32_t segment_bytes = 1024 * 1024;  // of each file; no record is larger; better not changed later
    // put() refuses while this much is in memory only, so that a stalled disk doesn't fill the memory;
    // putFromReserve() at twice as much.
    std::uint64_t max_unsynced_bytes = 16 * 1024 * 1024;
    Millis retry_interval{250};  // of a disk that fails
};

// Counters of a ring since it was opened.
struct RingStatistics {
    std::uint64_t segments_started = 0;
    std::uint64_t records_rewritten = 0;  // by cleaning
    std::uint64_t bytes_rewritten = 0;
};

class RingStore : public RecordStore {
public:
    // Opens the ring in `directory`, which is created if need be; waits for the disk. Throws StorageError if
    // the disk refuses, std::invalid_argument if the options leave fewer than kMinSegments segments.
    RingStore(Scheduler& scheduler, std::string directory, RingOptions options);
    ~RingStore() override;

    bool put(std::string_view key, std::string_view value) override;
    bool putFromReserve(std::string_view key, std::string_view value) override;
    void erase(std::string_view key) override;
    void sync(std::function<void(bool)> done) override;
    std::optional<std::string> read(std::string_view key) const override;
    // The visitor must not change the store.
    void forEach(
        const std::function<void(std::string_view key, const std::string& value)>& visit) const override;
    void forEachKey(const std::function<void(std::string_view key)>& visit) const override;
    bool hasMissingRecords() const override { return has_missing_records_; }
    StoreUsage usage() const override;
    bool wasEmpty() const override { return was_empty_; }
    bool healthy() const override { return !sync_thread_.failed(); }
    void onHealthChange(std::function<void(bool)> listener) override { on_health_ = std::move(listener); }

    const RingStatistics& statistics() const { return statistics_; }

    static constexpr std::size_t kMinSegments = 6;

private:
    struct Segment;

    // Where the current record of a key lies.
    struct Entry : boost::intrusive::list_base_hook<> {
        const std::string* key = nullptr;  // that of the index
        Segment* segment = nullptr;
        std::uint32_t offset = 0;
        std::uint32_t value_bytes = 0;

        std::size_t recordSize() const { return recordBytes(key->size(), value_bytes); }
    };
    using EntryList = boost::intrusive::list<Entry, boost::intrusive::constant_time_size<false>>;

    struct Segment {
        SegmentHeader header;
        std::uint64_t checksum_seed = 0;
        std::size_t slot = 0;  // which file
        std::uint64_t used_bytes = 0;
        // Of what was found on opening; 0: no record.
        std::uint64_t first_sequence = 0;
        std::uint64_t last_sequence = 0;
        std::uint64_t live_bytes = 0;
        EntryList live;  // current records, in the order of their offsets
    };

    struct KeyHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view key) const { return std::hash<std::string_view>{}(key); }
    };
    using Index = std::unordered_map<std::string, Entry, KeyHash, std::equal_to<>>;

    // Opening (ring_store_open.cpp).
    void open();
    std::size_t addFile();
    void load(const FoundSegment& found);
    void apply(Segment& segment, std::uint64_t offset, const RecordView& record);
    void makeDurable(const Segment& newest);
    bool hasGaps() const;

    // The index.
    void setCurrent(std::string_view key, Segment& segment, std::uint64_t offset, std::size_t value_bytes);
    void link(Entry& entry, Segment& segment, std::uint64_t offset, std::size_t value_bytes);
    void unlink(Entry& entry);
    // The value in these bytes, if they are the intact record of the entry.
    std::optional<std::string> valueOf(const Entry& entry, std::string_view record_bytes) const;
    std::string readValue(const Entry& entry) const;

    // Space.
    bool fits(std::size_t record_bytes) const;
    // Neither fails nor has that much in memory only.
    bool acceptsWrites() const;
    bool hasRoomFor(std::string_view key, std::size_t size, double live_share) const;
    void writePut(std::string_view key, std::string_view value);
    // Removals that found no segment, as a failing disk can't be cleaned.
    void stagePendingRemovals();
    std::size_t freeSlots() const { return released_slots_.size() + unused_slots_.size(); }
    std::optional<std::size_t> takeFreeSlot();
    bool startSegment();
    void releaseDeadSegments();
    void clean(std::size_t appended_bytes);
    std::size_t cleaningRate() const;
    void cleanOldestSegment();
    void cleanUntilSegmentsAreFree();
    bool rewriteOldestLiveRecord();
    // The first current record of the oldest segment can't be read; it is tried again some changes later.
    bool cleaningIsBlocked() const;
    std::uint64_t write(RecordType type, std::string_view key, std::string_view value);
    bool isOldestActive() const {
        return active_segment_ != nullptr && active_segment_ == &segments_.front();
    }
    SyncThread::Place placeOf(const Segment& segment, std::uint64_t offset) const;

    const std::string directory_;
    const RingOptions options_;
    const std::size_t slot_count_;         // by the capacity
    std::size_t max_files_ = 0;            // a few more, for where crashes left no free file
    const std::size_t reserved_segments_;  // free segments that put() leaves alone
    bool was_empty_ = false;
    bool has_missing_records_ = false;

    std::vector<std::shared_ptr<SegmentFile>> files_;  // by slot; more than slot_count_ after trouble
    std::deque<std::size_t> released_slots_;  // of segments that are void; the oldest is reused first
    std::vector<std::size_t> unused_slots_;   // whose files don't exist yet
    std::deque<Segment> segments_;            // the oldest first
    Segment* active_segment_ = nullptr;       // the newest, once this process has begun one
    Index index_;
    std::uint64_t live_bytes_ = 0;
    std::uint64_t last_generation_ = 0;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t salt_ = 0;
    std::size_t cleaning_credit_ = 0;  // bytes that cleaning may still rewrite
    const Entry* unreadable_entry_ = nullptr;
    std::size_t changes_until_read_retry_ = 0;  // before it is tried again
    std::string encode_buffer_;
    RingStatistics statistics_;
    std::set<std::string, std::less<>> pending_removals_;
    std::function<void(bool)> on_health_;
    SyncThread sync_thread_;
};

}  // namespace amberswitch::cluster
