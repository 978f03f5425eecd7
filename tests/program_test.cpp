// The program itself, started as the platform starts it: on an ephemeral loopback port, with a configuration
// of its own, and ended with SIGTERM.
#include "program.hpp"

#include <filesystem>

namespace amberswitch::program {
namespace {

TEST(Program, AnswersWhatItTookAndExitsOnSigterm) {
    Program program(config(kSettings));
    const std::string hello = program.line();
    ASSERT_NE(hello.find("listening on 127.0.0.1:"), std::string::npos) << hello;
    const auto port = static_cast<unsigned short>(std::stoi(hello.substr(hello.rfind(':') + 1)));
    Caller ready(port), client(port);
    ready.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(ready.answer().substr(0, 15), "HTTP/1.1 200 OK");
    client.send(
        "POST /car-match HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Expires-In-Ms: 1500\r\nContent-Length: "
        "0\r\n\r\n");
    std::string counters;
    while (counters.find("transactions.taken 1\n") == std::string::npos) {
        ready.send("GET /-/counters HTTP/1.1\r\nHost: x\r\n\r\n");
        counters = ready.answer();
    }
    ::kill(program.child, SIGTERM);
    const std::string answer = client.answer();  // no server is known: unavailable at the deadline
    EXPECT_EQ(answer.substr(9, 3), "503");
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    std::string last;
    for (std::string line = program.line(); !line.empty(); line = program.line()) last += line;
    EXPECT_NE(last.find("transactions.unavailable 1\n"), std::string::npos);
    EXPECT_NE(last.find("transactions.open 0\n"), std::string::npos);
    EXPECT_EQ(program.exitStatus(), 0);
}

// Guards against a reset that overtakes an error: a peer that is still sending must get to read it.
TEST(Program, AnErrorReachesAPeerThatIsStillSending) {
    Program program(config(kSettings));
    const std::string hello = program.line();
    Caller peer(static_cast<unsigned short>(std::stoi(hello.substr(hello.rfind(':') + 1))));
    peer.send("POST /car-match HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nContent-Length: 30000000\r\n\r\n");
    const std::string piece(1'000'000, 'x');
    for (int i = 0; i < 30; ++i) peer.send(piece);
    EXPECT_EQ(peer.answer().substr(9, 3), "413");
}

// Guards against a program that waits for its first job before it asks for a list, whichever way lists come.
TEST(Program, AsksForAListBeforeAnyJobAlsoWithoutAKnownOne) {
    for (const char* const mode : {"ask", "push"}) {
        boost::asio::io_context io;
        tcp::acceptor discovery(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
        std::string text = config(kSettings, "127.0.0.1:0",
                                  "127.0.0.1:" + std::to_string(discovery.local_endpoint().port()));
        const std::string known = R"("known":{"index":1,"snapshot":true,"endpoints":[]},)";
        text.erase(text.find(known), known.size());
        text.replace(text.find(R"("discovery":"ask")"), 17, std::string(R"("discovery":")") + mode + '"');
        Program program(text);
        tcp::socket watch = discovery.accept();
        std::string asked;
        boost::asio::read_until(watch, boost::asio::dynamic_buffer(asked), "\r\n\r\n");
        EXPECT_EQ(asked.find("GET /api/targets HTTP/1.1"), 0u) << mode;
    }
}

// Guards against SIGHUP ending the process, and against a new file that can't be used taking the old settings
// away.
// As shipped, what a start decides has no file, thread or descriptor of its own; a kept list is a file, and
// no descriptor is held for it.
TEST(Program, AStartTakesNoDescriptorNorThread) {
    const auto entries = [](const std::string& folder) {
        return std::distance(std::filesystem::directory_iterator(folder),
                             std::filesystem::directory_iterator());
    };
    const std::string place = testing::TempDir() + "amberswitch-list-" + std::to_string(::getpid());
    std::vector<std::pair<long, long>> seen;
    for (const std::string& own : {std::string("{}"), R"({"start":{"keep_file":")" + place + "\"}}"}) {
        Program program(config(kSettings), own);
        const unsigned short port = program.portOf("listening on");
        const std::string of = "/proc/" + std::to_string(program.child);
        Caller client(port);
        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_EQ(client.answer().substr(9, 3), "200");
        seen.emplace_back(entries(of + "/fd"), entries(of + "/task"));
    }
    EXPECT_EQ(seen[0].second, 1);
    EXPECT_EQ(seen[0], seen[1]);
    EXPECT_FALSE(std::filesystem::exists(place));  // no service ever gave a list
}

TEST(Program, RereadsItsFileOnSighupAndStaysUp) {
    Program program(config(kSettings));
    const std::string hello = program.line();
    const auto port = static_cast<unsigned short>(std::stoi(hello.substr(hello.rfind(':') + 1)));
    boost::asio::io_context io;
    tcp::acceptor discovery(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::string address = "127.0.0.1:" + std::to_string(discovery.local_endpoint().port());
    Caller client(port);
    client.send(
        "POST /car-match HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Expires-In-Ms: 1500\r\nContent-Length: "
        "0\r\n\r\n");
    program.write(config("{}"));
    ::kill(program.child, SIGHUP);
    EXPECT_NE(program.line().find("old settings stay: " + program.path + ": field 'familyInfo' is missing"),
              std::string::npos);
    program.write(config(kSettings, "127.0.0.1:0", address));
    ::kill(program.child, SIGHUP);
    EXPECT_NE(program.line().find("reloaded: discovery at " + address), std::string::npos);
    tcp::socket watch = discovery.accept();
    std::string asked;
    boost::asio::read_until(watch, boost::asio::dynamic_buffer(asked), "\r\n\r\n");
    EXPECT_EQ(asked.find("GET /api/targets HTTP/1.1"), 0u);
    EXPECT_EQ(client.answer().substr(9, 3), "503");  // what was open is still answered
    ::kill(program.child, SIGTERM);
    EXPECT_EQ(program.exitStatus(), 0);
}

// The settings with another size of the fleet, or another own number.
std::string with(const std::string& size, const std::string& me = "\"me\":0") {
    std::string text = kSettings;
    text.replace(text.find("\"fleetSize\":1"), 13, size);
    return text.replace(text.find("\"me\":0"), 6, me);
}

TEST(Program, NamesTheFieldOfABadConfigurationInOneLine) {
    for (const auto& [text, expected] :
         {std::pair<std::string, std::string>{"{", "ROUTER_CONFIG is not valid JSON"},
          {"{}", "field 'name' is missing"},
          {config(kSettings, "nowhere"), "field 'listen' is not an address and a port"},
          {config("{}"), "field 'familyInfo' is missing"},
          {config(with("\"fleetSize\":0")), "field 'fleetSize' is not from 1 to 1000000"},
          {config(with("\"fleetSize\":-1")), "field 'fleetSize' is not from 1 to 1000000"},
          {config(with("\"unsized\":1")), "field 'fleetSize' is missing"},
          {config(with("\"fleetSize\":1", "\"me\":1")), "field 'me' is not from 0 to below fleetSize"},
          {config(with("\"fleetSize\":2", "\"me\":-1")), "field 'me' is not from 0 to below fleetSize"}}) {
        Program program(text);
        const std::string said = program.line();
        EXPECT_EQ(said.rfind("amberswitch: " + program.path + ": " + expected, 0), 0u) << said;
        EXPECT_EQ(program.line(), "");
        EXPECT_EQ(program.exitStatus(), 2);
    }
}

std::string ofGrpc(const std::string& servers, const std::string& klass = "car-match") {
    return R"({"grpc":{"listen":"127.0.0.1:0","routes":[{"method":"/taxi.Dispatch/","class":")" + klass +
           R"("}],"servers":[)" + servers + "]}}";
}

