// Processor time of an edge process and its two stores for whole messages: a client's request, the accept,
// the delivery to a server, the report. The parent plays client and server over loopback.
//   cluster_message_bench [RUNS] [FOLDER]
#include "bench/cluster_stores.hpp"
#include "cluster/common/evhttp_client.hpp"
#include "cluster/common/evhttp_server.hpp"
#include "cluster/edge/edge_node.hpp"

namespace {

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::bench;

constexpr int kMessages = 20'000;
constexpr int kAtOnce = 32;
constexpr Millis kTimeout{5000};

// The ports of one edge.
struct EdgePorts {
    NodeAddress internal{"127.0.0.1", freePort()};
    NodeAddress front{"127.0.0.1", freePort()};
};

void playEdge(const EdgePorts& ports, const std::shared_ptr<StoreView>& view, const NodeAddress& server) {
    EventLoop loop;
    TcpTransport transport(loop, ports.internal);
    EvhttpClient servers(loop);
    NodeSettings settings;
    settings.name = "edge-0";
    settings.zone = "zone-0";
    settings.ip = "127.0.0.1";
    settings.first_port = static_cast<std::uint16_t>(ports.internal.port - 1);
    settings.last_port = static_cast<std::uint16_t>(ports.internal.port + 1);
    EdgeNode node(loop, transport, servers, settings, 1);
    EvhttpServer front(loop, ports.front, [&node](const HttpRequest& request, HttpResponder respond) {
        node.handleClientRequest(request, std::move(respond));
    });
    node.start();
    node.setEdgeShare({1, 1, 0});
    node.onConfiguration(oneRoute(server));
    node.onView(view);
    node.onServers(std::make_shared<ServerList>());
    loop.run();
}

void measure(int runs, const std::string& folder, std::size_t body_bytes) {
    Series edge_micros, first_store, second_store;
    for (int run = 0; run < runs; ++run) {
        const Stores stores(freshFolder(folder));
        const EdgePorts ports;
        const NodeAddress server_address{"127.0.0.1", freePort()};
        const ChildProcess edge([&] { playEdge(ports, stores.view(), server_address); });
        EventLoop loop;
        int delivered = 0;
        EvhttpServer server(loop, server_address, [&](const HttpRequest&, const HttpResponder& respond) {
            ++delivered;
            respond({200, {{"Response-Stamp", "f3c2a19e55d04b77"}}, "", false});
        });
        EvhttpClient client(loop);
        int taken = 0;
        std::uint64_t next = 941'070'100'000'000;
        const auto begin = [&](int, const std::function<void()>& done) {
            HttpCall call;
            call.to = ports.front;
            call.request = {
                "POST",
                "/bose230/zi72/2f",
                {{"Host", "a.example"}, {"Request-Id", std::to_string(next++)}, {"Deadline-Ms", "5000"}},
                std::string(body_bytes, 'x')};
            call.timeout = kTimeout;
            call.max_connections = 64;
            client.send(call, [&taken, done](const HttpOutcome& outcome) {
                if (outcome.verdict == CallStatus::answered && outcome.response.status == 202) ++taken;
                done();
            });
        };
        runFor(loop, kStartUp);
        Rounds(loop, kMessages / 10, kAtOnce, begin).run();
        runFor(loop, Millis(300));
        const int warm = taken;
        const int warm_delivered = delivered;
        const double start = edge.micros(), first = stores.owner().micros();
        const double second = stores.replica().micros();
        Rounds(loop, kMessages, kAtOnce, begin).run();
        runFor(loop, Millis(500));
        edge_micros.add((edge.micros() - start) / kMessages);
        first_store.add((stores.owner().micros() - first) / kMessages);
        second_store.add((stores.replica().micros() - second) / kMessages);
        std::printf("run %d: %d of %d taken, %d delivered\n", run, taken - warm, kMessages,
                    delivered - warm_delivered);
    }
    const std::string size = std::string(", body of ").append(std::to_string(body_bytes));
    edge_micros.print("edge: whole message" + size, "us");
    first_store.print("store of the edge's zone: whole message" + size, "us");
    second_store.print("other store: whole message" + size, "us");
}

}  // namespace

int main(int argc, char** argv) {
    quietLog(argv[0]);
    const int runs = argc > 1 ? std::atoi(argv[1]) : 5;
    const std::string folder = argc > 2 ? argv[2] : "/tmp/cluster_message_bench." + std::to_string(getpid());
    for (const std::size_t body_bytes : {600u, 5000u}) measure(runs, folder, body_bytes);
    std::filesystem::remove_all(folder);
    return 0;
}
