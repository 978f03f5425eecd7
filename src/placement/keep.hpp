// Persists the placement of servers in the file that the operator names. Without it, a restarted process
// would trust a zone label that was changed while the server was running, because it never saw the earlier
// label.
#pragma once

#include "core/core.hpp"
#include "store/keeper.hpp"

namespace amberswitch::placement {

constexpr Nanos kKeepAge = std::chrono::hours(24 * 365);  // servers may run for a long time

inline void persistPlacements(Core& core, store::StateFile& file, Time now) {
    if (!file.on() || !core.placement().on()) return;
    if (const auto kept = file.load(now)) try {
            core.placement().restorePlacements(kept->body);
        } catch (const settings::BadField& bad) {
            file.refuse(bad.what());
        }
    core.setPlacementsChanged([&](Time at) { file.save(at, core.placement().savedPlacements()); });
}

}  // namespace amberswitch::placement
