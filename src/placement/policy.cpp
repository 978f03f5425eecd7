#include "placement/policy.hpp"

#include <xxhash.h>

#include <algorithm>

#include "settings/settings.hpp"

namespace amberswitch::placement {

using settings::Node;

std::uint32_t Policy::of(int zone, const std::string& server) const {
    std::uint32_t out = 0;
    for (std::size_t j = 0; j < places.size(); ++j) {
        const Place& place = places[j];
        if (std::count(place.zones.begin(), place.zones.end(), zone) > 0 ||
            std::count(place.servers.begin(), place.servers.end(), server) > 0)
            out |= 1u << j;
    }
    return out;
}

const Entry* Policy::entry(int tenant, std::size_t klass) const {
    const auto at = static_cast<std::size_t>(tenant);
    if (tenant >= 0 && at < partners.size() && !partners[at].empty())
        return &partners[at][klass % partners[at].size()];
    return othersAnywhere ? &anywhere_ : nullptr;
}

namespace {

std::uint32_t bitsOf(const Node& names, const std::vector<std::string>& jurisdictions) {
    std::uint32_t out = 0;
    for (const Node& name : names.list(kMaxJurisdictions)) {
        const std::uint32_t bit = 1u << name.place(jurisdictions, "jurisdiction");
        if (out & bit) name.fail("is named twice");
        out |= bit;
    }
    return out;
}

Spill readSpill(const Node& node) {
    const auto from = node.table({"long_jobs", "long_ms", "short_jobs", "short_ms"});
    Spill out;
    out.longJobs = static_cast<std::uint32_t>(from.need("long_jobs").integer(1, 1'000'000));
    out.longSpan = from.milliseconds("long_ms", std::chrono::minutes(1), 1000, 86'400'000);
    out.shortJobs = from.integer("short_jobs", out.longJobs, 1, 1'000'000);
    out.shortSpan = from.milliseconds("short_ms", out.longSpan / 6, 100, 86'400'000);
    if (out.shortJobs > out.longJobs) node.fail("short_jobs is more than long_jobs");
    if (out.shortSpan > out.longSpan) node.fail("short_ms is more than long_ms");
    return out;
}

Entry readEntry(const Node& node, std::uint32_t inside, const std::vector<std::string>& jurisdictions) {
    const auto from = node.table({"rule", "spill", "never"});
    Entry out;
    out.rule = static_cast<Rule>(from.need("rule").place({"home", "home_first", "anywhere"}, "rule"));
    const Node* const never = from.find("never");
    const Node* const spill = from.find("spill");
    const std::uint32_t forbidden = never ? bitsOf(*never, jurisdictions) : 0;
    if (out.rule != Rule::anywhere && inside == 0) node.fail("the partner has no home");
    if (out.rule != Rule::anywhere && (forbidden & inside))
        never->fail("forbids a jurisdiction that is home or allowed");
    if (out.rule == Rule::home && never) never->fail("says nothing where the rule is home");
    if ((out.rule == Rule::homeFirst) != (spill != nullptr))
        (spill ? *spill : node).fail("'spill' goes with the rule home_first, and only with it");
    out.first = out.rule == Rule::anywhere ? PlaceSet{0, forbidden, true} : PlaceSet{inside, 0, false};
    out.wide = {0, forbidden, true};
    if (spill) out.spill = readSpill(*spill);
    return out;
}

}  // namespace

Policy readPolicy(const Node& section, const settings::Site& site) {
    const auto from =
        section.table({"schema", "number", "jurisdictions", "partners", "otherwise", "keep_file"});
    Policy out;
    out.on = true;
    if (const Node& schema = from.need("schema"); schema.integer(0, INT64_MAX) != kSchema)
        schema.fail("this program takes schema " + std::to_string(kSchema));
    out.number = from.need("number").integer(1, INT64_MAX);
    const std::string text = section.plain();
    out.digest = XXH3_64bits(text.data(), text.size());
    for (const auto& [name, node] : from.need("jurisdictions").entries()) {
        if (out.jurisdictions.size() == kMaxJurisdictions)
            node.fail("there are more than " + std::to_string(kMaxJurisdictions) + " jurisdictions");
        const auto one = node.table({"zones", "servers"});
        Policy::Place place;
        if (const Node* const zones = one.find("zones"))
            for (const Node& zone : zones->list())
                place.zones.push_back(static_cast<int>(zone.place(site.zones, "zone")));
        if (const Node* const servers = one.find("servers"))
            for (const Node& server : servers->list()) place.servers.push_back(server.text());
        if (place.zones.empty() && place.servers.empty()) node.fail("names neither a zone nor a server");
        out.jurisdictions.push_back(name), out.places.push_back(std::move(place));
    }
    out.partners.resize(site.tenants.size());
    for (const auto& [name, node] : from.need("partners").entries()) {
        const auto tenant = std::find(site.tenants.begin(), site.tenants.end(), name);
        if (tenant == site.tenants.end()) node.fail("there is no tenant '" + name + "'");
        const auto one = node.table({"home", "allowed", "classes", "others"});
        std::uint32_t inside = 0;
        if (const Node* const home = one.find("home"))
            inside = 1u << home->place(out.jurisdictions, "jurisdiction");
        if (const Node* const allowed = one.find("allowed")) {
            if (inside == 0) allowed->fail("the partner has no home");
            inside |= bitsOf(*allowed, out.jurisdictions);
        }
        std::vector<Entry> entries(site.classes.size());
        // The rule for classes without an entry is mandatory; there is no default.
        const std::size_t others = one.need("others").place({"home", "anywhere"}, "rule");
        if (others == 0 && inside == 0) one.need("others").fail("the partner has no home");
        for (Entry& entry : entries)
            if (others == 0) entry.rule = Rule::home, entry.first = {inside, 0, false};
        if (const Node* const classes = one.find("classes"))
            for (const auto& [klass, rules] : classes->entries()) {
                const auto at = std::find(site.classes.begin(), site.classes.end(), klass);
                if (at == site.classes.end()) rules.fail("there is no class '" + klass + "'");
                entries[static_cast<std::size_t>(at - site.classes.begin())] =
                    readEntry(rules, inside, out.jurisdictions);
            }
        out.partners[static_cast<std::size_t>(tenant - site.tenants.begin())] = std::move(entries);
    }
    out.keepFile = from.text("keep_file", "");
    out.othersAnywhere = from.need("otherwise").place({"refused", "anywhere"}, "rule") == 1;
    return out;
}

}  // namespace amberswitch::placement
