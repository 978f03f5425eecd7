// Tells a process's own figures at an address of its own: GET of any path answers with them as plain text.
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
    // Port 0: none. An address that cannot be listened on is logged; the process goes on without.
    MetricsServer(EventLoop& loop, const NodeAddress& address, std::function<std::string()> text);

private:
    std::unique_ptr<EvhttpServer> server_;
};

}  // namespace amberswitch::cluster
