// Linearizable reads of the newest configuration: by a quorum round on a core machine, and through a core
// machine on any other dispatcher.
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

// Runs a register round that leaves the value unchanged, so the result is at least as new as any
// configuration acknowledged before the round began. Calls `done` once, after 1.5 s at the latest.
void readConfiguration(RegisterProposer& proposer, std::function<void(ReadConfigurationReply)> done);

// The HTTP response for the operator: the configuration; 404 if there is none yet; 500 if it is unreadable;
// 503 if no quorum confirmed it.
HttpResponse toHttpResponse(ReadConfigurationReply reply);

// Asks core machines one after the other until one returns a confirmed result. Responds 503 if none does
// within 1.7 s.
class ConfigurationReader {
public:
    // `core` returns the core machines to ask, in this order.
    ConfigurationReader(Scheduler& scheduler, Transport& transport, std::string self,
                        std::function<std::vector<NodeAddress>()> core);

    void read(HttpResponder respond);

private:
    // One pending read.
    struct Search {
        std::vector<NodeAddress> remaining;  // not asked yet; the next one is last
        SteadyTime deadline;
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
