#include "cluster/control/configuration_history.hpp"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "cluster/common/configuration_update.hpp"

namespace amberswitch::cluster {
namespace {

// A page of this size takes some 20 ms on a link of 30 Mbit/s, so lease messages are not delayed behind it.
constexpr std::size_t kPageBytes = 32 * 1024;
constexpr std::size_t kMaxVersions = 16;
constexpr std::size_t kMaxOldEntries = 60'000;  // routes and services, in all versions but the newest

std::uint64_t digestOf(const std::string& bytes) {
    return XXH64(bytes.data(), bytes.size(), 0);
}

}  // namespace

ConfigurationPage EncodedUpdate::pageAfter(const UpdateProgress& progress) const {
    const bool continues = progress.update_digest == digest && progress.received_bytes < bytes.size();
    const std::size_t offset = continues ? progress.received_bytes : 0;
    return {base_generation, configuration, digest, bytes.size(), offset, bytes.substr(offset, kPageBytes)};
}

bool ConfigurationHistory::add(const ConfigurationState& state) {
    if (state.generation <= newestGeneration()) return false;
    std::shared_ptr<const Configuration> configuration;
    try {
        configuration = std::make_shared<const Configuration>(parseConfiguration(state.body));
    } catch (const ConfigurationError& error) {
        LOG(ERROR) << "configuration " << state.generation
                   << " is invalid and will not be distributed: " << error.what();
        return false;
    }
    versions_.push_back({{state.generation, digestOf(state.body)}, std::move(configuration)});
    evictOldest();
    updates_.clear();
    return true;
}

void ConfigurationHistory::evictOldest() {
    std::size_t older_entries = 0;
    for (std::size_t i = 0; i + 1 < versions_.size(); ++i) older_entries += versions_[i].entryCount();
    while (versions_.size() > kMaxVersions || older_entries > kMaxOldEntries) {
        older_entries -= std::min(older_entries, versions_.front().entryCount());
        versions_.pop_front();
    }
}

const Configuration* ConfigurationHistory::find(const ConfigurationVersion& base) const {
    const auto found = std::find_if(versions_.begin(), versions_.end(),
                                    [&](const Version& version) { return version.known == base; });
    return found == versions_.end() ? nullptr : found->configuration.get();
}

const EncodedUpdate& ConfigurationHistory::updateFrom(const ConfigurationVersion& base) {
    const Configuration* const from = find(base);
    const std::int64_t base_generation = from == nullptr ? 0 : base.generation;
    const auto cached = updates_.find(base_generation);
    if (cached != updates_.end()) return cached->second;
    EncodedUpdate update;
    update.base_generation = base_generation;
    update.configuration = versions_.back().known;
    update.bytes = encodeUpdate(cluster::makeUpdate(from, *versions_.back().configuration));
    update.digest = digestOf(update.bytes);
    LOG(INFO) << "encoded update to configuration " << update.configuration.generation << " from "
              << base_generation << ": " << update.bytes.size() << " bytes";
    return updates_.emplace(base_generation, std::move(update)).first->second;
}

}  // namespace amberswitch::cluster
