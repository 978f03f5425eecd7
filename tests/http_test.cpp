// The HTTP state machines without a socket: the tests feed bytes and read what would be written.
#include <gtest/gtest.h>

#include "http/client.hpp"
#include "http/server.hpp"
#include "settings/settings.hpp"

namespace amberswitch::http {
namespace {

using namespace std::chrono_literals;

const std::string kJob =
    "POST /car-match?a=1 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 9\r\nContent-Length: 5\r\n\r\nhello";

Parser parsed(std::string_view bytes, Parser::Kind kind = Parser::Kind::request) {
    Parser parser(kind);
    parser.feed(bytes);
    return parser;
}

TEST(Parser, TakesARequestCutAnywhere) {
    for (std::size_t cut = 0; cut <= kJob.size(); ++cut) {
        Parser parser(Parser::Kind::request);
        EXPECT_EQ(parser.feed(std::string_view(kJob).substr(0, cut)), cut);
        EXPECT_EQ(parser.feed(kJob.substr(cut) + "POST"), kJob.size() - cut);
        ASSERT_TRUE(parser.complete()) << cut;
        EXPECT_EQ(parser.message().path(), "/car-match");
        EXPECT_EQ(*parser.message().header("x-trace-id"), "9");
        EXPECT_EQ(parser.message().body, "hello");
    }
}

TEST(Parser, TakesChunksAndAnswersThatEndWithTheConnection) {
    const Parser chunks = parsed(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n");
    ASSERT_TRUE(chunks.complete());
    EXPECT_EQ(chunks.message().body, "abcde");
    Parser open = parsed("HTTP/1.1 200 OK\r\n\r\nabc", Parser::Kind::answer);
    EXPECT_FALSE(open.complete());
    open.closed();
    ASSERT_TRUE(open.complete());
    EXPECT_FALSE(open.message().keepAlive);
    EXPECT_TRUE(parsed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", Parser::Kind::answer)
                    .complete());
}

// Guards against input that could be read in two ways, or that has no bound.
TEST(Parser, NamesTheFaultOfABadRequest) {
    const auto fault = [](const std::string& bytes) { return parsed(bytes).fault(); };
    EXPECT_EQ(fault("nonsense\r\n"), 400);
    EXPECT_EQ(fault("GET  HTTP/1.1\r\n"), 400);
    EXPECT_EQ(fault("GET / HTTP/2.0\r\n"), 505);
    EXPECT_EQ(fault("GET / HTTP/1.1\r\nno colon\r\n"), 400);
    EXPECT_EQ(fault("GET / HTTP/1.1\r\nA : 1\r\n"), 400);
    EXPECT_EQ(fault("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n"), 400);
    EXPECT_EQ(fault("POST / HTTP/1.1\r\nContent-Length: -1\r\n"), 400);
    EXPECT_EQ(fault("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n"), 400);
    EXPECT_EQ(fault("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n"), 400);
    EXPECT_EQ(fault("POST /\xe9 HTTP/1.1\r\n"), 400);
    EXPECT_EQ(fault("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"), 400);
    EXPECT_EQ(fault("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
    EXPECT_EQ(fault("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n"), 501);
    EXPECT_EQ(fault("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), 413);
    EXPECT_EQ(fault("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n"), 413);
    EXPECT_EQ(fault("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), 400);
    EXPECT_EQ(fault("GET /" + std::string(kMostHead, 'a')), 414);
    EXPECT_EQ(fault("GET / HTTP/1.1\r\nA: " + std::string(kMostHead, 'a')), 431);
}

// Guards against figures that would spoil every sum they are added to.
TEST(Numbers, AreFinite) {
    for (const char* text : {"nan", "inf", "-inf", "1e999", "", "1x"})
        EXPECT_FALSE(decimalNumber(text)) << text;
    EXPECT_EQ(decimalNumber("1.5"), 1.5);
}

// --- a connection and a model of it ---
struct Wire : wire::Driver {
    void wake() override {}
    void drop() override { dropped = true; }
    bool dropped = false;
};

void give(wire::Machine& machine, Time now, std::string_view bytes) {
    while (!bytes.empty() && !machine.in().space().empty()) {
        const std::size_t n = machine.in().put(bytes);
        bytes.remove_prefix(n);
        machine.received(now);
    }
}

std::string taken(wire::Machine& machine, Time now) {
    std::string out;
    while (!machine.out().empty()) {
        const auto bytes = machine.out().pending();
        out.append(bytes.data(), bytes.size());
        machine.out().sent(bytes.size());
        machine.sent(now);
    }
    return out;
}

struct Answering : Server {
    using Server::Server;
    void request(Time, Message message) override { ++requests, body = message.body; }
    void left(Time) override { ++lefts; }
    void gone(Time, End how) override { ++ends, end = how; }
    int requests = 0, lefts = 0, ends = 0;
    std::string body;
    End end = End::served;
};

TEST(Server, AnswersPipelinedRequestsOneAtATimeAndInOrder) {
    Deadlines deadlines;
    Answering server(deadlines, 0s);
    give(server, 0s, kJob + kJob);
    EXPECT_EQ(server.requests, 1);
    server.reply(0s, 200, "one");
    EXPECT_EQ(server.requests, 2);
    server.reply(0s, 200, "two");
    const std::string out = taken(server, 0s);
    EXPECT_LT(out.find("one"), out.find("two"));
}

// Guards against crowds that say nothing or never come to an end: the time counts from the connect.
TEST(Server, EndsSilentPeersAndBadOnesWithinThreeSecondsOfTheConnect) {
    Deadlines deadlines;
    Wire driver;
    Answering half(deadlines, 0s), slow(deadlines, 0s), silent(deadlines, 0s), kept(deadlines, 0s);
    half.attach(&driver);
    give(half, 2s, kJob.substr(0, 40));
    give(kept, 0s, kJob);
    kept.reply(0s, 200, "r");
    for (Time now{0}; now < 2400ms; now += 100ms) {  // byte by byte
        deadlines.sweep(now);
        give(slow, now, kJob.substr(static_cast<std::size_t>(now / 100ms), 1));
    }
    EXPECT_EQ(taken(half, 2400ms) + taken(slow, 2400ms), "");
    deadlines.sweep(2600ms);
    for (Answering* one : {&half, &slow}) {
        EXPECT_NE(taken(*one, 2600ms).find("HTTP/1.1 408"), std::string::npos);
        EXPECT_TRUE(one->finished());
    }
    EXPECT_EQ(silent.end, End::silent);
    taken(kept, 2600ms);
    give(kept, 10s, kJob.substr(0, 40));  // a later message has its own time
    deadlines.sweep(12400ms);
    EXPECT_EQ(taken(kept, 12400ms), "");
    deadlines.sweep(12600ms);
    EXPECT_NE(taken(kept, 12600ms).find("HTTP/1.1 408"), std::string::npos);
    Answering idle(deadlines, 0s);
    give(idle, 0s, kJob);
    idle.reply(0s, 200, "r");
    taken(idle, 0s);
    deadlines.sweep(74s);
    EXPECT_EQ(idle.ends, 0);
    deadlines.sweep(76s);
    EXPECT_TRUE(idle.finished());  // this side is shut down; what still comes is not served
    give(idle, 76s, kJob);
    EXPECT_EQ(idle.requests, 1);
    deadlines.sweep(76s + Server::kLinger);
    EXPECT_EQ(idle.end, End::idle);
    Answering bad(deadlines, 0s);
    give(bad, 0s, "nonsense\r\n\r\n" + kJob);
    EXPECT_NE(taken(bad, 0s).find("HTTP/1.1 400"), std::string::npos);
    EXPECT_EQ(bad.requests, 0);
    EXPECT_TRUE(bad.finished());
}

// A model of the connection: what it must be after each step, and that a request's client gets its answer or
// is told of as gone, exactly once.
TEST(Server, KeepsToItsModelInRandomSteps) {
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        std::uint64_t state = seed * 7919;
        const auto roll = [&state](std::uint64_t sides) {
            state = state * 6364136223846793005ULL + 1442695040888963407ULL;
            return (state >> 33) % sides;
        };
        Deadlines deadlines;
        Wire driver;
        Answering server(deadlines, 0s);
        server.attach(&driver);
        Time now{0};
        std::size_t fed = 0;
        int asked = 0, answers = 0;
        bool over = false;
        for (int step = 0; step < 200 && !over; ++step) {
            const auto action = roll(20);
            if (action < 12 && server.in().size() < 2000) {  // some bytes of the endless row of requests
                std::string bytes;
                for (std::size_t n = roll(60) + 1; n > 0; --n, ++fed) bytes += kJob[fed % kJob.size()];
                give(server, now, bytes);
            } else if (action < 17 && server.requests > asked) {
                server.reply(now, 200, "r"), ++answers;
            } else if (action == 17) {
                now += 1s, deadlines.sweep(now);
            } else if (action == 18 && roll(20) == 0) {
                const bool owed = server.state() == Server::State::waiting;
                server.ended(now, End::peerReset);
                EXPECT_EQ(server.lefts, owed ? 1 : 0);
            }
            asked = answers;
            taken(server, now);
            over = server.ends > 0 || server.finished();
            if (over) break;
            EXPECT_EQ(server.requests - answers, server.state() == Server::State::waiting ? 1 : 0);
            EXPECT_LE(static_cast<std::size_t>(server.requests), fed / kJob.size());
            if (server.requests == answers) {
                EXPECT_EQ(static_cast<std::size_t>(server.requests), fed / kJob.size());
            }
        }
        EXPECT_LE(server.ends, 1);
    }
}

struct Asking : Client {
    void answered(Time, Message message, bool reusable) override {
        status = message.status, reuse = reusable;
    }
    void over(Time, End how) override { ++ends, end = how; }
    int status = 0, ends = 0;
    bool reuse = false;
    End end = End::served;
};

// How a pass ends hangs on how far its request had got: only before the last byte is it sure not to have run.
// Guards against a break that is heard of before the write it follows: what the driver was given may have
// arrived.
TEST(Client, ABreakWhileTheLastBytesAreBeingWrittenProvesNothing) {
    Asking unsure, sure;
    for (Asking* one : {&unsure, &sure}) one->opened(0s), one->ask(kJob);
    EXPECT_EQ(unsure.out().pending().size(), kJob.size());
    EXPECT_EQ(unsure.out().lent(), kJob.size());
    for (Asking* one : {&unsure, &sure}) one->ended(0s, End::peerReset);
    EXPECT_EQ(unsure.end, End::brokeSent);
    EXPECT_EQ(sure.end, End::brokeUnsent) << "not a byte was given to the driver";
}

TEST(Client, TellsABreakBeforeTheLastByteFromOneAfterIt) {
    Asking early, late, never, stale;
    never.ask(kJob);
    never.ended(0s, End::connectRefused);
    EXPECT_EQ(never.end, End::connectRefused);
    early.opened(0s);
    early.ask(std::string(10000, 'x'));
    early.out().sent(4096);
    early.sent(0s);
    early.ended(0s, End::peerReset);
    EXPECT_EQ(early.end, End::brokeUnsent);
    late.opened(0s);
    late.ask(kJob);
    taken(late, 0s);
    EXPECT_TRUE(late.written());
    late.ended(0s, End::peerClosed);
    EXPECT_EQ(late.end, End::brokeSent);
    stale.opened(0s);
    give(stale, 0s, "HTTP/1.1 200 OK\r\n\r\n");  // an answer to nothing
    EXPECT_EQ(stale.end, End::malformed);
    for (const Asking* one : {&early, &late, &never, &stale}) EXPECT_EQ(one->ends, 1);
    EXPECT_TRUE(provesNeverRan(early.end) && provesNeverRan(never.end) && !provesNeverRan(late.end));
}

TEST(Client, IsReusedAfterAWholeExchangeOnly) {
    Asking kept, closing;
    for (Asking* one : {&kept, &closing}) one->opened(0s), one->ask(kJob), taken(*one, 0s);
    give(kept, 0s, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(kept.reuse);
    EXPECT_EQ(kept.state(), Client::State::idle);
    give(closing, 0s, "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(closing.status, 202);
    EXPECT_FALSE(closing.reuse);
    EXPECT_EQ(closing.ends, 1);
}

TEST(Outbox, KeepsTheOrderOfWhatDoesNotFitTheRing) {
    wire::Outbox box;
    std::string all, out;
    for (int i = 0; i < 400; ++i) {
        const std::string piece(static_cast<std::size_t>(i % 97), static_cast<char>('a' + i % 26));
        box.put(piece), all += piece;
        if (i % 3 == 0 && !box.empty()) {
            const auto bytes = box.pending();
            const std::size_t n = std::min<std::size_t>(bytes.size(), static_cast<std::size_t>(i));
            out.append(bytes.data(), n), box.sent(n);
        }
    }
    while (!box.empty()) {
        const auto bytes = box.pending();
        out.append(bytes.data(), bytes.size()), box.sent(bytes.size());
    }
    EXPECT_EQ(out, all);
}

TEST(Deadlines, AreSweptInOrderAndTakenBack) {
    Deadlines deadlines;
    std::string order;
    Deadlines::Timer first, second;
    first.arm(deadlines, 2s, [&](Time) { order += 'b'; });
    second.arm(deadlines, 3s, [&](Time) { order += 'x'; });
    deadlines.once(1s, [&](Time at) {
        order += 'a';
        second.disarm();
        deadlines.once(at, [&](Time) { order += 'c'; });
    });
    EXPECT_EQ(deadlines.earliest(), Time(1s));
    deadlines.sweep(5s);
    deadlines.sweep(5s);
    EXPECT_EQ(order.size(), 3u);
    EXPECT_EQ(order.find('x'), std::string::npos);
    EXPECT_FALSE(first.armed());
    EXPECT_EQ(deadlines.size(), 0u);
}

}  // namespace
}  // namespace amberswitch::http
