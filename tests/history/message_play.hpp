// One play of the stores with pretended edges, servers and leader: messages are accepted and run all the time
// while faults strike, many of them the owner that has just said that a message is stored. The ledger of the
// world is the history; `late_runs` and what the owners answer at the end are checked against it.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "tests/cluster/store_world_edge.hpp"

namespace amberswitch::cluster::history {

inline constexpr Millis kMessagesFor{20000};
inline constexpr Millis kMessagesHealed{15000};
inline constexpr Millis kMessageContact{4000};  // `contactMs`
inline constexpr Millis kMessageCatchUp{4500};  // `catchUpS`
inline constexpr Millis kLongestTrouble{5000};
inline constexpr Millis kInForceEverywhere{3000};  // `configApplyMs`
inline constexpr const char* kLongerPrefix = "/lines/longer/";

class MessagePlay {
public:
    explicit MessagePlay(std::uint64_t seed) : play_(seed, optionsOf(seed)) {
        play_.on_accepted = [this](PartitionId partition) { onAccepted(partition); };
        play_.network.cuts_in_flight = true;
    }

    // The rules that were broken.
    std::vector<std::string> run() {
        submit();
        planFault();
        planEdgeFault();
        planChange();
        play_.world.run(kMessagesFor);
        stopped_ = true;
        play_.world.run(kLongestTrouble + Millis(3000));
        note("healed");
        play_.network.healAll();
        play_.network.duplication = 0;
        for (auto& edge : play_.edges) {
            if (!edge->alive()) edge->restart();
        }
        play_.world.run(kMessagesHealed);
        return check();
    }
    std::size_t accepted() const { return play_.accepted(); }
    const std::vector<std::string>& faults() const { return faults_; }

private:
    using StoreMachine = simulation::StoreMachine;
    struct Trouble {
        SteadyTime begin;
        SteadyTime end;
    };
    using Fault = void (MessagePlay::*)(StoreMachine&);

    static simulation::WorldOptions optionsOf(std::uint64_t seed) {
        simulation::WorldOptions options;
        options.stores = seed % 3 == 0 ? 5 : 3;
        options.lost_answers = 0.03;
        options.failures = 0.05;
        options.duplicate_reports = seed % 2 == 0;
        return options;
    }
    Millis between(Millis low, Millis high) {
        return low + Millis(static_cast<std::int64_t>(play_.world.chance() *
                                                      static_cast<double>((high - low).count())));
    }
    void after(Millis delay, std::function<void()> work) {
        play_.world.at(play_.world.now() + delay, std::move(work));
    }
    void note(const std::string& fault) {
        const auto since = std::chrono::duration_cast<Millis>(play_.world.now().time_since_epoch());
        faults_.push_back(std::to_string(since.count() - 1000000) + " ms  " + fault);
    }

    // --- Clients ---
    void submit() {
        if (stopped_) return;
        simulation::FakeEdge& edge = play_.anyEdge();
        if (edge.alive()) submitAt(edge);
        after(between(Millis(0), Millis(40)), [this] { submit(); });
    }
    void submitAt(simulation::FakeEdge& edge) {
        const double kind = play_.world.chance();
        const int line = static_cast<int>(play_.world.chance() * 6);
        MessageContent content =
            kind < 0.5 ? orderedContent("k" + std::to_string(line)) : play_.content("plain");
        if (kind > 0.8) content.delay_ms = between(Millis(0), Millis(3000)).count();
        if (kind > 0.9) content.callback_url = "http://10.9.0.7:80/done";
        edge.submit(content, 3, play_.world.chance() < 0.03, play_.world.chance() < 0.03);
    }

    MessageContent orderedContent(const std::string& key) {
        MessageContent content = play_.content("lines", key);
        if (play_.world.chance() < 0.5) content.target = std::string(kLongerPrefix) + "x";
        const Route& route = *play_.configuration->match(content.host, content.target);
        content.service = route.service;
        content.ordered = route.ordered;
        return content;
    }

