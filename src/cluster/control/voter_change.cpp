#include "cluster/control/voter_change.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <string>

#include "cluster/common/injected_fault.hpp"

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kMinVoters = 3;

bool contains(const std::vector<NodeAddress>& addresses, const NodeAddress& address) {
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

VoterSet withoutVoter(const VoterSet& current, const NodeAddress& removed) {
    VoterSet next{current.version + 1, current.addresses};
    std::erase(next.addresses, removed);
    return next;
}

VoterSet withVoter(const VoterSet& current, const NodeAddress& added) {
    VoterSet next{current.version + 1, current.addresses};
    next.addresses.push_back(added);
    return next;
}

std::size_t majoritySize(std::size_t count) {
    return count / 2 + 1;
}

using DomainOf = std::function<const std::string&(const CoreObservation&)>;
using CountByDomain = std::map<std::string, std::size_t>;

// Returns true if more than half of the voters remain after the loss of any `lost_domains` domains. `counts`
// holds the candidates of each domain, of which at most `max_per_domain` are used.
bool survivesLoss(const CountByDomain& counts, std::size_t max_per_domain, std::size_t lost_domains) {
    std::vector<std::size_t> kept;
    std::size_t total = 0;
    for (const auto& [domain, count] : counts) {
        kept.push_back(std::min(count, max_per_domain));
        total += kept.back();
    }
    std::sort(kept.begin(), kept.end(), std::greater<>());
    std::size_t remaining = total;
    for (std::size_t i = 0; i < std::min(lost_domains, kept.size()); ++i) remaining -= kept[i];
    return remaining >= majoritySize(total);
}

// Failure domains of one kind (zones or regions) with their voters and ready machines. Computes the highest
// number of voters per domain that survives the loss of `lost_domains` domains.
class FailureDomains {
public:
    FailureDomains(DomainOf domain_of, const VoterSet& current, const std::vector<CoreObservation>& machines,
                   std::size_t lost_domains)
        : domain_of_(std::move(domain_of)) {
        CountByDomain usable;
        for (const CoreObservation& machine : machines) {
            const bool is_voter = contains(current.addresses, machine.address);
            if (is_voter) ++voters_[domain_of_(machine)];
            if (machine.live && (is_voter || machine.ready)) ++usable[domain_of_(machine)];
        }
        const bool all_known = !usable.contains({}) && !voters_.contains({});
        if (lost_domains == 0 || !all_known) return;
        for (std::size_t max_per_domain = machines.size(); max_per_domain > 0; --max_per_domain) {
            if (!survivesLoss(usable, max_per_domain, lost_domains)) continue;
            max_per_domain_ = max_per_domain;
            return;
        }
    }
    bool hasRoomFor(const CoreObservation& machine) const {
        const auto found = voters_.find(domain_of_(machine));
        return found == voters_.end() || found->second < max_per_domain_;
    }
    bool isOverLimit(const CoreObservation& voter) const {
        return voters_.at(domain_of_(voter)) > max_per_domain_;
    }

private:
    DomainOf domain_of_;
    CountByDomain voters_;
    std::size_t max_per_domain_ = std::numeric_limits<std::size_t>::max();  // no limit by default
};

// Summary of the voters and the other core machines.
struct VoterSummary {
    std::size_t voters = 0;
    std::size_t live_voters = 0;
    std::vector<CoreObservation> absent;  // voters that are not live
    std::vector<NodeAddress> standby;     // ready machines that are not voters
    std::vector<NodeAddress> excess;      // live voters of domains above their limit
};

VoterSummary summarize(const VoterSet& current, const std::vector<CoreObservation>& machines,
                       const DomainTolerance& tolerated_domains) {
    const DomainOf zone_of = [](const CoreObservation& machine) -> const std::string& {
        return machine.zone;
    };
    const DomainOf region_of = [](const CoreObservation& machine) -> const std::string& {
        return machine.region;
    };
    const FailureDomains zones(zone_of, current, machines, tolerated_domains.zones);
    const FailureDomains regions(region_of, current, machines, tolerated_domains.regions);
    VoterSummary summary;
    summary.voters = current.addresses.size();
    for (const CoreObservation& machine : machines) {
        const bool is_voter = contains(current.addresses, machine.address);
        const bool has_room = zones.hasRoomFor(machine) && regions.hasRoomFor(machine);
        if (is_voter && machine.live) ++summary.live_voters;
        if (is_voter && !machine.live) summary.absent.push_back(machine);
        if (!is_voter && machine.ready && has_room) summary.standby.push_back(machine.address);
        const bool over_limit = is_voter && (zones.isOverLimit(machine) || regions.isOverLimit(machine));
        if (over_limit && machine.live) summary.excess.push_back(machine.address);
    }
    return summary;
}

// The lost voter to remove, if one should and may be removed.
std::optional<NodeAddress> voterToRemove(const VoterSummary& summary, std::size_t tolerated_machines) {
    const std::size_t min_voters = std::max(2 * tolerated_machines + 1, kMinVoters);
    const bool has_replacement = summary.voters == min_voters && !summary.standby.empty();
    const bool may_remove = summary.voters > min_voters || has_replacement;
    if (!may_remove) return std::nullopt;
    const bool survives_losses = summary.live_voters >= majoritySize(summary.voters) + tolerated_machines;
    for (const CoreObservation& voter : summary.absent) {
        if (voter.timed_out || !survives_losses) return voter.address;
    }
    return std::nullopt;
}

// The voter to remove from a domain above its limit; the last one in the list, which is the newest.
std::optional<NodeAddress> excessVoter(const VoterSummary& summary, std::size_t tolerated_machines) {
    const std::size_t min_voters = std::max(2 * tolerated_machines + 1, kMinVoters);
    if (summary.excess.empty() || !summary.absent.empty() || summary.voters <= min_voters)
        return std::nullopt;
    return summary.excess.back();
}

}  // namespace

std::optional<VoterSet> nextVoters(const VoterSet& current, const std::vector<CoreObservation>& machines,
                                   std::size_t tolerated_machines, const DomainTolerance& tolerated_domains) {
    const VoterSummary summary = summarize(current, machines, tolerated_domains);
    // The live voters that form a majority also form one after adding a live machine or removing an absent
    // one. Without a majority no further change could be made.
    const bool has_majority = summary.live_voters >= majoritySize(summary.voters);
    if (!has_majority && !isFaultInjected(InjectedFault::changes_voters_without_majority))
        return std::nullopt;
    if (const auto removed = voterToRemove(summary, tolerated_machines))
        return withoutVoter(current, *removed);
    if (!summary.standby.empty()) return withVoter(current, summary.standby.front());
    if (const auto excess = excessVoter(summary, tolerated_machines)) return withoutVoter(current, *excess);
    return std::nullopt;
}

}  // namespace amberswitch::cluster
