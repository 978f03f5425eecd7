#include "report.hpp"

namespace amberswitch {

std::string report(const Core& core, const platform::Servers& servers, const platform::Watch& watch,
                   const platform::Front& front, const gearman::Front& gearman,
                   const config::Reload& reload) {
    std::string out;
    const auto line = [&out](const std::string& name, std::uint64_t value) {
        out += name + ' ' + std::to_string(value) + '\n';
    };
    const auto ends = [&](const std::string& of, const std::uint64_t(&counts)[kEnds]) {
        for (std::size_t i = 0; i < kEnds; ++i)
            if (counts[i] > 0) line(of + '.' + nameOf(static_cast<End>(i)), counts[i]);
    };
    const Counters& c = core.counters();
    line("transactions.taken", c.taken);
    line("transactions.open", core.open());
    line("transactions.served", c.served);
    line("transactions.unavailable", c.unavailable);
    line("transactions.failed", c.failed);
    line("transactions.left", c.left);
    line("passes.sent", c.passes);
    line("passes.started", c.started);
    line("passes.cancelled", c.cancels);
    line("passes.withheld_by_rule", c.withheld);
    line("passes.late_results", c.lateResults);
    line("answers.unavailable_made_failed_by_rule", c.softened);
    ends("passes.ended", c.ends);
    line("farm.updates", c.farmUpdates);
    line("farm.lost", c.farmLost);
    line("farm.calls", watch.calls());
    line("reloads.done", reload.counters().done);
    line("reloads.refused", reload.counters().refused);
    const auto& s = servers.counters();
    line("servers.connections", s.connections);
    line("servers.reused", s.reused);
    line("servers.stale", s.stale);
    line("servers.taken", s.taken);
    line("servers.callbacks", s.callbacks);
    line("servers.stray_callbacks", s.strayCallbacks);
    line("servers.deletes", s.deletes);
    const auto& f = front.counters();
    line("http.connections", f.connections);
    line("http.open", front.open());
    line("http.requests", f.requests);
    line("http.malformed_jobs", f.malformed);
    line("http.ids_in_use", f.takenIds);
    line("http.no_room", f.noRoom);
    ends("http.ended", f.ends);
    const auto& g = gearman.counters();
    line("gearman.connections", g.connections);
    line("gearman.packets", g.packets);
    line("gearman.submitted", g.submitted);
    line("gearman.joined", g.joined);
    line("gearman.assigned", g.assigned);
    line("gearman.stray_reports", g.stray);
    line("gearman.malformed", g.malformed);
    line("gearman.refused_packets", g.refused);
    line("gearman.slowed_peers", g.slowed);
    ends("gearman.ended", g.ends);
    return out;
}

}  // namespace amberswitch
