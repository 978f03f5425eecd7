// A seeded run of 20,000 mixed calls through the gRPC front while servers fail, drain, end connections and
// break, and clients cancel and vanish. What is checked comes from the stand-ins' own ledgers.
#include <gtest/gtest.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <map>

#include "grpc/front.hpp"
#include "grpc/servers.hpp"
#include "standins/grpc.hpp"
#include "world.hpp"

namespace amberswitch::grpc {
namespace {

using standins::GrpcClient;
using standins::GrpcServer;
using standins::Part;
using standins::Play;

constexpr Nanos kStep = 5ms;

struct Storm : wire::Connector {
    explicit Storm(std::uint32_t seed) : engine(seed) {
        for (int i = 0; i < 4; ++i) {
            servers.push_back(std::make_unique<GrpcServer>(
                loop, [this](const GrpcServer::Execution&, std::size_t) { return draw(); }));
            ServerEntry entry;
            entry.name = "g" + std::to_string(i), entry.address = servers.back()->address();
            entry.cell = i;
            config.servers.push_back(entry);
            drainedAt.emplace_back();
        }
        pool.configure(now, config);
        for (int i = 0; i < 8; ++i) connectClient();
    }
    static Config makeConfig() {
        Config config;
        config.listen = "127.0.0.1:0";
        config.routes = {{"/taxi.Dispatch/Match", 0, 1, false},
                         {"/taxi.Dispatch/Assign", 1, 1, false},
                         {"/taxi.Dispatch/Charge", 2, 1, true}};
        config.keepalive = 2s, config.keepaliveWait = 500ms, config.backoff = 200ms, config.mostBackoff = 1s;
        return config;
    }
    static settings::Site makeSite() {
        settings::Site s = site();
        s.classes.push_back("charge");
        s.module.classes.push_back(s.module.classes[1]);
        s.module.classes[2].idempotency = heronmount::Idempotency::unsafe;
        settings::addWire(s);
        return s;
    }
    void connect(Time, std::shared_ptr<wire::Machine> machine, const std::string& address) override {
        net::Link::connect(loop, std::move(machine), *net::endpointOf(address));
    }
    int roll(int sides) { return boost::random::uniform_int_distribution<int>(0, sides - 1)(engine); }

    Play draw() {
        Play play;
        play.after = Nanos(1ms) * roll(60);
        const int of = roll(200);
        const std::pair<int, Part> parts[] = {{4, Part::stream},           {8, Part::reset},
                                              {12, Part::trailersOnly},    {15, Part::early},
                                              {18, Part::endsMidStream},   {19, Part::breaksConnection},
                                              {20, Part::breaksAfterHead}, {21, Part::goAway},
                                              {22, Part::goAwayBelow},     {24, Part::bare},
                                              {25, Part::garbage},         {29, Part::stall},
                                              {31, Part::resetAfterHead}};
        for (const auto& [below, part] : parts)
            if (of < below) {
                play.part = part;
                break;
            }
        if (play.part == Part::reset && roll(2) == 0)
            play.code = http2::Code::refusedStream, play.after = Nanos(0);
        if (play.part == Part::goAwayBelow) play.after = Nanos(0);
        if (play.part == Part::trailersOnly)
            play.status = std::array{5, 13, 14, 2, 9}[static_cast<std::size_t>(roll(5))];
        if (play.part == Part::stream)
            play.count = 1 + static_cast<std::size_t>(roll(8)), play.bytes = 20'000;
        return play;
    }

    struct Asked {
        std::size_t client = 0, number = 0;
        Time at{0}, by{0};
        bool withdrawn = false, streams = false;
    };
    struct Peer {
        std::unique_ptr<GrpcClient> client;
        bool hungUp = false;
    };
    void connectClient() {
        clients.push_back({std::make_unique<GrpcClient>(loop, listener.address()), false}),
            live.push_back(clients.size() - 1);
    }

