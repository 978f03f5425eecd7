// Between evhttp's requests and the structs of http.hpp.
#pragma once

#include <event2/buffer.h>
#include <event2/http.h>

#include <optional>
#include <string>
#include <string_view>

#include "cluster/common/http.hpp"

namespace amberswitch::cluster {

// GET, POST, PUT, DELETE, PATCH, HEAD, OPTIONS and TRACE, as evhttp's bits.
inline constexpr unsigned kServedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                           EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_HEAD |
                                           EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE;

// The name of a served method; empty for any other.
std::string_view methodName(evhttp_cmd_type method);
std::optional<evhttp_cmd_type> methodByName(std::string_view name);

HttpHeaders readHeaders(evhttp_request* message);
// Moves the body out of the message.
std::string takeBody(evhttp_request* message);
// Throws std::invalid_argument where a name or value holds a line end.
void writeHeaders(evhttp_request* message, const HttpHeaders& headers);

// A path and query, or `*`, that is safe on a request line: not empty, no spaces and no control characters.
bool isValidTarget(std::string_view target);

// Whether nobody could read another end of the message out of its header than evhttp did: names are tokens,
// there is one Content-Length that is a number, or one Transfer-Encoding that is `chunked` alone, or none of
// both.
bool hasUnambiguousFraming(const HttpHeaders& headers);

// Whether the header announces a body.
bool declaresBody(const HttpHeaders& headers);

}  // namespace amberswitch::cluster
