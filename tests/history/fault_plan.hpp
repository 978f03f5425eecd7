// Faults drawn by the seed. Three plans: with `one_at_a_time` a core machine is lost only once the one before
// has been back for the time that the operators' pages give it, and anything may happen to that one; with
// `any_number` many faults overlap, but a disk is lost only while all others have their data; `struck_orders`
// is like the first one, but each fault strikes the machine that an order just reached, and no other order
// follows for a while that could cover up what this one left behind.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "tests/history/play_world.hpp"

namespace amberswitch::cluster::history {

inline constexpr Time kCatchUp = 4500;  // `catchUpS`: a machine counts as lost for that long after its return
inline constexpr Time kSuccessorDelay =
    1000;  // from the loss of a machine to the start of the one in its place
inline constexpr Time kLongestCut = 12000;
inline constexpr Time kLongestStrikeDelay = 30;  // after the order that a strike waits for
inline constexpr Time kQuiet = 9000;             // without new orders after some strikes

enum class FaultPlanKind : std::uint8_t { one_at_a_time, any_number, struck_orders };

class FaultPlan {
public:
    FaultPlan(PlayWorld& world, FaultPlanKind kind) : world_(world), kind_(kind) {}

    void start() {
        planCore();
        planMember();
    }
    // No new fault begins; those under way end.
    void stop() { stopped_ = true; }
    bool isOver() const { return under_way_ == 0; }

    // Strikes that wait for an order begin soon after it.
    void onOrder(CoreMachine& machine) { strike(waits_for_order_, machine); }
    void onAcknowledged(CoreMachine& machine) { strike(waits_for_acknowledgement_, machine); }

    // Ends all: every machine runs and reaches every other one.
    void heal() {
        stopped_ = true;
        world_.quiet_until = 0;
        world_.note("heal all");
        world_.control.network.healAll();
        world_.control.network.loss = 0;
        world_.control.network.duplication = 0;
        for (CoreMachine* machine : world_.coreMachines()) world_.startCore(*machine);
        for (auto& member : world_.members) {
            world_.startMember(*member);
            member->disturbed = std::max(member->disturbed, world_.now());
        }
        world_.disturbCore();
    }

private:
    using Strike = std::function<void(CoreMachine&)>;
    using FaultMember = void (FaultPlan::*)(CoreMachine&);
    struct Weighted {
        int weight;
        FaultMember begin;
    };

    Network& network() { return world_.control.network; }

    void strike(Strike& waiting, CoreMachine& machine) {
        if (!waiting || stopped_) return;
        const Strike now = std::exchange(waiting, nullptr);
        const bool is_struck = kind_ == FaultPlanKind::struck_orders;
        if (is_struck || world_.chance() < 0.4) world_.quiet_until = world_.now() + kQuiet;
        const Time longest = world_.chance() < 0.5 ? 2 : kLongestStrikeDelay;
        world_.after(world_.between(0, longest), [now, &machine] { now(machine); });
    }

