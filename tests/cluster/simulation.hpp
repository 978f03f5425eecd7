// Deterministic simulation for tests of the planes: one virtual clock, and a network that delays, loses,
// duplicates and partitions traffic. Nothing sleeps. All random values come from the seed, so a run can be
// repeated exactly.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"

namespace amberswitch::cluster::simulation {

// The virtual clock, event queue and random generator of a simulation.
class World {
public:
    explicit World(std::uint64_t seed) : random_(seed) {}
    // Pending work may own timers, whose destructors call cancel().
    ~World() {
        while (!queue_.empty()) queue_.extract(queue_.begin());
    }
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    SteadyTime now() const { return now_; }
    std::mt19937_64& random() { return random_; }
    // A random number, uniform in [0, 1).
    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    // Schedules `work` and returns an id for cancel().
    std::uint64_t at(SteadyTime when, std::function<void()> work) {
        const std::uint64_t id = ++last_id_;
        queue_.emplace(std::make_pair(when, id), std::move(work));
        times_.emplace(id, when);
        return id;
    }
    void cancel(std::uint64_t id) {
        const auto found = times_.find(id);
        if (found == times_.end()) return;
        queue_.erase({found->second, id});
        times_.erase(found);
    }
    // Runs all work that is due within `span`, then advances the clock to its end.
    void run(Millis span) {
        const SteadyTime end = now_ + span;
        while (!queue_.empty() && queue_.begin()->first.first <= end) step();
        now_ = end;
    }
    // Runs until the condition holds or the span has passed. Returns whether it holds.
    bool runUntil(const std::function<bool()>& holds, Millis span) {
        const SteadyTime end = now_ + span;
        while (!holds()) {
            if (queue_.empty() || queue_.begin()->first.first > end) {
                now_ = end;
                return holds();
            }
            step();
        }
        return true;
    }

private:
    void step() {
        const auto first = queue_.begin();
        now_ = std::max(now_, first->first.first);
        const std::function<void()> work = std::move(first->second);
        times_.erase(first->first.second);
        queue_.erase(first);
        work();
    }

    std::mt19937_64 random_;
    SteadyTime now_{std::chrono::seconds(1000)};
    std::uint64_t last_id_ = 0;
    std::map<std::pair<SteadyTime, std::uint64_t>, std::function<void()>> queue_;
    std::map<std::uint64_t, SteadyTime> times_;
};

// The scheduler of one simulated process. After kill(), its pending and later work never runs.
class SimulatedScheduler : public Scheduler {
public:
    explicit SimulatedScheduler(World& world) : world_(world), state_(std::make_shared<State>(world)) {}
    ~SimulatedScheduler() override { kill(); }

    SteadyTime now() const override { return world_.now(); }
    std::int64_t wallMillis() const override {
        const auto since = std::chrono::duration_cast<Millis>(world_.now().time_since_epoch());
        return 1'700'000'000'000 + since.count() + wall_step_ms_;
    }
    TimerHandle after(Millis delay, std::function<void()> work) override {
        const auto pending = std::make_shared<bool>(true);
        const auto guarded = [state = state_, pending, work = std::move(work)] {
            if (*pending) State::runOrDefer(state, pending, work);
        };
        const std::uint64_t id = world_.at(world_.now() + delay, guarded);
        return std::make_unique<SimulatedTimer>(world_, id, pending);
    }
    void post(std::function<void()> work) override {
        world_.at(world_.now(), [state = state_, work = std::move(work)] {
            State::runOrDefer(state, std::make_shared<bool>(true), work);
        });
    }
    void kill() { state_->alive = false; }
    // Pauses the process: work that becomes due is deferred until then.
    void freeze(SteadyTime until) { state_->frozen_until = until; }
    void freeze(Millis span) { freeze(world_.now() + span); }
    void stepWallClock(std::int64_t by_ms) { wall_step_ms_ += by_ms; }

private:
    struct State {
        explicit State(World& of) : world(of) {}
        static void runOrDefer(const std::shared_ptr<State>& state, const std::shared_ptr<bool>& pending,
                               const std::function<void()>& work) {
            if (!state->alive || !*pending) return;
            if (state->world.now() >= state->frozen_until) return work();
            state->world.at(state->frozen_until,
                            [state, pending, work] { runOrDefer(state, pending, work); });
        }

