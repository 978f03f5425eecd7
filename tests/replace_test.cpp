// Tests with two processes of one dispatcher, the old one and its replacement, on the same listening socket
// and in the same $TMPDIR, as the platform starts them. Also tests the operators' interface of a real
// process.
#include <filesystem>
#include <set>

#include "program.hpp"

namespace amberswitch::program {
namespace {

std::size_t entriesOf(const std::string& folder) {
    const std::filesystem::directory_iterator entries(folder);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

// A fake platform that holds the clients' socket, with one job server and clients.
struct Replace : testing::Test {
    Replace() {
        std::filesystem::create_directory(folder);
        clients.open(tcp::v4());
        clients.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        clients.listen();
        port = clients.local_endpoint().port();
    }
    ~Replace() override { std::filesystem::remove_all(folder); }
    std::unique_ptr<Program> start(int handed) {
        std::string text = config(kSettings, "127.0.0.1:" + std::to_string(port));
        text.replace(
            text.find("\"endpoints\":[]"), 14,
            R"("endpoints":[{"name":"s-1","address":"127.0.0.1:)" +
                std::to_string(server.local_endpoint().port()) +
                R"(","zone":"sofia-1","type":"std-4","group":0,"status":"Ready","weight":1.0,"since_ms":0}])");
        return std::make_unique<Program>(
            text, "{}", Environment{{"TMPDIR", folder}, {"ROUTER_OPERATOR", "127.0.0.1:0"}}, handed);
    }
    // Starts a process and waits until it reports itself ready.
    std::unique_ptr<Program> serving(unsigned short& control) {
        auto process = start(clients.native_handle());
        process->portOf("listening on");
        control = process->portOf("operators on");
        while (ask(control, "GET /control/ready").substr(9, 3) != "200") {
        }
        return process;
    }
    std::string ask(unsigned short at, const std::string& line) {
        Caller caller(at);
        caller.send(line + " HTTP/1.1\r\nHost: x\r\n\r\n");
        return caller.answer();
    }
    static void post(Caller& client, const std::string& id) {
        client.send("POST /car-match HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id +
                    "\r\nX-Expires-In-Ms: 7000\r\nContent-Length: 0\r\n\r\n");
    }
    // The job server takes one job and answers 202.
    std::string take() {
        held.push_back(std::make_unique<tcp::socket>(io));
        server.accept(*held.back());
        std::string head;
        boost::asio::read_until(*held.back(), boost::asio::dynamic_buffer(head), "\r\n\r\n");
        boost::asio::write(*held.back(),
                           boost::asio::buffer(std::string("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n"
                                                           "Connection: close\r\n\r\n")));
        const std::size_t at = head.find("X-Trace-Id: ") + 12;
        return head.substr(at, head.find('\r', at) - at);
    }
    static std::string call(Caller& from, const std::string& id, const std::string& state = "done") {
        const std::string body =
            R"({"id":")" + id + R"(","from":"s-1","state":")" + state + R"(","result":"r-)" + id + "\"}";
        from.send("POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
        return from.answer().substr(9, 3);
    }
    void expectServed(Caller& client, const std::string& id) {
        const std::string answer = client.answer();
        EXPECT_EQ(answer.substr(9, 3), "200") << answer;
        EXPECT_NE(answer.find("r-" + id), std::string::npos) << answer;
    }

