#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

std::string_view nameOf(MessageKind kind) {
    switch (kind) {
        case MessageKind::register_prepare:
            return "register_prepare";
        case MessageKind::register_accept:
            return "register_accept";
        case MessageKind::register_chosen:
            return "register_chosen";
        case MessageKind::register_read_chosen:
            return "register_read_chosen";
        case MessageKind::leader_lease:
            return "leader_lease";
        case MessageKind::renew_lease:
            return "renew_lease";
        case MessageKind::watch:
            return "watch";
        case MessageKind::accept_message:
            return "accept_message";
        case MessageKind::run_report:
            return "run_report";
        case MessageKind::edge_sync:
            return "edge_sync";
        case MessageKind::state_query:
            return "state_query";
        case MessageKind::body_query:
            return "body_query";
        case MessageKind::grant_push:
            return "grant_push";
        case MessageKind::replicate:
            return "replicate";
        case MessageKind::pull_partition:
            return "pull_partition";
        case MessageKind::peering_done:
            return "peering_done";
        case MessageKind::replica_body:
            return "replica_body";
        case MessageKind::peering_progress:
            return "peering_progress";
        case MessageKind::read_configuration:
            return "read_configuration";
        case MessageKind::misplaced_keys:
            return "misplaced_keys";
    }
    return "other";
}

}  // namespace amberswitch::cluster
