// What a segment of the ring looks like on disk: a header, then records without gaps. Numbers are
// little-endian.
//
// The checksum of a record is seeded with the identity of its segment (generation and salt), so what an
// earlier use of the same file left behind is never taken for a record of the present one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amberswitch::cluster {

struct SegmentHeader {
    std::uint64_t generation = 0;         // rises by at least one with each segment that is begun
    std::uint64_t oldest_generation = 0;  // segments below this held nothing current when this one was begun
    std::uint64_t salt = 0;               // random, so that no two lives of a process write the same segment

    // Seed of the checksums of this segment's records.
    std::uint64_t checksumSeed() const;
};

inline constexpr std::size_t kSegmentHeaderBytes = 40;
inline constexpr std::size_t kRecordHeaderBytes = 32;

enum class RecordType : std::uint8_t { put = 1, erase = 2 };

// A decoded record; key and value point into the bytes it was decoded from.
struct RecordView {
    RecordType type = RecordType::put;
    std::uint64_t sequence = 0;
    std::string_view key;
    std::string_view value;
    std::size_t bytes = 0;  // on disk, with the header
};

// Size on disk of a record.
constexpr std::size_t recordBytes(std::size_t key_bytes, std::size_t value_bytes) {
    return kRecordHeaderBytes + key_bytes + value_bytes;
}

void appendSegmentHeader(std::string& out, const SegmentHeader& header);
// Nothing if the bytes are too few or no header.
std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes);

// Key and value must be shorter than 4 GiB.
void appendRecord(std::string& out, std::uint64_t checksum_seed, RecordType type, std::uint64_t sequence,
                  std::string_view key, std::string_view value);
// Size of the record that begins here, by its unchecked header; nothing if this can't be one.
std::optional<std::size_t> peekRecordBytes(std::string_view bytes);
// The record that begins here; nothing if it is incomplete or its checksum is wrong.
std::optional<RecordView> decodeRecord(std::string_view bytes, std::uint64_t checksum_seed);

}  // namespace amberswitch::cluster
