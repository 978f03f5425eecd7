#include "cluster/control/store_view.hpp"

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <string>

namespace amberswitch::cluster {
namespace {

// How the process that a store had in the view before stands now.
enum class OldProcess : std::uint8_t { same, stopped, maybe_running };

struct StoreChange {
    std::vector<StoreMember> stores;
    std::vector<OldProcess> old;  // by index; the new stores of the view have none
    bool changed = false;
};

std::uint64_t weight(PartitionId partition, const std::string& store) {
    return XXH64(store.data(), store.size(), partition);
}

void observe(StoreChange& change, std::size_t index, const StoreObservation& seen) {
    StoreMember& store = change.stores[index];
    OldProcess& old = change.old[index];
    if (seen.member.incarnation != store.member.incarnation) {
        // A leaving or silent new process never served; the old one is gone in any case.
        store = {seen.member, !seen.member.leaving && !seen.silent};
        old = OldProcess::stopped;
        change.changed = true;
        return;
    }
    const bool leaving = seen.member.leaving || store.member.leaving;
    const bool alive = !leaving && !seen.silent;
    if (leaving)
        old = OldProcess::stopped;
    else if (!alive)
        old = OldProcess::maybe_running;
    if (alive == store.alive && leaving == store.member.leaving) return;
    store.alive = alive;
    store.member.leaving = leaving;
    change.changed = true;
}

StoreChange changeOfStores(const StoreView& current, const std::vector<StoreObservation>& observed) {
    StoreChange change{current.stores, std::vector<OldProcess>(current.stores.size(), OldProcess::same),
                       false};
    for (const StoreObservation& seen : observed) {
        const auto known =
            std::find_if(change.stores.begin(), change.stores.end(),
                         [&](const StoreMember& store) { return store.member.name == seen.member.name; });
        if (known != change.stores.end()) {
            observe(change, static_cast<std::size_t>(known - change.stores.begin()), seen);
        } else if (!seen.member.leaving && !seen.silent) {
            change.stores.push_back({seen.member, true});
            change.old.push_back(OldProcess::same);
            change.changed = true;
        }
    }
    return change;
}

// Shares out the partitions: -1 where no store is alive.
class OwnerAssignment {
public:
    explicit OwnerAssignment(const std::vector<StoreMember>& stores)
        : stores_(stores), counts_(stores.size(), 0) {
        const auto alive = static_cast<std::size_t>(std::count_if(
            stores.begin(), stores.end(), [](const StoreMember& store) { return store.alive; }));
        if (alive > 0) cap_ = (kPartitionCount + alive - 1) / alive;
    }

    std::vector<std::int32_t> run(const std::vector<PartitionOwner>& before) {
        std::vector<std::int32_t> owners(kPartitionCount, -1);
        keepOwners(owners, before, true);
        keepOwners(owners, before, false);
        for (PartitionId partition = 0; partition < kPartitionCount; ++partition) {
            if (owners[partition] < 0) owners[partition] = firstWithRoom(partition);
        }
        return owners;
    }

private:
    // First those that their rendezvous order prefers, then the others.
    void keepOwners(std::vector<std::int32_t>& owners, const std::vector<PartitionOwner>& before,
                    bool preferred) {
        for (PartitionId partition = 0; partition < before.size() && partition < kPartitionCount;
             ++partition) {
            const std::int32_t owner = before[partition].owner;
            if (owner < 0 || owners[partition] >= 0 || !hasRoom(static_cast<std::size_t>(owner))) continue;
            if (preferred && firstAlive(partition) != owner) continue;
            take(owners, partition, owner);
        }
    }
    void take(std::vector<std::int32_t>& owners, PartitionId partition, std::int32_t owner) {
        owners[partition] = owner;
        ++counts_[static_cast<std::size_t>(owner)];
    }
    bool hasRoom(std::size_t store) const { return stores_[store].alive && counts_[store] < cap_; }
    std::int32_t firstAlive(PartitionId partition) const {
        for (const std::size_t store : rendezvousOrder(partition, stores_)) {
            if (stores_[store].alive) return static_cast<std::int32_t>(store);
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
    std::size_t cap_ = 0;
};

PartitionOwner ownerAfter(const PartitionOwner& before, std::int32_t owner,
                          const std::vector<OldProcess>& old, ViewRules rules) {
    PartitionOwner next;
    next.owner = owner;
    next.previous = before.owner;
    const bool doubt_remains = !before.previous_stopped && !rules.settled;
    bool owner_stopped = true;
    if (before.owner >= 0) {
        const OldProcess process = old[static_cast<std::size_t>(before.owner)];
        const bool stays = owner == before.owner && process == OldProcess::same;
        owner_stopped = stays || process == OldProcess::stopped;
    }
    next.previous_stopped = owner_stopped && !doubt_remains;
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
                                  ViewRules rules) {
    StoreChange change = changeOfStores(current, observed);
    if (!change.changed) return std::nullopt;
    StoreView next = current;
    next.epoch = current.epoch + 1;
    next.stores = std::move(change.stores);
    const std::vector<std::int32_t> owners = OwnerAssignment(next.stores).run(current.partitions);
    next.partitions.assign(kPartitionCount, PartitionOwner{});
    for (std::size_t partition = 0; partition < kPartitionCount; ++partition) {
        const PartitionOwner before =
            partition < current.partitions.size() ? current.partitions[partition] : PartitionOwner{};
        next.partitions[partition] = ownerAfter(before, owners[partition], change.old, rules);
    }
    return next;
}

}  // namespace amberswitch::cluster
