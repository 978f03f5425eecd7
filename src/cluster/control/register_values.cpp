#include "cluster/control/register_values.hpp"

#include <glog/logging.h>

#include <string_view>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/compression.hpp"
#include "cluster/control/register_messages.hpp"

namespace amberswitch::cluster {
namespace {

constexpr int kLogIntervalS = 10;
// Limit for a decompressed configuration body; far above what the operator API accepts.
constexpr std::size_t kMaxDecompressedBytes = 64 * 1024 * 1024;

// Zeroed bytes decode without an error, but to values that are never written.
bool isValid(const ConfigurationState& state) {
    return state.generation > 0;
}
bool isValid(const StoreView& view) {
    return view.leader_term > 0;
}
bool isValid(const VoterSet& voters) {
    return voters.version > 0 && !voters.addresses.empty();
}

// Returns true if the body can be a configuration sent by an operator: a JSON object, after optional white
// space.
bool looksLikeJson(std::string_view body) {
    const std::size_t start = body.find_first_not_of(" \t\r\n");
    return start != std::string_view::npos && body[start] == '{';
}

// Decompresses the compressed fields in place. Returns false if they are damaged.
bool decompressFields(ConfigurationState& state) {
    if (looksCompressed(state.body)) {
        std::optional<std::string> body = decompress(state.body, kMaxDecompressedBytes);
        if (!body) return false;
        state.body = std::move(*body);
    }
    return looksLikeJson(state.body);
}
bool decompressFields(const StoreView&) {
    return true;
}
bool decompressFields(const VoterSet&) {
    return true;
}

template <class Value>
std::optional<Value> readValue(const std::string& bytes) {
    if (bytes.empty()) return Value{};
    std::optional<Value> value = decodeExact<Value>(bytes);
    if (!value || !isValid(*value) || !decompressFields(*value)) return std::nullopt;
    return value;
}

template <class Value>
std::optional<Value> readOrLog(const char* key, const std::string& bytes) {
    std::optional<Value> value = readValue<Value>(bytes);
    if (!value) {
        LOG_EVERY_T(ERROR, kLogIntervalS) << "the value of register key " << key << " (" << bytes.size()
                                          << " bytes) cannot be decoded; the stored value is left unchanged";
    }
    return value;
}

}  // namespace

std::string encodeConfigurationState(const ConfigurationState& state) {
    return encode(ConfigurationState{state.generation, compress(state.body), state.accepted_changes});
}

std::optional<ConfigurationState> readConfigurationState(const std::string& bytes) {
    return readOrLog<ConfigurationState>(kConfigKey, bytes);
}

std::optional<StoreView> readStoreView(const std::string& bytes) {
    return readOrLog<StoreView>(kViewKey, bytes);
}

std::optional<VoterSet> readVoterSet(const std::string& bytes) {
    return readOrLog<VoterSet>(kVotersKey, bytes);
}

bool isReadable(const std::string& key, const std::string& bytes) {
    if (key == kConfigKey) return readValue<ConfigurationState>(bytes).has_value();
    if (key == kViewKey) return readValue<StoreView>(bytes).has_value();
    return readValue<VoterSet>(bytes).has_value();
}

}  // namespace amberswitch::cluster
