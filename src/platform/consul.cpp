#include "platform/consul.hpp"

#include <algorithm>

namespace amberswitch::platform {

using namespace settings;
using heronmount::RosterMode;
using heronmount::WorkerStatus;

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
    const auto from =
        section.table({"address", "service", "api", "datacenter", "token", "wait_s", "hold_down_ms",
                       "most_hold_down_ms", "flap_half_life_ms", "keep_file", "keep_age_s"});
    ConsulConfig config;
    config.address = from.text("address", "");
    config.service = from.text("service", "");
    config.token = from.text("token", "");
    config.datacenter = from.text("datacenter", "");
    if (const Node* const api = from.find("api"))
        config.health = api->place({"catalog", "health"}, "api") == 1;
    config.wait = std::chrono::seconds(from.integer("wait_s", std::int64_t{30}, 1, 600));
    config.hold.first = from.milliseconds("hold_down_ms", config.hold.first, 0);
    config.hold.most = from.milliseconds("most_hold_down_ms", config.hold.most, 0);
    config.hold.halfLife = from.milliseconds("flap_half_life_ms", config.hold.halfLife, 1);
    config.keep.file = from.text("keep_file", "");
    config.keep.maxAge = std::chrono::seconds(from.integer("keep_age_s", std::int64_t{3600}, 1, 31'536'000));
    if (!config.address.empty() && config.service.empty()) from.need("service").fail("is missing");
    if (config.token.find_first_of("\r\n") != std::string::npos)
        from.need("token").fail("holds the end of a line");
    return config;
}

// Consul adds up to a sixteenth to a wait, so that many queries do not end together.
Consul::Consul(Core& core, Servers& servers, Deadlines& deadlines, wire::Connector& connector,
               ConsulConfig config, consul::Keeper::Say say)
    : LongPoll(core, deadlines, connector, config.address,
               {config.wait + config.wait / 16, kGrace, kGap, Nanos(0)}),
      servers_(servers),
      config_(std::move(config)),
      view_(config_.hold),
      deadlines_(deadlines),
      keeper_(config_.keep, settings::siteOf(core.site()), std::move(say)) {}

void Consul::begin(Time now) {
    const auto kept = keeper_.load(now);
    if (!kept) return;
    const auto at = kept->scopes.find(config_.service);
    if (at != kept->scopes.end()) tell(now, view_.answer(kept->at, at->first, at->second), RosterMode::stale);
}

void Consul::end(Time now) {
    if (view_.heardOf(config_.service)) keeper_.save(now, view_.listings());
}

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
bool Consul::readInstance(const object& from, consul::Instance& out) const {
    const bool health = config_.health;
    const object node = health ? table(from, "Node") : from;
    const object service = health ? table(from, "Service") : from;
    const char* const prefix = health ? "" : "Service";
    const auto named = [prefix](const char* key) { return prefix + std::string(key); };
    out.id = text(service, named("ID"));
    std::string_view host = text(service, named("Address"), "");
    if (host.empty()) host = text(node, "Address", "");  // an instance without one has its node's
    const std::int64_t port = integer(service, named("Port"), 0);
    if (out.id.empty() || host.empty() || port <= 0 || port > 65535) return false;
    out.address = std::string(host) + ':' + std::to_string(port);
    out.created = static_cast<std::uint64_t>(std::max<std::int64_t>(0, integer(service, "CreateIndex", 0)));
    out.zone = placeOf(core_.site().zones, text(node, "Datacenter", ""));
    out.kind = placeOf(core_.site().kinds, "");
    if (const auto meta = find(service, named("Meta"))) {
        const object tags = asObject(*meta, "Meta");
        if (const auto zone = text(tags, "zone", ""); !zone.empty())
            out.zone = placeOf(core_.site().zones, zone);
        out.kind = placeOf(core_.site().kinds, text(tags, "type", ""));
        // Consul's meta data are strings throughout.
        const auto figure = [&tags](const char* key) {
            return static_cast<std::int64_t>(http::wholeNumber(text(tags, key, "0")).value_or(0));
        };
        out.cell = static_cast<int>(figure("group"));
        out.since = Time(std::min<std::int64_t>(figure("since_ms"), 9'000'000'000'000) * 1'000'000);
    }
    if (health)  // those of the service and of its node alike
        for (const element value : list(from, "Checks")) {
            const std::string_view status = text(asObject(value, "Checks"), "Status", "passing");
            // Maintenance is a critical check too: both complete what they hold and get nothing new.
            if (status == "critical" || status == "maintenance") out.health = consul::Health::critical;
            if (status == "warning") out.health = std::max(out.health, consul::Health::warning);
        }
    if (const auto weights = find(service, named("Weights"))) {
        out.passingWeight = number(asObject(*weights, "Weights"), "Passing", 1);
        out.warningWeight = number(asObject(*weights, "Weights"), "Warning", 1);
    }
    return true;
}

bool Consul::take(Time now, const http::Message& message) {
    simdjson::dom::array instances;
    if (json_.parse(message.body).get(instances) != simdjson::SUCCESS) return false;
    std::vector<consul::Instance> list;
    try {
        for (const element value : instances) {
            consul::Instance instance;
            if (readInstance(asObject(value, "instance"), instance)) list.push_back(std::move(instance));
        }
    } catch (const BadField&) {
        return false;
    }
    // As Consul's documentation asks: an index that goes back starts the watch over.
    const std::string* const header = message.header("x-consul-index");
    const std::uint64_t index = header ? http::wholeNumber(*header).value_or(0) : 0;
    index_ = index < index_ ? 0 : std::max<std::uint64_t>(index, 1);
    tell(now, view_.answer(now, config_.service, list));
    return true;
}

// Only what has changed goes on. What is held down comes when its time is up.
void Consul::tell(Time now, const consul::View::Changes& changes, RosterMode mode) {
    if (const auto next = view_.next())
        heldDown_.arm(deadlines_, *next, [this](Time at) { tell(at, view_.due(at)); });
    else
        heldDown_.disarm();
    if (changes.empty() && !std::exchange(lost_, false)) return;  // after a loss the module hears in any case
    lost_ = false;
    std::vector<RosterServer> entries;
    for (const consul::Member& member : changes) {
        RosterServer told;
        told.name = member.name;
        auto& e = told.entry;
        e.zone = member.zone, e.kind = member.kind, e.cell = member.cell;
        e.weight = member.units, e.startedAt = member.since, e.status = member.standing;
        entries.push_back(std::move(told));
        servers_.learn(now, core_.handleOf(member.name), member.name, member.address);
    }
    core_.updateRoster(now, *this, servers_, mode, entries);
    if (keeper_.on() && !keep_.armed())
        keep_.arm(deadlines_, now + kKeepEvery, [this](Time at) { keeper_.save(at, view_.listings()); });
}

}  // namespace amberswitch::platform
