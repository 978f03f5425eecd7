// A leader for store_world.hpp that follows the rules of the program: it observes the stores' leases, asks
// the owners whether they have peered, and makes each view with nextView(). A newly elected leader knows only
// the view.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/control/store_view.hpp"
#include "tests/cluster/store_world.hpp"

namespace amberswitch::cluster::simulation {

class StoreLeader {
public:
    explicit StoreLeader(StoreWorld& stores)
        : stores_(stores), self_(std::make_shared<StoreLeader*>(this)), view_(*stores.view) {
        elect();
        scheduleTick();
    }
    ~StoreLeader() { *self_ = nullptr; }
    StoreLeader(const StoreLeader&) = delete;
    StoreLeader& operator=(const StoreLeader&) = delete;

    // Elects a new leader, which knows only the view.
    void elect() {
        deposed_ = false;
        listening_since_ = last_change_ = stores_.world.now();
        leases_.clear();
        unavailable_since_.clear();
        resetProgress();
    }
    // Removes the leader; there is none until elect().
    void depose() { deposed_ = true; }
    RetireVerdict orderRetirement(const std::string& name) { return cluster::orderRetirement(view_, name); }
    RetirePhase retirePhase(const std::string& name) const { return cluster::retirePhase(view_, name); }
    const StoreView& view() const { return view_; }
    // Runs for each view as soon as it is published.
    std::function<void(const StoreView&)> on_view = [](const StoreView&) {};

private:
    struct Lease {
        Member member;
        SteadyTime at;
    };
    static constexpr Millis kTick{100};
    static constexpr Millis kLeaseTimeout{1000};
    static constexpr Millis kListenTime{1200};
    static constexpr Millis kRemoveUnavailableAfter{4000};
    static constexpr Millis kPollInterval{250};
    static constexpr Millis kRebalanceInterval{1000};

    void scheduleTick() {
        stores_.world.at(stores_.world.now() + kTick, [self = self_] {
            if (*self == nullptr) return;
            (*self)->tick();
            (*self)->scheduleTick();
        });
    }
    void tick() {
        sendViewToProcesses();
        if (deposed_) return;
        readLeases();
        recordAbsences();
        if (needsPeeringProgress(view_)) askOwners();
        const auto next = nextView(view_, observe(), rules());
        if (next) publish(*next);
    }
    bool reaches(const StoreMachine& machine) const {
        return machine.process != nullptr && !stores_.hidden.contains(machine.name);
    }
    void readLeases() {
        for (const auto& machine : stores_.machines) {
            if (!reaches(*machine)) continue;
            Lease& lease = leases_[machine->name];
            lease.at = stores_.world.now();
            lease.member.name = machine->name;
            lease.member.kind = NodeKind::store;
            lease.member.zone = machine->zone;
            lease.member.address = machine->address;
            lease.member.incarnation = machine->incarnation;
            lease.member.leaving = machine->leaving;
            lease.member.disk_empty = machine->disk_empty;
        }
    }
    bool hasListenedLongEnough() const { return stores_.world.now() - listening_since_ >= kListenTime; }
    std::vector<StoreObservation> observe() const {
        std::vector<StoreObservation> observed;
        for (const auto& [name, lease] : leases_) {
            const bool silent = stores_.world.now() - lease.at > kLeaseTimeout;
            if (!silent || hasListenedLongEnough()) observed.push_back({lease.member, silent});
        }
        if (!hasListenedLongEnough()) return observed;
        for (const StoreMember& store : view_.stores) {
            if (!leases_.contains(store.member.name)) observed.push_back({store.member, true});
        }
        return observed;
    }
    void recordAbsences() {
        std::map<std::string, SteadyTime> away;
        for (const StoreMember& store : view_.stores) {
            if (store.alive) continue;
            const auto known = unavailable_since_.find(store.member.name);
            away[store.member.name] = known == unavailable_since_.end() ? stores_.world.now() : known->second;
        }
        unavailable_since_ = std::move(away);
    }
    ViewRules rules() const {
        ViewRules rules;
        rules.old_owners_stopped = stores_.world.now() - last_change_ >= Millis(3000);
        rules.peered = isPeered();
        for (const auto& [name, since] : unavailable_since_) {
            if (stores_.world.now() - since >= kRemoveUnavailableAfter)
                rules.long_unavailable.push_back(name);
        }
        rules.may_rebalance = stores_.world.now() - last_change_ >= kRebalanceInterval;
        rules.moves_gradually = true;
        return rules;
    }
    void publish(StoreView next) {
        view_ = std::move(next);
        last_change_ = stores_.world.now();
        resetProgress();
        stores_.publish(view_);
        informed_.clear();
        on_view(view_);
    }
    // Sends the current view also to processes that have just started or could not be reached before.
    void sendViewToProcesses() {
        for (const auto& machine : stores_.machines) {
            if (reaches(*machine) && informed_.insert(machine->incarnation).second)
                stores_.deliverView(*machine);
        }
    }
    void resetProgress() {
        peered_owners_.clear();
        next_ask_ = stores_.world.now();
        transport_ =
            std::make_unique<MemoryTransport>(stores_.world, stores_.network, NodeAddress{"10.3.0.1", 7000});
    }
    void askOwners() {
        if (stores_.world.now() < next_ask_) return;
        next_ask_ = stores_.world.now() + kPollInterval;
        std::set<std::int32_t> owners;
        for (const PartitionOwner& partition : view_.partitions) owners.insert(partition.owner);
        for (const std::int32_t owner : owners) {
            if (owner >= 0) pollOwner(view_.stores[static_cast<std::size_t>(owner)].member);
        }
    }
    void pollOwner(const Member& owner) {
        if (peered_owners_.contains(owner.name)) return;
        transport_->call(owner.address,
                         envelope(MessageKind::peering_progress, PeeringProgressRequest{view_.epoch}),
                         Millis(400), [this, name = owner.name](const CallResult& result) {
                             if (result.verdict != CallStatus::answered) return;
                             const auto reply = decode<PeeringProgressReply>(result.reply.body);
                             if (reply && reply->done) peered_owners_.insert(name);
                         });
    }
    bool isPeered() const {
        return std::all_of(view_.partitions.begin(), view_.partitions.end(), [this](const auto& partition) {
            return partition.owner >= 0 &&
                   peered_owners_.contains(
                       view_.stores[static_cast<std::size_t>(partition.owner)].member.name);
        });
    }

    StoreWorld& stores_;
    std::shared_ptr<StoreLeader*> self_;
    StoreView view_;
    bool deposed_ = false;
    SteadyTime listening_since_{};
    SteadyTime last_change_{};
    SteadyTime next_ask_{};
    std::map<std::string, Lease> leases_;
    std::map<std::string, SteadyTime> unavailable_since_;
    std::set<std::string> peered_owners_;
    std::set<Incarnation> informed_;
    std::unique_ptr<MemoryTransport> transport_;
};

}  // namespace amberswitch::cluster::simulation
