// Tests of the core, the HTTP server pool and the HTTP front without sockets. Fakes record the calls they
// get.
#include "core/core.hpp"

#include <gtest/gtest.h>

#include <set>

#include "gearman/front.hpp"
#include "platform/front.hpp"
#include "platform/watch.hpp"

namespace amberswitch {
namespace {

using heronmount::Idempotency;
using heronmount::RosterMode;
using heronmount::WorkerStatus;
using namespace std::chrono_literals;

settings::Site site() {
    settings::Site s;
    s.classes = {"car-match", "job-assign"};
    s.tenants = {"maritsa-taxi"};
    s.zones = {"sofia-1", "plovdiv-1"};
    s.kinds = {"std-4", "slow-4"};
    s.module.classes.resize(2);
    s.module.classes[0].targetLatency = 400ms, s.module.classes[0].clientTimeout = 8s;
    s.module.classes[1].targetLatency = 400ms, s.module.classes[1].clientTimeout = 5s,
    s.module.classes[1].dedupWindow = 7500ms;
    s.module.classes[1].idempotency = Idempotency::keyed,
    s.module.classes[1].dedupScope = heronmount::DedupScope::cell;
    s.module.tenants.resize(1);
    s.module.zones = 2, s.module.kinds = 2;
    s.module.maxAttempts = 3, s.module.mayCancel = true, s.module.workersReportStart = true;
    s.module.mayAdviseRetry = true, s.module.maxRetryAfter = 2s, s.module.tick = 4ms,
    s.module.rosterOnRequest = true;
    s.idleClose = 5s, s.connectTimeout = 250ms;
    return s;
}

struct Client : ClientEnd {
    void served(Time, std::string result) override { ++answers, last = "served " + result; }
    void unavailable(Time, Nanos retryIn) override { ++answers, last = "unavailable", advice = retryIn; }
    void failed(Time, std::string_view why) override { ++answers, last = "failed " + std::string(why); }
    int answers = 0;
    std::string last;
    Nanos advice{0};
};

struct Fleet : ApplicationServers, RosterSource {
    void start(Time, const ProxyPass& pass) override { started.push_back(pass); }
    void abandon(Time, const ProxyPass& pass) override { abandoned.push_back(pass); }
    void closeIdle(Time, Worker) override {}
    void probe(Time, Worker) override {}
    std::vector<ProxyPass> started, abandoned;
};

RosterServer entry(const std::string& name, WorkerStatus standing = WorkerStatus::on) {
    RosterServer e;
    e.name = name;
    e.entry.status = standing;
    e.entry.cell = static_cast<int>(settings::fingerprint(name) % 1000);
    return e;
}

struct CoreTest : testing::Test {
    std::shared_ptr<Client> ask(std::uint32_t klass, Nanos left = 5s) {
        auto client = std::make_shared<Client>();
        Arrival arrival;
        arrival.request.klass = klass, arrival.request.timeLeft = left;
        arrival.client = client;
        id = core.arrive(now, std::move(arrival));
        return client;
    }
    void pass(Nanos time) {
        for (Nanos done{0}; done < time; done += 10ms) now += 10ms, deadlines.sweep(now);
    }
    Time now{100s};
    Deadlines deadlines;
    Core core{site(), 5, deadlines};
    Fleet fleet;
    TransactionId id = 0;
};

TEST_F(CoreTest, AnswersOnceHoweverOftenAPassEnds) {
    core.updateRoster(now, fleet, fleet, RosterMode::full, {entry("a")});
    const auto client = ask(0);
    ASSERT_EQ(fleet.started.size(), 1u);
    core.passEnded(now, id, 0, End::served, "r");
    core.passEnded(now, id, 0, End::served, "again");
    core.passEnded(now, id, 0, End::lost);
    core.passStarted(now, id, 7);
    pass(9s);
    EXPECT_EQ(client->answers, 1);
    EXPECT_EQ(client->last, "served r");
    EXPECT_EQ(core.openTransactions(), 0u);
}

// The trace is limited per second and writes nothing while it is off.
TEST_F(CoreTest, TracesEachStepWithinItsBound) {
    core.updateRoster(now, fleet, fleet, RosterMode::full, {entry("a")});
    ask(0);
    std::vector<std::string> lines;
    core.trace().open([&](const std::string& line) { lines.push_back(line); }, 4);
    ask(0);
    core.passStarted(now, id, 0);
    core.passEnded(now, id, 0, End::served, "r");
    ASSERT_EQ(lines.size(), 4u);
    EXPECT_EQ(lines[0], "trace 100000 arrived t=2 class=0 slots=1");
    EXPECT_EQ(lines[1], "trace 100000 sent t=2 pass=0 server=a zone=0 kind=0 cell=" +
                            std::to_string(settings::fingerprint("a") % 1000) + " age=-1");
    EXPECT_EQ(lines[2], "trace 100000 started t=2 pass=0");
    EXPECT_EQ(lines[3], "trace 100000 ended t=2 pass=0 server=a how=served ms=0 queued=-1 held=-1");
    ask(0);
    EXPECT_EQ(lines.size(), 4u);
    EXPECT_EQ(core.trace().dropped(), 2u);
    now += 1s;
    ask(0);
    EXPECT_EQ(lines.size(), 6u);
}

TEST_F(CoreTest, AnswersBeforeTheClientGivesUp) {
    core.updateRoster(now, fleet, fleet, RosterMode::full, {entry("a")});
    const auto client = ask(1, 3s);
    pass(3s);
    EXPECT_EQ(client->answers, 1);
    EXPECT_EQ(client->last, "failed ");  // it may have run: no unavailable answer
    ASSERT_EQ(fleet.abandoned.size(), 1u);
}

// A refusal is answered immediately and includes a retry delay.
TEST_F(CoreTest, AnUnavailableAnswerComesWithAdvice) {
    const auto client = ask(0, 1s);
    pass(1s);
    EXPECT_EQ(client->last, "unavailable");
    EXPECT_GT(client->advice, 0ms);
}

// At shutdown clients get an answer instead of a connection reset; those that may retry get an unavailable
// one.
TEST_F(CoreTest, AnswersAllThatIsOpenWhenTheProcessEnds) {
    core.updateRoster(now, fleet, fleet, RosterMode::full, {entry("a")});
    const auto safe = ask(0), keyed = ask(1);
    core.giveUpAll(now);
    core.giveUpAll(now);
    EXPECT_EQ(safe->last, "unavailable");
    EXPECT_GT(safe->advice, 0ms);
    EXPECT_EQ(keyed->last, "failed ");  // it may have run
    EXPECT_EQ(safe->answers + keyed->answers, 2);
    EXPECT_EQ(fleet.abandoned.size(), 2u);
    EXPECT_EQ(core.openTransactions(), 0u);
}

TEST_F(CoreTest, GivesTheReasonOfTheLastFailure) {
    core.updateRoster(now, fleet, fleet, RosterMode::full, {entry("a")});
    const auto client = ask(1);
    core.passEnded(now, id, 0, End::failed, "no driver");
    for (std::size_t n = 1; n < fleet.started.size(); ++n)
        core.passEnded(now, id, fleet.started[n].number, End::failed, "no driver");
    EXPECT_EQ(client->last, "failed no driver");
}

TEST_F(CoreTest, SendsNothingToAServerThatDrainsOrIsGone) {
    core.updateRoster(now, fleet, fleet, RosterMode::full, {entry("a"), entry("b")});
    core.updateRoster(now, fleet, fleet, RosterMode::incremental, {entry("a", WorkerStatus::draining)});
    for (int i = 0; i < 10; ++i) ask(0), core.passEnded(now, id, 0, End::served, "");
    for (const ProxyPass& one : fleet.started) EXPECT_EQ(one.server, core.handleOf("b"));
    EXPECT_FALSE(core.accepts(core.handleOf("a")));
}

// Guards against a full list of one source removing the servers of another source.
TEST_F(CoreTest, AWholeListReplacesItsOwnSourceOnly) {
    Fleet other;
    core.updateRoster(now, fleet, fleet, RosterMode::full, {entry("a")});
    core.updateRoster(now, other, other, RosterMode::incremental, {entry("w")});
    core.updateRoster(now, fleet, fleet, RosterMode::full, {entry("b")});
    EXPECT_FALSE(core.accepts(core.handleOf("a")));
    EXPECT_TRUE(core.accepts(core.handleOf("b")));
    EXPECT_TRUE(core.accepts(core.handleOf("w")));
    for (int i = 0; i < 10; ++i) ask(0);
    EXPECT_FALSE(other.started.empty());
}

TEST_F(CoreTest, AServerThatNamesItsClassesGetsNoOther) {
    auto only = entry("w");
    only.entry.classMask = 1;  // car-match
    core.updateRoster(now, fleet, fleet, RosterMode::full, {only});
    ask(1);
    EXPECT_TRUE(fleet.started.empty());
    ask(0);
    EXPECT_EQ(fleet.started.size(), 1u);
}

// Guards against a second copy of a job where duplicates are not allowed: a cancellation may reach the server
// late, or never.
TEST_F(CoreTest, NothingIsSentAgainAfterACallOffWhereCopiesAreNotAllowed) {
    for (const bool copies : {false, true}) {
        settings::Site strict = site();
        strict.module.mayDuplicate = copies, strict.module.progressInterval = 1s;
        Deadlines due;
        Core own(strict, 5, due);
        Fleet servers;
        own.updateRoster(now, servers, servers, RosterMode::full, {entry("a"), entry("b"), entry("c")});
        Arrival arrival;
        arrival.request.klass = 0, arrival.request.timeLeft = 8s;
        arrival.client = std::make_shared<Client>();
        const TransactionId job = own.arrive(now, std::move(arrival));
        own.passStarted(now, job, 0);
        for (const Time end = now + 7s; now < end; now += 10ms) due.sweep(now);  // no more progress
        EXPECT_EQ(servers.started.size() > 1, copies);
        EXPECT_TRUE(copies || servers.abandoned.empty());
    }
}

TEST_F(CoreTest, ALeavingClientCallsItsPassesOff) {
    core.updateRoster(now, fleet, fleet, RosterMode::full, {entry("a")});
    const auto client = ask(1);
    core.clientLeft(now, id);
    core.clientLeft(now, id);
    EXPECT_EQ(fleet.abandoned.size(), 1u);
    core.passEnded(now, id, 0, End::served, "late");
    EXPECT_EQ(client->answers, 0);
    EXPECT_EQ(core.counters().left, 1u);
}

// --- The HTTP server pool, with a fake network ---
struct Network : wire::Connector {
    void connect(Time, std::shared_ptr<wire::Machine> machine, const std::string& address) override {
        made.push_back(std::move(machine)), addresses.push_back(address);
    }
    std::string take(std::size_t i, Time now) {
        std::string out;
        while (!made[i]->out().empty()) {
            const auto bytes = made[i]->out().pending();
            out.append(bytes.data(), bytes.size());
            made[i]->out().sent(bytes.size());
            made[i]->sent(now);
        }
        return out;
    }
    void give(std::size_t i, Time now, std::string_view bytes) {
        made[i]->in().put(bytes), made[i]->received(now);
    }
    std::vector<std::shared_ptr<wire::Machine>> made;
    std::vector<std::string> addresses;
};

struct PoolTest : CoreTest {
    PoolTest() {
        for (const char* name : {"a", "b"})
            pool.learn(now, core.handleOf(name), name, std::string(name) + ":1");
        core.updateRoster(now, fleet, pool, RosterMode::full, {entry("a"), entry("b")});
    }
    std::shared_ptr<Client> job(std::uint32_t klass, const std::string& trace) {
        auto client = std::make_shared<Client>();
        Arrival arrival;
        arrival.request.klass = klass, arrival.request.timeLeft = 5s;
        arrival.job.className = core.site().classes[klass];
        arrival.job.method = "POST", arrival.job.target = "/x?q=1", arrival.job.traceId = trace,
        arrival.job.body = "b";
        arrival.job.key = klass == 1 ? "key" : "";
        arrival.client = client;
        id = core.arrive(now, std::move(arrival));
        return client;
    }
    std::string call(const std::string& state, const std::string& from, const std::string& trace = "t") {
        return R"({"id":")" + trace + R"(","from":")" + from + R"(","state":")" + state +
               R"(","result":"r\"1"})";
    }
    std::string holder(std::size_t connection) { return network.addresses[connection].substr(0, 1); }
    Network network;
    platform::Servers pool{core, deadlines, network};
};

