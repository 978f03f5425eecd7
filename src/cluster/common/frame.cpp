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

void putNumber(char* to, std::uint64_t value, std::size_t bytes) {
    for (std::size_t index = bytes; index-- > 0; value >>= kBitsPerByte) to[index] = static_cast<char>(value);
}

std::uint64_t getNumber(const char* from, std::size_t bytes) {
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < bytes; ++index) {
        value = (value << kBitsPerByte) | static_cast<unsigned char>(from[index]);
    }
    return value;
}

}  // namespace

FramePrefix encodePrefix(const Frame& frame) {
    FramePrefix prefix;
    putNumber(prefix.data(), kFrameHeadBytes + frame.body.size(), kFrameLengthBytes);
    putNumber(prefix.data() + kIdOffset, frame.id, kIdBytes);
    putNumber(prefix.data() + kKindOffset, frame.kind, kKindBytes);
    putNumber(prefix.data() + kFlagsOffset, frame.reply ? kReplyFlag : 0, kFlagsBytes);
    return prefix;
}

FrameHead decodePrefix(std::string_view bytes) {
    const std::uint64_t length = getNumber(bytes.data(), kFrameLengthBytes);
    const std::uint64_t flags = getNumber(bytes.data() + kFlagsOffset, kFlagsBytes);
    const bool has_length = length >= kFrameHeadBytes && length <= kMaxFrameBytes;
    if (!has_length) throw BadFrame("length " + std::to_string(length));
    if (flags > kReplyFlag) throw BadFrame("flags " + std::to_string(flags));
    FrameHead head;
    head.id = getNumber(bytes.data() + kIdOffset, kIdBytes);
    head.kind = static_cast<std::uint16_t>(getNumber(bytes.data() + kKindOffset, kKindBytes));
    head.reply = flags == kReplyFlag;
    head.body_bytes = length - kFrameHeadBytes;
    return head;
}

}  // namespace amberswitch::cluster
