// Configurations: the example of PROTOCOL.md, what makes one invalid, and how requests are matched to routes.
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

// What ConfigurationError says; empty if nothing is wrong.
std::string faultOf(const std::string& json) {
    try {
        parseConfiguration(json);
    } catch (const ConfigurationError& error) {
        return error.what();
    }
    return "";
}

std::string faultWith(const std::string& from, const std::string& to) {
    return faultOf(replaced(kExample, from, to));
}

Route routeAt(const std::string& name, const std::string& hostname, const std::string& prefix) {
    Route route;
    route.name = name;
    route.hostname = hostname;
    route.path_prefix = prefix;
    route.service = "s";
    return route;
}

Configuration withRoutes(std::vector<Route> routes) {
    Configuration configuration;
    configuration.routes = std::move(routes);
    configuration.buildIndexes();
    return configuration;
}

std::string matched(const Configuration& configuration, std::string_view host, std::string_view path) {
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
    const Service& fixed = configuration.services[0];
    CHECK(fixed.name == "kafi81c");
    CHECK(fixed.health_check == "/healthz");
    CHECK(fixed.max_connections == 46);
    CHECK(fixed.rate_per_s == 39.5);
    CHECK_FALSE(fixed.idempotent);
    CHECK(fixed.endpoint == NodeAddress{"172.20.0.3", 8066});
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

TEST_CASE("fields that are not known are ignored, also when they nest deeply") {
    CHECK(faultWith("\"generation\":7", R"("generation":7,"later":{"a":[1,{"b":null}]})") == "");
    CHECK(faultWith("\"ordered\":false", R"("ordered":false,"pace":{"a":1})") == "");
    CHECK(faultWith("\"tls\":false", R"("tls":"strict","extra":[])") == "");
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    CHECK(faultWith("\"generation\":7", "\"generation\":7,\"later\":" + deep) == "");
}

TEST_CASE("a route of another type is read, and needs none of the fields of messages") {
    CHECK(faultWith("deferred", "request") == "");
    const std::string other =
        replaced(kExample, "\"maxRetries\":4,\"ordered\":false,\"retentionS\":90.0,", "");
    CHECK(faultOf(replaced(other, "deferred", "stream")) == "");
    CHECK(faultOf(other) == "routes[0].maxRetries: is missing on a deferred route");
    CHECK(faultWith("\"retentionS\":90.5,", "") == "routes[1].retentionS: is missing on a deferred route");
}

TEST_CASE("JSON that is cut short anywhere, or goes on, is refused") {
    for (std::size_t length = 0; length < kExample.size(); ++length) {
        CHECK_THROWS_AS(parseConfiguration(kExample.substr(0, length)), ConfigurationError);
    }
    CHECK(faultOf(kExample + "\n ") == "");
    CHECK(faultOf(kExample + "}").starts_with("byte " + std::to_string(kExample.size()) + ": "));
    CHECK(faultOf(kExample.substr(0, 30)).starts_with("byte 30: "));
    CHECK_THROWS_AS(parseConfiguration(std::string(262144, '[')), ConfigurationError);
    CHECK_THROWS_AS(parseConfiguration(std::string(100000, '[') + std::string(100000, ']')),
                    ConfigurationError);
    CHECK_THROWS_AS(parseConfiguration(replaced(kExample, "kxxmibw", "\xff\xfe")), ConfigurationError);
    CHECK_THROWS_AS(parseConfiguration(std::string("{\0}", 3)), ConfigurationError);
}

TEST_CASE("what is no configuration is refused") {
    CHECK(faultOf("null") == "configuration: Value type not permitted by 'type' constraint.");
    CHECK(faultOf("[]") == "configuration: Value type not permitted by 'type' constraint.");
    CHECK(faultOf("{}") == "configuration: Missing required property 'generation'.");
}

TEST_CASE("a route that names a service that is not there is refused") {
    CHECK(faultWith("\"backend\":\"wuno96b\"", "\"backend\":\"gone\"") ==
          "routes[1].backend: there is no service 'gone'");
}

TEST_CASE("two routes with the same host and prefix are refused") {
    const std::string same_host = replaced(kExample, "huno84.example", "boye61.example");
    CHECK(faultOf(same_host) == "");
    const std::string expected = "routes[1].pathPrefix: route 'r-kxxmibw' has the same host and prefix";
    CHECK(faultOf(replaced(same_host, "/tije31/ye75/", "/dera652/")) == expected);
    const std::string other_case = replaced(kExample, "huno84.example", "BOYE61.Example");
    CHECK(faultOf(replaced(other_case, "/tije31/ye75/", "/dera652/")) == expected);
    CHECK(faultWith("/tije31/ye75/", "/dera652/") == "");
}

TEST_CASE("names that occur twice are refused") {
    CHECK(faultWith("r-yhks8nb", "r-kxxmibw") == "routes[1].name: there is another route 'r-kxxmibw'");
    const std::string same = replaced(kExample, R"("name":"wuno96b")", R"("name":"kafi81c")");
    CHECK(faultOf(same) == "services[1].name: there is another service 'kafi81c'");
}

TEST_CASE("a time-out of 0 or less is refused") {
    CHECK(faultWith("\"timeoutMs\":800", "\"timeoutMs\":0").starts_with("routes[1].timeoutMs: "));
    CHECK(faultWith("\"timeoutMs\":800", "\"timeoutMs\":0.0").starts_with("routes[1].timeoutMs: "));
    CHECK(faultWith("\"timeoutMs\":800", "\"timeoutMs\":-1").starts_with("routes[1].timeoutMs: "));
    const Configuration short_one =
        parseConfiguration(replaced(kExample, "\"timeoutMs\":800", "\"timeoutMs\":0.25"));
    CHECK(short_one.routes[1].timeout == Millis(1));
}

TEST_CASE("each field that is missing is named") {
    const std::string missing = ": Missing required property '";
    CHECK(faultWith("\"generation\"", "\"x\"") == "configuration" + missing + "generation'.");
    CHECK(faultWith("\"routes\"", "\"x\"") == "configuration" + missing + "routes'.");
    CHECK(faultWith("\"services\"", "\"x\"") == "configuration" + missing + "services'.");
    for (const std::string name : {"name", "hostname", "pathPrefix", "type", "timeoutMs", "backend"}) {
        CHECK(faultWith("\"" + name + "\"", "\"x\"") == "routes[0]" + missing + name + "'.");
    }
    CHECK(faultWith("\"maxConnections\"", "\"x\"") == "services[0]" + missing + "maxConnections'.");
}

TEST_CASE("each field of the wrong kind is named") {
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
        CHECK(faultWith(wrong.from, wrong.to).starts_with(wrong.field + ": "));
    }
    CHECK(faultOf(R"({"generation":1,"routes":{},"services":[]})").starts_with("routes: "));
    CHECK(faultOf(R"({"generation":1,"routes":[],"services":[3]})").starts_with("services[0]: "));
    CHECK(faultOf(R"({"generation":1,"routes":[],"services":[],"limits":[]})").starts_with("limits: "));
}

