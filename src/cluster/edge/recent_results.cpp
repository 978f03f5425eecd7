#include "cluster/edge/recent_results.hpp"

#include <algorithm>
#include <utility>

namespace amberswitch::cluster {
namespace {

constexpr Millis kRetention{3000};
constexpr std::size_t kMaxResults = 1000;

}  // namespace

void RecentResults::add(const RunResult& result, const PartitionMap& partitions, SteadyTime now) {
    removeExpired(now);
    const StoreMember* const owner = partitions.owner(result.partition);
    if (!owner) return;
    results_.push_back({result, false, owner->member.address, owner->member.incarnation, now});
}

void RecentResults::markCallbackDelivered(PartitionId partition, const MessageId& id) {
    const auto is_this = [&](const RecentResult& end) {
        return end.result.partition == partition && end.result.id == id;
    };
    const auto found = std::find_if(results_.rbegin(), results_.rend(), is_this);
    if (found != results_.rend()) found->callback_delivered = true;
}

std::vector<RecentResult> RecentResults::takeOrphaned(const PartitionMap& partitions, SteadyTime now) {
    removeExpired(now);
    std::vector<RecentResult> orphaned;
    std::erase_if(results_, [&](RecentResult& end) {
        const StoreMember* const owner = partitions.owner(end.result.partition);
        const bool same =
            owner && owner->member.address == end.owner && owner->member.incarnation == end.owner_incarnation;
        if (same) return false;
        orphaned.push_back(std::move(end));
        return true;
    });
    return orphaned;
}

void RecentResults::removeExpired(SteadyTime now) {
    while (!results_.empty() &&
           (results_.front().acknowledged_at + kRetention <= now || results_.size() > kMaxResults)) {
        results_.pop_front();
    }
}

}  // namespace amberswitch::cluster
