#include "cluster/storage/placement.hpp"

#include <xxhash.h>

#include <algorithm>

namespace amberswitch::cluster::storage {

std::uint64_t rendezvousWeight(const std::string& store, PartitionId partition) {
    return XXH64(store.data(), store.size(), partition);
}

const StoreMember* Placement::member(const std::string& name) const {
    if (!view_) return nullptr;
    for (const StoreMember& store : view_->stores) {
        if (store.member.name == name) return &store;
    }
    return nullptr;
}

bool Placement::alive(const std::string& name) const {
    const StoreMember* const store = member(name);
    return store != nullptr && store->alive;
}

bool Placement::keepsCopies(const std::string& name) const {
    const StoreMember* const store = member(name);
    return store != nullptr && store->keepsCopies();
}

std::vector<std::string> Placement::replicaOrder(PartitionId partition) const {
    std::vector<std::string> names = liveOrder(partition);
    std::erase_if(names, [this](const std::string& name) { return !keepsCopies(name); });
    return names;
}

std::vector<std::string> Placement::liveOrder(PartitionId partition) const {
    struct Candidate {
        bool leaving;
        Distance distance;
        std::uint64_t weight;
        std::string name;
    };
    std::vector<Candidate> candidates;
    if (!view_) return {};
    for (const StoreMember& store : view_->stores) {
        if (!store.alive || store.member.name == self_) continue;
        const std::string& name = store.member.name;
        candidates.push_back({store.member.leaving || store.retiring,
                              topology_.distanceBetween(zone_, store.member.zone),
                              rendezvousWeight(name, partition), name});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        if (a.leaving != b.leaving) return b.leaving;
        if (a.distance != b.distance) return a.distance < b.distance;
        return a.weight != b.weight ? a.weight > b.weight : a.name < b.name;
    });
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (Candidate& candidate : candidates) names.push_back(std::move(candidate.name));
    if (!spread_rule_.isTrivial()) moveSpreadFirst(names);
    return names;
}

// Moves the stores that are to hold the copies to the front. The nearest store is taken, unless every
// remaining copy is needed to reach a further zone or region: then the nearest store that adds one.
void Placement::moveSpreadFirst(std::vector<std::string>& names) const {
    Zones zones{zone_};
    auto place = names.begin();
    for (std::size_t copies_left = tolerated(); copies_left > 0 && place != names.end(); --copies_left) {
        const auto next = nextCopy(place, names.end(), zones, copies_left);
        if (next == names.end()) return;
        zones.insert(member(*next)->member.zone);
        std::rotate(place, next, next + 1);
        ++place;
    }
}

std::vector<std::string>::iterator Placement::nextCopy(std::vector<std::string>::iterator first,
                                                       std::vector<std::string>::iterator last,
                                                       const Zones& zones, std::size_t copies_left) const {
    const bool needs_region = spread_rule_.missingRegions(zones) >= copies_left;
    const bool needs_zone = spread_rule_.missingZones(zones) >= copies_left;
    return std::find_if(first, last, [&](const std::string& name) {
        const std::string& zone = member(name)->member.zone;
        if (!keepsCopies(name)) return false;
        if (needs_region && !spread_rule_.addsRegion(zones, zone)) return false;
        return !needs_zone || !zones.contains(zone);
    });
}

bool Placement::isSpread(const std::set<std::string>& holders) const {
    if (spread_rule_.isTrivial()) return true;
    Zones zones{zone_};
    for (const std::string& name : holders) {
        if (const StoreMember* const store = member(name)) zones.insert(store->member.zone);
    }
    return spread_rule_.isSpread(zones);
}

bool Placement::canSpread() const {
    if (spread_rule_.isTrivial()) return true;
    std::set<std::string> copy_stores;
    for (const StoreMember& store : view_->stores) {
        if (store.keepsCopies()) copy_stores.insert(store.member.name);
    }
    return isSpread(copy_stores);
}

std::size_t Placement::otherCopyStoreCount() const {
    if (!view_) return 0;
    return static_cast<std::size_t>(
        std::count_if(view_->stores.begin(), view_->stores.end(),
                      [this](const auto& s) { return s.keepsCopies() && s.member.name != self_; }));
}

}  // namespace amberswitch::cluster::storage
