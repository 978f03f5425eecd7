// What an attempt at a server says: about the message, and about the server for the decision module.
#pragma once

#include <string>

#include "cluster/common/http.hpp"
#include "cluster/common/messages.hpp"
#include "heronmount/dispatcher.hpp"

namespace amberswitch::cluster {

struct DeliveryAnswer {
    bool may_have_run = true;                  // false: another attempt inside the same grant is allowed
    RunOutcome outcome = RunOutcome::unknown;  // where may_have_run, or nothing else is tried
    heronmount::Outcome server_outcome = heronmount::Outcome::reset;
    bool unreachable = false;    // no connection could be made
    bool try_elsewhere = false;  // surely not run here, and another server may be asked
    std::string stamp;           // where completed
};

// `rate_limited`: the service has a ceiling, so that each arrival counts and nothing is tried again.
DeliveryAnswer classifyOutcome(const HttpOutcome& outcome, bool rate_limited);

}  // namespace amberswitch::cluster
