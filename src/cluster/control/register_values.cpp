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
// Of the body of a configuration; far above what an operator can send.
constexpr std::size_t kMaxExpandedBytes = 64 * 1024 * 1024;

// Zeroed bytes decode too, to a value that nobody ever writes.
bool isWritten(const ConfigurationState& state) {
    return state.generation > 0;
}
bool isWritten(const StoreView& view) {
    return view.leader_term > 0;
}
bool isWritten(const VoterSet& voters) {
    return voters.version > 0 && !voters.addresses.empty();
}

// Whether a body may be what an operator sent: a JSON object, after white space at most.
bool looksLikeJson(std::string_view body) {
    const std::size_t start = body.find_first_not_of(" \t\r\n");
    return start != std::string_view::npos && body[start] == '{';
}

// Turns the parts that are kept compressed into plain ones. False: they are damaged.
bool expand(ConfigurationState& state) {
    if (looksCompressed(state.body)) {
        std::optional<std::string> body = decompress(state.body, kMaxExpandedBytes);
        if (!body) return false;
        state.body = std::move(*body);
    }
    return looksLikeJson(state.body);
}
bool expand(const StoreView&) {
    return true;
}
bool expand(const VoterSet&) {
    return true;
}

template <class Value>
std::optional<Value> readValue(const std::string& bytes) {
    if (bytes.empty()) return Value{};
    std::optional<Value> value = decodeExact<Value>(bytes);
    if (!value || !isWritten(*value) || !expand(*value)) return std::nullopt;
    return value;
}

template <class Value>
std::optional<Value> readOrLog(const char* key, const std::string& bytes) {
    std::optional<Value> value = readValue<Value>(bytes);
    if (!value) {
        LOG_EVERY_T(ERROR, kLogIntervalS) << "the value of register key " << key << " (" << bytes.size()
                                          << " bytes) is not readable; it is left as it is";
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
