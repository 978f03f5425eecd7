// On-disk format of a ring segment: a header followed by contiguous records. Integers are little-endian.
//
// The checksum of a record is seeded with the identity of its segment (generation and salt), so that stale
// records from an earlier use of the same file are never mistaken for records of the current segment.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amberswitch::cluster {

struct SegmentHeader {
    std::uint64_t generation = 0;         // increases by at least one with each new segment
    std::uint64_t oldest_generation = 0;  // older segments held no current record when this one was started
    std::uint64_t salt = 0;               // random, so that no two processes write the same segment identity

    // Seed of the checksums of this segment's records.
    std::uint64_t checksumSeed() const;
};

inline constexpr std::size_t kSegmentHeaderBytes = 40;
inline constexpr std::size_t kRecordHeaderBytes = 32;

enum class RecordType : std::uint8_t { put = 1, erase = 2 };

// A decoded record. Key and value are views into the bytes it was decoded from.
struct RecordView {
    RecordType type = RecordType::put;
    std::uint64_t sequence = 0;
    std::string_view key;
    std::string_view value;
    std::size_t bytes = 0;  // size on disk, including the header
};

// Size of a record on disk, including its header.
constexpr std::size_t recordBytes(std::size_t key_bytes, std::size_t value_bytes) {
    return kRecordHeaderBytes + key_bytes + value_bytes;
}

void appendSegmentHeader(std::string& out, const SegmentHeader& header);
// Returns nothing if the bytes are too short or not a valid header.
std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes);

// Key and value must be shorter than 4 GiB.
void appendRecord(std::string& out, std::uint64_t checksum_seed, RecordType type, std::uint64_t sequence,
                  std::string_view key, std::string_view value);
// Returns the size of the record at the start of `bytes` according to its header, whose checksum is not
// verified; nothing if it is not a record header.
std::optional<std::size_t> peekRecordBytes(std::string_view bytes);
// Decodes the record at the start of `bytes`. Returns nothing if it is incomplete or its checksum is wrong.
std::optional<RecordView> decodeRecord(std::string_view bytes, std::uint64_t checksum_seed);

}  // namespace amberswitch::cluster
