#include "cluster/storage/record_format.hpp"

#include <xxhash.h>

#include <array>
#include <bit>
#include <cstring>
#include <type_traits>

namespace amberswitch::cluster {
namespace {

static_assert(std::endian::native == std::endian::little,
              "headers are written in native byte order, which the format defines as little-endian");

constexpr std::uint64_t kSegmentMagic = 0x31474e4952424d41;  // "AMBRING1"
constexpr std::uint32_t kRecordMagic = 0x44524352;           // "RCRD"

struct RawSegmentHeader {
    std::uint64_t magic;
    std::uint64_t generation;
    std::uint64_t oldest_generation;
    std::uint64_t salt;
    std::uint64_t checksum;  // of the fields before it
};
static_assert(sizeof(RawSegmentHeader) == kSegmentHeaderBytes);
static_assert(std::is_trivially_copyable_v<RawSegmentHeader>);

struct RawRecordHeader {
    std::uint64_t checksum;  // of everything after it: the rest of the header, the key and the value
    std::uint32_t magic;
    std::uint32_t type;
    std::uint32_t key_bytes;
    std::uint32_t value_bytes;
    std::uint64_t sequence;
};
static_assert(sizeof(RawRecordHeader) == kRecordHeaderBytes);
static_assert(std::is_trivially_copyable_v<RawRecordHeader>);

constexpr std::size_t kChecksumBytes = sizeof(std::uint64_t);

std::uint64_t headerChecksum(const RawSegmentHeader& raw) {
    return XXH64(&raw, offsetof(RawSegmentHeader, checksum), 0);
}

std::uint64_t recordChecksum(const char* record, std::size_t bytes, std::uint64_t seed) {
    return XXH64(record + kChecksumBytes, bytes - kChecksumBytes, seed);
}

template <class Raw>
std::optional<Raw> readRaw(std::string_view bytes) {
    if (bytes.size() < sizeof(Raw)) return std::nullopt;
    Raw raw;
    std::memcpy(&raw, bytes.data(), sizeof raw);
    return raw;
}

bool isKnownType(std::uint32_t type) {
    return type == static_cast<std::uint32_t>(RecordType::put) ||
           type == static_cast<std::uint32_t>(RecordType::erase);
}

}  // namespace

std::uint64_t SegmentHeader::checksumSeed() const {
    const std::array<std::uint64_t, 2> identity{generation, salt};
    return XXH64(identity.data(), sizeof identity, 0);
}

void appendSegmentHeader(std::string& out, const SegmentHeader& header) {
    RawSegmentHeader raw{kSegmentMagic, header.generation, header.oldest_generation, header.salt, 0};
    raw.checksum = headerChecksum(raw);
    out.append(reinterpret_cast<const char*>(&raw), sizeof raw);
}

std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes) {
    const auto raw = readRaw<RawSegmentHeader>(bytes);
    if (!raw || raw->magic != kSegmentMagic || raw->checksum != headerChecksum(*raw)) return std::nullopt;
    return SegmentHeader{raw->generation, raw->oldest_generation, raw->salt};
}

void appendRecord(std::string& out, std::uint64_t checksum_seed, RecordType type, std::uint64_t sequence,
                  std::string_view key, std::string_view value) {
    const std::size_t start = out.size();
    const RawRecordHeader raw{0,
                              kRecordMagic,
                              static_cast<std::uint32_t>(type),
                              static_cast<std::uint32_t>(key.size()),
                              static_cast<std::uint32_t>(value.size()),
                              sequence};
    out.append(reinterpret_cast<const char*>(&raw), sizeof raw);
    out.append(key);
    out.append(value);
    const std::uint64_t checksum = recordChecksum(out.data() + start, out.size() - start, checksum_seed);
    std::memcpy(out.data() + start, &checksum, sizeof checksum);
}

std::optional<std::size_t> peekRecordBytes(std::string_view bytes) {
    const auto raw = readRaw<RawRecordHeader>(bytes);
    if (!raw || raw->magic != kRecordMagic || !isKnownType(raw->type)) return std::nullopt;
    return recordBytes(raw->key_bytes, raw->value_bytes);
}

std::optional<RecordView> decodeRecord(std::string_view bytes, std::uint64_t checksum_seed) {
    const auto record_bytes = peekRecordBytes(bytes);
    if (!record_bytes || *record_bytes > bytes.size()) return std::nullopt;
    const auto raw = readRaw<RawRecordHeader>(bytes);
    if (raw->checksum != recordChecksum(bytes.data(), *record_bytes, checksum_seed)) return std::nullopt;
    RecordView record;
    record.type = static_cast<RecordType>(raw->type);
    record.sequence = raw->sequence;
    record.key = bytes.substr(kRecordHeaderBytes, raw->key_bytes);
    record.value = bytes.substr(kRecordHeaderBytes + raw->key_bytes, raw->value_bytes);
    record.bytes = *record_bytes;
    return record;
}

}  // namespace amberswitch::cluster
