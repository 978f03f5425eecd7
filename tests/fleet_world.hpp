// A simulated world of many dispatchers and a few servers, with its own clock. It shows effects that arise
// only from dispatchers together.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "heronmount/dispatcher.hpp"

namespace heronmount::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Server {
    RosterEntry entry;
    std::size_t slots = 4;
    double speed = 1;
    bool up = true;
    struct Held {
        std::size_t node = 0;
        RequestId id = 0;
        std::uint32_t attempt = 0;
        double work = 0;
        bool operator==(const Held& o) const { return node == o.node && id == o.id && attempt == o.attempt; }
    };
    std::deque<Held> waiting;
    std::vector<Held> running;
    std::vector<std::pair<Time, double>> arrivals;  // times of arrival, with the work in seconds
};

class World {
public:
    struct Job {
        Time arrived{0};
        double work = 0;
        std::uint32_t klass = 0;
        bool ended = false;
    };
    struct Node {
        std::unique_ptr<Dispatcher> dispatcher;
        std::map<RequestId, Job> jobs;
        std::map<std::pair<RequestId, std::uint32_t>, std::pair<std::size_t, Time>> out;
        std::map<RequestId, std::uint32_t> sends;
        RequestId next = 1;
        std::vector<Time> subscribed;
    };

    std::vector<Server> servers;
    std::vector<Node> nodes;
    Time now = seconds(1000);
    std::uint64_t served = 0, refused = 0, failed = 0, cancels = 0, ranTwice = 0;
    std::vector<double> waits;  // of jobs that started, in seconds
    std::vector<std::uint64_t> sentTo;
    std::map<std::pair<std::uint32_t, int>, std::uint64_t> sentByKind;  // class and kind
    std::map<std::uint32_t, std::uint64_t> refusedOf;                   // by class

    World(const Settings& settings, std::vector<Server> initial, std::uint64_t seed)
        : servers(std::move(initial)), settings_(settings), random_(seed) {
        sentTo.resize(servers.size());
        for (std::uint32_t me = 0; me < settings.schedulerCount; ++me) {
            nodes.emplace_back();
            restart(me);
        }
    }

    // Restarts a dispatcher as after a kill: its state is empty, and it gets the roster known before.
    void restart(std::size_t me, RosterMode mode = RosterMode::stale) {
        Settings own = settings_;
        own.schedulerIndex = static_cast<std::uint32_t>(me), own.zone = zoneOf(me);
        nodes[me] = Node();
        nodes[me].dispatcher = std::make_unique<Dispatcher>(own, random_());
        deliver(me, list(mode));
    }

    RosterUpdate list(RosterMode mode) const {
        RosterUpdate update;
        update.mode = mode;
        for (const Server& s : servers) update.entries.push_back(s.entry);
        return update;
    }

    // Sends jobs to every node (of that zone, if one is given) until `end`: `perSecond` at each node, with
    // exponentially distributed work of that mean, in seconds.
    void offerLoad(double perSecond, double meanWork, std::uint32_t klass, Time end, int zone = -1) {
        for (std::size_t n = 0; n < nodes.size(); ++n)
            if (zone < 0 || zoneOf(n) == zone) arriveLater(n, perSecond, meanWork, klass, end);
    }
    int zoneOf(std::size_t n) const { return static_cast<int>(n) % settings_.zones; }

    // Calls `what` at that time.
    void at(Time when, std::function<void()> what) { events_.push({when, order_++, std::move(what)}); }

    void run(Time until) {
        while (!events_.empty() && events_.top().when <= until) {
            const Entry next = events_.top();
            events_.pop();
            now = std::max(now, next.when);
            next.what();
        }
        now = until;
    }

    // Passes an event to a node's dispatcher and carries out the resulting actions.
    void deliver(std::size_t n, const Event& event) {
        std::vector<Action> actions;
        nodes[n].dispatcher->on(now, event, actions);
        for (const Action& a : actions) carryOut(n, a);
    }

