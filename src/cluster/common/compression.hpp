// Compression (zlib) of repetitive data that is stored or sent, such as configurations.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace amberswitch::cluster {

// Compresses into the zlib format (RFC 1950). Its first byte never starts a JSON text.
std::string compress(std::string_view bytes);

// The original bytes; nothing if the input is corrupt or expands to more than `max_bytes`.
std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes);

// Whether the first byte is that of the result of compress().
bool looksCompressed(std::string_view bytes);

}  // namespace amberswitch::cluster
