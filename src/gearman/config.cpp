#include "gearman/config.hpp"

#include <algorithm>

namespace amberswitch::gearman {

using namespace settings;

namespace {

int tenantNamed(const Site& site, std::string_view name, const char* field) {
    const auto at = std::find(site.tenants.begin(), site.tenants.end(), name);
    if (at == site.tenants.end())
        bad("field '" + std::string(field) + "' names the unknown tenant '" + std::string(name) + "'");
    return static_cast<int>(at - site.tenants.begin());
}

Nanos milliseconds(const object& from, std::string_view key, Nanos fallback) {
    const std::int64_t value = integer(from, key, fallback.count() / 1'000'000);
    if (value <= 0 || value > 86'400'000) bad("field '" + std::string(key) + "' is out of range");
    return Nanos(value * 1'000'000);
}

}  // namespace

Config readConfig(const object& from, const Site& site) {
    Config config;
    config.listen = text(from, "listen", "");
    // Guards against a front that is off stopping the program: what its file says of classes and tenants may
    // be meant for another site.
    if (config.listen.empty()) return config;
    config.name = text(from, "name", config.name);
    for (const auto& klass : site.module.classes) config.functions.push_back({klass.giveUp, klass.giveUp, 1});
    if (const auto functions = find(from, "functions"))
        for (const auto [name, value] : asObject(*functions, "functions")) {
            const auto at = std::find(site.classes.begin(), site.classes.end(), name);
            if (at == site.classes.end())
                bad("field 'functions' names the unknown class '" + std::string(name) + "'");
            const object entry = asObject(value, name);
            auto& function = config.functions[static_cast<std::size_t>(at - site.classes.begin())];
            function.deadline = milliseconds(entry, "deadline_ms", function.deadline);
            function.backgroundDeadline = milliseconds(entry, "background_deadline_ms", function.deadline);
            function.slots = number(entry, "slots", 1);
            if (!(function.slots > 0)) bad("field 'slots' is out of range");
        }
    if (const auto tenants = find(from, "tenants"))
        for (const auto [client, value] : asObject(*tenants, "tenants"))
            config.tenants[std::string(client)] =
                tenantNamed(site, as<std::string_view>(value, "tenants", "made of names"), "tenants");
    if (const auto tenant = text(from, "tenant", ""); !tenant.empty())
        config.tenant = tenantNamed(site, tenant, "tenant");
    const auto count = [&from](const char* key, std::size_t fallback, std::int64_t least) {
        const std::int64_t value = integer(from, key, static_cast<std::int64_t>(fallback));
        if (value < least || value > 100'000) bad("field '" + std::string(key) + "' is out of range");
        return static_cast<std::size_t>(value);
    };
    config.workerSlots = count("worker_slots", config.workerSlots, 1);
    config.workerQueue = count("worker_queue", config.workerQueue, 0);
    config.mostJobs = count("most_jobs", config.mostJobs, 1);
    return config;
}

}  // namespace amberswitch::gearman
