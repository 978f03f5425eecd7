#include "gearman/text.hpp"

#include <charconv>
#include <cstdio>

namespace amberswitch::gearman {

std::string retryAfterText(Nanos retryIn) {
    char text[64];
    std::snprintf(text, sizeof text, "unavailable; Retry-After: %.3f",
                  static_cast<double>(retryIn.count()) * 1e-9);
    return text;
}

std::uint64_t parseUnsigned(std::string_view text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

}  // namespace amberswitch::gearman
