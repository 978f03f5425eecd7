// Processor time and memory of one edge for control: reading a configuration and a server list, and picking
// a server. All runs in this process; each figure is processor time of the whole process.
//   cluster_edge_bench [RUNS]
#include <memory>
#include <variant>

#include "bench/cluster_bench_support.hpp"
#include "cluster/common/codec.hpp"
#include "cluster/common/configuration_update.hpp"
#include "cluster/common/evhttp_client.hpp"
#include "cluster/edge/service_dispatcher.hpp"
#include "heronmount/dispatcher.hpp"

namespace {

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::bench;

constexpr int kPicks = 20'000;
constexpr std::size_t kOpen = 16;  // requests in flight while picks are measured

double ownMicros() {
    return processorMicros(getpid());
}

std::string configurationJson(int routes) {
    std::string text = R"({"generation":1,"routes":[)";
    std::string services;
    for (int i = 0; i < routes; ++i) {
        const std::string number = std::to_string(i);
        if (i > 0) text += ",", services += ",";
        text += R"({"name":"route-)" + number + R"(","hostname":"boye)" + number +
                R"(.example","pathPrefix":"/bose230/","type":"deferred","timeoutMs":2000,)"
                R"("targetLatencyMs":120,"priority":2,"backend":"service-)" +
                number +
                R"(","maxRetries":4,"ordered":false,"retentionS":90.0,"callbackUrl":false,)"
                R"("scheduleTargetMs":1500})";
        services += R"({"name":"service-)" + number +
                    R"(","healthCheck":"/healthz","maxConnections":96,"protocol":"h1","tls":false,)"
                    R"("ratePerS":0.0,"idempotent":false,"pull":false,"static":null})";
    }
    return text + R"(],"services":[)" + services +
           R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

void measureConfiguration(int runs, int routes) {
    const std::string body = configurationJson(routes);
    const std::string bytes = encodeUpdate(makeUpdate(nullptr, parseConfiguration(body)));
    Series micros;
    for (int run = 0; run < runs; ++run) {
        const double start = ownMicros();
        const Configuration read = applyUpdate(nullptr, *decodeUpdate(bytes));
        micros.add(ownMicros() - start);
    }
    const std::string what = "edge: configuration of " + std::to_string(routes) + " routes and services, " +
                             std::to_string(body.size()) + " bytes, " + std::to_string(bytes.size()) +
                             " sent";
    micros.print(what, "us");
}

ServerList serverList(std::size_t servers, std::uint32_t capacity) {
    ServerList list;
    list.version = {1, 1};
    for (std::size_t i = 0; i < servers; ++i) {
        ServerEntry entry;
        entry.uid = "i-0f3a55d1c" + std::to_string(1'000'000 + i);
        entry.service = "booking-desk";
        entry.address = {"10.40.3.117", 8080};
        entry.zone = "hall-trakia";
        entry.capacity = capacity;
        list.servers.push_back(entry);
    }
    return list;
}

// A dispatcher of one service, as an edge has it.
class Target {
public:
    Target()
        : http_(loop_),
          dispatcher_(loop_, http_, counters_, "edge-0", "hall-trakia", Topology{},
                      [](const Grant&) { return true; }, {}) {
        Service service;
        service.name = "booking-desk";
        service.max_connections = 96;
        dispatcher_.setService(service, Millis(800), EdgeShare{.edges = 8, .region_edges = 8});
    }
    void take(const std::string& bytes) {
        auto reply = decode<WatchReply>(bytes);
        list_ = std::make_unique<ServerList>(std::move(*reply->servers));
        std::vector<const ServerEntry*> listed;
        for (const ServerEntry& entry : list_->servers) listed.push_back(&entry);
        dispatcher_.setServers(listed);
    }

private:
    EventLoop loop_;
    EvhttpClient http_;
    EdgeCounters counters_;
    ServiceDispatcher dispatcher_;
    std::unique_ptr<ServerList> list_;
};

std::string encodedList(std::size_t servers, std::uint32_t capacity) {
    WatchReply change;
    change.servers = serverList(servers, capacity);
    return encode(change);
}

