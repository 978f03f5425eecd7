// The dispatcher process: reads the settings, connects the parts and runs the event loop.
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "config/reload.hpp"
#include "control/control.hpp"
#include "core/hand_over.hpp"
#include "gearman/front.hpp"
#include "grpc/front.hpp"
#include "grpc/servers.hpp"
#include "net/loop.hpp"
#include "placement/keep.hpp"
#include "platform/front.hpp"
#include "report.hpp"
#include "start/gate.hpp"
#include "takeover/takeover.hpp"

using namespace amberswitch;
using settings::BadField;

namespace {

struct LinkConnector : wire::Connector {
    explicit LinkConnector(net::Loop& l) : loop(l) {}
    net::Loop& loop;
    std::function<bool(Time)> makeRoom;

    void connect(Time now, std::shared_ptr<wire::Machine> machine, const std::string& address) override {
        const auto to = net::endpointOf(address);
        if (!to || (makeRoom && !makeRoom(now))) {
            net::asio::post(loop.strand(),
                            [machine, this] { machine->ended(loop.now(), End::connectRefused); });
            return;
        }
        net::Link::connect(loop, std::move(machine), *to);
    }
};

// Connects to the process that this one replaces, if there is one.
void connectToPredecessor(net::Loop& loop, takeover::Takeover& takeover, const std::string& at) {
    constexpr std::size_t kMaxPathLength = 90;  // plus a suffix it must fit a socket address
    if (at.empty() || at.size() > kMaxPathLength) {
        if (!at.empty()) std::fprintf(stderr, "amberswitch: $TMPDIR is too long for a socket's path\n");
        return takeover.alone(loop.now());
    }
    net::Link::connect(loop, takeover.begin(loop.now()), net::asio::local::stream_protocol::endpoint(at));
}

// Blocks signals until their handlers are installed, so that an early signal is delivered later and doesn't
// kill the process.
class BlockedSignals {
public:
    BlockedSignals() {
        sigemptyset(&set_);
        for (const int one : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) sigaddset(&set_, one);
        sigprocmask(SIG_BLOCK, &set_, nullptr);
    }
    ~BlockedSignals() { release(); }
    BlockedSignals(const BlockedSignals&) = delete;
    BlockedSignals& operator=(const BlockedSignals&) = delete;
    void release() { sigprocmask(SIG_UNBLOCK, &set_, nullptr); }

private:
    sigset_t set_;
};

int run(config::Reader& reader, BlockedSignals& signals) {
    config::Platform config = reader.read();
    const config::Operator own = config::readOperator(config.site);
    const bool speaksGrpc = !own.grpc.listen.empty();
    if (speaksGrpc) settings::addWire(config.site);
    if (config.acceptFd && (speaksGrpc || !own.gearman.listen.empty()))
        throw BadField("ROUTER_ACCEPT_FD: the listeners of gearman and grpc can't be inherited");
    net::Loop loop;
    LinkConnector connector(loop);
    // The list service must be reachable even if clients and passes use all other descriptors. This is one
    // connection out of the reserve of the process.
    LinkConnector unbounded(loop);
    Core core(config.site, config.seed, loop.deadlines(), own.placement, loop.now());
    if (own.log.trace)
        core.trace().open([](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); },
                          own.log.linesPerSecond);
    core.trace()(loop.now(), "begin me=%u fleet=%u zone=%d known=%d", config.site.module.schedulerIndex,
                 config.site.module.schedulerCount, config.site.module.zone, config.known ? 1 : 0);
    platform::Servers servers(core, loop.deadlines(), connector);
    platform::Watch watch(core, servers, loop.deadlines(), unbounded, config.discovery, own.start,
                          config.seed);
    service::Service service;
    start::Gate gate(loop.deadlines(), own.start.waitForList, [&service](Time now) { service.begin(now); });
    watch.setFirst([&gate](Time now) { gate.listed(now); });
    platform::Front front(core, servers, loop.deadlines(), service);
    core.addRosterSource(watch);
    front.setRoom(config.memoryMb * 1024 * 1024 / 4);

    // Some descriptors are reserved for the process, and some for passes, so that many clients can't block
    // accepted jobs. Connections that have sent least are closed first.
    constexpr std::size_t kReservedDescriptors = 24;
    const bool controlled = !config.control.empty();
    control::Control control(
        loop.deadlines(), service, [&] { return routerCounters(core) + report(gate, loop.now()); },
        control::Control::connectionLimitFor(config.sockets));
    // Reserved for operators: their connections, one more being accepted, and the listener.
    const std::size_t kept = controlled ? control.maxConnections() + 2 : 0;
    const std::size_t most = config.sockets - kReservedDescriptors - kept, forClients = most - most / 8;
    takeover::Takeover* other = nullptr;  // set if other processes of this dispatcher may exist
    const auto roomBelow = [&](Time now, std::size_t limit) {
        using platform::Front;
        const std::size_t elsewhere = other ? other->descriptors() : 0;
        while (net::Link::open() - control.open() + elsewhere >= limit)
            if (!front.relieve(now, Front::stranger) && !servers.relieve(now) && !front.relieve(now)) {
                front.hurry(now);
                return false;
            }
        return true;
    };
    connector.makeRoom = [&](Time now) { return roomBelow(now, most); };