    // --- Routes: a longer one comes, changes and goes; stores learn of each change at moments of their own
    // ---
    void planChange() {
        after(between(Millis(50), Millis(2000)), [this] {
            if (stopped_) return;
            change();
            planChange();
        });
    }
    void change() {
        auto next = std::make_shared<Configuration>(*play_.configuration);
        ++next->generation;
        const auto erased = std::erase_if(
            next->routes, [](const Route& route) { return route.path_prefix == kLongerPrefix; });
        const bool adds = erased == 0 || play_.world.chance() < 0.3;
        if (adds) next->routes.push_back(drawLongerRoute(*next->route("lines")));
        next->buildIndexes();
        note(adds ? "a longer route" : "no longer route");
        play_.configuration = next;
        for (auto& machine : play_.machines) {
            after(between(Millis(0), kInForceEverywhere), [raw = machine.get(), next] {
                if (raw->process) raw->process->node->onConfiguration(next);
            });
        }
    }
    Route drawLongerRoute(Route route) {
        route.name = play_.world.chance() < 0.5 ? "longer" : "further";
        route.path_prefix = kLongerPrefix;
        route.service = play_.world.chance() < 0.5 ? "board" : "servers";
        route.ordered = play_.world.chance() < 0.7;
        return route;
    }

    // --- Stores: one is in trouble at a time, and the next one only after it has caught up ---
    void planFault() {
        after(between(Millis(100), Millis(1500)), [this] {
            if (stopped_) return;
            if (play_.world.chance() < 0.6) {
                waits_for_accept_ = true;
            } else {
                begin(*play_.machines[play_.world.random()() % play_.machines.size()]);
            }
        });
    }
    void onAccepted(PartitionId partition) {
        if (!waits_for_accept_ || stopped_) return;
        waits_for_accept_ = false;
        after(between(Millis(0), Millis(8)), [this, partition] { begin(play_.ownerOf(partition)); });
    }
    void begin(StoreMachine& machine) {
        static const std::vector<Fault> faults{
            &MessagePlay::kill,    &MessagePlay::losePower, &MessagePlay::loseDisk,  &MessagePlay::loseDisk,
            &MessagePlay::cutAll,  &MessagePlay::cutPair,   &MessagePlay::cutOneWay, &MessagePlay::freeze,
            &MessagePlay::doubles, &MessagePlay::leave,
        };
        if (stopped_ || !machine.process) return planFault();
        (this->*faults[play_.world.random()() % faults.size()])(machine);
    }
    // The leader sees that a store is silent, and later that it is back.
    void notice() { play_.changeView(); }
    void endAfter(Millis span, StoreMachine& machine, std::function<void()> undo) {
        troubles_.push_back({play_.world.now(), play_.world.now() + span});
        after(std::min(span, between(Millis(300), Millis(1300))), [this] { notice(); });
        after(span, [this, &machine, undo = std::move(undo)] {
            undo();
            play_.hidden.erase(machine.name);
            if (machine.leaving) play_.stop(machine);
            if (!machine.process) play_.start(machine);
            note("over: " + machine.name);
            after(between(Millis(10), Millis(400)), [this] { notice(); });
            after(kMessageCatchUp, [this] { planFault(); });
        });
    }
    Millis drawSpan() { return between(Millis(100), kLongestTrouble); }

