#include "cluster/common/metrics_server.hpp"

#include <glog/logging.h>

#include <utility>

#include "cluster/common/tcp_socket.hpp"

namespace amberswitch::cluster {

MetricsServer::MetricsServer(EventLoop& loop, const NodeAddress& address, std::function<std::string()> text) {
    if (address.port == 0) return;
    const auto answer = [text = std::move(text)](const HttpRequest&, const HttpResponder& respond) {
        HttpResponse response;
        response.headers.push_back({"Content-Type", "text/plain"});
        response.body = text();
        respond(std::move(response));
    };
    try {
        server_ = std::make_unique<EvhttpServer>(loop, address, answer);
    } catch (const SocketError& error) {
        LOG(WARNING) << "metrics are not served: " << error.what();
    }
}

}  // namespace amberswitch::cluster
