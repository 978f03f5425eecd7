// What a connection costs while a crowd holds most places: accept, and making room by closing who has shown
// least, with so many connections open. Machines only: no socket is opened.
#include <algorithm>
#include <boost/math/statistics/univariate_statistics.hpp>
#include <chrono>
#include <cstdio>
#include <utility>
#include <vector>

#include "platform/front.hpp"

using namespace amberswitch;

namespace {

struct Nowhere : wire::Connector {
    void connect(Time, std::shared_ptr<wire::Machine> machine, const std::string&) override {
        kept.push_back(std::move(machine));
    }
    std::vector<std::shared_ptr<wire::Machine>> kept;
};

struct Held : wire::Driver {
    explicit Held(std::shared_ptr<wire::Machine> m) : machine(std::move(m)) { machine->attach(this); }
    ~Held() override { machine->attach(nullptr); }
    void wake() override {}
    void drop() override {}
    std::shared_ptr<wire::Machine> machine;
};

settings::Site site() {
    settings::Site s;
    s.classes = {"car-match"};
    s.module.classes.resize(1);
    s.module.classes[0].targetLatency = std::chrono::milliseconds(400);
    s.module.classes[0].clientTimeout = std::chrono::hours(1);
    s.idleClose = std::chrono::seconds(5), s.connectTimeout = std::chrono::milliseconds(250);
    return s;
}

// Nanoseconds for one newcomer that takes the place of a stranger, with `open` connections, of which this
// share waits for an answer and this one has stopped half way.
std::vector<double> measure(std::size_t open, double waiting, double half) {
    Time now{1'000'000'000'000};
    Deadlines deadlines;
    Core core(site(), 1, deadlines);
    Nowhere nowhere;
    platform::Servers pool(core, deadlines, nowhere);
    service::Service service;
    service.begin(now);
    platform::Front front(core, pool, deadlines, service);
    std::vector<std::unique_ptr<Held>> held;
    const auto come = [&](const std::string& request) {
        auto one = std::make_unique<Held>(front.accept(now));
        one->machine->in().put(request);
        one->machine->received(now);
        while (!one->machine->out().empty()) one->machine->out().sent(one->machine->out().pending().size());
        held.push_back(std::move(one));
    };
    for (std::size_t i = 0; i < open; ++i) {
        const double place = (static_cast<double>(i) + 0.5) / static_cast<double>(open);
        const std::string job = "POST /car-match HTTP/1.1\r\nX-Trace-Id: t" + std::to_string(i) + "\r\n\r\n";
        come(place < waiting          ? job
             : place < waiting + half ? job.substr(0, 20)
                                      : "GET /-/ready HTTP/1.1\r\n\r\n");
    }
    now += std::chrono::seconds(1);
    std::vector<double> out;
    for (int round = 0; round < 50; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        constexpr int kEach = 20;
        for (int i = 0; i < kEach; ++i) front.relieve(now), come("GET /-/ready HTTP/1.1\r\n\r\n");
        const auto took = std::chrono::steady_clock::now() - begin;
        out.push_back(std::chrono::duration<double, std::nano>(took).count() / kEach);
    }
    return out;
}

}  // namespace

int main() {
    std::printf("open  waiting  half-way  ns a newcomer (median of 50)\n");
    for (const std::size_t open : {100, 300, 1000, 5000})
        for (const auto& [waiting, half] : {std::pair{0.1, 0.0}, {0.8, 0.0}, {0.1, 0.8}}) {
            auto all = measure(open, waiting, half);
            std::printf("%5zu  %6.0f%%  %7.0f%%  %8.0f\n", open, waiting * 100, half * 100,
                        boost::math::statistics::median(all));
        }
}
