// The `grpc` section of the operator file: routes from methods to classes, bounds, and the job servers that
// speak gRPC.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.hpp"
#include "settings/strict.hpp"

namespace amberswitch::grpc {

struct Route {
    std::string path;  // "/package.Service/Method", or "/package.Service/" for all of its methods
    std::size_t klass = 0;
    double slots = 1;
    bool keyDemanded = false;  // a class whose repeats are told by a key demands it anyway
};

struct ServerEntry {
    std::string name, address;
    int zone = 0, kind = 0, cell = 0;
    double weight = 1;
    std::size_t slots = 0;  // calls that it may have from here at once; 0: as many as its connections take
    bool placed = false;    // its zone is named; else it is only taken to be near
    bool drain = false;
    bool pushbackMeansUnrun = false;  // UNAVAILABLE with a pushback is said before anything ran
};

struct Config {
    std::string listen;  // empty: gRPC is off
    std::vector<Route> routes;
    std::string tenantKey = "x-customer",
                affinityKey;            // metadata that names the tenant, and what a call concerns
    std::size_t holdBytes = 64 * 1024;  // of a request, held for a further pass
    std::size_t mostConnections = 256, mostStreams = 100, mostCalls = 1000;
    std::vector<ServerEntry> servers;
    std::size_t connectionsPerServer = 4;
    Nanos keepalive = std::chrono::seconds(10), keepaliveWait = std::chrono::seconds(2),
          idle = std::chrono::seconds(60), backoff = std::chrono::seconds(1),
          mostBackoff = std::chrono::seconds(8);

    const Route* routeOf(std::string_view path) const;  // the method itself before its service
};

// Names of classes, tenants, zones and kinds are looked up only where the front is on: a file that is shipped
// for another site must not stop this one. Throws settings::BadField.
Config readConfig(const settings::Node& section, const settings::Site& site);

}  // namespace amberswitch::grpc
