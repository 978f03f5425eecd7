// The operator file: the project's own settings, apart from the platform's. One JSON file, a section a
// feature; what has no section is off. deploy/operator.json, or the file that AMBERSWITCH_OPERATOR names.
#pragma once

#include "gearman/config.hpp"
#include "grpc/config.hpp"
#include "placement/policy.hpp"
#include "platform/consul.hpp"
#include "start/turns.hpp"

namespace amberswitch::config {

// What is written to standard error beside warnings.
struct Log {
    bool trace = false;  // a line for each job, pass and list: see core/trace.hpp
    std::uint32_t linesPerSecond = 200;
};

struct Operator {
    Log log;
    gearman::Config gearman;
    platform::ConsulConfig consul;
    grpc::Config grpc;
    start::Pace start;
    placement::Policy placement;
};

// Throws settings::BadField with one line: the file, the path in it and the reason.
Operator readOperator(const settings::Site& site);
Operator readOperator(const settings::Site& site, const std::string& path, const std::string& text);

}  // namespace amberswitch::config
