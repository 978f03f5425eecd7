// Assembles the planes into processes.
#include "roles.hpp"

#include <glog/logging.h>

#include <csignal>
#include <memory>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include "cluster/common/event_loop.hpp"
#include "cluster/common/evhttp_client.hpp"
#include "cluster/common/evhttp_server.hpp"
#include "cluster/common/invariant.hpp"
#include "cluster/common/metrics_server.hpp"
#include "cluster/common/tcp_transport.hpp"
#include "cluster/common/traffic_meter.hpp"
#include "cluster/control/configuration_reader.hpp"
#include "cluster/control/control_node.hpp"
#include "cluster/control/core_client.hpp"
#include "cluster/control/operator_api.hpp"
#include "cluster/control/register_ring.hpp"
#include "cluster/edge/edge_node.hpp"
#include "cluster/storage/open_ring.hpp"
#include "cluster/storage/store_node.hpp"

namespace amberswitch::cluster {
namespace {

constexpr std::uint64_t kMegabyte = 1024 * 1024;
constexpr std::uint32_t kMessageSegmentBytes = 8 * kMegabyte;
constexpr double kRingShareOfDisk = 0.85;
constexpr Millis kSeedsCheck{5000};
constexpr Millis kEdgeCountInterval{1000};
constexpr Millis kExitCheck{10};
constexpr Millis kQuietBeforeExit{60};
constexpr Millis kExitBeforeGrace{400};

std::unique_ptr<Transport> makeTransport(EventLoop& loop, const NodeAddress& self,
                                         const RoleOptions& options) {
    if (options.make_transport) return options.make_transport(loop, self);
    return std::make_unique<TcpTransport>(loop, self);
}

// The way of one process to the others, with its figures.
struct Exchange {
    Exchange(EventLoop& loop, const NodeSettings& settings, PortOffset offset, const RoleOptions& options)
        : locations(settings.zone, settings.topology),
          transport(makeTransport(loop, settings.internalAddress(offset), options), locations, meter) {}

    NodeLocations locations;
    TrafficMeter meter;
    MeteredTransport transport;
};

Incarnation drawIncarnation() {
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device());
    return (high << 32 | device()) | 1;
}

std::vector<NodeAddress> coreAddresses(const NodeSettings& settings) {
    std::vector<NodeAddress> addresses;
    for (const NodeAddress& seed : settings.seeds)
        addresses.push_back({seed.ip, settings.portOf(PortOffset::core)});
    return addresses;
}

Member describe(const NodeSettings& settings, NodeKind kind, PortOffset offset, Incarnation incarnation) {
    Member member;
    member.name = settings.name;
    member.kind = kind;
    member.zone = settings.zone;
    member.address = settings.internalAddress(offset);
    member.incarnation = incarnation;
    member.bootstrap = settings.bootstrap;
    return member;
}

RingOptions ringOptions(std::uint64_t wanted, std::uint32_t segment, const NodeSettings& settings) {
    const double room =
        kRingShareOfDisk * static_cast<double>(settings.limits.disk_mb) * static_cast<double>(kMegabyte);
    RingOptions options;
    options.capacity_bytes = std::min(wanted, static_cast<std::uint64_t>(room));
    options.segment_bytes = segment;
    return options;
}

// Rereads the settings on SIGHUP and now and then, for the seeds; a file that can't be used changes nothing.
class SeedsReloader {
public:
    SeedsReloader(EventLoop& loop, std::string path, CoreClient& client)
        : loop_(loop), path_(std::move(path)), client_(client) {
        loop_.onSignal(SIGHUP, [this] { reload(); });
        wait();
    }

private:
    void wait() {
        timer_ = loop_.after(kSeedsCheck, [this] {
            reload();
            wait();
        });
    }
    void reload() {
        try {
            client_.setSeeds(coreAddresses(loadNodeSettings(path_)));
        } catch (const SettingsError& error) {
            LOG(WARNING) << "settings not reread: " << error.what();
        }
    }

    EventLoop& loop_;
    std::string path_;
    CoreClient& client_;
    TimerHandle timer_;
};

// Tells an edge once a second how many dispatchers share the servers' connections.
class EdgeCountTeller {
public:
    EdgeCountTeller(EventLoop& loop, const CoreClient& client, EdgeNode& node)
        : loop_(loop), client_(client), node_(node) {
        tell();
    }

private:
    void tell() {
        node_.setEdgeShare(client_.edgeShare());
        timer_ = loop_.after(kEdgeCountInterval, [this] { tell(); });
    }

    EventLoop& loop_;
    const CoreClient& client_;
    EdgeNode& node_;
    TimerHandle timer_;
};

// The last steps of an edge's planned end: answers that are still being written leave before the process
// does.
class EdgeShutdown {
public:
    EdgeShutdown(EventLoop& loop, EvhttpServer& front, EdgeNode& node, Millis grace)
        : loop_(loop), front_(front), node_(node), grace_(grace) {}

    void begin() {
        give_up_at_ = loop_.now() + std::max(grace_ - kExitBeforeGrace, Millis(0));
        front_.startDraining();
        node_.leave([this] {
            front_.stopListening();
            quiet_since_ = loop_.now();
            check();
        });
    }

private:
    void check() {
        const SteadyTime now = loop_.now();
        if (front_.openRequests() > 0 || !node_.isIdle()) quiet_since_ = now;
        if (now - quiet_since_ >= kQuietBeforeExit || now >= give_up_at_) return loop_.stop();
        timer_ = loop_.after(kExitCheck, [this] { check(); });
    }

