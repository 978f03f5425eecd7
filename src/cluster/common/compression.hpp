// Compressed bytes: what is kept or sent whole though it repeats itself, such as configurations.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace amberswitch::cluster {

// The bytes in zlib's format (RFC 1950), which begins with a byte that no JSON text begins with.
std::string compressed(std::string_view bytes);

// What was compressed; nothing where the bytes are damaged or hold more than `most_bytes`.
std::optional<std::string> decompressed(std::string_view bytes, std::size_t most_bytes);

// Whether the bytes begin like the result of compressed().
bool looksCompressed(std::string_view bytes);

}  // namespace amberswitch::cluster
