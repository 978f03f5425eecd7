// Processor time and memory of one core machine for lease renewals, long polls, changes of the configuration
// and changes of the server list, by the number of edges. The core machine is a whole process; the parent
// plays the edges over loopback.
//   cluster_core_bench [RUNS] [PART]
// PART: renewals, rest, memory, polls or changes; all without it.
#include <filesystem>
#include <memory>

#include "bench/cluster_bench_support.hpp"
#include "cluster/common/evhttp_client.hpp"
#include "cluster/common/tcp_transport.hpp"
#include "cluster/common/typed_call.hpp"
#include "cluster/control/control_node.hpp"
#include "cluster/control/core_client.hpp"
#include "cluster/control/distribution.hpp"
#include "cluster/storage/ring_store.hpp"

namespace {

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::bench;

constexpr int kRenewals = 20'000;
constexpr int kAtOnce = 32;
constexpr int kConnections = 1'000;
constexpr int kPolls = 20'000;
constexpr Millis kTimeout{20'000};
constexpr Millis kStartUp{3500};
constexpr std::uint64_t kRingBytes = 16u << 20;
// Kinds that only this bench uses: the body is a number.
constexpr std::uint16_t kSetConfiguration = 900;
constexpr std::uint16_t kSetServers = 901;

// A core machine; `seeds`: of all of them.
void playCore(const std::string& ip, std::uint16_t port, const std::vector<NodeAddress>& seeds,
              const std::string& folder) {
    NodeSettings settings;
    settings.name = "core-" + ip;
    settings.zone = "zone-0";
    settings.ip = ip;
    settings.first_port = port;
    settings.last_port = static_cast<std::uint16_t>(port + 2);
    settings.seeds = seeds;
    settings.bootstrap = true;
    EventLoop loop;
    TcpTransport transport(loop, settings.internalAddress(PortOffset::core));
    EvhttpClient cloud(loop);
    RingOptions options;
    options.capacity_bytes = kRingBytes;
    RingStore disk(loop, folder, options);
    ControlNode node(loop, transport, cloud, disk, settings, 1);
    node.start();
    loop.run();
}

Member edgeMember(int index) {
    Member member;
    member.name = "edge-hall-trakia-" + std::to_string(index);
    member.kind = NodeKind::edge;
    member.zone = "hall-trakia";
    member.address = {"10.20.1.17", 7781};
    member.incarnation = static_cast<Incarnation>(index) + 1;
    return member;
}

void renew(Transport& transport, const NodeAddress& core, int index, const std::function<void()>& done) {
    RenewLeaseRequest request;
    request.member = edgeMember(index);
    request.view_epoch = 3;
    request.config_generation = 7;
    callFor<RenewLeaseReply>(transport, core, MessageKind::renew_lease, request, kTimeout,
                             [done](const std::optional<RenewLeaseReply>&) { done(); });
}

// Renewals of that many edges, in turn.
void measureRenewals(int runs, int edges, const std::string& folder) {
    Series micros;
    for (int run = 0; run < runs; ++run) {
        std::filesystem::remove_all(folder);
        const std::uint16_t port = freePort();
        const ChildProcess core([port, folder] {
            playCore("127.0.0.1", port, {{"127.0.0.1", port}}, folder);
        });
        EventLoop loop;
        TcpTransport transport(loop, {"127.0.0.1", 0});
        const NodeAddress address{"127.0.0.1", port};
        runFor(loop, kStartUp);
        const auto begin = [&](int round, const std::function<void()>& done) {
            renew(transport, address, round % edges, done);
        };
        Rounds(loop, edges, kAtOnce, begin).run();
        const double start = core.micros();
        Rounds(loop, kRenewals, kAtOnce, begin).run();
        micros.add((core.micros() - start) / kRenewals);
    }
    micros.print("core: renewal, " + std::to_string(edges) + " edges known", "us");
}

// What an edge spends on leases and long polls while nothing changes, with three core machines; and what each
// of these spends on one more edge.
void playCoreClient(const std::vector<NodeAddress>& core) {
    EventLoop loop;
    TcpTransport transport(loop, {"127.0.0.1", 0});
    Member self = edgeMember(0);
    self.address = transport.address();
    NodeLocations locations(self.zone, {});
    CoreClient client(loop, transport, self, core, locations, {});
    client.start();
    loop.run();
}

void measureEdgeAtRest(int runs, const std::string& folder) {
    constexpr Millis kSpan{5000};
    std::filesystem::remove_all(folder);
    const std::uint16_t port = freePort();
    const std::vector<NodeAddress> core{{"127.0.0.1", port}, {"127.0.0.2", port}, {"127.0.0.3", port}};
    std::vector<std::unique_ptr<ChildProcess>> machines;
    for (const NodeAddress& address : core) {
        machines.push_back(std::make_unique<ChildProcess>(
            [&] { playCore(address.ip, port, core, folder + "/" + address.ip); }));
    }
    const ChildProcess edge([&core] { playCoreClient(core); });
    EventLoop loop;
    runFor(loop, kStartUp);
    Series micros, memory;
    for (int run = 0; run < runs; ++run) {
        const double start = edge.micros();
        runFor(loop, kSpan);
        micros.add((edge.micros() - start) / static_cast<double>(kSpan.count()) * 1000);
    }
    memory.add(edge.resident());
    micros.print("edge: leases and long polls at rest, per second", "us");
    memory.print("edge: a process of these only", "bytes");
}

// Memory of one edge: its entry, and its connection.
void measureEdgeMemory(int runs, const std::string& folder) {
    Series entry, connection;
    constexpr int kEntries = 13'000;
    for (int run = 0; run < runs; ++run) {
        std::filesystem::remove_all(folder);
        const std::uint16_t port = freePort();
        const ChildProcess core([port, folder] {
            playCore("127.0.0.1", port, {{"127.0.0.1", port}}, folder);
        });
        EventLoop loop;
        std::vector<std::unique_ptr<TcpTransport>> edges;
        edges.push_back(std::make_unique<TcpTransport>(loop, NodeAddress{"127.0.0.1", 0}));
        const NodeAddress address{"127.0.0.1", port};
        runFor(loop, kStartUp);
        Rounds(loop, 100, kAtOnce, [&](int round, const std::function<void()>& done) {
            renew(*edges[0], address, round, done);
        }).run();
        const double start = core.resident();
        Rounds(loop, kEntries, kAtOnce, [&](int round, const std::function<void()>& done) {
            renew(*edges[0], address, 100 + round, done);
        }).run();
        const double entries = core.resident();
        entry.add((entries - start) / kEntries);
        for (int i = 0; i < kConnections; ++i) {
            edges.push_back(std::make_unique<TcpTransport>(loop, NodeAddress{"127.0.0.1", 0}));
        }
        Rounds(loop, kConnections, kAtOnce, [&](int round, const std::function<void()>& done) {
            renew(*edges[static_cast<std::size_t>(round) + 1], address, round, done);
        }).run();
        connection.add((core.resident() - entries) / kConnections);
    }
    entry.print("core: memory of an edge's entry", "bytes");
    connection.print("core: memory of an edge's connection (user space)", "bytes");
}

ServerList serverList(std::uint64_t count, std::size_t servers) {
    ServerList list;
    list.version = {1, count};
    for (std::size_t i = 0; i < servers; ++i) {
        ServerEntry entry;
        entry.uid = "i-0f3a55d1c" + std::to_string(100'000 + i);
        entry.service = "booking-desk";
        entry.address = {"10.40.3.117", 8080};
        entry.zone = "hall-trakia";
        entry.capacity = 12;
        list.servers.push_back(entry);
    }
    return list;
}

// A configuration of about so many bytes, whose first service differs by version.
std::string configurationOf(std::int64_t version, std::size_t bytes) {
    std::string services;
    for (std::size_t i = 0; services.size() < bytes; ++i) {
        const std::size_t name = i == 0 ? static_cast<std::size_t>(version) : i;
        services += std::string(i == 0 ? "" : ",") + R"({"name":"service-)" +
                    std::to_string(std::hash<std::size_t>{}(name)*2654435761U) + "-" + std::to_string(i) +
                    R"(","healthCheck":"/healthz","maxConnections":96,"ratePerS":0.0,"static":null})";
    }
    return R"({"generation":)" + std::to_string(version) + R"(,"routes":[],"services":[)" + services + "]}";
}

