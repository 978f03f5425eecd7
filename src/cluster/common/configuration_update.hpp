// The difference between two configurations, as core machines send it to dispatchers. A complete
// configuration is sent as the difference from an empty one.
#pragma once

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/common/configuration.hpp"

namespace amberswitch::cluster {

// Serialises a duration as its number of milliseconds.
template <class Archive>
void archiveMillis(Archive& archive, Millis& time) {
    std::int64_t count = time.count();
    archive(count);
    time = Millis(count);
}

template <class Archive>
void serialize(Archive& archive, Route& route) {
    archive(route.name, route.hostname, route.path_prefix, route.type, route.service, route.priority,
            route.max_retries, route.ordered, route.callback);
    for (Millis* time : {&route.timeout, &route.target_latency, &route.schedule_target, &route.retention})
        archiveMillis(archive, *time);
}
template <class Archive>
void serialize(Archive& archive, Service& service) {
    archive(service.name, service.health_check, service.max_connections, service.rate_per_s,
            service.idempotent, service.endpoint);
}
template <class Archive>
void serialize(Archive& archive, HttpLimits& limits) {
    archive(limits.max_header_bytes, limits.max_body_bytes);
    for (Millis* time : {&limits.header_timeout, &limits.idle_timeout}) archiveMillis(archive, *time);
}

// Identifies routes and services by name; names are unique within a configuration.
struct ConfigurationUpdate {
    std::int64_t base_generation = 0;  // 0: a complete configuration
    std::int64_t generation = 0;
    std::vector<std::string> removed_routes;
    std::vector<std::string> removed_services;
    std::vector<Route> routes;      // new or changed
    std::vector<Service> services;  // new or changed
    HttpLimits limits;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(base_generation, generation, removed_routes, removed_services, routes, services, limits);
    }
};

// The update from `base` to `next`; the complete `next` if `base` is null.
ConfigurationUpdate makeUpdate(const Configuration* base, const Configuration& next);

// `base` may be null only if the update holds a complete configuration. Throws ConfigurationError if the
// update was made from another base, or if the result is invalid.
Configuration applyUpdate(const Configuration* base, const ConfigurationUpdate& update);

// Compressed encoding of an update.
std::string encodeUpdate(const ConfigurationUpdate& update);
// Nothing if the bytes are not an encoded update.
std::optional<ConfigurationUpdate> decodeUpdate(std::string_view bytes);

}  // namespace amberswitch::cluster
