#include "cluster/common/http.hpp"

#include <algorithm>

namespace amberswitch::cluster {

namespace {

char toLower(char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A')) : character;
}

bool equalsIgnoringCase(std::string_view one, std::string_view other) {
    const auto is_same = [](char left, char right) { return toLower(left) == toLower(right); };
    return std::equal(one.begin(), one.end(), other.begin(), other.end(), is_same);
}

}  // namespace

std::string_view headerValue(const HttpHeaders& headers, std::string_view name) {
    for (const HttpHeader& header : headers) {
        if (equalsIgnoringCase(header.name, name)) return header.value;
    }
    return {};
}

}  // namespace amberswitch::cluster
