#include "cluster/control/configuration_assembler.hpp"

#include <glog/logging.h>
#include <xxhash.h>

#include <utility>

namespace amberswitch::cluster {

bool ConfigurationAssembler::startsNewUpdate(const ConfigurationPage& page) const {
    return page.offset == 0 && (!isInProgress() || page.update_digest != update_digest_);
}

std::optional<std::string> ConfigurationAssembler::add(const ConfigurationPage& page) {
    if (startsNewUpdate(page)) {
        update_digest_ = page.update_digest;
        bytes_.clear();
    }
    if (page.update_digest != update_digest_ || page.offset != bytes_.size()) return std::nullopt;
    bytes_ += page.bytes;
    if (bytes_.size() < page.total_bytes) return std::nullopt;
    const std::uint64_t expected = std::exchange(update_digest_, 0);
    std::string update_bytes = std::exchange(bytes_, {});
    if (XXH64(update_bytes.data(), update_bytes.size(), 0) == expected) return update_bytes;
    LOG(ERROR) << "digest mismatch in the update to configuration " << page.configuration.generation
               << "; requesting its pages again";
    return std::nullopt;
}

}  // namespace amberswitch::cluster
