#include "cluster/storage/rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace amberswitch::cluster::storage {

namespace {

constexpr double kBurstSeconds = 0.05;
constexpr double kMinBurst = 1;
constexpr double kMaxBurst = 2;
constexpr std::size_t kMinOutstanding = 2;
// Servers queue some messages beyond those that they process; with more than this per slot they reject
// messages, which then have to be granted again.
constexpr double kOutstandingPerSlot = 2;
constexpr std::uint32_t kDownsUntilProbing = 3;
constexpr Millis kMinProbeBackoff{20};
constexpr Millis kMaxProbeBackoff{500};
constexpr double kTokenTolerance = 1e-9;

}  // namespace

void RateLimiter::configure(const Configuration& configuration) {
    for (auto& [name, service] : services_) {
        if (configuration.service(name) == nullptr) service.rate_per_s = 0;
    }
    for (const cluster::Service& configured : configuration.services) {
        Service& service = services_[configured.name];
        service.rate_per_s = configured.rate_per_s;
        service.endpoint = configured.endpoint.has_value();
        if (configured.endpoint) {
            service.max_outstanding = configured.max_connections;
            service.listed = false;
        } else if (!service.listed) {
            service.max_outstanding = 0;
        }
        service.shared_limit = service.max_outstanding > 0;
    }
}

void RateLimiter::setCapacities(const std::map<std::string, std::uint32_t>& slots) {
    for (const auto& [name, count] : slots) {
        Service& service = services_[name];
        service.max_outstanding = static_cast<std::uint32_t>(std::ceil(kOutstandingPerSlot * count));
        service.shared_limit = true;
        service.listed = true;
    }
}

void RateLimiter::limitOutstanding(const std::string& destination, std::uint32_t max_outstanding) {
    services_[destination].max_outstanding = max_outstanding;
}

void RateLimiter::setShares(double of_ceilings, double owned, SteadyTime now) {
    for (auto& [name, service] : services_) refill(service, now);
    share_ = of_ceilings;
    owned_share_ = owned;
}

double RateLimiter::burstOf(const Service& service) const {
    return std::clamp(kBurstSeconds * rateOf(service), kMinBurst, kMaxBurst);
}

std::size_t RateLimiter::outstandingLimit(const Service& service) const {
    if (!service.shared_limit) return service.max_outstanding;
    const auto part = static_cast<std::size_t>(service.max_outstanding * owned_share_);
    return std::max(part, kMinOutstanding);
}

void RateLimiter::refill(Service& service, SteadyTime now) {
    if (service.rate_per_s <= 0) return;
    if (service.refilled == SteadyTime{}) service.refilled = now;  // the bucket starts empty
    const double seconds = std::chrono::duration<double>(now - service.refilled).count();
    service.tokens = std::min(service.tokens + seconds * rateOf(service), burstOf(service));
    service.refilled = now;
}

bool RateLimiter::isProbing(const Service& service) {
    return service.consecutive_downs >= kDownsUntilProbing;
}

bool RateLimiter::mayGrant(const std::string& name, SteadyTime now) {
    Service& service = services_[name];
    if (isProbing(service) && (service.outstanding > 0 || now < service.next_probe)) return false;
    if (service.max_outstanding > 0 && service.outstanding >= outstandingLimit(service)) return false;
    if (service.rate_per_s <= 0) return true;
    refill(service, now);
    return service.tokens >= 1 - kTokenTolerance;
}

void RateLimiter::recordGrant(const std::string& name, SteadyTime now) {
    Service& service = services_[name];
    ++service.outstanding;
    if (service.rate_per_s <= 0) return;
    refill(service, now);
    service.tokens -= 1;
}

void RateLimiter::recordAdoption(const std::string& name) {
    ++services_[name].outstanding;
}

void RateLimiter::recordEnd(const std::string& name, DestinationStatus destination, SteadyTime now) {
    Service& service = services_[name];
    if (service.outstanding > 0) --service.outstanding;
    if (destination == DestinationStatus::reached) {
        service.consecutive_downs = 0;
        service.probe_backoff = Millis(0);
    }
    if (destination != DestinationStatus::down) return;
    ++service.consecutive_downs;
    if (!isProbing(service)) return;
    service.probe_backoff = std::clamp(service.probe_backoff * 2, kMinProbeBackoff, kMaxProbeBackoff);
    service.next_probe = now + service.probe_backoff;
}

std::optional<SteadyTime> RateLimiter::nextAllowedTime(const std::string& name, SteadyTime now) {
    Service& service = services_[name];
    SteadyTime next = now;
    if (isProbing(service)) {
        if (service.outstanding > 0) return std::nullopt;
        next = std::max(next, service.next_probe);
    }
    if (service.max_outstanding > 0 && service.outstanding >= outstandingLimit(service)) return std::nullopt;
    if (service.rate_per_s <= 0) return next;
    const double rate = rateOf(service);
    if (rate <= 0) return std::nullopt;
    refill(service, now);
    const double missing_us = std::max(0.0, 1 - service.tokens) / rate * 1e6;
    return std::max(next, now + std::chrono::microseconds(static_cast<std::int64_t>(std::ceil(missing_us))));
}

std::size_t RateLimiter::outstanding(const std::string& name) const {
    const auto found = services_.find(name);
    return found == services_.end() ? 0 : found->second.outstanding;
}

bool RateLimiter::isEndpoint(const std::string& name) const {
    const auto found = services_.find(name);
    return found != services_.end() && found->second.endpoint;
}

bool RateLimiter::isDown(const std::string& name) const {
    const auto found = services_.find(name);
    return found != services_.end() && isProbing(found->second);
}

}  // namespace amberswitch::cluster::storage
