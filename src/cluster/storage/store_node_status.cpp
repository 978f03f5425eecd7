#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "cluster/common/metrics_text.hpp"
#include "cluster/storage/store_node_impl.hpp"

namespace amberswitch::cluster {

std::string StoreNode::Impl::statusJson() const {
    std::size_t active = 0;
    std::size_t call_backs = 0;
    std::map<std::string, std::size_t> pending;
    std::optional<SteadyTime> oldest;
    for (const auto& [partition, owned] : owned_) {
        if (owned->active) ++active;
        owned->queue.forEach([&](const storage::QueueItem& item) {
            if (item.callback) {
                ++call_backs;
                return;
            }
            ++pending[item.service];
            if (!oldest || item.first_due < *oldest) oldest = item.first_due;
        });
    }
    const Millis age = oldest ? std::chrono::duration_cast<Millis>(clock_.now() - *oldest) : Millis(0);
    const StoreUsage usage = disk_.usage();

    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    const auto number = [&writer](const char* name, std::uint64_t value) {
        writer.Key(name);
        writer.Uint64(value);
    };
    writer.StartObject();
    writer.Key("name");
    writer.String(settings_.name.c_str());
    number("view_epoch", placement_.epoch());
    writer.Key("disk_works");
    writer.Bool(disk_.healthy());
    writer.Key("leaving");
    writer.Bool(leaving_);
    number("partitions_owned", owned_.size());
    number("partitions_active", active);
    number("partitions_peering", peering_.unfinished());
    number("copies_lacking", peering_.copiesInProgress());
    number("messages_kept", replica_.size());
    number("grants_out", grants_.edges.outstandingGrants());
    number("call_backs_pending", call_backs);
    writer.Key("oldest_due_ms");
    writer.Int64(std::max<std::int64_t>(0, age.count()));
    number("disk_live_bytes", usage.live_bytes);
    number("disk_capacity_bytes", usage.capacity_bytes);
    number("resident_body_bytes", replica_.residentBodyBytes());
    writer.Key("pending");
    writer.StartObject();
    for (const auto& [service, count] : pending) number(service.c_str(), count);
    writer.EndObject();
    writer.EndObject();
    return buffer.GetString();
}

std::string StoreNode::Impl::metricsText() const {
    const StoreUsage usage = disk_.usage();
    MetricsText text;
    text.add("view_epoch", placement_.epoch());
    text.add("disk_works", disk_.healthy() ? 1 : 0);
    text.add("partitions_owned", owned_.size());
    text.add("partitions_peering", peering_.unfinished());
    text.add("copies_lacking", peering_.copiesInProgress());
    text.add("messages_kept", replica_.size());
    text.add("grants_out", grants_.edges.outstandingGrants());
    text.add("disk_live_bytes", usage.live_bytes);
    text.add("accepts_misplaced_key", acceptor_.misplacedCount());
    text.add("misplaced_keys", misplaced_keys_.size());
    text.add("misplaced_keys_settled", misplaced_keys_.isSettled() ? 1 : 0);
    text.add("configuration", configuration_ ? static_cast<std::uint64_t>(configuration_->generation) : 0);
    return text.take() + grants_.counters.text();
}

}  // namespace amberswitch::cluster
