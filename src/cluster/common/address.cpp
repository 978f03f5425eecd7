#include "cluster/common/address.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <system_error>

namespace amberswitch::cluster {

bool isIpv4(const std::string& text) {
    in_addr parsed{};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

std::optional<NodeAddress> parseNodeAddress(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;

    NodeAddress address;
    address.ip = text.substr(0, colon);
    if (!isIpv4(address.ip)) return std::nullopt;

    const std::string_view port = text.substr(colon + 1);
    const char* const end = port.data() + port.size();
    const auto [stopped_at, error] = std::from_chars(port.data(), end, address.port);
    if (error != std::errc{} || stopped_at != end || address.port == 0) return std::nullopt;
    return address;
}

}  // namespace amberswitch::cluster
