// Encodes and decodes the values of the register. Bytes that cannot be decoded (damaged, or written by
// another version of the program) are not treated like a key that was never written: a change based on an
// empty value would overwrite the unreadable one. Callers that get std::nullopt must leave the stored value
// unchanged.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

// Maximum size of an encoded configuration value. It can be sent to four other machines within one register
// round (0.4 s) on a link of 86 Mbit/s.
inline constexpr std::size_t kMaxConfigurationValueBytes = 1024 * 1024;

// Encodes a configuration state; the body is stored compressed.
std::string encodeConfigurationState(const ConfigurationState& state);

// Decode a value. Empty bytes mean that the key was never written and give an empty value. Return
// std::nullopt, and log an error, if the bytes are not readable. The body of a returned configuration is
// plain JSON, also if an older program stored it uncompressed.
std::optional<ConfigurationState> readConfigurationState(const std::string& bytes);
std::optional<StoreView> readStoreView(const std::string& bytes);
std::optional<VoterSet> readVoterSet(const std::string& bytes);

// Returns true if the bytes are empty or decode as a value of that key.
bool isReadable(const std::string& key, const std::string& bytes);

}  // namespace amberswitch::cluster
