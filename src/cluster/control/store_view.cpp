#include "cluster/control/store_view.hpp"

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <string>

namespace amberswitch::cluster {
namespace {

// How the process that a store had in the view before stands now.
enum class OldProcess : std::uint8_t { same, stopped, maybe_running };

constexpr std::size_t kRetiredKept = 64;
constexpr std::size_t kSteps = 3;  // in which a store that joins is given its share

struct StoreChange {
    std::vector<StoreMember> stores;
    std::vector<OldProcess> old;             // by index; the new stores of the view have none
    std::vector<std::int32_t> place_before;  // by index in the view before: the index here, -1 where dropped
    std::vector<RetiredStore> retired;
    bool changed = false;
    bool joined = false;
};

std::uint64_t weight(PartitionId partition, const std::string& store) {
    return XXH64(store.data(), store.size(), partition);
}

bool mayOwn(const StoreMember& store) {
    return store.keepsCopies();
}

std::size_t countOfKeepers(const std::vector<StoreMember>& stores) {
    return static_cast<std::size_t>(std::count_if(stores.begin(), stores.end(), mayOwn));
}

void observe(StoreChange& change, std::size_t index, const StoreObservation& seen) {
    StoreMember& store = change.stores[index];
    OldProcess& old = change.old[index];
    const bool usable = !seen.silent && !seen.member.disk_failed;
    if (seen.member.incarnation != store.member.incarnation) {
        // A leaving or silent new process never served; the old one is gone in any case.
        store.member = seen.member;
        store.alive = !seen.member.leaving && usable;
        old = OldProcess::stopped;
        change.changed = true;
        return;
    }
    const bool leaving = seen.member.leaving || store.member.leaving;
    const bool alive = !leaving && usable;
    if (leaving)
        old = OldProcess::stopped;
    else if (!alive)
        old = OldProcess::maybe_running;
    const bool same_disk = seen.member.disk_failed == store.member.disk_failed;
    if (alive == store.alive && leaving == store.member.leaving && same_disk) return;
    store.alive = alive;
    store.member.leaving = leaving;
    store.member.disk_failed = seen.member.disk_failed;
    change.changed = true;
}

// A retired machine is about to be removed: neither its last process nor another one on its disk comes back.
bool hasRetired(const StoreView& view, const Member& member) {
    return std::any_of(view.retired.begin(), view.retired.end(), [&](const RetiredStore& retired) {
        return retired.name == member.name &&
               (retired.incarnation == member.incarnation || !member.disk_empty);
    });
}

bool mayJoin(const StoreView& current, const StoreObservation& seen) {
    const Member& member = seen.member;
    return !member.leaving && !member.disk_failed && !seen.silent && !hasRetired(current, member);
}

void join(StoreChange& change, const StoreView& current, const Member& member) {
    StoreMember store;
    store.member = member;
    store.joined_epoch = current.stores.empty() ? 0 : current.epoch + 1;
    store.joined_incarnation = member.incarnation;
    change.stores.push_back(std::move(store));
    change.old.push_back(OldProcess::same);
    change.changed = true;
    change.joined = true;
}

bool isNamed(const std::vector<std::string>& names, const StoreMember& store) {
    return std::find(names.begin(), names.end(), store.member.name) != names.end();
}

void noteRetired(std::vector<RetiredStore>& retired, const StoreMember& store) {
    std::erase_if(retired, [&](const RetiredStore& known) { return known.name == store.member.name; });
    retired.push_back({store.member.name, store.member.incarnation});
    if (retired.size() > kRetiredKept) retired.erase(retired.begin());
}

void noteAbsences(StoreChange& change, const StoreView& current) {
    for (std::size_t index = 0; index < current.stores.size(); ++index) {
        StoreMember& store = change.stores[index];
        if (store.alive) store.absent_since_epoch = 0;
        if (!store.alive && current.stores[index].alive) store.absent_since_epoch = current.epoch + 1;
    }
}

// Removes the stores on which nothing that counts stands any more.
void dropStores(StoreChange& change, const StoreView& current, const ViewRules& rules) {
    const bool may_drop_away = countOfKeepers(current.stores) >= 2 * std::size_t{current.tolerated} + 1;
    for (std::size_t index = 0; index < current.stores.size(); ++index) {
        const StoreMember& before = current.stores[index];
        // Peering was done without it only if it was so in the present view.
        const bool is_away = !before.alive && !change.stores[index].alive;
        const bool drop_away = may_drop_away && is_away && isNamed(rules.long_away, before);
        if (!before.retiring && !drop_away) continue;
        if (before.retirement_requested) noteRetired(change.retired, before);
        change.place_before[index] = -1;
        change.changed = true;
    }
    std::size_t kept = 0;
    for (std::size_t index = 0; index < change.stores.size(); ++index) {
        if (index < change.place_before.size()) {
            if (change.place_before[index] < 0) continue;
            change.place_before[index] = static_cast<std::int32_t>(kept);
        }
        if (kept != index) {
            change.stores[kept] = std::move(change.stores[index]);
            change.old[kept] = change.old[index];
        }
        ++kept;
    }
    change.stores.resize(kept);
    change.old.resize(kept);
}

StoreChange changeOfStores(const StoreView& current, const std::vector<StoreObservation>& observed,
                           const ViewRules& rules) {
    StoreChange change;
    change.stores = current.stores;
    change.old.assign(current.stores.size(), OldProcess::same);
    change.place_before.resize(current.stores.size());
    std::iota(change.place_before.begin(), change.place_before.end(), 0);
    change.retired = current.retired;
    for (const StoreObservation& seen : observed) {
        const auto known =
            std::find_if(change.stores.begin(), change.stores.end(),
                         [&](const StoreMember& store) { return store.member.name == seen.member.name; });
        if (known != change.stores.end()) {
            observe(change, static_cast<std::size_t>(known - change.stores.begin()), seen);
        } else if (mayJoin(current, seen)) {
            join(change, current, seen.member);
        }
    }
    for (StoreMember& store : change.stores) {
        if (!store.retirement_requested || store.retiring) continue;
        store.retiring = true;
        change.changed = true;
    }
    noteAbsences(change, current);
    if (rules.peered) dropStores(change, current, rules);
    return change;
}

// Shares out the partitions: -1 where no store may own any.
class OwnerAssignment {
public:
    OwnerAssignment(const std::vector<StoreMember>& stores, bool gradually)
        : stores_(stores), counts_(stores.size(), 0), gradually_(gradually) {
        const std::size_t keepers = countOfKeepers(stores);
        if (keepers > 0) cap_ = (kPartitionCount + keepers - 1) / keepers;
    }

