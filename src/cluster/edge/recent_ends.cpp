#include "cluster/edge/recent_ends.hpp"

#include <algorithm>
#include <utility>

namespace amberswitch::cluster {
namespace {

constexpr Millis kKept{3000};
constexpr std::size_t kMostKept = 1000;

}  // namespace

void RecentEnds::add(const RunResult& result, const PartitionMap& partitions, SteadyTime now) {
    forgetOld(now);
    const StoreMember* const owner = partitions.owner(result.partition);
    if (!owner) return;
    ends_.push_back({result, false, owner->member.address, owner->member.incarnation, now});
}

void RecentEnds::callbackTaken(PartitionId partition, const MessageId& id) {
    const auto is_this = [&](const RecentEnd& end) {
        return end.result.partition == partition && end.result.id == id;
    };
    const auto found = std::find_if(ends_.rbegin(), ends_.rend(), is_this);
    if (found != ends_.rend()) found->callback_taken = true;
}

std::vector<RecentEnd> RecentEnds::takeOrphans(const PartitionMap& partitions, SteadyTime now) {
    forgetOld(now);
    std::vector<RecentEnd> orphans;
    std::erase_if(ends_, [&](RecentEnd& end) {
        const StoreMember* const owner = partitions.owner(end.result.partition);
        const bool same =
            owner && owner->member.address == end.owner && owner->member.incarnation == end.owner_incarnation;
        if (same) return false;
        orphans.push_back(std::move(end));
        return true;
    });
    return orphans;
}

void RecentEnds::forgetOld(SteadyTime now) {
    while (!ends_.empty() && (ends_.front().taken_at + kKept <= now || ends_.size() > kMostKept)) {
        ends_.pop_front();
    }
}

}  // namespace amberswitch::cluster
