// How many plays of a kind the tests of failing disks run: few in an ordinary run, or as many as the
// environment variable DISK_PLAYS says.
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
