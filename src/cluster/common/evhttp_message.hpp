// Conversions between evhttp's messages and the structs of http.hpp, and checks of their syntax.
#pragma once

#include <event2/buffer.h>
#include <event2/http.h>

#include <optional>
#include <string>
#include <string_view>

#include "cluster/common/http.hpp"

namespace amberswitch::cluster {

// GET, POST, PUT, DELETE, PATCH, HEAD, OPTIONS and TRACE, as a bit mask of evhttp.
inline constexpr unsigned kServedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                           EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_HEAD |
                                           EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE;

// The name of a supported method; empty for any other.
std::string_view methodName(evhttp_cmd_type method);
// The supported method of that name (case-sensitive); none for any other name.
std::optional<evhttp_cmd_type> methodByName(std::string_view name);

HttpHeaders readHeaders(evhttp_request* message);
// Moves the body out of the message.
std::string takeBody(evhttp_request* message);
// Adds the headers to an outgoing message. Throws std::invalid_argument if a name or value contains a line
// break.
void writeHeaders(evhttp_request* message, const HttpHeaders& headers);

// Whether a request target is safe in a request line: not empty, without spaces and control characters.
bool isValidTarget(std::string_view target);

// Whether every HTTP implementation finds the same end of the message as evhttp (a difference would allow
// request smuggling): header names are tokens, and there is at most one Content-Length, which is a number, or
// one Transfer-Encoding, which is exactly `chunked`, but not both.
bool hasUnambiguousFraming(const HttpHeaders& headers);

// Whether the headers announce a non-empty body.
bool declaresBody(const HttpHeaders& headers);

}  // namespace amberswitch::cluster