        World& world;
        bool alive = true;
        SteadyTime frozen_until{};
    };
    class SimulatedTimer : public Timer {
    public:
        SimulatedTimer(World& world, std::uint64_t id, std::shared_ptr<bool> pending)
            : world_(world), id_(id), pending_(std::move(pending)) {}
        ~SimulatedTimer() override {
            *pending_ = false;
            world_.cancel(id_);
        }

    private:
        World& world_;
        std::uint64_t id_;
        std::shared_ptr<bool> pending_;
    };

    World& world_;
    std::shared_ptr<State> state_;
    std::int64_t wall_step_ms_ = 0;
};

// The simulated network that connects the transports.
class Network {
public:
    explicit Network(World& world) : world_(world) {}

    Millis delay{1};
    Millis jitter{1};
    std::uint64_t requests = 0;  // number of calls so far
    double loss = 0;             // share of requests and of replies that are lost
    // Share of requests that are delivered twice; the second delivery is up to duplicate_delay later.
    double duplication = 0;
    Millis duplicate_delay{300};
    bool cuts_in_flight = false;                    // a cut also drops messages in flight
    std::map<std::string, std::uint64_t> bytes_to;  // by receiving machine; request and reply bodies
    // Outgoing bandwidth of each machine's link in bytes per millisecond; links without an entry are
    // unlimited.
    std::map<std::string, double> link_bytes_per_ms;

    void cut(const std::string& from_ip, const std::string& to_ip) { cuts_.insert({from_ip, to_ip}); }
    void cutBoth(const std::string& a, const std::string& b) { cut(a, b), cut(b, a); }
    void isolate(const std::string& ip) { isolated_.insert(ip); }
    void endIsolation(const std::string& ip) { isolated_.erase(ip); }
    void heal(const std::string& from, const std::string& to) { cuts_.erase({from, to}); }
    void healAll() { cuts_.clear(), isolated_.clear(); }
    // Whether no cut or isolation separates the machines; `loss` is not considered.
    bool isReachable(const std::string& from, const std::string& to) const {
        if (isolated_.contains(from) != isolated_.contains(to)) return false;
        return !cuts_.contains({from, to});
    }
    // Reserves the machine's outgoing link and returns the time until all these bytes are sent, including the
    // queueing delay behind earlier ones.
    Millis transmissionDelay(const std::string& from_ip, std::size_t bytes) {
        const auto link = link_bytes_per_ms.find(from_ip);
        if (link == link_bytes_per_ms.end()) return Millis(0);
        constexpr double kMicrosPerMilli = 1000;
        SteadyTime& free_at = link_free_at_[from_ip];
        free_at = std::max(free_at, world_.now()) +
                  std::chrono::microseconds(
                      static_cast<std::int64_t>(kMicrosPerMilli * static_cast<double>(bytes) / link->second));
        return std::chrono::ceil<Millis>(free_at - world_.now());
    }
    // Pauses a machine: messages that arrive meanwhile are handled at the end of the span.
    void freeze(const std::string& ip, Millis span) { frozen_until_[ip] = world_.now() + span; }

private:
    friend class MemoryTransport;
    bool isDelivered(const std::string& from, const std::string& to) {
        return isReachable(from, to) && world_.chance() >= loss;
    }
    void runWhenAwake(const std::string& ip, const std::function<void()>& work) {
        const auto found = frozen_until_.find(ip);
        if (found == frozen_until_.end() || world_.now() >= found->second) return work();
        world_.at(found->second, work);
    }
    Millis drawDelay() {
        return delay +
               Millis(static_cast<std::int64_t>(world_.chance() * static_cast<double>(jitter.count() + 1)));
    }

