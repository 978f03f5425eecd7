// Compares the counters on the operators' address with those that the simulated clients and application
// servers keep, after every step of random traffic with faults. The test has its own clock.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "platform/front.hpp"
#include "report.hpp"
#include "world.hpp"

namespace amberswitch {
namespace {

struct Figures : testing::Test {
    // An application server's end of a connection. It reads complete requests, answers some and breaks
    // others.
    struct Peer {
        std::shared_ptr<wire::Machine> machine;
        std::string name;
        http::Parser parser{http::Parser::Kind::request};
        bool over = false;
    };
    struct Net : wire::Connector {
        void connect(Time, std::shared_ptr<wire::Machine> machine, const std::string& address) override {
            made.push_back({std::move(machine), address});
        }
        std::vector<Peer> made;
    };
    // A client's connection, which submits one job.
    struct Client {
        std::shared_ptr<wire::Machine> machine;
        std::string id, klass;
        http::Parser parser{http::Parser::Kind::answer};
        bool over = false;
    };

    Figures() {
        service.begin(now);
        std::vector<RosterServer> entries;
        for (const char* const name : {"a", "b", "c"}) {
            RosterServer entry;
            entry.name = name;
            entries.push_back(entry);
            pool.learn(now, core.handleOf(name), name, name);
        }
        core.updateRoster(now, source, pool, RosterMode::full, entries);
    }
    std::uint64_t counter(const std::string& name) const {
        const std::string text = routerCounters(core), key = "router." + name + '=';
        const std::size_t at = text.find(key);
        EXPECT_NE(at, std::string::npos) << name;
        return std::stoull(text.substr(at + key.size()));
    }
    static std::string written(wire::Machine& machine, Time at, std::size_t most) {
        std::string out;
        while (!machine.out().empty() && out.size() < most) {
            const auto bytes = machine.out().pending();
            const std::size_t n = std::min(bytes.size(), most - out.size());
            out.append(bytes.data(), n);
            machine.out().sent(n), machine.sent(at);
        }
        return out;
    }
    static void given(wire::Machine& machine, Time at, std::string_view bytes) {
        while (!bytes.empty()) {
            const std::size_t n = machine.in().put(bytes);
            bytes.remove_prefix(n);
            machine.received(at);
            if (n == 0) break;
        }
    }

    void submit() {
        Client client;
        client.machine = front.accept(now);
        client.id = "t" + std::to_string(clients.size());
        client.klass = random() % 3 ? "car-match" : "job-assign";
        if (random() % 20 == 0 && !clients.empty())
            client.id = clients.back().id;  // an id in use, which is refused
        given(*client.machine, now,
              "POST /" + client.klass + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + client.id +
                  "\r\nIdempotency-Key: k\r\nX-Expires-In-Ms: 3000\r\nContent-Length: 0\r\n\r\n");
        ++asked;
        clients.push_back(std::move(client));
    }
    void readClients() {
        for (Client& client : clients) {
            if (client.over) continue;
            const std::string bytes = written(*client.machine, now, 1 << 20);
            client.parser.feed(bytes);
            if (!client.parser.complete()) continue;
            const int status = client.parser.take().status;
            ++expected[status == 200                    ? "succeeded." + client.klass
                       : status == 503 || status == 429 ? "declined." + client.klass
                                                        : "aborted." + client.klass];
            client.over = true;
            client.machine->ended(now, End::peerClosed);
        }
    }
    void stepServers() {
        for (std::size_t i = 0; i < net.made.size(); ++i) {
            Peer peer = net.made[i];
            if (peer.over) continue;
            const auto part = random() % 10;
            const auto finish = [&](bool refused) {
                net.made[i].over = true;
                peer.machine->ended(now, refused ? End::connectRefused : End::peerReset);
            };
            if (auto& client = static_cast<http::Client&>(*peer.machine);
                client.state() == http::Client::State::connecting) {
                if (part == 0) {
                    finish(true);
                    continue;
                }
                peer.machine->opened(now);
            } else if (client.state() == http::Client::State::ended) {
                net.made[i].over = true;
                continue;
            }
            const std::string bytes = written(*peer.machine, now, part < 3 ? 40 : 4096);  // in pieces
            net.made[i].parser.feed(bytes);
            if (part == 1 && !bytes.empty()) {
                count(net.made[i].parser);
                finish(false);
                continue;
            }
            const auto message = count(net.made[i].parser);
            if (!message) continue;
            const std::string* const id = message->header("x-trace-id");
            if (id && message->method == "POST") running.emplace_back(*id, peer.name);
            const bool fails = id && part == 2;
            given(*peer.machine, now,
                  fails ? "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
                        : "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        }
    }
    std::optional<http::Message> count(http::Parser& parser) {
        if (!parser.complete()) return std::nullopt;
        http::Message message = parser.take();
        requestsRead += message.method == "POST";
        return message;
    }
    void postCallback() {
        if (running.empty()) return;
        const std::size_t at = random() % running.size();
        const auto [id, from] = running[at];
        running.erase(running.begin() + static_cast<long>(at));
        const char* const states[] = {"done", "done", "done", "failed", "returned", "lost"};
        const std::string state = states[random() % 6];
        pool.callback(now, R"({"id":")" + id + R"(","from":")" + from + R"(","state":")" + state +
                               R"(","result":"r"})");
    }
    void expectCountersMatch() {
        std::uint64_t ended = left;
        for (const char* const klass : {"car-match", "job-assign"})
            for (const char* const how : {"succeeded.", "declined.", "aborted."}) {
                EXPECT_EQ(counter(std::string(how) + klass), expected[std::string(how) + klass])
                    << how << klass;
                ended += counter(std::string(how) + klass);
            }
        EXPECT_EQ(asked, ended + counter("outstanding"));
        EXPECT_EQ(core.counters().taken, asked);
        EXPECT_EQ(counter("forwards"), requestsRead);
        EXPECT_EQ(counter("discovered"), 3u);
    }

