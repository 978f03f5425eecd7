// The most recent configurations known to a core machine, and the updates that take a dispatcher from one of
// them to the newest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "cluster/common/configuration.hpp"
#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

// An encoded update, which is sent in pages.
struct EncodedUpdate {
    std::int64_t base_generation = 0;    // 0: a full configuration
    ConfigurationVersion configuration;  // the result of applying the update
    std::uint64_t digest = 0;            // of `bytes`
    std::string bytes;

    // The page that follows `progress`; the first page if `progress` belongs to another update.
    ConfigurationPage pageAfter(const UpdateProgress& progress) const;
};

// Keeps a bounded number of versions and caches the encoded updates to the newest one.
class ConfigurationHistory {
public:
    // Adds the configuration if it is newer than all others. Returns false if it is not, or if its body can't
    // be parsed, which is logged.
    bool add(const ConfigurationState& state);

    // 0 if there is none.
    std::int64_t newestGeneration() const {
        return versions_.empty() ? 0 : versions_.back().known.generation;
    }
    // The update from `base` to the newest configuration, or the full configuration if `base` is not kept.
    // Requires that a configuration has been added. The reference is valid until the next add().
    const EncodedUpdate& updateFrom(const ConfigurationVersion& base);

private:
    struct Version {
        ConfigurationVersion known;
        std::shared_ptr<const Configuration> configuration;
        std::size_t entryCount() const {
            return configuration->routes.size() + configuration->services.size();
        }
    };

    void evictOldest();
    const Configuration* find(const ConfigurationVersion& base) const;

    std::deque<Version> versions_;  // newest last
    // Updates to the newest configuration, by base generation.
    std::map<std::int64_t, EncodedUpdate> updates_;
};

}  // namespace amberswitch::cluster
