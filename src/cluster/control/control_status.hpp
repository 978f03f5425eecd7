// The JSON of GET /status.
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
#include "cluster/control/store_view_keeper.hpp"

namespace amberswitch::cluster {

// The modules that the status reads.
struct StatusSources {
    const NodeSettings& settings;
    const RegisterVoter& voter;
    const ChosenValues& chosen;
    const LeaderElection& election;
    const StoreViewKeeper& keeper;
    const Membership& membership;
    const Distribution& distribution;
};

// The figures of GET /metrics.
std::string metricsAsText(const StatusSources& sources);

std::string statusAsJson(const StatusSources& sources, SteadyTime now);

}  // namespace amberswitch::cluster
