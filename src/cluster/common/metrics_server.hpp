// Serves the metrics of a process at a separate address. A request for any path returns them as plain text.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cluster/common/event_loop.hpp"
#include "cluster/common/evhttp_server.hpp"

namespace amberswitch::cluster {

class MetricsServer {
public:
    // Port 0 disables the server. If it cannot listen on the address, it logs a warning and the process
    // continues without it. `text` is called for each request.
    MetricsServer(EventLoop& loop, const NodeAddress& address, std::function<std::string()> text);

private:
    std::unique_ptr<EvhttpServer> server_;
};

}  // namespace amberswitch::cluster
