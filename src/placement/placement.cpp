#include "placement/placement.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <sstream>
#include <utility>

namespace amberswitch::placement {

namespace {
constexpr double kWaitSmoothingSeconds = 10;  // time constant of the smoothing and decay of waits
}

const char* nameOf(PlacementReason reason) {
    constexpr const char* kNames[] = {"none", "place unknown", "label changed", "as told"};
    return kNames[static_cast<std::size_t>(reason)];
}

Placement::Placement(const Policy& policy, settings::Site& site, Time start)
    : policy_(policy), classes_(site.classes.size()), wireClasses_(site.module.classes.size()) {
    if (!on()) return;
    for (const auto& partner : policy_.partners)
        for (const Entry& entry : partner) {
            placeSetIndex(entry.first);
            if (entry.rule != Rule::homeFirst) continue;
            placeSetIndex(entry.wide);
            limiters_.emplace(&entry, SpillLimiter(entry.spill, site.module.schedulerCount,
                                                   site.module.schedulerIndex, start));
        }
    if (placeSets_.size() * wireClasses_ > 64)
        throw settings::BadField("placement: " + std::to_string(placeSets_.size()) + " sets of places for " +
                                 std::to_string(wireClasses_) + " classes are more than 64");
    const std::vector<heronmount::ClassSettings> plain = site.module.classes;
    for (std::size_t r = 1; r < placeSets_.size(); ++r)
        site.module.classes.insert(site.module.classes.end(), plain.begin(), plain.end());
    // Each place gets its own kinds, so that jobs which may run elsewhere also see that a place is full.
    site.module.kinds = std::max(1, site.module.kinds) * static_cast<int>(policy_.places.size() + 1);
    waits_.resize(policy_.places.size());
}

std::size_t Placement::placeSetIndex(const PlaceSet& places) {
    const auto at = std::find(placeSets_.begin(), placeSets_.end(), places);
    if (at != placeSets_.end()) return static_cast<std::size_t>(at - placeSets_.begin());
    placeSets_.push_back(places);
    return placeSets_.size() - 1;
}

const ServerPlacement& Placement::updateServer(Time now, std::size_t server, const std::string& name,
                                               int zone, Time start) {
    if (server >= servers_.size()) servers_.resize(server + 1);
    ServerPlacement& s = servers_[server];
    if (const auto kept = restored_.find(name); s.reason == PlacementReason::none && kept != restored_.end())
        s = std::move(kept->second), restored_.erase(kept);
    const bool anew = s.reason == PlacementReason::none || start > s.start;
    if (!anew && (zone == s.zone || s.reason == PlacementReason::labelChanged)) return s;
    changed_ = true;
    if (!anew) {
        s = {0, PlacementReason::labelChanged, now, zone, s.start, name};
        ++counters_.labelChanged;
        return s;
    }
    const std::uint32_t jurisdictions = policy_.of(zone, name);
    s = {jurisdictions, jurisdictions ? PlacementReason::known : PlacementReason::unknownPlace,
         now,           zone,
         start,         name};
    counters_.unknownPlace += jurisdictions == 0;
    return s;
}

std::string Placement::savedPlacements() const {
    std::string out;
    const auto line = [&out](const ServerPlacement& s) {
        out += s.name + '\t' + std::to_string(s.zone) + '\t' + std::to_string(s.start.count()) + '\t' +
               (s.reason == PlacementReason::labelChanged ? '1' : '0') + '\n';
    };
    for (const ServerPlacement& s : servers_)
        if (s.reason != PlacementReason::none) line(s);
    for (const auto& [name, s] : restored_) line(s);
    return out;
}

void Placement::restorePlacements(const std::string& kept) {
    std::map<std::string, ServerPlacement> found;
    std::istringstream lines(kept);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream fields(line);
        ServerPlacement s;
        std::int64_t start = 0;
        int moved = 0;
        if (!std::getline(fields, s.name, '\t') || !(fields >> s.zone >> start >> moved) || s.name.empty())
            throw settings::BadField("malformed line");
        s.start = Time(start), s.jurisdictions = moved ? 0 : policy_.of(s.zone, s.name);
        s.reason = moved             ? PlacementReason::labelChanged
                   : s.jurisdictions ? PlacementReason::known
                                     : PlacementReason::unknownPlace;
        found.emplace(s.name, s);
    }
    restored_ = std::move(found);
}

