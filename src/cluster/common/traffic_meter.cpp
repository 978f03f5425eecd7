#include "cluster/common/traffic_meter.hpp"

#include <string_view>
#include <utility>

#include "cluster/common/frame.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/metrics_text.hpp"

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kUnknownDistanceIndex = 3;
constexpr std::array<std::string_view, 4> kDistanceNames{"same_zone", "same_region", "other_region",
                                                         "unknown_distance"};

std::size_t distanceIndex(std::optional<Distance> distance) {
    return distance ? static_cast<std::size_t>(*distance) : kUnknownDistanceIndex;
}

}  // namespace

void TrafficMeter::countCall(std::uint16_t kind, std::optional<Distance> distance, std::size_t bytes_sent) {
    Totals& totals = totals_[kind][distanceIndex(distance)];
    ++totals.calls;
    totals.bytes += kFramePrefixBytes + bytes_sent;
}

void TrafficMeter::countReply(std::uint16_t kind, std::optional<Distance> distance,
                              std::size_t bytes_received) {
    totals_[kind][distanceIndex(distance)].bytes += kFramePrefixBytes + bytes_received;
}

std::string TrafficMeter::text() const {
    MetricsText text("traffic_");
    for (const auto& [kind, by_distance] : totals_) {
        for (std::size_t index = 0; index < by_distance.size(); ++index) {
            const Totals& totals = by_distance[index];
            if (totals.calls == 0) continue;
            const std::string name = std::string(nameOf(static_cast<MessageKind>(kind))) + "_" +
                                     std::string(kDistanceNames[index]);
            text.add(name + "_calls", totals.calls);
            text.add(name + "_bytes", totals.bytes);
        }
    }
    return text.take();
}

MeteredTransport::MeteredTransport(std::unique_ptr<Transport> inner, const NodeLocations& locations,
                                   TrafficMeter& meter)
    : inner_(std::move(inner)), locations_(locations), meter_(meter) {}

void MeteredTransport::call(const NodeAddress& to, Envelope request, Millis timeout,
                            std::function<void(CallResult)> done) {
    const std::uint16_t kind = request.kind;
    const std::optional<Distance> distance = locations_.distanceTo(to);
    meter_.countCall(kind, distance, request.body.size());
    const auto counted = [this, kind, distance, done = std::move(done)](const CallResult& result) {
        if (result.verdict == CallStatus::answered)
            meter_.countReply(kind, distance, result.reply.body.size());
        done(result);
    };
    inner_->call(to, std::move(request), timeout, counted);
}

}  // namespace amberswitch::cluster
