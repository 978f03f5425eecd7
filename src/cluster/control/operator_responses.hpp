// HTTP responses shared by several operator calls.
#pragma once

#include <string>

#include "cluster/common/http.hpp"

namespace amberswitch::cluster {

// A plain-text response; a newline is appended to `text`.
HttpResponse textResponse(int status, const std::string& text);
// 200 with `body`.
HttpResponse jsonResponse(std::string body);
// 503 with Retry-After: no quorum answered in time, so the outcome of the call is unknown.
HttpResponse unknownOutcomeResponse();
// 500: the register value described by `what` can't be decoded.
HttpResponse unreadableValueResponse(const std::string& what);

}  // namespace amberswitch::cluster
