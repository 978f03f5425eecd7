// The `gearman` section of the operator file: where the front listens, and what the protocol does not carry.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/deadlines.hpp"
#include "settings/strict.hpp"

namespace amberswitch::gearman {

struct Config {
    std::string listen;  // empty: the front is off
    std::string name = "amberswitch";
    struct Function {
        Nanos deadline{0}, backgroundDeadline{0};
        double slots = 1;
    };
    std::vector<Function> functions;               // one for each class, by its place
    std::map<std::string, int> tenants;            // by what a client calls itself
    int tenant = -1;                               // of clients that call themselves nothing known
    std::size_t workerSlots = 1, workerQueue = 8;  // jobs that a worker runs at once; that may wait for it
    std::size_t maxJobs = 1000;                    // jobs of all clients that are open at once
};

Config readConfig(const settings::Node& section, const settings::Site& site);  // throws settings::BadField

}  // namespace amberswitch::gearman