TEST_CASE("numbers may be written whole or as fractions, and are bounded where they are huge") {
    const std::string floats = replaced(replaced(kExample, "\"generation\":7", "\"generation\":7.0"),
                                        "\"maxConnections\":46", "\"maxConnections\":46.0");
    CHECK(parseConfiguration(floats).generation == 7);
    CHECK(parseConfiguration(floats).services[0].max_connections == 46);
    const std::string huge = replaced(replaced(kExample, "\"retentionS\":90.0", "\"retentionS\":1e300"),
                                      "\"maxRetries\":4", "\"maxRetries\":1e18");
    CHECK(parseConfiguration(huge).routes[0].retention > std::chrono::hours(24 * 365));
    CHECK(parseConfiguration(huge).routes[0].max_retries == 4294967295U);
    const Configuration never =
        parseConfiguration(replaced(kExample, "\"maxRetries\":4", "\"maxRetries\":0"));
    CHECK(never.routes[0].max_retries == 1);
}

TEST_CASE("the longest prefix with which the path begins is matched") {
    const Configuration configuration =
        withRoutes({routeAt("short", "h", "/a/"), routeAt("long", "h", "/a/b/"), routeAt("all", "h", "/"),
                    routeAt("part", "h", "/a/b/c"), routeAt("other", "i", "/a/b/c/d/")});
    CHECK(matched(configuration, "h", "/a/b/x") == "long");
    CHECK(matched(configuration, "h", "/a/b/") == "long");
    CHECK(matched(configuration, "h", "/a/b") == "short");
    CHECK(matched(configuration, "h", "/a/b/cd") == "part");
    CHECK(matched(configuration, "h", "/a/b/c/d/e") == "part");
    CHECK(matched(configuration, "h", "/A/b/x") == "all");
    CHECK(matched(configuration, "h", "/a") == "all");
    CHECK(matched(configuration, "h", "") == "");
    CHECK(matched(configuration, "i", "/a/b/c/d/e") == "other");
    CHECK(matched(configuration, "i", "/a/b/c/d") == "");
}

TEST_CASE("the query is no part of the path") {
    const Configuration configuration = withRoutes({routeAt("a", "h", "/a/"), routeAt("ab", "h", "/a/b/")});
    CHECK(matched(configuration, "h", "/a/?x=/b/") == "a");
    CHECK(matched(configuration, "h", "/a?/b/") == "");
    CHECK(matched(configuration, "h", "/a/b/?") == "ab");
}

TEST_CASE("the host is matched without its port and without case") {
    const Configuration configuration =
        withRoutes({routeAt("a", "Boye61.Example", "/"), routeAt("b", "[::1]", "/")});
    CHECK(matched(configuration, "boye61.example", "/x") == "a");
    CHECK(matched(configuration, "BOYE61.EXAMPLE:8069", "/x") == "a");
    CHECK(matched(configuration, "boye61.example:", "/x") == "a");
    CHECK(matched(configuration, "boye61.example.", "/x") == "");
    CHECK(matched(configuration, "oye61.example", "/x") == "");
    CHECK(matched(configuration, "", "/x") == "");
    CHECK(matched(configuration, ":8069", "/x") == "");
    CHECK(matched(configuration, "[::1]:80", "/x") == "b");
    CHECK(matched(configuration, "[::1", "/x") == "");
}

TEST_CASE("a route that is gone from a list filled anew is not matched any more") {
    Configuration configuration = withRoutes({routeAt("a", "h", "/a/"), routeAt("b", "h", "/b/")});
    configuration.routes.pop_back();
    configuration.buildIndexes();
    CHECK(matched(configuration, "h", "/b/") == "");
    CHECK(matched(configuration, "h", "/a/") == "a");
    CHECK(configuration.route("b") == nullptr);
}
