#include "lab/rig.hpp"

#include <signal.h>

#include <algorithm>
#include <numeric>

namespace amberswitch::lab {

using namespace std::chrono_literals;

Rig::Rig(const Script& script, const Options& options, std::shared_ptr<spdlog::logger> log)
    : script_(script),
      options_(options),
      log_(std::move(log)),
      world_(script, loop_),
      states_(script.faults.size()) {
    const auto at = [this](int dispatcher) { return fleet_->at(dispatcher); };
    farm_ = std::make_unique<Farm>(world_, at);
    lists_ = std::make_unique<Lists>(world_, [this](int d, int s) { return farm_->address(d, s); });
    fleet_ = std::make_unique<Fleet>(world_, options.program, options.folder, options.block, [this](int d) {
        std::string known;
        if (script_.known == "fresh") known = lists_->whole(d);
        if (script_.known == "gone")
            known =
                R"({"index":7,"snapshot":true,"endpoints":[{"name":"old","address":"127.0.0.1:1","zone":"z0",)"
                R"("type":"std","group":0,"status":"Ready","weight":1.0,"since_ms":0}]})";
        return Fleet::Configured{lists_->address(d), known};
    });
    clients_ = std::make_unique<Clients>(world_, at);
    lists_->onCall([this](Time now) { look(now); });
    fleet_->ended = [this](Time now, int dispatcher, bool ours) {
        log_->info("{{\"at\":{:.3f},\"event\":\"ended\",\"of\":{},\"ours\":{}}}",
                   world_.books.sinceBegin(now), dispatcher, ours);
        clients_->gone(dispatcher);
        if (returning_.erase(dispatcher)) startOne(now, dispatcher, true);
    };
    loop_.onSignal(SIGCHLD, [this](Time now) { fleet_->reap(now); });
}

void Rig::startOne(Time now, int dispatcher, bool emptied) {
    if (ending_ || fleet_->running(dispatcher)) return;
    fleet_->start(now, dispatcher, emptied);
    clients_->started(dispatcher);
}

std::vector<int> Rig::draw(const Fault& fault) {
    if (!fault.whom.empty()) return fault.whom;
    const bool ofServers =
        fault.act.rfind("server_", 0) == 0 || fault.act == "drain" || fault.act == "relabel";
    std::vector<int> all(ofServers ? script_.servers.count : script_.dispatchers);
    std::iota(all.begin(), all.end(), 0);
    for (std::size_t i = all.size(); i > 1; --i)
        std::swap(all[i - 1], all[static_cast<std::size_t>(world_.draw() * static_cast<double>(i))]);
    all.resize(static_cast<std::size_t>(fault.share * static_cast<double>(all.size()) + 0.5));
    return all;
}

bool Rig::holds(const Condition& when) const {
    if (!when.after.empty()) {
        const bool until = when.after.rfind("until:", 0) == 0;
        const std::string name = until ? when.after.substr(6) : when.after;
        bool met = false;
        for (std::size_t i = 0; i < states_.size(); ++i)
            if (script_.faults[i].name == name)
                met = met || states_[i].phase >= (until ? State::over : State::on);
        if (!met) return false;
    }
    if (static_cast<double>(clients_->everReady()) <
        when.readyShare * static_cast<double>(script_.dispatchers))
        return false;
    return (when.of >= 0 ? lists_->callsOf(when.of) : lists_->calls()) >= when.listCalls;
}

void Rig::look(Time now) {
    if (std::exchange(looking_, true)) return;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        State& state = states_[i];
        if (state.phase == State::waits && holds(script_.faults[i].when))
            state.phase = State::ripe, state.due = now + script_.faults[i].when.wait;
        if (state.phase == State::ripe && state.due <= now) begin(now, i);
        if (state.phase == State::on && script_.faults[i].lasts.count() > 0 && state.until <= now)
            end(now, i);
    }
    looking_ = false;
}