// Only the long polls of a core machine, with values that the parent commands.
void playDistribution(std::uint16_t port) {
    EventLoop loop;
    TcpTransport transport(loop, {"127.0.0.1", port});
    Distribution distribution(loop, {.is_fresh = [] { return true; },
                                     .is_confirmed_since = [](SteadyTime) { return true; },
                                     .confirm = [] {}});
    std::int64_t version = 0;
    transport.serve([&](const Envelope& request, const Responder& respond) {
        if (request.kind == static_cast<std::uint16_t>(MessageKind::watch)) {
            if (const auto watch = decode<WatchRequest>(request.body)) distribution.watch(*watch, respond);
            return;
        }
        ++version;
        const std::size_t size = std::stoul(request.body);
        if (request.kind == kSetConfiguration) {
            distribution.setConfiguration({version, configurationOf(version, size), {}});
        }
        if (request.kind == kSetServers) {
            distribution.setServers(serverList(static_cast<std::uint64_t>(version), size));
        }
        respond(Envelope{});
    });
    loop.run();
}

// Edges that watch, each on a connection of its own.
class Watchers {
public:
    Watchers(EventLoop& loop, NodeAddress core, int count) : core_(std::move(core)), versions_(count) {
        for (int i = 0; i < count; ++i) {
            transports_.push_back(std::make_unique<TcpTransport>(loop, NodeAddress{"127.0.0.1", 0}));
        }
    }
    int count() const { return static_cast<int>(transports_.size()); }
    // `done` runs once the answer is here; the bytes are counted.
    void watch(std::size_t index, std::int64_t wait_ms, const std::function<void()>& done) {
        WatchRequest request;
        request.name = "edge-hall-trakia-" + std::to_string(index);
        request.config_generation = versions_[index].generation;
        request.servers = versions_[index].servers;
        request.max_wait_ms = wait_ms;
        transports_[index]->call(core_, envelope(MessageKind::watch, request), kTimeout,
                                 [this, index, done](const CallResult& result) {
                                     answered(index, result);
                                     done();
                                 });
    }
    double bytes = 0;

private:
    struct Versions {
        std::int64_t generation = 0;
        ServerListVersion servers;
    };
    void answered(std::size_t index, const CallResult& result) {
        bytes += static_cast<double>(result.reply.body.size());
        const auto reply = decode<WatchReply>(result.reply.body);
        if (!reply) return;
        if (reply->config) versions_[index].generation = reply->config->configuration.generation;
        if (reply->servers) versions_[index].servers = reply->servers->version;
    }
    NodeAddress core_;
    std::vector<Versions> versions_;
    std::vector<std::unique_ptr<TcpTransport>> transports_;
};

