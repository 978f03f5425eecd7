// Decides on the next change of the voter set, if any. Each change adds or removes a single machine, so that
// every majority of the old set shares a voter with every majority of the new one.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

// The state of a core machine as observed by the leader.
struct CoreObservation {
    NodeAddress address;
    bool live = false;       // not leaving, and has recently renewed its lease
    bool timed_out = false;  // without a renewal for so long that it counts as lost
    bool ready = false;      // live and has the register's data
    std::string zone = {};   // empty: unknown
    std::string region = {};
};

// How many zones, and how many regions, may be lost at once while a majority of the voters remains.
struct DomainTolerance {
    std::size_t zones = 0;
    std::size_t regions = 0;
};

// Returns the voter set after one change, or std::nullopt if the voters should stay as they are.
//
// A ready machine becomes a voter. A voter is removed if it has timed out, or if it is merely not live while
// the set could not survive the loss of `tolerated_machines` live voters. Removal requires more than 2 *
// `tolerated_machines` + 1 (and 3) voters, or exactly that many and a ready machine that the next change
// adds. Every change needs a majority of live voters both before and after it, so that the next change can be
// made too.
//
// With `tolerated_domains`, no zone or region gets so many voters that losing as many zones or regions as
// given could remove the majority, as far as the live machines permit it and the location of each of them is
// known: a machine that would exceed the limit does not become a voter, and while all voters are live, a
// voter of a zone or region above its limit is removed, down to 2 * `tolerated_machines` + 1 (and 3) voters.
std::optional<VoterSet> nextVoters(const VoterSet& current, const std::vector<CoreObservation>& machines,
                                   std::size_t tolerated_machines,
                                   const DomainTolerance& tolerated_domains = {});

}  // namespace amberswitch::cluster
