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
    // Where servers of another wire are in the farm, the module has each class once a wire: those of wire w
    // begin at w * classes.size(). So it chooses among the servers that speak it and learns each wire's job
    // times.
    std::size_t wires = 1;
};

void addWire(Site& site);  // throws BadField if there are too many classes
// The classes of a wire that a machine of this kind can do, a bit each.
std::uint64_t classesOf(const Site& site, std::size_t wire, int kind);

// Of the zones' and kinds' names. What is kept on disk has them as numbers, which mean nothing where the
// names are others.
std::uint64_t siteOf(const Site& site);

// FNV-1a: the same number for a worker at every instance.
std::uint64_t fingerprint(std::string_view name);

}  // namespace amberswitch::settings