    void kill(StoreMachine& machine) {
        note("kill " + machine.name);
        play_.stop(machine);
        endAfter(drawSpan(), machine, [] {});
    }
    void losePower(StoreMachine& machine) {
        note("power lost: " + machine.name);
        play_.cutPower(machine);
        endAfter(drawSpan(), machine, [] {});
    }
    void loseDisk(StoreMachine& machine) {
        note("disk lost: " + machine.name);
        play_.wipe(machine);
        endAfter(drawSpan(), machine, [] {});
    }
    void cutAll(StoreMachine& machine) {
        note("cut from all: " + machine.name);
        play_.network.isolate(machine.address.ip);
        play_.hidden.insert(machine.name);
        endAfter(drawSpan(), machine, [this, &machine] { play_.network.endIsolation(machine.address.ip); });
    }
    void cutPair(StoreMachine& machine) {
        StoreMachine& other = *play_.machines[play_.world.random()() % play_.machines.size()];
        const std::string ip = machine.address.ip;
        const std::string other_ip = other.address.ip;
        note("cut from each other: " + machine.name + " and " + other.name);
        play_.network.cutBoth(ip, other_ip);
        endAfter(drawSpan(), machine, [this, ip, other_ip] {
            play_.network.heal(ip, other_ip);
            play_.network.heal(other_ip, ip);
        });
    }
    // Its answers are lost: to the other stores, or to the edges.
    void cutOneWay(StoreMachine& machine) {
        std::vector<std::string> others;
        if (play_.world.chance() < 0.5) {
            for (const auto& other : play_.machines) others.push_back(other->address.ip);
        } else {
            for (std::size_t index = 0; index < play_.edges.size(); ++index)
                others.push_back("10.2.0." + std::to_string(index + 1));
        }
        note("cut one way from " + machine.name + " to " + others.front() + " and the like");
        const std::string ip = machine.address.ip;
        for (const std::string& other : others) {
            if (other != ip) play_.network.cut(ip, other);
        }
        endAfter(drawSpan(), machine, [this, ip, others] {
            for (const std::string& other : others) play_.network.heal(ip, other);
        });
    }
    void freeze(StoreMachine& machine) {
        const Millis span = drawSpan();
        note("freeze " + machine.name + " for " + std::to_string(span.count()) + " ms");
        machine.process->scheduler->freeze(span);
        play_.network.freeze(machine.address.ip, span);
        if (span > Millis(1000)) play_.hidden.insert(machine.name);
        endAfter(span, machine, [] {});
    }
    void doubles(StoreMachine& machine) {
        note("messages are lost and doubled");
        play_.network.loss = 0.02;
        play_.network.duplication = 0.1;
        endAfter(drawSpan(), machine, [this] {
            play_.network.loss = 0;
            play_.network.duplication = 0;
        });
    }
    void leave(StoreMachine& machine) {
        note("told to end: " + machine.name);
        machine.leaving = true;
        machine.process->node->leave([] {});
        endAfter(between(Millis(500), kLongestTrouble), machine, [] {});
    }

    // --- Edges ---
    void planEdgeFault() {
        after(between(Millis(1000), Millis(8000)), [this] {
            if (stopped_) return;
            simulation::FakeEdge& edge = play_.anyEdge();
            if (edge.alive()) {
                note("kill " + edge.name());
                edge.kill();
                const Millis down = between(Millis(100), Millis(2000));
                troubles_.push_back({play_.world.now(), play_.world.now() + down});
                after(down, [&edge] {
                    if (!edge.alive()) edge.restart();
                });
            }
            planEdgeFault();
        });
    }

    // --- Checks ---
    std::vector<std::string> check() {
        for (const auto& [id, message] : play_.ledger.messages) checkMessage(id, message);
        play_.checkStates();
        return play_.ledger.faults;
    }
    void checkMessage(const MessageId& id, const simulation::Ledger::Message& message) {
        std::vector<std::string>& broken = play_.ledger.faults;
        if (message.accepted && !message.ended) broken.push_back("unfinished: " + id);
        const bool owes_callback = message.accepted && !message.content.callback_url.empty();
        if (owes_callback && message.callbacks_taken == 0) broken.push_back("no call-back: " + id);
        // Trouble may hide an end; without any for `contactMs` none is hidden.
        for (const SteadyTime run : message.late_runs) {
            if (isCalm(run)) broken.push_back("run after its end: " + id);
        }
    }
    bool isCalm(SteadyTime time) const {
        return std::none_of(troubles_.begin(), troubles_.end(), [time](const Trouble& trouble) {
            return trouble.begin <= time && time <= trouble.end + kMessageContact;
        });
    }

    simulation::StoreWorld play_;
    bool stopped_ = false;
    bool waits_for_accept_ = false;
    std::vector<Trouble> troubles_;
    std::vector<std::string> faults_;
};

}  // namespace amberswitch::cluster::history
