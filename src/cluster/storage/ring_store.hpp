// RecordStore on disk: a log-structured ring of preallocated files (segments), which are written one after
// the other and reused in place. New records are appended to the newest segment. The oldest segment is
// released when it holds no current record. When free segments become scarce, cleaning rewrites the current
// records of the oldest segment to the newest one, a bounded amount with each change. Segments older than the
// oldest one are ignored, so a removal record must be kept only until it is in the oldest segment.
//
// The index of keys is in memory, values are on disk only. All members are used on the scheduler's thread;
// writes and syncs run on a separate thread (sync_thread.hpp). Members that access the disk throw
// StorageError on an I/O error.
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
    std::uint64_t capacity_bytes = 64 * 1024 * 1024;  // total size of all files
    // Size of each file, and limit of a record. Should not be changed for an existing ring.
    std::uint32_t segment_bytes = 1024 * 1024;
    // put() returns false while more than this is in memory and not yet durable, so that a stalled disk
    // doesn't exhaust the memory; putFromReserve() does so at twice as much.
    std::uint64_t max_unsynced_bytes = 16 * 1024 * 1024;
    Millis retry_interval{250};  // between attempts to write to a failing disk
};

// Counters since the ring was opened.
struct RingStatistics {
    std::uint64_t segments_started = 0;
    std::uint64_t records_rewritten = 0;  // by cleaning
    std::uint64_t bytes_rewritten = 0;
};

class RingStore : public RecordStore {
public:
    // Opens the ring in `directory`, which is created if necessary. Blocks on disk I/O. Throws StorageError
    // on an I/O error, std::invalid_argument if the options allow fewer than kMinSegments segments.
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

    // Position of the current record of a key.
    struct Entry : boost::intrusive::list_base_hook<> {
        const std::string* key = nullptr;  // points to the key in the index
        Segment* segment = nullptr;
        std::uint32_t offset = 0;
        std::uint32_t value_bytes = 0;

        std::size_t recordSize() const { return recordBytes(key->size(), value_bytes); }
    };
    using EntryList = boost::intrusive::list<Entry, boost::intrusive::constant_time_size<false>>;

    struct Segment {
        SegmentHeader header;
        std::uint64_t checksum_seed = 0;
        std::size_t slot = 0;  // index in files_
        std::uint64_t used_bytes = 0;
        // Sequence numbers of the records found on opening; 0 if there were none.
        std::uint64_t first_sequence = 0;
        std::uint64_t last_sequence = 0;
        std::uint64_t live_bytes = 0;
        EntryList live;  // current records, ordered by offset
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

    // Index of current records.
    void setCurrent(std::string_view key, Segment& segment, std::uint64_t offset, std::size_t value_bytes);
    void link(Entry& entry, Segment& segment, std::uint64_t offset, std::size_t value_bytes);
    void unlink(Entry& entry);
    // Returns the value if the bytes are the intact record of the entry, otherwise nothing.
    std::optional<std::string> valueOf(const Entry& entry, std::string_view record_bytes) const;
    std::string readValue(const Entry& entry) const;

    // Space management and cleaning.
    bool fits(std::size_t record_bytes) const;
    // True while the disk works and no more than max_unsynced_bytes are in memory.
    bool acceptsWrites() const;
    bool hasRoomFor(std::string_view key, std::size_t size, double live_share) const;
    void writePut(std::string_view key, std::string_view value);
    // Writes the removal records that found no free segment so far, since a ring isn't cleaned while its disk
    // fails.
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
    // True while the first current record of the oldest segment can't be read; reading it is retried after
    // kChangesUntilReadRetry changes.
    bool isCleaningBlocked() const;
    std::uint64_t write(RecordType type, std::string_view key, std::string_view value);
    bool isOldestActive() const {
        return active_segment_ != nullptr && active_segment_ == &segments_.front();
    }
    SyncThread::Place placeOf(const Segment& segment, std::uint64_t offset) const;

    const std::string directory_;
    const RingOptions options_;
    const std::size_t slot_count_;         // as given by the capacity
    std::size_t max_files_ = 0;            // more than slot_count_, in case crashes left no free file
    const std::size_t reserved_segments_;  // free segments that put() leaves alone
    bool was_empty_ = false;
    bool has_missing_records_ = false;

    std::vector<std::shared_ptr<SegmentFile>> files_;  // by slot; may exceed slot_count_ after crashes
    std::deque<std::size_t> released_slots_;           // slots of released segments, oldest first
    std::vector<std::size_t> unused_slots_;            // slots without a file
    std::deque<Segment> segments_;                     // oldest first
    Segment* active_segment_ = nullptr;  // newest segment; null until this process has started one
    Index index_;
    std::uint64_t live_bytes_ = 0;
    std::uint64_t last_generation_ = 0;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t salt_ = 0;
    std::size_t cleaning_credit_ = 0;  // bytes that cleaning may rewrite
    const Entry* unreadable_entry_ = nullptr;
    std::size_t changes_until_read_retry_ = 0;
    std::string encode_buffer_;
    RingStatistics statistics_;
    std::set<std::string, std::less<>> pending_removals_;
    std::function<void(bool)> on_health_;
    SyncThread sync_thread_;
};

}  // namespace amberswitch::cluster
