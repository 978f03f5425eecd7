#include "cluster/control/control_status.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <map>

#include "cluster/common/metrics_text.hpp"
#include "cluster/control/register_messages.hpp"
#include "cluster/control/register_values.hpp"

namespace amberswitch::cluster {
namespace {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

void write(JsonWriter& json, const char* name, const std::string& value) {
    json.Key(name);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void write(JsonWriter& json, const char* name, bool value) {
    json.Key(name);
    json.Bool(value);
}
void write(JsonWriter& json, const char* name, std::uint64_t value) {
    json.Key(name);
    json.Uint64(value);
}
void write(JsonWriter& json, const char* name, std::int64_t value) {
    json.Key(name);
    json.Int64(value);
}

const char* nameOf(NodeKind kind) {
    switch (kind) {
        case NodeKind::core:
            return "core";
        case NodeKind::edge:
            return "edge";
        case NodeKind::store:
            return "store";
    }
    return "?";
}

void writeRegister(JsonWriter& json, const StatusSources& sources) {
    json.Key("register");
    json.StartObject();
    write(json, "votes", sources.voter.canVote());
    write(json, "diskWorks", sources.voter.isDiskHealthy());
    write(json, "recovering", sources.voter.needsRecovery());
    write(json, "proved", sources.chosen.isVerified());
    write(json, "majorityInContact", sources.chosen.isFresh());
    write(json, "votersVersion", sources.voter.voterSet().version);
    json.Key("voters");
    json.StartArray();
    for (const NodeAddress& voter : sources.voter.voters()) json.String(voter.text().c_str());
    json.EndArray();
    json.Key("unreadable");
    json.StartArray();
    for (const char* key : {kConfigKey, kViewKey, kVotersKey}) {
        if (!isReadable(key, sources.voter.acceptedValue(key))) json.String(key);
    }
    json.EndArray();
    json.EndObject();
}

void writeMembers(JsonWriter& json, const Membership& membership, SteadyTime now) {
    json.Key("members");
    json.StartArray();
    for (const NodeKind kind : {NodeKind::core, NodeKind::store, NodeKind::edge}) {
        for (const MemberEntry& entry : membership.known(kind)) {
            const auto since_last_renewal = std::chrono::duration_cast<Millis>(now - entry.last_seen);
            json.StartObject();
            write(json, "name", entry.member.name);
            write(json, "kind", std::string(nameOf(kind)));
            write(json, "zone", entry.member.zone);
            write(json, "address", entry.member.address.text());
            write(json, "incarnation", entry.member.incarnation);
            write(json, "lease", membership.holdsLease(entry));
            write(json, "leaving", entry.member.leaving);
            write(json, "diskFailed", entry.member.disk_failed);
            write(json, "silentMs", static_cast<std::int64_t>(since_last_renewal.count()));
            write(json, "configuration", entry.config_generation);
            write(json, "viewEpoch", entry.view_epoch);
            json.EndObject();
        }
    }
    json.EndArray();
}

void writeView(JsonWriter& json, const StoreView* view) {
    json.Key("view");
    if (view == nullptr) {
        json.Null();
        return;
    }
    json.StartObject();
    write(json, "epoch", view->epoch);
    write(json, "leader", view->leader);
    write(json, "leaderTerm", view->leader_term);
    json.Key("stores");
    json.StartArray();
    for (const StoreMember& store : view->stores) {
        json.StartObject();
        write(json, "name", store.member.name);
        write(json, "alive", store.alive);
        write(json, "incarnation", store.member.incarnation);
        write(json, "joinedEpoch", store.joined_epoch);
        write(json, "retiring", store.retirement_requested);
        json.EndObject();
    }
    json.EndArray();
    json.Key("owners");
    json.StartArray();
    for (const PartitionOwner& partition : view->partitions) json.Int(partition.owner);
    json.EndArray();
    json.EndObject();
}

void writeServers(JsonWriter& json, const ServerList* list) {
    json.Key("servers");
    if (list == nullptr) {
        json.Null();
        return;
    }
    std::map<std::string, std::uint64_t> counts_by_service;
    std::uint64_t draining = 0;
    for (const ServerEntry& server : list->servers) {
        ++counts_by_service[server.service];
        if (server.draining) ++draining;
    }
    json.StartObject();
    write(json, "term", list->version.term);
    write(json, "count", list->version.count);
    write(json, "draining", draining);
    json.Key("byService");
    json.StartObject();
    for (const auto& [service, count] : counts_by_service) write(json, service.c_str(), count);
    json.EndObject();
    json.EndObject();
}

void addDistribution(MetricsText& text, const DistributionCounters& counters) {
    text.add("configurations_sent_whole", counters.whole_configurations);
    text.add("configurations_sent_as_difference", counters.configuration_differences);
    text.add("configuration_bytes_sent", counters.configuration_bytes);
    text.add("other_watch_bytes_sent", counters.other_bytes);
    text.add("watch_waits_for_link", counters.waits_for_link);
    text.add("watch_longest_wait_ms", static_cast<std::uint64_t>(counters.longest_wait.count()));
}

}  // namespace

std::string metricsAsText(const StatusSources& sources) {
    const StoreView* const view = sources.distribution.view();
    MetricsText text;
    text.add("leads", sources.store_view_manager.isActing() ? 1 : 0);
    text.add("votes", sources.voter.canVote() ? 1 : 0);
    text.add("disk_works", sources.voter.isDiskHealthy() ? 1 : 0);
    text.add("majority_in_contact", sources.chosen.isFresh() ? 1 : 0);
    text.add("voters_version", sources.voter.voterSet().version);
    text.add("configuration", static_cast<std::uint64_t>(sources.distribution.configurationGeneration()));
    text.add("view_epoch", view == nullptr ? 0 : view->epoch);
    text.add("leader_term", view == nullptr ? 0 : view->leader_term);
    if (sources.store_view_manager.isActing()) text.add("own_term", sources.store_view_manager.term());
    const ServerList* const servers = sources.distribution.servers();
    text.add("servers_term", servers == nullptr ? 0 : servers->version.term);
    text.add("servers_count", servers == nullptr ? 0 : servers->version.count);
    text.add("servers_listed", servers == nullptr ? 0 : servers->servers.size());
    text.add("watchers", sources.distribution.watchers());
    addDistribution(text, sources.distribution.counters());
    text.add("members_core", sources.membership.known(NodeKind::core).size());
    text.add("members_store", sources.membership.known(NodeKind::store).size());
    text.add("members_edge", sources.membership.known(NodeKind::edge).size());
    return text.take();
}

std::string statusAsJson(const StatusSources& sources, SteadyTime now) {
    rapidjson::StringBuffer buffer;
    JsonWriter json(buffer);
    json.StartObject();
    write(json, "node", sources.settings.name);
    write(json, "zone", sources.settings.zone);
    write(json, "leads", sources.store_view_manager.isActing());
    write(json, "leaseHolder", sources.election.grantor().holder());
    write(json, "configuration", sources.distribution.configurationGeneration());
    write(json, "watchers", static_cast<std::uint64_t>(sources.distribution.watchers()));
    writeRegister(json, sources);
    writeView(json, sources.distribution.view());
    writeServers(json, sources.distribution.servers());
    writeMembers(json, sources.membership, now);
    json.EndObject();
    return std::string(buffer.GetString(), buffer.GetSize());
}

}  // namespace amberswitch::cluster