TEST_F(PoolTest, PassesTheRequestOnUnchanged) {
    job(1, "t");
    ASSERT_EQ(network.made.size(), 1u);
    network.made[0]->opened(now);
    const std::string sent = network.take(0, now);
    EXPECT_EQ(sent.find("POST /x?q=1 HTTP/1.1\r\n"), 0u);
    for (const char* part : {"X-Trace-Id: t\r\n", "Idempotency-Key: key\r\n", "Content-Length: 1\r\n\r\nb"})
        EXPECT_NE(sent.find(part), std::string::npos) << part;
}

// Callbacks may arrive before the 202, more than once, or from another server.
TEST_F(PoolTest, TakesACallbackOnceAndFromTheRightServerOnly) {
    using Call = platform::Servers::Call;
    const auto client = job(0, "t");
    network.made[0]->opened(now);
    network.take(0, now);
    const std::string other = holder(0) == "a" ? "b" : "a";
    EXPECT_EQ(pool.callback(now, call("done", other)), Call::strangers);
    EXPECT_EQ(client->answers, 0);
    EXPECT_EQ(pool.callback(now, call("started", holder(0))), Call::taken);
    EXPECT_EQ(pool.callback(now, call("done", holder(0))), Call::taken);
    EXPECT_EQ(client->last, "served r\"1");
    EXPECT_EQ(pool.callback(now, call("done", holder(0))), Call::strangers);
    EXPECT_EQ(pool.callback(now, call("lost", holder(0))), Call::strangers);
    network.give(0, now, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(client->answers, 1);
    EXPECT_EQ(pool.idle(), 1u);
    EXPECT_EQ(pool.callback(now, "{"), Call::unreadable);
    EXPECT_EQ(pool.callback(now, R"({"id":"t"})"), Call::unreadable);
}

TEST_F(PoolTest, AbandonsByClosingBeforeThe202AndByDeleteAfterIt) {
    job(0, "t");
    network.made[0]->opened(now);
    network.take(0, now);
    core.clientLeft(now, id);
    EXPECT_EQ(network.made.size(), 1u);
    EXPECT_EQ(pool.counters().deletes, 0u);
    job(0, "u");
    ASSERT_EQ(network.made.size(), 2u);  // the closed connection is not reused
    network.made[1]->opened(now);
    network.take(1, now);
    network.give(1, now, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    core.clientLeft(now, id);
    EXPECT_EQ(network.take(1, now).find("DELETE /jobs/u HTTP/1.1\r\n"), 0u);
}

// A server's own 503 must neither reach the client nor count as proof that the job never ran.
TEST_F(PoolTest, ReadsWhatAnAnswerProves) {
    for (const auto& [head, how] : {std::pair{"503 Busy\r\nX-Never-Ran: 1", End::handedBack},
                                    {"504 Late\r\nX-Never-Ran: 1", End::handedBack},
                                    {"503 Busy", End::failed},
                                    {"500 No\r\nX-Never-Ran: 1", End::failed}}) {
        const auto before = core.counters().ends[static_cast<std::size_t>(how)];
        job(1, std::string("t") + head[0] + head[2] + std::to_string(before));
        const std::size_t at = network.made.size() - 1;
        network.made[at]->opened(now);
        network.take(at, now);
        network.give(at, now,
                     "HTTP/1.1 " + std::string(head) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        EXPECT_EQ(core.counters().ends[static_cast<std::size_t>(how)], before + 1) << head;
    }
}

// Guards against writing to a connection that the server is about to close, which ends in a reset.
TEST_F(PoolTest, DropsIdleConnectionsWellBeforeTheServerDoes) {
    job(0, "t");
    network.made[0]->opened(now);
    network.take(0, now);
    network.give(0, now, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(pool.idle(), 1u);
    pass(3010ms);
    EXPECT_EQ(pool.idle(), 0u);
}

// Some servers drop idle connections early and silently. This doesn't count as a fault of the server; its
// connections are kept idle for a shorter time afterwards.
TEST_F(PoolTest, LearnsHowLongAConnectionMayRest) {
    const std::string taken = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    const auto carry = [&](std::size_t at) { network.take(at, now), network.give(at, now, taken); };
    core.updateRoster(now, fleet, pool, RosterMode::incremental, {entry("b", WorkerStatus::off)});
    job(0, "t"), network.made[0]->opened(now), carry(0);
    pass(2s);
    job(0, "u");
    ASSERT_EQ(network.made.size(), 1u);  // the idle connection is reused
    network.take(0, now);
    network.made[0]->ended(now, End::peerReset);
    EXPECT_EQ(core.counters().ends[static_cast<std::size_t>(End::staleSent)], 1u);
    ASSERT_EQ(network.made.size(), 2u);  // a safe job is sent again
    network.made[1]->opened(now), carry(1);
    pass(900ms);
    EXPECT_EQ(pool.idle(), 1u);
    job(0, "v"), carry(1);
    ASSERT_EQ(network.made.size(), 2u);
    pass(1100ms);
    job(0, "w");
    EXPECT_EQ(network.made.size(), 3u);
}

TEST_F(PoolTest, AConnectionThatDoesNotComeUpProvesNothingRan) {
    job(1, "t");
    pass(260ms);
    EXPECT_EQ(core.counters().ends[static_cast<std::size_t>(End::connectTimedOut)], 1u);
    EXPECT_EQ(network.made.size(), 2u);  // a keyed job is sent to another server: it never ran
}

TEST_F(PoolTest, TheWatchGoesOnAtOnceAndTellsWhenItIsLost) {
    platform::Watch watch(core, pool, deadlines, network, "d:1");
    watch.watch(now);
    const std::size_t at = network.made.size() - 1;
    network.made[at]->opened(now);
    EXPECT_EQ(network.take(at, now).find("GET /api/targets HTTP/1.1"), 0u);  // no index is known yet
    const std::string list =
        R"({"index":7,"snapshot":false,"endpoints":[{"name":"a","address":"a:1","zone":"sofia-1","type":"std-4",)"
        R"("group":3,"status":"Terminating","weight":1.0,"since_ms":0}]})";
    network.give(at, now,
                 "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
    EXPECT_FALSE(core.accepts(core.handleOf("a")));
    EXPECT_EQ(network.take(at, now), "");  // the next poll waits for its interval
    pass(50ms);
    EXPECT_EQ(network.take(at, now).find("GET /api/targets?index=7&wait="), 0u);
    const std::string same = R"({"index":7,"snapshot":false,"endpoints":[]})";
    const auto answer = [&](std::size_t to, const std::string& status, const std::string& body) {
        network.give(
            to, now,
            "HTTP/1.1 " + status + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    answer(at, "200 OK\r\n", same);
    EXPECT_EQ(network.take(at, now).find("GET /api/targets?index=7&wait="), 0u);  // polls again at once
    network.made[at]->ended(now, End::peerReset);
    EXPECT_EQ(core.counters().rosterLosses, 1u);
    pass(50ms);
    ASSERT_EQ(network.made.size(), at + 2);
    network.made[at + 1]->opened(now);
    EXPECT_EQ(network.take(at + 1, now).find("GET /api/targets?index=7&wait="), 0u);  // from the last index
    // A Retry-After of a busy service is honoured, and the connection is kept.
    answer(at + 1, "503 Busy\r\nRetry-After: 1.5\r\n", "");
    EXPECT_EQ(core.counters().rosterLosses, 2u);
    pass(1490ms);
    EXPECT_EQ(network.take(at + 1, now), "");
    pass(200ms);
    EXPECT_EQ(network.take(at + 1, now).find("GET /api/targets?index=7&wait="), 0u);
    // A lower index means that the service has restarted its numbering: the full list is requested again.
    answer(at + 1, "200 OK\r\n", R"({"index":2,"snapshot":false,"endpoints":[]})");
    pass(1s);
    EXPECT_EQ(network.take(at + 1, now).find("GET /api/targets HTTP/1.1"), 0u);
    EXPECT_EQ(network.made.size(), at + 2);
    EXPECT_TRUE(core.accepts(core.handleOf("b")));  // the old list stays in effect
}

// Guards against a dispatcher that keeps using its initial list, and against a silent local agent: a server's
// drain must be applied within the drain grace period after the agent answers again.
TEST_F(PoolTest, APushedListIsWatchedFromTheStartAndAgainAfterSilence) {
    settings::Site pushed = site();
    pushed.module.rosterOnRequest = false, pushed.drainGrace = 2s;
    Core own(pushed, 3, deadlines);
    platform::Servers servers(own, deadlines, network);
    platform::Watch watch(own, servers, deadlines, network, "agent:1");
    own.addRosterSource(watch);
    const auto answer = [&](std::size_t at, const std::string& body) {
        network.give(at, now,
                     "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    const auto listing = [](int index, const std::string& status) {
        return R"({"index":)" + std::to_string(index) +
               R"(,"snapshot":true,"endpoints":[{"name":"a","address":"a:1","zone":"z","status":")" + status +
               R"(","weight":1.0,"since_ms":0}]})";
    };
    watch.begin(now, std::nullopt);  // before the first job and without an initial list
    std::size_t at = network.made.size() - 1;
    ASSERT_EQ(network.addresses[at], "agent:1");
    network.made[at]->opened(now);
    EXPECT_EQ(network.take(at, now).find("GET /api/targets HTTP/1.1"), 0u);
    answer(at, listing(7, "Ready"));
    EXPECT_TRUE(own.accepts(own.handleOf("a")));
    for (int calls = 0; calls < 5; ++calls) {  // an immediate answer causes no tight polling loop
        EXPECT_EQ(network.take(at, now), "");
        pass(50ms);
        EXPECT_EQ(network.take(at, now).find("GET /api/targets?index=7&wait=500 "), 0u);
        answer(at, R"({"index":7,"snapshot":false,"endpoints":[]})");
    }
    pass(50ms);
    ASSERT_NE(network.take(at, now), "");
    // The agent and its connections are silent for 6 s. It learns of the drain just after a call was made.
    std::size_t calls = network.made.size();
    pass(6s);
    EXPECT_GE(network.made.size() - calls, 6u);
    EXPECT_LE(network.made.size() - calls, 20u);
    calls = network.made.size();
    const Time told = now;
    while (network.made.size() == calls && now < told + 3s) pass(10ms);
    at = network.made.size() - 1;
    network.made[at]->opened(now);
    EXPECT_EQ(network.take(at, now).find("GET /api/targets HTTP/1.1"), 0u);  // indexes may have restarted
    answer(at, listing(1, "Terminating"));
    EXPECT_FALSE(own.accepts(own.handleOf("a")));
    EXPECT_LE(now - told, 1s);
    EXPECT_GE(own.counters().rosterLosses, 6u);
}

// Guards against updates missed when the discovery address changes: the new service may number its versions
// differently, and its list must be applied within seconds, also when the first calls to it fail.
TEST_F(PoolTest, TheWatchMovesAtOnceAndKeepsTheFarm) {
    platform::Watch watch(core, pool, deadlines, network, "d:1");
    watch.watch(now);
    const std::size_t old = network.made.size() - 1;
    network.made[old]->opened(now);
    network.take(old, now);
    network.give(old, now,
                 "HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n"
                 R"({"index":7,"snapshot":false,"endpoints":[]})");
    watch.move(now, "d:1");  // the same address: no new connection
    EXPECT_EQ(network.made.size(), old + 1);
    watch.move(now, "e:1");
    ASSERT_EQ(network.made.size(), old + 2);
    EXPECT_EQ(network.addresses.back(), "e:1");
    network.made[old + 1]->ended(now, End::connectRefused);
    pass(300ms);
    ASSERT_EQ(network.made.size(), old + 3);
    EXPECT_EQ(core.counters().rosterLosses, 0u);
    network.made[old + 2]->opened(now);
    EXPECT_EQ(network.take(old + 2, now).find("GET /api/targets HTTP/1.1\r\nHost: e:1"), 0u);
    EXPECT_TRUE(core.accepts(core.handleOf("a")));
    network.give(old + 2, now,
                 "HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n"
                 R"({"index":2,"snapshot":false,"endpoints":[]})");
    pass(50ms);
    EXPECT_EQ(network.take(old + 2, now).find("GET /api/targets?index=2&wait="), 0u);
}

// A successor process inherits the roster state of its predecessor: initial list, changes and version.
TEST_F(PoolTest, TheWatchHandsItsListOnAsItStands) {
    const auto entry = [](const std::string& name, const std::string& status) {
        return R"({"name":")" + name + R"(","address":")" + name + R"(:1","zone":"z","status":")" + status +
               R"(","weight":2.0,"since_ms":7})";
    };
    const auto list = [](int index, bool whole, const std::string& entries) {
        return R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (whole ? "true" : "false") +
               R"(,"endpoints":[)" + entries + "]}";
    };
    platform::Watch watch(core, pool, deadlines, network, "d:1");
    watch.keep();
    simdjson::dom::parser parser;
    watch.known(
        now,
        parser
            .parse(list(4, true, entry("p", "Ready") + ',' + entry("q", "Ready") + ',' + entry("r", "Ready")))
            .get_object()
            .value());
    watch.watch(now);
    const std::size_t at = network.made.size() - 1;
    network.made[at]->opened(now), network.take(at, now);
    const std::string news = list(5, false, entry("q", "Terminating") + ',' + entry("r", "Gone"));
    network.give(at, now,
                 "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(news.size()) + "\r\n\r\n" + news);
    const std::string told = watch.told();
    EXPECT_EQ(told.find(R"({"index":5,"snapshot":true,"endpoints":[)"), 0u) << told;

    Core next(site(), 1, deadlines);
    platform::Servers nextPool(next, deadlines, network);
    platform::Watch after(next, nextPool, deadlines, network, "d:1");
    after.known(now, parser.parse(list(1, true, entry("r", "Ready"))).get_object().value());
    after.inherit(now, told);
    EXPECT_TRUE(next.accepts(next.handleOf("p")));
    EXPECT_FALSE(next.accepts(next.handleOf("q")));  // it drains at the successor, too
    EXPECT_FALSE(next.accepts(next.handleOf("r")));
    EXPECT_EQ(next.listedServers(), 2u);
    after.watch(now);
    const std::size_t asks = network.made.size() - 1;
    network.made[asks]->opened(now);
    EXPECT_EQ(network.take(asks, now).find("GET /api/targets?index=5&wait="), 0u);
    network.made[at]->ended(now, End::peerReset);  // the old watch is lost; its list and index are kept
    EXPECT_EQ(watch.told().find(R"({"index":5,)"), 0u);
    after.inherit(now, R"({"index":9,"snapshot":true,"endpoints":[]})");  // from a predecessor without a list
    EXPECT_EQ(next.listedServers(), 2u);
    EXPECT_THROW(after.inherit(now, "{"), settings::BadField);
    EXPECT_THROW(after.inherit(now, R"({"endpoints":[{"name":1}]})"), settings::BadField);
}

// --- The HTTP front: which requests it accepts ---
struct FrontTest : PoolTest {
    std::string say(const std::string& request) {
        const auto machine = front.accept(now);
        machine->in().put(request);
        machine->received(now);
        network.made.push_back(machine);
        return network.take(network.made.size() - 1, now);
    }
    explicit FrontTest() { service.begin(now); }
    service::Service service;
    platform::Front front{core, pool, deadlines, service};
};

TEST_F(FrontTest, AnswersWhatItCanNotTakeClearly) {
    const auto status = [this](const std::string& request) { return say(request).substr(9, 3); };
    EXPECT_EQ(status("GET /-/ready HTTP/1.1\r\n\r\n"), "200");
    EXPECT_EQ(status("GET /car-match HTTP/1.1\r\n\r\n"), "405");
    EXPECT_EQ(status("POST /render HTTP/1.1\r\nX-Trace-Id: 1\r\n\r\n"), "404");
    EXPECT_EQ(status("POST /car-match HTTP/1.1\r\n\r\n"), "400");
    EXPECT_EQ(status("POST /car-match HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Expires-In-Ms: soon\r\n\r\n"), "400");
    EXPECT_EQ(status("POST /callback HTTP/1.1\r\nContent-Length: 1\r\n\r\n{"), "400");
    EXPECT_EQ(status("POST /callback HTTP/1.1\r\nContent-Length: " +
                     std::to_string(call("done", "z").size()) + "\r\n\r\n" + call("done", "z")),
              "204");
}

TEST_F(FrontTest, TurnsNewJobsAwayOnceTheHandOverIsOver) {
    service.end(now);
    auto request = [n = 0]() mutable {
        return "POST /car-match HTTP/1.1\r\nX-Trace-Id: " + std::to_string(++n) + "\r\n\r\n";
    };
    EXPECT_EQ(say(request()), "");  // still accepted: clients arrive for a while
    EXPECT_EQ(core.openTransactions(), 1u);
    EXPECT_EQ(say("GET /-/ready HTTP/1.1\r\n\r\n").substr(9, 3), "503");
    pass(2700ms);
    EXPECT_EQ(say(request()), "");  // a connected client may know no other running dispatcher
    EXPECT_FALSE(front.handedOver(now));
    pass(200ms);
    EXPECT_TRUE(front.handedOver(now));
    const std::string answer = say(request());
    EXPECT_EQ(answer.substr(9, 3), "503");
    EXPECT_NE(answer.find("Retry-After: 0.1"), std::string::npos);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

// Guards against requests that are still unread when the process exits.
TEST_F(FrontTest, ClosesIdleConnectionsWhenTheHandOverIsOver) {
    const auto busy = front.accept(now);
    busy->in().put("POST /car-match HTTP/1.1\r\nX-Trace-Id: 1\r\n\r\n");
    busy->received(now);
    say("GET /-/ready HTTP/1.1\r\n\r\n");  // idle after the answer
    const auto rests = network.made.back();
    service.end(now);
    pass(2790ms);
    EXPECT_EQ(front.open(), 2u);
    EXPECT_FALSE(rests->finished());
    pass(20ms);
    EXPECT_TRUE(rests->finished());  // closed: a later request is not processed, so the client may repeat it
    rests->in().put("POST /car-match HTTP/1.1\r\nX-Trace-Id: 2\r\n\r\n"), rests->received(now);
    EXPECT_EQ(core.counters().taken, 1u);
    pass(http::Server::kLinger);
    EXPECT_EQ(front.open(), 1u);  // the one that is owed an answer stays
    EXPECT_FALSE(front.quiet());
}

// Job ids in use by another process of this dispatcher are rejected as long as callbacks for them may arrive.
TEST_F(FrontTest, RefusesIdsInUseAtTheOtherProcess) {
    const auto request = [](const std::string& trace) {
        return "POST /car-match HTTP/1.1\r\nX-Trace-Id: " + trace + "\r\n\r\n";
    };
    front.claimElsewhere(now, {"x"});
    EXPECT_EQ(say(request("x")).substr(9, 3), "409");
    EXPECT_EQ(say(request("y")), "");
    const auto ids = front.idsInUse();
    EXPECT_EQ(std::set<std::string>(ids.begin(), ids.end()), (std::set<std::string>{"x", "y"}));
    pass(11s);
    EXPECT_EQ(say(request("x")), "");
}

// The drain that can be reverted: after 4 s no client connection is idle or carries a young job, no request
// that has arrived is rejected because of it, and connections of job servers and of the platform stay open.
struct DrainTest : FrontTest {
    struct Peer : wire::Driver {
        void wake() override {}
        void drop() override { dropped = true; }
        bool unread() const override { return crossing; }
        std::shared_ptr<wire::Machine> machine;
        bool dropped = false, crossing = false;
    };
    std::unique_ptr<Peer> peer() {
        auto out = std::make_unique<Peer>();
        out->machine = front.accept(now);
        out->machine->attach(out.get());
        return out;
    }
    std::string tell(Peer& to, const std::string& request) {
        to.machine->in().put(request);
        to.machine->received(now);
        network.made.push_back(to.machine);
        return network.take(network.made.size() - 1, now);
    }
    static std::string job(const std::string& id) {
        return "POST /car-match HTTP/1.1\r\nX-Trace-Id: " + id + "\r\n\r\n";
    }
    const std::string ready = "GET /-/ready HTTP/1.1\r\n\r\n",
                      callback = "POST /callback HTTP/1.1\r\nContent-Length: 1\r\n\r\n{",
                      unreadable = "POST /render HTTP/1.1\r\nX-Trace-Id: 1\r\n\r\n";
};

TEST_F(DrainTest, BringsClientsConnectionsToAnEndAndLeavesTheOthers) {
    const auto client = peer(), idle = peer(), prober = peer(), server = peer(), crossing = peer();
    EXPECT_EQ(tell(*client, unreadable).find("Connection: close"), std::string::npos);
    tell(*idle, unreadable), tell(*crossing, unreadable), tell(*server, callback);
    EXPECT_EQ(tell(*prober, ready).substr(9, 3), "200");
    service.outOfService(now);
    EXPECT_EQ(tell(*prober, ready).substr(9, 3), "503");
    EXPECT_NE(tell(*client, unreadable).find("Connection: close"), std::string::npos);
    EXPECT_EQ(tell(*server, callback).find("Connection: close"), std::string::npos);
    pass(1690ms);
    EXPECT_FALSE(idle->dropped || idle->machine->finished());
    crossing->crossing = true;  // a request has arrived and is not read yet
    pass(20ms);
    EXPECT_TRUE(idle->machine->finished());
    for (const auto* other : {&prober, &server, &crossing})
        EXPECT_FALSE((*other)->dropped || (*other)->machine->finished());
    crossing->crossing = false;
    EXPECT_EQ(tell(*crossing, job("1")), "");  // accepted
    EXPECT_EQ(core.openTransactions(), 1u);
    pass(100ms);
    const auto late = peer();  // the load balancer has stopped, but a client may still arrive for a moment
    pass(200ms);
    EXPECT_EQ(tell(*late, job("2")).substr(9, 3), "503");  // would be younger than 2 s at 4 s
    EXPECT_EQ(core.counters().byClass[0].declined, 1u);
}

TEST_F(DrainTest, LeavesNothingOverWhenTakenBack) {
    const auto client = peer(), other = peer();
    tell(*client, unreadable), tell(*other, unreadable);
    service.outOfService(now);
    pass(1s);
    service.inService(now);
    EXPECT_EQ(tell(*client, unreadable).find("Connection: close"), std::string::npos);
    EXPECT_EQ(tell(*client, ready).substr(9, 3), "200");
    pass(5s);
    for (const auto* one : {&client, &other}) EXPECT_FALSE((*one)->dropped || (*one)->machine->finished());
    EXPECT_EQ(tell(*other, job("1")), "");
    EXPECT_EQ(core.openTransactions(), 1u);
}

TEST_F(DrainTest, AnEndGoesBeforeADrain) {
    service.outOfService(now);
    pass(1s);
    service.end(now);
    const auto client = peer();
    pass(2000ms);
    EXPECT_EQ(tell(*client, job("1")), "");  // the schedule of the shutdown applies
    EXPECT_FALSE(front.handedOver(now));
    pass(1s);
    EXPECT_TRUE(front.handedOver(now));
}

// Guards against a duration hint read in the wrong unit: all estimates depend on it.
TEST_F(FrontTest, ReadsWhatAJobNeeds) {
    http::Message message;
    message.method = "POST", message.target = "/car-match";
    message.headers = {{"x-trace-id", "1"}, {"x-size-hint", "439055"}, {"x-props", "slots=2,memory=0.452"}};
    platform::BadJob bad;
    const auto job = platform::readJob(core.site(), message, bad);
    ASSERT_TRUE(job);
    EXPECT_EQ(job->request.durationHint, std::chrono::microseconds(439055));
    EXPECT_EQ(job->request.slots, 2);
    EXPECT_EQ(job->request.memory, 0.452);
}

// Guards against many idle peers using up the file descriptors of clients with jobs.
TEST_F(FrontTest, ClosesWhoHasShownLeastWhenShort) {
    using platform::Front;
    const auto busy = front.accept(now), client = front.accept(now), stranger = front.accept(now),
               silent = front.accept(now);
    const auto tell = [&](const std::shared_ptr<wire::Machine>& machine, const std::string& request) {
        machine->in().put(request);
        machine->received(now);
        network.made.push_back(machine);
        network.take(network.made.size() - 1, now);
    };
    tell(busy, "POST /car-match HTTP/1.1\r\nX-Trace-Id: 1\r\n\r\n");
    tell(client, "POST /callback HTTP/1.1\r\nContent-Length: 1\r\n\r\n{");
    tell(stranger, "GET /-/ready HTTP/1.1\r\n\r\n");
    struct Leaver : wire::Driver {
        void wake() override {}
        void drop() override { order.push_back(name); }
        Leaver(std::string& o, char n) : order(o), name(n) {}
        std::string& order;
        char name;
    };
    std::string order;
    Leaver a(order, 'c'), b(order, 's'), c(order, '-');
    client->attach(&a), stranger->attach(&b), silent->attach(&c);
    EXPECT_TRUE(front.relieve(now, Front::stranger));
    EXPECT_FALSE(front.relieve(now, Front::stranger));  // the silent one has only just connected
    now += 400ms;
    EXPECT_TRUE(front.relieve(now, Front::stranger));
    EXPECT_FALSE(front.relieve(now, Front::stranger));
    EXPECT_TRUE(front.relieve(now));
    EXPECT_FALSE(front.relieve(now));  // the one that is owed an answer stays
    EXPECT_EQ(order, "s-c");
    EXPECT_EQ(front.open(), 1u);
}

// Guards against incomplete requests that hold descriptors while clients wait for one.
TEST_F(FrontTest, CutsLongHalfMessagesOffWhenShort) {
    const auto half = front.accept(now);
    half->in().put("POST /car-match HTTP/1.1\r\nX-Tr");
    half->received(now);
    front.hurry(now + 200ms);
    EXPECT_TRUE(half->out().empty());
    front.hurry(now + 600ms);
    EXPECT_TRUE(half->finished());
    EXPECT_FALSE(half->out().empty());
}

// Guards against a second job with the id of an open one, whose callbacks could not be told apart.
TEST_F(FrontTest, RefusesTheIdOfAnotherJobAndLeavesThatUnharmed) {
    const std::string request = "POST /car-match HTTP/1.1\r\nX-Trace-Id: t\r\nContent-Length: 0\r\n\r\n";
    const auto first = front.accept(now);
    first->in().put(request);
    first->received(now);
    ASSERT_EQ(network.made.size(), 1u);
    network.made[0]->opened(now), network.take(0, now);
    const std::string second = say(request);
    EXPECT_EQ(second.substr(9, 3), "409");
    EXPECT_NE(second.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(core.counters().passes, 1u);
    EXPECT_EQ(pool.callback(now, call("done", holder(0))), platform::Servers::Call::taken);
    network.made.push_back(first);
    EXPECT_EQ(network.take(network.made.size() - 1, now).substr(9, 3), "200");
    EXPECT_EQ(say(request).substr(9, 3), "409");  // its callback may still be repeated
    now += 11s;
    EXPECT_EQ(say(request), "");
}

// Guards against forwarding requests on which a server would close the connection, with all jobs on it.
TEST_F(FrontTest, PassesNothingOnThatAServerCouldNotRead) {
    const std::size_t before = network.made.size();
    const auto status = [this](const std::string& path, const std::string& headers) {
        return say("POST " + path + " HTTP/1.1\r\n" + headers + "\r\n").substr(9, 3);
    };
    const std::string trace = "X-Trace-Id: 1\r\n", key = "Idempotency-Key: k\r\n";
    EXPECT_EQ(status("/car-match", ""), "400");
    EXPECT_EQ(status("/car-match", "X-Trace-Id:\r\n"), "400");
    EXPECT_EQ(status("/car-match", "X-Trace-Id: a/b\r\n"), "400");
    EXPECT_EQ(status("/car-match", "X-Trace-Id: " + std::string(200, 'a') + "\r\n"), "400");
    EXPECT_EQ(status("/car-match", trace + trace), "400");
    EXPECT_EQ(status("/car-match2", trace + "X-Qos: car-match2\r\n"), "404");
    EXPECT_EQ(status("/job-assign", trace + key + "X-Qos: car-match\r\n"), "400");
    EXPECT_EQ(status("car-match", trace + "X-Qos: car-match\r\n"), "400");
    for (const char* left : {"soon", "-5", "", "0", "1.5", "nan", "99999999999999999999999"})
        EXPECT_EQ(status("/car-match", trace + "X-Expires-In-Ms: " + left + "\r\n"), "400") << left;
    EXPECT_EQ(status("/job-assign", trace), "400");
    EXPECT_EQ(status("/car-match", trace + "X-Props: slots=nan\r\n"), "400");
    EXPECT_EQ(status("/car-match", trace + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"), "400");
    EXPECT_EQ(status("/car-match", trace + "Content-Length: 60000000\r\n"), "413");
    EXPECT_EQ(network.made.size() - before, 19u);  // connections of the test, none to a server
    EXPECT_EQ(core.counters().taken, 0u);
}

// Guards against peers that repeat a rejected request immediately.
TEST_F(FrontTest, TellsWhoRepeatsAFaultToWait) {
    const auto peer = front.accept(now);
    network.made.push_back(peer);
    const std::size_t at = network.made.size() - 1;
    for (int i = 0; i < 8; ++i) {
        network.give(at, now, "POST /render HTTP/1.1\r\nX-Trace-Id: 1\r\n\r\n");
        EXPECT_EQ(network.take(at, now).substr(9, 3), "404");
    }
    network.give(at, now, "POST /render HTTP/1.1\r\nX-Trace-Id: 1\r\n\r\n");
    const std::string last = network.take(at, now);
    EXPECT_EQ(last.substr(9, 3), "429");
    EXPECT_NE(last.find("Retry-After: "), std::string::npos);
    EXPECT_TRUE(peer->finished());
}

// Guards against many incomplete requests that together exceed the memory limit.
TEST_F(FrontTest, BoundsWhatHalfMessagesHold) {
    front.setRoom(20'000);
    std::vector<std::shared_ptr<wire::Machine>> peers;
    std::string answers;
    for (int i = 0; i < 12; ++i) {
        peers.push_back(front.accept(now));
        peers.back()->in().put("POST /car-match HTTP/1.1\r\nX-Trace-Id: 1\r\nContent-Length: 60000\r\n\r\n" +
                               std::string(3000, 'x'));
        peers.back()->received(now);
        network.made.push_back(peers.back());
        answers += network.take(network.made.size() - 1, now).substr(0, 12);
    }
    EXPECT_NE(answers.find("HTTP/1.1 503"), std::string::npos);
    EXPECT_GT(front.counters().noRoom, 3u);
    EXPECT_LT(front.counters().noRoom, 9u);
    for (const auto& peer : peers) peer->ended(now, End::peerReset);  // their buffers are free again
    const auto next = front.accept(now);
    next->in().put("POST /car-match HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + std::string(3000, 'x'));
    next->received(now);
    EXPECT_TRUE(next->out().empty());
}

}  // namespace
}  // namespace amberswitch
