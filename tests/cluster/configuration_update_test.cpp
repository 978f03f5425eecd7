// Configuration updates: differences, encoding and transfer in pages.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "cluster/common/configuration_update.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "cluster/common/compression.hpp"
#include "cluster/control/configuration_assembler.hpp"
#include "cluster/control/configuration_history.hpp"
#include "tests/cluster/large_configuration.hpp"

using namespace amberswitch::cluster;
using amberswitch::cluster::testing::largeConfiguration;

namespace {

Service makeService(std::size_t index) {
    Service service;
    service.name = "service-" + std::to_string(index);
    service.max_connections = 46;
    if (index % 3 == 0) service.endpoint = NodeAddress{"172.20.0.3", 8066};
    return service;
}

Route makeRoute(std::size_t index, const Service& service, Millis timeout) {
    Route route;
    route.name = "route-" + std::to_string(index);
    route.hostname = "host-" + std::to_string(index);
    route.path_prefix = "/a/";
    route.type = "deferred";
    route.service = service.name;
    route.timeout = timeout;
    route.retention = Millis(90'000);
    return route;
}

// A random subset of 40 services and their routes; each route has one of two time-outs.
Configuration randomConfiguration(std::mt19937_64& random, std::int64_t generation) {
    Configuration configuration;
    configuration.generation = generation;
    for (std::size_t i = 0; i < 40; ++i) {
        if (random() % 4 == 0) continue;
        configuration.services.push_back(makeService(i));
        if (random() % 8 != 0)
            configuration.routes.push_back(
                makeRoute(i, configuration.services.back(), Millis(1000 + random() % 2)));
    }
    std::shuffle(configuration.routes.begin(), configuration.routes.end(), random);
    configuration.limits.max_body_bytes = 1000 + random() % 2;
    configuration.buildIndexes();
    return configuration;
}

template <class Entry>
bool sameEntries(std::vector<Entry> left, std::vector<Entry> right) {
    const auto by_name = [](const Entry& a, const Entry& b) { return a.name < b.name; };
    std::sort(left.begin(), left.end(), by_name);
    std::sort(right.begin(), right.end(), by_name);
    return left == right;
}

bool sameContent(const Configuration& left, const Configuration& right) {
    return left.generation == right.generation && left.limits == right.limits &&
           sameEntries(left.routes, right.routes) && sameEntries(left.services, right.services);
}

ConfigurationState stateOf(std::int64_t generation, std::size_t services) {
    return {generation, largeConfiguration(generation, services), {}};
}

// Fetches an update in pages as a dispatcher does. Returns the number of pages and the update's bytes.
std::pair<int, std::string> fetch(ConfigurationHistory& from, const ConfigurationVersion& base) {
    ConfigurationAssembler assembler;
    for (int pages = 1; pages < 1000; ++pages) {
        const auto bytes = assembler.add(from.updateFrom(base).pageAfter(assembler.progress()));
        if (bytes) return {pages, *bytes};
    }
    return {0, {}};
}

}  // namespace

TEST_CASE("an update leads from its base to exactly the next configuration, whatever changed between them") {
    std::mt19937_64 random(7);
    Configuration before = randomConfiguration(random, 1);
    for (std::int64_t generation = 2; generation < 300; ++generation) {
        CAPTURE(generation);
        const Configuration next = randomConfiguration(random, generation);
        const auto update = decodeUpdate(encodeUpdate(makeUpdate(&before, next)));
        REQUIRE(update);
        const Configuration updated = applyUpdate(&before, *update);
        CHECK(sameContent(updated, next));
        for (const Route& route : next.routes) {
            const Route* const matched = updated.match(route.hostname, "/a/b");
            CHECK((matched != nullptr && *matched == route));
        }
        const auto whole = decodeUpdate(encodeUpdate(makeUpdate(nullptr, next)));
        REQUIRE(whole);
        CHECK(sameContent(applyUpdate(nullptr, *whole), next));
        before = updated;
    }
}

TEST_CASE("an update is rejected on another base, and if a route then names a missing service") {
    std::mt19937_64 random(3);
    const Configuration first = randomConfiguration(random, 1);
    const Configuration second = randomConfiguration(random, 2);
    const Configuration third = randomConfiguration(random, 3);
    const ConfigurationUpdate update = makeUpdate(&second, third);
    CHECK_THROWS_AS(applyUpdate(&first, update), ConfigurationError);
    CHECK_THROWS_AS(applyUpdate(nullptr, update), ConfigurationError);
    ConfigurationUpdate without_services = makeUpdate(nullptr, third);
    without_services.services.clear();
    CHECK_THROWS_AS(applyUpdate(nullptr, without_services), ConfigurationError);
}

TEST_CASE("bytes that are corrupt, truncated or larger than allowed are not decoded as an update") {
    std::mt19937_64 random(5);
    const std::string bytes = encodeUpdate(makeUpdate(nullptr, randomConfiguration(random, 1)));
    CHECK(decodeUpdate(bytes));
    CHECK_FALSE(decodeUpdate(bytes.substr(0, bytes.size() / 2)));
    CHECK_FALSE(decodeUpdate(bytes + "more"));
    std::string damaged = bytes;
    damaged[damaged.size() / 2] ^= 0x20;
    CHECK_FALSE(decodeUpdate(damaged));
    CHECK_FALSE(decodeUpdate(""));
    const std::string text(100'000, 'a');
    CHECK(decompress(compress(text), text.size()) == text);
    CHECK_FALSE(decompress(compress(text), text.size() - 1));
    CHECK(looksCompressed(compress(text)));
    CHECK_FALSE(looksCompressed("{"));
}

TEST_CASE("the update for a changed time-out is as small with ten thousand services as with a thousand") {
    for (const std::size_t services : {1'000, 10'000}) {
        CAPTURE(services);
        ConfigurationHistory history;
        REQUIRE(history.add(stateOf(4, services)));
        const ConfigurationVersion base = history.updateFrom({}).configuration;
        REQUIRE(history.add(stateOf(5, services)));
        const EncodedUpdate& update = history.updateFrom(base);
        CHECK(update.base_generation == 4);
        CHECK(update.bytes.size() < 300);
    }
}

TEST_CASE("a large configuration is sent in pages, and the transfer can continue at another core machine") {
    ConfigurationHistory first;
    ConfigurationHistory second;
    REQUIRE(first.add(stateOf(4, 10'000)));
    REQUIRE(second.add(stateOf(4, 10'000)));
    const auto [pages, whole] = fetch(first, {});
    CHECK(pages > 4);
    ConfigurationAssembler assembler;
    for (int page = 0; page < 3; ++page)
        CHECK_FALSE(assembler.add(first.updateFrom({}).pageAfter(assembler.progress())));
    CHECK(assembler.progress().received_bytes > 0);
    int remaining_pages = 0;
    std::optional<std::string> bytes;
    while (!bytes && remaining_pages < 1000) {
        ++remaining_pages;
        bytes = assembler.add(second.updateFrom({}).pageAfter(assembler.progress()));
    }
    CHECK(remaining_pages == pages - 3);
    CHECK(bytes == whole);
}

TEST_CASE("a repeated first page does not reset the progress") {
    ConfigurationHistory history;
    REQUIRE(history.add(stateOf(5, 10'000)));
    const auto [pages, whole] = fetch(history, {});
    ConfigurationAssembler assembler;
    const ConfigurationPage first = history.updateFrom({}).pageAfter({});
    std::optional<std::string> bytes;
    int pages_received = 0;
    while (!bytes && pages_received < 1000) {
        ++pages_received;
        bytes = assembler.add(history.updateFrom({}).pageAfter(assembler.progress()));
        if (bytes) break;
        CHECK_FALSE(assembler.add(first));
    }
    CHECK(pages_received == pages);
    CHECK(bytes == whole);
}

TEST_CASE("pages of an outdated configuration are dropped once pages of the new one arrive") {
    ConfigurationHistory history;
    REQUIRE(history.add(stateOf(4, 10'000)));
    ConfigurationAssembler assembler;
    const ConfigurationPage old_page = history.updateFrom({}).pageAfter({});
    CHECK_FALSE(assembler.add(old_page));
    REQUIRE(history.add(stateOf(5, 10'000)));
    std::optional<std::string> bytes;
    for (int page = 0; page < 1000 && !bytes; ++page)
        bytes = assembler.add(history.updateFrom({}).pageAfter(assembler.progress()));
    REQUIRE(bytes);
    const auto update = decodeUpdate(*bytes);
    REQUIRE(update);
    CHECK(update->generation == 5);
    ConfigurationPage truncated = old_page;
    truncated.total_bytes = truncated.bytes.size();
    CHECK_FALSE(assembler.add(truncated));  // its bytes do not match its digest
    CHECK(assembler.progress().received_bytes == 0);
}

TEST_CASE("a base that is no longer kept, or whose digest differs, gets the complete configuration") {
    ConfigurationHistory history;
    for (std::int64_t generation = 1; generation <= 40; ++generation) {
        REQUIRE(history.add(stateOf(generation, 3)));
    }
    CHECK(history.updateFrom({1, 5}).base_generation == 0);
    const ConfigurationVersion newest = history.updateFrom({}).configuration;
    REQUIRE(history.add(stateOf(41, 3)));
    CHECK(history.updateFrom(newest).base_generation == 40);
    CHECK(history.updateFrom({40, newest.digest + 1}).base_generation == 0);
    CHECK_FALSE(history.add(stateOf(41, 3)));
    CHECK_FALSE(history.add({42, "{", {}}));
    CHECK(history.newestGeneration() == 41);
}
