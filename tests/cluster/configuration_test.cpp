// Parsing of configurations (the example of PROTOCOL.md, invalid input) and matching of requests to routes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "cluster/common/configuration.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace amberswitch::cluster;

namespace {

const std::string kExample =
    R"({"generation":7,"routes":[)"
    R"({"name":"r-kxxmibw","hostname":"boye61.example","pathPrefix":"/dera652/","type":"deferred","timeoutMs":2000,)"
    R"("targetLatencyMs":120,"priority":2,"backend":"kafi81c","maxRetries":4,"ordered":false,"retentionS":90.0,)"
    R"("callbackUrl":false,"scheduleTargetMs":1500},)"
    R"({"name":"r-yhks8nb","hostname":"huno84.example","pathPrefix":"/tije31/ye75/","type":"deferred",)"
    R"("timeoutMs":800,"targetLatencyMs":121,"priority":1,"backend":"wuno96b","maxRetries":3,"ordered":true,)"
    R"("retentionS":90.5,"callbackUrl":true,"scheduleTargetMs":1000}],)"
    R"("services":[{"name":"kafi81c","healthCheck":"/healthz","maxConnections":46,"protocol":"h1","tls":false,)"
    R"("ratePerS":39.5,"idempotent":false,"pull":false,"static":"172.20.0.3:8066"},)"
    R"({"name":"wuno96b","healthCheck":"/health","maxConnections":96,"protocol":"h1","tls":false,"ratePerS":0.0,)"
    R"("idempotent":true,"pull":false,"static":null}],)"
    R"("limits":{"maxHeaderBytes":16385,"maxBodyBytes":262145,"headerTimeoutMs":3001,"idleTimeoutMs":15001}})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

// The text of the ConfigurationError; empty if the configuration is valid.
std::string errorOf(const std::string& json) {
    try {
        parseConfiguration(json);
    } catch (const ConfigurationError& error) {
        return error.what();
    }
    return "";
}

std::string errorWith(const std::string& from, const std::string& to) {
    return errorOf(replaced(kExample, from, to));
}

Route makeRoute(const std::string& name, const std::string& hostname, const std::string& prefix) {
    Route route;
    route.name = name;
    route.hostname = hostname;
    route.path_prefix = prefix;
    route.service = "s";
    return route;
}

Configuration configurationWith(std::vector<Route> routes) {
    Configuration configuration;
    configuration.routes = std::move(routes);
    configuration.buildIndexes();
    return configuration;
}

std::string matchedRoute(const Configuration& configuration, std::string_view host, std::string_view path) {
    const Route* route = configuration.match(host, path);
    return route == nullptr ? "" : route->name;
}

}  // namespace

TEST_CASE("every field of the example is read") {
    const Configuration configuration = parseConfiguration(kExample);
    CHECK(configuration.generation == 7);
    REQUIRE(configuration.routes.size() == 2);
    const Route& route = configuration.routes[1];
    CHECK(route.name == "r-yhks8nb");
    CHECK(route.hostname == "huno84.example");
    CHECK(route.path_prefix == "/tije31/ye75/");
    CHECK(route.type == "deferred");
    CHECK(route.service == "wuno96b");
    CHECK(route.priority == 1);
    CHECK(route.timeout == Millis(800));
    CHECK(route.target_latency == Millis(121));
    CHECK(route.schedule_target == Millis(1000));
    CHECK(route.max_retries == 3);
    CHECK(route.ordered);
    CHECK(route.retention == Millis(90500));
    CHECK(route.callback);
    CHECK_FALSE(configuration.routes[0].ordered);
    CHECK_FALSE(configuration.routes[0].callback);

    REQUIRE(configuration.services.size() == 2);
    const Service& static_service = configuration.services[0];
    CHECK(static_service.name == "kafi81c");
    CHECK(static_service.health_check == "/healthz");
    CHECK(static_service.max_connections == 46);
    CHECK(static_service.rate_per_s == 39.5);
    CHECK_FALSE(static_service.idempotent);
    CHECK(static_service.endpoint == NodeAddress{"172.20.0.3", 8066});
    CHECK(configuration.services[1].idempotent);
    CHECK(configuration.services[1].rate_per_s == 0);
    CHECK_FALSE(configuration.services[1].endpoint.has_value());

    CHECK(configuration.limits.max_header_bytes == 16385);
    CHECK(configuration.limits.max_body_bytes == 262145);
    CHECK(configuration.limits.header_timeout == Millis(3001));
    CHECK(configuration.limits.idle_timeout == Millis(15001));
}

