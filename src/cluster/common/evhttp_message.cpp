#include "cluster/common/evhttp_message.hpp"

#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace amberswitch::cluster {

namespace {

struct Method {
    evhttp_cmd_type type;
    std::string_view name;
};

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

bool isChunked(std::string_view coding) {
    constexpr std::string_view kChunked = "chunked";
    const auto same = [](char letter, char wanted) { return (letter | 0x20) == wanted; };
    return std::equal(coding.begin(), coding.end(), kChunked.begin(), kChunked.end(), same);
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

bool isUnambiguous(evhttp_cmd_type method, const HttpHeaders& headers) {
    const auto is_name = [](const HttpHeader& header) { return isToken(header.name); };
    if (!std::all_of(headers.begin(), headers.end(), is_name)) return false;
    const std::string_view length = headerValue(headers, "Content-Length");
    const std::string_view coding = headerValue(headers, "Transfer-Encoding");
    if (!length.empty() && !isNumber(length)) return false;
    if (!coding.empty() && !isChunked(coding)) return false;
    const bool reads_no_body = method == EVHTTP_REQ_HEAD || method == EVHTTP_REQ_TRACE;
    const bool states_body = !coding.empty() || (!length.empty() && length != "0");
    return !(reads_no_body && states_body);
}

}  // namespace amberswitch::cluster