void Rig::begin(Time now, std::size_t i) {
    const Fault& fault = script_.faults[i];
    states_[i].phase = State::on, states_[i].until = now + fault.lasts, states_[i].whom = draw(fault);
    if (!firstFault_) firstFault_ = now, wholeBefore_ = world_.books.sum(Count::wholeLists);
    marks_.push_back({world_.books.sinceBegin(now), fault.name});
    log_->info("{{\"at\":{:.3f},\"event\":\"fault\",\"name\":\"{}\",\"do\":\"{}\",\"whom\":{}}}",
               marks_.back().at, fault.name, fault.act, states_[i].whom.size());
    act(now, fault, states_[i].whom, true);
}

void Rig::end(Time now, std::size_t i) {
    states_[i].phase = State::over;
    marks_.push_back({world_.books.sinceBegin(now), script_.faults[i].name + " over"});
    log_->info("{{\"at\":{:.3f},\"event\":\"over\",\"name\":\"{}\"}}", marks_.back().at,
               script_.faults[i].name);
    act(now, script_.faults[i], states_[i].whom, false);
}

void Rig::paths(Time now, const Fault& fault, int dispatcher, bool on) {
    const Side side = fault.side == "list"      ? Side::list
                      : fault.side == "servers" ? Side::servers
                                                : Side::clients;
    const Time until =
        now + (fault.lasts.count() ? fault.lasts : script_.lasts) + script_.clients.giveUp + 3s;
    // What comes over its clients' way may be lost there; what the list service wrote may not have come.
    if (on && side != Side::servers) world_.books.excuse(dispatcher, now, until);
    world_.eachPath(dispatcher, side, [&](Path& path) {
        if (fault.act == "cut") {
            if (fault.way != "from") path.cutTo = on;
            if (fault.way != "to") path.cutFrom = on;
        } else if (fault.act == "delay") {
            path.delay = on ? Nanos(static_cast<std::int64_t>(fault.amount * 1e6)) : Nanos(0);
        } else if (fault.act == "throttle") {
            path.bytesPerSecond = on ? fault.amount : 0;
        } else if (fault.act == "split") {
            path.split = on ? static_cast<std::size_t>(std::max(1.0, fault.amount)) : 0;
        } else if (fault.act == "reset") {
            path.resetAfter = on ? static_cast<std::size_t>(fault.amount) : 0;
            if (on && fault.amount == 0) path.breakAll(now);
        } else {
            path.refuse = on;
        }
        path.changed(now);
    });
}