    World& world_;
    std::map<NodeAddress, class MemoryTransport*> listeners_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::set<std::string> isolated_;
    std::map<std::string, SteadyTime> frozen_until_;
    std::map<std::string, SteadyTime> link_free_at_;
};

// The transport of one simulated process at one address. Destroying it simulates a crash of the process.
class MemoryTransport : public Transport {
public:
    MemoryTransport(World& world, Network& network, NodeAddress self)
        : world_(world), network_(network), self_(std::move(self)), alive_(std::make_shared<bool>(true)) {
        network_.listeners_[self_] = this;
    }
    ~MemoryTransport() override {
        *alive_ = false;
        if (network_.listeners_[self_] == this) network_.listeners_.erase(self_);
    }

    void serve(RequestHandler handler) override { handler_ = std::move(handler); }
    // Pauses the process: requests and replies to it wait until then.
    void freeze(SteadyTime until) { frozen_until_ = until; }

    void call(const NodeAddress& to, Envelope request, Millis timeout,
              std::function<void(CallResult)> done) override {
        const auto finished = std::make_shared<bool>(false);
        const auto finish = [this, &network = network_, ip = self_.ip, alive = alive_, finished,
                             done = std::move(done)](const CallResult& result) {
            if (!*alive) return;
            network.runWhenAwake(ip, [this, alive, finished, done, result] {
                if (!*alive || std::exchange(*finished, true)) return;
                if (world_.now() >= frozen_until_) return done(result);
                world_.at(frozen_until_, [alive, done, result] {
                    if (*alive) done(result);
                });
            });
        };
        world_.at(world_.now() + timeout, [finish] { finish({CallStatus::unknown, {}}); });
        ++network_.requests;
        if (!network_.isDelivered(self_.ip, to.ip)) return;
        network_.bytes_to[to.ip] += request.body.size();
        send(to, request, network_.drawDelay() + network_.transmissionDelay(self_.ip, request.body.size()),
             finish);
        if (network_.duplication == 0 || world_.chance() >= network_.duplication) return;
        const double late = world_.chance() * static_cast<double>(network_.duplicate_delay.count());
        send(to, request, network_.drawDelay() + Millis(static_cast<std::int64_t>(late)),
             [](const CallResult&) {});
    }

private:
    void send(const NodeAddress& to, const Envelope& request, Millis delay,
              const std::function<void(const CallResult&)>& finish) {
        world_.at(world_.now() + delay, [this, alive = alive_, to, request, finish] {
            if (*alive)
                network_.runWhenAwake(to.ip, [this, alive, to, request, finish] {
                    if (*alive) arrive(to, request, finish);
                });
        });
    }
    void arrive(const NodeAddress& to, const Envelope& request,
                const std::function<void(const CallResult&)>& finish) {
        const auto peer = network_.listeners_.find(to);
        if (network_.cuts_in_flight && !network_.isReachable(self_.ip, to.ip)) return;
        if (peer == network_.listeners_.end() || !peer->second->handler_)
            return finish({CallStatus::not_executed, {}});
        World& world = world_;
        Network& network = network_;
        const std::string from = self_.ip;
        const std::shared_ptr<bool> callee_alive = peer->second->alive_;
        if (world.now() < peer->second->frozen_until_) {
            world.at(peer->second->frozen_until_, [this, alive = alive_, to, request, finish] {
                if (*alive) arrive(to, request, finish);
            });
            return;
        }
        peer->second->handler_(request, [&world, &network, from, to, finish, callee_alive](Envelope reply) {
            if (!*callee_alive || !network.isDelivered(to.ip, from)) return;
            network.bytes_to[from] += reply.body.size();
            const Millis delay = network.drawDelay() + network.transmissionDelay(to.ip, reply.body.size());
            world.at(world.now() + delay, [&network, from, to, finish, reply = std::move(reply)] {
                if (network.cuts_in_flight && !network.isReachable(to.ip, from)) return;
                finish({CallStatus::answered, reply});
            });
        });
    }

    World& world_;
    Network& network_;
    NodeAddress self_;
    std::shared_ptr<bool> alive_;
    SteadyTime frozen_until_{};
    RequestHandler handler_;
};

}  // namespace amberswitch::cluster::simulation
