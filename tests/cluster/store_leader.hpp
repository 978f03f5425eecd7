// The leader of store_world.hpp as the program has it: it hears the stores' leases, asks owners whether they
// have peered, and makes each view by nextView(). A new reign knows nothing but the view.
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
    explicit StoreLeader(StoreWorld& play)
        : play_(play), self_(std::make_shared<StoreLeader*>(this)), view_(*play.view) {
        elect();
        scheduleTick();
    }
    ~StoreLeader() { *self_ = nullptr; }
    StoreLeader(const StoreLeader&) = delete;
    StoreLeader& operator=(const StoreLeader&) = delete;

    // A leader whose reign begins now.
    void elect() {
        absent_ = false;
        listens_since_ = last_change_ = play_.world.now();
        heard_.clear();
        away_since_.clear();
        forgetProgress();
    }
    // Nobody leads until elect().
    void depose() { absent_ = true; }
    RetireVerdict orderRetirement(const std::string& name) { return cluster::orderRetirement(view_, name); }
    RetirePhase retirePhase(const std::string& name) const { return cluster::retirePhase(view_, name); }
    const StoreView& view() const { return view_; }
    // Runs for each view at the moment when it can first be read.
    std::function<void(const StoreView&)> on_view = [](const StoreView&) {};

private:
    struct Heard {
        Member member;
        SteadyTime at;
    };
    static constexpr Millis kTick{100};
    static constexpr Millis kSilence{1000};
    static constexpr Millis kListenFirst{1200};
    static constexpr Millis kDropAfter{4000};
    static constexpr Millis kAskInterval{250};
    static constexpr Millis kEvenOutInterval{1000};

    void scheduleTick() {
        play_.world.at(play_.world.now() + kTick, [self = self_] {
            if (*self == nullptr) return;
            (*self)->tick();
            (*self)->scheduleTick();
        });
    }
    void tick() {
        tellProcesses();
        if (absent_) return;
        hear();
        noteAway();
        if (needsPeeringProgress(view_)) ask();
        const auto next = nextView(view_, observe(), rules());
        if (next) publish(*next);
    }
    bool reaches(const StoreMachine& machine) const {
        return machine.process != nullptr && !play_.hidden.contains(machine.name);
    }
    void hear() {
        for (const auto& machine : play_.machines) {
            if (!reaches(*machine)) continue;
            Heard& heard = heard_[machine->name];
            heard.at = play_.world.now();
            heard.member.name = machine->name;
            heard.member.kind = NodeKind::store;
            heard.member.zone = machine->zone;
            heard.member.address = machine->address;
            heard.member.incarnation = machine->incarnation;
            heard.member.leaving = machine->leaving;
            heard.member.disk_empty = machine->disk_empty;
        }
    }
    bool hasListened() const { return play_.world.now() - listens_since_ >= kListenFirst; }
    std::vector<StoreObservation> observe() const {
        std::vector<StoreObservation> observed;
        for (const auto& [name, heard] : heard_) {
            const bool silent = play_.world.now() - heard.at > kSilence;
            if (!silent || hasListened()) observed.push_back({heard.member, silent});
        }
        if (!hasListened()) return observed;
        for (const StoreMember& store : view_.stores) {
            if (!heard_.contains(store.member.name)) observed.push_back({store.member, true});
        }
        return observed;
    }
    void noteAway() {
        std::map<std::string, SteadyTime> away;
        for (const StoreMember& store : view_.stores) {
            if (store.alive) continue;
            const auto known = away_since_.find(store.member.name);
            away[store.member.name] = known == away_since_.end() ? play_.world.now() : known->second;
        }
        away_since_ = std::move(away);
    }
    ViewRules rules() const {
        ViewRules rules;
        rules.old_owners_stopped = play_.world.now() - last_change_ >= Millis(3000);
        rules.peered = isPeered();
        for (const auto& [name, since] : away_since_) {
            if (play_.world.now() - since >= kDropAfter) rules.long_unavailable.push_back(name);
        }
        rules.may_rebalance = play_.world.now() - last_change_ >= kEvenOutInterval;
        rules.moves_gradually = true;
        return rules;
    }
    void publish(StoreView next) {
        view_ = std::move(next);
        last_change_ = play_.world.now();
        forgetProgress();
        play_.publish(view_);
        told_.clear();
        on_view(view_);
    }
    // A process that has just started, or could not be reached, gets the present view as well.
    void tellProcesses() {
        for (const auto& machine : play_.machines) {
            if (reaches(*machine) && told_.insert(machine->incarnation).second) play_.tellView(*machine);
        }
    }
    void forgetProgress() {
        done_.clear();
        next_ask_ = play_.world.now();
        transport_ =
            std::make_unique<MemoryTransport>(play_.world, play_.network, NodeAddress{"10.3.0.1", 7000});
    }
    void ask() {
        if (play_.world.now() < next_ask_) return;
        next_ask_ = play_.world.now() + kAskInterval;
        std::set<std::int32_t> owners;
        for (const PartitionOwner& partition : view_.partitions) owners.insert(partition.owner);
        for (const std::int32_t owner : owners) {
            if (owner >= 0) askOwner(view_.stores[static_cast<std::size_t>(owner)].member);
        }
    }
    void askOwner(const Member& owner) {
        if (done_.contains(owner.name)) return;
        transport_->call(owner.address,
                         envelope(MessageKind::peering_progress, PeeringProgressRequest{view_.epoch}),
                         Millis(400), [this, name = owner.name](const CallResult& result) {
                             if (result.verdict != Verdict::answered) return;
                             const auto reply = decode<PeeringProgressReply>(result.reply.body);
                             if (reply && reply->done) done_.insert(name);
                         });
    }
    bool isPeered() const {
        return std::all_of(view_.partitions.begin(), view_.partitions.end(), [this](const auto& partition) {
            return partition.owner >= 0 &&
                   done_.contains(view_.stores[static_cast<std::size_t>(partition.owner)].member.name);
        });
    }

    StoreWorld& play_;
    std::shared_ptr<StoreLeader*> self_;
    StoreView view_;
    bool absent_ = false;
    SteadyTime listens_since_{};
    SteadyTime last_change_{};
    SteadyTime next_ask_{};
    std::map<std::string, Heard> heard_;
    std::map<std::string, SteadyTime> away_since_;
    std::set<std::string> done_;
    std::set<Incarnation> told_;
    std::unique_ptr<MemoryTransport> transport_;
};

}  // namespace amberswitch::cluster::simulation
