// Differences between configurations, their bytes, and their pages.
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

// A part of 40 services and their routes, each with a time-out of its own.
Configuration drawConfiguration(std::mt19937_64& random, std::int64_t generation) {
    Configuration drawn;
    drawn.generation = generation;
    for (std::size_t i = 0; i < 40; ++i) {
        if (random() % 4 == 0) continue;
        drawn.services.push_back(makeService(i));
        if (random() % 8 != 0)
            drawn.routes.push_back(makeRoute(i, drawn.services.back(), Millis(1000 + random() % 2)));
    }
    std::shuffle(drawn.routes.begin(), drawn.routes.end(), random);
    drawn.limits.max_body_bytes = 1000 + random() % 2;
    drawn.buildIndexes();
    return drawn;
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

// Fetches by pages as a dispatcher does; the number of pages, and the update's bytes.
std::pair<int, std::string> fetch(ConfigurationHistory& from, const KnownConfiguration& base) {
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
    Configuration before = drawConfiguration(random, 1);
    for (std::int64_t generation = 2; generation < 300; ++generation) {
        CAPTURE(generation);
        const Configuration next = drawConfiguration(random, generation);
        const auto update = decodeUpdate(encodeUpdate(updateFrom(&before, next)));
        REQUIRE(update);
        const Configuration reached = applyUpdate(&before, *update);
        CHECK(sameContent(reached, next));
        for (const Route& route : next.routes) {
            const Route* const matched = reached.match(route.hostname, "/a/b");
            CHECK((matched != nullptr && *matched == route));
        }
        const auto whole = decodeUpdate(encodeUpdate(updateFrom(nullptr, next)));
        REQUIRE(whole);
        CHECK(sameContent(applyUpdate(nullptr, *whole), next));
        before = reached;
    }
}

TEST_CASE("an update is refused on another base than its own, and where it leads to a service that is none") {
    std::mt19937_64 random(3);
    const Configuration first = drawConfiguration(random, 1);
    const Configuration second = drawConfiguration(random, 2);
    const Configuration third = drawConfiguration(random, 3);
    const ConfigurationUpdate update = updateFrom(&second, third);
    CHECK_THROWS_AS(applyUpdate(&first, update), ConfigurationError);
    CHECK_THROWS_AS(applyUpdate(nullptr, update), ConfigurationError);
    ConfigurationUpdate lacking = updateFrom(nullptr, third);
    lacking.services.clear();
    CHECK_THROWS_AS(applyUpdate(nullptr, lacking), ConfigurationError);
}

TEST_CASE("bytes that are damaged, cut short or larger than allowed are not taken for an update") {
    std::mt19937_64 random(5);
    const std::string bytes = encodeUpdate(updateFrom(nullptr, drawConfiguration(random, 1)));
    CHECK(decodeUpdate(bytes));
    CHECK_FALSE(decodeUpdate(bytes.substr(0, bytes.size() / 2)));
    CHECK_FALSE(decodeUpdate(bytes + "more"));
    std::string damaged = bytes;
    damaged[damaged.size() / 2] ^= 0x20;
    CHECK_FALSE(decodeUpdate(damaged));
    CHECK_FALSE(decodeUpdate(""));
    const std::string text(100'000, 'a');
    CHECK(decompressed(compressed(text), text.size()) == text);
    CHECK_FALSE(decompressed(compressed(text), text.size() - 1));
    CHECK(looksCompressed(compressed(text)));
    CHECK_FALSE(looksCompressed("{"));
}

TEST_CASE("a changed time-out costs the same bytes with a thousand services as with ten thousand") {
    for (const std::size_t services : {1'000, 10'000}) {
        CAPTURE(services);
        ConfigurationHistory history;
        REQUIRE(history.add(stateOf(4, services)));
        const KnownConfiguration base = history.updateFrom({}).configuration;
        REQUIRE(history.add(stateOf(5, services)));
        const EncodedUpdate& update = history.updateFrom(base);
        CHECK(update.base_generation == 4);
        CHECK(update.bytes.size() < 300);
    }
}

TEST_CASE("a large configuration comes in pages, and goes on at another core machine where one was left") {
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
    int more = 0;
    std::optional<std::string> bytes;
    while (!bytes && more < 1000) {
        ++more;
        bytes = assembler.add(second.updateFrom({}).pageAfter(assembler.progress()));
    }
    CHECK(more == pages - 3);
    CHECK(bytes == whole);
}

TEST_CASE("a first page that comes again costs no progress") {
    ConfigurationHistory history;
    REQUIRE(history.add(stateOf(5, 10'000)));
    const auto [pages, whole] = fetch(history, {});
    ConfigurationAssembler assembler;
    const ConfigurationPage first = history.updateFrom({}).pageAfter({});
    std::optional<std::string> bytes;
    int taken = 0;
    while (!bytes && taken < 1000) {
        ++taken;
        bytes = assembler.add(history.updateFrom({}).pageAfter(assembler.progress()));
        if (bytes) break;
        CHECK_FALSE(assembler.add(first));
    }
    CHECK(taken == pages);
    CHECK(bytes == whole);
}

TEST_CASE("pages of a configuration that has changed meanwhile are dropped, and those of the new one taken") {
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
    ConfigurationPage wrong = old_page;
    wrong.total_bytes = wrong.bytes.size();
    CHECK_FALSE(assembler.add(wrong));  // its bytes are not those of its digest
    CHECK(assembler.progress().received_bytes == 0);
}

TEST_CASE("a base that is not kept any more, or has other contents under its number, gets the whole") {
    ConfigurationHistory history;
    for (std::int64_t generation = 1; generation <= 40; ++generation) {
        REQUIRE(history.add(stateOf(generation, 3)));
    }
    CHECK(history.updateFrom({1, 5}).base_generation == 0);
    const KnownConfiguration newest = history.updateFrom({}).configuration;
    REQUIRE(history.add(stateOf(41, 3)));
    CHECK(history.updateFrom(newest).base_generation == 40);
    CHECK(history.updateFrom({40, newest.digest + 1}).base_generation == 0);
    CHECK_FALSE(history.add(stateOf(41, 3)));
    CHECK_FALSE(history.add({42, "{", {}}));
    CHECK(history.newestGeneration() == 41);
}
