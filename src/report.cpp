#include "report.hpp"

namespace amberswitch {

namespace {

// Collects lines of the form `NAME value`.
struct Lines {
    std::string text;
    void add(const std::string& name, std::uint64_t value) {
        text += name + ' ' + std::to_string(value) + '\n';
    }
    // How connections or attempts ended: a line for each way that occurred.
    void ends(const std::string& of, const std::uint64_t (&counts)[kEnds]) {
        for (std::size_t i = 0; i < kEnds; ++i)
            if (counts[i] > 0) add(of + '.' + nameOf(static_cast<End>(i)), counts[i]);
    }
};

}  // namespace

std::string routerCounters(const Core& core) {
    std::string out;
    const auto add = [&out](const std::string& name, std::uint64_t value) {
        out += "router." + name + '=' + std::to_string(value) + '\n';
    };
    const Counters& c = core.counters();
    const auto& classes = core.site().classes;
    for (std::size_t i = 0; i < classes.size(); ++i) {
        add("succeeded." + classes[i], c.byClass[i].succeeded);
        add("declined." + classes[i], c.byClass[i].declined);
        add("aborted." + classes[i], c.byClass[i].aborted);
    }
    add("forwards", c.forwards);
    add("outstanding", core.openTransactions());
    add("discovered", core.listedServers());
    add("ejected", core.avoidedWorkerCount());
    return out;
}

std::string report(const store::StateFile& storedList) {
    Lines out;
    const auto& k = storedList.counters();
    out.add("kept_list.saved", k.saved), out.add("kept_list.failed", k.failed);
    out.add("kept_list.loaded", k.loaded), out.add("kept_list.refused", k.refused);
    return out.text;
}

std::string report(const placement::Placement& placement) {
    Lines out;
    const auto& c = placement.counters();
    out.add("placement.number", static_cast<std::uint64_t>(placement.policy().number));
    out.add("placement.digest", placement.policy().digest);
    out.add("placement.bound", c.bound), out.add("placement.spilled", c.spilled);
    out.add("placement.spill_returned", c.returned), out.add("placement.allowance_spent", c.allowanceSpent);
    out.add("placement.refused_home", c.refusedHome), out.add("placement.nowhere", c.nowhere);
    out.add("placement.label_changed", c.labelChanged), out.add("placement.place_unknown", c.unknownPlace);
    return out.text;
}

std::string report(const start::Gate& gate, Time now) {
    if (!gate.waits()) return {};
    return std::string("router.start.waits_for=") + gate.waitsFor() +
           "\nrouter.start.waits_ms=" + std::to_string((now - gate.since()) / std::chrono::milliseconds(1)) +
           '\n';
}

std::string report(const Core& core, const platform::Servers& servers, const platform::Watch& watch,
                   const platform::Front& front, const gearman::Front& gearman,
                   const config::Reload& reload) {
    Lines out;
    const auto line = [&out](const std::string& name, std::uint64_t value) { out.add(name, value); };
    const auto ends = [&out](const std::string& of, const std::uint64_t(&counts)[kEnds]) {
        out.ends(of, counts);
    };
    const Counters& c = core.counters();
    line("transactions.taken", c.taken);
    line("transactions.open", core.openTransactions());
    line("transactions.served", c.served);
    line("transactions.unavailable", c.unavailable);
    line("transactions.failed", c.failed);
    line("transactions.left", c.left);
    line("transactions.left_unheard", c.leftUnnoticed);
    line("passes.sent", c.passes);
    line("passes.forwards", c.forwards);
    line("passes.started", c.started);
    line("passes.cancelled", c.cancels);
    line("passes.withheld_by_rule", c.withheld);
    line("passes.late_results", c.lateResults);
    line("answers.unavailable_made_failed_by_rule", c.refusalsMadeFailures);
    ends("passes.ended", c.ends);
    line("passes.load_reports", c.loadReports);
    line("log.trace_dropped", core.trace().dropped());
    line("farm.updates", c.rosterUpdates);
    line("farm.lost", c.rosterLosses);
    line("farm.calls", watch.calls());
    if (watch.turns())
        line("farm.round_ms",
             static_cast<std::uint64_t>(watch.turns()->round() / std::chrono::milliseconds(1)));
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
    line("http.relieved.silent", f.relieved[platform::Front::silent]);
    line("http.relieved.strangers", f.relieved[platform::Front::stranger]);
    line("http.relieved.clients", f.relieved[platform::Front::client]);
    line("http.hurried", f.hurried);
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
    return out.text;
}

std::string report(const control::Control& control) {
    Lines out;
    const auto& c = control.counters();
    out.add("control.connections", c.connections);
    out.add("control.calls", c.calls);
    out.add("control.refused", c.refused);
    out.add("control.pushed_out", c.evicted);
    out.ends("control.ended", c.ends);
    return out.text;
}

std::string report(const takeover::Takeover& takeover) {
    Lines out;
    const auto& c = takeover.counters();
    out.add("takeover.links", c.links);
    out.add("takeover.refused", c.refused);
    out.add("takeover.inherited", c.inherited);
    out.add("takeover.cold", c.cold);
    out.add("takeover.succeeded", c.succeeded);
    out.add("takeover.retaken", c.retaken);
    out.add("takeover.callbacks_passed_on", c.passedOn);
    out.add("takeover.callbacks_owned_there", c.owned);
    out.add("takeover.callbacks_nobodys", c.unowned);
    out.add("takeover.callbacks_unanswered", c.unknown);
    out.add("takeover.callbacks_taken_for", c.took);
    return out.text;
}

std::string report(const platform::Consul& consul) {
    Lines out;
    const auto& c = consul.view().counters();
    out.add("consul.answers", c.answers);
    out.add("consul.answers_unchanged", c.unchanged);
    out.add("consul.members", consul.view().members());
    out.add("consul.held_down", consul.view().heldDown());
    out.add("consul.joined", c.joined);
    out.add("consul.gone", c.gone);
    out.add("consul.drained", c.drained);
    out.add("consul.restored", c.restored);
    out.add("consul.restarts", c.restarts);
    out.add("consul.flaps", c.flaps);
    out.add("consul.good_news_held", c.held);
    out.add("consul.over_bound", c.overBound);
    const auto& k = consul.keeper().counters();
    out.add("consul.kept", k.saved);
    out.add("consul.keep_failed", k.failed);
    out.add("consul.kept_loaded", k.loaded);
    out.add("consul.kept_refused", k.refused);
    return out.text;
}

std::string report(const grpc::Front& front, const grpc::Servers& servers) {
    Lines out;
    const auto sessions = [&out](const std::string& of, const http2::Counters& c) {
        out.add(of + ".connections", c.connections);
        out.add(of + ".streams", c.streams);
        out.add(of + ".refused_streams", c.refusedStreams);
        out.add(of + ".heads_too_long", c.headsTooLong);
        out.add(of + ".floods", c.floods);
        out.add(of + ".answers_not_taken", c.notTaken);
        out.add(of + ".pings", c.pings);
        out.add(of + ".black_holes", c.blackHoles);
        out.add(of + ".goaways_received", c.goAways);
        out.ends(of + ".ended", c.ends);
    };
    const auto& f = front.counters();
    sessions("grpc.front", f.sessions);
    out.add("grpc.front.open", front.open());
    out.add("grpc.front.turned_away", f.turnedAway);
    out.add("grpc.calls", f.calls.calls);
    out.add("grpc.calls_open", f.calls.open);
    out.add("grpc.calls_committed", f.calls.committed);
    out.add("grpc.calls_sealed", f.calls.sealed);
    out.add("grpc.calls_cancelled", f.calls.cancelled);
    out.add("grpc.answers_orphaned", f.calls.orphaned);
    out.add("grpc.no_route", f.noRoute);
    out.add("grpc.bad_calls", f.badCalls);
    out.add("grpc.no_room", f.noRoom);
    for (int i = 0; i < grpc::kStatuses; ++i)
        if (f.calls.statuses[i] > 0)
            out.add(std::string("grpc.status.") + nameOf(static_cast<grpc::Status>(i)), f.calls.statuses[i]);
    const auto& s = servers.counters();
    sessions("grpc.servers", s.sessions);
    out.add("grpc.servers.open", servers.openConnections());
    out.add("grpc.passes", s.passes);
    out.add("grpc.passes_open", servers.openPasses());
    out.add("grpc.passes_without_room", s.noRoom);
    out.add("grpc.passes_backed_off", s.backedOff);
    out.add("grpc.passes_above_goaway", s.goneAway);
    out.add("grpc.servers.restarts", s.restarts);
    out.add("grpc.servers.not_grpc", s.notGrpc);
    return out.text;
}

}  // namespace amberswitch
