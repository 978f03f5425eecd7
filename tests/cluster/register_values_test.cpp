// Encoding of configurations in the register: stored compressed, and readable if an older program stored them
// plain.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "cluster/control/register_values.hpp"

#include <doctest/doctest.h>

#include <random>

#include "cluster/common/compression.hpp"
#include "cluster/control/operator_api.hpp"
#include "cluster/control/register_messages.hpp"
#include "tests/cluster/control_world.hpp"
#include "tests/cluster/large_configuration.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;
using amberswitch::cluster::testing::largeConfiguration;

namespace {

const std::string kConfigRecordKey = std::string("register/accepted/") + kConfigKey;
constexpr int kTaken = 200;
constexpr int kTooLarge = 413;

ConfigurationState largeState() {
    return {3, largeConfiguration(3, 1'000), {{3, 1, 17}}};
}

// A valid configuration that compresses poorly, since its service names are random.
std::string randomConfiguration(std::int64_t generation, std::size_t services) {
    constexpr std::string_view kLetters = "abcdefghijklmnopqrstuvwxyz0123456789";
    constexpr std::size_t kNameLetters = 60;
    std::mt19937 random(1);
    std::string listed;
    for (std::size_t i = 0; i < services; ++i) {
        std::string name = "s";
        while (name.size() < kNameLetters) name += kLetters[random() % kLetters.size()];
        listed += (i == 0 ? R"({"name":")" : R"(,{"name":")") + name +
                  R"(","healthCheck":"/healthz","maxConnections":46,"protocol":"h1","tls":false,)"
                  R"("ratePerS":39.0,"idempotent":false,"pull":false,"static":null})";
    }
    return R"({"generation":)" + std::to_string(generation) + R"(,"routes":[],"services":[)" + listed + "]}";
}

AcceptedRecord recordOn(CoreMachine& machine) {
    return decode<AcceptedRecord>(machine.content()[kConfigRecordKey]).value_or(AcceptedRecord{});
}

}  // namespace

TEST_CASE("core machines store a configuration in less than a tenth of its bytes") {
    ControlWorld sim(91);
    sim.startAll();
    sim.world.run(Millis(4000));
    const std::string body = largeConfiguration(1, 1'000);
    REQUIRE(sim.replace(*sim.core[0], 0, body) == kTaken);
    sim.world.run(Millis(1000));
    for (auto& machine : sim.core) {
        const std::size_t stored = recordOn(*machine).value.size();
        CHECK(stored > 0);
        CHECK(stored < body.size() / 10);
        CHECK((sim.read(*machine).body == body));
    }
}

TEST_CASE("a configuration is read as it was written, in a value of less than a tenth of its bytes") {
    const ConfigurationState state = largeState();
    const std::string value = encodeConfigurationState(state);
    CHECK(value.size() < state.body.size() / 10);
    CHECK(isReadable(kConfigKey, value));
    const std::optional<ConfigurationState> read = readConfigurationState(value);
    REQUIRE(read.has_value());
    CHECK(read->generation == state.generation);
    CHECK((read->body == state.body));
    CHECK(read->accepted_changes == state.accepted_changes);
}

TEST_CASE("a configuration that an older program wrote uncompressed is read") {
    for (const std::string before : {"", " ", "\r\n\t"}) {
        ConfigurationState state = largeState();
        state.body = before + state.body;
        const std::string value = encode(state);
        CHECK(isReadable(kConfigKey, value));
        const std::optional<ConfigurationState> read = readConfigurationState(value);
        REQUIRE(read.has_value());
        CHECK((read->body == state.body));
        CHECK(read->accepted_changes == state.accepted_changes);
    }
}

TEST_CASE("a damaged compressed body is not readable, and not taken for an empty configuration") {
    const std::string body = largeState().body;
    const std::string whole = compress(body);
    const auto isRead = [](const std::string& kept) {
        const std::string value = encode(ConfigurationState{3, kept, {}});
        const bool read = readConfigurationState(value).has_value();
        CHECK(isReadable(kConfigKey, value) == read);
        return read;
    };
    REQUIRE(isRead(whole));
    CHECK_FALSE(isRead(""));
    for (std::size_t kept = 1; kept < whole.size(); kept += 97) CHECK_FALSE(isRead(whole.substr(0, kept)));
    CHECK_FALSE(isRead(whole + "more"));
    CHECK_FALSE(isRead(std::string(whole.size(), '\0')));
    for (std::size_t at = 0; at < whole.size(); at += 97) {
        std::string changed = whole;
        changed[at] = static_cast<char>(changed[at] ^ 0x10);
        CHECK_FALSE(isRead(changed));
    }
}

TEST_CASE("a body that decompresses to more than the limit is not readable") {
    constexpr std::size_t kFarTooManyBytes = 65 * 1024 * 1024;
    const std::string bomb = compress("{" + std::string(kFarTooManyBytes, ' '));
    REQUIRE(bomb.size() < kMaxConfigurationValueBytes);
    CHECK_FALSE(readConfigurationState(encode(ConfigurationState{3, bomb, {}})).has_value());
}

TEST_CASE("core machines continue from a value that an older program wrote uncompressed") {
    ControlWorld sim(92);
    sim.startAll();
    sim.world.run(Millis(4000));
    const std::string first = largeConfiguration(1, 1'000);
    REQUIRE(sim.replace(*sim.core[0], 0, first) == kTaken);
    sim.world.run(Millis(1000));
    for (auto& machine : sim.core) machine->kill();
    for (auto& machine : sim.core) {
        AcceptedRecord record = recordOn(*machine);
        record.value = encode(readConfigurationState(record.value).value());
        machine->content()[kConfigRecordKey] = encode(record);
    }
    sim.startAll();
    sim.world.run(Millis(4000));
    for (auto& machine : sim.core) CHECK((sim.read(*machine).body == first));
    CHECK(sim.replace(*sim.core[0], 0, first) == kTaken);  // repeated change, recognised as accepted before
    const std::string second = largeConfiguration(2, 1'000);
    CHECK(sim.replace(*sim.core[1], 1, second) == kTaken);
    for (auto& machine : sim.core) CHECK((sim.read(*machine).body == second));
}

TEST_CASE("a configuration that is too large even compressed is refused, and the one before it stays") {
    ControlWorld sim(93);
    sim.startAll();
    sim.world.run(Millis(4000));
    const std::string first = configurationJson(1);
    REQUIRE(sim.replace(*sim.core[0], 0, first) == kTaken);
    const std::string body = randomConfiguration(2, 30'000);
    REQUIRE(body.size() < kMaxOperatorBodyBytes);
    REQUIRE(compress(body).size() > kMaxConfigurationValueBytes);
    CHECK(sim.replace(*sim.core[1], 1, body) == kTooLarge);
    CHECK(sim.read(*sim.core[2]).body == first);
    CHECK(sim.replace(*sim.core[0], 1, largeConfiguration(2, 1'000)) == kTaken);
}
