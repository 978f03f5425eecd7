// Opens a ring on a disk that may be temporarily unavailable.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cluster/storage/ring_store.hpp"

namespace amberswitch::cluster {

// Opens the ring, retrying as long as the disk returns errors: a process that exited instead would meet the
// same error after its restart, and its platform may grant only a few restarts. `wait` is called with the
// delay before each retry and returns when the retry is due. Throws std::invalid_argument like RingStore.
std::unique_ptr<RingStore> openRing(Scheduler& scheduler, const std::string& directory,
                                    const RingOptions& options, const std::function<void(Millis)>& wait);

}  // namespace amberswitch::cluster
