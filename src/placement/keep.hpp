// Standings that outlive the process, where the operator names a file: a process that starts later would take
// a label that was changed under a running server for the only one there ever was.
#pragma once

#include "core/core.hpp"
#include "store/keeper.hpp"

namespace amberswitch::placement {

constexpr Nanos kKeepAge = std::chrono::hours(24 * 365);  // a server may run for long

inline void keepStandings(Core& core, store::Keeper& keeper, Time now) {
    if (!keeper.on() || !core.placement().on()) return;
    if (const auto kept = keeper.load(now)) try {
            core.placement().recall(kept->body);
        } catch (const settings::BadField& bad) {
            keeper.refuse(bad.what());
        }
    core.setStandingsChanged([&](Time at) { keeper.save(at, core.placement().standings()); });
}

}  // namespace amberswitch::placement
