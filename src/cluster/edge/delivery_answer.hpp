// Classifies the HTTP outcome of a delivery attempt: the result of the message, and the outcome that is
// reported to the decision module for the server.
#pragma once

#include <string>

#include "cluster/common/http.hpp"
#include "cluster/common/messages.hpp"
#include "heronmount/dispatcher.hpp"

namespace amberswitch::cluster {

struct DeliveryAnswer {
    bool may_have_run = true;                  // if false, another attempt within the same grant is allowed
    RunOutcome outcome = RunOutcome::unknown;  // reported if may_have_run or if no further server is tried
    heronmount::Outcome server_outcome = heronmount::Outcome::reset;
    bool unreachable = false;    // no connection could be established
    bool try_elsewhere = false;  // certainly not run here; another server may be tried
    std::string stamp;           // set if completed
};

// `rate_limited`: the service has a rate limit; every request that arrives counts against it, so no further
// server is tried.
DeliveryAnswer classifyOutcome(const HttpOutcome& outcome, bool rate_limited);

}  // namespace amberswitch::cluster
