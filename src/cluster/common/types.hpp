// Basic types shared by all processes of the cluster: identifiers, times, addresses and call results.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace amberswitch::cluster {

using Millis = std::chrono::milliseconds;
using SteadyTime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

using Epoch = std::uint64_t;        // of the store view; only increases
using Incarnation = std::uint64_t;  // identifies one run of a process: drawn at its start, never 0
using PartitionId = std::uint32_t;
using MessageId = std::string;  // the Request-Id that the client sent

// Offset of each kind of process's internal port from the first port of `portRange`.
enum class PortOffset : std::uint16_t { core = 0, edge = 1, store = 2 };

// An IPv4 address in dotted decimal form and a TCP port.
struct NodeAddress {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const NodeAddress&) const = default;
    std::string text() const { return ip + ":" + std::to_string(port); }
    template <class Archive>
    void serialize(Archive& archive) {
        archive(ip, port);
    }
};

// Result of a call to another process, as far as the caller knows it.
enum class CallStatus : std::uint8_t {
    answered,      // a response arrived
    not_executed,  // the request certainly never reached the other process
    unknown,       // the request may have been executed: the response was lost, late or never sent
};

}  // namespace amberswitch::cluster
