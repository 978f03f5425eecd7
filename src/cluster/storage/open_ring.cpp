#include "cluster/storage/open_ring.hpp"

#include <glog/logging.h>

#include <algorithm>

#include "cluster/storage/storage_error.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kInitialRetryDelay{100};
constexpr Millis kMaxRetryDelay{1000};

}  // namespace

std::unique_ptr<RingStore> openRing(Scheduler& scheduler, const std::string& directory,
                                    const RingOptions& options, const std::function<void(Millis)>& wait) {
    Millis delay = kInitialRetryDelay;
    while (true) {
        try {
            return std::make_unique<RingStore>(scheduler, directory, options);
        } catch (const StorageError& error) {
            LOG(ERROR) << "cannot open the ring, retrying: " << error.what();
        }
        wait(delay);
        delay = std::min(2 * delay, kMaxRetryDelay);
    }
}

}  // namespace amberswitch::cluster