TEST(Program, NamesFilePathAndReasonOfABadOperatorFileInOneLine) {
    Program program(config(kSettings), ofGrpc("", "render"));
    EXPECT_EQ(program.line(),
              "amberswitch: " + program.ownPath + ": grpc.routes[0].class: there is no class 'render'\n");
    EXPECT_EQ(program.line(), "");
    EXPECT_EQ(program.exitStatus(), 2);
}

// Both files or neither: a fault in the operator's keeps the discovery that the platform's names, too.
TEST(Program, RereadsBothFilesOrNeither) {
    Program program(config(kSettings), ofGrpc(""));
    EXPECT_NE(program.line().find("listening on"), std::string::npos);
    const std::string grpc = program.line();
    ASSERT_NE(grpc.find("gRPC on 127.0.0.1:"), std::string::npos) << grpc;
    program.writeOwn(ofGrpc(R"({"name":"a"})"));
    program.write(config(kSettings, "127.0.0.1:0", "127.0.0.1:2"));
    ::kill(program.child, SIGHUP);
    EXPECT_EQ(program.line(), "amberswitch: reload refused, the old settings stay: " + program.ownPath +
                                  ": grpc.servers[0].address: is missing\n");
    program.writeOwn(ofGrpc(R"({"name":"a","address":"127.0.0.1:9"})"));
    ::kill(program.child, SIGHUP);
    EXPECT_EQ(program.line(), "amberswitch: reloaded: discovery at 127.0.0.1:2\n");
    program.write(config("{}"));
    program.writeOwn(ofGrpc(""));
    ::kill(program.child, SIGHUP);
    EXPECT_NE(program.line().find("old settings stay: " + program.path + ": field 'familyInfo' is missing"),
              std::string::npos);
    program.write(config(with("\"fleetSize\":0")));
    ::kill(program.child, SIGHUP);
    EXPECT_NE(program.line().find("old settings stay: " + program.path + ": field 'fleetSize' is not from"),
              std::string::npos);
    ::kill(program.child, SIGTERM);
    std::string last;
    for (std::string line = program.line(); !line.empty(); line = program.line()) last += line;
    EXPECT_NE(last.find("grpc.servers.open 0\n"), std::string::npos);
    EXPECT_NE(last.find("reloads.refused 3\n"), std::string::npos);
    // The known list, the start's servers, and those of the one reload that was taken.
    EXPECT_NE(last.find("farm.updates 3\n"), std::string::npos) << last;
    EXPECT_EQ(program.exitStatus(), 0);
}

}  // namespace
}  // namespace amberswitch::program
