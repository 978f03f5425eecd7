// Handles the HTTP requests of clients: messages sent to routes, and queries about messages.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "cluster/common/configuration.hpp"
#include "cluster/common/http.hpp"
#include "cluster/edge/counters.hpp"
#include "cluster/edge/message_submitter.hpp"
#include "cluster/edge/queries.hpp"

namespace amberswitch::cluster {

class ClientRequestHandler {
public:
    ClientRequestHandler(MessageSubmitter& submitter, Queries& queries, EdgeCounters& counters)
        : submitter_(submitter), queries_(queries), counters_(counters) {}

    void onConfiguration(std::shared_ptr<const Configuration> configuration);
    // Sets the handler of GET /Config.Read, used unless a route matches that path. Without a handler, the
    // request is treated as a message.
    void onConfigurationRead(std::function<void(HttpResponder)> read) {
        read_configuration_ = std::move(read);
    }
    // From now on, every response asks the client to close its connection.
    void leave() { leaving_ = true; }
    // GET /message/ID and GET /message-body/ID query a message, GET /Config.Read reads the configuration;
    // every other request is a message.
    void handle(const HttpRequest& request, HttpResponder respond);

private:
    bool hasRoute(const HttpRequest& request) const;
    void handleMessage(const HttpRequest& request, const HttpResponder& respond);
    void refuse(int status, std::uint64_t& counter, const HttpResponder& respond);

    MessageSubmitter& submitter_;
    Queries& queries_;
    EdgeCounters& counters_;
    std::shared_ptr<const Configuration> configuration_;
    std::function<void(HttpResponder)> read_configuration_;
    bool leaving_ = false;
};

}  // namespace amberswitch::cluster