    // --- Core machines ---
    void planCore() {
        const bool alone = kind_ != FaultPlanKind::any_number;
        const Time pause = alone ? world_.between(100, 2500) : world_.between(50, 2000);
        if (std::exchange(replaced_, false)) return world_.after(0, [this] { beginSecondLoss(); });
        world_.after(pause, [this, alone] {
            if (stopped_) return;
            if (!alone) {
                begin(world_.anyCore());
                return planCore();
            }
            beginAlone();
        });
    }
    // The next one is planned as this one ends.
    void beginAlone() {
        const bool is_struck = kind_ == FaultPlanKind::struck_orders;
        const double draw = is_struck ? 0.6 * world_.chance() : world_.chance();
        const Strike fault = [this](CoreMachine& machine) { begin(machine); };
        if (draw < 0.3) {
            waits_for_acknowledgement_ = fault;
        } else if (draw < 0.6) {
            waits_for_order_ = fault;
        } else if (draw < 0.8) {
            CoreMachine* leader = world_.control.leader();
            begin(leader != nullptr ? *leader : world_.anyCore());
        } else {
            begin(world_.anyCore());
        }
    }
    void begin(CoreMachine& machine) {
        const auto present = world_.coreMachines();
        const bool is_present = std::find(present.begin(), present.end(), &machine) != present.end();
        if (stopped_ || !is_present || !machine.runs() || world_.isFrozen(machine)) {
            if (kind_ != FaultPlanKind::any_number && !stopped_) planCore();
            return;
        }
        ++under_way_;
        (this->*drawFault())(machine);
    }
    // As soon as another loss must be borne after a machine was replaced.
    void beginSecondLoss() {
        static const std::vector<Weighted> losses{
            {2, &FaultPlan::replace}, {1, &FaultPlan::loseDisk}, {1, &FaultPlan::kill}};
        CoreMachine& machine = world_.anyCore();
        if (stopped_) return;
        if (!machine.runs()) return planCore();
        ++under_way_;
        (this->*drawFrom(losses))(machine);
    }
    FaultMember drawFault() {
        static const std::vector<Weighted> all{
            {18, &FaultPlan::kill},        {10, &FaultPlan::loseDisk},    {14, &FaultPlan::replace},
            {12, &FaultPlan::cutFromCore}, {12, &FaultPlan::cutFromAll},  {8, &FaultPlan::cutOneWay},
            {6, &FaultPlan::cutPair},      {10, &FaultPlan::freeze},      {4, &FaultPlan::killAll},
            {4, &FaultPlan::rollAll},      {4, &FaultPlan::loseMessages}, {6, &FaultPlan::failDisk},
        };
        static const std::vector<Weighted> of_one_machine{
            {3, &FaultPlan::cutFromCore}, {3, &FaultPlan::cutFromAll}, {2, &FaultPlan::cutOneWay},
            {1, &FaultPlan::cutPair},     {2, &FaultPlan::kill},       {1, &FaultPlan::loseDisk},
            {1, &FaultPlan::replace},
        };
        return drawFrom(kind_ == FaultPlanKind::struck_orders ? of_one_machine : all);
    }
    FaultMember drawFrom(const std::vector<Weighted>& faults) {
        int sum = 0;
        for (const Weighted& fault : faults) sum += fault.weight;
        auto left = static_cast<int>(world_.between(0, sum - 1));
        for (const Weighted& fault : faults) {
            if (left < fault.weight) return fault.begin;
            left -= fault.weight;
        }
        return faults.back().begin;
    }
    // Long enough in most struck plays for all others to be in touch again.
    Time drawCut() {
        const bool is_struck = kind_ == FaultPlanKind::struck_orders;
        return world_.between(is_struck ? 6000 : 300, kLongestCut);
    }
    void end() {
        --under_way_;
        world_.disturbCore();
        if (kind_ != FaultPlanKind::any_number && !stopped_) world_.after(kCatchUp, [this] { planCore(); });
    }
    void endAfter(Time span, std::function<void()> undo) {
        world_.after(span, [this, undo = std::move(undo)] {
            undo();
            end();
        });
    }

