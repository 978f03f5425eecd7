// Which change of the register's voters comes next, if any. A change adds or removes one machine, so that
// each majority of one set meets each majority of the next.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

// What the leader sees of one core machine.
struct CoreObservation {
    NodeAddress address;
    bool live = false;      // stays, and has lately renewed its lease here
    bool silent = false;    // for so long that it counts as gone in any case
    bool ready = false;     // live and has the register's data
    std::string zone = {};  // empty: not known
    std::string region = {};
};

// How many zones, and how many regions, may be lost at once while a majority of the voters is left.
struct VoterSpread {
    std::size_t zones = 0;
    std::size_t regions = 0;
};

// The set after one change; nothing where the voters should stay as they are.
//
// A machine that is ready becomes a voter. A voter that is silent, or that is merely not live while the set
// could not bear the loss of `tolerated` live voters, is removed: where more than 2 * `tolerated` + 1 (and 3)
// are left to choose from, or just as many and a ready machine stands by, which is added by the next change.
// Every change needs a majority of live voters before and after it, so that the next one can be made too.
//
// With a `spread`, no zone or region gets so many voters that the loss of as many zones or regions as it
// names could take the majority, as far as the live machines allow it and all their places are known: such a
// machine does not become a voter, and while all voters are live one of a place with too many is removed,
// down to 2 * `tolerated` + 1 (and 3).
std::optional<VoterSet> nextVoters(const VoterSet& current, const std::vector<CoreObservation>& machines,
                                   std::size_t tolerated, const VoterSpread& spread = {});

}  // namespace amberswitch::cluster
