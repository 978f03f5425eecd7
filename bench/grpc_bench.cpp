// What the dispatcher costs a gRPC call: the program itself against the same stand-in servers called
// directly, by turns in one run. Absolute figures are this machine's noise; the ratios are what counts.
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/math/statistics/univariate_statistics.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "standins/grpc.hpp"

using namespace amberswitch;
using namespace std::chrono_literals;
using standins::GrpcClient;
using standins::GrpcServer;
using standins::Part;
using standins::Play;

namespace {

constexpr const char* kSettings =
    R"({"allowed":{"cancelling":true,"connectTimeout":250000000,"idleClose":5000000000,"maxAttempts":3,
  "maxRetryAfter":2000000000,"mayDuplicate":false,"probing":false,"retryAfter":true},
  "classes":[{"credit":1.0,"effect":"read_like","giveUp":60000000000,"goalTime":400000000,"group":"all","name":"car-match"}],
  "customers":[],"discovery":"push","familyInfo":{"classKind":[-1],"progress":0,"tellsStart":false},
  "fleetSize":1,"machineTypes":["std-4"],"me":0,"rules":{},"tick":4000000,"weights":"nominal","zone":0,"zones":["a"]})";

// A child process; what it says on its standard error is read line by line.
struct Child {
    pid_t pid = -1;
    FILE* said = nullptr;
    explicit Child(const std::function<void()>& body) {
        int ends[2];
        if (::pipe(ends) != 0) std::abort();
        pid = ::fork();
        if (pid == 0) {
            ::dup2(ends[1], 2);
            ::close(ends[0]), ::close(ends[1]);
            body();
            ::_exit(127);
        }
        ::close(ends[1]);
        said = ::fdopen(ends[0], "r");
    }
    ~Child() {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        std::fclose(said);
    }
    int portAfter(const std::string& mark) {
        char text[512];
        while (std::fgets(text, sizeof text, said)) {
            const std::string line(text);
            if (line.find(mark) != std::string::npos) return std::stoi(line.substr(line.rfind(':') + 1));
        }
        std::fprintf(stderr, "a child ended before it listened\n");
        std::exit(1);
    }
    double cpuSeconds() const {
        std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
        std::string text((std::istreambuf_iterator<char>(stat)), {});
        std::istringstream fields(text.substr(text.rfind(')') + 2));
        std::string skip;
        for (int i = 0; i < 11; ++i) fields >> skip;
        double user = 0, system = 0;
        fields >> user >> system;
        return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }
    long residentKiB() const {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.rfind("VmRSS:", 0) == 0) return std::stol(line.substr(6));
        return 0;
    }
};

void serve() {
    net::Loop loop;
    http2::Limits limits;
    limits.streams = 1000;
    GrpcServer server(
        loop,
        [](const GrpcServer::Execution& call, std::size_t) {
            Play play;
            if (call.path.find("Stream") != std::string::npos)
                play.part = Part::stream, play.count = 1024, play.bytes = 64 * 1024;
            if (call.path.find("Stall") != std::string::npos) play.part = Part::stall;
            return play;
        },
        limits);
    server.keepHeads = false;
    std::fprintf(stderr, "server on %s\n", server.address().c_str());
    loop.run();
}

net::tcp::endpoint at(int port) {
    return {net::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)};
}

struct Load {
    net::Loop loop;
    std::vector<std::unique_ptr<GrpcClient>> clients;
    Load(int port, std::size_t connections) {
        for (std::size_t i = 0; i < connections; ++i)
            clients.push_back(std::make_unique<GrpcClient>(loop, at(port)));
        turnUntil([&] {
            return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->connected(); });
        });
    }
    void turnUntil(const std::function<bool()>& done) {
        const auto guard = std::chrono::steady_clock::now() + 60s;
        while (!done()) {
            loop.poll();
            if (std::chrono::steady_clock::now() > guard) {
                std::fprintf(stderr, "the run hangs\n");
                std::exit(1);
            }
        }
    }
};

double seconds(Nanos t) {
    return std::chrono::duration<double>(t).count();
}

// Calls a second with `open` of them out at any time.
double unary(int port, std::size_t calls, std::size_t open) {
    Load load(port, 4);
    std::size_t asked = 0, ended = 0;
    std::vector<std::pair<std::size_t, std::size_t>> out;
    const Time begin = load.loop.now();
    load.turnUntil([&] {
        std::erase_if(out, [&](const auto& one) {
            const auto& outcome = load.clients[one.first]->outcomes[one.second];
            if (!outcome.closed) return false;
            if (outcome.status != 0)
                std::fprintf(stderr, "a call ended with %d\n", outcome.status), std::exit(1);
            ++ended;
            return true;
        });
        while (asked < calls && out.size() < open) {
            const std::size_t c = asked++ % load.clients.size();
            out.emplace_back(c, load.clients[c]->call(load.loop.now(), {}));
        }
        return ended == calls;
    });
    return static_cast<double>(calls) / seconds(load.loop.now() - begin);
}