    EventLoop& loop_;
    EvhttpServer& front_;
    EdgeNode& node_;
    Millis grace_;
    SteadyTime give_up_at_{};
    SteadyTime quiet_since_{};
    TimerHandle timer_;
};

// Of the control address: configurations may be larger than messages.
HttpLimits operatorLimits() {
    HttpLimits limits;
    limits.max_body_bytes = kMaxOperatorBodyBytes;
    return limits;
}

void pauseFor(Millis pause) {
    std::this_thread::sleep_for(pause);
}

}  // namespace

int runCore(const NodeSettings& settings, const RoleOptions& options) {
    if (!settings.control) throw SettingsError("settings", "bindAddrs.control", "a core machine needs it");
    EventLoop loop;
    Exchange exchange(loop, settings, PortOffset::core, options);
    EvhttpClient cloud(loop);
    const auto disk = openRing(loop, settings.data_dir + "/register",
                               ringOptions(kRegisterRingBytes, kRegisterSegmentBytes, settings), pauseFor);
    ControlNode node(loop, exchange.transport, cloud, *disk, settings, drawIncarnation());
    EvhttpServer operators(loop, *settings.control,
                           [&node](const HttpRequest& request, HttpResponder respond) {
                               node.handleHttp(request, std::move(respond));
                           });
    operators.setLimits(operatorLimits());
    MetricsServer metrics(loop, {settings.ip, options.metrics_port}, [&] {
        return node.metricsText() + exchange.meter.text() + invariantMetricsText();
    });
    loop.onSignal(SIGHUP, [] {});
    loop.onSignal(SIGTERM, [&] {
        operators.startDraining();
        node.leave([&loop] { loop.stop(); });
    });
    node.start();
    loop.run();
    return 0;
}

int runStore(const NodeSettings& settings, const RoleOptions& options) {
    EventLoop loop;
    Exchange exchange(loop, settings, PortOffset::store, options);
    const auto disk = openRing(
        loop, settings.data_dir + "/messages",
        ringOptions(std::uint64_t{settings.limits.disk_mb} * kMegabyte, kMessageSegmentBytes, settings),
        pauseFor);
    const Incarnation incarnation = drawIncarnation();
    Member self = describe(settings, NodeKind::store, PortOffset::store, incarnation);
    self.disk_empty = disk->wasEmpty() && !settings.bootstrap;
    StoreNode node(loop, exchange.transport, *disk, settings, incarnation);
    CoreClient::Callbacks callbacks;
    callbacks.on_configuration = [&node](auto configuration) {
        node.onConfiguration(std::move(configuration));
    };
    callbacks.on_servers = [&node](auto servers) { node.onServers(std::move(servers)); };
    callbacks.on_view = [&node](auto view) { node.onView(std::move(view)); };
    CoreClient client(loop, exchange.transport, self, coreAddresses(settings), exchange.locations, callbacks);
    SeedsReloader seeds(loop, options.settings_path, client);
    MetricsServer metrics(loop, {settings.ip, options.metrics_port}, [&] {
        return node.metricsText() + exchange.meter.text() + invariantMetricsText();
    });
    node.onUsable([&client](bool usable) { client.setDiskFailed(!usable); });
    loop.onSignal(SIGTERM, [&] {
        node.leave([&loop] { loop.stop(); });
        client.leave();
    });
    node.start();
    client.start();
    loop.run();
    return 0;
}

int runEdge(const NodeSettings& settings, const RoleOptions& options) {
    if (!settings.front || !settings.readiness)
        throw SettingsError("settings", "bindAddrs", "an edge needs front and readiness");
    EventLoop loop;
    Exchange exchange(loop, settings, PortOffset::edge, options);
    EvhttpClient servers(loop);
    const Incarnation incarnation = drawIncarnation();
    EdgeNode node(loop, exchange.transport, servers, settings, incarnation);
    EvhttpServer front(loop, *settings.front, [&node](const HttpRequest& request, HttpResponder respond) {
        node.handleClientRequest(request, std::move(respond));
    });
    EvhttpServer readiness(loop, *settings.readiness,
                           [&node](const HttpRequest& request, HttpResponder respond) {
                               node.handleReadiness(request, std::move(respond));
                           });
    MetricsServer metrics(loop, {settings.ip, options.metrics_port}, [&] {
        return node.countersText() + servers.counters().text() + exchange.meter.text() +
               invariantMetricsText();
    });
    CoreClient::Callbacks callbacks;
    callbacks.on_configuration = [&](auto configuration) {
        front.setLimits(configuration->limits);
        node.onConfiguration(std::move(configuration));
    };
    callbacks.on_servers = [&node](auto list) { node.onServers(std::move(list)); };
    callbacks.on_view = [&](auto view) { node.onView(std::move(view)); };
    CoreClient client(loop, exchange.transport,
                      describe(settings, NodeKind::edge, PortOffset::edge, incarnation),
                      coreAddresses(settings), exchange.locations, callbacks);
    SeedsReloader seeds(loop, options.settings_path, client);
    ConfigurationReader configuration(loop, exchange.transport, settings.name,
                                      [&client] { return client.coreMachines(); });
    node.onConfigurationRead(
        [&configuration](HttpResponder respond) { configuration.read(std::move(respond)); });
    EdgeCountTeller edge_count(loop, client, node);
    EdgeShutdown shutdown(loop, front, node, settings.bounds.grace);
    loop.onSignal(SIGTERM, [&] {
        shutdown.begin();
        client.leave();
    });
    node.start();
    client.start();
    loop.run();
    return 0;
}

}  // namespace amberswitch::cluster
