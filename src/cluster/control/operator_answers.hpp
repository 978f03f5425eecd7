// Answers to the operator that several calls give.
#pragma once

#include <string>

#include "cluster/common/http.hpp"

namespace amberswitch::cluster {

HttpResponse textAnswer(int status, const std::string& text);
HttpResponse jsonAnswer(std::string body);
// 503: no quorum answered in time, so the outcome of the call is not known.
HttpResponse unknownOutcome();
// 500: the register's value of this name is not readable.
HttpResponse unreadableValue(const std::string& what);

}  // namespace amberswitch::cluster
