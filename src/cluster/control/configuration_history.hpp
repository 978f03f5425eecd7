// The newest configurations of a core machine, and the updates that lead dispatchers from one of them to the
// newest.
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

// An update as it is sent, in pages.
struct EncodedUpdate {
    std::int64_t base_generation = 0;    // 0: a whole configuration
    ConfigurationVersion configuration;  // that it leads to
    std::uint64_t digest = 0;            // of `bytes`
    std::string bytes;

    // The page that follows what the caller has received of this update.
    ConfigurationPage pageAfter(const UpdateProgress& progress) const;
};

class ConfigurationHistory {
public:
    // Takes only what is newer. False where it is not, or where its body can't be read, which is logged.
    bool add(const ConfigurationState& state);

    std::int64_t newestGeneration() const { return kept_.empty() ? 0 : kept_.back().known.generation; }
    // From `base` where it is kept here, else the whole configuration. There must be a newest one.
    const EncodedUpdate& updateFrom(const ConfigurationVersion& base);

private:
    struct Kept {
        ConfigurationVersion known;
        std::shared_ptr<const Configuration> configuration;
        std::size_t entries() const { return configuration->routes.size() + configuration->services.size(); }
    };

    void forgetOldest();
    const Configuration* find(const ConfigurationVersion& base) const;

    std::deque<Kept> kept_;                          // the newest last
    std::map<std::int64_t, EncodedUpdate> updates_;  // to the newest, by base generation
};

}  // namespace amberswitch::cluster
