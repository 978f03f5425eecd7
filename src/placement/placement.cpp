#include "placement/placement.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <sstream>
#include <utility>

namespace amberswitch::placement {

namespace {
constexpr double kForget = 10;  // seconds over which waits are smoothed and forgotten
}

const char* nameOf(Why why) {
    constexpr const char* kNames[] = {"none", "place unknown", "label changed", "as told"};
    return kNames[static_cast<std::size_t>(why)];
}

Placement::Placement(const Policy& policy, settings::Site& site, Time start)
    : policy_(policy), classes_(site.classes.size()), wireClasses_(site.module.classes.size()) {
    if (!on()) return;
    for (const auto& partner : policy_.partners)
        for (const Entry& entry : partner) {
            regimeOf(entry.first);
            if (entry.rule != Rule::homeFirst) continue;
            regimeOf(entry.wide);
            ledgers_.emplace(
                &entry, Ledger(entry.spill, site.module.schedulerCount, site.module.schedulerIndex, start));
        }
    if (regimes_.size() * wireClasses_ > 64)
        throw settings::BadField("placement: " + std::to_string(regimes_.size()) + " sets of places for " +
                                 std::to_string(wireClasses_) + " classes are more than 64");
    const std::vector<heronmount::ClassSettings> plain = site.module.classes;
    for (std::size_t r = 1; r < regimes_.size(); ++r)
        site.module.classes.insert(site.module.classes.end(), plain.begin(), plain.end());
    // Pools of their own: what a place is full of is then seen by work that may go elsewhere, too.
    site.module.kinds = std::max(1, site.module.kinds) * static_cast<int>(policy_.places.size() + 1);
    waits_.resize(policy_.places.size());
}

std::size_t Placement::regimeOf(const Reach& reach) {
    const auto at = std::find(regimes_.begin(), regimes_.end(), reach);
    if (at != regimes_.end()) return static_cast<std::size_t>(at - regimes_.begin());
    regimes_.push_back(reach);
    return regimes_.size() - 1;
}

const Standing& Placement::listed(Time now, std::size_t server, const std::string& name, int zone,
                                  Time start) {
    if (server >= standings_.size()) standings_.resize(server + 1);
    Standing& s = standings_[server];
    if (const auto kept = recalled_.find(name); s.why == Why::none && kept != recalled_.end())
        s = std::move(kept->second), recalled_.erase(kept);
    const bool anew = s.why == Why::none || start > s.start;
    if (!anew && (zone == s.zone || s.why == Why::moved)) return s;
    changed_ = true;
    if (!anew) {
        s = {0, Why::moved, now, zone, s.start, name};
        ++counters_.moved;
        return s;
    }
    const std::uint32_t jurisdictions = policy_.of(zone, name);
    s = {jurisdictions, jurisdictions ? Why::known : Why::unknownPlace, now, zone, start, name};
    counters_.unknownPlace += jurisdictions == 0;
    return s;
}

std::string Placement::standings() const {
    std::string out;
    const auto line = [&out](const Standing& s) {
        out += s.name + '\t' + std::to_string(s.zone) + '\t' + std::to_string(s.start.count()) + '\t' +
               (s.why == Why::moved ? '1' : '0') + '\n';
    };
    for (const Standing& s : standings_)
        if (s.why != Why::none) line(s);
    for (const auto& [name, s] : recalled_) line(s);
    return out;
}

void Placement::recall(const std::string& kept) {
    std::map<std::string, Standing> found;
    std::istringstream lines(kept);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream fields(line);
        Standing s;
        std::int64_t start = 0;
        int moved = 0;
        if (!std::getline(fields, s.name, '\t') || !(fields >> s.zone >> start >> moved) || s.name.empty())
            throw settings::BadField("a line is no standing");
        s.start = Time(start), s.jurisdictions = moved ? 0 : policy_.of(s.zone, s.name);
        s.why = moved ? Why::moved : s.jurisdictions ? Why::known : Why::unknownPlace;
        found.emplace(s.name, s);
    }
    recalled_ = std::move(found);
}

std::uint64_t Placement::widen(std::uint64_t classes, const Standing& standing) const {
    std::uint64_t out = 0;
    for (std::size_t r = 0; r < regimes_.size(); ++r)
        if (regimes_[r].holds(standing.jurisdictions)) out |= classes << (r * wireClasses_);
    return out;
}

int Placement::kindOf(int kind, const Standing& standing) const {
    const int place = standing.jurisdictions ? std::countr_zero(standing.jurisdictions) + 1 : 0;
    return std::max(0, kind) * static_cast<int>(policy_.places.size() + 1) + place;
}

Placement::Ticket Placement::take(int tenant, std::uint32_t klass) {
    Ticket out;
    out.entry = policy_.entry(tenant, klass % classes_);
    if (!out.entry) return ++counters_.nowhere, out;
    out.regime = regimeOf(out.entry->first);
    counters_.bound += out.entry->rule != Rule::anywhere;
    return out;
}

std::uint32_t Placement::classIn(const Ticket& ticket, std::uint32_t klass) const {
    return static_cast<std::uint32_t>(ticket.regime * wireClasses_) + klass;
}

bool Placement::widens(Time now, Ticket& ticket) {
    if (!ticket.entry || ticket.entry->rule != Rule::homeFirst || ticket.widened) return false;
    if (!ledgers_.at(ticket.entry).spend(now)) return ++counters_.nothingLeft, false;
    ticket.widened = true, ticket.spent = now;
    ticket.regime = regimeOf(ticket.entry->wide);
    ++counters_.spilled;
    return true;
}

void Placement::returned(Ticket& ticket) {
    if (!ticket.widened) return;
    ledgers_.at(ticket.entry).giveBack(ticket.spent);
    ticket.widened = false;
    ++counters_.returned;
}

bool Placement::allows(const Ticket& ticket, std::size_t server) const {
    return ticket.entry && server < standings_.size() &&
           ticket.reach().holds(standings_[server].jurisdictions);
}

bool Placement::outside(const Ticket& ticket, std::size_t server) const {
    return server >= standings_.size() || !ticket.entry->first.holds(standings_[server].jurisdictions);
}

void Placement::began(Time now, std::size_t server, Nanos wait) {
    if (server >= standings_.size()) return;
    for (std::size_t j = 0; j < waits_.size(); ++j) {
        if (!(standings_[server].jurisdictions >> j & 1)) continue;
        const double dt = std::chrono::duration<double>(now - waits_[j].at).count();
        waits_[j].mean += (std::chrono::duration<double>(wait).count() - waits_[j].mean) *
                          std::max(0.05, 1 - std::exp(-dt / kForget));
        waits_[j].at = now;
    }
}

Nanos Placement::refused(Time now, const Ticket& ticket, Nanos least, Nanos most) {
    if (!ticket.entry || ticket.entry->rule == Rule::anywhere) return least;
    ++counters_.forWantOfHome;
    double longest = 0;
    for (std::size_t j = 0; j < waits_.size(); ++j) {
        const double age = std::chrono::duration<double>(now - waits_[j].at).count();
        if (ticket.entry->first.of >> j & 1)
            longest = std::max(longest, waits_[j].mean * std::exp(-age / kForget));
    }
    return std::clamp(Nanos(static_cast<std::int64_t>(longest * 1e9)), least, std::max(least, most));
}

}  // namespace amberswitch::placement