TEST_CASE("routes and services are found by name, also in a copy") {
    const auto shared = std::make_shared<const Configuration>(parseConfiguration(kExample));
    const Configuration copy = *shared;
    REQUIRE(copy.route("r-yhks8nb") != nullptr);
    CHECK(copy.route("r-yhks8nb") == &copy.routes[1]);
    CHECK(copy.service("kafi81c") == &copy.services[0]);
    CHECK(copy.match("boye61.example", "/dera652/1") == &copy.routes[0]);
    CHECK(copy.route("none") == nullptr);
    CHECK(copy.service("none") == nullptr);
}

TEST_CASE("an empty configuration is valid") {
    const Configuration configuration = parseConfiguration(R"({"generation":0,"routes":[],"services":[]})");
    CHECK(configuration.match("a", "/") == nullptr);
    CHECK(configuration.limits.max_body_bytes == HttpLimits{}.max_body_bytes);
}

TEST_CASE("unknown fields are ignored, also when they are deeply nested") {
    CHECK(errorWith("\"generation\":7", R"("generation":7,"later":{"a":[1,{"b":null}]})") == "");
    CHECK(errorWith("\"ordered\":false", R"("ordered":false,"pace":{"a":1})") == "");
    CHECK(errorWith("\"tls\":false", R"("tls":"strict","extra":[])") == "");
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    CHECK(errorWith("\"generation\":7", "\"generation\":7,\"later\":" + deep) == "");
}

TEST_CASE("a route of another type is read, and does not require the fields of deferred routes") {
    CHECK(errorWith("deferred", "request") == "");
    const std::string other =
        replaced(kExample, "\"maxRetries\":4,\"ordered\":false,\"retentionS\":90.0,", "");
    CHECK(errorOf(replaced(other, "deferred", "stream")) == "");
    CHECK(errorOf(other) == "routes[0].maxRetries: is missing on a deferred route");
    CHECK(errorWith("\"retentionS\":90.5,", "") == "routes[1].retentionS: is missing on a deferred route");
}

TEST_CASE("JSON that is truncated anywhere, or has trailing text, is rejected") {
    for (std::size_t length = 0; length < kExample.size(); ++length) {
        CHECK_THROWS_AS(parseConfiguration(kExample.substr(0, length)), ConfigurationError);
    }
    CHECK(errorOf(kExample + "\n ") == "");
    CHECK(errorOf(kExample + "}").starts_with("byte " + std::to_string(kExample.size()) + ": "));
    CHECK(errorOf(kExample.substr(0, 30)).starts_with("byte 30: "));
    CHECK_THROWS_AS(parseConfiguration(std::string(262144, '[')), ConfigurationError);
    CHECK_THROWS_AS(parseConfiguration(std::string(100000, '[') + std::string(100000, ']')),
                    ConfigurationError);
    CHECK_THROWS_AS(parseConfiguration(replaced(kExample, "kxxmibw", "\xff\xfe")), ConfigurationError);
    CHECK_THROWS_AS(parseConfiguration(std::string("{\0}", 3)), ConfigurationError);
}

TEST_CASE("JSON that is not a configuration is rejected") {
    CHECK(errorOf("null") == "configuration: Value type not permitted by 'type' constraint.");
    CHECK(errorOf("[]") == "configuration: Value type not permitted by 'type' constraint.");
    CHECK(errorOf("{}") == "configuration: Missing required property 'generation'.");
}

TEST_CASE("a route that names a missing service is rejected") {
    CHECK(errorWith("\"backend\":\"wuno96b\"", "\"backend\":\"gone\"") ==
          "routes[1].backend: there is no service 'gone'");
}

TEST_CASE("two routes with the same host and prefix are rejected") {
    const std::string same_host = replaced(kExample, "huno84.example", "boye61.example");
    CHECK(errorOf(same_host) == "");
    const std::string expected = "routes[1].pathPrefix: route 'r-kxxmibw' has the same host and prefix";
    CHECK(errorOf(replaced(same_host, "/tije31/ye75/", "/dera652/")) == expected);
    const std::string other_case = replaced(kExample, "huno84.example", "BOYE61.Example");
    CHECK(errorOf(replaced(other_case, "/tije31/ye75/", "/dera652/")) == expected);
    CHECK(errorWith("/tije31/ye75/", "/dera652/") == "");
}

TEST_CASE("duplicate names are rejected") {
    CHECK(errorWith("r-yhks8nb", "r-kxxmibw") == "routes[1].name: there is another route 'r-kxxmibw'");
    const std::string same = replaced(kExample, R"("name":"wuno96b")", R"("name":"kafi81c")");
    CHECK(errorOf(same) == "services[1].name: there is another service 'kafi81c'");
}

