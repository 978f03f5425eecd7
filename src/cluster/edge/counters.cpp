#include "cluster/edge/counters.hpp"

namespace amberswitch::cluster {
namespace {

void line(std::string& out, const char* name, std::uint64_t value) {
    out += name;
    out += ' ';
    out += std::to_string(value);
    out += '\n';
}

}  // namespace

std::string EdgeCounters::text() const {
    std::string out;
    line(out, "accepted", accepted);
    line(out, "no_route", no_route);
    line(out, "bad_request", bad_request);
    line(out, "turned_away_busy", turned_away_busy);
    line(out, "unavailable", unavailable);
    line(out, "uncertain", uncertain);
    line(out, "accept_retries", accept_retries);
    line(out, "queries", queries);
    line(out, "queries_unanswered", queries_unanswered);
    line(out, "granted_with_accept", granted_with_accept);
    line(out, "granted_by_push", granted_by_push);
    line(out, "grants_refused", grants_refused);
    line(out, "grants_repeated", grants_repeated);
    line(out, "sends", sends);
    line(out, "completed", completed);
    line(out, "rejected", rejected);
    line(out, "failed", failed);
    line(out, "not_run", not_run);
    line(out, "unknown", unknown);
    line(out, "answered_not_executed", answered_not_executed);
    line(out, "wrong_instance", wrong_instance);
    line(out, "unreachable", unreachable);
    line(out, "timed_out", timed_out);
    line(out, "broken_off", broken_off);
    line(out, "no_free_connection", no_free_connection);
    line(out, "no_server", no_server);
    line(out, "callback_posts", callback_posts);
    line(out, "callbacks_taken", callbacks_taken);
    line(out, "callbacks_failed", callbacks_failed);
    line(out, "report_calls", report_calls);
    line(out, "results_taken", results_taken);
    line(out, "results_retried", results_retried);
    return out;
}

}  // namespace amberswitch::cluster
