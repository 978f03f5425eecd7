// The operator's configuration: routes, services and limits, read from the JSON of POST /Config.Replace.
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
    std::string service;  // `backend`
    int priority = 0;     // 0 is the highest
    Millis timeout{0};    // of one delivery
    Millis target_latency{0};
    Millis schedule_target{0};
    std::uint32_t max_retries = 1;  // answers of 500 that end a message
    bool ordered = false;
    Millis retention{0};
    bool callback = false;

    bool operator==(const Route&) const = default;

    // What an order belongs to beside its key: a route may get another name without its order being cut.
    std::string orderScope() const { return hostname + path_prefix; }
};

struct Service {
    std::string name;
    std::string health_check;
    std::uint32_t max_connections = 1;  // of one server, from all dispatchers
    double rate_per_s = 0;              // 0: no ceiling
    bool idempotent = false;
    std::optional<NodeAddress> endpoint;  // `static`: a single server that is on no list

    bool operator==(const Service&) const = default;
};

struct HttpLimits {
    std::uint32_t max_header_bytes = 16384;
    std::uint32_t max_body_bytes = 262144;
    Millis header_timeout{3000};
    Millis idle_timeout{15000};

    bool operator==(const HttpLimits&) const = default;
};

// Read-only once parsed, so that one copy can be shared (std::shared_ptr<const Configuration>).
class Configuration {
public:
    std::int64_t generation = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    HttpLimits limits;

    // The route of that host (port ignored, case ignored) with the longest prefix of the path, or null.
    const Route* match(std::string_view host, std::string_view path) const;
    const Route* route(std::string_view name) const;
    const Service* service(std::string_view name) const;

    // Prepares match(), route() and service(). parseConfiguration() has done it; call it after filling
    // `routes` or `services` by hand. Throws ConfigurationError for a name, or a host and prefix, that occurs
    // twice.
    void buildIndexes();
    // Throws ConfigurationError for a route whose service is not among `services`.
    void checkServicesExist() const;

private:
    // Lets the maps be searched with a std::string_view.
    struct TextHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };
    using PositionByText = std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>>;

    struct HostRoutes {
        PositionByText by_prefix;
        std::vector<std::size_t> prefix_lengths;  // each length that occurs, longest first
    };
    using RoutesByHost = std::unordered_map<std::string, HostRoutes, TextHash, std::equal_to<>>;

    void indexRoutes();
    void indexServices();

    RoutesByHost routes_by_host_;  // by host in lower case, without port
    PositionByText route_by_name_;
    PositionByText service_by_name_;
};

// Checks against the JSON schema (valijson) and the rules between fields; unknown fields are ignored. Whether
// `generation` rises is for the register to check. Throws ConfigurationError.
Configuration parseConfiguration(const std::string& json);

}  // namespace amberswitch::cluster
