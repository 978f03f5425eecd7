#include "cluster/common/configuration_update.hpp"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "cluster/common/codec.hpp"
#include "cluster/common/compression.hpp"

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kMaxUpdateBytes = 64 * 1024 * 1024;  // after decompression

const Route* findByName(const Configuration& in, const Route& route) {
    return in.route(route.name);
}
const Service* findByName(const Configuration& in, const Service& service) {
    return in.service(service.name);
}

// The entries of `next` that are missing from `base` or differ there.
template <class Entry>
std::vector<Entry> changedEntries(const Configuration* base, const std::vector<Entry>& next) {
    std::vector<Entry> changed;
    for (const Entry& entry : next) {
        const Entry* const before = base == nullptr ? nullptr : findByName(*base, entry);
        if (before == nullptr || *before != entry) changed.push_back(entry);
    }
    return changed;
}

template <class Entry>
std::vector<std::string> removedNames(const std::vector<Entry>& base, const Configuration& next) {
    std::vector<std::string> removed;
    for (const Entry& entry : base) {
        if (findByName(next, entry) == nullptr) removed.push_back(entry.name);
    }
    return removed;
}

// Existing entries keep their positions; new ones are appended.
template <class Entry>
void applyEntries(std::vector<Entry>& entries, const std::vector<std::string>& removed,
                  const std::vector<Entry>& changed) {
    const std::unordered_set<std::string> removed_names(removed.begin(), removed.end());
    std::erase_if(entries, [&](const Entry& entry) { return removed_names.contains(entry.name); });
    std::unordered_map<std::string, std::size_t> positions;
    for (std::size_t i = 0; i < entries.size(); ++i) positions.emplace(entries[i].name, i);
    for (const Entry& entry : changed) {
        const auto found = positions.find(entry.name);
        if (found == positions.end()) {
            entries.push_back(entry);
        } else {
            entries[found->second] = entry;
        }
    }
}

}  // namespace

ConfigurationUpdate makeUpdate(const Configuration* base, const Configuration& next) {
    ConfigurationUpdate update;
    update.generation = next.generation;
    update.routes = changedEntries(base, next.routes);
    update.services = changedEntries(base, next.services);
    update.limits = next.limits;
    if (base == nullptr) return update;
    update.base_generation = base->generation;
    update.removed_routes = removedNames(base->routes, next);
    update.removed_services = removedNames(base->services, next);
    return update;
}

Configuration applyUpdate(const Configuration* base, const ConfigurationUpdate& update) {
    const bool whole = update.base_generation == 0;
    if (!whole && (base == nullptr || base->generation != update.base_generation)) {
        throw ConfigurationError("base", "the update applies to another base configuration");
    }
    Configuration next;
    if (!whole) {
        next.routes = base->routes;
        next.services = base->services;
    }
    next.generation = update.generation;
    next.limits = update.limits;
    applyEntries(next.routes, update.removed_routes, update.routes);
    applyEntries(next.services, update.removed_services, update.services);
    next.buildIndexes();
    next.checkServicesExist();
    return next;
}

std::string encodeUpdate(const ConfigurationUpdate& update) {
    return compress(encode(update));
}

std::optional<ConfigurationUpdate> decodeUpdate(std::string_view bytes) {
    const std::optional<std::string> plain = decompress(bytes, kMaxUpdateBytes);
    if (!plain) return std::nullopt;
    return decodeExact<ConfigurationUpdate>(*plain);
}

}  // namespace amberswitch::cluster
