#include "cluster/common/http.hpp"

#include <algorithm>

namespace amberswitch::cluster {

namespace {

char lower(char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + ('a' - 'A')) : letter;
}

bool isSameHeader(std::string_view one, std::string_view other) {
    const auto is_same = [](char left, char right) { return lower(left) == lower(right); };
    return std::equal(one.begin(), one.end(), other.begin(), other.end(), is_same);
}

}  // namespace

std::string_view headerValue(const HttpHeaders& headers, std::string_view name) {
    for (const HttpHeader& header : headers) {
        if (isSameHeader(header.name, name)) return header.value;
    }
    return {};
}

}  // namespace amberswitch::cluster
