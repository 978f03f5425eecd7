// One real dispatcher: reads what it is told, wires the parts together and runs the loop.
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

struct Wiring : wire::Connector {
    explicit Wiring(net::Loop& l) : loop(l) {}
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

// Looks for the process that this one is to replace.
void meet(net::Loop& loop, takeover::Takeover& takeover, const std::string& at) {
    constexpr std::size_t kMostPath = 90;  // with the suffix of a fresh one it has to fit a socket's name
    if (at.empty() || at.size() > kMostPath) {
        if (!at.empty()) std::fprintf(stderr, "amberswitch: $TMPDIR is too long for a socket's path\n");
        return takeover.alone(loop.now());
    }
    net::Link::connect(loop, takeover.begin(loop.now()), net::asio::local::stream_protocol::endpoint(at));
}

// Guards against a signal that comes before there is anybody to hear it: it waits, and ends nothing.
class HeldSignals {
public:
    HeldSignals() {
        sigemptyset(&set_);
        for (const int one : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) sigaddset(&set_, one);
        sigprocmask(SIG_BLOCK, &set_, nullptr);
    }
    ~HeldSignals() { release(); }
    HeldSignals(const HeldSignals&) = delete;
    HeldSignals& operator=(const HeldSignals&) = delete;
    void release() { sigprocmask(SIG_UNBLOCK, &set_, nullptr); }

private:
    sigset_t set_;
};

int run(config::Reader& reader, HeldSignals& signals) {
    config::Platform config = reader.read();
    const config::Operator own = config::readOperator(config.site);
    const bool speaksGrpc = !own.grpc.listen.empty();
    if (speaksGrpc) settings::addWire(config.site);
    if (config.acceptFd && (speaksGrpc || !own.gearman.listen.empty()))
        throw BadField("ROUTER_ACCEPT_FD: the listeners of gearman and grpc can't be inherited");
    net::Loop loop;
    Wiring wiring(loop);
    // Guards against a list service that can't be called for want of a descriptor: clients and passes may
    // have taken all others. It is one connection, of the process's own share.
    Wiring unbounded(loop);
    Core core(config.site, config.seed, loop.deadlines(), own.placement, loop.now());
    if (own.log.trace)
        core.trace().open([](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); },
                          own.log.linesPerSecond);
    core.trace()(loop.now(), "begin me=%u fleet=%u zone=%d known=%d", config.site.module.schedulerIndex,
                 config.site.module.schedulerCount, config.site.module.zone, config.known ? 1 : 0);
    platform::Servers servers(core, loop.deadlines(), wiring);
    platform::Watch watch(core, servers, loop.deadlines(), unbounded, config.discovery, own.start,
                          config.seed);
    service::Service service;
    start::Gate gate(loop.deadlines(), own.start.waitForList, [&service](Time now) { service.begin(now); });
    watch.setFirst([&gate](Time now) { gate.listed(now); });
    platform::Front front(core, servers, loop.deadlines(), service);
    core.addFarmSource(watch);
    front.setRoom(config.memoryMb * 1024 * 1024 / 4);

    // Descriptors: some are the process's own, some are kept for passes so that a crowd of clients can't
    // stop the jobs that were taken. Who has shown least goes first.
    constexpr std::size_t kOwn = 24;
    const bool controlled = !config.control.empty();
    control::Control control(
        loop.deadlines(), service, [&] { return routerCounters(core) + report(gate, loop.now()); },
        control::Control::placesOf(config.sockets));
    // Operators' callers have places of their own, one more for the one that comes, and the listener.
    const std::size_t kept = controlled ? control.places() + 2 : 0;
    const std::size_t most = config.sockets - kOwn - kept, forClients = most - most / 8;
    takeover::Takeover* other = nullptr;  // where another process of this dispatcher may be at work
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
    wiring.makeRoom = [&](Time now) { return roomBelow(now, most); };

    if (config.acceptFd) watch.keep();  // from its first list on
    const auto say = [](const std::string& line) { std::fprintf(stderr, "amberswitch: %s\n", line.c_str()); };
    store::Keeper keptList({own.start.keepFile, own.start.keepAge}, "ASWLIST1", settings::siteOf(config.site),
                           "list", say);
    if (keptList.on()) watch.keepIn(keptList);
    store::Keeper keptPlaces({own.placement.keepFile, placement::kKeepAge}, "ASWPLCE1",
                             settings::siteOf(config.site), "standings", say);
    placement::keepStandings(core, keptPlaces, loop.now());
    watch.begin(loop.now(), config.known);

    platform::Consul consul(core, servers, loop.deadlines(), unbounded, own.consul, say);
    if (!own.consul.address.empty()) {
        core.addFarmSource(consul);
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
         [&] { return net::Link::open() + kOwn + kept; }, say});
    if (config.acceptFd) {
        other = &takeover;
        front.setElsewhere([&](Time now, const std::string& body, platform::Front::Answer answer) {
            takeover.elsewhere(now, body, [answer = std::move(answer)](Time at, takeover::Link::Word word) {
                answer(at, word == takeover::Link::Word::unknown ? 503 : 204);
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
    // Gearman's peers stay for long and can't be asked to come again: half of the descriptors is theirs at
    // most.
    if (!own.gearman.listen.empty()) {
        gearmanListener.emplace(loop, *net::endpointOf(own.gearman.listen),
                                [&](Time now) { return gearman.accept(now); });
        gearmanListener->setGate(
            [&](Time now) { return gearman.open() < most / 2 && roomBelow(now, forClients); });
    }

    grpc::Front grpcFront(core, loop.deadlines(), own.grpc);
    grpc::Servers grpcServers(core, loop.deadlines(), wiring, own.grpc, config.seed);
    std::optional<net::Listener> grpcListener;
    if (speaksGrpc) {
        grpcServers.configure(loop.now(), own.grpc);
        grpcListener.emplace(loop, *net::endpointOf(own.grpc.listen),
                             [&](Time now) { return grpcFront.accept(now); });
        grpcListener->setGate([&](Time now) { return roomBelow(now, forClients); });
    }

    config::Reload reload(reader, config, own, watch, say, [&](Time now, const config::Operator& next) {
        // Guards against a front that was to be switched off losing what it serves: it waits for the next
        // start as it is.
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

    Deadlines::Ticket leaving;
    bool closing = false;
    const HandOver times = HandOver::of(config.site);
    std::function<void(Time)> leave = [&](Time now) {
        if (front.handedOver(now) && core.open() == 0 && front.quiet() && gearman.quiet() &&
            grpcFront.quiet() && control.quiet()) {
            // No callback is waited for any more. Guards against an exit over what has just come: a close by
            // the exit would reset it. Those who are connected see this side shut down and close theirs.
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
        // With a successor nobody new comes.
        leaving.arm(loop.deadlines(), now + std::chrono::milliseconds(service.succeeded() ? 20 : 750), leave);
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
        meet(loop, takeover, config.meeting);
    service.listen([&](Time now, service::Standing) {
        // Gearman has no word for going elsewhere: its peers are served until the end.
        service.ready() ? grpcFront.resume() : grpcFront.drain(now);
        if (!service.ending()) say(std::string("now ") + service::nameOf(service.standing()));
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
    HeldSignals signals;
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