    void kill(CoreMachine& machine) {
        const Time down =
            world_.chance() < 0.3 ? world_.between(3000, kLongestCut) : world_.between(50, 3000);
        world_.killCore(machine);
        endAfter(down, [this, &machine] { world_.startCore(machine); });
    }
    void failDisk(CoreMachine& machine) {
        world_.note("the disk fails: " + machine.settings().name);
        world_.disturbCore();
        machine.failDisk(true);
        endAfter(world_.between(200, 4000), [this, &machine] {
            world_.note("the disk works again: " + machine.settings().name);
            machine.failDisk(false);
        });
    }
    // Disks are lost one after the other, each only while the others have their data.
    bool mayLoseData(const CoreMachine& machine) const {
        return world_.othersHaveData(machine) && world_.now() >= data_lost_until_;
    }
    void loseDisk(CoreMachine& machine) {
        const Time down = world_.between(50, 2000);
        if (mayLoseData(machine)) {
            world_.note("disk lost: " + machine.settings().name);
            world_.killCore(machine);
            machine.wipe();
            data_lost_until_ = world_.now() + down + kCatchUp;
        } else {
            world_.killCore(machine);
        }
        endAfter(down, [this, &machine] { world_.startCore(machine); });
    }
    // Among overlapping faults none is for good: their number could leave no majority for ever.
    void replace(CoreMachine& machine) {
        if (kind_ == FaultPlanKind::any_number || !mayLoseData(machine)) return loseDisk(machine);
        world_.loseCore(machine);
        data_lost_until_ = world_.now() + kCatchUp;
        world_.after(kSuccessorDelay, [this] { world_.addEmptyCore(); });
        // The next loss comes this long after this one, not only after the start of the successor.
        replaced_ = true;
        end();
    }
    void cutFromCore(CoreMachine& machine) {
        world_.note("cut from the core: " + machine.settings().name);
        world_.disturbCore();
        cutEach(machine, true, true);
    }
    void cutFromAll(CoreMachine& machine) {
        const std::string ip = machine.ip();
        world_.note("cut from all: " + machine.settings().name);
        world_.disturbCore();
        network().isolate(ip);
        endAfter(drawCut(), [this, ip] {
            world_.note("joined again: " + ip);
            network().endIsolation(ip);
        });
    }
    void cutOneWay(CoreMachine& machine) {
        const bool outward = world_.chance() < 0.5;
        world_.note("cut one way " + std::string(outward ? "from " : "to ") + machine.settings().name);
        world_.disturbCore();
        cutEach(machine, outward, !outward);
    }
    void cutEach(CoreMachine& machine, bool outward, bool inward) {
        const std::string ip = machine.ip();
        std::vector<std::string> others;
        for (CoreMachine* other : world_.coreMachines()) {
            if (other != &machine) others.push_back(other->ip());
        }
        for (const std::string& other : others) {
            if (outward) network().cut(ip, other);
            if (inward) network().cut(other, ip);
        }
        endAfter(drawCut(), [this, ip, others] {
            world_.note("joined again: " + ip);
            for (const std::string& other : others) {
                network().heal(ip, other);
                network().heal(other, ip);
            }
        });
    }
    void cutPair(CoreMachine& machine) {
        const std::string ip = machine.ip();
        const std::string other = world_.anyCore().ip();
        world_.note("cut from each other: " + ip + " and " + other);
        world_.disturbCore();
        network().cutBoth(ip, other);
        endAfter(drawCut(), [this, ip, other] {
            world_.note("joined again: " + ip + " and " + other);
            network().heal(ip, other);
            network().heal(other, ip);
        });
    }
    void freeze(CoreMachine& machine) {
        const Time span = world_.between(200, 5000);
        world_.freezeCore(machine, span);
        endAfter(span, [] {});
    }
    // Their disks stay, and they are back within a second.
    void killAll(CoreMachine&) {
        world_.note("kill the whole core");
        for (CoreMachine* machine : world_.coreMachines()) {
            if (!machine->runs()) continue;
            world_.killCore(*machine);
            world_.after(world_.between(100, 950), [this, machine] { world_.startCore(*machine); });
        }
        endAfter(1000, [] {});
    }
    // One after the other, each told to end.
    void rollAll(CoreMachine&) { rollFrom(0); }
    void rollFrom(std::size_t index) {
        const std::vector<CoreMachine*> present = world_.coreMachines();
        if (stopped_ || index >= present.size()) return end();
        CoreMachine& machine = *present[index];
        const bool ready = machine.runs() && !world_.isFrozen(machine);
        if (!ready) return rollFrom(index + 1);
        world_.note("told to end: " + machine.settings().name);
        world_.disturbCore();
        machine.node().leave([] {});
        world_.after(100, [this, &machine] {
            if (machine.runs()) world_.killCore(machine);
        });
        const Time down = world_.between(200, 900);
        world_.after(down, [this, &machine] { world_.startCore(machine); });
        world_.after(down + kCatchUp, [this, index] { rollFrom(index + 1); });
    }
    void loseMessages(CoreMachine&) {
        network().loss = 0.02 + 0.1 * world_.chance();
        network().duplication = 0.1 * world_.chance();
        world_.note("messages are lost and doubled");
        endAfter(world_.between(500, 6000), [this] {
            world_.note("messages arrive again");
            network().loss = 0;
            network().duplication = 0;
        });
    }

    // --- Edges and stores, whatever happens to the core ---
    void planMember() {
        world_.after(world_.between(500, 6000), [this] {
            if (stopped_) return;
            beginAt(world_.anyMember());
            planMember();
        });
    }
    void beginAt(PlayMember& member) {
        const double draw = world_.chance();
        if (draw < 0.4) {
            world_.killMember(member);
            world_.after(world_.between(100, 3000), [this, &member] { world_.startMember(member); });
        } else if (draw < 0.6) {
            world_.freezeMember(member, world_.between(200, 4000));
        } else {
            cutMember(member);
        }
    }
    void cutMember(PlayMember& member) {
        const std::string ip = member.ip;
        const std::string core = world_.anyCore().ip();
        world_.note("cut from each other: " + member.name + " and " + core);
        network().cutBoth(ip, core);
        world_.after(world_.between(300, kLongestCut), [this, &member, ip, core] {
            world_.note("joined again: " + member.name + " and " + core);
            network().heal(ip, core);
            network().heal(core, ip);
            member.disturbed = std::max(member.disturbed, world_.now());
        });
    }

    PlayWorld& world_;
    FaultPlanKind kind_;
    bool stopped_ = false;
    int under_way_ = 0;
    Time data_lost_until_ = 0;
    bool replaced_ = false;  // the fault that ended last was a machine lost for good
    Strike waits_for_order_;
    Strike waits_for_acknowledgement_;
};

}  // namespace amberswitch::cluster::history
