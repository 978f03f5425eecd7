// Metrics of the traffic of a process with the others of the cluster: calls and bytes by message kind and
// network distance.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cluster/common/node_locations.hpp"
#include "cluster/common/transport.hpp"

namespace amberswitch::cluster {

class TrafficMeter {
public:
    // Sizes are those of the bodies; the frame prefixes are added. An unknown distance is counted separately.
    void countCall(std::uint16_t kind, std::optional<Distance> distance, std::size_t bytes_sent);
    void countReply(std::uint16_t kind, std::optional<Distance> distance, std::size_t bytes_received);
    // Lines such as "traffic_accept_message_other_region_bytes 120". Combinations without calls are left out.
    std::string text() const;

private:
    struct Totals {
        std::uint64_t calls = 0;
        std::uint64_t bytes = 0;  // requests and replies with their frame prefixes, without TCP headers
    };
    static constexpr std::size_t kDistanceCount = 4;  // the values of Distance, and unknown
    std::map<std::uint16_t, std::array<Totals, kDistanceCount>> totals_;  // by message kind
};

// Forwards to another transport and counts the calls that this process makes.
class MeteredTransport : public Transport {
public:
    // All references must outlive the transport.
    MeteredTransport(std::unique_ptr<Transport> inner, const NodeLocations& locations, TrafficMeter& meter);

    void call(const NodeAddress& to, Envelope request, Millis timeout,
              std::function<void(CallResult)> done) override;
    void serve(RequestHandler handler) override { inner_->serve(std::move(handler)); }

private:
    std::unique_ptr<Transport> inner_;
    const NodeLocations& locations_;
    TrafficMeter& meter_;
};

}  // namespace amberswitch::cluster
