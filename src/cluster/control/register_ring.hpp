// Size of the on-disk ring that stores the register of a core machine.
#pragma once

#include <cstdint>

namespace amberswitch::cluster {

inline constexpr std::uint64_t kRegisterRingBytes = 24 * 1024 * 1024;
// A record must fit into one segment; the segment size is several times the largest configuration value.
inline constexpr std::uint32_t kRegisterSegmentBytes = 4 * 1024 * 1024;

}  // namespace amberswitch::cluster
