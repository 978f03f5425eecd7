#include "platform/watch.hpp"

namespace amberswitch::platform {

using namespace settings;
using heronmount::RosterMode;

using namespace std::chrono_literals;

// A gap of 200 ms would end the watch.
//
// Where lists are asked for, calls have a price and wait for long; whether a watch that was lost begins again
// is the module's to say. Where they are pushed, the agent on this machine answers at no cost, and what it
// has counts as told: an agent that was silent must be heard again well inside the rule on drains, also over
// a connection that died with it. Guards besides against an agent that answers each call at once making a
// loop of it.
LongPoll::Pace Watch::paceOf(const settings::Site& site) {
    if (site.module.askRoster) return {20s, kGrace, 0s, 0s};
    const Nanos grace = site.drainGrace.count() > 0 ? std::min<Nanos>(site.drainGrace, 4s) : 2s;
    return {grace / 4, grace / 8, std::min<Nanos>(grace / 40, 50ms), std::min<Nanos>(grace / 20, 100ms)};
}

Watch::Watch(Core& core, Servers& servers, Deadlines& deadlines, wire::Connector& connector,
             std::string address)
    : LongPoll(core, deadlines, connector, std::move(address), paceOf(core.site())), servers_(servers) {}

void Watch::begin(Time now, const std::optional<object>& list) {
    if (list)
        known(now, *list);
    else  // Guards against a module that nobody wakes: it asks for lists from its first event on
        core_.farm(now, *this, servers_, RosterMode::stale, {});
    if (!core_.site().module.askRoster) watch(now);
}

void Watch::known(Time now, const object& list) {
    take(now, list, true);
}

std::string Watch::told() const {
    std::string out =
        "{\"index\":" + std::to_string(version_.value_or(-1)) + ",\"snapshot\":true,\"endpoints\":[";
    bool first = true;
    for (const auto& [name, entry] : told_) out += (std::exchange(first, false) ? "" : ",") + entry;
    return out + "]}";
}

void Watch::inherit(Time now, std::string_view text) {
    simdjson::dom::parser parser;
    object list;
    if (parser.parse(text.data(), text.size()).get(list) != simdjson::SUCCESS) bad("the list is no JSON");
    // Guards against a predecessor that was told nothing yet taking away the list that this one knows.
    if (settings::list(list, "endpoints").size() > 0) take(now, list, true);
}

void Watch::note(const object& from, const FarmList& list) {
    if (list.whole) told_.clear();
    std::size_t at = 0;
    for (const element entry : settings::list(from, "endpoints")) {
        const FarmEntry& read = list.entries[at++];
        if (read.entry.standing == heronmount::Standing::off)
            told_.erase(read.name);
        else
            told_[read.name] = simdjson::minify(entry);
    }
}

// Guards against a discovery that counts anew, at a new address or after it was down: the version of the old
// one might never be reached there.
std::string Watch::target() const {
    if (!version_) return "/api/targets";
    return "/api/targets?index=" + std::to_string(*version_) + "&wait=" + std::to_string(pace().wait / 1ms);
}

bool Watch::take(Time now, const http::Message& message) {
    object list;
    if (json_.parse(message.body).get(list) != simdjson::SUCCESS) return false;
    try {
        take(now, list, false);
    } catch (const BadField&) {
        return false;
    }
    return true;
}

void Watch::take(Time now, const object& from, bool stale) {
    const FarmList list = readFarm(core_.site(), from);
    for (std::size_t i = 0; i < list.entries.size(); ++i) {
        const std::string& name = list.entries[i].name;
        servers_.learn(now, core_.handleOf(name), name, list.addresses[i]);
    }
    if (keeps_) note(from, list);
    version_ = list.version;
    if (list.version < 0) version_.reset();
    core_.farm(now, *this, servers_,
               stale        ? RosterMode::stale
               : list.whole ? RosterMode::whole
                            : RosterMode::changes,
               list.entries);
}

}  // namespace amberswitch::platform
