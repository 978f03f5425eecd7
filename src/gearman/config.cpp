#include "gearman/config.hpp"

#include <algorithm>

namespace amberswitch::gearman {

using settings::Node;
using settings::Site;

Config readConfig(const Node& section, const Site& site) {
    const auto from = section.table(
        {"listen", "name", "functions", "tenants", "tenant", "worker_slots", "worker_queue", "most_jobs"});
    Config config;
    config.listen = from.text("listen", "");
    config.name = from.text("name", config.name);
    config.workerSlots = from.integer("worker_slots", config.workerSlots, 1, 100'000);
    config.workerQueue = from.integer("worker_queue", config.workerQueue, 0, 100'000);
    config.maxJobs = from.integer("most_jobs", config.maxJobs, 1, 100'000);
    // Guards against a front that is off stopping the program: what its file says of classes and tenants may
    // be meant for another site.
    if (config.listen.empty()) return config;
    for (const auto& klass : site.module.classes)
        config.functions.push_back({klass.clientTimeout, klass.clientTimeout, 1});
    config.functions.resize(site.classes.size());
    if (const Node* const functions = from.find("functions"))
        for (const auto& [name, node] : functions->entries()) {
            const auto at = std::find(site.classes.begin(), site.classes.end(), name);
            if (at == site.classes.end()) node.fail("there is no class '" + name + "'");
            auto& function = config.functions[static_cast<std::size_t>(at - site.classes.begin())];
            const auto entry = node.table({"deadline_ms", "background_deadline_ms", "slots"});
            function.deadline = entry.milliseconds("deadline_ms", function.deadline, 1);
            function.backgroundDeadline = entry.milliseconds("background_deadline_ms", function.deadline, 1);
            function.slots = entry.number("slots", 1, 0.001, 1e6);
        }
    const auto tenant = [&site](const Node& node) {
        return static_cast<int>(node.place(site.tenants, "tenant"));
    };
    if (const Node* const tenants = from.find("tenants"))
        for (const auto& [client, node] : tenants->entries()) config.tenants[client] = tenant(node);
    if (const Node* const other = from.find("tenant"); other && !other->text().empty())
        config.tenant = tenant(*other);
    return config;
}

}  // namespace amberswitch::gearman
