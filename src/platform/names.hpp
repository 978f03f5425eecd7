// The platform's words for what the core knows: headers of jobs, entries of the farm's list, load reports.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/transaction.hpp"
#include "http/message.hpp"
#include "settings/read.hpp"

namespace amberswitch::platform {

// The client's clock started when it sent, and the answer has its way to go: this much of what the client
// waits is left to the way.
constexpr Nanos kWay = std::chrono::milliseconds(20);
inline Nanos withoutWay(Nanos left) {
    return left - std::min(kWay, left / 4);
}

struct BadJob {
    int status = 400;
    std::string why;
};

// Reads a job's request. On a fault `bad` says why.
std::optional<Arrival> readJob(const settings::Site& site, const http::Message& message, BadJob& bad);

struct FarmList {
    std::int64_t version = 0;
    bool whole = false;
    std::vector<RosterServer> entries;
    std::vector<std::string> addresses;  // one for each entry
};
FarmList readFarm(const settings::Site& site, const settings::object& from);  // throws settings::BadField

LoadReport readLoad(const settings::object& from);
LoadReport readLoad(const http::Message& message);
LoadReport readLoad(std::string_view text);  // "TEXT name=value, name=value"

}  // namespace amberswitch::platform
