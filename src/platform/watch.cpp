#include "platform/watch.hpp"

namespace amberswitch::platform {

using namespace settings;
using heronmount::RosterMode;

using namespace std::chrono_literals;

// A gap of 200 ms would end the watch.
//
// Where lists are asked for, calls have a price and wait for long; when a watch that was lost begins again is
// for start::CallSchedule to say. Where they are pushed, the agent on this machine answers at no cost, and
// what it has counts as told: an agent that was silent must be heard again well inside the rule on drains,
// also over a connection that died with it. Guards besides against an agent that answers each call at once
// making a loop of it.
LongPoll::Pace Watch::paceOf(const settings::Site& site) {
    if (site.module.rosterOnRequest) return {20s, start::CallSchedule::kCallTimeout, 0s, 0s};
    const Nanos grace = site.drainGrace.count() > 0 ? std::min<Nanos>(site.drainGrace, 4s) : 2s;
    return {grace / 4, grace / 8, std::min<Nanos>(grace / 40, 50ms), std::min<Nanos>(grace / 20, 100ms)};
}

Watch::Watch(Core& core, Servers& servers, Deadlines& deadlines, wire::Connector& connector,
             std::string address, const start::Pace& pace, std::uint64_t seed)
    : LongPoll(core, deadlines, connector, std::move(address), paceOf(core.site())),
      servers_(servers),
      deadlines_(deadlines) {
    const heronmount::Settings& site = core.site().module;
    // What is new counts as told after askWithin, whether it was asked for or not: with a list in hand two
    // turns come in that time, without one all but one.
    if (site.rosterOnRequest)
        turns_.emplace(
            start::CallSchedule::Config{site.schedulerCount, site.schedulerIndex, pace,
                                        site.rosterRequestWindow / 2, site.rosterRequestWindow / 40 * 39,
                                        core.site().drainGrace},
            seed);
}

void Watch::begin(Time now, const std::optional<object>& list) {
    if (list)
        known(now, *list), begunWithAList_ = true;
    else if (!beginWithKept(now))
        // Guards against a module that nobody wakes: it asks for lists from its first event on
        core_.updateRoster(now, *this, servers_, RosterMode::stale, {});
    turns_ ? LongPoll::begin(turns_->firstTurn(now, begunWithAList_)) : watch(now);
}

bool Watch::beginWithKept(Time now) {
    const auto kept = keeper_ ? keeper_->load(now) : std::nullopt;
    if (!kept) return false;
    try {
        inherit(now, kept->body);
    } catch (const BadField& bad) {
        keeper_->refuse(bad.what());
        return false;
    }
    return begunWithAList_ = !told_.empty();
}

std::optional<Time> Watch::nextTurn(Time now, start::CallFailure how, Time notBefore) {
    if (!turns_) return std::nullopt;
    return turns_->turnAfterFailure(now, how, notBefore);
}

std::optional<Time> Watch::replied(Time now, Nanos took, bool waited) {
    if (turns_ && waited) turns_->answeredAfterWait();
    if (!turns_ || waited) return std::nullopt;
    turns_->answered(took);
    return turns_->watchTurn(now);
}

// Others may stand before a call for a whole list.
Nanos Watch::grace() const {
    return turns_ && !waits() ? turns_->answerTimeout() : pace().grace;
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
        const RosterServer& read = list.entries[at++];
        if (read.entry.status == heronmount::WorkerStatus::off)
            told_.erase(read.name);
        else
            told_[read.name] = simdjson::minify(entry);
    }
}

// A watch that was lost goes on from its version. Guards against an agent that counts anew after it was down,
// or a discovery at a new address: the version of the old one might never be reached there.
std::string Watch::target() const {
    if (!version_) return "/api/targets";
    return "/api/targets?index=" + std::to_string(*version_) + "&wait=" + std::to_string(wait() / 1ms);
}

bool Watch::take(Time now, const http::Message& message) {
    object list;
    if (json_.parse(message.body).get(list) != simdjson::SUCCESS) return false;
    try {
        // It counts anew, and these are changes of something else: the whole list is wanted, in its turn.
        if (turns_ && version_ && !flag(list, "snapshot", false) && integer(list, "index") < *version_) {
            version_.reset();
            return false;
        }
        take(now, list, false);
    } catch (const BadField&) {
        return false;
    }
    if (const auto first = std::exchange(first_, nullptr)) first(now);
    if (keeper_ && keeper_->on() && !keep_.armed())
        keep_.arm(deadlines_, now + kKeepEvery, [this](Time at) { keeper_->save(at, told()); });
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
    core_.updateRoster(now, *this, servers_,
                       stale        ? RosterMode::stale
                       : list.whole ? RosterMode::full
                                    : RosterMode::incremental,
                       list.entries);
}

}  // namespace amberswitch::platform
