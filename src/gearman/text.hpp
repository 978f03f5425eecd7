// Numbers in the text fields of Gearman's packets and administrative commands.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/deadlines.hpp"

namespace amberswitch::gearman {

std::string retryAfterText(Nanos retryIn);           // when a client that was refused may try again
std::uint64_t parseUnsigned(std::string_view text);  // as far as there are digits; 0 without any

}  // namespace amberswitch::gearman
