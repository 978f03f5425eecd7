// The size of the ring on disk that holds a core machine's register.
#pragma once

#include <cstdint>

namespace amberswitch::cluster {

inline constexpr std::uint64_t kRegisterRingBytes = 24 * 1024 * 1024;
// No record is larger than a segment: it takes the largest value of a configuration several times.
inline constexpr std::uint32_t kRegisterSegmentBytes = 4 * 1024 * 1024;

}  // namespace amberswitch::cluster
