// Number of seeded scenarios that the tests of failing disks run: the given default, or the value of the
// environment variable DISK_PLAYS.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace amberswitch::cluster::simulation {

inline std::uint64_t diskRunCount(std::uint64_t ordinary) {
    const char* const wanted = std::getenv("DISK_PLAYS");
    return wanted == nullptr ? ordinary : std::stoull(wanted);
}

}  // namespace amberswitch::cluster::simulation