std::uint64_t Placement::classMaskOf(std::uint64_t classes, const ServerPlacement& server) const {
    std::uint64_t out = 0;
    for (std::size_t r = 0; r < placeSets_.size(); ++r)
        if (placeSets_[r].contains(server.jurisdictions)) out |= classes << (r * wireClasses_);
    return out;
}

int Placement::kindOf(int kind, const ServerPlacement& server) const {
    const int place = server.jurisdictions ? std::countr_zero(server.jurisdictions) + 1 : 0;
    return std::max(0, kind) * static_cast<int>(policy_.places.size() + 1) + place;
}

Placement::Ticket Placement::take(int tenant, std::uint32_t klass) {
    Ticket out;
    out.entry = policy_.entry(tenant, klass % classes_);
    if (!out.entry) return ++counters_.nowhere, out;
    out.placeSet = placeSetIndex(out.entry->first);
    counters_.bound += out.entry->rule != Rule::anywhere;
    return out;
}

std::uint32_t Placement::classIn(const Ticket& ticket, std::uint32_t klass) const {
    return static_cast<std::uint32_t>(ticket.placeSet * wireClasses_) + klass;
}

bool Placement::tryWiden(Time now, Ticket& ticket) {
    if (!ticket.entry || ticket.entry->rule != Rule::homeFirst || ticket.widened) return false;
    if (!limiters_.at(ticket.entry).trySpend(now)) return ++counters_.allowanceSpent, false;
    ticket.widened = true, ticket.spent = now;
    ticket.placeSet = placeSetIndex(ticket.entry->wide);
    ++counters_.spilled;
    return true;
}

void Placement::revertWidening(Ticket& ticket) {
    if (!ticket.widened) return;
    limiters_.at(ticket.entry).refund(ticket.spent);
    ticket.widened = false;
    ++counters_.returned;
}

bool Placement::allows(const Ticket& ticket, std::size_t server) const {
    return ticket.entry && server < servers_.size() &&
           ticket.places().contains(servers_[server].jurisdictions);
}

bool Placement::isOutside(const Ticket& ticket, std::size_t server) const {
    return server >= servers_.size() || !ticket.entry->first.contains(servers_[server].jurisdictions);
}

void Placement::recordStart(Time now, std::size_t server, Nanos wait) {
    if (server >= servers_.size()) return;
    for (std::size_t j = 0; j < waits_.size(); ++j) {
        if (!(servers_[server].jurisdictions >> j & 1)) continue;
        const double dt = std::chrono::duration<double>(now - waits_[j].at).count();
        waits_[j].mean += (std::chrono::duration<double>(wait).count() - waits_[j].mean) *
                          std::max(0.05, 1 - std::exp(-dt / kWaitSmoothingSeconds));
        waits_[j].at = now;
    }
}

Nanos Placement::recordRefusal(Time now, const Ticket& ticket, Nanos least, Nanos most) {
    if (!ticket.entry || ticket.entry->rule == Rule::anywhere) return least;
    ++counters_.refusedHome;
    double longest = 0;
    for (std::size_t j = 0; j < waits_.size(); ++j) {
        const double age = std::chrono::duration<double>(now - waits_[j].at).count();
        if (ticket.entry->first.of >> j & 1)
            longest = std::max(longest, waits_[j].mean * std::exp(-age / kWaitSmoothingSeconds));
    }
    return std::clamp(Nanos(static_cast<std::int64_t>(longest * 1e9)), least, std::max(least, most));
}

}  // namespace amberswitch::placement
