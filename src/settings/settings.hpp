// The settings object that a dispatcher is started with, on the simulator's wire and on the platform alike.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "heronmount/dispatcher.hpp"

namespace amberswitch::settings {

struct BadField : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// What the program needs of the settings beside what the module takes: names and limits of the wire.
struct Site {
    heronmount::Settings module;
    std::vector<std::string> classes, tenants, zones, kinds;
    heronmount::Nanos idleClose{0}, connectTimeout{0}, drainGrace{0};
};

// FNV-1a: the same number for a worker at every instance.
std::uint64_t fingerprint(std::string_view name);

}  // namespace amberswitch::settings
