// The core machines of an execution: the register's classes as the program runs them, tied together as in
// ControlNode. All that must follow a change of their interfaces is here.
#pragma once

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/codec.hpp"
#include "cluster/control/chosen_values.hpp"
#include "cluster/control/membership.hpp"
#include "cluster/control/register_proposer.hpp"
#include "cluster/control/register_voter.hpp"
#include "cluster/control/voter_recovery.hpp"
#include "cluster/control/voter_set_manager.hpp"
#include "tests/explorer/explored_process.hpp"

namespace amberswitch::cluster::explorer {

// Which parts a machine runs besides voter and proposer.
struct CoreParts {
    bool recovery = true;
    bool voter_keeper = false;
    bool chosen = false;
};

inline NodeAddress coreAddress(int machine) {
    return {"10.0.0." + std::to_string(machine + 1), 7780};
}

class CoreMachine {
public:
    CoreMachine(ExploredWorld& world, Listeners& listeners, int index, std::vector<NodeAddress> seeds,
                CoreParts parts)
        : world_(world), listeners_(listeners), index_(index), seeds_(std::move(seeds)), parts_(parts) {
        listeners_.machines[self()] = index;
    }
    ~CoreMachine() { kill(); }
    CoreMachine(const CoreMachine&) = delete;
    CoreMachine& operator=(const CoreMachine&) = delete;

    // `bootstrap`: with which voters the register is made here; empty: not here.
    void start(const std::vector<NodeAddress>& bootstrap = {}) {
        alive_ = std::make_shared<bool>(true);
        ++processes_;
        noteStart();
        const std::string name = ExploredWorld::nameOf(index_);
        const Incarnation incarnation = static_cast<Incarnation>(index_ * 1000) + processes_;
        scheduler_ = std::make_unique<ProcessScheduler>(world_, index_, alive_);
        disk_ = std::make_unique<ExploredDisk>(world_, index_, alive_, content);
        transport_ =
            std::make_unique<ExploredTransport>(world_, listeners_, index_, incarnation, self(), alive_);
        voter_ = std::make_unique<RegisterVoter>(*disk_, self(), bootstrap, !bootstrap.empty());
        proposer_ = std::make_unique<RegisterProposer>(*scheduler_, *transport_, *voter_,
                                                       name + "#" + std::to_string(processes_), incarnation);
        const auto peers_now = [this] { return peers(); };
        recovery_ =
            std::make_unique<VoterRecovery>(*scheduler_, *transport_, *voter_, *proposer_, name, peers_now);
        // It tells what each round of the proposer has chosen, so it is there only where it is explored.
        if (parts_.chosen) {
            chosen_ =
                std::make_unique<ChosenValues>(*scheduler_, *transport_, *voter_, *proposer_, peers_now);
        }
        membership_ = std::make_unique<Membership>(*scheduler_);
        keeper_ = std::make_unique<VoterSetManager>(
            *scheduler_, *transport_, *voter_, *proposer_, *membership_, name, 1,
            VoterSetHooks{.is_acting_leader = [this] { return acts; }, .peers = peers_now});
        transport_->serve(
            [this](const Envelope& request, const Responder& respond) { serve(request, respond); });
        if (parts_.recovery) recovery_->start();
        if (parts_.chosen) chosen_->start();
        if (parts_.voter_keeper) keeper_->start();
    }
    void kill() {
        if (alive_) *alive_ = false;
        keeper_.reset();
        membership_.reset();
        chosen_.reset();
        recovery_.reset();
        proposer_.reset();
        voter_.reset();
        transport_.reset();
        disk_.reset();
        scheduler_.reset();
    }
    bool runs() const { return voter_ != nullptr; }
    bool hasUnsynced() const { return disk_ && disk_->hasUnsynced(); }
    void keepUnsynced() { disk_->keepUnsynced(); }
    // Has what a voter must have, or will have it once it runs.
    bool hasData() const { return runs() ? voter_->hasData() : !content.empty(); }

    NodeAddress self() const { return coreAddress(index_); }
    int index() const { return index_; }
    RegisterVoter& voter() { return *voter_; }
    RegisterProposer& proposer() { return *proposer_; }
    ChosenValues& chosen() { return *chosen_; }

    // Another machine's lease is renewed here; takes no time and can't be lost.
    void hear(const CoreMachine& other) {
        RenewLeaseRequest request;
        request.member.name = ExploredWorld::nameOf(other.index_);
        request.member.kind = NodeKind::core;
        request.member.address = other.self();
        request.member.incarnation = static_cast<Incarnation>(other.processes_);
        request.member.disk_empty = !other.voter_->hasData();
        membership_->renew(request);
        if (keeper_) keeper_->onLeaseRenewed(request.member.name);
    }

