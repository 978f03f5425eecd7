// Which change of the register's voters comes next, if any. A change adds or removes one machine, so that
// each majority of one set meets each majority of the next.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

// What the leader sees of one core machine.
struct CoreObservation {
    NodeAddress address;
    bool live = false;    // renews its lease here
    bool silent = false;  // for so long that it counts as gone
    bool ready = false;   // live, stays, and has the register's data
};

// The set after one change; nothing where the voters should stay as they are.
// A machine that is ready becomes a voter. A silent voter goes where more than 2 * `tolerated` + 1 (and 3)
// are left to choose from; so a lost voter goes only after a new one has come.
std::optional<VoterSet> nextVoters(const VoterSet& current, const std::vector<CoreObservation>& machines,
                                   std::size_t tolerated);

}  // namespace amberswitch::cluster
