// The program itself, started as the platform starts it, and a caller that speaks to it: on loopback, on
// ephemeral ports.
#pragma once

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

// clang-format off
#include <utility>  // Boost 1.74's asio uses it without including it
#include <boost/asio.hpp>
// clang-format on
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace amberswitch::program {

using boost::asio::ip::tcp;

inline const std::string kSettings =
    R"({"allowed":{"cancelling":true,"connectTimeout":250000000,"idleClose":5000000000,
  "maxAttempts":3,"maxRetryAfter":2000000000,"mayDuplicate":true,"probing":true,"retryAfter":true},
  "classes":[{"credit":1.0,"effect":"read_like","giveUp":8000000000,"goalTime":400000000,"group":"all","name":"car-match"}],
  "customers":[{"name":"maritsa-taxi","portion":1,"quotaPerS":14.0}],"discovery":"ask",
  "familyInfo":{"classKind":[-1],"progress":1000000000,"tellsStart":true},"fleetSize":1,"machineTypes":["std-4"],"me":0,
  "rules":{"askWithin":10000000000,"cold":24000000000,"coldFrom":0.12,"fallMultiple":3.0,"overloadFor":1000000000,
  "stopSendingWithin":2500000000},"tick":4000000,"weights":"nominal","zone":0,"zones":["sofia-1"]})";

using Environment = std::vector<std::pair<std::string, std::string>>;

struct Program {
    // `accept` is handed on as descriptor 3, and named if it is 0 or more.
    explicit Program(const std::string& config, const std::string& own = "{}", Environment environment = {},
                     int accept = -1) {
        write(config);
        writeOwn(own);
        int ends[2];
        if (::pipe(ends) != 0) std::abort();
        child = ::fork();
        if (child == 0) {
            ::dup2(ends[1], 2);
            ::close(ends[0]), ::close(ends[1]);
            if (accept >= 0 && accept != 3) ::dup2(accept, 3);
            if (accept >= 0) ::setenv("ROUTER_ACCEPT_FD", "3", 1);
            for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
            ::setenv("ROUTER_CONFIG", path.c_str(), 1);
            ::setenv("AMBERSWITCH_OPERATOR", ownPath.c_str(), 1);
            ::execl(AMBERSWITCH_PROGRAM_PATH, "amberswitch", nullptr);
            ::_exit(127);
        }
        ::close(ends[1]);
        said = ::fdopen(ends[0], "r");
    }
    ~Program() {
        if (child > 0) ::kill(child, SIGKILL), ::waitpid(child, nullptr, 0);
        std::fclose(said);
    }
    void write(const std::string& config) { std::ofstream(path) << config; }
    void writeOwn(const std::string& own) { std::ofstream(ownPath) << own; }
    std::string line() {
        char text[512] = "";
        return std::fgets(text, sizeof text, said) ? text : "";
    }
    int exitStatus() {
        int status = 0;
        ::waitpid(child, &status, 0);
        child = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    // The port that a line of its start ends with; the line has to say `what`.
    unsigned short portOf(const std::string& what) {
        const std::string said_ = line();
        EXPECT_NE(said_.find(what), std::string::npos) << said_;
        return static_cast<unsigned short>(std::atoi(said_.substr(said_.rfind(':') + 1).c_str()));
    }
    // What it says from here on, up to its end.
    std::string rest() {
        std::string all;
        for (std::string one = line(); !one.empty(); one = line()) all += one;
        return all;
    }
    static inline int started = 0;
    const std::string path = testing::TempDir() + "amberswitch-" + std::to_string(::getpid()) + '-' +
                             std::to_string(++started) + ".json";
    const std::string ownPath = path + ".operator";
    pid_t child = -1;
    FILE* said = nullptr;
};

inline std::string config(const std::string& settings, const std::string& listen = "127.0.0.1:0",
                          const std::string& discovery = "127.0.0.1:1") {
    return R"({"name":"n0","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"sockets":1024},)" +
           R"("known":{"index":1,"snapshot":true,"endpoints":[]},"settings":)" + settings + "}";
}

struct Caller {
    explicit Caller(unsigned short port) {
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }
    void send(const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text)); }
    std::string answer() {  // the head and a body with a length
        std::string text;
        const std::size_t head =
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n");
        const std::size_t at = text.find("Content-Length: ");
        const std::size_t whole = head + (at < head ? std::stoul(text.substr(at + 16)) : 0);
        while (text.size() < whole) {
            char more[4096];
            text.append(more, socket.read_some(boost::asio::buffer(more)));
        }
        return text;
    }
    boost::asio::io_context io;
    tcp::socket socket{io};
};

}  // namespace amberswitch::program
