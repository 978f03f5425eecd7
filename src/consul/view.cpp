#include "consul/view.hpp"

#include <algorithm>
#include <cmath>

namespace amberswitch::consul {

using heronmount::WorkerStatus;

namespace {

std::string keyOf(const Instance& instance) {
    return instance.id + '\0' + instance.address;
}

}  // namespace

double View::flapsOf(const State& state, Time now) const {
    if (state.flaps <= 0) return 0;
    const double lives = static_cast<double>((now - state.flappedAt).count()) /
                         static_cast<double>(std::max<std::int64_t>(1, hold_.halfLife.count()));
    return state.flaps * std::exp2(-lives);
}

std::optional<Time> View::heldUntil(const std::string& name) const {
    const auto at = addresses_.find(name);
    return at == addresses_.end() ? std::nullopt : members_.at(at->second).heldUntil;
}

std::optional<Time> View::heardOf(const Scope& scope) const {
    const auto at = scopes_.find(scope);
    return at == scopes_.end() ? std::nullopt : std::optional<Time>(at->second.heard);
}

std::map<View::Scope, std::vector<Instance>> View::listings() const {
    std::map<Scope, std::vector<Instance>> out;
    for (const auto& [scope, listing] : scopes_) {
        auto& instances = out[scope];
        instances.reserve(listing.byKey.size());
        for (const auto& [key, instance] : listing.byKey) instances.push_back(instance);
    }
    return out;
}

std::optional<Time> View::next() const {
    if (held_.empty()) return std::nullopt;
    return held_.begin()->first;
}

void View::hold(const std::string& address, State& state, std::optional<Time> until) {
    if (state.heldUntil) held_.erase({*state.heldUntil, address});
    state.heldUntil = until;
    if (until) held_.insert({*until, address});
}

// Two machines may have given the same id: the second is told apart by its address.
std::string View::nameFor(const Instance& first) const {
    return addresses_.contains(first.id) ? first.id + '@' + first.address : first.id;
}

View::Changes View::answer(Time now, const Scope& scope, const std::vector<Instance>& instances) {
    ++counters_.answers;
    Listing& listing = scopes_[scope];
    listing.heard = now;
    std::map<std::string, Instance> next;
    std::size_t room = most_ - std::min(most_, listed_ - listing.byKey.size());
    for (const Instance& instance : instances) {
        if (room == 0 && !next.contains(keyOf(instance))) {
            ++counters_.overBound;
            continue;
        }
        room -= next.insert_or_assign(keyOf(instance), instance).second;
    }
    std::set<std::string> touched;
    for (const auto& [key, was] : listing.byKey)
        if (!next.contains(key)) {
            touched.insert(was.address);
            byAddress_[was.address].erase({scope, key});
        }
    for (const auto& [key, is] : next) {
        const auto was = listing.byKey.find(key);
        if (was != listing.byKey.end() && was->second == is) continue;
        touched.insert(is.address);
        byAddress_[is.address][{scope, key}] = is;
    }
    listed_ += next.size() - listing.byKey.size();
    listing.byKey = std::move(next);
    Changes out;
    if (touched.empty()) {
        ++counters_.unchanged;
        return out;
    }
    // Who moves is found before who is gone, else a new address would be a stranger's.
    for (const std::string& address : touched) {
        const auto listings = byAddress_.find(address);
        if (listings == byAddress_.end() || listings->second.empty() || members_.contains(address)) continue;
        const std::string& id = listings->second.begin()->second.id;
        const auto old = addresses_.find(id);
        if (old == addresses_.end()) continue;
        const auto left = byAddress_.find(old->second);
        if (left != byAddress_.end() && !left->second.empty()) continue;
        State state = members_.at(old->second);
        hold(old->second, state, std::nullopt);
        members_.erase(old->second);
        state.told.address = address, state.told.since = now, state.created = 0;
        ++counters_.restarts;
        old->second = address;
        State& moved = members_[address] = state;
        moved.ids.clear();
        out.push_back(moved.told);
    }
    for (const std::string& address : touched) settle(now, address, out);
    // One change a member: the last word.
    Changes last;
    for (auto change = out.rbegin(); change != out.rend(); ++change)
        if (std::none_of(last.begin(), last.end(), [&](const Member& m) { return m.name == change->name; }))
            last.push_back(*change);
    std::reverse(last.begin(), last.end());
    return last;
}

// What all listings of one address come to.
void View::settle(Time now, const std::string& address, Changes& out) {
    const auto listings = byAddress_.find(address);
    const auto at = members_.find(address);
    if (listings == byAddress_.end() || listings->second.empty()) {
        if (listings != byAddress_.end()) byAddress_.erase(listings);
        if (at == members_.end()) return;
        State& state = at->second;
        ++counters_.gone;
        // Guards against a flapper that deregisters each time: what it did is remembered, within the bound.
        if (past_.size() >= most_) past_.erase(past_.begin());
        past_[state.told.name] = {flapsOf(state, now) + (state.bad ? 0 : 1), now, state.created};
        hold(address, state, std::nullopt);
        state.told.standing = WorkerStatus::off;
        out.push_back(state.told);
        addresses_.erase(state.told.name);
        members_.erase(at);
        return;
    }
    const Instance& first = listings->second.begin()->second;
    Health worst = Health::passing;
    std::uint64_t created = 0;
    Time since{0};
    for (const auto& [key, instance] : listings->second) {
        worst = std::max(worst, instance.health);
        created = std::max(created, instance.created), since = std::max(since, instance.since);
    }
    const bool fresh = at == members_.end();
    State& state = fresh ? members_[address] : at->second;
    const State before = state;
    Member told = state.told;
    if (fresh) {
        told.name = nameFor(first), told.address = address;
        addresses_[told.name] = address;
        ++counters_.joined;
        if (const auto past = past_.find(told.name); past != past_.end()) {
            state.flaps = past->second.flaps, state.flappedAt = past->second.at;
            if (created > past->second.created) told.since = now, ++counters_.restarts;
            past_.erase(past);
        }
    } else if (state.created > 0 && created > state.created) {
        told.since = now, ++counters_.restarts;  // registered anew
    }
    state.created = created;
    told.since = std::max(told.since, since);
    told.zone = first.zone, told.kind = first.kind, told.cell = first.cell;
    told.units = worst == Health::warning ? first.warningWeight : first.passingWeight;

    const bool bad = worst == Health::critical;
    if (bad) {
        if (!state.bad && !fresh) {
            state.flaps = flapsOf(state, now) + 1, state.flappedAt = now;
            ++counters_.flaps, ++counters_.drained;
        }
        hold(address, state, std::nullopt);
        told.standing = WorkerStatus::draining;
    } else if ((state.bad || fresh) && flapsOf(state, now) > 1) {
        // The first time costs nothing; then each time costs twice the last.
        const double seconds = std::exp2(std::min(40.0, flapsOf(state, now) - 2)) *
                               std::chrono::duration<double>(hold_.first).count();
        const double most = std::chrono::duration<double>(hold_.most).count();
        hold(address, state, now + Nanos(static_cast<std::int64_t>(std::min(seconds, most) * 1e9)));
        ++counters_.held;
        told.standing = WorkerStatus::draining;
    } else if (!state.heldUntil) {
        if (state.bad) ++counters_.restored;
        told.standing = WorkerStatus::on;
    }
    state.bad = bad;
    if (!fresh && told == before.told) return;
    state.told = told;
    out.push_back(told);
}

View::Changes View::due(Time now) {
    Changes out;
    while (!held_.empty() && held_.begin()->first <= now) {
        const std::string address = held_.begin()->second;
        State& state = members_.at(address);
        hold(address, state, std::nullopt);
        state.told.standing = WorkerStatus::on;
        ++counters_.restored;
        out.push_back(state.told);
    }
    return out;
}

}  // namespace amberswitch::consul
