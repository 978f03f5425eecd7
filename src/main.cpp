// One real dispatcher: reads what it is told, wires the parts together and runs the loop.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "gearman/front.hpp"
#include "net/loop.hpp"
#include "platform/consul.hpp"
#include "platform/front.hpp"
#include "platform/watch.hpp"
#include "report.hpp"
#include "settings/read.hpp"

using namespace amberswitch;
using settings::BadField;

namespace {

struct Config {
    std::string name, listen, discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;
    settings::Site site;
    gearman::Config gearman;
    platform::ConsulConfig consul;
};

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

std::uint64_t readSeed(const settings::object& from) {
    const auto value = settings::find(from, "seed");
    if (!value) throw BadField("field 'seed' is missing");
    std::uint64_t number = 0;
    if (value->get(number) == simdjson::SUCCESS) return number;
    const auto text = settings::as<std::string_view>(*value, "seed", "a number or hex digits");
    char* end = nullptr;
    const std::string digits(text);
    number = std::strtoull(digits.c_str(), &end, 16);
    if (digits.empty() || *end) throw BadField("field 'seed' is not a number or hex digits");
    return number;
}

// A file of the project's own under deploy/, or the one that the variable names. Without one, what it is
// for is off.
template <class Read>
auto readOwn(const char* variable, const char* usual, Read&& read) {
    const char* const given = std::getenv(variable);
    const std::string path = given ? given : usual;
    decltype(read(std::declval<settings::object>())) config;
    std::ifstream file(path);
    if (!file && given) throw BadField("can't read " + path);
    if (!file) return config;
    std::stringstream text;
    text << file.rdbuf();
    simdjson::dom::parser parser;
    settings::element root;
    if (const auto error = parser.parse(text.str()).get(root); error != simdjson::SUCCESS)
        throw BadField(path + " is not valid JSON: " + simdjson::error_message(error));
    try {
        return read(settings::asObject(root, "the file"));
    } catch (const BadField& bad) {
        throw BadField(path + ": " + bad.what());
    }
}

Config readConfig(const settings::object& from) {
    Config config;
    config.name = settings::text(from, "name");
    config.listen = settings::text(from, "listen");
    config.discovery = settings::text(from, "discovery");
    config.seed = readSeed(from);
    if (const auto limits = settings::find(from, "limits"))
        config.sockets = static_cast<std::size_t>(
            settings::integer(settings::asObject(*limits, "limits"), "sockets", 1024));
    if (!net::endpointOf(config.listen)) throw BadField("field 'listen' is not an address and a port");
    if (!net::endpointOf(config.discovery)) throw BadField("field 'discovery' is not an address and a port");
    if (config.sockets < 64) throw BadField("field 'limits.sockets' is under 64");
    config.site = settings::readSite(settings::table(from, "settings"));
    config.gearman = readOwn("AMBERSWITCH_GEARMAN", "deploy/gearman.json", [&](const settings::object& own) {
        return gearman::readConfig(own, config.site);
    });
    if (!config.gearman.listen.empty() && !net::endpointOf(config.gearman.listen))
        throw BadField("gearman: field 'listen' is not an address and a port");
    config.consul = readOwn("AMBERSWITCH_CONSUL", "deploy/consul.json", platform::readConsul);
    if (!config.consul.address.empty() && !net::endpointOf(config.consul.address))
        throw BadField("consul: field 'address' is not an address and a port");
    return config;
}

int run(const Config& config, const settings::object& json) {
    net::Loop loop;
    Wiring wiring(loop);
    Core core(config.site, config.seed, loop.deadlines());
    platform::Servers servers(core, loop.deadlines(), wiring);
    platform::Watch watch(core, servers, loop.deadlines(), wiring, config.discovery);
    platform::Front front(core, servers, loop.deadlines());
    core.addFarmSource(watch);

    // Descriptors: some are the process's own, some are kept for passes so that a crowd of clients can't
    // stop the jobs that were taken.
    constexpr std::size_t kOwn = 24;
    const std::size_t most = config.sockets - kOwn, forClients = most - most / 8;
    const auto roomBelow = [&](Time now, std::size_t limit) {
        while (net::Link::open() >= limit)
            if (!servers.relieve(now) && !front.relieve(now)) return false;
        return true;
    };
    wiring.makeRoom = [&](Time now) { return roomBelow(now, most); };

    if (const auto known = settings::find(json, "known"))
        watch.known(loop.now(), settings::asObject(*known, "known"));

    platform::Consul consul(core, servers, loop.deadlines(), wiring, config.consul);
    if (!config.consul.address.empty()) {
        core.addFarmSource(consul);
        consul.watch(loop.now());
    }

    net::Listener listener(loop, *net::endpointOf(config.listen),
                           [&](Time now) { return front.accept(now); });
    listener.setGate([&](Time now) { return roomBelow(now, forClients); });

    gearman::Front gearman(core, loop.deadlines(), config.gearman);
    std::optional<net::Listener> gearmanListener;
    // Gearman's peers stay for long and can't be asked to come again: half of the descriptors is theirs at
    // most.
    if (!config.gearman.listen.empty()) {
        gearmanListener.emplace(loop, *net::endpointOf(config.gearman.listen),
                                [&](Time now) { return gearman.accept(now); });
        gearmanListener->setGate(
            [&](Time now) { return gearman.open() < most / 2 && roomBelow(now, forClients); });
    }

    const auto counters = [&] { return report(core, servers, watch, front, gearman); };
    front.setReport(counters);
    loop.onSignal(SIGUSR1, [&](Time) { std::fputs(counters().c_str(), stderr); });

    Deadlines::Ticket leaving;
    bool closing = false;
    std::function<void(Time)> leave = [&](Time now) {
        if (core.open() == 0 && front.quiet() && gearman.quiet()) {
            // No callback is waited for any more. Those who came last have one more round to be answered in.
            if (std::exchange(closing, true)) return loop.stop();
            listener.close();
            if (gearmanListener) gearmanListener->close();
        }
        leaving.arm(loop.deadlines(), now + std::chrono::milliseconds(20), leave);
    };
    bool drained = false;
    const auto drain = [&](Time now) {
        if (std::exchange(drained, true)) return;
        front.drain(now);
        gearman.drain(now);
        leaving.arm(loop.deadlines(), now + std::chrono::milliseconds(750), leave);
    };
    loop.onSignal(SIGTERM, drain);
    loop.onSignal(SIGINT, drain);
    gearman.setShutdown(drain);
    std::fprintf(stderr, "amberswitch %s: listening on %s:%d\n", config.name.c_str(),
                 listener.address().address().to_string().c_str(), listener.address().port());
    loop.run();
    listener.close();
    std::fputs(counters().c_str(), stderr);
    return 0;
}

}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const char* const path = std::getenv("ROUTER_CONFIG");
        if (!path) throw BadField("ROUTER_CONFIG is not set");
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        if (!file) throw BadField(std::string("ROUTER_CONFIG: can't read ") + path);
        simdjson::dom::parser parser;
        settings::element root;
        if (const auto error = parser.parse(text.str()).get(root); error != simdjson::SUCCESS)
            throw BadField(std::string("ROUTER_CONFIG is not valid JSON: ") + simdjson::error_message(error));
        const auto json = settings::asObject(root, "config");
        return run(readConfig(json), json);
    } catch (const BadField& bad) {
        std::fprintf(stderr, "amberswitch: %s\n", bad.what());
        return 2;
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "amberswitch: %s\n", failure.what());
        return 1;
    }
}