    // Share of all attempts that were sent to servers for which `of` is true.
    double share(const std::function<bool(const Server&)>& of) const {
        double some = 0, all = 0;
        for (std::size_t s = 0; s < servers.size(); ++s)
            all += static_cast<double>(sentTo[s]),
                some += of(servers[s]) ? static_cast<double>(sentTo[s]) : 0;
        return some / std::max(1.0, all);
    }
    double meanWait() const {  // in seconds
        double sum = 0;
        for (const double w : waits) sum += w;
        return sum / std::max<double>(1, waits.size());
    }

private:
    static constexpr Nanos kNetworkDelay = std::chrono::microseconds(500);
    struct Entry {
        Time when;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Entry& o) const { return std::pair(o.when, o.order) < std::pair(when, order); }
    };

    double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(random_); }

    void arriveLater(std::size_t n, double rate, double work, std::uint32_t klass, Time end) {
        const Time when = now + Nanos(static_cast<std::int64_t>(exponential(1 / rate) * 1e9));
        if (when >= end) return;
        at(when, [=, this] {
            RequestArrived r;
            r.id = nodes[n].next++, r.klass = klass;
            r.timeLeft = settings_.classes[klass].clientTimeout;
            nodes[n].jobs[r.id] = {now, exponential(work), klass, false};
            deliver(n, r);
            arriveLater(n, rate, work, klass, end);
        });
    }

    void end(std::size_t n, RequestId id, std::uint32_t attempt, Outcome how) {
        const auto out = nodes[n].out.find({id, attempt});
        if (out == nodes[n].out.end()) return;
        AttemptEnded e;
        e.id = id, e.attempt = attempt, e.outcome = how;
        e.duration = now - out->second.second;
        nodes[n].out.erase(out);
        Job& job = nodes[n].jobs[id];
        if (how == Outcome::ok && !job.ended) job.ended = true, ++served;
        e.requestFinished = job.ended;
        deliver(n, e);
    }

    void carryOut(std::size_t n, const Action& action) {
        Node& node = nodes[n];
        if (const auto* a = std::get_if<Send>(&action)) {
            const std::uint32_t attempt = node.sends[a->id]++;
            const std::size_t to = a->worker;
            node.out[{a->id, attempt}] = {to, now};
            ++sentTo[to];
            ++sentByKind[{node.jobs[a->id].klass, servers[to].entry.kind}];
            const RequestId id = a->id;
            at(now + kNetworkDelay, [=, this] { reachServer(n, to, id, attempt); });
        } else if (const auto* c = std::get_if<Cancel>(&action)) {
            ++cancels;
            const auto out = node.out.find({c->id, c->attempt});
            if (out == node.out.end()) return;
            const std::size_t to = out->second.first;
            const Server::Held held{n, c->id, c->attempt, 0};
            const auto id = c->id;
            const auto attempt = c->attempt;
            at(now + kNetworkDelay, [=, this] { cancelAt(to, held); });
            at(now, [=, this] { end(n, id, attempt, Outcome::cancelled); });
        } else if (const auto* r = std::get_if<Refuse>(&action)) {
            if (!std::exchange(node.jobs[r->id].ended, true)) ++refused, ++refusedOf[node.jobs[r->id].klass];
        } else if (const auto* f = std::get_if<Fail>(&action)) {
            if (!std::exchange(node.jobs[f->id].ended, true)) ++failed;
        } else if (const auto* t = std::get_if<SetTimer>(&action)) {
            const std::uint64_t tag = t->tag;
            const Dispatcher* const owner = node.dispatcher.get();
            at(now + t->delay, [=, this] {
                if (nodes[n].dispatcher.get() == owner) deliver(n, TimerFired{tag});
            });
        } else if (std::holds_alternative<Subscribe>(action)) {
            node.subscribed.push_back(now);
        }
    }

    void reachServer(std::size_t n, std::size_t to, RequestId id, std::uint32_t attempt) {
        Server& s = servers[to];
        s.arrivals.emplace_back(now, nodes[n].jobs[id].work);
        if (!s.up) return at(now + kNetworkDelay, [=, this] { end(n, id, attempt, Outcome::connectFailed); });
        s.waiting.push_back({n, id, attempt, nodes[n].jobs[id].work});
        serve(to);
    }

    void cancelAt(std::size_t to, const Server::Held& held) {
        Server& s = servers[to];
        std::erase(s.waiting, held);
        ranTwice += std::erase(s.running, held);
        serve(to);
    }

    void serve(std::size_t to) {
        Server& s = servers[to];
        while (s.running.size() < s.slots && !s.waiting.empty()) {
            const Server::Held held = s.waiting.front();
            s.waiting.pop_front();
            s.running.push_back(held);
            at(now + kNetworkDelay, [=, this] {
                if (!nodes[held.node].out.contains({held.id, held.attempt})) return;
                waits.push_back(
                    std::chrono::duration<double>(now - nodes[held.node].jobs[held.id].arrived).count());
                deliver(held.node, AttemptProgress{held.id, held.attempt, true, 0});
            });
            at(now + Nanos(static_cast<std::int64_t>(held.work / s.speed * 1e9)), [=, this] {
                if (std::erase(servers[to].running, held) == 0) return;
                serve(to);
                at(now + kNetworkDelay, [=, this] { end(held.node, held.id, held.attempt, Outcome::ok); });
            });
        }
    }

    Settings settings_;
    std::mt19937_64 random_;
    std::priority_queue<Entry> events_;
    std::uint64_t order_ = 0;
};

}  // namespace heronmount::fleet
