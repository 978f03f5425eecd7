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
        c.goal = Nanos(integer(from, "goalTime"));
        c.giveUp = Nanos(integer(from, "giveUp"));
        c.window = Nanos(integer(from, "window", 0));
        c.effect = choice<Effect>(text(from, "effect"), "effect",
                                  {{"read_like", Effect::safe},
                                   {"idempotency_key", Effect::keyed},
                                   {"non_idempotent", Effect::unsafe}});
        c.group = choice<Group>(text(from, "group", "all"), "group",
                                {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
        c.worth = number(from, "credit", 1);
        c.lateWorth = number(from, "lateWorth", 0);
        c.stretch = number(from, "aimStretch", i < stretch.size() ? stretch[i] : 0);
        c.kind = i < kind.size() ? static_cast<int>(kind[i]) : -1;
        c.priority = i < priority.size() ? static_cast<int>(priority[i]) : 0;
        c.stream = flag(from, "stream", false);
        s.classes.push_back(c);
    }
    if (const auto tenants = find(info, "customers"))
        for (const element entry : as<simdjson::dom::array>(*tenants, "customers", "a list")) {
            const object from = asObject(entry, "customers");
            s.tenants.push_back({number(from, "portion", 0), number(from, "quotaPerS", 0)});
        }
    // Guards against a size or number that would wrap around: turns and rates are shared out by them.
    const std::int64_t size = integer(info, "fleetSize"), me = integer(info, "me");
    if (size < 1 || size > 1'000'000) throw BadField("field 'fleetSize' is not from 1 to 1000000");
    if (me < 0 || me >= size) throw BadField("field 'me' is not from 0 to below fleetSize");
    s.fleetSize = static_cast<std::uint32_t>(size), s.me = static_cast<std::uint32_t>(me);
    s.zone = static_cast<int>(integer(info, "zone", 0));
    s.zones = static_cast<int>(listSize(info, "zones"));
    s.kinds = static_cast<int>(listSize(info, "machineTypes"));
    s.askRoster = choice<bool>(text(info, "discovery"), "discovery", {{"push", false}, {"ask", true}});
    s.mayCancel = flag(allowed, "cancelling", false);
    s.mayDuplicate = flag(allowed, "mayDuplicate", false);
    s.mayProbe = flag(allowed, "probing", false);
    s.retryAdvice = flag(allowed, "retryAfter", false);
    s.maxAttempts = static_cast<std::uint32_t>(integer(allowed, "maxAttempts"));
    s.maxRetryAfter = Nanos(integer(allowed, "maxRetryAfter", 0));
    s.tellsStart = flag(family, "tellsStart", false);
    s.progress = Nanos(integer(family, "progress", 0));
    s.queueOrder = choice<QueueOrder>(
        text(family, "queueOrder", "fifo"), "queueOrder",
        {{"fifo", QueueOrder::fifo}, {"backfill", QueueOrder::backfill}, {"priority", QueueOrder::priority}});
    s.weights = choice<Weights>(text(info, "weights", "silent"), "weights",
                                {{"silent", Weights::none},
                                 {"nominal", Weights::nominal},
                                 {"rough", Weights::rough},
                                 {"live", Weights::live}});
    s.worthByWork =
        choice<bool>(text(info, "worthBy", "request"), "worthBy", {{"request", false}, {"work", true}});
    s.overShareWorth = number(info, "overShareWorth", 1);
    if (const auto goal = find(info, "goal")) {
        s.wholeGoal = number(asObject(*goal, "goal"), "whole", 1);
        s.worstClassGoal = number(asObject(*goal, "goal"), "worstClass", 0);
    }
    if (const auto prices = find(info, "prices")) {
        s.handshakePrice = number(asObject(*prices, "prices"), "handshake", 0);
        s.crossZonePrice = number(asObject(*prices, "prices"), "crossZone", 0);
    }
    s.tick = Nanos(integer(info, "tick", 0));
    s.askWithin = Nanos(integer(rules, "askWithin", 0));
    s.cold = Nanos(integer(rules, "cold", 0));
    s.coldFrom = number(rules, "coldFrom", 1);
    s.fallMultiple = number(rules, "fallMultiple", 1);
    s.overloadFor = Nanos(integer(rules, "overloadFor", 0));
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
    site.idleClose = Nanos(integer(allowed, "idleClose", 5'000'000'000));
    site.connectTimeout = Nanos(integer(allowed, "connectTimeout", 250'000'000));
    site.drainGrace = Nanos(integer(table(info, "rules"), "stopSendingWithin", 0));
    return site;
}

}  // namespace amberswitch::settings
