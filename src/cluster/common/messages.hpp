// Every message that the cluster's processes exchange, as plain structs with cereal serialisation.
// docs/system.md describes who sends each message and what it guarantees.
#pragma once

#include <cstdint>
#include <string_view>

#include "cluster/common/client_messages.hpp"
#include "cluster/common/control_messages.hpp"
#include "cluster/common/replication_messages.hpp"

namespace amberswitch::cluster {

enum class MessageKind : std::uint16_t {
    // core <-> core
    register_prepare = 1,
    register_accept,
    register_chosen,
    register_read_chosen,
    leader_lease,
    // any node -> core
    renew_lease,
    watch,
    // edge -> store
    accept_message,
    run_report,
    edge_sync,
    state_query,
    body_query,
    // store -> edge
    grant_push,
    // store <-> store
    replicate,
    pull_partition,
    peering_done,
    replica_body,  // StateQuery, answered by any replica that holds the body
    // core -> store
    peering_progress,
    // edge -> core
    read_configuration,
    // store <-> store
    misplaced_keys,
};

// The name used in metrics; "other" for a value that is not an enumerator.
std::string_view nameOf(MessageKind kind);

}  // namespace amberswitch::cluster
