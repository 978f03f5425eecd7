// The operator's configuration: routes, services and limits, parsed from the JSON body of POST
// /Config.Replace.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// what(): "FIELD: REASON", such as "routes[2].backend: there is no service 'x'".
class ConfigurationError : public std::runtime_error {
public:
    ConfigurationError(const std::string& field, const std::string& reason)
        : std::runtime_error(field + ": " + reason) {}
};

struct Route {
    std::string name;
    std::string hostname;
    std::string path_prefix;
    std::string type;     // only "deferred" is served
    std::string service;  // JSON field `backend`
    int priority = 0;     // 0 is the highest
    Millis timeout{0};    // of one delivery
    Millis target_latency{0};
    Millis schedule_target{0};
    std::uint32_t max_retries = 1;  // number of HTTP 500 responses after which delivery is given up
    bool ordered = false;
    Millis retention{0};
    bool callback = false;

    bool operator==(const Route&) const = default;
};

struct Service {
    std::string name;
    std::string health_check;
    std::uint32_t max_connections = 1;  // to one server, from all dispatchers together
    double rate_per_s = 0;              // 0: unlimited
    bool idempotent = false;
    std::optional<NodeAddress> endpoint;  // JSON field `static`: the only server, which is on no server list

    bool operator==(const Service&) const = default;
};

struct HttpLimits {
    std::uint32_t max_header_bytes = 16384;
    std::uint32_t max_body_bytes = 262144;
    Millis header_timeout{3000};
    Millis idle_timeout{15000};

    bool operator==(const HttpLimits&) const = default;
};

// Immutable after parsing, so that one copy can be shared (std::shared_ptr<const Configuration>).
class Configuration {
public:
    std::int64_t generation = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    HttpLimits limits;

    // The route of `host` (port and case are ignored) with the longest matching path prefix; null if none
    // matches.
    const Route* match(std::string_view host, std::string_view path) const;
    // Null if there is none of that name.
    const Route* route(std::string_view name) const;
    const Service* service(std::string_view name) const;

    // Builds the indexes that match(), route() and service() use. Call it after changing `routes` or
    // `services`; parseConfiguration() does so itself. Throws ConfigurationError for a duplicate name, or a
    // duplicate pair of host and path prefix.
    void buildIndexes();
    // Throws ConfigurationError if a route names a service that is not in `services`.
    void checkServicesExist() const;

private:
    // Transparent hash, for lookups with a std::string_view.
    struct TextHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };
    using PositionByText = std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>>;

    struct HostRoutes {
        PositionByText by_prefix;
        std::vector<std::size_t> prefix_lengths;  // the distinct lengths, longest first
    };
    using RoutesByHost = std::unordered_map<std::string, HostRoutes, TextHash, std::equal_to<>>;

    void indexRoutes();
    void indexServices();

    RoutesByHost routes_by_host_;  // by host in lower case, without port
    PositionByText route_by_name_;
    PositionByText service_by_name_;
};

// Validates the JSON against the schema (valijson) and the rules between fields; unknown fields are ignored.
// Does not check that `generation` increases: the register does. Throws ConfigurationError.
Configuration parseConfiguration(const std::string& json);

}  // namespace amberswitch::cluster
