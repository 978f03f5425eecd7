#include "cluster/control/configuration_assembler.hpp"

#include <glog/logging.h>
#include <xxhash.h>

#include <utility>

namespace amberswitch::cluster {

bool ConfigurationAssembler::beginsAnew(const ConfigurationPage& page) const {
    return page.offset == 0 && (!isUnderWay() || page.update_digest != update_digest_);
}

std::optional<std::string> ConfigurationAssembler::add(const ConfigurationPage& page) {
    if (beginsAnew(page)) {
        update_digest_ = page.update_digest;
        bytes_.clear();
    }
    if (page.update_digest != update_digest_ || page.offset != bytes_.size()) return std::nullopt;
    bytes_ += page.bytes;
    if (bytes_.size() < page.total_bytes) return std::nullopt;
    const std::uint64_t expected = std::exchange(update_digest_, 0);
    std::string whole = std::exchange(bytes_, {});
    if (XXH64(whole.data(), whole.size(), 0) == expected) return whole;
    LOG(ERROR) << "the pages of configuration " << page.configuration.generation
               << " do not make its update; they are asked for again";
    return std::nullopt;
}

}  // namespace amberswitch::cluster
