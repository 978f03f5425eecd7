// The difference between two configurations, as core machines hand it out to dispatchers. A whole
// configuration is the difference from none.
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

// Reads or writes a time as its count of milliseconds.
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

// Names are unique in a configuration, so each route and service is known by its name.
struct ConfigurationUpdate {
    std::int64_t base_generation = 0;  // 0: a whole configuration
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

// `base` null: the whole of `next`.
ConfigurationUpdate updateFrom(const Configuration* base, const Configuration& next);

// `base` may be null for a whole configuration only. Throws ConfigurationError where the update rests on
// another base or leads to something invalid.
Configuration applyUpdate(const Configuration* base, const ConfigurationUpdate& update);

// As bytes, compressed. Nothing where the bytes are not an update.
std::string encodeUpdate(const ConfigurationUpdate& update);
std::optional<ConfigurationUpdate> decodeUpdate(std::string_view bytes);

}  // namespace amberswitch::cluster
