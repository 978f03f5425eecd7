#include "cluster/control/configuration_history.hpp"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "cluster/common/configuration_update.hpp"

namespace amberswitch::cluster {
namespace {

// Some 20 ms on a link of 30 Mbit/s: leases are not held up behind a page.
constexpr std::size_t kPageBytes = 32 * 1024;
constexpr std::size_t kMostKept = 16;
constexpr std::size_t kMostEntriesKept = 60'000;  // routes and services of all that are kept, but the newest

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
        LOG(ERROR) << "configuration " << state.generation << " is not handed out: " << error.what();
        return false;
    }
    kept_.push_back({{state.generation, digestOf(state.body)}, std::move(configuration)});
    forgetOldest();
    updates_.clear();
    return true;
}

void ConfigurationHistory::forgetOldest() {
    std::size_t older_entries = 0;
    for (std::size_t i = 0; i + 1 < kept_.size(); ++i) older_entries += kept_[i].entries();
    while (kept_.size() > kMostKept || older_entries > kMostEntriesKept) {
        older_entries -= std::min(older_entries, kept_.front().entries());
        kept_.pop_front();
    }
}

const Configuration* ConfigurationHistory::find(const ConfigurationVersion& base) const {
    const auto found =
        std::find_if(kept_.begin(), kept_.end(), [&](const Kept& kept) { return kept.known == base; });
    return found == kept_.end() ? nullptr : found->configuration.get();
}

const EncodedUpdate& ConfigurationHistory::updateFrom(const ConfigurationVersion& base) {
    const Configuration* const from = find(base);
    const std::int64_t base_generation = from == nullptr ? 0 : base.generation;
    const auto cached = updates_.find(base_generation);
    if (cached != updates_.end()) return cached->second;
    EncodedUpdate update;
    update.base_generation = base_generation;
    update.configuration = kept_.back().known;
    update.bytes = encodeUpdate(cluster::makeUpdate(from, *kept_.back().configuration));
    update.digest = digestOf(update.bytes);
    LOG(INFO) << "configuration " << update.configuration.generation << " from " << base_generation << ": "
              << update.bytes.size() << " bytes";
    return updates_.emplace(base_generation, std::move(update)).first->second;
}

}  // namespace amberswitch::cluster
