// The unit of what processes of the cluster write to each other. In network byte order: a length of 4 bytes
// (of all that follows), a request id of 8, a kind of 2, flags of 1, and the body.
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
inline constexpr std::size_t kMaxFrameBytes = 64 * 1024 * 1024;  // by the length that it states
inline constexpr std::size_t kMaxBodyBytes = kMaxFrameBytes - kFrameHeaderBytes;

using FramePrefix = std::array<char, kFramePrefixBytes>;

struct FrameHeader {
    std::uint64_t id = 0;  // of the request; its answer carries the same
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

// Bytes that are not a frame; what() tells why.
class InvalidFrame : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

FramePrefix encodePrefix(const Frame& frame);

// Reads the first kFramePrefixBytes of `bytes`, which must hold as many. Throws InvalidFrame.
FrameHeader decodePrefix(std::string_view bytes);

}  // namespace amberswitch::cluster
