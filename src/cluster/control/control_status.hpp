// The responses to GET /status and GET /metrics.
#pragma once

#include <string>
#include <vector>

#include "cluster/common/messages.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/control/chosen_values.hpp"
#include "cluster/control/distribution.hpp"
#include "cluster/control/leader_election.hpp"
#include "cluster/control/membership.hpp"
#include "cluster/control/register_voter.hpp"
#include "cluster/control/store_view_manager.hpp"

namespace amberswitch::cluster {

// The components whose state is reported.
struct StatusSources {
    const NodeSettings& settings;
    const RegisterVoter& voter;
    const ChosenValues& chosen;
    const LeaderElection& election;
    const StoreViewManager& store_view_manager;
    const Membership& membership;
    const Distribution& distribution;
};

// The metrics of GET /metrics, one a line.
std::string metricsAsText(const StatusSources& sources);

// The JSON of GET /status. `now` serves for the time since the last renewal of each member.
std::string statusAsJson(const StatusSources& sources, SteadyTime now);

}  // namespace amberswitch::cluster
