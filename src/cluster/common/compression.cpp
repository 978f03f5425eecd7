#include "cluster/common/compression.hpp"

#include <zlib.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kChunkBytes = 16 * 1024;
constexpr char kFirstByte = 0x78;  // zlib header byte: deflate with a window of 32 KB

const Bytef* asInput(std::string_view bytes) {
    return reinterpret_cast<const Bytef*>(bytes.data());
}

// Owns a zlib inflate stream.
struct Inflation {
    z_stream stream{};
    Inflation() {
        if (inflateInit(&stream) != Z_OK) throw std::runtime_error("zlib: out of memory while decompressing");
    }
    ~Inflation() { inflateEnd(&stream); }
    Inflation(const Inflation&) = delete;
    Inflation& operator=(const Inflation&) = delete;
};

}  // namespace

std::string compress(std::string_view bytes) {
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string result(size, '\0');
    auto* const output = reinterpret_cast<Bytef*>(result.data());
    const int status =
        compress2(output, &size, asInput(bytes), static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
    if (status != Z_OK) throw std::runtime_error("zlib: out of memory while compressing");
    result.resize(size);
    return result;
}

std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes) {
    Inflation inflation;
    z_stream& stream = inflation.stream;
    stream.next_in = const_cast<Bytef*>(asInput(bytes));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string result;
    std::array<char, kChunkBytes> chunk{};
    int status = Z_OK;
    while (status == Z_OK) {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        status = inflate(&stream, Z_NO_FLUSH);
        result.append(chunk.data(), chunk.size() - stream.avail_out);
        if (result.size() > max_bytes) return std::nullopt;
    }
    const bool is_complete = status == Z_STREAM_END && stream.avail_in == 0;
    return is_complete ? std::optional(std::move(result)) : std::nullopt;
}

bool looksCompressed(std::string_view bytes) {
    return !bytes.empty() && bytes.front() == kFirstByte;
}

}  // namespace amberswitch::cluster
