// The values of the register, read from their bytes. Bytes that are not readable (damaged, or written by
// another version of the program) are not the same as a key that was never written: what is decided on top of
// an empty value would write the unreadable one away. Whoever gets nothing here must keep the value as it is.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

// The most bytes that a configuration's value may have: what goes to four other machines within one round of
// the register (0.4 s) on a link of 86 Mbit/s.
inline constexpr std::size_t kMaxConfigurationValueBytes = 1024 * 1024;

// The value of a configuration, whose body is kept compressed.
std::string encodeConfigurationState(const ConfigurationState& state);

// Empty bytes are a key that was never written and give an empty value. Nothing: not readable, which is
// logged. The body of a configuration is plain JSON, also where an older program wrote it uncompressed.
std::optional<ConfigurationState> readConfigurationState(const std::string& bytes);
std::optional<StoreView> readStoreView(const std::string& bytes);
std::optional<VoterSet> readVoterSet(const std::string& bytes);

// Whether the bytes are a value of that key, or empty.
bool isReadable(const std::string& key, const std::string& bytes);

}  // namespace amberswitch::cluster
