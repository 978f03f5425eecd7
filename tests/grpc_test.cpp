// gRPC passed through, on loopback with stand-in servers and clients: what must reach the client, what may be
// sent again, and the hard cases of streams, drains and deadlines. The clock is the test's own.
#include "standins/grpc.hpp"

#include <gtest/gtest.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "grpc/front.hpp"
#include "grpc/servers.hpp"
#include "world.hpp"

namespace amberswitch::grpc {
namespace {

using heronmount::DedupScope;
using heronmount::Idempotency;
using standins::GrpcClient;
using standins::GrpcServer;
using standins::Part;
using standins::Play;

// --- the table, and what is read and written by hand ---
TEST(Status, TimeoutsOfAllUnits) {
    EXPECT_EQ(readTimeout("1H"), Nanos(1h));
    EXPECT_EQ(readTimeout("2M"), Nanos(2min));
    EXPECT_EQ(readTimeout("3S"), Nanos(3s));
    EXPECT_EQ(readTimeout("4m"), Nanos(4ms));
    EXPECT_EQ(readTimeout("5u"), Nanos(5us));
    EXPECT_EQ(readTimeout("6n"), Nanos(6));
    EXPECT_EQ(readTimeout("99999999S"), Nanos(99999999s));
    EXPECT_GT(*readTimeout("99999999H"), Nanos(1h));
    for (const char* bad : {"", "1", "S", "1s", "-1S", "1.5S", "123456789S", " 1S", "1 S", "+1S"})
        EXPECT_EQ(readTimeout(bad), std::nullopt) << bad;
    for (const Nanos left : {Nanos(1), Nanos(1500), Nanos(1500ms), Nanos(3h), Nanos(20'000h)}) {
        const auto read = readTimeout(writeTimeout(left));
        ASSERT_TRUE(read);
        EXPECT_LE(*read, std::max(left, Nanos(1us)));
        EXPECT_GE(*read, left - left / 1000 - 1us);
    }
}

TEST(Status, MapsAsThePublishedPagesSay) {
    EXPECT_EQ(ofHttp("400"), Status::internal);
    EXPECT_EQ(ofHttp("401"), Status::unauthenticated);
    EXPECT_EQ(ofHttp("403"), Status::permissionDenied);
    EXPECT_EQ(ofHttp("404"), Status::unimplemented);
    for (const char* gone : {"429", "502", "503", "504"}) EXPECT_EQ(ofHttp(gone), Status::unavailable);
    EXPECT_EQ(ofHttp("418"), Status::unknown);
    EXPECT_EQ(ofReset(http2::Code::refusedStream), Status::unavailable);
    EXPECT_EQ(ofReset(http2::Code::cancel), Status::cancelled);
    EXPECT_EQ(ofReset(http2::Code::enhanceYourCalm), Status::resourceExhausted);
    EXPECT_EQ(ofReset(http2::Code::inadequateSecurity), Status::permissionDenied);
    EXPECT_EQ(ofReset(http2::Code::protocolError), Status::internal);
    EXPECT_EQ(statusOf("5"), Status::notFound);
    EXPECT_EQ(statusOf("77"), Status::unknown);
    EXPECT_EQ(statusOf("x"), std::nullopt);
    int faults = 0;
    for (int i = 0; i < kStatuses; ++i) faults += isFault(static_cast<Status>(i));
    EXPECT_EQ(faults, 4);
    EXPECT_EQ(percentEncoded("50% of\nü"), "50%25 of%0A%C3%BC");
}

TEST(Status, LoadReportsInBothForms) {
    const std::string text = "TEXT inflight=7, queue=2, util=0.61",
                      json = R"(JSON {"inflight":7,"queue":2,"util":0.61})", odd = "BIN abc";
    for (const std::string* form : {&text, &json}) {
        const LoadReport load = readLoad(form);
        EXPECT_EQ(load.inFlight, 7);
        EXPECT_EQ(load.queued, 2);
        EXPECT_EQ(load.busy, 0.61);
    }
    EXPECT_EQ(readLoad(&odd).inFlight, -1);
    EXPECT_EQ(readLoad(nullptr).inFlight, -1);
}

// --- the world ---
struct GrpcTest : testing::Test, wire::Connector {
    static settings::Site makeSite() {
        settings::Site s = site();
        s.classes.push_back("charge");
        s.module.classes.push_back(s.module.classes[1]);
        s.module.classes[2].idempotency = Idempotency::unsafe;
        s.tenants = {"maritsa-taxi"};
        s.module.tenants.resize(1);
        settings::addWire(s);
        return s;
    }
    static Config makeConfig() {
        Config c;
        c.listen = "127.0.0.1:0";
        c.routes = {{"/taxi.Dispatch/Match", 0, 1, false},
                    {"/taxi.Dispatch/Assign", 1, 1, false},
                    {"/taxi.Dispatch/Charge", 2, 1, false},
                    {"/taxi.Keys/", 0, 1, true}};
        c.keepalive = Nanos(0);
        return c;
    }
    void connect(Time, std::shared_ptr<wire::Machine> machine, const std::string& address) override {
        if (connects) net::Link::connect(loop, std::move(machine), *net::endpointOf(address));
    }
    bool until(const std::function<bool()>& done) {
        const auto guard = std::chrono::steady_clock::now() + 10s;  // a failure's bound, not a proof
        while (!done() && std::chrono::steady_clock::now() < guard) loop.poll();
        return done();
    }
    void pass(Nanos time, Nanos step = 50ms) {
        for (Nanos done{0}; done < time; done += step) {
            now += step;
            for (int i = 0; i < 20; ++i) loop.poll();
        }
    }
    GrpcServer& addServer(GrpcServer::Script script) {
        servers.push_back(std::make_unique<GrpcServer>(loop, std::move(script)));
        ServerEntry entry;
        entry.name = "g" + std::to_string(servers.size()), entry.address = servers.back()->address();
        entry.cell = static_cast<int>(servers.size());
        config.servers.push_back(entry);
        pool.configure(now, config);
        return *servers.back();
    }
    GrpcServer& addServer(Play play) {
        return addServer([play](const GrpcServer::Execution&, std::size_t) { return play; });
    }
    GrpcServer& addServer(Part part) {
        Play play;
        play.part = part;
        return addServer(play);
    }
    GrpcClient& client() {
        clients.push_back(std::make_unique<GrpcClient>(loop, listener.address()));
        return *clients.back();
    }
    static GrpcClient::Ask assign(const std::string& key) {
        GrpcClient::Ask ask;
        ask.path = "/taxi.Dispatch/Assign", ask.metadata = {{"idempotency-key", key}};
        return ask;
    }
    // The outcome of one call on a client of its own.
    GrpcClient::Outcome ended(const GrpcClient::Ask& ask = {}) {
        GrpcClient& c = client();
        c.call(now, ask);
        EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
        EXPECT_EQ(c.outcomes[0].statuses, 1);
        return c.outcomes[0];
    }
    std::uint64_t ends(End how) const { return core.counters().ends[static_cast<std::size_t>(how)]; }
    void expectEmpty() {
        EXPECT_TRUE(until([&] {
            return core.openTransactions() == 0 && pool.openPasses() == 0 && front.counters().calls.open == 0;
        })) << core.openTransactions()
            << ' ' << pool.openPasses() << ' ' << front.counters().calls.open;
        const auto& c = core.counters();
        EXPECT_EQ(c.taken, c.served + c.unavailable + c.failed + c.left);
        EXPECT_EQ(c.withheld, 0u);
    }

    Time now{1'000'000'000'000};
    net::Loop loop{[this] { return now; }};
    bool connects = true;
    Core core{makeSite(), 11, loop.deadlines()};
    Config config = makeConfig();
    Servers pool{core, loop.deadlines(), *this, config, 5};
    Front front{core, loop.deadlines(), config};
    net::Listener listener{loop, kAnyPort, [this](Time at) { return front.accept(at); }};
    std::vector<std::unique_ptr<GrpcServer>> servers;
    std::vector<std::unique_ptr<GrpcClient>> clients;
};

// --- what passes through ---
TEST_F(GrpcTest, MetadataAndTrailersArriveByteForByte) {
    Play play;
    play.status = 0;
    play.head = {{"x-first", "1"}, {"grpc-encoding", "gzip"}, {"x-bin", "AAEC"}, {"x-first", "2"}};
    play.trailers = {{"grpc-message", "caf%C3%A9 50%25"},
                     {"grpc-status-details-bin", "CAUSBG9vcHM"},
                     {"x-t", "b"},
                     {"x-t", "a"}};
    GrpcServer& server = addServer(play);
    GrpcClient::Ask ask;
    ask.metadata = {{"x-req", "1"},         {"x-req-bin", "AA=="},         {"x-req", "0"},
                    {"grpc-timeout", "3S"}, {"grpc-encoding", "identity"}, {"grpc-accept-encoding", "gzip"}};
    const auto got = ended(ask);
    EXPECT_EQ(got.status, 0);
    const http2::Fields head = {{":status", "200"}, {"content-type", "application/grpc+proto"},
                                {"x-first", "1"},   {"grpc-encoding", "gzip"},
                                {"x-bin", "AAEC"},  {"x-first", "2"}};
    EXPECT_EQ(got.head, head);
    http2::Fields tail = play.trailers;
    tail.insert(tail.begin(), {"grpc-status", "0"});
    EXPECT_EQ(got.trailers, tail);
    std::string bytes = got.bytes;
    EXPECT_EQ(standins::messages(bytes), std::vector<std::string>{"job"});
    http2::Fields sent = server.ledger[0].head;
    const auto timeout = readTimeout(*http2::find(sent, "grpc-timeout"));
    ASSERT_TRUE(timeout);
    EXPECT_LT(*timeout, Nanos(3s));
    EXPECT_GT(*timeout, Nanos(2900ms));
    std::erase_if(sent, [](const auto& f) {
        return f.first[0] == ':' || f.first == "te" || f.first == "grpc-timeout" || f.first == "content-type";
    });
    std::erase_if(ask.metadata, [](const auto& f) { return f.first == "grpc-timeout"; });
    EXPECT_EQ(sent, ask.metadata);
    expectEmpty();
}

TEST_F(GrpcTest, AnApplicationsStatusIsAnAnswer) {
    Play play;
    play.part = Part::trailersOnly, play.status = 5, play.trailers = {{"grpc-message", "no such rider"}};
    addServer(play);
    const auto got = ended();
    EXPECT_EQ(got.status, 5);
    EXPECT_TRUE(got.trailersOnly);
    EXPECT_EQ(*http2::find(got.trailers, "grpc-message"), "no such rider");
    EXPECT_EQ(core.counters().served, 1u);
    EXPECT_EQ(core.counters().passes, 1u) << "it is not tried elsewhere";
    EXPECT_EQ(got.pushback(), -2);
    expectEmpty();
}

TEST_F(GrpcTest, AllFourKindsOfStreamingPass) {
    GrpcServer& server = addServer(Part::answer);
    GrpcClient& c = client();
    GrpcClient::Ask ask;
    ask.payloads = {}, ask.ends = false;
    const auto both = c.call(now, ask);  // two-way: each message is answered before the next is sent
    for (int i = 0; i < 5; ++i) {
        c.send(now, both, "m" + std::to_string(i));
        ASSERT_TRUE(until([&] {
            std::string bytes = c.outcomes[both].bytes;
            return standins::messages(bytes).size() == static_cast<std::size_t>(i + 1);
        }));
    }
    c.end(now, both);
    ASSERT_TRUE(until([&] { return c.outcomes[both].closed; }));
    EXPECT_EQ(c.outcomes[both].status, 0);
    EXPECT_EQ(server.ledger[0].messages, 5u);
    Play many;
    many.part = Part::stream, many.count = 64, many.bytes = 64 * 1024;
    addServer(many);
    config.servers.erase(config.servers.begin());
    pool.configure(now, config);
    GrpcClient::Ask upload;
    upload.payloads = {std::string(4 * 1024 * 1024, 'u')};
    const auto got = ended(upload);
    EXPECT_EQ(got.status, 0);
    EXPECT_EQ(got.received, 64u * (64 * 1024 + 5));
    expectEmpty();
}

TEST_F(GrpcTest, AMessageOfFourMebibytesIsNeverHeldWhole) {
    GrpcServer& server = addServer(Part::answer);
    GrpcClient& c = client();
    GrpcClient::Ask ask;
    ask.payloads = {std::string(4 * 1024 * 1024, 'u')};
    c.call(now, ask);
    std::size_t most = 0;
    ASSERT_TRUE(until([&] {
        most = std::max(most, front.held());
        return c.outcomes[0].closed;
    }));
    EXPECT_EQ(server.ledger[0].bytes, 4u * 1024 * 1024 + 5);
    EXPECT_LE(most, 128u * 1024);
    EXPECT_GT(most, 0u);
    EXPECT_EQ(core.counters().committed, 1u);
}

TEST_F(GrpcTest, AReaderThatStopsHoldsLittleAndDelaysNoOther) {
    Play many;
    many.part = Part::stream, many.count = 64, many.bytes = 64 * 1024;
    addServer(many);
    GrpcClient& c = client();
    GrpcClient::Ask stops;
    stops.reads = false;
    c.call(now, stops);
    EXPECT_TRUE(until([&] { return c.outcomes[0].received > 60'000; }));
    for (int i = 0; i < 300; ++i) loop.poll();
    EXPECT_LE(front.held(), 128u * 1024);
    EXPECT_GE(front.held(), 32u * 1024);
    const auto other = c.call(now, {});  // on the same connections
    ASSERT_TRUE(until([&] { return c.outcomes[other].closed; }));
    EXPECT_EQ(c.outcomes[other].received, 64u * (64 * 1024 + 5));
    EXPECT_FALSE(c.outcomes[0].closed);
    c.readOn(now, 0);
    ASSERT_TRUE(until([&] { return c.outcomes[0].closed; }));
    EXPECT_EQ(c.outcomes[0].status, 0);
    EXPECT_EQ(c.outcomes[0].received, 64u * (64 * 1024 + 5));
    expectEmpty();
}

// --- what is refused at the door ---
TEST_F(GrpcTest, BadCallsGetTheirStatusAtOnce) {
    GrpcServer& server = addServer(Part::answer);
    const auto status = [&](GrpcClient::Ask ask) { return static_cast<Status>(ended(ask).status); };
    GrpcClient::Ask ask;
    ask.path = "/taxi.Other/Match";
    EXPECT_EQ(status(ask), Status::unimplemented);
    ask = {};
    ask.metadata = {{"grpc-timeout", "1s"}};
    EXPECT_EQ(status(ask), Status::invalidArgument);
    ask.metadata = {{"grpc-timeout", "0S"}};
    EXPECT_EQ(status(ask), Status::deadlineExceeded);
    ask.metadata = {{"x-customer", "nobody"}};
    EXPECT_EQ(status(ask), Status::invalidArgument);
    ask.metadata = {{"x-customer", "maritsa-taxi"}};
    EXPECT_EQ(status(ask), Status::ok);
    ask = assign("");
    ask.metadata.clear();
    EXPECT_EQ(status(ask), Status::invalidArgument);
    ask = {};
    ask.path = "/taxi.Keys/Any";
    EXPECT_EQ(status(ask), Status::invalidArgument);
    ask.metadata = {{"idempotency-key", "k"}};
    EXPECT_EQ(status(ask), Status::ok);
    EXPECT_EQ(server.ledger.size(), 2u);
    EXPECT_EQ(front.counters().badCalls, 4u);
    EXPECT_EQ(front.counters().noRoute, 1u);
    expectEmpty();
}

TEST_F(GrpcTest, ACallGoesToNoServerOfAnotherWire) {
    struct Others : ApplicationServers {
        void start(Time, const ProxyPass&) override { ++passes; }
        void abandon(Time, const ProxyPass&) override {}
        void closeIdle(Time, Worker) override {}
        void probe(Time, Worker) override {}
        int passes = 0;
    } others;
    RosterSource source;
    RosterServer entry;
    entry.name = "http-1";
    core.updateRoster(now, source, others, RosterMode::full, {entry});
    GrpcClient& c = client();
    c.call(now, {});
    EXPECT_TRUE(until([&] { return core.counters().taken == 1; }));
    pass(1s);
    EXPECT_EQ(others.passes, 0);
    GrpcServer& server = addServer(Part::answer);
    pass(200ms);
    EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
    EXPECT_EQ(c.outcomes[0].status, 0);
    Arrival plain;  // and a job of the plain wire goes to none of gRPC
    plain.request.timeLeft = 1s;
    core.arrive(now, std::move(plain));
    EXPECT_EQ(others.passes, 1);
    EXPECT_EQ(server.ledger.size(), 1u);
}

// --- deadlines ---
TEST_F(GrpcTest, ADeadlineShorterThanTheClassesEndsTheCallOnce) {
    GrpcServer& server = addServer(Part::stall);
    GrpcClient& c = client();
    GrpcClient::Ask ask;
    ask.metadata = {{"grpc-timeout", "700m"}};
    c.call(now, ask);
    ask = assign("k");
    ask.metadata.push_back({"grpc-timeout", "900m"});
    c.call(now, ask);
    EXPECT_TRUE(until([&] { return server.ledger.size() == 2; }));
    pass(600ms);
    EXPECT_EQ(c.unanswered(), 2u);
    pass(400ms, 5ms);
    EXPECT_TRUE(until([&] { return c.unanswered() == 0; }));
    for (const auto& outcome : c.outcomes) {
        EXPECT_EQ(outcome.status, 4);
        EXPECT_EQ(outcome.statuses, 1);
        EXPECT_LE(outcome.at, Time(1'000'000'000'000) + 900ms);
    }
    EXPECT_EQ(c.outcomes[1].pushback(), -1);
    EXPECT_TRUE(until([&] { return server.open() == 0; })) << "the passes are called off";
    EXPECT_TRUE(server.ledger[0].cancelled && server.ledger[1].cancelled);
    expectEmpty();
}

// A retry is decided when next to nothing of the time is left: what is sent must carry what remains, and the
// call ends by its deadline all the same.
TEST_F(GrpcTest, ADeadlineThatPassesAroundARetry) {
    Play late;
    late.part = Part::trailersOnly, late.status = 13, late.after = 470ms;
    GrpcServer &one = addServer(late), &two = addServer(late);
    GrpcClient& c = client();
    GrpcClient::Ask ask;
    ask.metadata = {{"grpc-timeout", "500m"}};
    c.call(now, ask);
    EXPECT_TRUE(until([&] { return one.ledger.size() + two.ledger.size() == 1; }));
    pass(600ms, 2ms);
    EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
    EXPECT_EQ(c.outcomes[0].statuses, 1);
    EXPECT_EQ(c.outcomes[0].status, 4);
    EXPECT_LE(c.outcomes[0].at, Time(1'000'000'000'000) + 500ms);
    expectEmpty();
}

// --- retries and what may have run ---
TEST_F(GrpcTest, ASafeCallIsTriedElsewhereWithAllOfItsRequest) {
    Play fails;
    fails.part = Part::trailersOnly, fails.status = 13;
    std::size_t calls = 0;
    const auto script = [&](const GrpcServer::Execution&, std::size_t) {
        return calls++ == 0 ? fails : Play{};
    };
    GrpcServer &one = addServer(script), &two = addServer(script);
    GrpcClient::Ask ask;
    ask.payloads = {std::string(30'000, 'r')};
    ask.metadata = {{"grpc-previous-rpc-attempts", "1"}};
    const auto got = ended(ask);
    EXPECT_EQ(got.status, 0);
    ASSERT_EQ(one.ledger.size() + two.ledger.size(), 2u);
    const auto& second = one.ledger.empty() || !one.ledger[0].answered || one.ledger[0].bytes < 30'000
                             ? two.ledger.back()
                             : one.ledger.back();
    EXPECT_EQ(second.bytes, 30'005u);
    bool told = false;
    for (const auto* server : {&one, &two})
        for (const auto& call : server->ledger)
            if (const auto* attempts = http2::find(call.head, "grpc-previous-rpc-attempts"))
                told = told || *attempts == "2";
    EXPECT_TRUE(told);
    expectEmpty();
}

TEST_F(GrpcTest, WhatNoLongerIsHeldIsNotSentAgain) {
    Play fails;
    fails.part = Part::stall;
    GrpcServer &one = addServer(fails), &two = addServer(fails);
    GrpcClient& c = client();
    GrpcClient::Ask ask;
    ask.payloads = {std::string(100'000, 'r')}, ask.ends = false;
    c.call(now, ask);
    EXPECT_TRUE(until([&] { return core.counters().sealed == 1; }));
    GrpcServer& has = one.ledger.empty() ? two : one;
    EXPECT_TRUE(until([&] { return has.ledger[0].bytes == 100'005; }));
    Play error;
    error.part = Part::reset;
    has.play(now, 0, error);
    EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
    EXPECT_EQ(c.outcomes[0].statuses, 1);
    EXPECT_EQ(one.ledger.size() + two.ledger.size(), 1u);
    EXPECT_EQ(c.outcomes[0].status, 13);
    expectEmpty();
}

TEST_F(GrpcTest, WhatMayHaveRunIsSentAgainOnlyAsItsClassAllows) {
    const std::pair<Part, int> parts[] = {{Part::breaksConnection, 2},
                                          {Part::breaksAfterHead, 2},
                                          {Part::reset, 13},
                                          {Part::resetAfterHead, 13},
                                          {Part::bare, 2},
                                          {Part::garbage, 2}};
    for (const auto& [part, expected] : parts) {
        for (auto& entry : config.servers) entry.drain = true;
        GrpcServer &one = addServer(part), &two = addServer(part);
        GrpcClient::Ask charge;
        charge.path = "/taxi.Dispatch/Charge";
        for (const auto& ask : {charge, assign("k" + std::to_string(static_cast<int>(part)))}) {
            one.ledger.clear(), two.ledger.clear();
            const auto got = ended(ask);
            EXPECT_EQ(got.status, expected) << static_cast<int>(part);
            EXPECT_EQ(got.pushback(), -1) << static_cast<int>(part);
            if (ask.path == charge.path) {
                EXPECT_EQ(one.ledger.size() + two.ledger.size(), 1u) << static_cast<int>(part);
            } else {  // only the same server drops the repeats of its keys
                EXPECT_TRUE(one.ledger.empty() || two.ledger.empty()) << static_cast<int>(part);
            }
        }
    }
    EXPECT_EQ(core.counters().failed, 12u);
    expectEmpty();
}

TEST_F(GrpcTest, WhatNeverRanGoesElsewhereWhateverItsClass) {
    Play refused;
    refused.part = Part::reset, refused.code = http2::Code::refusedStream;
    Play below;
    below.part = Part::goAwayBelow;
    Play never;
    never.part = Part::trailersOnly, never.status = 14, never.head = {{"x-never-ran", "1"}};
    for (const Play& play : {refused, below, never}) {
        for (auto& entry : config.servers) entry.drain = true;
        std::size_t calls = 0;
        const auto script = [&](const GrpcServer::Execution&, std::size_t) {
            return calls++ == 0 ? play : Play{};
        };
        GrpcServer &one = addServer(script), &two = addServer(script);
        const std::string key = "n" + std::to_string(servers.size());
        const auto got = ended(assign(key));
        EXPECT_EQ(got.status, 0);
        EXPECT_EQ(one.ledger.size() + two.ledger.size(), 2u);
        EXPECT_EQ(one.byKey[key] + two.byKey[key], 1);
    }
    EXPECT_EQ(ends(End::wentAway), 1u);
    EXPECT_EQ(ends(End::handedBack), 2u);
    expectEmpty();
}

// The pushback of a server that is set down as saying so before it runs anything.
TEST_F(GrpcTest, APushbackMeansUnrunOnlyWhereTheOperatorSaysSo) {
    Play busy;
    busy.part = Part::trailersOnly, busy.status = 14, busy.trailers = {{"grpc-retry-pushback-ms", "20"}};
    addServer(busy);
    auto got = ended(assign("a"));
    EXPECT_EQ(got.status, 2) << "it may have run: never UNAVAILABLE";
    EXPECT_EQ(got.pushback(), -1);
    config.servers[0].pushbackMeansUnrun = true;
    pool.configure(now, config);
    GrpcClient& c = client();
    c.call(now, assign("b"));
    EXPECT_TRUE(until([&] { return ends(End::handedBack) >= 1; }));
    pass(6s);
    EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
    EXPECT_GE(c.outcomes[0].pushback(), 0) << "it never ran: a repeat is harmless";
    expectEmpty();
}

TEST_F(GrpcTest, ARefusalSaysWhenToComeBack) {
    GrpcClient& c = client();
    GrpcClient::Ask ask;
    c.call(now, ask);
    EXPECT_TRUE(until([&] { return core.counters().taken == 1; }));
    core.giveUpAll(now);
    EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
    EXPECT_EQ(c.outcomes[0].status, 14);
    EXPECT_EQ(c.outcomes[0].pushback(), 100);
    EXPECT_TRUE(c.outcomes[0].trailersOnly);
}

// --- ends that cross ---
TEST_F(GrpcTest, AClientThatCancelsOrVanishesCallsThePassOff) {
    GrpcServer& server = addServer(Part::stall);
    GrpcClient &cancels = client(), &vanishes = client();
    cancels.call(now, {}), vanishes.call(now, assign("k"));
    EXPECT_TRUE(until([&] { return server.ledger.size() == 2; }));
    cancels.cancel(now, 0), vanishes.hangUp(now);
    EXPECT_TRUE(until([&] { return server.open() == 0; }));
    EXPECT_EQ(core.counters().left, 2u);
    EXPECT_EQ(front.counters().calls.cancelled, 2u);
    expectEmpty();
}

TEST_F(GrpcTest, ACancelThatCrossesTheAnswerHarmsNothing) {
    GrpcServer& server = addServer(Part::stall);
    GrpcClient& c = client();
    for (int i = 0; i < 20; ++i) c.call(now, {});
    EXPECT_TRUE(until([&] { return server.ledger.size() == 20; }));
    for (std::size_t i = 0; i < 20; ++i) {
        server.play(now, i, Play{});
        for (std::size_t turns = 0; turns < i % 5; ++turns) loop.poll();
        c.cancel(now, i);
    }
    EXPECT_TRUE(until([&] { return c.unanswered() == 0; }));
    for (const auto& outcome : c.outcomes) EXPECT_LE(outcome.statuses, 1);
    expectEmpty();
}

TEST_F(GrpcTest, AnAnswerBeforeTheRequestsEndStopsTheRequest) {
    GrpcServer& server = addServer(Part::early);
    GrpcClient& c = client();
    GrpcClient::Ask ask;
    ask.ends = false;
    c.call(now, ask);
    EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
    EXPECT_EQ(c.outcomes[0].status, 0);
    EXPECT_EQ(c.outcomes[0].statuses, 1);
    EXPECT_EQ(c.outcomes[0].resetBy, http2::Code::noError);
    EXPECT_TRUE(until([&] { return server.open() == 0; }));
    expectEmpty();
}

TEST_F(GrpcTest, AResetThatCrossesTheTrailersChangesNothing) {
    GrpcServer& server = addServer(Part::endsThenResets);
    GrpcClient& c = client();
    GrpcClient::Ask ask;
    ask.ends = false;
    for (int i = 0; i < 10; ++i) c.call(now, ask);
    EXPECT_TRUE(until([&] { return c.unanswered() == 0; }));
    for (const auto& outcome : c.outcomes) {
        EXPECT_EQ(outcome.statuses, 1);
        EXPECT_EQ(outcome.status, 0);
    }
    EXPECT_EQ(core.counters().served, 10u);
    EXPECT_EQ(server.ledger.size(), 10u);
    expectEmpty();
}

TEST_F(GrpcTest, LoadReportsInTrailersReachTheCore) {
    Play text, json, none;
    text.trailers = {{"endpoint-load-metrics", "TEXT inflight=7, queue=2, util=0.61"}};
    json.trailers = {{"endpoint-load-metrics", R"(JSON {"inflight":7})"}};
    const Play plays[] = {text, json, none};
    addServer([&plays](const GrpcServer::Execution&, std::size_t number) { return plays[number]; });
    for (int i = 0; i < 3; ++i) EXPECT_EQ(ended().status, 0);
    EXPECT_EQ(core.counters().loadReports, 2u);
}

// A window that is never opened: the answer is complete, nobody takes it, and it is given up in time.
TEST_F(GrpcTest, AnAnswerNobodyTakesIsGivenUpWithinThreeSeconds) {
    Play many;
    many.part = Part::stream, many.count = 4, many.bytes = 64 * 1024;
    addServer(many);
    GrpcClient& c = client();
    GrpcClient::Ask stops;
    stops.reads = false;
    c.call(now, stops);
    EXPECT_TRUE(until([&] { return c.outcomes[0].received > 60'000; }));
    c.readOn(now, 0);  // and then it stops again, with the rest on its way
    EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
    Play small;
    small.part = Part::stream, small.count = 1, small.bytes = 100'000;
    addServer(small);
    config.servers.erase(config.servers.begin());
    pool.configure(now, config);
    GrpcClient& never = client();
    never.call(now, stops);
    EXPECT_TRUE(until([&] { return core.openTransactions() == 0 && core.counters().served == 2; }));
    EXPECT_FALSE(never.outcomes[0].closed);
    pass(3s);
    EXPECT_TRUE(until([&] { return never.outcomes[0].closed; }));
    EXPECT_EQ(never.outcomes[0].statuses, 1);
    EXPECT_EQ(never.outcomes[0].status, 1);
    EXPECT_EQ(front.counters().sessions.notTaken, 1u);
    EXPECT_EQ(front.counters().calls.orphaned, 1u);
    EXPECT_EQ(front.held(), 0u);
}

TEST_F(GrpcTest, AStreamIsItsServersOnceTheClientHasPartOfIt) {
    Play part;
    part.part = Part::stall;
    GrpcServer &one = addServer(part), &two = addServer(part);
    GrpcClient& c = client();
    c.call(now, {});
    EXPECT_TRUE(until([&] { return one.ledger.size() + two.ledger.size() == 1; }));
    GrpcServer& has = one.ledger.empty() ? two : one;
    Play breaks;
    breaks.part = Part::breaksAfterHead;
    has.play(now, 0, breaks);
    EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
    EXPECT_EQ(c.outcomes[0].statuses, 1);
    EXPECT_NE(c.outcomes[0].status, 0);
    EXPECT_EQ(core.counters().committed, 1u);
    pass(3s);
    EXPECT_EQ(one.ledger.size() + two.ledger.size(), 1u);
    expectEmpty();
}

// --- drains ---
TEST_F(GrpcTest, AStreamWhoseServerDrainsHalfwayFinishesThere) {
    for (const int how : {0, 1, 2}) {  // by the list, by GOAWAY, by both at once
        for (auto& entry : config.servers) entry.drain = true;
        GrpcServer& old = addServer(Part::answer);
        GrpcClient& c = client();
        GrpcClient::Ask ask;
        ask.payloads = {"first"}, ask.ends = false;
        c.call(now, ask);
        EXPECT_TRUE(until([&] { return c.outcomes[0].received > 0; }));
        if (how != 1) config.servers.back().drain = true;
        GrpcServer& fresh = addServer(Part::answer);
        if (how != 0) old.goAway(now);
        if (how == 1) config.servers[config.servers.size() - 2].drain = false;
        pass(2500ms);
        const std::size_t before = old.ledger.size();
        for (int i = 0; i < 5; ++i) EXPECT_EQ(ended().status, 0);
        if (how != 1) {
            EXPECT_EQ(old.ledger.size(), before) << "nothing new goes to it";
            EXPECT_EQ(fresh.ledger.size(), 5u);
        }
        c.send(now, 0, "second"), c.end(now, 0);
        EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
        EXPECT_EQ(c.outcomes[0].status, 0);
        std::string bytes = c.outcomes[0].bytes;
        EXPECT_EQ(standins::messages(bytes), (std::vector<std::string>{"first", "second"}));
        EXPECT_EQ(old.ledger[0].messages, 2u);
    }
    expectEmpty();
}

TEST_F(GrpcTest, ThePlannedEndTellsClientsAndAnswersAll) {
    GrpcServer& server = addServer(Part::stall);
    Play many;
    many.part = Part::stream, many.count = 64, many.bytes = 64 * 1024;
    GrpcClient &c = client(), &zero = client();
    c.call(now, {}), c.call(now, assign("k"));
    GrpcClient::Ask stops;
    stops.reads = false, stops.metadata = {{"x-zero", "1"}};
    zero.call(now, stops);
    EXPECT_TRUE(until([&] { return server.ledger.size() == 3; }));
    for (std::size_t i = 0; i < 3; ++i)
        if (http2::find(server.ledger[i].head, "x-zero")) server.play(now, i, many);
    EXPECT_TRUE(until([&] { return zero.outcomes[0].received > 60'000; }));
    front.drain(now);
    EXPECT_TRUE(until([&] { return c.toldToLeave(); }));
    pass(600ms);
    EXPECT_EQ(c.unanswered(), 2u);
    const auto refused = c.call(now, {});
    EXPECT_TRUE(c.outcomes[refused].closed) << "a client that was told opens nothing more here";
    GrpcClient& latest = client();  // comes after the second step: nothing of its is looked at
    const auto before = core.counters().taken;
    latest.call(now, {});
    EXPECT_TRUE(until([&] { return latest.outcomes[0].closed; }));
    EXPECT_EQ(latest.outcomes[0].statuses, 0);
    EXPECT_EQ(core.counters().taken, before);
    core.giveUpAll(now);
    EXPECT_TRUE(until([&] { return c.unanswered() == 0 && zero.unanswered() == 0; }))
        << "a window that stays shut holds up no final answer";
    EXPECT_EQ(zero.outcomes[0].statuses, 1);
    EXPECT_EQ(c.outcomes[0].statuses + c.outcomes[1].statuses, 2);
    expectEmpty();
    EXPECT_TRUE(until([&] { return front.open() == 0; })) << "and the connections end by themselves";
}

// A drain that is taken back: who comes after it is served as before, and nothing of the drain comes later.
TEST_F(GrpcTest, ADrainThatIsTakenBackLeavesNothingOver) {
    addServer(Part::answer);
    GrpcClient& first = client();
    first.call(now, {});
    EXPECT_TRUE(until([&] { return first.unanswered() == 0; }));
    front.drain(now);
    EXPECT_TRUE(until([&] { return first.toldToLeave(); }));
    front.resume();
    pass(600ms);  // the second step would have been by now
    GrpcClient& next = client();
    next.call(now, {});
    EXPECT_TRUE(until([&] { return next.unanswered() == 0; }));
    EXPECT_EQ(next.outcomes[0].statuses, 1);
    EXPECT_FALSE(next.toldToLeave());
}

// --- connections to job servers ---
TEST_F(GrpcTest, ConnectionsAreSharedAndThePeersLimitIsKept) {
    GrpcServer& server = addServer(Part::stall);
    GrpcClient& c = client();
    for (int i = 0; i < 60; ++i) c.call(now, {});
    EXPECT_TRUE(until([&] { return server.ledger.size() == 60; }));
    EXPECT_EQ(server.connections(), 1u);
}

TEST_F(GrpcTest, AServerGetsNoMoreCallsThanItsSlots) {
    GrpcServer& server = addServer(Part::stall);
    config.servers[0].slots = 2;
    pool.configure(now, config);
    GrpcClient& c = client();
    for (int i = 0; i < 5; ++i) c.call(now, {});
    EXPECT_TRUE(until([&] { return core.counters().taken == 5 && pool.counters().noRoom > 0; }));
    EXPECT_EQ(server.ledger.size(), 2u);
    EXPECT_EQ(ends(End::handedBack), pool.counters().noRoom);
}

TEST_F(GrpcTest, AFurtherConnectionIsMadeAtThePeersLimit) {
    http2::Limits few;
    few.streams = 4;
    Play stall;
    stall.part = Part::stall;
    servers.push_back(std::make_unique<GrpcServer>(
        loop, [stall](const auto&, std::size_t) { return stall; }, few));
    config.servers.push_back({.name = "few", .address = servers[0]->address()});
    config.connectionsPerServer = 2;
    pool.configure(now, config);
    GrpcClient& c = client();
    c.call(now, {});
    EXPECT_TRUE(until([&] { return servers[0]->ledger.size() == 1; }));
    for (int i = 0; i < 11; ++i) c.call(now, {});
    EXPECT_TRUE(until([&] { return servers[0]->ledger.size() == 8; }));
    EXPECT_EQ(servers[0]->connections(), 2u);
    EXPECT_TRUE(until([&] { return pool.counters().noRoom > 0; }));
    EXPECT_EQ(servers[0]->ledger.size(), 8u);
}

TEST_F(GrpcTest, ReconnectsBackOffAndARestartedServerIsCold) {
    GrpcServer& server = addServer(Part::answer);
    EXPECT_EQ(ended().status, 0);
    const auto port = net::endpointOf(server.address())->port();
    server.stopListening();
    server.cut(now);
    for (int i = 0; i < 5; ++i) loop.poll();
    GrpcClient& c = client();
    for (int i = 0; i < 20; ++i) c.call(now, {}), pass(50ms);
    pass(1s);
    EXPECT_GT(pool.counters().backedOff, 0u);
    EXPECT_LE(pool.counters().sessions.connections, 8u) << "a few tries, not one a call";
    pass(10s);
    EXPECT_TRUE(until([&] { return c.unanswered() == 0; }));
    EXPECT_EQ(pool.counters().restarts, 0u);
    const auto updates = core.counters().rosterUpdates;
    servers.push_back(std::make_unique<GrpcServer>(
        loop, [](const GrpcServer::Execution&, std::size_t) { return Play{}; }, http2::Limits{}, port));
    pass(10s);
    GrpcClient& again = client();
    for (int i = 0; i < 20 && servers.back()->ledger.empty(); ++i) again.call(now, {}), pass(500ms);
    EXPECT_FALSE(servers.back()->ledger.empty());
    EXPECT_EQ(pool.counters().restarts, 1u) << "it has started anew";
    EXPECT_EQ(core.counters().rosterUpdates, updates + 1) << "and the module is told";
    pass(10s);
    expectEmpty();
}

// A machine that takes the connection and says nothing: found by PING, and what it was sent may have run.
TEST_F(GrpcTest, AJobServerThatFallsSilentIsFoundByPing) {
    config.keepalive = 1s, config.keepaliveWait = 300ms;
    std::vector<std::shared_ptr<standins::RawPeer>> mute;
    net::Listener hole(loop, kAnyPort, [&](Time) {
        mute.push_back(std::make_shared<standins::RawPeer>());
        return mute.back();
    });
    config.servers.push_back({.name = "hole", .address = port(hole)});
    pool.configure(now, config);
    GrpcClient& c = client();
    c.call(now, assign("k"));
    EXPECT_TRUE(until([&] { return !mute.empty() && !mute[0]->heard.empty(); }));
    pass(900ms);
    EXPECT_EQ(pool.counters().sessions.blackHoles, 0u);
    pass(600ms);
    EXPECT_EQ(pool.counters().sessions.blackHoles, 1u);
    EXPECT_EQ(ends(End::brokeSent), 1u);
    pass(5s);
    EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
    EXPECT_EQ(c.outcomes[0].statuses, 1);
    EXPECT_EQ(c.outcomes[0].pushback(), -1);
}

TEST_F(GrpcTest, AnIdleConnectionToAJobServerCloses) {
    config.idle = 1s;
    GrpcServer& server = addServer(Part::answer);
    EXPECT_EQ(ended().status, 0);
    EXPECT_EQ(pool.openConnections(), 1u);
    pass(3s);
    EXPECT_TRUE(until([&] { return pool.openConnections() == 0 && server.connections() == 0; }));
    EXPECT_EQ(ended().status, 0) << "and a new one is made for the next call";
}

TEST_F(GrpcTest, AConnectThatNeverComesUpEndsInTime) {
    addServer(Part::answer);
    connects = false;
    GrpcClient& c = client();
    GrpcClient::Ask ask;
    ask.metadata = {{"grpc-timeout", "2S"}};
    c.call(now, ask);
    EXPECT_TRUE(until([&] { return core.counters().taken == 1; }));
    pass(300ms);
    EXPECT_EQ(ends(End::connectTimedOut), 1u);
    pass(2s);
    EXPECT_TRUE(until([&] { return c.outcomes[0].closed; }));
    expectEmpty();
}

TEST_F(GrpcTest, TooManyConnectionsAndCallsAreTurnedAway) {
    Config small = makeConfig();
    small.mostConnections = 2, small.mostCalls = 3;
    Front door(core, loop.deadlines(), small);
    EXPECT_NE(door.accept(now), nullptr);
    EXPECT_NE(door.accept(now), nullptr);
    EXPECT_EQ(door.accept(now), nullptr);
    EXPECT_EQ(door.counters().turnedAway, 1u);
    addServer(Part::stall);
    Front busy(core, loop.deadlines(), small);
    net::Listener at(loop, kAnyPort, [&](Time when) { return busy.accept(when); });
    GrpcClient c(loop, at.address());
    for (int i = 0; i < 5; ++i) c.call(now, {});
    EXPECT_TRUE(until([&] { return c.unanswered() == 3; }));
    EXPECT_EQ(busy.counters().noRoom, 2u);
    for (const auto& outcome : c.outcomes)
        if (outcome.closed) {
            EXPECT_EQ(outcome.status, 14);
            EXPECT_EQ(outcome.pushback(), 100);
        }
    c.hangUp(now);
    EXPECT_TRUE(until([&] { return busy.counters().calls.open == 0; }));
}

}  // namespace
}  // namespace amberswitch::grpc
