#include "cluster/edge/counters.hpp"

#include "cluster/common/metrics_text.hpp"

namespace amberswitch::cluster {

std::string EdgeCounters::text() const {
    MetricsText text;
    text.add("accepted", accepted);
    text.add("no_route", no_route);
    text.add("bad_request", bad_request);
    text.add("turned_away_busy", turned_away_busy);
    text.add("unavailable", unavailable);
    text.add("uncertain", uncertain);
    text.add("accept_retries", accept_retries);
    text.add("queries", queries);
    text.add("queries_unanswered", queries_unanswered);
    text.add("granted_with_accept", granted_with_accept);
    text.add("granted_by_push", granted_by_push);
    text.add("grants_refused", grants_refused);
    text.add("grants_repeated", grants_repeated);
    text.add("sends", sends);
    text.add("completed", completed);
    text.add("rejected", rejected);
    text.add("failed", failed);
    text.add("not_run", not_run);
    text.add("unknown", unknown);
    text.add("answered_not_executed", answered_not_executed);
    text.add("wrong_instance", wrong_instance);
    text.add("unreachable", unreachable);
    text.add("timed_out", timed_out);
    text.add("broken_off", broken_off);
    text.add("no_free_connection", no_free_connection);
    text.add("no_server", no_server);
    text.add("misdirected", misdirected);
    text.add("callback_posts", callback_posts);
    text.add("callbacks_taken", callbacks_taken);
    text.add("callbacks_failed", callbacks_failed);
    text.add("report_calls", report_calls);
    text.add("results_taken", results_taken);
    text.add("results_retried", results_retried);
    return text.take();
}

}  // namespace amberswitch::cluster
