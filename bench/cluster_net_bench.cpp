// Measures the processor time of an internal call and of a served HTTP request, on loopback. Not built by
// default:
//   g++ -std=c++20 -O2 -Isrc bench/cluster_net_bench.cpp
//   src/cluster/common/{event_loop,http,tcp_*,frame_*,evhttp_*}.cpp
//       -levent -levent_pthreads -lglog -lpthread
// Each line gives microseconds of both sides together, for one exchange.
#include <sys/resource.h>

#include <cstdio>
#include <functional>
#include <string>

#include "cluster/common/evhttp_client.hpp"
#include "cluster/common/evhttp_server.hpp"
#include "cluster/common/tcp_transport.hpp"

namespace {

using namespace amberswitch::cluster;

constexpr int kRounds = 40'000;
constexpr Millis kTimeout{5000};
const NodeAddress kAnyPort{"127.0.0.1", 0};

double processorMicros() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto micros = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec);
    };
    return micros(usage.ru_utime) + micros(usage.ru_stime);
}

// Begins exchanges until all rounds are done, with as many open at once as asked.
class Rounds {
public:
    Rounds(EventLoop& loop, int at_once, std::function<void(std::function<void()>)> begin)
        : loop_(loop), begin_(std::move(begin)), at_once_(at_once) {}

    void measure(const char* what) {
        left_ = kRounds;
        open_ = 0;
        const double start = processorMicros();
        loop_.post([this] { fill(); });
        loop_.run();
        std::printf("%-32s %2d at once %8.1f us\n", what, at_once_, (processorMicros() - start) / kRounds);
    }

private:
    void fill() {
        while (open_ < at_once_ && left_ > 0) {
            --left_;
            ++open_;
            begin_([this] { ended(); });
        }
        if (open_ == 0) loop_.stop();
    }
    void ended() {
        --open_;
        fill();
    }

    EventLoop& loop_;
    std::function<void(std::function<void()>)> begin_;
    int at_once_;
    int left_ = 0;
    int open_ = 0;
};

void measureCalls(int at_once, std::size_t size) {
    EventLoop loop;
    TcpTransport callee(loop, kAnyPort);
    TcpTransport caller(loop, kAnyPort);
    callee.serve([](const Envelope&, const Responder& respond) { respond({0, "done"}); });
    const std::string body(size, 'x');
    Rounds rounds(loop, at_once, [&](std::function<void()> done) {
        caller.call(callee.address(), {1, body}, kTimeout,
                    [done = std::move(done)](const CallResult&) { done(); });
    });
    rounds.measure(("call of " + std::to_string(size) + " bytes").c_str());
}

void measureRequests(int at_once, std::size_t size) {
    EventLoop loop;
    EvhttpServer server(loop, kAnyPort, [](const HttpRequest&, const HttpResponder& respond) {
        respond({202, {{"Message-Ref", "p12-9c41d07be2a35f68"}}, "", false});
    });
    EvhttpClient client(loop);
    HttpCall call;
    call.to = server.address();
    call.request = {"POST",
                    "/bose230/zi72/2f",
                    {{"Host", "boye61.example"}, {"Request-Id", "9c41d07be2a35f68"}, {"Deadline-Ms", "500"}},
                    std::string(size, 'x')};
    call.timeout = kTimeout;
    call.max_connections = 64;
    Rounds rounds(loop, at_once, [&](std::function<void()> done) {
        client.send(call, [done = std::move(done)](const HttpOutcome&) { done(); });
    });
    rounds.measure(("HTTP request of " + std::to_string(size) + " bytes").c_str());
}

}  // namespace

int main() {
    for (const int at_once : {1, 8, 32}) {
        measureCalls(at_once, 600);
        measureCalls(at_once, 5000);
        measureRequests(at_once, 600);
        measureRequests(at_once, 5000);
    }
    return 0;
}
