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

bool equalsIgnoringCase(const std::string& text, const char* other) {
    return evutil_ascii_strcasecmp(text.c_str(), other) == 0;
}

bool isDigit(char character) {
    return character >= '0' && character <= '9';
}

// A token character by RFC 9110; header names consist of these.
bool isTokenCharacter(char character) {
    constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
    const bool is_letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return is_letter || isDigit(character) || kSymbols.find(character) != std::string_view::npos;
}

bool isToken(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isDecimalNumber(std::string_view text) {
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
            throw std::invalid_argument("header " + header.name + " is not valid");
        }
    }
}

bool isValidTarget(std::string_view target) {
    constexpr unsigned char kDelete = 0x7f;
    const auto is_safe = [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return code > ' ' && code != kDelete;
    };
    return !target.empty() && std::all_of(target.begin(), target.end(), is_safe);
}

bool hasUnambiguousFraming(const HttpHeaders& headers) {
    std::size_t ends = 0;
    for (const HttpHeader& header : headers) {
        if (!isToken(header.name)) return false;
        const bool is_length = equalsIgnoringCase(header.name, kContentLength);
        const bool is_coding = equalsIgnoringCase(header.name, kTransferEncoding);
        if (is_length && !isDecimalNumber(header.value)) return false;
        if (is_coding && !equalsIgnoringCase(header.value, "chunked")) return false;
        if (is_length || is_coding) ++ends;
    }
    return ends <= 1;
}

bool declaresBody(const HttpHeaders& headers) {
    const std::string_view length = headerValue(headers, kContentLength);
    const bool is_chunked = !headerValue(headers, kTransferEncoding).empty();
    return is_chunked || (!length.empty() && length != "0");
}

}  // namespace amberswitch::cluster