    // `before`: by partition, -1 where its owner is not in the view any more.
    std::vector<std::int32_t> run(const std::vector<std::int32_t>& before) {
        std::vector<std::int32_t> owners(kPartitionCount, -1);
        keepOwners(owners, before, true);
        keepOwners(owners, before, false);
        if (gradually_) keepMore(owners, before);
        for (PartitionId partition = 0; partition < kPartitionCount; ++partition) {
            if (owners[partition] < 0) owners[partition] = firstWithRoom(partition);
        }
        return owners;
    }

private:
    // First those that their rendezvous order prefers, then the others.
    void keepOwners(std::vector<std::int32_t>& owners, const std::vector<std::int32_t>& before,
                    bool preferred) {
        for (PartitionId partition = 0; partition < before.size(); ++partition) {
            const std::int32_t owner = before[partition];
            if (owner < 0 || owners[partition] >= 0 || !hasRoom(static_cast<std::size_t>(owner))) continue;
            if (preferred && firstKeeper(partition) != owner) continue;
            take(owners, partition, owner);
        }
    }
    // Owners keep for now what they have above their even share and above the moves allowed.
    void keepMore(std::vector<std::int32_t>& owners, const std::vector<std::int32_t>& before) {
        const std::size_t most_moves = (cap_ + kSteps - 1) / kSteps;
        std::size_t moves = 0;
        for (PartitionId partition = 0; partition < before.size(); ++partition) {
            const std::int32_t owner = before[partition];
            if (owner < 0 || owners[partition] >= 0) continue;
            if (!mayOwn(stores_[static_cast<std::size_t>(owner)]) || moves++ < most_moves) continue;
            take(owners, partition, owner);
        }
    }
    void take(std::vector<std::int32_t>& owners, PartitionId partition, std::int32_t owner) {
        owners[partition] = owner;
        ++counts_[static_cast<std::size_t>(owner)];
    }
    bool hasRoom(std::size_t store) const { return mayOwn(stores_[store]) && counts_[store] < cap_; }
    std::int32_t firstKeeper(PartitionId partition) const {
        for (const std::size_t store : rendezvousOrder(partition, stores_)) {
            if (mayOwn(stores_[store])) return static_cast<std::int32_t>(store);
        }
        return -1;
    }
    std::int32_t firstWithRoom(PartitionId partition) {
        for (const std::size_t store : rendezvousOrder(partition, stores_)) {
            if (!hasRoom(store)) continue;
            ++counts_[store];
            return static_cast<std::int32_t>(store);
        }
        return -1;
    }

