// Wire format of the messages between processes of the cluster. A frame consists of, in network byte order: a
// length of 4 bytes (of everything that follows it), a request id of 8 bytes, a message kind of 2 bytes,
// flags of 1 byte, and the body.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace amberswitch::cluster {

inline constexpr std::size_t kFrameLengthBytes = 4;
inline constexpr std::size_t kFrameHeaderBytes = 8 + 2 + 1;  // id, kind, flags
inline constexpr std::size_t kFramePrefixBytes = kFrameLengthBytes + kFrameHeaderBytes;
inline constexpr std::size_t kMaxFrameBytes = 64 * 1024 * 1024;  // limit of the length field
inline constexpr std::size_t kMaxBodyBytes = kMaxFrameBytes - kFrameHeaderBytes;

using FramePrefix = std::array<char, kFramePrefixBytes>;

struct FrameHeader {
    std::uint64_t id = 0;  // of the request; the reply carries the same id
    std::uint16_t kind = 0;
    bool is_reply = false;
    std::size_t body_bytes = 0;
};

struct Frame {
    std::uint64_t id = 0;
    std::uint16_t kind = 0;
    bool is_reply = false;
    std::string body;
};

// Thrown for bytes that are not a valid frame; what() gives the reason.
class InvalidFrame : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Encodes the length and header of a frame, which precede its body.
FramePrefix encodePrefix(const Frame& frame);

// Decodes the first kFramePrefixBytes of `bytes`, which must be at least that long. Throws InvalidFrame.
FrameHeader decodePrefix(std::string_view bytes);

}  // namespace amberswitch::cluster