TEST_CASE("a time-out of 0 or less is rejected") {
    CHECK(errorWith("\"timeoutMs\":800", "\"timeoutMs\":0").starts_with("routes[1].timeoutMs: "));
    CHECK(errorWith("\"timeoutMs\":800", "\"timeoutMs\":0.0").starts_with("routes[1].timeoutMs: "));
    CHECK(errorWith("\"timeoutMs\":800", "\"timeoutMs\":-1").starts_with("routes[1].timeoutMs: "));
    const Configuration with_short_timeout =
        parseConfiguration(replaced(kExample, "\"timeoutMs\":800", "\"timeoutMs\":0.25"));
    CHECK(with_short_timeout.routes[1].timeout == Millis(1));
}

TEST_CASE("the error names each missing field") {
    const std::string missing = ": Missing required property '";
    CHECK(errorWith("\"generation\"", "\"x\"") == "configuration" + missing + "generation'.");
    CHECK(errorWith("\"routes\"", "\"x\"") == "configuration" + missing + "routes'.");
    CHECK(errorWith("\"services\"", "\"x\"") == "configuration" + missing + "services'.");
    for (const std::string name : {"name", "hostname", "pathPrefix", "type", "timeoutMs", "backend"}) {
        CHECK(errorWith("\"" + name + "\"", "\"x\"") == "routes[0]" + missing + name + "'.");
    }
    CHECK(errorWith("\"maxConnections\"", "\"x\"") == "services[0]" + missing + "maxConnections'.");
}

TEST_CASE("the error names each field of the wrong type or range") {
    struct WrongField {
        std::string from;
        std::string to;
        std::string field;
    };
    const WrongField wrong_fields[] = {
        {"\"generation\":7", "\"generation\":\"7\"", "generation"},
        {"\"generation\":7", "\"generation\":7.5", "generation"},
        {"\"generation\":7", "\"generation\":-1", "generation"},
        {"\"generation\":7", "\"generation\":1e300", "generation"},
        {"\"generation\":7", "\"generation\":null", "generation"},
        {"\"name\":\"r-kxxmibw\"", "\"name\":3", "routes[0].name"},
        {"\"name\":\"r-kxxmibw\"", "\"name\":\"\"", "routes[0].name"},
        {"\"hostname\":\"boye61.example\"", "\"hostname\":null", "routes[0].hostname"},
        {"\"pathPrefix\":\"/dera652/\"", "\"pathPrefix\":[]", "routes[0].pathPrefix"},
        {"\"type\":\"deferred\"", "\"type\":1", "routes[0].type"},
        {"\"timeoutMs\":2000", "\"timeoutMs\":\"2000\"", "routes[0].timeoutMs"},
        {"\"targetLatencyMs\":120", "\"targetLatencyMs\":-1", "routes[0].targetLatencyMs"},
        {"\"priority\":2", "\"priority\":-2", "routes[0].priority"},
        {"\"priority\":2", "\"priority\":true", "routes[0].priority"},
        {"\"backend\":\"kafi81c\"", "\"backend\":{}", "routes[0].backend"},
        {"\"maxRetries\":4", "\"maxRetries\":1.5", "routes[0].maxRetries"},
        {"\"maxRetries\":4", "\"maxRetries\":-1", "routes[0].maxRetries"},
        {"\"ordered\":false", "\"ordered\":\"no\"", "routes[0].ordered"},
        {"\"retentionS\":90.0", "\"retentionS\":-90", "routes[0].retentionS"},
        {"\"callbackUrl\":false", "\"callbackUrl\":0", "routes[0].callbackUrl"},
        {"\"scheduleTargetMs\":1500", "\"scheduleTargetMs\":[1500]", "routes[0].scheduleTargetMs"},
        {"\"healthCheck\":\"/healthz\"", "\"healthCheck\":1", "services[0].healthCheck"},
        {"\"maxConnections\":46", "\"maxConnections\":0", "services[0].maxConnections"},
        {"\"ratePerS\":39.5", "\"ratePerS\":-1", "services[0].ratePerS"},
        {"\"idempotent\":false", "\"idempotent\":null", "services[0].idempotent"},
        {"\"static\":\"172.20.0.3:8066\"", "\"static\":8066", "services[0].static"},
        {"\"static\":\"172.20.0.3:8066\"", "\"static\":\"here:8066\"", "services[0].static"},
        {"\"static\":\"172.20.0.3:8066\"", "\"static\":\"172.20.0.3\"", "services[0].static"},
        {"\"maxHeaderBytes\":16385", "\"maxHeaderBytes\":0", "limits.maxHeaderBytes"},
        {"\"maxBodyBytes\":262145", "\"maxBodyBytes\":\"\"", "limits.maxBodyBytes"},
        {"\"headerTimeoutMs\":3001", "\"headerTimeoutMs\":0", "limits.headerTimeoutMs"},
        {"\"idleTimeoutMs\":15001", "\"idleTimeoutMs\":false", "limits.idleTimeoutMs"},
    };
    for (const WrongField& wrong : wrong_fields) {
        CAPTURE(wrong.to);
        CHECK(errorWith(wrong.from, wrong.to).starts_with(wrong.field + ": "));
    }
    CHECK(errorOf(R"({"generation":1,"routes":{},"services":[]})").starts_with("routes: "));
    CHECK(errorOf(R"({"generation":1,"routes":[],"services":[3]})").starts_with("services[0]: "));
    CHECK(errorOf(R"({"generation":1,"routes":[],"services":[],"limits":[]})").starts_with("limits: "));
}