// One change while all watch; the processor time of the change and of its sending to all.
void measureChange(int runs, std::uint16_t kind, std::size_t size, int watchers, const std::string& what) {
    Series micros, bytes, peak;
    const std::uint16_t port = freePort();
    const ChildProcess core([port] { playDistribution(port); });
    const NodeAddress address{"127.0.0.1", port};
    EventLoop loop;
    TcpTransport operators(loop, {"127.0.0.1", 0});
    runFor(loop, Millis(300));
    Watchers edges(loop, address, watchers);
    const auto change = [&] {
        operators.call(address, {kind, std::to_string(size)}, kTimeout, [](const CallResult&) {});
    };
    const double resident = core.resident();
    for (int run = 0; run <= runs; ++run) {
        edges.bytes = 0;
        const double start = core.micros();
        const TimerHandle trigger = loop.after(Millis(300), change);
        Rounds(loop, watchers, watchers, [&](int round, const std::function<void()>& done) {
            edges.watch(static_cast<std::size_t>(round), 5000, done);
        }).run();
        if (run == 0) continue;  // connections are made in it
        micros.add((core.micros() - start) / watchers);
        bytes.add(edges.bytes / watchers);
    }
    peak.add((statusBytes(core.process(), "VmHWM") - resident) / watchers);
    const std::string at = what + ", " + std::to_string(watchers) + " listeners";
    micros.print("core: " + at + ", each", "us");
    bytes.print("core: " + at + ", each", "bytes");
    peak.print("core: peak memory of " + at + ", each", "bytes");
}

// Long polls that end without news.
void measureEmptyPolls(int runs) {
    Series micros;
    const std::uint16_t port = freePort();
    const ChildProcess core([port] { playDistribution(port); });
    EventLoop loop;
    runFor(loop, Millis(300));
    Watchers edges(loop, {"127.0.0.1", port}, 500);
    for (int run = 0; run <= runs; ++run) {
        const double start = core.micros();
        Rounds(loop, kPolls, edges.count(), [&](int round, const std::function<void()>& done) {
            edges.watch(static_cast<std::size_t>(round % edges.count()), 100, done);
        }).run();
        if (run > 0) micros.add((core.micros() - start) / kPolls);
    }
    micros.print("core: long poll without news", "us");
}

void measureChanges(int runs) {
    for (const int listeners : {100, 400, 1'600}) {
        for (const std::size_t size : {10'000u, 100'000u}) {
            measureChange(runs, kSetConfiguration, size, listeners,
                          "configuration of " + std::to_string(size) + " bytes");
        }
    }
    for (const std::size_t servers : {40u, 400u, 4'000u}) {
        measureChange(runs, kSetServers, servers, 400, "list of " + std::to_string(servers) + " servers");
    }
    measureChange(runs, kSetServers, 400, 1'600, "list of 400 servers");
}

void printSizes() {
    RenewLeaseRequest renewal;
    renewal.member = edgeMember(4711);
    RenewLeaseReply reply;
    reply.leader_name = "core-hall-trakia-1";
    reply.core.assign(3, {"10.20.1.3", 7780});
    WatchRequest watch;
    watch.name = renewal.member.name;
    std::printf("encoded bytes: renewal %zu, its answer %zu; watch %zu, its empty answer %zu\n",
                encode(renewal).size(), encode(reply).size(), encode(watch).size(),
                encode(WatchReply{}).size());
}

}  // namespace

int main(int argc, char** argv) {
    quietLog(argv[0]);
    const int runs = argc > 1 ? std::atoi(argv[1]) : 5;
    const std::string folder = "/tmp/cluster_core_bench." + std::to_string(getpid());
    const std::string part = argc > 2 ? argv[2] : "";
    const auto wanted = [&part](const char* name) { return part.empty() || part == name; };
    printSizes();
    if (wanted("renewals")) {
        for (const int edges : {100, 1'000, 4'000, 13'000}) measureRenewals(runs, edges, folder);
    }
    if (wanted("rest")) measureEdgeAtRest(runs, folder);
    if (wanted("memory")) measureEdgeMemory(runs, folder);
    if (wanted("polls")) measureEmptyPolls(runs);
    if (wanted("changes")) measureChanges(runs);
    std::filesystem::remove_all(folder);
    return 0;
}
