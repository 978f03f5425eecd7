// Basic vocabulary shared by every plane of the cluster: identifiers, times, addresses, verdicts.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace amberswitch::cluster {

using Millis = std::chrono::milliseconds;
using SteadyTime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

using Epoch = std::uint64_t;        // of the store view; only rises
using Incarnation = std::uint64_t;  // of a process: drawn at its start, never 0
using PartitionId = std::uint32_t;
using MessageId = std::string;  // the client's Request-Id

// Offsets from the first port of `portRange` for what dispatchers say to each other.
enum class PortOffset : std::uint16_t { core = 0, edge = 1, store = 2 };

// An IPv4 address and TCP port, as text and number.
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

// What is known of a request that was handed to another process.
enum class Verdict : std::uint8_t {
    answered,      // an answer came
    not_executed,  // the request surely never reached the other side
    unknown,       // it may have run: the answer was lost, late or never sent
};

}  // namespace amberswitch::cluster
