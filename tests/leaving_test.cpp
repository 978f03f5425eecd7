// Clients that left: nothing is begun for one that closed, broke or half closed its connection, however the
// close and what would send cross. The program and raw peers; the bad order is forced by stopping the
// program.
#include "peers.hpp"

namespace amberswitch::program {
namespace {

struct Way {
    const char* name;
    std::function<void(Peer&)> leave;
};
const Way kWays[] = {
    {"close", [](Peer& client) { client.close(); }},
    {"reset", [](Peer& client) { client.reset(); }},
    {"half close", [](Peer& client) { client.shutdown(); }},
    {"close behind unread bytes",
     [](Peer& client) { client.send(std::string(10'000, 'x')), client.close(); }},
};

// The job server's "never ran" comes first, the client's leaving right behind it, both in one turn.
TEST(Leaving, NoFurtherAttemptAlsoWhereTheLeavingIsReadAfterWhatWouldSend) {
    for (const Way& way : kWays) {
        SCOPED_TRACE(way.name);
        Listening server;
        Program program(knowing(entry("a", server.address())));
        const unsigned short port = program.portOf("listening on");
        Counters counters(port);
        Peer client = Peer::to(port);
        client.send(job("leaver"));
        Peer pass = server.accept();
        ASSERT_EQ(idOf(pass.message()), "leaver");
        {
            const Stopped stopped(program);
            pass.send(kNeverRan);
            way.leave(client);
        }
        ASSERT_TRUE(counters.reaches("transactions.left", 1));
        // The pool gives out the connection that was used last: another attempt would stand on it first.
        Peer other = Peer::to(port);
        other.send(job("other"));
        EXPECT_EQ(idOf(pass.message()), "other");
        pass.send(kTaken);
        Peer teller = Peer::to(port);
        teller.send(callback("other", "a", "done"));
        EXPECT_EQ(other.message().substr(9, 3), "200");
        EXPECT_EQ(counters["passes.sent"], 2);
        EXPECT_EQ(counters["transactions.open"], 0);
    }
}

// Whoever sends more behind its request than is kept is still seen leaving, and its job is called off.
TEST(Leaving, IsSeenBehindAFullBuffer) {
    Listening server;
    Program program(knowing(entry("a", server.address())));
    const unsigned short port = program.portOf("listening on");
    Counters counters(port);
    Peer client = Peer::to(port);
    client.send(job("leaver"));
    Peer pass = server.accept();
    ASSERT_EQ(idOf(pass.message()), "leaver");
    client.send(std::string(300'000, 'x'));
    ASSERT_TRUE(client.taken());  // more than any buffer of the program holds
    EXPECT_EQ(counters["transactions.left"], 0);
    client.close();
    EXPECT_TRUE(counters.reaches("transactions.left", 1));
    EXPECT_TRUE(pass.message().empty());  // called off before it was taken: by a close
}

// One that stays gets its answer as the connection's last.
TEST(Leaving, WhoOverrunsAndStaysIsAnsweredAndClosed) {
    Listening server;
    Program program(knowing(entry("a", server.address())));
    const unsigned short port = program.portOf("listening on");
    Peer client = Peer::to(port);
    client.send(job("rude"));
    Peer pass = server.accept();
    ASSERT_EQ(idOf(pass.message()), "rude");
    client.send(std::string(300'000, 'x'));
    ASSERT_TRUE(client.taken());
    pass.send(kTaken);
    Peer teller = Peer::to(port);
    teller.send(callback("rude", "a", "done"));
    const std::string answer = client.message();
    EXPECT_EQ(answer.substr(9, 3), "200");
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.ended());
}

// A burst: each one's first attempt is handed back and each one leaves, all in one turn.
TEST(Leaving, AHundredAtOnceGetNothingMore) {
    Listening server(1024);
    Program program(knowing(entry("a", server.address())));
    const unsigned short port = program.portOf("listening on");
    Counters counters(port);
    std::vector<Peer> clients, passes;
    for (int i = 0; i < 100; ++i) {
        clients.push_back(Peer::to(port));
        clients.back().send(job("c" + std::to_string(i)));
    }
    ASSERT_TRUE(counters.reaches("transactions.taken", 100));
    const long out = 100 - counters["transactions.unavailable"];  // the door may refuse some
    ASSERT_GE(out, 50);
    ASSERT_TRUE(counters.reaches("passes.forwards", out));
    for (long i = 0; i < out; ++i) {
        passes.push_back(server.accept());
        EXPECT_NE(idOf(passes.back().message()), "");
    }
    {
        const Stopped stopped(program);
        for (Peer& pass : passes) pass.send(kNeverRan);
        for (Peer& client : clients) client.close();
    }
    ASSERT_TRUE(counters.reaches("transactions.left", out));
    EXPECT_EQ(counters["passes.sent"], out);
    EXPECT_EQ(counters["transactions.open"], 0);
}

// A pass that waits for its connection is not running: it is withdrawn also where running work can't be
// called off. The job server's queue of connections is full; it empties after the client has left.
TEST(Leaving, APassThatWaitsForItsConnectionIsWithdrawn) {
    Listening server(0);
    Peer filler = Peer::to(server.port);
    std::string settings = replaced(kSettings, R"("cancelling":true)", R"("cancelling":false)");
    settings = replaced(settings, R"("connectTimeout":250000000)", R"("connectTimeout":7000000000)");
    Program program(knowing(entry("a", server.address()), config(settings)));
    const unsigned short port = program.portOf("listening on");
    Counters counters(port);
    Peer client = Peer::to(port);
    client.send(job("leaver"));
    ASSERT_TRUE(counters.reaches("passes.sent", 1));
    client.close();
    ASSERT_TRUE(counters.reaches("transactions.left", 1));
    EXPECT_EQ(counters["passes.ended.withdrawn"], 1);
    server.accept();  // the filler: the next connection would come up now
    EXPECT_EQ(counters["passes.forwards"], 0);
    EXPECT_EQ(counters["transactions.open"], 0);
}

// Short windows: a repeat whose connection comes up after the window has ended is not written. The second
// server's queue is full until the repeat waits; the kernel tries again after a second, the window is 0.4 s.
TEST(Repeats, OneThatWouldArriveAfterItsWindowIsNotWritten) {
    Listening first, second(0), discovery;
    Peer filler = Peer::to(second.port);
    std::string settings =
        replaced(kSettings, R"("effect":"read_like")", R"("effect":"idempotency_key","window":400000000)");
    settings = replaced(settings, R"("connectTimeout":250000000)", R"("connectTimeout":7000000000)");
    Program program(
        knowing(entry("a", first.address()), config(settings, "127.0.0.1:0", discovery.address())));
    const unsigned short port = program.portOf("listening on");
    Counters counters(port);
    Peer client = Peer::to(port);
    client.send(job("keyed", "Idempotency-Key: k\r\n"));
    Peer pass = first.accept();
    ASSERT_EQ(idOf(pass.message()), "keyed");
    Peer watch = discovery.accept();
    ASSERT_NE(watch.message().find("/api/targets"), std::string::npos);
    const std::string list = R"({"index":2,"snapshot":true,"endpoints":[)" +
                             entry("a", first.address(), "Terminating") + "," + entry("b", second.address()) +
                             "]}";
    watch.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
    ASSERT_TRUE(counters.reaches("farm.updates", 2));
    pass.reset();  // it may have run: a repeat is allowed within the window
    ASSERT_TRUE(counters.reaches("passes.sent", 2));
    second.accept();                // the filler
    Peer late = second.accept();    // the repeat's connection, a second later
    EXPECT_EQ(late.message(), "");  // nothing came over it
    EXPECT_EQ(client.message().substr(9, 3), "503");
    EXPECT_EQ(counters["passes.forwards"], 1);
    EXPECT_EQ(counters["passes.ended.unsent"], 1);
}

// Unsafe to repeat: a job is sent again where it surely never ran, and nowhere else.
TEST(Repeats, AnUnsafeJobIsSentAgainOnlyIfItSurelyNeverRan) {
    struct Case {
        const char* name;
        std::function<void(Peer&, unsigned short)> end;
        bool again;
    };
    const auto call = [](const char* state) {
        return [state](Peer& pass, unsigned short port) {
            pass.send(kTaken);
            Peer teller = Peer::to(port);
            teller.send(callback("unsafe", "a", state));
            EXPECT_EQ(teller.message().substr(9, 3), "204");
        };
    };
    const Case cases[] = {
        {"turned away", [](Peer& pass, unsigned short) { pass.send(kNeverRan); }, true},
        {"handed back", call("returned"), true},
        {"reset before the 202", [](Peer& pass, unsigned short) { pass.reset(); }, false},
        {"closed before the 202", [](Peer& pass, unsigned short) { pass.close(); }, false},
        {"half an answer, then a close",
         [](Peer& pass, unsigned short) {
             pass.send("HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nConte"), pass.close();
         },
         false},
        {"lost", call("lost"), false},
        {"failed", call("failed"), false},
        {"503 without the word",
         [](Peer& pass, unsigned short) { pass.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); },
         false},
    };
    for (const Case& one : cases) {
        SCOPED_TRACE(one.name);
        Listening server;
        Program program(
            knowing(entry("a", server.address()),
                    config(replaced(kSettings, R"("effect":"read_like")", R"("effect":"non_idempotent")"))));
        const unsigned short port = program.portOf("listening on");
        Counters counters(port);
        Peer client = Peer::to(port);
        client.send(job("unsafe"));
        Peer pass = server.accept();
        ASSERT_EQ(idOf(pass.message()), "unsafe");
        one.end(pass, port);
        if (one.again) {
            ASSERT_TRUE(counters.reaches("passes.sent", 2));
            EXPECT_EQ(counters["transactions.open"], 1);
        } else {
            EXPECT_EQ(client.message().substr(9, 3), "502");
            EXPECT_EQ(counters["passes.sent"], 1);
        }
    }
}

}  // namespace
}  // namespace amberswitch::program