    void ask() {
        const std::size_t at = live[static_cast<std::size_t>(roll(static_cast<int>(live.size())))];
        GrpcClient::Ask ask;
        const int kind = roll(10);
        Nanos most = 8s;
        if (kind >= 5) most = 5s, ask.path = kind < 8 ? "/taxi.Dispatch/Assign" : "/taxi.Dispatch/Charge";
        if (kind >= 5) ask.metadata.push_back({"idempotency-key", "k" + std::to_string(asked.size())});
        if (roll(3) == 0) {
            const int ms = 30 + roll(1500);
            most = std::min(most, Nanos(1ms) * ms);
            ask.metadata.push_back({"grpc-timeout", std::to_string(ms) + "m"});
        }
        Asked made;
        made.streams = roll(12) == 0;
        if (roll(20) == 0) ask.payloads = {std::string(static_cast<std::size_t>(roll(150'000)), 'p')};
        ask.ends = !made.streams, ask.reads = roll(60) != 0;
        made.client = at, made.at = now, made.by = now + most;
        made.number = clients[at].client->call(now, ask);
        asked.push_back(made);
    }

    void disturb() {
        if (roll(60) == 0) {  // the operator drains one, or takes it back
            const auto i = static_cast<std::size_t>(roll(4));
            auto& entry = config.servers[i];
            entry.drain = !entry.drain;
            if (entry.drain)
                drainedAt[i] = now;
            else
                drainedAt[i].reset();
            pool.configure(now, config);
            if (entry.drain && roll(2) == 0) servers[i]->goAway(now);
        }
        if (roll(150) == 0) servers[static_cast<std::size_t>(roll(4))]->goAway(now);
        if (roll(300) == 0) servers[static_cast<std::size_t>(roll(4))]->cut(now);
        if (roll(10) == 0 && !asked.empty()) {
            Asked& one = asked[asked.size() - 1 -
                               static_cast<std::size_t>(
                                   roll(static_cast<int>(std::min<std::size_t>(asked.size(), 40))))];
            if (!clients[one.client].hungUp)
                one.withdrawn = true, clients[one.client].client->cancel(now, one.number);
        }
        if (roll(4) == 0 && !asked.empty()) {
            Asked& one = asked[asked.size() - 1 -
                               static_cast<std::size_t>(
                                   roll(static_cast<int>(std::min<std::size_t>(asked.size(), 60))))];
            if (one.streams && !clients[one.client].hungUp)
                clients[one.client].client->end(now, one.number), one.streams = false;
        }
        if (roll(200) == 0) {
            const auto i = static_cast<std::size_t>(roll(static_cast<int>(live.size())));
            Peer& peer = clients[live[i]];
            peer.client->hangUp(now), peer.hungUp = true;
            live.erase(live.begin() + static_cast<std::ptrdiff_t>(i));
            connectClient();
        }
    }

    // What went to a draining server too late.
    void checkDrains() {
        for (std::size_t i = 0; i < servers.size(); ++i) {
            for (std::size_t n = seen[i]; n < servers[i]->ledger.size(); ++n)
                if (drainedAt[i] && servers[i]->ledger[n].at > *drainedAt[i] + 2500ms) ++tooLate;
            seen[i] = servers[i]->ledger.size();
        }
    }

    void step() {
        now += kStep;
        for (int i = 0; i < 12; ++i) loop.poll();
        checkDrains();
    }

    boost::random::mt19937 engine;
    Time now{1'000'000'000'000};
    net::Loop loop{[this] { return now; }};
    Core core{makeSite(), 11, loop.deadlines()};
    Config config = makeConfig();
    Servers pool{core, loop.deadlines(), *this, config, 5};
    Front front{core, loop.deadlines(), config};
    net::Listener listener{loop, kAnyPort, [this](Time at) { return front.accept(at); }};
    std::vector<std::unique_ptr<GrpcServer>> servers;
    std::vector<std::optional<Time>> drainedAt;
    std::array<std::size_t, 4> seen{};
    std::vector<Peer> clients;
    std::vector<std::size_t> live;
    std::vector<Asked> asked;
    std::size_t tooLate = 0;
};

// By the ledgers: a key's executions that may have run, over all servers.
struct Executions {
    int runs = 0;
    std::size_t servers = 0;
    bool unsafe = false;
};
std::map<std::string, Executions> executionsOf(const Storm& run) {
    std::map<std::string, Executions> out;
    for (const auto& server : run.servers) {
        std::map<std::string, int> here;
        for (const auto& call : server->ledger) {
            if (call.key.empty() || call.unrun) continue;
            out[call.key].unsafe = call.path == "/taxi.Dispatch/Charge";
            ++out[call.key].runs, ++here[call.key];
        }
        for (const auto& [key, count] : here) ++out[key].servers;
    }
    return out;
}
std::size_t outsideTheAllowance(const std::map<std::string, Executions>& all) {
    std::size_t count = 0;
    for (const auto& [key, e] : all) count += e.unsafe ? e.runs > 1 : e.servers > 1;
    return count;
}

std::string historyOf(const Storm& run, const std::string& key) {
    std::string out;
    for (std::size_t i = 0; i < run.servers.size(); ++i)
        for (const auto& call : run.servers[i]->ledger)
            if (call.key == key)
                out += " server " + std::to_string(i) + " at " + std::to_string(call.at.count() / 1'000'000) +
                       " part " + std::to_string(call.part) + (call.unrun ? " unrun" : "") +
                       (call.answered ? " answered" : "") + (call.cancelled ? " cancelled" : "");
    return out;
}

TEST(GrpcRun, TwentyThousandMixedCallsKeepTheRules) {
    Storm run(2026);
    while (run.asked.size() < 20'000) {
        for (int i = run.roll(9); i > 0; --i) run.ask();
        run.disturb();
        run.step();
    }
    for (int i = 0; i < 2400; ++i) run.step();  // past every deadline

    std::size_t answered = 0, withdrawn = 0, late = 0, twice = 0, unanswered = 0, ok = 0;
    for (const auto& one : run.asked) {
        const auto& outcome = run.clients[one.client].client->outcomes[one.number];
        const bool left = one.withdrawn || run.clients[one.client].hungUp;
        twice += outcome.statuses > 1;
        if (outcome.statuses == 1)
            ++answered, late += outcome.at > one.by + kStep;
        else
            left ? ++withdrawn : ++unanswered;
        if (outcome.statuses == 0 && !left)
            ADD_FAILURE() << "call " << &one - run.asked.data() << " of client " << one.client
                          << (outcome.closed ? " closed" : " open") << ", code "
                          << static_cast<int>(outcome.resetBy) << ", asked at " << one.at.count() / 1'000'000
                          << ", ended at " << outcome.at.count() / 1'000'000 << ", received "
                          << outcome.received << ", head " << outcome.head.size();
        ok += outcome.status == 0;
    }
    EXPECT_EQ(twice, 0u);
    EXPECT_EQ(late, 0u);
    EXPECT_EQ(unanswered, 0u);
    EXPECT_EQ(answered + withdrawn, run.asked.size());
    EXPECT_GT(ok, 10'000u);

    const auto executions = executionsOf(run);
    EXPECT_GT(executions.size(), 5'000u);
    EXPECT_EQ(outsideTheAllowance(executions), 0u);
    for (const auto& [key, e] : executions)
        if (e.unsafe ? e.runs > 1 : e.servers > 1) ADD_FAILURE() << key << ": " << historyOf(run, key);
    EXPECT_EQ(run.tooLate, 0u) << "nothing new to a draining server";

    const auto& c = run.core.counters();
    EXPECT_EQ(c.taken, c.served + c.unavailable + c.failed + c.left);
    EXPECT_EQ(run.core.openTransactions(), 0u);
    EXPECT_EQ(run.pool.openPasses(), 0u);
    EXPECT_EQ(run.front.counters().calls.open, 0u);
    EXPECT_EQ(run.front.held(), 0u);
    // The faults were really met.
    for (const End how : {End::served, End::failed, End::handedBack, End::brokeSent, End::wentAway,
                          End::timedOut, End::withdrawn})
        EXPECT_GT(c.ends[static_cast<std::size_t>(how)], 0u) << nameOf(how);
    std::printf(
        "answered %zu, ok %zu, withdrawn %zu; passes %llu, committed %llu, sealed %llu, most held %zu "
        "bytes\n",
        answered, ok, withdrawn, static_cast<unsigned long long>(c.passes),
        static_cast<unsigned long long>(c.committed), static_cast<unsigned long long>(c.sealed),
        run.front.counters().calls.mostHeld);
}

// The checker itself is shown to fail: a planted second execution is found, whichever way it breaks the rule.
TEST(GrpcRun, TheCheckerFindsAPlantedRepeat) {
    Storm run(1);
    GrpcServer::Execution once;
    once.key = "k", once.path = "/taxi.Dispatch/Assign";
    run.servers[0]->ledger = {once, once};
    EXPECT_EQ(outsideTheAllowance(executionsOf(run)), 0u) << "the same server drops repeats";
    run.servers[1]->ledger = {once};
    EXPECT_EQ(outsideTheAllowance(executionsOf(run)), 1u);
    run.servers[1]->ledger[0].unrun = true;
    EXPECT_EQ(outsideTheAllowance(executionsOf(run)), 0u);
    once.path = "/taxi.Dispatch/Charge";
    run.servers[0]->ledger = {once, once};
    EXPECT_EQ(outsideTheAllowance(executionsOf(run)), 1u);
    run.drainedAt[2] = run.now;
    run.now += 3s;
    once.at = run.now;
    run.servers[2]->ledger = {once};
    run.checkDrains();
    EXPECT_EQ(run.tooLate, 1u);
}

// Hostile peers beside an honest client, on sockets: each is gone within 3 s, and the client is served as
// before.
TEST(GrpcRun, HostilePeersHarmNobodyElse) {
    Storm run(3);
    for (auto& server : run.servers) server->ledger.clear();
    using standins::frame;
    const std::string hello = std::string(standins::kPreface) + frame(4, 0, 0, "");
    const std::string open = frame(1, 4, 1, std::string("\x83\x86\x84\x41\x01x", 6));
    std::vector<std::pair<std::string, std::string>> scripts = {
        {"half a preface", std::string(standins::kPreface.substr(0, 9))},
        {"no HTTP/2", "GET / HTTP/1.1\r\n\r\n"},
        {"half a head", hello + frame(1, 0, 1, std::string("\x83", 1))},
        {"a frame too long", hello + std::string("\xff\xff\xff\0\0\0\0\0\1", 9)},
        {"DATA before a head", hello + frame(0, 0, 1, "x")}};
    for (const auto& [name, piece] : {std::pair<std::string, std::string>{"SETTINGS", frame(4, 0, 0, "")},
                                      {"PING", frame(6, 0, 0, "12345678")},
                                      {"empty DATA", frame(0, 0, 1, "")},
                                      {"unknown frames", frame(77, 0, 0, "")}}) {
        std::string flood = hello + open;
        for (int i = 0; i < 2000; ++i) flood += piece;
        scripts.emplace_back(name, flood);
    }
    std::string resets = hello;
    for (std::uint32_t id = 1; id < 2001; id += 2)
        resets += frame(1, 4, id, std::string("\x83\x86\x84\x41\x01x", 6)) +
                  frame(3, 0, id, std::string("\0\0\0\x08", 4));
    scripts.emplace_back("rapid reset", resets);
    std::vector<std::shared_ptr<standins::RawPeer>> peers;
    const Time begun = run.now;
    for (const auto& [name, bytes] : scripts) {
        peers.push_back(std::make_shared<standins::RawPeer>());
        net::Link::connect(run.loop, peers.back(), run.listener.address());
        peers.back()->say(bytes);
    }
    std::size_t most = 0;
    for (int i = 0; i < 600; ++i) {
        if (i % 4 == 0) run.ask();
        run.step();
        most = std::max(most, run.front.held());
    }
    for (std::size_t i = 0; i < peers.size(); ++i) {
        EXPECT_TRUE(peers[i]->closed) << scripts[i].first;
        EXPECT_LE(peers[i]->closedAt, begun + 3s + 100ms) << scripts[i].first;
        if (scripts[i].first != "half a preface" && scripts[i].first != "no HTTP/2") {
            EXPECT_TRUE(peers[i]->heardFrame(7)) << scripts[i].first << ": GOAWAY";
        }
    }
    EXPECT_LE(most, 2u * 1024 * 1024);
    EXPECT_GE(run.front.counters().sessions.floods, 4u);
    for (int i = 0; i < 2000; ++i) run.step();
    std::size_t ok = 0;
    for (const auto& one : run.asked) ok += run.clients[one.client].client->outcomes[one.number].status == 0;
    EXPECT_GT(ok, run.asked.size() / 2);
    EXPECT_EQ(run.front.open(), run.live.size());
}

}  // namespace
}  // namespace amberswitch::grpc
