// Opening a ring on a disk that may refuse for a while.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cluster/storage/ring_store.hpp"

namespace amberswitch::cluster {

// Opens the ring, again and again while the disk refuses: a process that ended instead would start into the
// same error, and one of a few starts may be all that its platform grants. `wait` is called between two tries
// with the pause; it returns when the next one is due. Throws std::invalid_argument like RingStore.
std::unique_ptr<RingStore> openRing(Scheduler& scheduler, const std::string& directory,
                                    const RingOptions& options, const std::function<void(Millis)>& wait);

}  // namespace amberswitch::cluster