    static inline int made = 0;
    const std::string folder =
        testing::TempDir() + "amberswitch-tmp-" + std::to_string(::getpid()) + '-' + std::to_string(++made);
    boost::asio::io_context io;
    tcp::acceptor clients{io}, server{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<std::unique_ptr<tcp::socket>> held;
    unsigned short port = 0;
};

TEST_F(Replace, CallsReachTheirOwnerBeforeAndAfterTheOldOneIsToldToEnd) {
    unsigned short oldControl = 0, newControl = 0;
    const auto old = serving(oldControl);
    Caller first(port), second(port), kept(port);
    post(first, "a");
    EXPECT_EQ(take(), "a");
    post(second, "b");
    EXPECT_EQ(take(), "b");
    EXPECT_EQ(call(kept, "nobodys"), "204");  // a job server's connection to the old one
    const auto fresh = serving(newControl);
    Caller third(port), atNew(port);
    post(third, "c");
    EXPECT_EQ(take(), "c");
    EXPECT_EQ(call(atNew, "a"), "204");  // a job of the old process, at the new one
    expectServed(first, "a");
    EXPECT_EQ(call(kept, "c"), "204");  // a job of the new process, at the old one
    expectServed(third, "c");
    ::kill(old->child, SIGTERM);
    while (ask(oldControl, "GET /control/ready").find("ending") == std::string::npos) {
    }
    EXPECT_EQ(call(atNew, "b"), "204");
    expectServed(second, "b");
    const std::string last = old->rest();
    EXPECT_NE(last.find("router.succeeded.car-match=2\n"), std::string::npos) << last;
    EXPECT_EQ(old->exitStatus(), 0);
    EXPECT_EQ(ask(port, "GET /-/ready").substr(9, 3), "200");
    EXPECT_NE(ask(newControl, "GET /control/counters").find("router.succeeded.car-match=1\n"),
              std::string::npos);
    EXPECT_EQ(call(atNew, "b"), "204");  // repeated after the exit of its owner: harmless
}

TEST_F(Replace, TwoInARowLeaveNobodyUnserved) {
    unsigned short control = 0;
    auto serves = serving(control);
    for (int round = 0; round < 2; ++round) {
        Caller client(port);
        const std::string id = "r" + std::to_string(round);
        post(client, id);
        EXPECT_EQ(take(), id);
        auto next = serving(control);
        ::kill(serves->child, SIGTERM);
        Caller job(port);
        EXPECT_EQ(call(job, id), "204");
        expectServed(client, id);
        EXPECT_EQ(serves->exitStatus(), 0);
        serves = std::move(next);
    }
    EXPECT_EQ(ask(port, "GET /-/ready").substr(9, 3), "200");
}

TEST_F(Replace, TheOldOneServesAgainWhenTheNewOneIsKilled) {
    unsigned short control = 0, other = 0;
    const auto old = serving(control);
    {
        const auto fresh = serving(other);
        while (old->line().find("another process serves now") == std::string::npos) {
        }
    }  // killed
    while (old->line().find("takes clients again") == std::string::npos) {
    }
    Caller client(port);
    post(client, "z");
    EXPECT_EQ(take(), "z");
    Caller job(port);
    EXPECT_EQ(call(job, "z"), "204");
    expectServed(client, "z");
    const auto second = serving(other);  // and can be replaced by another
    EXPECT_EQ(ask(port, "GET /-/ready").substr(9, 3), "200");
}

TEST_F(Replace, ALeftoverOfADeadProcessIsInNobodysWay) {
    unsigned short control = 0;
    serving(control).reset();  // killed without a SIGTERM: its socket file stays
    EXPECT_EQ(entriesOf(folder), 1u);
    const auto next = serving(control);
    EXPECT_EQ(entriesOf(folder), 1u);
    ::kill(next->child, SIGTERM);
    EXPECT_NE(next->rest().find("takeover.cold 1\n"), std::string::npos);
}

TEST_F(Replace, NamesWhatIsWrongWithTheInheritedDescriptorInOneLine) {
    tcp::acceptor elsewhere(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket plain(io, tcp::v4());
    const auto expect = [&](int handed, const Environment& environment, const std::string& why) {
        Program program(config(kSettings, "127.0.0.1:" + std::to_string(port)), "{}", environment, handed);
        EXPECT_NE(program.line().find(why), std::string::npos) << why;
        EXPECT_EQ(program.line(), "");
        EXPECT_EQ(program.exitStatus(), 2);
    };
    expect(-1, {{"ROUTER_ACCEPT_FD", "three"}}, "ROUTER_ACCEPT_FD is not a descriptor's number");
    expect(-1, {{"ROUTER_ACCEPT_FD", "900"}}, "ROUTER_ACCEPT_FD: descriptor 900 is not open");
    expect(-1, {{"ROUTER_ACCEPT_FD", "2"}}, "descriptor 2 is no stream socket");
    expect(plain.native_handle(), {}, "descriptor 3 does not listen");
    expect(elsewhere.native_handle(), {}, "not on the address of 'listen'");
}

TEST_F(Replace, TheOperatorsAddressIsNamedWhenItCanNotBeUsed) {
    tcp::acceptor taken(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::string at = "127.0.0.1:" + std::to_string(taken.local_endpoint().port());
    for (const auto& [environment, why] :
         {std::pair<Environment, std::string>{{{"ROUTER_OPERATOR", at}}, "operator: can't listen on " + at},
          {{{"ROUTER_OPERATOR", "here"}}, "ROUTER_OPERATOR is not an address and a port"}}) {
        Program program(config(kSettings), "{}", environment);
        EXPECT_NE(program.line().find(why), std::string::npos) << why;
        EXPECT_EQ(program.line(), "");
        EXPECT_EQ(program.exitStatus(), 2);
    }
}

// Guards against many clients or silent connections keeping operators out: connections are reserved for
// operators.
TEST_F(Replace, OperatorsAreAnsweredWhileACrowdHoldsEveryOtherPlace) {
    std::string text = config(kSettings);
    text.replace(text.find("1024"), 4, "96");
    Program program(text, "{}", {{"ROUTER_OPERATOR", "127.0.0.1:0"}});
    const unsigned short crowded = program.portOf("listening on"), control = program.portOf("operators on");
    std::vector<std::unique_ptr<Caller>> crowd, mute;
    for (int i = 0; i < 200; ++i) {
        crowd.push_back(std::make_unique<Caller>(crowded));
        crowd.back()->send("POST /car-match HTTP/1.1\r\nX-Trace-Id: c" + std::to_string(i) +
                           "\r\nX-Expires-In-Ms: 9000\r\n\r\n");
    }
    for (int i = 0; i < 100; ++i) {
        mute.push_back(std::make_unique<Caller>(control));
        if (i % 2) mute.back()->send("GET /control/co");
    }
    const std::string figures = ask(control, "GET /control/counters");
    EXPECT_EQ(figures.substr(9, 3), "200");
    EXPECT_EQ(ask(control, "POST /control/out-of-service").substr(9, 3), "200");
    EXPECT_EQ(ask(control, "POST /control/in-service").substr(9, 3), "200");
    std::size_t descriptors = entriesOf("/proc/" + std::to_string(program.child) + "/fd");
    EXPECT_LE(descriptors, 96u);
    EXPECT_GT(descriptors, 48u);  // the clients are connected
    ::kill(program.child, SIGUSR1);
    std::string said = program.line();
    while (!said.empty() && said.find("control.pushed_out ") == std::string::npos) said = program.line();
    EXPECT_GE(std::atoi(said.substr(said.rfind(' ') + 1).c_str()), 90) << said;  // 100 silent ones, limit 8
}

// The environment variable overrides the settings file, and a reload does not change the address.
TEST_F(Replace, TheOperatorsAddressIsTheVariablesAndWaitsForTheNextStart) {
    std::string text = config(kSettings);
    text.insert(1, R"("operator":"127.0.0.1:1",)");
    Program program(text, "{}", {{"ROUTER_OPERATOR", "127.0.0.1:0"}});
    program.portOf("listening on");
    const unsigned short control = program.portOf("operators on");
    EXPECT_EQ(ask(control, "POST /control/out-of-service").substr(9, 3), "200");
    EXPECT_NE(program.line().find("now out of service"), std::string::npos);
    ::unsetenv("ROUTER_OPERATOR");
    program.write(config(kSettings));
    ::kill(program.child, SIGHUP);
    EXPECT_NE(program.line().find("reloaded"), std::string::npos);
    EXPECT_EQ(ask(control, "GET /control/ready").substr(9, 3), "503");  // still out of service
    EXPECT_EQ(ask(control, "POST /control/in-service").substr(9, 3), "200");
    EXPECT_EQ(ask(control, "GET /control/ready").substr(9, 3), "200");
}

// Without settings for them, the operators' interface and the link open no sockets.
TEST_F(Replace, WithoutTheirSettingsNothingIsOpen) {
    Program program(config(kSettings), "{}", {{"TMPDIR", folder}});
    const unsigned short plain = program.portOf("listening on");
    EXPECT_EQ(ask(plain, "GET /-/ready").substr(9, 3), "200");
    const std::string of = "/proc/" + std::to_string(program.child);
    const auto socketsOf = [](const std::string& whom) {
        std::set<std::string> found;
        for (std::size_t fd = 0; fd < 64; ++fd) {
            char name[64] = "";
            const ssize_t size =
                ::readlink((whom + "/fd/" + std::to_string(fd)).c_str(), name, sizeof name - 1);
            if (size > 0 && std::string(name).compare(0, 7, "socket:") == 0) found.insert(name);
        }
        return found;
    };
    const auto sockets = [&] {  // except inherited ones
        std::set<std::string> own = socketsOf(of);
        for (const std::string& name : socketsOf("/proc/self")) own.erase(name);
        return own.size();
    };
    // The connection of the caller is closed, and between two calls to discovery only the listener is open.
    // With any further socket the count would never be 1.
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (sockets() != 1 && std::chrono::steady_clock::now() < until) {
    }
    EXPECT_LT(std::chrono::steady_clock::now(), until);
    EXPECT_EQ(entriesOf(of + "/task"), 1u);
    EXPECT_EQ(entriesOf(folder), 0u);
}

}  // namespace
}  // namespace amberswitch::program
