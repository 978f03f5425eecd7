// The world of a history play: core machines, edges and stores as members of the core, and what is known of
// who is disturbed, so that the spans in which a member is in touch are recorded with its configurations.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/cluster/control_world.hpp"
#include "tests/history/history.hpp"

namespace amberswitch::cluster::history {

using simulation::ClientProcess;
using simulation::ControlWorld;
using simulation::CoreMachine;
using simulation::Network;

inline constexpr Time kContact = 4000;  // `contactMs` of the operators' pages
inline constexpr Time kSample = 50;     // between two looks at who is in touch

struct PlaySize {
    std::size_t core_machines = 3;
    std::size_t edges = 3;
    std::size_t stores = 3;
};

// One edge or store; its process comes and goes.
struct PlayMember {
    std::string name;
    NodeKind kind = NodeKind::edge;
    std::string ip;
    std::uint64_t process = 0;
    bool runs = false;
    Time disturbed = 0;        // when it last was
    Time in_touch_since = -1;  // -1: it is not
};

class PlayWorld {
public:
    PlayWorld(std::uint64_t seed, const PlaySize& size)
        : control(seed, size.core_machines), size_(size), begin_(control.world.now()) {
        for (std::size_t index = 1; index <= size.edges; ++index)
            addMember("edge-" + std::to_string(index), NodeKind::edge, "10.2.0." + std::to_string(index));
        for (std::size_t index = 1; index <= size.stores; ++index)
            addMember("storage-" + std::to_string(index), NodeKind::store, "10.1.0." + std::to_string(index));
    }

    void start() {
        control.network.cuts_in_flight = true;
        control.startAll();
        for (auto& member : members) startMember(*member);
        sample();
    }

    Time now() const { return std::chrono::duration_cast<Millis>(control.world.now() - begin_).count(); }
    double chance() { return control.world.chance(); }
    // Uniform in [low, high].
    Time between(Time low, Time high) {
        return low + static_cast<Time>(chance() * static_cast<double>(high - low + 1));
    }
    void after(Time delay, std::function<void()> work) {
        control.world.at(control.world.now() + Millis(delay), std::move(work));
    }
    void note(const std::string& fault) { history.faults.push_back({now(), fault}); }

    // --- Core machines ---
    std::vector<CoreMachine*> coreMachines() const {
        std::vector<CoreMachine*> present;
        for (const auto& machine : control.core) {
            if (!gone_.contains(machine.get())) present.push_back(machine.get());
        }
        return present;
    }
    CoreMachine& anyCore() {
        const std::vector<CoreMachine*> present = coreMachines();
        return *present[control.world.random()() % present.size()];
    }
    void disturbCore() { core_disturbed_ = now(); }
    void startCore(CoreMachine& machine) {
        if (machine.runs() || gone_.contains(&machine)) return;
        note("start " + machine.settings().name);
        machine.start();
        disturbCore();
    }
    void killCore(CoreMachine& machine) {
        note("kill " + machine.settings().name);
        machine.kill();
        control.network.freeze(machine.ip(), Millis(0));
        awake_at_.erase(&machine);
        disturbCore();
    }
    void freezeCore(CoreMachine& machine, Time span) {
        if (!machine.runs()) return;
        note("freeze " + machine.settings().name + " for " + std::to_string(span) + " ms");
        machine.freeze(Millis(span));
        awake_at_[&machine] = now() + span;
        disturbCore();
    }
    bool isFrozen(const CoreMachine& machine) const {
        const auto found = awake_at_.find(&machine);
        return found != awake_at_.end() && found->second > now();
    }
    Time awakeAt(const CoreMachine& machine) const {
        const auto found = awake_at_.find(&machine);
        return found == awake_at_.end() ? 0 : found->second;
    }
    Time allAwakeAt() const {
        Time latest = now();
        for (const auto& [machine, time] : awake_at_) latest = std::max(latest, time);
        return latest;
    }
    // It never comes back.
    void loseCore(CoreMachine& machine) {
        killCore(machine);
        note("lost for good: " + machine.settings().name);
        gone_.insert(&machine);
    }
    CoreMachine& addEmptyCore() {
        NodeSettings settings = control.core.front()->settings();
        const std::string number = std::to_string(control.core.size() + 1);
        settings.name = "core-new-" + number;
        settings.ip = "10.0.0." + number;
        settings.bootstrap = false;
        settings.seeds.clear();
        for (CoreMachine* machine : coreMachines()) {
            if (machine->runs() && settings.seeds.size() < 3) settings.seeds.push_back({machine->ip(), 8064});
        }
        control.core.push_back(
            std::make_unique<CoreMachine>(control.world, control.network, control.cloud, settings));
        startCore(*control.core.back());
        return *control.core.back();
    }
    // Whether all other machines have their data.
    bool othersHaveData(const CoreMachine& lost) const {
        const std::vector<CoreMachine*> present = coreMachines();
        return std::all_of(present.begin(), present.end(), [&](CoreMachine* machine) {
            if (machine == &lost) return true;
            return machine->runs() ? machine->votes() : machine->diskContent().contains("register/voters");
        });
    }

