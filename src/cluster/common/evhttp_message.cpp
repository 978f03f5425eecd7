#include "cluster/common/evhttp_message.hpp"

#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace amberswitch::cluster {

namespace {

struct Method {
    evhttp_cmd_type type;
    std::string_view name;
};

constexpr const char* kContentLength = "Content-Length";
constexpr const char* kTransferEncoding = "Transfer-Encoding";

constexpr std::array<Method, 8> kMethods{{
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_PATCH, "PATCH"},
    {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_OPTIONS, "OPTIONS"},
    {EVHTTP_REQ_TRACE, "TRACE"},
}};

bool isSame(const std::string& text, const char* other) {
    return evutil_ascii_strcasecmp(text.c_str(), other) == 0;
}

bool isDigit(char letter) {
    return letter >= '0' && letter <= '9';
}

// RFC 9110: what a header name is made of.
bool isTokenCharacter(char letter) {
    constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
    const bool is_letter = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    return is_letter || isDigit(letter) || kMarks.find(letter) != std::string_view::npos;
}

bool isToken(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isNumber(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), isDigit);
}

}  // namespace

std::string_view methodName(evhttp_cmd_type method) {
    for (const Method& known : kMethods) {
        if (known.type == method) return known.name;
    }
    return {};
}

std::optional<evhttp_cmd_type> methodByName(std::string_view name) {
    for (const Method& known : kMethods) {
        if (known.name == name) return known.type;
    }
    return std::nullopt;
}

HttpHeaders readHeaders(evhttp_request* message) {
    HttpHeaders headers;
    const evkeyvalq* all = evhttp_request_get_input_headers(message);
    for (const evkeyval* header = all->tqh_first; header != nullptr; header = header->next.tqe_next) {
        headers.push_back({header->key, header->value});
    }
    return headers;
}

std::string takeBody(evhttp_request* message) {
    evbuffer* buffer = evhttp_request_get_input_buffer(message);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

void writeHeaders(evhttp_request* message, const HttpHeaders& headers) {
    evkeyvalq* output = evhttp_request_get_output_headers(message);
    for (const HttpHeader& header : headers) {
        if (evhttp_add_header(output, header.name.c_str(), header.value.c_str()) != 0) {
            throw std::invalid_argument("header " + header.name + " cannot be sent");
        }
    }
}

bool isTarget(std::string_view target) {
    constexpr unsigned char kDelete = 0x7f;
    const auto is_safe = [](char letter) {
        const auto code = static_cast<unsigned char>(letter);
        return code > ' ' && code != kDelete;
    };
    return !target.empty() && std::all_of(target.begin(), target.end(), is_safe);
}

bool hasClearEnd(const HttpHeaders& headers) {
    std::size_t ends = 0;
    for (const HttpHeader& header : headers) {
        if (!isToken(header.name)) return false;
        const bool is_length = isSame(header.name, kContentLength);
        const bool is_coding = isSame(header.name, kTransferEncoding);
        if (is_length && !isNumber(header.value)) return false;
        if (is_coding && !isSame(header.value, "chunked")) return false;
        if (is_length || is_coding) ++ends;
    }
    return ends <= 1;
}

bool statesBody(const HttpHeaders& headers) {
    const std::string_view length = headerValue(headers, kContentLength);
    const bool is_chunked = !headerValue(headers, kTransferEncoding).empty();
    return is_chunked || (!length.empty() && length != "0");
}

}  // namespace amberswitch::cluster