    DiskContent content;
    bool acts = false;  // believes that it leads

private:
    std::vector<NodeAddress> peers() const {
        std::set<NodeAddress> all(seeds_.begin(), seeds_.end());
        all.insert(voter_->voters().begin(), voter_->voters().end());
        for (const MemberEntry& entry : membership_->live(NodeKind::core)) all.insert(entry.member.address);
        all.erase(self());
        return {all.begin(), all.end()};
    }
    void noteStart() {
        std::uint64_t hash = mix(3, processes_);
        for (const auto& [key, value] : content) hash = mix(mix(hash, key), value);
        world_.histories[static_cast<std::size_t>(index_)] = hash;
    }
    void serve(const Envelope& request, const Responder& respond) {
        if (request.kind == static_cast<std::uint16_t>(kReadVoters))
            return respond(reply(ReadVotersReply{voter_->voterSet()}));
        switch (static_cast<MessageKind>(request.kind)) {
            case MessageKind::register_prepare:
                return voter_->prepare(*decode<PrepareRequest>(request.body),
                                       [respond](const PrepareReply& answer) { respond(reply(answer)); });
            case MessageKind::register_accept:
                return serveAccept(*decode<AcceptRequest>(request.body), respond);
            case MessageKind::register_chosen:
                if (!chosen_) return;
                chosen_->learn(*decode<ChosenNotice>(request.body));
                return respond(reply(Acknowledgement{}));
            case MessageKind::register_read_chosen:
                if (!chosen_) return;
                return respond(reply(chosen_->answer(*decode<ReadChosenRequest>(request.body))));
            default:
                return;
        }
    }

    void serveAccept(const AcceptRequest& request, const Responder& respond) {
        voter_->accept(request, [this, respond, key = request.key](const AcceptReply& answer) {
            respond(reply(answer));
            if (answer.accepted && chosen_) chosen_->onAccepted(key);
        });
    }

    ExploredWorld& world_;
    Listeners& listeners_;
    int index_;
    std::vector<NodeAddress> seeds_;
    CoreParts parts_;
    std::uint64_t processes_ = 0;
    Alive alive_;
    std::unique_ptr<ProcessScheduler> scheduler_;
    std::unique_ptr<ExploredDisk> disk_;
    std::unique_ptr<ExploredTransport> transport_;
    std::unique_ptr<RegisterVoter> voter_;
    std::unique_ptr<RegisterProposer> proposer_;
    std::unique_ptr<VoterRecovery> recovery_;
    std::unique_ptr<ChosenValues> chosen_;
    std::unique_ptr<Membership> membership_;
    std::unique_ptr<VoterSetManager> keeper_;
};

// All core machines of an execution.
class CoreMachines : public Machines {
public:
    CoreMachines(ExploredWorld& world, int count, int voters, CoreParts parts) {
        for (int index = 0; index < voters; ++index) first_voters.push_back(coreAddress(index));
        for (int index = 0; index < count; ++index)
            machines_.push_back(std::make_unique<CoreMachine>(world, listeners_, index, first_voters, parts));
        world.setMachines(*this);
    }
    // The machines call each other until they are gone.
    ~CoreMachines() override {
        for (auto& machine : machines_) machine->kill();
    }

    CoreMachine& operator[](int index) { return *machines_[static_cast<std::size_t>(index)]; }
    int count() const { return static_cast<int>(machines_.size()); }

    void crash(int machine, bool lose_disk, bool keep_unsynced) override {
        CoreMachine& crashed = (*this)[machine];
        if (keep_unsynced) crashed.keepUnsynced();
        crashed.kill();
        if (lose_disk) crashed.content.clear();
    }
    void start(int machine) override { (*this)[machine].start(); }
    bool runs(int machine) const override { return machines_[static_cast<std::size_t>(machine)]->runs(); }
    bool hasUnsynced(int machine) const override {
        return machines_[static_cast<std::size_t>(machine)]->hasUnsynced();
    }
    // One at a time: all other voters have their data.
    bool mayLoseDisk(int machine) const override {
        const VoterSet newest = newestVoters();
        return std::all_of(machines_.begin(), machines_.end(), [&](const auto& other) {
            const bool votes = std::find(newest.addresses.begin(), newest.addresses.end(), other->self()) !=
                               newest.addresses.end();
            return other->index() == machine || !votes || other->hasData();
        });
    }
    VoterSet newestVoters() const {
        VoterSet newest{0, first_voters};
        for (const auto& machine : machines_) {
            if (machine->runs() && machine->voter().voterSet().version > newest.version)
                newest = machine->voter().voterSet();
        }
        return newest;
    }
    void startAllThatAreDown() {
        for (auto& machine : machines_) {
            if (!machine->runs()) machine->start();
        }
    }

    std::vector<NodeAddress> first_voters;

private:
    Listeners listeners_;
    std::vector<std::unique_ptr<CoreMachine>> machines_;
};

}  // namespace amberswitch::cluster::explorer
