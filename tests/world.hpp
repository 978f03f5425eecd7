// A core on a simulated clock, and the operations of test scenarios for any front: clients submit jobs and
// leave, servers hold jobs until the scenario decides how they end.
#pragma once

#include <gtest/gtest.h>

#include <deque>

#include "core/core.hpp"
#include "net/loop.hpp"

namespace amberswitch {

using heronmount::RosterMode;
using heronmount::WorkerStatus;
using namespace std::chrono_literals;

inline settings::Site site() {
    settings::Site s;
    s.classes = {"car-match", "job-assign"};
    s.module.classes.resize(2);
    s.module.classes[0].targetLatency = 400ms, s.module.classes[0].clientTimeout = 8s;
    s.module.classes[1].targetLatency = 400ms, s.module.classes[1].clientTimeout = 5s,
    s.module.classes[1].dedupWindow = 7500ms;
    s.module.classes[1].idempotency = heronmount::Idempotency::keyed,
    s.module.classes[1].dedupScope = heronmount::DedupScope::cell;
    s.module.maxAttempts = 3, s.module.mayCancel = true, s.module.workersReportStart = true;
    s.module.mayAdviseRetry = true, s.module.maxRetryAfter = 2s, s.module.tick = 4ms;
    s.idleClose = 5s, s.connectTimeout = 250ms;
    return s;
}

enum class Fate { pending, served, unavailable, failed };
struct Seen {
    Fate fate = Fate::pending;
    std::string body;
};

// A job held by a fake application server; the scenario decides how it ends.
struct Held {
    std::string className, body;
    std::function<void(std::string)> complete;
    std::function<void()> fail;
};

class World {
public:
    virtual ~World() = default;
    virtual std::size_t submit(const std::string& className, const std::string& key,
                               const std::string& body) = 0;
    virtual void leave(std::size_t client) = 0;
    virtual std::size_t addServer() = 0;
    virtual void drain(std::size_t server) = 0;
    virtual void vanish(std::size_t server) = 0;
    virtual void refresh() {}  // updates `seen`, for fronts that don't do so as answers arrive

    std::vector<Seen> seen;
    std::vector<std::deque<Held>> held;  // by server

    bool until(const std::function<bool()>& done) {
        const auto guard = std::chrono::steady_clock::now() + 10s;  // limits the wait of a failing test
        while (!done() && std::chrono::steady_clock::now() < guard) loop.poll();
        return done();
    }
    void untilStarted(std::uint64_t jobs) {
        EXPECT_TRUE(until([&] { return core.counters().started == jobs; }));
    }
    void pass(Nanos time) {
        for (Nanos done{0}; done < time; done += 50ms) now += 50ms, settleBriefly();
    }
    std::size_t total() const {
        std::size_t count = 0;
        for (const auto& jobs : held) count += jobs.size();
        return count;
    }
    Held take(std::size_t server) {
        EXPECT_TRUE(until([&] { return !held[server].empty(); }));
        if (held[server].empty()) return {};
        Held job = std::move(held[server].front());
        held[server].pop_front();
        return job;
    }
    std::size_t holder() {  // index of a server that holds a job
        EXPECT_TRUE(until([&] { return total() > 0; }));
        std::size_t at = 0;
        while (at + 1 < held.size() && held[at].empty()) ++at;
        return at;
    }

    explicit World(const settings::Site& at = site()) : core(at, 11, loop.deadlines()) {}

    Time now{1'000'000'000'000};
    net::Loop loop{[this] { return now; }};
    Core core;

protected:
    void settleBriefly() {
        for (int i = 0; i < 20; ++i) loop.poll();
    }
};

inline std::string port(const net::Listener& listener) {
    return "127.0.0.1:" + std::to_string(listener.address().port());
}
inline const net::tcp::endpoint kAnyPort(net::asio::ip::make_address("127.0.0.1"), 0);

}  // namespace amberswitch