    Time now{1'000'000'000'000};
    Deadlines deadlines;
    RosterSource source;
    Net net;
    Core core{site(), 5, deadlines};
    platform::Servers pool{core, deadlines, net};
    service::Service service;
    platform::Front front{core, pool, deadlines, service};
    std::mt19937 random{7};
    std::vector<Client> clients;
    std::vector<std::pair<std::string, std::string>> running;
    std::map<std::string, std::uint64_t> expected;
    std::uint64_t asked = 0, left = 0, requestsRead = 0;
};

TEST_F(Figures, AgreeWithBothSidesAtEveryStep) {
    for (int step = 0; step < 4000; ++step) {
        const auto what = random() % 8;
        if (what == 0) submit();
        if (what == 1) postCallback();
        if (what == 2 && random() % 10 == 0 && !clients.empty()) {
            Client& client = clients[random() % clients.size()];
            readClients();
            if (!client.over) {
                const auto before = core.counters().left;
                client.over = true;
                client.machine->ended(now, End::peerClosed);
                left += core.counters().left - before;
            }
        }
        if (step % 500 == 250) service.outOfService(now);
        if (step % 500 == 450) service.inService(now);
        stepServers();
        deadlines.sweep(now += 5ms);
        stepServers();  // reads what the sweep began to write before counters are compared
        readClients();
        expectCountersMatch();
        if (HasFailure()) FAIL() << "step " << step;
    }
    for (const char* const how : {"succeeded.car-match", "succeeded.job-assign", "declined.car-match",
                                  "aborted.job-assign", "aborted.car-match"})
        EXPECT_GT(expected[how], 0u) << how;  // each of these counters was exercised
    EXPECT_GT(left, 0u);
    service.end(now);
    core.giveUpAll(now);
    readClients();
    expectCountersMatch();
    EXPECT_EQ(counter("outstanding"), 0u);
}

// Checks that the comparison detects errors: it counts a job that no client sent and an attempt that no
// server read.
TEST_F(Figures, APlantedMiscountIsCaught) {
    submit();
    readClients();
    expectCountersMatch();
    core.countRejectedByFront(0, true);
    EXPECT_NE(counter("declined.car-match"), expected["declined.car-match"]);
    EXPECT_NE(core.counters().taken, asked);
    core.passWritten();
    EXPECT_NE(counter("forwards"), requestsRead);
}

}  // namespace
}  // namespace amberswitch
