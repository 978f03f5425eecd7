#include "cluster/storage/grant_counters.hpp"

#include "cluster/common/metrics_text.hpp"

namespace amberswitch::cluster::storage {

std::string GrantCounters::text() const {
    MetricsText text("grants_");
    text.add("at_accept", granted_at_accept);
    text.add("by_push", granted_by_push);
    text.add("adopted", adopted);
    text.add("reported_unknown", reported_unknown);
    text.add("reported_not_run", reported_not_run);
    text.add("reported_failed", reported_failed);
    text.add("push_refused", push_refused);
    text.add("edge_gone", edge_gone);
    text.add("missing_at_edge", missing_at_edge);
    text.add("expired", expired);
    text.add("completed", completed);
    text.add("rejected", rejected);
    text.add("moved_by_configuration", moved_by_configuration);
    text.add("successes_of_former_attempts", successes_of_former_attempts);
    text.add("repeated_successes", repeated_successes);
    return text.take();
}

}  // namespace amberswitch::cluster::storage