    if (config.acceptFd) watch.keep();  // before the first list arrives
    const auto say = [](const std::string& line) { std::fprintf(stderr, "amberswitch: %s\n", line.c_str()); };
    store::StateFile keptList({own.start.keepFile, own.start.keepAge}, "ASWLIST1",
                              settings::siteOf(config.site), "list", say);
    if (keptList.on()) watch.keepIn(keptList);
    store::StateFile keptPlaces({own.placement.keepFile, placement::kKeepAge}, "ASWPLCE1",
                                settings::siteOf(config.site), "standings", say);
    placement::persistPlacements(core, keptPlaces, loop.now());
    watch.begin(loop.now(), config.known);

    platform::Consul consul(core, servers, loop.deadlines(), unbounded, own.consul, say);
    if (!own.consul.address.empty()) {
        core.addRosterSource(consul);
        consul.begin(loop.now());
        consul.watch(loop.now());
    }

    const net::tcp::endpoint clientsAt = *net::endpointOf(config.listen);
    const auto acceptClient = [&](Time now) { return front.accept(now); };
    std::optional<net::Listener> held;
    try {
        if (config.acceptFd)
            held.emplace(loop, *config.acceptFd, clientsAt, acceptClient);
        else
            held.emplace(loop, clientsAt, acceptClient);
    } catch (const std::exception& unusable) {
        if (config.acceptFd) throw BadField(std::string("ROUTER_ACCEPT_FD: ") + unusable.what());
        throw;
    }
    net::Listener& listener = *held;
    listener.setGate([&](Time now) { return roomBelow(now, forClients); });

    std::optional<net::Listener> meeting;
    takeover::Takeover takeover(
        loop.deadlines(), service, config.name,
        {[&] { return watch.told(); }, [&] { return front.idsInUse(); },
         [&](Time now, std::string_view list, const std::vector<std::string>& ids) {
             try {
                 watch.inherit(now, list);
             } catch (const BadField& bad) {
                 say(std::string("the old process's list can't be used: ") + bad.what());
             }
             front.claimElsewhere(now, ids);
             watch.hasten(now);
         },
         [&](Time, bool yes) { yes ? listener.resume() : listener.pause(); },
         [&](Time) {
             if (config.meeting.empty()) return;
             try {
                 meeting.emplace(loop, config.meeting, [&](Time now) { return takeover.accept(now); });
             } catch (const std::exception& unusable) {
                 say(std::string("no process can take over: ") + unusable.what());
             }
         },
         [&](Time now, const std::string& body) {
             return servers.callback(now, body) == platform::Servers::Call::taken;
         },
         [&] { return net::Link::open() + kReservedDescriptors + kept; }, say});
    if (config.acceptFd) {
        other = &takeover;
        front.setElsewhere([&](Time now, const std::string& body, platform::Front::Answer answer) {
            takeover.elsewhere(now, body,
                               [answer = std::move(answer)](Time at, takeover::Link::CallbackResult word) {
                                   answer(at, word == takeover::Link::CallbackResult::unknown ? 503 : 204);
                               });
        });
    }

    std::optional<net::Listener> controlListener;
    if (controlled) {
        try {
            controlListener.emplace(loop, *net::endpointOf(config.control),
                                    [&](Time now) { return control.accept(now); });
        } catch (const std::exception& unusable) {
            throw BadField(std::string("operator: ") + unusable.what());
        }
    }

    gearman::Front gearman(core, loop.deadlines(), own.gearman);
    std::optional<net::Listener> gearmanListener;
    // Gearman connections are long-lived and can't be told to reconnect, so they use at most half of the
    // descriptors.
    if (!own.gearman.listen.empty()) {
        gearmanListener.emplace(loop, *net::endpointOf(own.gearman.listen),
                                [&](Time now) { return gearman.accept(now); });
        gearmanListener->setGate(
            [&](Time now) { return gearman.open() < most / 2 && roomBelow(now, forClients); });
    }

    grpc::Front grpcFront(core, loop.deadlines(), own.grpc);
    grpc::Servers grpcServers(core, loop.deadlines(), connector, own.grpc, config.seed);
    std::optional<net::Listener> grpcListener;
    if (speaksGrpc) {
        grpcServers.configure(loop.now(), own.grpc);
        grpcListener.emplace(loop, *net::endpointOf(own.grpc.listen),
                             [&](Time now) { return grpcFront.accept(now); });
        grpcListener->setGate([&](Time now) { return roomBelow(now, forClients); });
    }