    // --- Members ---
    PlayMember& anyMember() { return *members[control.world.random()() % members.size()]; }
    void startMember(PlayMember& member) {
        if (member.runs) return;
        ++member.process;
        member.runs = true;
        member.disturbed = now();
        ClientProcess& process = control.addClient(member.name, member.kind, member.ip);
        process.on_configuration = [this, &member](const Configuration& configuration) {
            const std::string name =
                configuration.services.empty() ? "" : configuration.services.front().name;
            history.states.push_back({member.name, member.process, now(), name, configuration.generation});
        };
    }
    void killMember(PlayMember& member) {
        if (!member.runs) return;
        note("kill " + member.name);
        member.runs = false;
        leaveTouch(member);
        control.clients.erase(member.name);
        control.network.freeze(member.ip, Millis(0));
    }
    void freezeMember(PlayMember& member, Time span) {
        if (!member.runs) return;
        note("freeze " + member.name + " for " + std::to_string(span) + " ms");
        control.clients.at(member.name)->freeze(Millis(span));
        member.disturbed = now() + span;
    }

    // Ends the record.
    void finish() {
        for (auto& member : members) leaveTouch(*member);
        leaveCalm();
        history.end = now();
    }

    ControlWorld control;
    std::vector<std::unique_ptr<PlayMember>> members;
    History history;
    Time quiet_until = 0;  // operators begin nothing new before then

private:
    void addMember(const std::string& name, NodeKind kind, const std::string& ip) {
        members.push_back(std::make_unique<PlayMember>());
        members.back()->name = name;
        members.back()->kind = kind;
        members.back()->ip = ip;
    }

    bool connected(const std::string& left, const std::string& right) const {
        return left == right ||
               (control.network.isReachable(left, right) && control.network.isReachable(right, left));
    }
    bool works(const CoreMachine& machine) const {
        return !gone_.contains(&machine) && machine.runs() && !isFrozen(machine);
    }
    // The core machines that run and reach more than half of the core, themselves included.
    std::vector<const CoreMachine*> majority() const {
        std::vector<const CoreMachine*> reaching;
        for (const auto& machine : control.core) {
            if (!works(*machine)) continue;
            const auto reached = static_cast<std::size_t>(std::count_if(
                control.core.begin(), control.core.end(),
                [&](const auto& other) { return works(*other) && connected(machine->ip(), other->ip()); }));
            if (reached > size_.core_machines / 2) reaching.push_back(machine.get());
        }
        return reaching;
    }
    void sample() {
        const std::vector<const CoreMachine*> reaching = majority();
        const bool loses = control.network.loss > 0;
        if (loses || reaching.size() <= size_.core_machines / 2) disturbCore();
        const bool stable = now() - core_disturbed_ >= kContact;
        for (auto& member : members) {
            if (member->runs) sampleMember(*member, reaching, stable);
        }
        sampleCalm(stable);
        after(kSample, [this] { sample(); });
    }
    void sampleMember(PlayMember& member, const std::vector<const CoreMachine*>& reaching, bool stable) {
        const bool reaches_all =
            std::all_of(reaching.begin(), reaching.end(),
                        [&](const CoreMachine* machine) { return connected(member.ip, machine->ip()); });
        if (!reaches_all) member.disturbed = std::max(member.disturbed, now());
        const bool in_touch = stable && now() - member.disturbed >= kContact;
        if (!in_touch) return leaveTouch(member);
        if (member.in_touch_since < 0) member.in_touch_since = now();
        member_sampled_ = now();
    }
    void leaveTouch(PlayMember& member) {
        if (member.in_touch_since < 0) return;
        history.touches.push_back({member.name, member.process, member.in_touch_since, member_sampled_});
        member.in_touch_since = -1;
    }
    void sampleCalm(bool calm) {
        if (!calm) return leaveCalm();
        if (calm_since_ < 0) calm_since_ = now();
        calm_sampled_ = now();
    }
    void leaveCalm() {
        if (calm_since_ >= 0) history.calms.push_back({calm_since_, calm_sampled_});
        calm_since_ = -1;
    }

    PlaySize size_;
    SteadyTime begin_;
    std::set<const CoreMachine*> gone_;
    std::map<const CoreMachine*, Time> awake_at_;
    Time core_disturbed_ = 0;
    Time member_sampled_ = 0;
    Time calm_since_ = -1;
    Time calm_sampled_ = 0;
};

}  // namespace amberswitch::cluster::history
