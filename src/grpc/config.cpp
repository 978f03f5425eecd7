#include "grpc/config.hpp"

#include <set>

namespace amberswitch::grpc {

using settings::Node;

namespace {

bool metadataName(const std::string& name) {
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    });
}

Route readRoute(const Node& node, const settings::Site& site) {
    const auto from = node.table({"method", "class", "slots", "key"});
    Route route;
    route.path = from.need("method").text();
    const std::size_t slash = route.path.find('/', 1);
    if (route.path.size() < 3 || route.path[0] != '/' || slash == std::string::npos || slash == 1 ||
        route.path.find('/', slash + 1) != std::string::npos)
        from.need("method").fail("is not '/service/method' or '/service/'");
    route.klass = from.need("class").place(site.classes, "class");
    route.slots = from.number("slots", 1, 0.001, 1e6);
    route.keyDemanded = from.flag("key", false);
    return route;
}

ServerEntry readServer(const Node& node, const settings::Site& site) {
    const auto from = node.table(
        {"name", "address", "zone", "type", "group", "weight", "slots", "drain", "pushback_means_unrun"});
    ServerEntry server;
    server.name = from.need("name").text();
    if (server.name.empty()) from.need("name").fail("is empty");
    server.address = from.need("address").text();
    const auto place = [&](const char* field, const std::vector<std::string>& names) {
        const Node* const given = from.find(field);
        return given ? static_cast<int>(given->place(names, field)) : 0;
    };
    server.placed = from.find("zone") != nullptr;
    server.zone = server.placed ? place("zone", site.zones) : site.module.zone;
    server.kind = place("type", site.kinds);
    server.cell = from.integer("group", 0, 0, 1'000'000);
    server.weight = from.number("weight", 1, 0.001, 1e6);
    server.slots = from.integer("slots", server.slots, 0, 100'000);
    server.drain = from.flag("drain", false);
    server.pushbackMeansUnrun = from.flag("pushback_means_unrun", false);
    return server;
}

}  // namespace

const Route* Config::routeOf(std::string_view path) const {
    const Route* found = nullptr;
    for (const Route& route : routes) {
        if (route.path == path && path.back() != '/') return &route;
        if (route.path.back() == '/' && path.size() > route.path.size() &&
            path.substr(0, route.path.size()) == route.path)
            found = &route;
    }
    return found;
}

Config readConfig(const Node& section, const settings::Site& site) {
    const auto from =
        section.table({"listen", "routes", "tenant_key", "affinity_key", "hold_bytes", "most_connections",
                       "most_streams", "most_calls", "servers", "connections_per_server", "keepalive_ms",
                       "keepalive_wait_ms", "idle_ms", "backoff_ms", "most_backoff_ms"});
    Config config;
    config.listen = from.text("listen", "");
    for (const char* name : {"tenant_key", "affinity_key"}) {
        std::string& key = name[0] == 't' ? config.tenantKey : config.affinityKey;
        key = from.text(name, key);
        if (!key.empty() && !metadataName(key)) from.need(name).fail("is no name of metadata");
    }
    const auto count = [&from](const char* name, std::size_t& value, std::int64_t least, std::int64_t most) {
        value = from.integer(name, value, least, most);
    };
    count("hold_bytes", config.holdBytes, 0, 64 * 1024);
    count("most_connections", config.mostConnections, 1, 100'000);
    count("most_streams", config.mostStreams, 1, 10'000);
    count("most_calls", config.mostCalls, 1, 100'000);
    count("connections_per_server", config.connectionsPerServer, 1, 64);
    config.keepalive = from.milliseconds("keepalive_ms", config.keepalive, 0);
    config.keepaliveWait = from.milliseconds("keepalive_wait_ms", config.keepaliveWait, 10);
    config.idle = from.milliseconds("idle_ms", config.idle, 100);
    config.backoff = from.milliseconds("backoff_ms", config.backoff, 10);
    config.mostBackoff = from.milliseconds("most_backoff_ms", config.mostBackoff, 10);
    if (config.mostBackoff < config.backoff)
        (from.find("most_backoff_ms") ? from.need("most_backoff_ms") : from.need("backoff_ms"))
            .fail("the longest wait is below the first");
    if (config.listen.empty()) return config;
    if (const Node* const routes = from.find("routes"))
        for (const Node& node : routes->list()) {
            Route route = readRoute(node, site);
            for (const Route& other : config.routes)
                if (other.path == route.path) node.fail("'" + route.path + "' has a route already");
            config.routes.push_back(std::move(route));
        }
    if (const Node* const servers = from.find("servers")) {
        std::set<std::string> names;
        for (const Node& node : servers->list()) {
            config.servers.push_back(readServer(node, site));
            if (!names.insert(config.servers.back().name).second)
                node.fail("there are two servers '" + config.servers.back().name + "'");
        }
    }
    return config;
}

}  // namespace amberswitch::grpc