    config::Reload reload(reader, config, own, watch, say, [&](Time now, const config::Operator& next) {
        // Switching the front on or off takes effect at the next start, so that open calls are not lost.
        if (!speaksGrpc || next.grpc.listen.empty()) return;
        grpcFront.configure(next.grpc);
        grpcServers.configure(now, next.grpc);
    });
    const auto counters = [&] {
        return report(core, servers, watch, front, gearman, reload) +
               (controlled ? report(control) : std::string()) +
               (config.acceptFd ? report(takeover) : std::string()) +
               (keptList.on() ? report(keptList) : std::string()) +
               (core.placement().on() ? report(core.placement()) : std::string()) +
               (own.consul.address.empty() ? std::string() : report(consul)) +
               (speaksGrpc ? report(grpcFront, grpcServers) : std::string());
    };
    front.setReport(counters);
    loop.onSignal(SIGUSR1, [&](Time) { std::fputs(counters().c_str(), stderr); });

    Deadlines::Timer leaving;
    bool closing = false;
    const ShutdownSchedule times = ShutdownSchedule::of(config.site);
    std::function<void(Time)> leave = [&](Time now) {
        if (front.handedOver(now) && core.openTransactions() == 0 && front.quiet() && gearman.quiet() &&
            grpcFront.quiet() && control.quiet()) {
            // No callback is pending. The connections are shut down before the exit, so that peers can close
            // them; an immediate exit would reset connections with unread input.
            const bool left = front.open() == 0 || now >= service.since() + times.exit;
            if (std::exchange(closing, true) && left) return loop.stop();
            listener.close();
            if (gearmanListener) gearmanListener->close();
            if (grpcListener) grpcListener->close();
            front.shutdown(now);
        }
        leaving.arm(loop.deadlines(), now + std::chrono::milliseconds(20), leave);
    };
    const auto drain = [&](Time now) {
        if (service.ending()) return;
        service.end(now);
        gearman.drain(now);
        // With a successor, no new clients arrive.
        leaving.arm(loop.deadlines(), now + std::chrono::milliseconds(service.hasSuccessor() ? 20 : 750),
                    leave);
        loop.deadlines().once(now + times.giveUp, [&](Time at) { core.giveUpAll(at); });
        std::fputs("amberswitch: ending; clients are served until the hand-over's end\n", stderr);
    };
    loop.onSignal(SIGHUP, [&](Time now) { reload(now); });
    loop.onSignal(SIGTERM, drain);
    loop.onSignal(SIGINT, drain);
    gearman.setShutdown(drain);
    std::fprintf(stderr, "amberswitch %s: listening on %s:%d\n", config.name.c_str(),
                 listener.address().address().to_string().c_str(), listener.address().port());
    if (grpcListener)
        std::fprintf(stderr, "amberswitch %s: gRPC on %s:%d\n", config.name.c_str(),
                     grpcListener->address().address().to_string().c_str(), grpcListener->address().port());
    if (controlListener)
        std::fprintf(stderr, "amberswitch %s: operators on %s:%d\n", config.name.c_str(),
                     controlListener->address().address().to_string().c_str(),
                     controlListener->address().port());
    const bool others = speaksGrpc || !own.gearman.listen.empty() || !own.consul.address.empty();
    if (!config.acceptFd)
        gate.begin(loop.now(), others                   ? start::Gate::Has::otherSource
                               : watch.begunWithAList() ? start::Gate::Has::oldList
                                                        : start::Gate::Has::nothing);
    else
        connectToPredecessor(loop, takeover, config.meeting);
    service.subscribe([&](Time now, service::ServiceState) {
        // Gearman has no message for redirecting peers, so they are served until the process ends.
        service.ready() ? grpcFront.resume() : grpcFront.drain(now);
        if (!service.ending()) say(std::string("now ") + service::nameOf(service.state()));
    });
    signals.release();
    loop.run();
    listener.close();
    if (!own.consul.address.empty()) consul.end(loop.now());
    grpcFront.closeAll(loop.now()), grpcServers.closeAll(loop.now());
    std::fputs((counters() + routerCounters(core)).c_str(), stderr);
    return 0;
}

}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    BlockedSignals signals;
    try {
        const char* const path = std::getenv("ROUTER_CONFIG");
        if (!path) throw BadField("ROUTER_CONFIG is not set");
        config::Reader reader(path);
        return run(reader, signals);
    } catch (const BadField& bad) {
        std::fprintf(stderr, "amberswitch: %s\n", bad.what());
        return 2;
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "amberswitch: %s\n", failure.what());
        return 1;
    }
}
