// Reads of the newest configuration: by quorum at a core machine, and by way of one at any other dispatcher.
#pragma once

#include <functional>
#include <vector>

#include "cluster/common/http.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/transport.hpp"
#include "cluster/control/lifetime.hpp"
#include "cluster/control/register_proposer.hpp"

namespace amberswitch::cluster {

// A round that keeps the value, so that what it tells is not older than anything acknowledged before it
// began.
void readConfiguration(RegisterProposer& proposer, std::function<void(ReadConfigurationReply)> done);

// What the operator is told: the configuration, 404, 500, or 503 where nobody can be sure.
HttpResponse responseOf(ReadConfigurationReply reading);

// Asks core machines one after the other until one can tell; 503 where none can within 1.7 s.
class ConfigurationReader {
public:
    // `core`: whom to ask, in this order.
    ConfigurationReader(Scheduler& scheduler, Transport& transport, std::string self,
                        std::function<std::vector<NodeAddress>()> core);

    void read(HttpResponder respond);

private:
    struct Search {
        std::vector<NodeAddress> unasked;  // the next one last
        SteadyTime give_up_at;
        HttpResponder respond;
    };
    void askNext(Search search);

    Scheduler& scheduler_;
    Transport& transport_;
    std::string self_;
    std::function<std::vector<NodeAddress>()> core_;
    Lifetime lifetime_;
};

}  // namespace amberswitch::cluster