// The same list again with one server changed: what one replaced machine costs.
void measureServerList(int runs, std::size_t servers) {
    Target target;
    target.take(encodedList(servers, 12));
    auto changed = serverList(servers, 12);
    Series micros;
    for (int run = 0; run < runs; ++run) {
        changed.servers[0].capacity = static_cast<std::uint32_t>(13 + run);
        WatchReply change;
        change.servers = changed;
        const std::string bytes = encode(change);
        const double start = ownMicros();
        target.take(bytes);
        micros.add(ownMicros() - start);
    }
    micros.print("edge: list of " + std::to_string(servers) + " servers, one changed", "us");
}

// In a child, so that each run begins with fresh memory; it prints its own figure.
void measureServerMemory(std::size_t servers) {
    const pid_t child = fork();
    if (child == 0) {
        const std::string bytes = encodedList(servers, 12);
        Target target;
        const double start = residentBytes(getpid());
        target.take(bytes);
        const double grown = residentBytes(getpid()) - start;
        std::printf("edge: memory per server, list of %zu servers %26.1f bytes\n", servers,
                    grown / static_cast<double>(servers));
        std::fflush(stdout);
        _exit(0);
    }
    waitpid(child, nullptr, 0);
}

heronmount::Settings pickSettings() {
    heronmount::Settings settings;
    heronmount::ClassSettings messages;
    messages.targetLatency = std::chrono::milliseconds(800);
    messages.clientTimeout = std::chrono::seconds(60);
    messages.idempotency = heronmount::Idempotency::keyed;
    messages.dedupWindow = messages.clientTimeout;
    messages.stretch = 1;
    settings.classes = {messages};
    settings.schedulerCount = 8;
    settings.maxAttempts = 3;
    settings.weights = heronmount::Weights::nominal;
    settings.handshakeCost = 1;
    return settings;
}

// One request more and one answer more, with a few in flight.
class Picks {
public:
    explicit Picks(std::uint32_t servers) : module_(pickSettings(), 7) {
        heronmount::RosterUpdate roster;
        roster.mode = heronmount::RosterMode::full;
        for (std::uint32_t i = 0; i < servers; ++i) {
            heronmount::RosterEntry entry;
            entry.worker = i;
            entry.id = 1000 + i;
            entry.weight = 12;
            roster.entries.push_back(entry);
        }
        tell(std::move(roster));
    }
    void run(int picks) {
        for (int i = 0; i < picks; ++i) {
            now_ += std::chrono::microseconds(500);
            heronmount::RequestArrived arrived;
            arrived.id = ++last_;
            arrived.timeLeft = std::chrono::seconds(60);
            tell(arrived);
            if (last_ <= kOpen) continue;
            heronmount::AttemptEnded ended;
            ended.id = last_ - kOpen;
            ended.outcome = heronmount::Outcome::ok;
            ended.requestFinished = true;
            ended.duration = std::chrono::milliseconds(8);
            tell(ended);
        }
    }
    std::uint64_t sends() const { return sends_; }

private:
    void tell(heronmount::Event event) {
        actions_.clear();
        module_.on(now_, event, actions_);
        for (const auto& action : actions_) {
            if (std::holds_alternative<heronmount::Send>(action)) ++sends_;
        }
    }
    heronmount::Dispatcher module_;
    heronmount::Time now_{std::chrono::seconds(100)};
    std::vector<heronmount::Action> actions_;
    std::uint64_t last_ = 0;
    std::uint64_t sends_ = 0;
};

void measurePick(int runs, std::uint32_t servers) {
    Series micros;
    for (int run = 0; run < runs; ++run) {
        Picks picks(servers);
        picks.run(kPicks / 10);
        const std::uint64_t sends = picks.sends();
        const double start = ownMicros();
        picks.run(kPicks);
        micros.add((ownMicros() - start) / kPicks);
        if (picks.sends() - sends != kPicks) {
            std::printf("sends: %lu\n", static_cast<unsigned long>(picks.sends() - sends));
        }
    }
    micros.print("module: pick and answer, " + std::to_string(servers) + " servers", "us");
}

}  // namespace

int main(int argc, char** argv) {
    quietLog(argv[0]);
    const int runs = argc > 1 ? std::atoi(argv[1]) : 5;
    for (const std::size_t servers : {4'000u, 40'000u, 400'000u}) measureServerMemory(servers);
    for (const int routes : {10, 100, 1'000}) measureConfiguration(runs, routes);
    for (const std::size_t servers : {40u, 400u, 4'000u, 40'000u}) measureServerList(runs, servers);
    for (const std::uint32_t servers : {10u, 100u, 1'000u, 10'000u}) measurePick(runs, servers);
    return 0;
}
