// The settings file of one process (YAML, named by AMBERSWITCH_NODE_FILE). Unknown fields are ignored; a
// field that is missing or invalid raises a SettingsError that names it.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "cluster/common/topology.hpp"
#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// what(): "FILE: FIELD: REASON".
class SettingsError : public std::runtime_error {
public:
    SettingsError(const std::string& file, const std::string& field, const std::string& reason)
        : std::runtime_error(file + ": " + field + ": " + reason) {}
};

struct NodeLimits {
    double cpu_share = 1;
    std::uint32_t memory_mb = 256;
    std::uint32_t max_fds = 1024;
    double link_mbps = 0;  // 0: not specified
    std::uint32_t disk_mb = 0;
};

// The fields of `bounds` that the program itself uses; the other fields are checked by the operators.
struct NodeBounds {
    Millis drain{3000};
    Millis grace{6000};
    Millis config_apply{3000};
    Millis status_retention{120000};
    Millis callback{5000};
    Millis early{100};
    Millis ceiling_window{5000};
    double ceiling_overshoot = 1.1;
};

// `faultTolerance`: how many machines, zones or regions may be lost at once without losing anything
// acknowledged. Each number applies on its own.
struct FaultTolerance {
    std::uint32_t machines = 0;
    std::uint32_t zones = 0;
    std::uint32_t regions = 0;
};

struct CloudSettings {
    NodeAddress address;
    double rate_per_s = 1;  // calls that the platform accepts from all dispatchers together
    Millis max_lag{1000};
};

struct NodeSettings {
    std::string name;
    std::string zone;
    std::string region;
    Topology topology;  // from `zones`: the region of each zone
    std::string ip;
    std::vector<std::string> serves;  // edge, storage, control_plane
    std::optional<NodeAddress> front;
    std::optional<NodeAddress> readiness;
    std::optional<NodeAddress> control;
    std::uint16_t first_port = 0;  // first port of `portRange`
    std::uint16_t last_port = 0;
    std::vector<NodeAddress> seeds;  // control addresses
    bool bootstrap = false;
    bool counts_for_quorum = false;
    NodeLimits limits;
    std::string data_dir;  // empty: the process stores nothing on disk
    FaultTolerance tolerance;
    NodeBounds bounds;
    std::optional<CloudSettings> cloud;

    // Address at which a process of this kind listens for other processes of the cluster.
    NodeAddress internalAddress(PortOffset kind) const { return {ip, portOf(kind)}; }
    std::uint16_t portOf(PortOffset kind) const {
        return static_cast<std::uint16_t>(first_port + static_cast<std::uint16_t>(kind));
    }
};

// Throws SettingsError.
NodeSettings loadNodeSettings(const std::string& path);

}  // namespace amberswitch::cluster
