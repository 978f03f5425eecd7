// Parses IPv4 addresses and "ip:port" pairs.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// Whether the text is an IPv4 address in dotted decimal form.
bool isIpv4(const std::string& text);

// Parses "ip:port" with an IPv4 address and a port from 1 to 65535; nothing if the text has another form.
std::optional<NodeAddress> parseNodeAddress(std::string_view text);

}  // namespace amberswitch::cluster