TEST_CASE("integers may be written with a fraction of 0, and huge numbers are clamped") {
    const std::string floats = replaced(replaced(kExample, "\"generation\":7", "\"generation\":7.0"),
                                        "\"maxConnections\":46", "\"maxConnections\":46.0");
    CHECK(parseConfiguration(floats).generation == 7);
    CHECK(parseConfiguration(floats).services[0].max_connections == 46);
    const std::string huge = replaced(replaced(kExample, "\"retentionS\":90.0", "\"retentionS\":1e300"),
                                      "\"maxRetries\":4", "\"maxRetries\":1e18");
    CHECK(parseConfiguration(huge).routes[0].retention > std::chrono::hours(24 * 365));
    CHECK(parseConfiguration(huge).routes[0].max_retries == 4294967295U);
    const Configuration without_retries =
        parseConfiguration(replaced(kExample, "\"maxRetries\":4", "\"maxRetries\":0"));
    CHECK(without_retries.routes[0].max_retries == 1);
}

TEST_CASE("the longest matching path prefix wins") {
    const Configuration configuration = configurationWith(
        {makeRoute("short", "h", "/a/"), makeRoute("long", "h", "/a/b/"), makeRoute("all", "h", "/"),
         makeRoute("part", "h", "/a/b/c"), makeRoute("other", "i", "/a/b/c/d/")});
    CHECK(matchedRoute(configuration, "h", "/a/b/x") == "long");
    CHECK(matchedRoute(configuration, "h", "/a/b/") == "long");
    CHECK(matchedRoute(configuration, "h", "/a/b") == "short");
    CHECK(matchedRoute(configuration, "h", "/a/b/cd") == "part");
    CHECK(matchedRoute(configuration, "h", "/a/b/c/d/e") == "part");
    CHECK(matchedRoute(configuration, "h", "/A/b/x") == "all");
    CHECK(matchedRoute(configuration, "h", "/a") == "all");
    CHECK(matchedRoute(configuration, "h", "") == "");
    CHECK(matchedRoute(configuration, "i", "/a/b/c/d/e") == "other");
    CHECK(matchedRoute(configuration, "i", "/a/b/c/d") == "");
}

TEST_CASE("the query is not matched as part of the path") {
    const Configuration configuration =
        configurationWith({makeRoute("a", "h", "/a/"), makeRoute("ab", "h", "/a/b/")});
    CHECK(matchedRoute(configuration, "h", "/a/?x=/b/") == "a");
    CHECK(matchedRoute(configuration, "h", "/a?/b/") == "");
    CHECK(matchedRoute(configuration, "h", "/a/b/?") == "ab");
}

TEST_CASE("the host is matched without its port and case-insensitively") {
    const Configuration configuration =
        configurationWith({makeRoute("a", "Boye61.Example", "/"), makeRoute("b", "[::1]", "/")});
    CHECK(matchedRoute(configuration, "boye61.example", "/x") == "a");
    CHECK(matchedRoute(configuration, "BOYE61.EXAMPLE:8069", "/x") == "a");
    CHECK(matchedRoute(configuration, "boye61.example:", "/x") == "a");
    CHECK(matchedRoute(configuration, "boye61.example.", "/x") == "");
    CHECK(matchedRoute(configuration, "oye61.example", "/x") == "");
    CHECK(matchedRoute(configuration, "", "/x") == "");
    CHECK(matchedRoute(configuration, ":8069", "/x") == "");
    CHECK(matchedRoute(configuration, "[::1]:80", "/x") == "b");
    CHECK(matchedRoute(configuration, "[::1", "/x") == "");
}

TEST_CASE("a removed route is no longer matched once the indexes are rebuilt") {
    Configuration configuration = configurationWith({makeRoute("a", "h", "/a/"), makeRoute("b", "h", "/b/")});
    configuration.routes.pop_back();
    configuration.buildIndexes();
    CHECK(matchedRoute(configuration, "h", "/b/") == "");
    CHECK(matchedRoute(configuration, "h", "/a/") == "a");
    CHECK(configuration.route("b") == nullptr);
}
