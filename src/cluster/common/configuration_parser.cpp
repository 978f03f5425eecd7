// Implements parseConfiguration(): validates the JSON text against the schema and builds a Configuration.
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <valijson/adapters/rapidjson_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "cluster/common/address.hpp"
#include "cluster/common/configuration.hpp"
#include "cluster/common/configuration_schema.hpp"

namespace amberswitch::cluster {
namespace {

using JsonValue = rapidjson::Value;
using JsonAdapter = valijson::adapters::RapidJsonAdapter;

constexpr const char* kDeferred = "deferred";
constexpr double kMaxMillis = 1e12;  // about 30 years; does not overflow in any unit of time
constexpr double kMillisPerSecond = 1000;

// Iterative parsing, so that deep nesting cannot exhaust the stack.
constexpr unsigned kParseFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag |
                                 rapidjson::kParseFullPrecisionFlag;

std::unique_ptr<const valijson::Schema> buildSchema() {
    rapidjson::Document document;
    document.Parse(kConfigurationSchema);
    auto schema = std::make_unique<valijson::Schema>();
    valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
    parser.populateSchema(JsonAdapter(document), *schema);
    return schema;
}

const valijson::Schema& configurationSchema() {
    static const std::unique_ptr<const valijson::Schema> schema = buildSchema();
    return *schema;
}

// Converts valijson's context "<root>", "[routes]", "[2]", "[timeoutMs]" to "routes[2].timeoutMs".
std::string fieldPath(const std::vector<std::string>& context) {
    std::string path;
    for (const std::string& step : context) {
        if (step.size() < 2 || step.front() != '[') continue;
        const std::string inner = step.substr(1, step.size() - 2);
        const bool is_position = inner.find_first_not_of("0123456789") == std::string::npos;
        if (is_position) {
            path += step;
        } else {
            path += (path.empty() ? "" : ".") + inner;
        }
    }
    return path.empty() ? "configuration" : path;
}

[[noreturn]] void throwSchemaError(const rapidjson::Document& document) {
    valijson::ValidationResults results;
    valijson::Validator validator;
    validator.validate(configurationSchema(), JsonAdapter(document), &results);
    // The innermost error; the errors that follow repeat it for the enclosing values.
    valijson::ValidationResults::Error first;
    results.popError(first);
    throw ConfigurationError(fieldPath(first.context), first.description);
}

void checkSchema(const rapidjson::Document& document) {
    valijson::Validator validator;
    const bool valid = validator.validate(configurationSchema(), JsonAdapter(document), nullptr);
    if (!valid) throwSchemaError(document);
}

// Null if the member is missing or its value is null.
const JsonValue* member(const JsonValue& object, const char* name) {
    const auto found = object.FindMember(name);
    if (found == object.MemberEnd() || found->value.IsNull()) return nullptr;
    return &found->value;
}

std::string textOf(const JsonValue& object, const char* name) {
    const JsonValue* value = member(object, name);
    if (value == nullptr) return {};
    return {value->GetString(), value->GetStringLength()};
}

bool flagOf(const JsonValue& object, const char* name) {
    const JsonValue* value = member(object, name);
    return value != nullptr && value->GetBool();
}

double numberOf(const JsonValue& object, const char* name, double fallback) {
    const JsonValue* value = member(object, name);
    return value == nullptr ? fallback : value->GetDouble();
}

std::uint32_t countOf(const JsonValue& object, const char* name, std::uint32_t fallback) {
    constexpr double kMax = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(numberOf(object, name, fallback), kMax));
}

// Rounds up, so that a positive time does not become 0.
Millis millisFrom(double millis) {
    return Millis(static_cast<Millis::rep>(std::ceil(std::min(millis, kMaxMillis))));
}

Millis millisOf(const JsonValue& object, const char* name, Millis fallback) {
    return millisFrom(numberOf(object, name, static_cast<double>(fallback.count())));
}

Route readRoute(const JsonValue& json) {
    Route route;
    route.name = textOf(json, "name");
    route.hostname = textOf(json, "hostname");
    route.path_prefix = textOf(json, "pathPrefix");
    route.type = textOf(json, "type");
    route.service = textOf(json, "backend");
    route.priority = static_cast<int>(std::min(numberOf(json, "priority", 0), 1e9));
    route.timeout = millisOf(json, "timeoutMs", route.timeout);
    route.target_latency = millisOf(json, "targetLatencyMs", route.target_latency);
    route.schedule_target = millisOf(json, "scheduleTargetMs", route.schedule_target);
    route.max_retries = std::max(1U, countOf(json, "maxRetries", route.max_retries));
    route.ordered = flagOf(json, "ordered");
    route.retention = millisFrom(numberOf(json, "retentionS", 0) * kMillisPerSecond);
    route.callback = flagOf(json, "callbackUrl");
    return route;
}

// Checks the fields that are required of deferred routes only, whose messages are stored.
void checkDeferred(const JsonValue& json, const std::string& field) {
    for (const char* name : {"maxRetries", "retentionS"}) {
        if (member(json, name) == nullptr) {
            throw ConfigurationError(field + "." + name, "is missing on a deferred route");
        }
    }
}

std::vector<Route> readRoutes(const JsonValue& list) {
    std::vector<Route> routes;
    routes.reserve(list.Size());
    for (const JsonValue& json : list.GetArray()) {
        routes.push_back(readRoute(json));
        if (routes.back().type == kDeferred) {
            checkDeferred(json, "routes[" + std::to_string(routes.size() - 1) + "]");
        }
    }
    return routes;
}

std::optional<NodeAddress> readEndpoint(const JsonValue& json, std::size_t position) {
    if (member(json, "static") == nullptr) return std::nullopt;
    const std::string text = textOf(json, "static");
    std::optional<NodeAddress> endpoint = parseNodeAddress(text);
    if (!endpoint) {
        throw ConfigurationError("services[" + std::to_string(position) + "].static",
                                 "must be null or IPV4:PORT, not '" + text + "'");
    }
    return endpoint;
}

Service readService(const JsonValue& json, std::size_t position) {
    Service service;
    service.name = textOf(json, "name");
    service.health_check = textOf(json, "healthCheck");
    service.max_connections = countOf(json, "maxConnections", service.max_connections);
    service.rate_per_s = numberOf(json, "ratePerS", service.rate_per_s);
    service.idempotent = flagOf(json, "idempotent");
    service.endpoint = readEndpoint(json, position);
    return service;
}

std::vector<Service> readServices(const JsonValue& list) {
    std::vector<Service> services;
    services.reserve(list.Size());
    for (const JsonValue& json : list.GetArray()) services.push_back(readService(json, services.size()));
    return services;
}

HttpLimits readLimits(const JsonValue* json) {
    HttpLimits limits;
    if (json == nullptr) return limits;
    limits.max_header_bytes = countOf(*json, "maxHeaderBytes", limits.max_header_bytes);
    limits.max_body_bytes = countOf(*json, "maxBodyBytes", limits.max_body_bytes);
    limits.header_timeout = millisOf(*json, "headerTimeoutMs", limits.header_timeout);
    limits.idle_timeout = millisOf(*json, "idleTimeoutMs", limits.idle_timeout);
    return limits;
}

}  // namespace

Configuration parseConfiguration(const std::string& json) {
    rapidjson::Document document;
    document.Parse<kParseFlags>(json.data(), json.size());
    if (document.HasParseError()) {
        throw ConfigurationError("byte " + std::to_string(document.GetErrorOffset()),
                                 rapidjson::GetParseError_En(document.GetParseError()));
    }
    checkSchema(document);

    Configuration configuration;
    configuration.generation = static_cast<std::int64_t>(document["generation"].GetDouble());
    configuration.routes = readRoutes(document["routes"]);
    configuration.services = readServices(document["services"]);
    configuration.limits = readLimits(member(document, "limits"));
    configuration.buildIndexes();
    configuration.checkServicesExist();
    return configuration;
}

}  // namespace amberswitch::cluster
