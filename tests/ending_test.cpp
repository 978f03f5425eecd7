// The program's end and its closes: nothing owed is lost between SIGTERM and the exit, no close resets over
// what was not read, and what comes after a shutdown is not served. The program and raw peers.
#include "peers.hpp"

namespace amberswitch::program {
namespace {

// Deadlines of half a second: the kill may come 1.2 s after SIGTERM, and jobs are turned away from 0.7 s on.
std::string brief(std::string settings = kSettings) {
    return replaced(settings, R"("giveUp":8000000000)", R"("giveUp":500000000)");
}
constexpr auto kKill = std::chrono::milliseconds(1200);

// A resting client sees this side shut down. What it sends after that is read and not served, and is not
// answered by a reset: it may be repeated elsewhere.
TEST(Ending, ARestingClientIsShutDownAndNotReset) {
    Listening server;
    Program program(knowing(entry("a", server.address()), config(brief())));
    const unsigned short port = program.portOf("listening on");
    Peer client = Peer::to(port);
    client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(client.message().substr(9, 3), "200");
    ::kill(program.child, SIGTERM);
    EXPECT_NE(program.line().find("ending"), std::string::npos);
    EXPECT_TRUE(client.ended());
    EXPECT_TRUE(client.send(job("crossing")));
    EXPECT_TRUE(client.taken());
    client.close();
    const std::string last = program.rest();
    EXPECT_NE(last.find("transactions.taken 0\n"), std::string::npos) << last;
    EXPECT_NE(last.find("passes.sent 0\n"), std::string::npos);
    EXPECT_EQ(program.exitStatus(), 0);
    EXPECT_FALSE(server.waits(0));
}

// In flight, waiting, half read, and one that sends for as long as its connection stays open: each that was
// whole has one final answer, the others a close that is no reset, and the exit comes before the kill.
TEST(Ending, NothingOwedIsLostWhileClientsSendUpToTheEnd) {
    Listening server;
    Program program(knowing(entry("a", server.address()), config(brief())));
    const unsigned short port = program.portOf("listening on");
    Peer inFlight = Peer::to(port), waiting = Peer::to(port), half = Peer::to(port), busy = Peer::to(port);
    inFlight.send(job("served"));
    Peer first = server.accept();
    ASSERT_EQ(idOf(first.message()), "served");
    first.send(kTaken);
    waiting.send(job("held"));
    ASSERT_EQ(idOf(first.message()), "held");  // and hangs
    ::kill(program.child, SIGTERM);
    const auto told = std::chrono::steady_clock::now();
    EXPECT_NE(program.line().find("ending"), std::string::npos);
    ::kill(program.child, SIGTERM);  // twice, and a new configuration between: it ends once
    ::kill(program.child, SIGHUP);
    ::kill(program.child, SIGTERM);
    half.send("POST /car-match HTTP/1.1\r\nHost: x\r\nX-Trace-Id: ha");
    Peer teller = Peer::to(port);
    teller.send(callback("served", "a", "done"));
    EXPECT_EQ(inFlight.message().substr(9, 3), "200");
    EXPECT_NE(waiting.message(), "");  // given up, and said so
    int answers = 0;
    for (;;) {  // the job server takes none of these: they are unreadable to it, so nothing of it is waited
                // for
        if (!busy.send("POST /render HTTP/1.1\r\nHost: x\r\nX-Trace-Id: b" + std::to_string(answers) +
                       "\r\n\r\n"))
            break;
        const std::string answer = busy.message();
        if (answer.empty()) break;
        ++answers;
        if (answer.find("Connection: close") != std::string::npos) break;
    }
    EXPECT_GT(answers, 0);
    EXPECT_TRUE(busy.ended());
    EXPECT_EQ(half.message().substr(9, 3), "503");
    EXPECT_TRUE(half.ended());
    const std::string last = program.rest();
    EXPECT_NE(last.find("transactions.open 0\n"), std::string::npos) << last;
    EXPECT_EQ(program.exitStatus(), 0);
    EXPECT_LT(std::chrono::steady_clock::now() - told,
              kKill + std::chrono::seconds(2));  // a busy machine's slack
}

// A client that never closes its side does not hold the exit up past the kill.
TEST(Ending, WhoDoesNotCloseIsNotWaitedForLongerThanTheKillAllows) {
    Program program(config(brief()));
    const unsigned short port = program.portOf("listening on");
    Peer client = Peer::to(port);
    client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(client.message().substr(9, 3), "200");
    const auto told = std::chrono::steady_clock::now();
    ::kill(program.child, SIGTERM);
    EXPECT_EQ(program.exitStatus(), 0);
    const auto took = std::chrono::steady_clock::now() - told;
    EXPECT_GE(took, std::chrono::milliseconds(700));
    EXPECT_TRUE(client.ended());
}

// A signal that is there before the program has begun to listen for it is heard and ends nothing by itself.
TEST(Ending, ASignalThatComesDuringTheStartIsAPlannedEnd) {
    sigset_t term, before;
    sigemptyset(&term), sigaddset(&term, SIGTERM);
    ::sigprocmask(SIG_BLOCK, &term, &before);
    Program program(config(brief()));  // starts with the signal held back, as it would hold it itself
    ::sigprocmask(SIG_SETMASK, &before, nullptr);
    ::kill(program.child, SIGTERM);
    const std::string said = program.rest();
    EXPECT_NE(said.find("ending; clients are served"), std::string::npos) << said;
    EXPECT_NE(said.find("transactions.open 0\n"), std::string::npos);
    EXPECT_EQ(program.exitStatus(), 0);
}

// An outage of discovery, no list, and the end: nothing is waited for.
TEST(Ending, WithoutAListAndInAnOutageItEndsAllTheSame) {
    std::string text = config(brief());
    const std::string known = R"("known":{"index":1,"snapshot":true,"endpoints":[]},)";
    Program program(text.erase(text.find(known), known.size()));
    const unsigned short port = program.portOf("listening on");
    Peer client = Peer::to(port);
    client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(client.message().substr(9, 3), "503");  // no list: it is not ready
    ::kill(program.child, SIGTERM);
    EXPECT_TRUE(client.ended());
    client.close();
    EXPECT_EQ(program.exitStatus(), 0);
}

// Half a callback, and the rest of it a moment later: it is taken whole. Half of one and no more is answered
// and closed within 3 s, and harms nobody.
TEST(Closes, HalfACallbackIsWaitedForAndThenEnded) {
    Listening server;
    Program program(knowing(entry("a", server.address())));
    const unsigned short port = program.portOf("listening on");
    Peer client = Peer::to(port);
    client.send(job("one"));
    Peer pass = server.accept();
    ASSERT_EQ(idOf(pass.message()), "one");
    pass.send(kTaken);
    Peer whole = Peer::to(port), never = Peer::to(port);
    const std::string call = callback("one", "a", "done");
    const auto begun = std::chrono::steady_clock::now();
    never.send(call.substr(0, call.size() - 5));
    whole.send(call.substr(0, 20));
    Counters counters(port);
    EXPECT_EQ(counters["transactions.served"], 0);  // and by now the half has been read
    whole.send(call.substr(20));
    EXPECT_EQ(whole.message().substr(9, 3), "204");
    EXPECT_EQ(client.message().substr(9, 3), "200");
    EXPECT_EQ(never.message().substr(9, 3), "408");
    EXPECT_TRUE(never.ended());
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(3000 + 2000));
}

// Descriptors: idle clients and jobs that hang fill them while discovery is down. On its return it is called
// within the the clock of what counts as told, callbacks are taken and the new configuration is read.
TEST(Descriptors, DiscoveryIsCalledAlsoWhereClientsHaveTakenThemAll) {
    Listening server(256), discovery(-1), moved;
    std::string text =
        knowing(entry("a", server.address()), config(kSettings, "127.0.0.1:0", discovery.address()));
    text = replaced(text, R"("sockets":1024)", R"("sockets":64)");
    Program program(text);
    const unsigned short port = program.portOf("listening on");
    std::vector<Peer> clients, passes, idle;
    // 64 less 24 of its own; clients may have 35 of the 40, with their passes.
    for (int i = 0; i < 15; ++i) {
        clients.push_back(Peer::to(port));
        clients.back().send(job("c" + std::to_string(i)));
        passes.push_back(server.accept());
        ASSERT_NE(idOf(passes.back().message()), "");
    }
    for (int i = 0; i < 60; ++i) idle.push_back(Peer::to(port));
    discovery.listen();
    ASSERT_TRUE(discovery.waits(7000)) << "discovery was not called in time";
    Peer watch = discovery.accept();
    EXPECT_NE(watch.message().find("GET /api/targets"), std::string::npos);
    program.write(replaced(text, discovery.address(), moved.address()));
    ::kill(program.child, SIGHUP);
    ASSERT_TRUE(moved.waits(7000)) << "the new configuration was not followed";
    Peer next = moved.accept();
    EXPECT_NE(next.message().find("GET /api/targets"), std::string::npos);
    passes[0].send(kTaken);
    Peer teller = Peer::to(port);
    teller.send(callback("c0", "a", "done"));
    EXPECT_EQ(teller.message().substr(9, 3), "204");
    EXPECT_EQ(clients[0].message().substr(9, 3), "200");
}

}  // namespace
}  // namespace amberswitch::program
