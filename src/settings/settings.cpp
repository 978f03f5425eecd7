#include "settings/settings.hpp"

#include "settings/read.hpp"

namespace amberswitch::settings {

using namespace heronmount;

std::uint64_t fingerprint(std::string_view name) {  // FNV-1a: the same number for a worker at every instance
    std::uint64_t hash = 1469598103934665603ULL;
    for (const unsigned char c : name) hash = (hash ^ c) * 1099511628211ULL;
    return hash;
}

void addWire(Site& site) {
    const std::size_t count = site.classes.size();
    if (count * (site.wires + 1) > 64) throw BadField("there are too many classes for one more protocol");
    for (std::size_t i = 0; i < count; ++i) {
        const ClassSettings klass = site.module.classes[i];
        site.module.classes.push_back(klass);
    }
    ++site.wires;
}

std::uint64_t siteOf(const Site& site) {
    std::string names;
    for (const auto* list : {&site.zones, &site.kinds}) {
        for (const auto& name : *list) names += name + '\n';
        names += '\n';
    }
    return fingerprint(names);
}

std::uint64_t classesOf(const Site& site, std::size_t wire, int kind) {
    std::uint64_t out = 0;
    for (std::size_t i = 0; i < site.classes.size(); ++i) {
        const int needs = site.module.classes[i].kind;
        if (needs < 0 || needs == kind) out |= std::uint64_t{1} << (wire * site.classes.size() + i);
    }
    return out;
}

namespace {
// A length of time. Guards against one that is negative, or so long that a sum with the clock wraps around.
Nanos duration(const object& from, const char* key, std::optional<std::int64_t> otherwise = {}) {
    constexpr std::int64_t most = 1'000'000'000'000'000;  // eleven days
    const std::int64_t value = otherwise ? integer(from, key, *otherwise) : integer(from, key);
    if (value < 0 || value > most)
        throw BadField("field '" + std::string(key) + "' is not from 0 to 10^15 ns");
    return Nanos(value);
}
}  // namespace

Settings readSettings(const object& info) {
    Settings s;
    const object family = table(info, "familyInfo"), rules = table(info, "rules"),
                 allowed = table(info, "allowed");
    std::vector<double> stretch, kind, priority;
    const auto column = [&family](const char* key, std::vector<double>& into) {
        if (const auto values = find(family, key))
            for (const element value : as<simdjson::dom::array>(*values, key, "a list"))
                into.push_back(as<double>(value, key, "a list of numbers"));
    };
    column("classStretch", stretch);
    column("classKind", kind);
    column("classPriority", priority);
    for (const element entry : list(info, "classes")) {
        const object from = asObject(entry, "classes");
        const std::size_t i = s.classes.size();
        ClassSettings c;
        c.targetLatency = duration(from, "goalTime");
        c.clientTimeout = duration(from, "giveUp");
        c.dedupWindow = duration(from, "window", 0);
        c.idempotency = choice<Idempotency>(text(from, "effect"), "effect",
                                            {{"read_like", Idempotency::safe},
                                             {"idempotency_key", Idempotency::keyed},
                                             {"non_idempotent", Idempotency::unsafe}});
        c.dedupScope = choice<DedupScope>(
            text(from, "group", "all"), "group",
            {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
        c.worth = number(from, "credit", 1);
        c.lateWorth = number(from, "lateWorth", 0);
        c.stretch = number(from, "aimStretch", i < stretch.size() ? stretch[i] : 0);
        c.kind = i < kind.size() ? static_cast<int>(kind[i]) : -1;
        c.priority = i < priority.size() ? static_cast<int>(priority[i]) : 0;
        c.stream = flag(from, "stream", false);
        if (c.kind < -1 || c.kind >= std::max(1, static_cast<int>(listSize(info, "machineTypes"))))
            throw BadField("field 'classKind' names no machine type");
        s.classes.push_back(c);
    }
    if (s.classes.size() > 64) throw BadField("field 'classes' has more than 64");
    if (const auto tenants = find(info, "customers"))
        for (const element entry : as<simdjson::dom::array>(*tenants, "customers", "a list")) {
            const object from = asObject(entry, "customers");
            s.tenants.push_back({number(from, "portion", 0), number(from, "quotaPerS", 0)});
        }
    // Guards against a size or number that would wrap around: turns and rates are shared out by them.
    const std::int64_t size = integer(info, "fleetSize"), me = integer(info, "me");
    if (size < 1 || size > 1'000'000) throw BadField("field 'fleetSize' is not from 1 to 1000000");
    if (me < 0 || me >= size) throw BadField("field 'me' is not from 0 to below fleetSize");
    s.schedulerCount = static_cast<std::uint32_t>(size), s.schedulerIndex = static_cast<std::uint32_t>(me);
    s.zone = static_cast<int>(integer(info, "zone", 0));
    s.zones = static_cast<int>(listSize(info, "zones"));
    s.kinds = static_cast<int>(listSize(info, "machineTypes"));
    s.rosterOnRequest = choice<bool>(text(info, "discovery"), "discovery", {{"push", false}, {"ask", true}});
    s.mayCancel = flag(allowed, "cancelling", false);
    s.mayDuplicate = flag(allowed, "mayDuplicate", false);
    s.mayProbe = flag(allowed, "probing", false);
    s.mayAdviseRetry = flag(allowed, "retryAfter", false);
    const std::int64_t attempts = integer(allowed, "maxAttempts");
    if (attempts < 1 || attempts > 1000) throw BadField("field 'maxAttempts' is not from 1 to 1000");
    s.maxAttempts = static_cast<std::uint32_t>(attempts);
    s.maxRetryAfter = duration(allowed, "maxRetryAfter", 0);
    s.workersReportStart = flag(family, "tellsStart", false);
    s.progressInterval = duration(family, "progress", 0);
    s.queueOrder = choice<QueueOrder>(
        text(family, "queueOrder", "fifo"), "queueOrder",
        {{"fifo", QueueOrder::fifo}, {"backfill", QueueOrder::backfill}, {"priority", QueueOrder::priority}});
    s.weights = choice<Weights>(text(info, "weights", "silent"), "weights",
                                {{"silent", Weights::none},
                                 {"nominal", Weights::nominal},
                                 {"rough", Weights::rough},
                                 {"live", Weights::live}});
    s.worthPerWork =
        choice<bool>(text(info, "worthBy", "request"), "worthBy", {{"request", false}, {"work", true}});
    s.overQuotaWorth = number(info, "overShareWorth", 1);
    if (const auto goal = find(info, "goal")) {
        s.overallWeight = number(asObject(*goal, "goal"), "whole", 1);
        s.worstClassWeight = number(asObject(*goal, "goal"), "worstClass", 0);
    }
    if (const auto prices = find(info, "prices")) {
        s.handshakeCost = number(asObject(*prices, "prices"), "handshake", 0);
        s.crossZoneCost = number(asObject(*prices, "prices"), "crossZone", 0);
    }
    s.tick = duration(info, "tick", 0);
    s.rosterRequestWindow = duration(rules, "askWithin", 0);
    s.warmup = duration(rules, "cold", 0);
    s.initialCapacity = number(rules, "coldFrom", 1);
    s.coldBudgetMultiple = number(rules, "fallMultiple", 1);
    s.coldBudgetSpan = duration(rules, "overloadFor", 0);
    return s;
}

Site readSite(const object& info) {
    Site site;
    site.module = readSettings(info);
    const auto named = [&info](const char* key, std::vector<std::string>& into) {
        if (const auto values = find(info, key))
            for (const element value : as<simdjson::dom::array>(*values, key, "a list")) {
                std::string_view name;
                if (value.get(name) != simdjson::SUCCESS) name = text(asObject(value, key), "name");
                into.emplace_back(name);
            }
    };
    named("classes", site.classes);
    named("customers", site.tenants);
    named("zones", site.zones);
    named("machineTypes", site.kinds);
    const object allowed = table(info, "allowed");
    site.idleClose = duration(allowed, "idleClose", 5'000'000'000);
    site.connectTimeout = duration(allowed, "connectTimeout", 250'000'000);
    if (site.connectTimeout.count() == 0) throw BadField("field 'connectTimeout' is 0");
    site.drainGrace = duration(table(info, "rules"), "stopSendingWithin", 0);
    return site;
}

}  // namespace amberswitch::settings
