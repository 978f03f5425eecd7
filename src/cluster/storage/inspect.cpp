#include "cluster/storage/inspect.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/storage/ring_layout.hpp"
#include "cluster/storage/segment_file.hpp"

namespace amberswitch::cluster {
namespace {

// Counts of one segment.
struct SegmentSummary {
    FoundSegment found;
    std::uint64_t puts = 0;
    std::uint64_t erases = 0;
    std::uint64_t live_records = 0;
    std::uint64_t live_bytes = 0;
    std::uint64_t end = 0;            // offset at which the valid records end
    bool bad_record_follows = false;  // torn, damaged, or left by an earlier use of the file

    std::uint64_t deadBytes() const { return end - kSegmentHeaderBytes - live_bytes; }
};

struct CurrentRecord {
    std::size_t segment = 0;  // index in Inspector::summaries_
    std::uint64_t bytes = 0;
};

class Inspector {
public:
    explicit Inspector(const std::string& directory) {
        const std::size_t slots = slotCountInDirectory(directory);
        for (std::size_t slot = 0; slot < slots; ++slot) {
            files_.push_back(std::make_shared<SegmentFile>(segmentPath(directory, slot)));
        }
        layout_ = readLayout(files_, FileAccess::read_only);
        for (const FoundSegment& found : layout_.current) scan(found);
    }

    void print(std::ostream& out) const {
        for (const SegmentSummary& summary : summaries_) print(out, summary);
        for (const FoundSegment& found : layout_.released) {
            out << "slot " << found.slot << " generation " << found.header.generation << " released\n";
        }
        for (const std::size_t slot : layout_.without_header) out << "slot " << slot << " no valid header\n";
        for (const std::size_t slot : layout_.missing) out << "slot " << slot << " no file\n";
        printTotal(out);
    }

private:
    void scan(const FoundSegment& found) {
        const std::size_t index = summaries_.size();
        summaries_.push_back({});
        summaries_[index].found = found;
        SegmentReader reader(*files_[found.slot]);
        const std::uint64_t end =
            scanRecords(reader, found.header,
                        [this, index](std::uint64_t, const RecordView& record) { apply(index, record); });
        summaries_[index].end = end;
        summaries_[index].bad_record_follows =
            peekRecordBytes(reader.at(end, kRecordHeaderBytes)).has_value();
    }

    void apply(std::size_t index, const RecordView& record) {
        const std::string key(record.key);
        removeCurrent(key);
        if (record.type == RecordType::erase) {
            ++summaries_[index].erases;
            return;
        }
        ++summaries_[index].puts;
        ++summaries_[index].live_records;
        summaries_[index].live_bytes += record.bytes;
        current_[key] = {index, record.bytes};
    }

    void removeCurrent(const std::string& key) {
        const auto found = current_.find(key);
        if (found == current_.end()) return;
        --summaries_[found->second.segment].live_records;
        summaries_[found->second.segment].live_bytes -= found->second.bytes;
        current_.erase(found);
    }

    static void print(std::ostream& out, const SegmentSummary& summary) {
        out << "slot " << summary.found.slot << " generation " << summary.found.header.generation;
        out << " oldest " << summary.found.header.oldest_generation;
        out << " puts " << summary.puts << " erases " << summary.erases;
        out << " live " << summary.live_records << " live_bytes " << summary.live_bytes;
        out << " dead_bytes " << summary.deadBytes() << " end " << summary.end;
        if (summary.bad_record_follows) out << " bad_record_at " << summary.end;
        out << '\n';
    }

    void printTotal(std::ostream& out) const {
        std::uint64_t live_bytes = 0;
        std::uint64_t dead_bytes = 0;
        for (const SegmentSummary& summary : summaries_) {
            live_bytes += summary.live_bytes;
            dead_bytes += summary.deadBytes();
        }
        out << "segments " << summaries_.size() << " of " << files_.size() << " records " << current_.size();
        out << " live_bytes " << live_bytes << " dead_bytes " << dead_bytes << '\n';
    }

    std::vector<std::shared_ptr<SegmentFile>> files_;
    RingLayout layout_;
    std::vector<SegmentSummary> summaries_;
    std::unordered_map<std::string, CurrentRecord> current_;
};

}  // namespace

void inspectRing(const std::string& directory, std::ostream& out) {
    Inspector(directory).print(out);
}

}  // namespace amberswitch::cluster
