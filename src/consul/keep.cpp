#include "consul/keep.hpp"

#include "state.pb.h"

namespace amberswitch::consul {

namespace {

using Scopes = std::map<View::Scope, std::vector<Instance>>;

constexpr std::string_view kMark = "ASWVIEW2";

std::string write(const Scopes& scopes) {
    kept::State state;
    for (const auto& [name, instances] : scopes) {
        kept::Scope& scope = *state.add_scopes();
        scope.set_name(name);
        for (const Instance& from : instances) {
            kept::Instance& to = *scope.add_instances();
            to.set_id(from.id), to.set_address(from.address);
            to.set_health(static_cast<std::uint32_t>(from.health));
            to.set_passing_weight(from.passingWeight), to.set_warning_weight(from.warningWeight);
            to.set_zone(from.zone), to.set_kind(from.kind), to.set_cell(from.cell);
            to.set_since_ns(from.since.count()), to.set_created(from.created);
        }
    }
    return state.SerializeAsString();
}

std::optional<Scopes> read(const std::string& body) {
    kept::State state;
    if (!state.ParseFromString(body)) return std::nullopt;
    Scopes out;
    for (const kept::Scope& scope : state.scopes()) {
        auto& instances = out[scope.name()];
        for (const kept::Instance& from : scope.instances()) {
            if (from.health() > static_cast<std::uint32_t>(Health::critical)) return std::nullopt;
            Instance to;
            to.id = from.id(), to.address = from.address();
            to.health = static_cast<Health>(from.health());
            to.passingWeight = from.passing_weight(), to.warningWeight = from.warning_weight();
            to.zone = from.zone(), to.kind = from.kind(), to.cell = from.cell();
            to.since = Time(from.since_ns()), to.created = from.created();
            instances.push_back(std::move(to));
        }
    }
    return out;
}

std::optional<Kept> opened(const store::StoredState& sealed, std::string& fault) {
    auto scopes = read(sealed.body);
    if (scopes) return Kept{sealed.site, sealed.at, std::move(*scopes)};
    fault = "it can't be read";
    return std::nullopt;
}

}  // namespace

std::string encode(const Kept& kept) {
    return store::encodeState(kMark, {kept.site, kept.at, write(kept.scopes)});
}

std::optional<Kept> decode(std::string_view bytes, std::string& fault) {
    const auto sealed = store::decodeState(kMark, bytes, fault);
    return sealed ? opened(*sealed, fault) : std::nullopt;
}

Keeper::Keeper(StateFileConfig config, std::uint64_t site, Say say)
    : file_(std::move(config), kMark, site, "view", std::move(say)) {}

std::optional<Kept> Keeper::load(Time now) {
    const auto sealed = file_.load(now);
    if (!sealed) return std::nullopt;
    std::string fault;
    auto kept = opened(*sealed, fault);
    if (!kept) file_.refuse(fault);
    return kept;
}

void Keeper::save(Time now, const Scopes& scopes) {
    if (on()) file_.save(now, write(scopes));
}

}  // namespace amberswitch::consul
