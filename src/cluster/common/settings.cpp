#include "cluster/common/settings.hpp"

#include <limits>

#include "cluster/common/settings_field.hpp"

namespace amberswitch::cluster {
namespace {

constexpr double kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr NumberRange kPort{1, 65535};
constexpr NumberRange kCount{0, kMaxUint32};
constexpr NumberRange kPositiveCount{1, kMaxUint32};
constexpr NumberRange kPositive{1e-6, 1e9};
constexpr NumberRange kNotNegative{0, 1e9};
constexpr std::uint16_t kPortsNeeded = static_cast<std::uint16_t>(PortOffset::store) + 1;

std::optional<NodeAddress> addressIfAny(const SettingsField& field) {
    if (field.isAbsent()) return std::nullopt;
    return field.address();
}

std::vector<std::string> readServes(const SettingsField& field) {
    std::vector<std::string> serves;
    for (const SettingsField& item : field.items()) serves.push_back(item.text());
    return serves;
}

void readPortRange(const SettingsField& field, NodeSettings& settings) {
    if (field.isAbsent()) field.fail("is missing");
    const std::vector<SettingsField> ends = field.items();
    if (ends.size() != 2) field.fail("must be a list of two ports");
    settings.first_port = static_cast<std::uint16_t>(ends[0].integer(kPort));
    settings.last_port = static_cast<std::uint16_t>(ends[1].integer(kPort));
    if (settings.last_port < settings.first_port) field.fail("must not end before it begins");
    const int ports = settings.last_port - settings.first_port + 1;
    if (ports < kPortsNeeded) field.fail("must hold at least " + std::to_string(kPortsNeeded) + " ports");
}

std::vector<NodeAddress> readSeeds(const SettingsField& field) {
    if (field.isAbsent()) field.fail("is missing");
    std::vector<NodeAddress> seeds;
    for (const SettingsField& item : field.items()) seeds.push_back(item.address());
    return seeds;
}

NodeLimits readLimits(const SettingsField& field) {
    NodeLimits limits;
    limits.cpu_share = field.child("cpuShare").numberOr(limits.cpu_share, kPositive);
    limits.memory_mb = field.child("memoryMb").integerOr(limits.memory_mb, kPositiveCount);
    limits.max_fds = field.child("maxFds").integerOr(limits.max_fds, kPositiveCount);
    limits.link_mbps = field.child("linkMbps").numberOr(limits.link_mbps, kNotNegative);
    limits.disk_mb = field.child("diskMb").integerOr(limits.disk_mb, kCount);
    return limits;
}

NodeBounds readBounds(const SettingsField& field) {
    NodeBounds bounds;
    bounds.drain = field.child("drainMs").millisOr(bounds.drain);
    bounds.grace = field.child("graceS").secondsOr(bounds.grace);
    bounds.config_apply = field.child("configApplyMs").millisOr(bounds.config_apply);
    bounds.status_retention = field.child("statusS").secondsOr(bounds.status_retention);
    bounds.callback = field.child("callbackS").secondsOr(bounds.callback);
    bounds.early = field.child("earlyMs").millisOr(bounds.early);
    bounds.ceiling_window = field.child("ceilingWindowS").secondsOr(bounds.ceiling_window);
    bounds.ceiling_overshoot = field.child("ceilingOvershoot").numberOr(bounds.ceiling_overshoot, kPositive);
    return bounds;
}

Topology readTopology(const SettingsField& zones) {
    std::map<std::string, std::string> region_of_zone;
    for (const auto& [zone, region] : zones.entries()) region_of_zone.emplace(zone, region.textOr(""));
    return Topology(std::move(region_of_zone));
}

FaultTolerance readTolerance(const SettingsField& field) {
    FaultTolerance tolerance;
    tolerance.machines = field.child("machines").integerOr(tolerance.machines, kCount);
    tolerance.zones = field.child("zones").integerOr(tolerance.zones, kCount);
    tolerance.regions = field.child("regions").integerOr(tolerance.regions, kCount);
    return tolerance;
}

// Nothing without an address: the other fields of the section are then not used.
std::optional<CloudSettings> readCloud(const SettingsField& field) {
    const SettingsField address = field.child("address");
    if (address.isAbsent()) return std::nullopt;
    CloudSettings cloud;
    cloud.address = address.address();
    cloud.rate_per_s = field.child("ratePerS").numberOr(cloud.rate_per_s, kPositive);
    cloud.max_lag = field.child("maxLagMs").millisOr(cloud.max_lag);
    return cloud;
}

}  // namespace

NodeSettings loadNodeSettings(const std::string& path) {
    const SettingsField root = SettingsField::fromFile(path);
    NodeSettings settings;
    settings.name = root.child("nodeName").text();
    settings.zone = root.child("zone").text();
    settings.region = root.child("region").textOr("");
    settings.topology = readTopology(root.child("zones"));
    settings.ip = root.child("ip").ip();
    settings.serves = readServes(root.child("serves"));

    const SettingsField bound = root.child("bindAddrs");
    settings.front = addressIfAny(bound.child("front"));
    settings.readiness = addressIfAny(bound.child("readiness"));
    settings.control = addressIfAny(bound.child("control"));

    readPortRange(root.child("portRange"), settings);
    settings.seeds = readSeeds(root.child("seeds"));
    settings.bootstrap = root.child("bootstrap").booleanOr(false);
    settings.counts_for_quorum = root.child("countsForQuorum").booleanOr(false);
    settings.limits = readLimits(root.child("limits"));
    settings.data_dir = root.child("dataDir").textOr("");
    settings.tolerance = readTolerance(root.child("faultTolerance"));
    settings.bounds = readBounds(root.child("bounds"));
    settings.cloud = readCloud(root.child("cloud"));
    return settings;
}

}  // namespace amberswitch::cluster