// Microseconds of each call at a fixed rate.
std::vector<double> paced(int port, std::size_t calls, double rate) {
    Load load(port, 4);
    std::size_t asked = 0;
    const Time begin = load.loop.now();
    std::vector<std::pair<Time, std::pair<std::size_t, std::size_t>>> out;
    load.turnUntil([&] {
        const Time now = load.loop.now();
        while (asked < calls && seconds(now - begin) * rate >= static_cast<double>(asked)) {
            const std::size_t c = asked++ % load.clients.size();
            out.push_back({load.loop.now(), {c, load.clients[c]->call(now, {})}});
        }
        return asked == calls && std::all_of(load.clients.begin(), load.clients.end(),
                                             [](const auto& c) { return c->unanswered() == 0; });
    });
    std::vector<double> took;
    for (const auto& [sent, which] : out)
        took.push_back(seconds(load.clients[which.first]->outcomes[which.second].at - sent) * 1e6);
    return took;
}

double streamed(int port) {  // MiB a second
    Load load(port, 1);
    GrpcClient::Ask ask;
    ask.path = "/taxi.Dispatch/Stream";
    const Time begin = load.loop.now();
    load.clients[0]->call(begin, ask);
    load.turnUntil([&] { return load.clients[0]->outcomes[0].closed; });
    return 64 / seconds(load.loop.now() - begin);
}

double quantile(std::vector<double> of, double q) {
    std::sort(of.begin(), of.end());
    return of[static_cast<std::size_t>(q * static_cast<double>(of.size() - 1))];
}

double median(std::vector<double> of) {
    return boost::math::statistics::median(of);
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    if (argc > 1 && std::string_view(argv[1]) == "serve") serve();  // the stand-in alone, for other clients
    const int rounds = argc > 1 ? std::atoi(argv[1]) : 5;
    Child server(serve);
    const int direct = server.portAfter("server on");

    const std::string base = "/tmp/amberswitch-bench-" + std::to_string(::getpid());
    std::ofstream(base + ".json")
        << R"({"name":"b0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":2048,"memory_mb":256},)"
        << R"("known":{"index":1,"snapshot":true,"endpoints":[]},"settings":)" << kSettings << "}";
    std::ofstream(base + ".operator.json")
        << R"({"grpc":{"listen":"127.0.0.1:0","routes":[{"method":"/taxi.Dispatch/","class":"car-match"}],"most_calls":5000,"most_streams":1000,)"
        << R"("servers":[{"name":"s0","address":"127.0.0.1:)" << direct << R"("}]}})";
    Child program([&] {
        ::setenv("ROUTER_CONFIG", (base + ".json").c_str(), 1);
        ::setenv("AMBERSWITCH_OPERATOR", (base + ".operator.json").c_str(), 1);
        ::execl(AMBERSWITCH_PROGRAM_PATH, "amberswitch", nullptr);
    });
    const int through = program.portAfter("gRPC on");

    constexpr std::size_t kCalls = 20'000;
    unary(direct, 500, 16), unary(through, 500, 16);  // to warm up
    std::vector<double> rate[2], ratio, cpu, stream[2], streamRatio, p50[2], p99[2];
    for (int round = 0; round < rounds; ++round) {
        rate[0].push_back(unary(direct, kCalls, 32));
        const double before = program.cpuSeconds();
        rate[1].push_back(unary(through, kCalls, 32));
        cpu.push_back((program.cpuSeconds() - before) / kCalls * 1e6);
        ratio.push_back(rate[1].back() / rate[0].back());
        stream[0].push_back(streamed(direct)), stream[1].push_back(streamed(through));
        streamRatio.push_back(stream[1].back() / stream[0].back());
        for (int way = 0; way < 2; ++way) {
            const auto took = paced(way ? through : direct, 1000, 1000);
            p50[way].push_back(quantile(took, 0.5)), p99[way].push_back(quantile(took, 0.99));
        }
    }
    std::printf(
        "unary, 32 out at a time: direct %.0f/s, through %.0f/s, ratio %.2f (aim 0.40); CPU a call %.0f us\n",
        median(rate[0]), median(rate[1]), median(ratio), median(cpu));
    std::printf(
        "unary at 1000/s: p50 %.0f us direct, %.0f us through, added %.0f; p99 %.0f and %.0f, added %.0f\n",
        median(p50[0]), median(p50[1]), median(p50[1]) - median(p50[0]), median(p99[0]), median(p99[1]),
        median(p99[1]) - median(p99[0]));
    std::printf(
        "one stream of 64 KiB messages: direct %.0f MiB/s, through %.0f MiB/s, ratio %.2f (aim 0.50)\n",
        median(stream[0]), median(stream[1]), median(streamRatio));
    {
        Load load(through, 2);
        GrpcClient::Ask ask;
        ask.path = "/taxi.Dispatch/Stall", ask.ends = false;
        for (std::size_t i = 0; i < 2; ++i) load.clients[i]->call(load.loop.now(), ask);
        load.turnUntil([t = load.loop.now(), &load] { return load.loop.now() > t + 300ms; });
        const long before = program.residentKiB();
        for (std::size_t i = 0; i < 1000; ++i) load.clients[i % 2]->call(load.loop.now(), ask);
        load.turnUntil([t = load.loop.now(), &load] { return load.loop.now() > t + 1s; });
        const long after = program.residentKiB();
        std::size_t open = 0;
        for (const auto& c : load.clients) open += c->unanswered();
        std::printf("1000 open idle streams (%zu open): %.1f KiB each (aim under 8), by resident memory\n",
                    open, static_cast<double>(after - before) / 1000);
    }
    std::remove((base + ".json").c_str()), std::remove((base + ".operator.json").c_str());
    return 0;
}
