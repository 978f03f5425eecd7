// Requests of clients: messages on routes, and questions about messages.
#pragma once

#include <memory>

#include "cluster/common/configuration.hpp"
#include "cluster/common/http.hpp"
#include "cluster/edge/accepts.hpp"
#include "cluster/edge/counters.hpp"
#include "cluster/edge/queries.hpp"

namespace amberswitch::cluster {

class Front {
public:
    Front(Accepts& accepts, Queries& queries, EdgeCounters& counters)
        : accepts_(accepts), queries_(queries), counters_(counters) {}

    void onConfiguration(std::shared_ptr<const Configuration> configuration);
    // Every answer from now on asks the client to close its connection.
    void leave() { leaving_ = true; }
    // GET /message/ID and GET /message-body/ID ask for a message; everything else is one.
    void handle(const HttpRequest& request, HttpResponder respond);

private:
    void handleMessage(const HttpRequest& request, const HttpResponder& respond);
    void refuse(int status, std::uint64_t& counter, const HttpResponder& respond);

    Accepts& accepts_;
    Queries& queries_;
    EdgeCounters& counters_;
    std::shared_ptr<const Configuration> configuration_;
    bool leaving_ = false;
};

}  // namespace amberswitch::cluster
