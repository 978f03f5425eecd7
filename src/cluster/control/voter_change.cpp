#include "cluster/control/voter_change.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <string>

#include "cluster/common/injected_fault.hpp"

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kFewestVoters = 3;

bool contains(const std::vector<NodeAddress>& addresses, const NodeAddress& address) {
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

VoterSet without(const VoterSet& current, const NodeAddress& gone) {
    VoterSet next{current.version + 1, current.addresses};
    std::erase(next.addresses, gone);
    return next;
}

VoterSet with(const VoterSet& current, const NodeAddress& added) {
    VoterSet next{current.version + 1, current.addresses};
    next.addresses.push_back(added);
    return next;
}

std::size_t majorityOf(std::size_t count) {
    return count / 2 + 1;
}

using PlaceOf = std::function<const std::string&(const CoreObservation&)>;
using CountByPlace = std::map<std::string, std::size_t>;

// Whether more than half of `counts`, of which each place gives `most` at most, is left after any loss of
// that many places.
bool bearsLoss(const CountByPlace& counts, std::size_t most, std::size_t lost_places) {
    std::vector<std::size_t> kept;
    std::size_t all = 0;
    for (const auto& [place, count] : counts) {
        kept.push_back(std::min(count, most));
        all += kept.back();
    }
    std::sort(kept.begin(), kept.end(), std::greater<>());
    std::size_t left = all;
    for (std::size_t i = 0; i < std::min(lost_places, kept.size()); ++i) left -= kept[i];
    return left >= majorityOf(all);
}

// The places of one kind, zones or regions, that live voters and ready machines stand in.
class Places {
public:
    Places(PlaceOf place_of, const VoterSet& current, const std::vector<CoreObservation>& machines,
           std::size_t lost_places)
        : place_of_(std::move(place_of)) {
        CountByPlace usable;
        for (const CoreObservation& machine : machines) {
            const bool is_voter = contains(current.addresses, machine.address);
            if (is_voter) ++voters_[place_of_(machine)];
            if (machine.live && (is_voter || machine.ready)) ++usable[place_of_(machine)];
        }
        const bool all_known = !usable.contains({}) && !voters_.contains({});
        if (lost_places == 0 || !all_known) return;
        for (std::size_t most = machines.size(); most > 0; --most) {
            if (!bearsLoss(usable, most, lost_places)) continue;
            most_ = most;
            return;
        }
    }
    bool hasRoomFor(const CoreObservation& machine) const {
        const auto found = voters_.find(place_of_(machine));
        return found == voters_.end() || found->second < most_;
    }
    bool isOverFull(const CoreObservation& voter) const { return voters_.at(place_of_(voter)) > most_; }

private:
    PlaceOf place_of_;
    CountByPlace voters_;
    std::size_t most_ = std::numeric_limits<std::size_t>::max();  // in one place
};

// What the voters and the other machines amount to.
struct Tally {
    std::size_t voters = 0;
    std::size_t live_voters = 0;
    std::vector<CoreObservation> absent;  // voters that are not live
    std::vector<NodeAddress> standby;     // ready machines that are not voters
    std::vector<NodeAddress> unneeded;    // live voters of places that have too many
};

Tally tallyOf(const VoterSet& current, const std::vector<CoreObservation>& machines,
              const VoterSpread& spread) {
    const PlaceOf zone_of = [](const CoreObservation& machine) -> const std::string& { return machine.zone; };
    const PlaceOf region_of = [](const CoreObservation& machine) -> const std::string& {
        return machine.region;
    };
    const Places zones(zone_of, current, machines, spread.zones);
    const Places regions(region_of, current, machines, spread.regions);
    Tally tally;
    tally.voters = current.addresses.size();
    for (const CoreObservation& machine : machines) {
        const bool is_voter = contains(current.addresses, machine.address);
        const bool has_room = zones.hasRoomFor(machine) && regions.hasRoomFor(machine);
        if (is_voter && machine.live) ++tally.live_voters;
        if (is_voter && !machine.live) tally.absent.push_back(machine);
        if (!is_voter && machine.ready && has_room) tally.standby.push_back(machine.address);
        const bool too_many = is_voter && (zones.isOverFull(machine) || regions.isOverFull(machine));
        if (too_many && machine.live) tally.unneeded.push_back(machine.address);
    }
    return tally;
}

// The voter to remove, if one should and may go.
std::optional<NodeAddress> leaver(const Tally& tally, std::size_t tolerated) {
    const std::size_t fewest = std::max(2 * tolerated + 1, kFewestVoters);
    const bool is_replaced = tally.voters == fewest && !tally.standby.empty();
    const bool may_go = tally.voters > fewest || is_replaced;
    if (!may_go) return std::nullopt;
    const bool bears_losses = tally.live_voters >= majorityOf(tally.voters) + tolerated;
    for (const CoreObservation& voter : tally.absent) {
        if (voter.silent || !bears_losses) return voter.address;
    }
    return std::nullopt;
}

// The voter to remove from a place with too many. The last of them: the newest.
std::optional<NodeAddress> surplus(const Tally& tally, std::size_t tolerated) {
    const std::size_t fewest = std::max(2 * tolerated + 1, kFewestVoters);
    if (tally.unneeded.empty() || !tally.absent.empty() || tally.voters <= fewest) return std::nullopt;
    return tally.unneeded.back();
}

}  // namespace

std::optional<VoterSet> nextVoters(const VoterSet& current, const std::vector<CoreObservation>& machines,
                                   std::size_t tolerated, const VoterSpread& spread) {
    const Tally tally = tallyOf(current, machines, spread);
    // A majority that is there is also one of a set with a live machine more, or an absent one less. Without
    // it no further change could be made.
    const bool has_majority = tally.live_voters >= majorityOf(tally.voters);
    if (!has_majority && !isFaultInjected(InjectedFault::changes_voters_without_majority))
        return std::nullopt;
    if (const auto gone = leaver(tally, tolerated)) return without(current, *gone);
    if (!tally.standby.empty()) return with(current, tally.standby.front());
    if (const auto unneeded = surplus(tally, tolerated)) return without(current, *unneeded);
    return std::nullopt;
}

}  // namespace amberswitch::cluster
