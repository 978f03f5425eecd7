#include "cluster/control/store_view.hpp"

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <string>

namespace amberswitch::cluster {
namespace {

// State of the process that a store had in the current view.
enum class PreviousProcess : std::uint8_t { same, stopped, maybe_running };

constexpr std::size_t kMaxRetiredStores = 64;
constexpr std::size_t kJoinSteps = 3;  // number of views in which a new store gets its share

struct StoreChange {
    std::vector<StoreMember> stores;
    std::vector<PreviousProcess> previous_processes;  // by index in `stores`
    std::vector<std::int32_t> new_index;  // by index in the current view: index in `stores`, -1 if removed
    std::vector<RetiredStore> retired;
    bool changed = false;
    bool joined = false;
};

std::uint64_t weight(PartitionId partition, const std::string& store) {
    return XXH64(store.data(), store.size(), partition);
}

bool isEligibleOwner(const StoreMember& store) {
    return store.keepsCopies();
}

std::size_t countEligibleOwners(const std::vector<StoreMember>& stores) {
    return static_cast<std::size_t>(std::count_if(stores.begin(), stores.end(), isEligibleOwner));
}

void observe(StoreChange& change, std::size_t index, const StoreObservation& seen) {
    StoreMember& store = change.stores[index];
    PreviousProcess& previous_process = change.previous_processes[index];
    const bool usable = !seen.timed_out && !seen.member.disk_failed;
    if (seen.member.incarnation != store.member.incarnation) {
        // A new process that is leaving or timed out never owned a partition. The old process has stopped in
        // any case.
        store.member = seen.member;
        store.alive = !seen.member.leaving && usable;
        previous_process = PreviousProcess::stopped;
        change.changed = true;
        return;
    }
    const bool leaving = seen.member.leaving || store.member.leaving;
    const bool alive = !leaving && usable;
    if (leaving)
        previous_process = PreviousProcess::stopped;
    else if (!alive)
        previous_process = PreviousProcess::maybe_running;
    const bool same_disk = seen.member.disk_failed == store.member.disk_failed;
    if (alive == store.alive && leaving == store.member.leaving && same_disk) return;
    store.alive = alive;
    store.member.leaving = leaving;
    store.member.disk_failed = seen.member.disk_failed;
    change.changed = true;
}

// A retired machine is about to be decommissioned, so neither its last process nor a new one on the same disk
// may join.
bool hasRetired(const StoreView& view, const Member& member) {
    return std::any_of(view.retired.begin(), view.retired.end(), [&](const RetiredStore& retired) {
        return retired.name == member.name &&
               (retired.incarnation == member.incarnation || !member.disk_empty);
    });
}

bool mayJoin(const StoreView& current, const StoreObservation& seen) {
    const Member& member = seen.member;
    return !member.leaving && !member.disk_failed && !seen.timed_out && !hasRetired(current, member);
}

void join(StoreChange& change, const StoreView& current, const Member& member) {
    StoreMember store;
    store.member = member;
    store.joined_epoch = current.stores.empty() ? 0 : current.epoch + 1;
    store.joined_incarnation = member.incarnation;
    change.stores.push_back(std::move(store));
    change.previous_processes.push_back(PreviousProcess::same);
    change.changed = true;
    change.joined = true;
}

bool containsName(const std::vector<std::string>& names, const StoreMember& store) {
    return std::find(names.begin(), names.end(), store.member.name) != names.end();
}

void recordRetired(std::vector<RetiredStore>& retired, const StoreMember& store) {
    std::erase_if(retired, [&](const RetiredStore& known) { return known.name == store.member.name; });
    retired.push_back({store.member.name, store.member.incarnation});
    if (retired.size() > kMaxRetiredStores) retired.erase(retired.begin());
}

void recordAbsences(StoreChange& change, const StoreView& current) {
    for (std::size_t index = 0; index < current.stores.size(); ++index) {
        StoreMember& store = change.stores[index];
        if (store.alive) store.absent_since_epoch = 0;
        if (!store.alive && current.stores[index].alive) store.absent_since_epoch = current.epoch + 1;
    }
}

// Removes the stores that hold no needed copies: retiring ones, and those that are unavailable for long.
void removeStores(StoreChange& change, const StoreView& current, const ViewRules& rules) {
    const bool may_remove_unavailable =
        countEligibleOwners(current.stores) >= 2 * std::size_t{current.tolerated} + 1;
    for (std::size_t index = 0; index < current.stores.size(); ++index) {
        const StoreMember& before = current.stores[index];
        // Peering excluded the store only if it was already unavailable in the current view.
        const bool is_unavailable = !before.alive && !change.stores[index].alive;
        const bool remove_unavailable =
            may_remove_unavailable && is_unavailable && containsName(rules.long_unavailable, before);
        if (!before.retiring && !remove_unavailable) continue;
        if (before.retirement_requested) recordRetired(change.retired, before);
        change.new_index[index] = -1;
        change.changed = true;
    }
    std::size_t kept = 0;
    for (std::size_t index = 0; index < change.stores.size(); ++index) {
        if (index < change.new_index.size()) {
            if (change.new_index[index] < 0) continue;
            change.new_index[index] = static_cast<std::int32_t>(kept);
        }
        if (kept != index) {
            change.stores[kept] = std::move(change.stores[index]);
            change.previous_processes[kept] = change.previous_processes[index];
        }
        ++kept;
    }
    change.stores.resize(kept);
    change.previous_processes.resize(kept);
}

StoreChange computeStoreChange(const StoreView& current, const std::vector<StoreObservation>& observed,
                               const ViewRules& rules) {
    StoreChange change;
    change.stores = current.stores;
    change.previous_processes.assign(current.stores.size(), PreviousProcess::same);
    change.new_index.resize(current.stores.size());
    std::iota(change.new_index.begin(), change.new_index.end(), 0);
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
    recordAbsences(change, current);
    if (rules.peered) removeStores(change, current, rules);
    return change;
}

// Assigns the partitions to stores; the owner is -1 if no store is eligible.
class OwnerAssignment {
public:
    OwnerAssignment(const std::vector<StoreMember>& stores, bool gradually)
        : stores_(stores), counts_(stores.size(), 0), gradually_(gradually) {
        const std::size_t eligible = countEligibleOwners(stores);
        if (eligible > 0) cap_ = (kPartitionCount + eligible - 1) / eligible;
    }

