#include "lab/script.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "settings/strict.hpp"

namespace amberswitch::lab {

using settings::BadField;
using settings::Node;

namespace {

constexpr std::int64_t kMostMs = 600'000;
constexpr std::size_t kMostText = 1024 * 1024;

ListScript readList(const Node& node) {
    const auto from =
        node.table({"mode", "calls_per_s", "room", "most_wait_ms", "retry_after_s", "indented", "drain_ms"});
    ListScript out;
    if (const Node* const mode = from.find("mode")) out.ask = mode->place({"push", "ask"}, "mode") == 1;
    out.callsPerSecond = from.number("calls_per_s", out.callsPerSecond, 0.1, 1e5);
    out.room = from.integer("room", out.room, 1, 100'000);
    out.mostWait = from.milliseconds("most_wait_ms", out.mostWait, 1, kMostMs);
    out.retryAfter = from.number("retry_after_s", out.retryAfter, 0, 60);
    out.indented = from.flag("indented", false);
    out.drain = from.milliseconds("drain_ms", out.drain, 100, kMostMs);
    return out;
}

ServersScript readServers(const Node& node) {
    const auto from =
        node.table({"count", "slots", "queue", "connections", "job_ms", "cold_ms", "handshake_ms",
                    "cold_from", "fall_multiple", "second_answers", "endless", "zones"});
    ServersScript out;
    out.count = from.integer("count", out.count, 1, 64);
    out.slots = from.integer("slots", out.slots, 1, 1000);
    out.queue = from.integer("queue", out.queue, 0, 100'000);
    out.connections = from.integer("connections", out.connections, 1, 100'000);
    out.job = from.milliseconds("job_ms", out.job, 1, kMostMs);
    out.cold = from.milliseconds("cold_ms", out.cold, 0, kMostMs);
    out.handshake = from.milliseconds("handshake_ms", out.handshake, 0, 1000);
    out.coldFrom = from.number("cold_from", out.coldFrom, 0.01, 1);
    out.fallMultiple = from.number("fall_multiple", out.fallMultiple, 1, 100);
    out.zones = from.integer("zones", out.zones, 1, 8);
    out.secondAnswers = from.number("second_answers", 0, 0, 1);
    out.endless = from.number("endless", 0, 0, 1);
    return out;
}

ClientsScript readClients(const Node& node) {
    const auto from =
        node.table({"per_s", "give_up_ms", "effect", "retries", "from_ms", "keep_on", "home_share"});
    ClientsScript out;
    out.perSecond = from.number("per_s", out.perSecond, 0, 5000);
    out.giveUp = from.milliseconds("give_up_ms", out.giveUp, 100, kMostMs);
    out.retries = from.integer("retries", out.retries, 0, 20);
    out.from = from.milliseconds("from_ms", out.from, 0, kMostMs);
    out.homeShare = from.number("home_share", 0, 0, 1);
    out.keepOn = from.flag("keep_on", false);
    if (const Node* const effect = from.find("effect"))
        effect->place({"read_like", "non_idempotent"}, "effect"), out.effect = effect->text();
    return out;
}

Condition readCondition(const Node& node) {
    const auto from = node.table({"after", "ready_share", "list_calls", "of", "wait_ms"});
    Condition out;
    out.after = from.text("after", "");
    out.readyShare = from.number("ready_share", 0, 0, 1);
    out.listCalls = from.integer("list_calls", out.listCalls, 1, 1'000'000);
    out.of = from.integer("of", -1, 0, 999);
    out.wait = from.milliseconds("wait_ms", out.wait, 0, kMostMs);
    return out;
}

Fault readFault(const Node& node, const Script& script) {
    const auto from = node.table({"name", "do", "when", "for_ms", "share", "whom", "side", "way", "amount"});
    const std::vector<std::string> acts{
        "kill",         "stop",      "term",     "roll",        "start",     "cut",         "delay",
        "throttle",     "split",     "reset",    "refuse",      "list_down", "list_busy",   "list_stall",
        "list_anew",    "list_pace", "list_old", "list_silent", "list_move", "server_kill", "server_stall",
        "server_error", "drain",     "burst",    "relabel"};
    Fault out;
    from.need("do").place(acts, "act");
    out.act = from.need("do").text();
    out.name = from.text("name", out.act);
    if (const Node* const when = from.find("when")) out.when = readCondition(*when);
    out.lasts = from.milliseconds("for_ms", out.lasts, 0, kMostMs);
    out.share = from.number("share", 0, 0, 1);
    out.amount = from.number("amount", 0, 0, 1e9);
    if (const Node* const side = from.find("side"))
        side->place({"list", "servers", "clients"}, "side"), out.side = side->text();
    if (const Node* const way = from.find("way"))
        way->place({"to", "from", "both"}, "way"), out.way = way->text();
    const bool ofServers = out.act.rfind("server_", 0) == 0 || out.act == "drain" || out.act == "relabel";
    const std::size_t most = ofServers ? script.servers.count : script.dispatchers;
    if (const Node* const whom = from.find("whom"))
        for (const Node& one : whom->list(1000))
            out.whom.push_back(static_cast<int>(one.integer(0, static_cast<std::int64_t>(most) - 1)));
    const bool ofList = out.act.rfind("list_", 0) == 0 || out.act == "burst";
    if (!ofList && out.whom.empty() && out.share <= 0) node.fail("says neither whom nor a share");
    return out;
}

Expect readExpect(const Node& node) {
    const auto from = node.table({"whole_lists_each", "turned_away", "over_pace", "ready_ms", "served_share",
                                  "whole_lists_after", "over_limit", "outside_most", "outside_span_ms",
                                  "home_served_share"});
    Expect out;
    out.wholeLists = from.number("whole_lists_each", -1, 0, 1000);
    out.turnedAway = from.number("turned_away", -1, 0, 1);
    out.overPace = from.number("over_pace", -1, 0, 1000);
    out.ready = from.milliseconds("ready_ms", out.ready, 1, kMostMs);
    out.servedShare = from.number("served_share", -1, 0, 1);
    out.wholeAfter = from.number("whole_lists_after", -1, 0, 1e6);
    out.outsideMost = from.number("outside_most", -1, 0, 1e6);
    out.outsideSpan = from.milliseconds("outside_span_ms", out.outsideSpan, 1, kMostMs);
    out.homeServed = from.number("home_served_share", -1, 0, 1);
    out.overLimit = from.number("over_limit", -1, 0, 1e6);
    return out;
}

}  // namespace

Script parseScript(const std::string& path, const std::string& text) {
    try {
        if (text.size() > kMostText) throw BadField("the file: is larger than 1 MiB");
        simdjson::dom::parser parser;
        settings::element root;
        if (const auto error = parser.parse(text).get(root); error != simdjson::SUCCESS)
            throw BadField(std::string("the file: is not valid JSON: ") + simdjson::error_message(error));
        const auto from =
            Node(root, "").table({"name", "seed", "dispatchers", "lasts_ms", "start_within_ms", "known",
                                  "operator", "list", "servers", "clients", "faults", "expect"});
        Script out;
        out.name = from.text("name", out.name);
        out.seed = from.integer("seed", out.seed, 0, INT64_MAX);
        out.dispatchers = from.integer("dispatchers", out.dispatchers, 1, 500);
        out.lasts = from.milliseconds("lasts_ms", out.lasts, 100, kMostMs);
        out.startWithin = from.milliseconds("start_within_ms", out.startWithin, 0, kMostMs);
        if (const Node* const known = from.find("known"))
            known->place({"none", "fresh", "gone"}, "kind of known list"), out.known = known->text();
        settings::element own;
        if (root["operator"].get(own) == simdjson::SUCCESS) out.own = simdjson::minify(own);
        if (const Node* const node = from.find("list")) out.list = readList(*node);
        if (const Node* const node = from.find("servers")) out.servers = readServers(*node);
        if (const Node* const node = from.find("clients")) out.clients = readClients(*node);
        if (const Node* const node = from.find("faults"))
            for (const Node& one : node->list(200)) out.faults.push_back(readFault(one, out));
        for (std::size_t i = 0; i < out.faults.size(); ++i) {
            std::string after = out.faults[i].when.after;
            if (after.rfind("until:", 0) == 0) after.erase(0, 6);
            const auto named = [&after](const Fault& other) { return other.name == after; };
            if (!after.empty() && std::none_of(out.faults.begin(), out.faults.end(), named))
                throw BadField("faults[" + std::to_string(i) + "].when.after: there is no fault '" + after +
                               "'");
        }
        if (const Node* const node = from.find("expect")) out.expect = readExpect(*node);
        return out;
    } catch (const BadField& bad) {
        throw BadField(path + ": " + bad.what());
    }
}

Script readScript(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw BadField(path + ": the file: can't be read");
    std::stringstream text;
    text << file.rdbuf();
    return parseScript(path, text.str());
}

}  // namespace amberswitch::lab
