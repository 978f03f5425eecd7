#include "platform/consul.hpp"

#include <algorithm>

namespace amberswitch::platform {

using namespace settings;
using heronmount::RosterMode;
using heronmount::Standing;

namespace {

// Consul advises against asking without a pause: an index can move many times a second.
constexpr Nanos kGap = std::chrono::milliseconds(100);

int placeOf(const std::vector<std::string>& names, std::string_view name) {
    return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::string escaped(std::string_view text) {
    std::string out;
    constexpr char kDigits[] = "0123456789ABCDEF";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || c == '-' || c == '_' || c == '.' || c == '~') {
            out += c;
        } else {
            out += '%', out += kDigits[byte >> 4], out += kDigits[byte & 15];
        }
    }
    return out;
}

}  // namespace

ConsulConfig readConsul(const Node& section) {
    const auto from = section.table({"address", "service", "api", "datacenter", "token", "wait_s"});
    ConsulConfig config;
    config.address = from.text("address", "");
    config.service = from.text("service", "");
    config.token = from.text("token", "");
    config.datacenter = from.text("datacenter", "");
    if (const Node* const api = from.find("api"))
        config.health = api->place({"catalog", "health"}, "api") == 1;
    config.wait = std::chrono::seconds(from.integer("wait_s", std::int64_t{30}, 1, 600));
    if (!config.address.empty() && config.service.empty()) from.need("service").fail("is missing");
    if (config.token.find_first_of("\r\n") != std::string::npos)
        from.need("token").fail("holds the end of a line");
    return config;
}

// Consul adds up to a sixteenth to a wait, so that many queries do not end together.
Consul::Consul(Core& core, Servers& servers, Deadlines& deadlines, wire::Connector& connector,
               ConsulConfig config)
    : LongPoll(core, deadlines, connector, config.address, config.wait + config.wait / 16, kGap),
      servers_(servers),
      config_(std::move(config)) {}

std::string Consul::target() const {
    std::string out = config_.health ? "/v1/health/service/" : "/v1/catalog/service/";
    out += escaped(config_.service) + "?wait=" + std::to_string(config_.wait / std::chrono::seconds(1)) + 's';
    if (index_ > 0) out += "&index=" + std::to_string(index_);
    if (!config_.datacenter.empty()) out += "&dc=" + escaped(config_.datacenter);
    return out;
}

std::string Consul::headers() const {
    return config_.token.empty() ? "" : "X-Consul-Token: " + config_.token + "\r\n";
}

// One instance: of the health API it has Node, Service and Checks, of the catalogue all in one object.
bool Consul::entryOf(const object& from, FarmEntry& told, std::string& address) const {
    const bool health = config_.health;
    const object node = health ? table(from, "Node") : from;
    const object service = health ? table(from, "Service") : from;
    const char* const prefix = health ? "" : "Service";
    const auto named = [prefix](const char* key) { return prefix + std::string(key); };
    const std::string id(text(service, named("ID")));
    std::string_view host = text(service, named("Address"), "");
    if (host.empty()) host = text(node, "Address", "");  // an instance without one has its node's
    const std::int64_t port = integer(service, named("Port"), 0);
    if (id.empty() || host.empty() || port <= 0 || port > 65535) return false;
    address = std::string(host) + ':' + std::to_string(port);
    told.name = id;
    auto& e = told.entry;
    e.zone = placeOf(core_.site().zones, text(node, "Datacenter", ""));
    e.kind = placeOf(core_.site().kinds, "");
    if (const auto meta = find(service, named("Meta"))) {
        const object tags = asObject(*meta, "Meta");
        if (const auto zone = text(tags, "zone", ""); !zone.empty())
            e.zone = placeOf(core_.site().zones, zone);
        e.kind = placeOf(core_.site().kinds, text(tags, "type", ""));
        // Consul's meta data are strings throughout.
        const auto figure = [&tags](const char* key) {
            return static_cast<std::int64_t>(http::wholeNumber(text(tags, key, "0")).value_or(0));
        };
        e.cell = static_cast<int>(figure("group"));
        e.since = Time(std::min<std::int64_t>(figure("since_ms"), 9'000'000'000'000) * 1'000'000);
    }
    bool warning = false;
    if (health)
        for (const element value : list(from, "Checks")) {
            const object check = asObject(value, "Checks");
            const std::string_view status = text(check, "Status", "passing");
            // Maintenance is a critical check too: both complete what they hold and get nothing new.
            if (status == "critical" || status == "maintenance") e.standing = Standing::draining;
            if (status == "warning") warning = true;
        }
    if (const auto weights = find(service, named("Weights")))
        e.units = number(asObject(*weights, "Weights"), warning ? "Warning" : "Passing", 1);
    return true;
}

bool Consul::take(Time now, const http::Message& message) {
    simdjson::dom::array instances;
    if (json_.parse(message.body).get(instances) != simdjson::SUCCESS) return false;
    std::vector<FarmEntry> entries;
    std::vector<std::string> addresses;
    try {
        for (const element value : instances) {
            FarmEntry entry;
            std::string address;
            if (!entryOf(asObject(value, "instance"), entry, address)) continue;
            entries.push_back(std::move(entry)), addresses.push_back(std::move(address));
        }
    } catch (const BadField&) {
        return false;
    }
    // As Consul's documentation asks: an index that goes back starts the watch over.
    const std::string* const header = message.header("x-consul-index");
    const std::uint64_t index = header ? http::wholeNumber(*header).value_or(0) : 0;
    index_ = index < index_ ? 0 : std::max<std::uint64_t>(index, 1);
    for (std::size_t i = 0; i < entries.size(); ++i)
        servers_.learn(now, core_.handleOf(entries[i].name), entries[i].name, addresses[i]);
    core_.farm(now, *this, servers_, RosterMode::whole, entries);
    return true;
}

}  // namespace amberswitch::platform