    // `before`: owner by partition, -1 if it is no longer in the view.
    std::vector<std::int32_t> run(const std::vector<std::int32_t>& before) {
        std::vector<std::int32_t> owners(kPartitionCount, -1);
        keepOwners(owners, before, true);
        keepOwners(owners, before, false);
        if (gradually_) keepAboveCap(owners, before);
        for (PartitionId partition = 0; partition < kPartitionCount; ++partition) {
            if (owners[partition] < 0) owners[partition] = firstWithRoom(partition);
        }
        return owners;
    }

private:
    // Keeps owners up to their even share. Called first for owners that rendezvous order prefers, then for
    // the others.
    void keepOwners(std::vector<std::int32_t>& owners, const std::vector<std::int32_t>& before,
                    bool preferred) {
        for (PartitionId partition = 0; partition < before.size(); ++partition) {
            const std::int32_t owner = before[partition];
            if (owner < 0 || owners[partition] >= 0 || !hasRoom(static_cast<std::size_t>(owner))) continue;
            if (preferred && firstEligible(partition) != owner) continue;
            take(owners, partition, owner);
        }
    }
    // Owners above their even share keep the partitions that exceed the number of moves allowed in this view.
    void keepAboveCap(std::vector<std::int32_t>& owners, const std::vector<std::int32_t>& before) {
        const std::size_t most_moves = (cap_ + kJoinSteps - 1) / kJoinSteps;
        std::size_t moves = 0;
        for (PartitionId partition = 0; partition < before.size(); ++partition) {
            const std::int32_t owner = before[partition];
            if (owner < 0 || owners[partition] >= 0) continue;
            if (!isEligibleOwner(stores_[static_cast<std::size_t>(owner)]) || moves++ < most_moves) continue;
            take(owners, partition, owner);
        }
    }
    void take(std::vector<std::int32_t>& owners, PartitionId partition, std::int32_t owner) {
        owners[partition] = owner;
        ++counts_[static_cast<std::size_t>(owner)];
    }
    bool hasRoom(std::size_t store) const { return isEligibleOwner(stores_[store]) && counts_[store] < cap_; }
    std::int32_t firstEligible(PartitionId partition) const {
        for (const std::size_t store : rendezvousOrder(partition, stores_)) {
            if (isEligibleOwner(stores_[store])) return static_cast<std::int32_t>(store);
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

// The current owners, as indices in the new view.
std::vector<std::int32_t> mapPreviousOwners(const StoreView& current,
                                            const std::vector<std::int32_t>& places) {
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

// `before`: the current owner as an index in the new view; `may_have_older_owner`: an owner before it may
// still run.
PartitionOwner nextOwner(std::int32_t before, std::int32_t owner,
                         const std::vector<PreviousProcess>& previous_processes, bool may_have_older_owner) {
    PartitionOwner next;
    next.owner = owner;
    next.previous = before;
    bool owner_stopped = true;
    if (before >= 0) {
        const PreviousProcess process = previous_processes[static_cast<std::size_t>(before)];
        const bool stays = owner == before && process == PreviousProcess::same;
        owner_stopped = stays || process == PreviousProcess::stopped;
    }
    next.previous_stopped = owner_stopped && !may_have_older_owner;
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
    StoreChange change = computeStoreChange(current, observed, rules);
    const bool rebalances =
        !change.changed && rules.may_rebalance && rules.peered && hasUnevenShares(current);
    if (!change.changed && !rebalances) return std::nullopt;
    StoreView next = current;
    next.epoch = current.epoch + 1;
    next.stores = std::move(change.stores);
    next.retired = std::move(change.retired);
    const bool gradually = rules.moves_gradually && (change.joined || rebalances);
    const std::vector<std::int32_t> before = mapPreviousOwners(current, change.new_index);
    OwnerAssignment assignment(next.stores, gradually);
    const std::vector<std::int32_t> owners = assignment.run(before);
    next.partitions.assign(kPartitionCount, PartitionOwner{});
    for (std::size_t partition = 0; partition < kPartitionCount; ++partition) {
        const bool known = partition < current.partitions.size();
        const bool may_have_older_owner =
            known && !current.partitions[partition].previous_stopped && !rules.old_owners_stopped;
        next.partitions[partition] =
            nextOwner(before[partition], owners[partition], change.previous_processes, may_have_older_owner);
    }
    return next;
}

bool needsPeeringProgress(const StoreView& view) {
    const bool has_departing_store =
        std::any_of(view.stores.begin(), view.stores.end(),
                    [](const StoreMember& store) { return store.retiring || !store.alive; });
    return has_departing_store || hasUnevenShares(view);
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