void Rig::act(Time now, const Fault& fault, const std::vector<int>& whom, bool on) {
    const std::string& act = fault.act;
    if (act == "list_down") return lists_->down(now, on);
    if (act == "list_busy") return lists_->busy(on ? std::max(fault.share, fault.amount) : 0);
    if (act == "list_stall") return lists_->stall(now, on);
    if (act == "list_anew") return on ? lists_->anew(now) : void();
    if (act == "list_pace")
        return lists_->pace(on ? std::max(0.1, fault.amount) : script_.list.callsPerSecond);
    if (act == "list_silent") return on ? lists_->silence(now) : void();
    if (act == "list_move") {
        if (!on) return;
        lists_->move(now);
        for (int d = 0; d < static_cast<int>(script_.dispatchers); ++d) fleet_->reload(d);
        return;
    }
    if (act == "list_old") return lists_->old(on);
    if (act == "burst") return clients_->burst(on ? std::max(0.01, fault.amount) : 1);
    std::size_t place = 0;
    for (const int one : whom) {
        const Time from = now - script_.clients.giveUp;
        if (act == "kill" || act == "term" || act == "roll") {
            if (!on) {
                if (act != "roll") startOne(now, one, act == "kill");
                continue;
            }
            if (act == "roll") returning_.insert(one);
            if (act == "kill") world_.books.excuse(one, from, now + 1s + script_.clients.giveUp);
            // A roll: one after the other, `amount` milliseconds apart.
            const Time due =
                now + Nanos(static_cast<std::int64_t>(1e6 * fault.amount * static_cast<double>(place++)));
            const int number = act == "kill" ? SIGKILL : SIGTERM;
            if (number == SIGTERM && !script_.clients.keepOn)
                world_.books.excuse(one, due + 700ms, due + 3s + script_.clients.giveUp);
            world_.deadlines().once(due, [this, one, number](Time) { fleet_->signal(one, number); });
            world_.deadlines().once(due + (number == SIGKILL ? 1s : 100ms),
                                    [this, one, run = fleet_->starts(one)](Time) {
                                        // Not of the process that has come in its place.
                                        if (fleet_->starts(one) == run) clients_->gone(one);
                                    });
            // Of this run of it alone.
            if (number == SIGTERM)
                world_.deadlines().once(due + script_.clients.giveUp + 700ms,
                                        [this, one, run = fleet_->starts(one)](Time) {
                                            if (fleet_->starts(one) == run) fleet_->signal(one, SIGKILL);
                                        });
        } else if (act == "start") {
            if (on) startOne(now, one, true);
        } else if (act == "stop") {
            if (on) world_.books.excuse(one, from, now + fault.lasts + script_.clients.giveUp);
            fleet_->signal(one, on ? SIGSTOP : SIGCONT);
        } else if (act == "server_kill") {
            if (on) {
                farm_->kill(now, one);
                world_.deadlines().once(now + 1s, [this, one](Time at) {
                    if (!farm_->up(one)) lists_->change(at, one, {"Gone", 0});
                });
            } else {
                farm_->start(now, one);
                lists_->change(now, one,
                               {"Ready", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()});
            }
        } else if (act == "server_stall") {
            farm_->stall(one, on);
        } else if (act == "server_error") {
            farm_->err(one, on);
        } else if (act == "relabel") {
            const int own = one % static_cast<int>(script_.servers.zones);
            lists_->relabel(now, one, on ? static_cast<int>(fault.amount) : own);
        } else if (act == "drain") {
            lists_->change(now, one, {on ? "Terminating" : "Ready", 0});
        } else {
            paths(now, fault, one, on);
        }
    }
}

void Rig::second(Time now) {
    if (ending_) return;
    fleet_->measure();
    if (options_.progress)
        options_.progress(std::to_string(static_cast<int>(world_.books.sinceBegin(now))) + " s, " +
                          std::to_string(clients_->readyNow()) + " of " +
                          std::to_string(script_.dispatchers) + " ready, " + std::to_string(lists_->calls()) +
                          " list calls, " + std::to_string(world_.books.wrongCount()) + " wrong");
    world_.deadlines().once(now + 1s, [this](Time at) { second(at); });
}

Result Rig::run() {
    const Time began = loop_.now();
    for (int d = 0; d < static_cast<int>(script_.dispatchers); ++d) {
        const auto spread = static_cast<double>(script_.startWithin.count()) * world_.draw();
        world_.deadlines().once(began + Nanos(static_cast<std::int64_t>(spread)), [this, d](Time at) {
            // One whose start is a fault's business waits for it.
            for (const Fault& fault : script_.faults)
                if (fault.act == "start" && std::count(fault.whom.begin(), fault.whom.end(), d)) return;
            startOne(at, d, false);
        });
    }
    std::function<void(Time)> often = [this, &often](Time now) {
        look(now);
        if (!ending_) world_.deadlines().once(now + 5ms, often);
    };
    often(began), second(began);
    const Time over = began + script_.lasts;
    // The last jobs have their time: nobody comes any more, and what is owed then is lost.
    world_.deadlines().once(over, [this](Time) { clients_->stop(); });
    world_.deadlines().once(over + script_.clients.giveUp + 500ms, [this](Time now) {
        ending_ = true;
        world_.books.close(now, now - script_.clients.giveUp - 300ms);
        fleet_->endAll(SIGTERM);
        world_.deadlines().once(now + 1500ms, [this](Time at) {
            fleet_->reap(at);
            fleet_->endAll(SIGKILL);
            loop_.stop();
        });
    });
    loop_.run();
    return judge(over);
}

