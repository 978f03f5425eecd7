// Limits the attempts that this store may grant: rate ceilings in messages per second, limits of concurrent
// attempts, and probing of destinations that are down. Each store uses the share of the limits that
// corresponds to its partitions.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "cluster/common/configuration.hpp"
#include "cluster/common/types.hpp"

namespace amberswitch::cluster::storage {

// Fraction of a ceiling that is used; the rest allows for messages that reach the service with different
// delays and so arrive closer together than they were granted.
constexpr double kUsableCeilingFraction = 0.95;

// What the outcome of an attempt shows about its destination.
enum class DestinationStatus : std::uint8_t { reached, down, unknown };

// Token buckets and counts of outstanding attempts, by service. All times are passed in by the caller.
class RateLimiter {
public:
    // Sets ceilings and connection limits of the services; services without an entry are unlimited.
    void configure(const Configuration& configuration);
    // Sets the total number of messages that the listed servers of each service process at once.
    void setCapacities(const std::map<std::string, std::uint32_t>& slots);
    // Limits the outstanding attempts of a destination that is in no configuration, such as a call-back
    // receiver.
    void limitOutstanding(const std::string& destination, std::uint32_t max_outstanding);
    // Sets the fraction of all partitions, 0 to 1, whose ceilings this store may use, and the fraction that
    // it owns. They differ while a previous owner may still use its share of the ceilings.
    void setShares(double of_ceilings, double owned, SteadyTime now);

    bool mayGrant(const std::string& service, SteadyTime now);
    // Counts a new attempt. To be called only after mayGrant() returned true.
    void recordGrant(const std::string& service, SteadyTime now);
    // Counts an attempt that is already running; it takes no token.
    void recordAdoption(const std::string& service);
    // Removes an attempt from the count and updates the state of the destination.
    void recordEnd(const std::string& service, DestinationStatus destination, SteadyTime now);
    // The earliest time at which mayGrant() may return true without any other event; nullopt if there is
    // none.
    std::optional<SteadyTime> nextAllowedTime(const std::string& service, SteadyTime now);
    std::size_t outstanding(const std::string& service) const;
    // Whether the destination is down, so that only single probes are granted.
    bool isDown(const std::string& service) const;
    // Whether the service has one configured endpoint and no list of servers.
    bool isEndpoint(const std::string& service) const;

private:
    struct Service {
        double rate_per_s = 0;              // 0: no ceiling
        std::uint32_t max_outstanding = 0;  // 0: no limit
        bool shared_limit = false;          // max_outstanding applies to all stores together
        bool endpoint = false;
        bool listed = false;  // max_outstanding derives from the list of servers
        double tokens = 0;
        SteadyTime refilled{};
        std::size_t outstanding = 0;
        std::uint32_t consecutive_downs = 0;
        SteadyTime next_probe{};
        Millis probe_backoff{0};
    };
    double rateOf(const Service& service) const {
        return kUsableCeilingFraction * service.rate_per_s * share_;
    }
    double burstOf(const Service& service) const;
    std::size_t outstandingLimit(const Service& service) const;
    void refill(Service& service, SteadyTime now);
    static bool isProbing(const Service& service);

    double share_ = 0;        // of the ceilings
    double owned_share_ = 0;  // of the limits of outstanding attempts
    std::map<std::string, Service> services_;
};

}  // namespace amberswitch::cluster::storage
