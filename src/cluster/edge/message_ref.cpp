#include "cluster/edge/message_ref.hpp"

#include <algorithm>
#include <charconv>

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kMaxRefLength = 64;
constexpr char kPlainSeparator = '-';
constexpr char kHexSeparator = '.';
constexpr char kHexDigits[] = "0123456789abcdef";

bool isPlainRefCharacter(char c) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

std::string toHex(std::string_view bytes) {
    std::string out;
    out.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        out += kHexDigits[byte >> 4];
        out += kHexDigits[byte & 15];
    }
    return out;
}

std::optional<std::string> fromHex(std::string_view hex) {
    if (hex.empty() || hex.size() % 2 != 0) return std::nullopt;
    std::string out;
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        unsigned value = 0;
        const auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 2, value, 16);
        if (error != std::errc() || end != hex.data() + i + 2) return std::nullopt;
        out += static_cast<char>(value);
    }
    return out;
}

}  // namespace

std::optional<std::string> formatMessageRef(PartitionId partition, std::string_view id) {
    std::string ref = "p" + std::to_string(partition);
    if (std::all_of(id.begin(), id.end(), isPlainRefCharacter)) {
        ref += kPlainSeparator;
        ref += id;
    } else {
        ref += kHexSeparator;
        ref += toHex(id);
    }
    if (ref.size() > kMaxRefLength) return std::nullopt;
    return ref;
}

MessageRef parseMessageRef(std::string_view text) {
    MessageRef bare{std::nullopt, std::string(text)};
    if (text.size() < 3 || text[0] != 'p') return bare;
    PartitionId partition = 0;
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + 1, last, partition);
    if (error != std::errc() || end + 1 >= last) return bare;
    const std::string_view rest(end + 1, static_cast<std::size_t>(last - end - 1));
    if (*end == kPlainSeparator) return {partition, std::string(rest)};
    if (*end != kHexSeparator) return bare;
    const std::optional<std::string> id = fromHex(rest);
    return id ? MessageRef{partition, *id} : bare;
}

}  // namespace amberswitch::cluster