    const std::vector<StoreMember>& stores_;
    std::vector<std::size_t> counts_;
    bool gradually_;
    std::size_t cap_ = 0;
};

// The owners of the view before, as places in the new one.
std::vector<std::int32_t> ownersBefore(const StoreView& current, const std::vector<std::int32_t>& places) {
    std::vector<std::int32_t> before(kPartitionCount, -1);
    for (std::size_t partition = 0; partition < std::min(kPartitionCount, current.partitions.size());
         ++partition) {
        const std::int32_t owner = current.partitions[partition].owner;
        if (owner >= 0) before[partition] = places[static_cast<std::size_t>(owner)];
    }
    return before;
}

bool hasUnevenShares(const StoreView& view) {
    std::vector<std::int32_t> before;
    for (const PartitionOwner& partition : view.partitions) before.push_back(partition.owner);
    before.resize(kPartitionCount, -1);
    return OwnerAssignment(view.stores, false).run(before) != before;
}

// `before`: the owner so far as a place in the new view; `doubtful`: an earlier one may still run.
PartitionOwner ownerAfter(std::int32_t before, std::int32_t owner, const std::vector<OldProcess>& old,
                          bool doubtful) {
    PartitionOwner next;
    next.owner = owner;
    next.previous = before;
    bool owner_stopped = true;
    if (before >= 0) {
        const OldProcess process = old[static_cast<std::size_t>(before)];
        const bool stays = owner == before && process == OldProcess::same;
        owner_stopped = stays || process == OldProcess::stopped;
    }
    next.previous_stopped = owner_stopped && !doubtful;
    return next;
}

}  // namespace

std::vector<std::size_t> rendezvousOrder(PartitionId partition, const std::vector<StoreMember>& stores) {
    std::vector<std::size_t> order(stores.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        const std::string& left_name = stores[left].member.name;
        const std::string& right_name = stores[right].member.name;
        const std::uint64_t left_weight = weight(partition, left_name);
        const std::uint64_t right_weight = weight(partition, right_name);
        return left_weight != right_weight ? left_weight > right_weight : left_name < right_name;
    });
    return order;
}

std::optional<StoreView> nextView(const StoreView& current, const std::vector<StoreObservation>& observed,
                                  const ViewRules& rules) {
    StoreChange change = changeOfStores(current, observed, rules);
    const bool evens_out = !change.changed && rules.may_even_out && rules.peered && hasUnevenShares(current);
    if (!change.changed && !evens_out) return std::nullopt;
    StoreView next = current;
    next.epoch = current.epoch + 1;
    next.stores = std::move(change.stores);
    next.retired = std::move(change.retired);
    const bool gradually = rules.moves_gradually && (change.joined || evens_out);
    const std::vector<std::int32_t> before = ownersBefore(current, change.place_before);
    OwnerAssignment assignment(next.stores, gradually);
    const std::vector<std::int32_t> owners = assignment.run(before);
    next.partitions.assign(kPartitionCount, PartitionOwner{});
    for (std::size_t partition = 0; partition < kPartitionCount; ++partition) {
        const bool known = partition < current.partitions.size();
        const bool doubtful = known && !current.partitions[partition].previous_stopped && !rules.settled;
        next.partitions[partition] = ownerAfter(before[partition], owners[partition], change.old, doubtful);
    }
    return next;
}

bool waitsForPeering(const StoreView& view) {
    const bool has_goer = std::any_of(view.stores.begin(), view.stores.end(), [](const StoreMember& store) {
        return store.retiring || !store.alive;
    });
    return has_goer || hasUnevenShares(view);
}

RetireVerdict orderRetirement(StoreView& view, const std::string& name) {
    if (retirePhase(view, name) != RetirePhase::none) return RetireVerdict::ordered;
    StoreMember* ordered = nullptr;
    std::size_t left = 0;
    for (StoreMember& store : view.stores) {
        if (store.member.name == name)
            ordered = &store;
        else if (store.alive && !store.retirement_requested)
            ++left;
    }
    if (ordered == nullptr) return RetireVerdict::unknown_store;
    if (left < 2 * std::size_t{view.tolerated} + 1) return RetireVerdict::too_few_left;
    ordered->retirement_requested = true;
    return RetireVerdict::ordered;
}

RetirePhase retirePhase(const StoreView& view, const std::string& name) {
    for (const StoreMember& store : view.stores) {
        if (store.member.name != name) continue;
        return store.retirement_requested ? RetirePhase::in_progress : RetirePhase::none;
    }
    const bool retired = std::any_of(view.retired.begin(), view.retired.end(),
                                     [&](const RetiredStore& store) { return store.name == name; });
    return retired ? RetirePhase::completed : RetirePhase::none;
}

}  // namespace amberswitch::cluster
