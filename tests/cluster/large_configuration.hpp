// Generates configurations of any size, with the fields that operators send.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace amberswitch::cluster::testing {

inline std::string routeJson(std::size_t index, int timeout_ms) {
    const std::string number = std::to_string(index);
    return R"({"name":"r-kx)" + number + R"(","hostname":"boye)" + number +
           R"(.example","pathPrefix":"/dera)" + number + R"(/zi72/","type":"deferred","timeoutMs":)" +
           std::to_string(timeout_ms) + R"(,"targetLatencyMs":120,"priority":2,"backend":"kafi)" + number +
           R"(c","maxRetries":4,"ordered":false,"retentionS":90.0,"callbackUrl":false,)"
           R"("scheduleTargetMs":1500})";
}

inline std::string serviceJson(std::size_t index) {
    const std::string number = std::to_string(index);
    return R"({"name":"kafi)" + number + R"(c","healthCheck":"/healthz","maxConnections":46,)" +
           R"("protocol":"h1","tls":false,"ratePerS":39.0,"idempotent":false,"pull":false,"static":"172.20.)" +
           std::to_string(index / 250) + "." + std::to_string(index % 250) + R"(:8066"})";
}

// One route per service; the time-out of the first route depends on the generation.
inline std::string largeConfiguration(std::int64_t generation, std::size_t services) {
    std::string routes;
    std::string listed;
    for (std::size_t i = 0; i < services; ++i) {
        const std::string comma = i == 0 ? "" : ",";
        routes += comma + routeJson(i, i == 0 ? 1000 + static_cast<int>(generation) : 2000);
        listed += comma + serviceJson(i);
    }
    return R"({"generation":)" + std::to_string(generation) + R"(,"routes":[)" + routes +
           R"(],"services":[)" + listed +
           R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

}  // namespace amberswitch::cluster::testing