Result Rig::judge(Time over) {
    const Books& books = world_.books;
    Result out;
    out.name = script_.name, out.seed = script_.seed, out.dispatchers = script_.dispatchers;
    out.seconds = books.seconds(), out.marks = marks_;
    out.seconds.resize(std::min(out.seconds.size(), static_cast<std::size_t>(books.sinceBegin(over)) + 1));
    const auto of = [&out](std::size_t second, Count what) {
        return static_cast<double>(out.seconds[second][static_cast<std::size_t>(what)]);
    };
    out.listCalls = books.sum(Count::listCalls), out.wholeLists = books.sum(Count::wholeLists);
    out.falls = books.sum(Count::falls);
    const auto fleet = static_cast<double>(script_.dispatchers);
    out.wholeEach = static_cast<double>(firstFault_ ? wholeBefore_ : out.wholeLists) / fleet;
    out.wholeAfter = firstFault_ ? out.wholeLists - wholeBefore_ : 0;
    out.turnedAway =
        static_cast<double>(books.sum(Count::turnedAway)) / std::max(1.0, static_cast<double>(out.listCalls));
    for (std::size_t i = 1; i < out.seconds.size(); ++i)
        out.overPace = std::max(out.overPace, of(i, Count::listCalls) / script_.list.callsPerSecond);
    out.everReady = clients_->everReady();
    if (out.everReady == script_.dispatchers) out.ready = books.sinceBegin(clients_->lastReady());
    double tasks = 0, served = 0;
    for (std::size_t i = out.seconds.size() > 4 ? out.seconds.size() - 4 : 0; i + 1 < out.seconds.size(); ++i)
        tasks += of(i, Count::tasks), served += of(i, Count::tasksServed);
    out.servedShare = tasks > 0 ? served / tasks : 1;
    out.descriptors = fleet_->mostDescriptors(), out.memoryKb = fleet_->mostMemoryKb();
    out.connections = farm_->mostConnections();
    out.wrongs = books.wrongs(), out.wrongCount = books.wrongCount();
    const Expect& expect = script_.expect;
    const auto atMost = [&out](const char* what, double is, double bound) {
        if (bound < 0 || is <= bound) return;
        char text[160];
        std::snprintf(text, sizeof text, "%s: %.3f, at most %.3f was wanted", what, is, bound);
        out.wrongs.push_back(text), ++out.wrongCount;
    };
    atMost("whole lists a dispatcher", out.wholeEach, expect.wholeLists);
    atMost("share of list calls turned away", out.turnedAway, expect.turnedAway);
    atMost("list calls in a second, of the pace", out.overPace, expect.overPace);
    atMost("whole lists after the first fault", static_cast<double>(out.wholeAfter), expect.wholeAfter);
    atMost("connections over the limit", static_cast<double>(books.sum(Count::overLimit)), expect.overLimit);
    if (expect.outsideMost >= 0)
        atMost("home's tasks outside in a span", static_cast<double>(books.mostOutside(expect.outsideSpan)),
               expect.outsideMost);
    if (expect.homeServed >= 0) {
        double asked = 0, done = 0;
        for (std::size_t i = out.seconds.size() > 4 ? out.seconds.size() - 4 : 0; i + 1 < out.seconds.size();
             ++i)
            asked += of(i, Count::homeTasks), done += of(i, Count::homeServed);
        atMost("share of home's tasks not served at the end", asked > 0 ? 1 - done / asked : 1,
               1 - expect.homeServed);
    }
    const double bound = std::chrono::duration<double>(expect.ready).count();
    if (expect.ready.count() >= 0)
        atMost("seconds until all were ready", out.ready < 0 ? 1e9 : out.ready, bound);
    if (expect.servedShare >= 0)
        atMost("share not served at the end", 1 - out.servedShare, 1 - expect.servedShare);
    return out;
}

}  // namespace amberswitch::lab
