#include "cluster/common/frame.hpp"

namespace amberswitch::cluster {

namespace {

constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kKindBytes = 2;
constexpr std::size_t kFlagsBytes = 1;
constexpr std::size_t kIdOffset = kFrameLengthBytes;
constexpr std::size_t kKindOffset = kIdOffset + kIdBytes;
constexpr std::size_t kFlagsOffset = kKindOffset + kKindBytes;
static_assert(kFlagsOffset + kFlagsBytes == kFramePrefixBytes);

constexpr std::uint64_t kReplyFlag = 1;
constexpr int kBitsPerByte = 8;

void writeBigEndian(char* to, std::uint64_t value, std::size_t bytes) {
    for (std::size_t index = bytes; index-- > 0; value >>= kBitsPerByte) to[index] = static_cast<char>(value);
}

std::uint64_t readBigEndian(const char* from, std::size_t bytes) {
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < bytes; ++index) {
        value = (value << kBitsPerByte) | static_cast<unsigned char>(from[index]);
    }
    return value;
}

}  // namespace

FramePrefix encodePrefix(const Frame& frame) {
    FramePrefix prefix;
    writeBigEndian(prefix.data(), kFrameHeaderBytes + frame.body.size(), kFrameLengthBytes);
    writeBigEndian(prefix.data() + kIdOffset, frame.id, kIdBytes);
    writeBigEndian(prefix.data() + kKindOffset, frame.kind, kKindBytes);
    writeBigEndian(prefix.data() + kFlagsOffset, frame.is_reply ? kReplyFlag : 0, kFlagsBytes);
    return prefix;
}

FrameHeader decodePrefix(std::string_view bytes) {
    const std::uint64_t length = readBigEndian(bytes.data(), kFrameLengthBytes);
    const std::uint64_t flags = readBigEndian(bytes.data() + kFlagsOffset, kFlagsBytes);
    const bool has_length = length >= kFrameHeaderBytes && length <= kMaxFrameBytes;
    if (!has_length) throw InvalidFrame("length " + std::to_string(length));
    if (flags > kReplyFlag) throw InvalidFrame("flags " + std::to_string(flags));
    FrameHeader header;
    header.id = readBigEndian(bytes.data() + kIdOffset, kIdBytes);
    header.kind = static_cast<std::uint16_t>(readBigEndian(bytes.data() + kKindOffset, kKindBytes));
    header.is_reply = flags == kReplyFlag;
    header.body_bytes = length - kFrameHeaderBytes;
    return header;
}

}  // namespace amberswitch::cluster
