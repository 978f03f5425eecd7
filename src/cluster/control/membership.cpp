#include "cluster/control/membership.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cluster/control/lease_times.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kForgetAfter{60000};
constexpr Millis kEdgeRankRetention{10000};  // an edge counts for the ranks this long after its last renewal
constexpr std::size_t kMaxFormerIncarnations = 8;

}  // namespace

void Membership::renew(const RenewLeaseRequest& request) {
    const Member& now = request.member;
    const auto [place, added] = members_.try_emplace(now.name);
    MemberEntry& entry = place->second;
    const auto& former_incarnations = entry.former_incarnations;
    if (std::find(former_incarnations.begin(), former_incarnations.end(), now.incarnation) !=
        former_incarnations.end())
        return;
    const bool restarted = !added && entry.member.incarnation != now.incarnation;
    if (restarted) {
        entry.former_incarnations.push_back(entry.member.incarnation);
        if (entry.former_incarnations.size() > kMaxFormerIncarnations)
            entry.former_incarnations.erase(entry.former_incarnations.begin());
    }
    const bool was_leaving = !added && !restarted && entry.member.leaving;
    const bool begins_to_leave = now.leaving && !was_leaving;
    const bool disk_changed = !added && entry.member.disk_failed != now.disk_failed;
    entry.member = now;
    entry.member.leaving = now.leaving || was_leaving;  // a late renewal does not cancel leaving
    entry.last_seen = scheduler_.now();
    entry.view_epoch = request.view_epoch;
    entry.config_generation = request.config_generation;
    if ((added || restarted || begins_to_leave || disk_changed) && listener_) listener_();
}

bool Membership::holdsLease(const MemberEntry& entry) const {
    return scheduler_.now() - entry.last_seen <= kMemberLease;
}

std::vector<MemberEntry> Membership::known(NodeKind kind) const {
    std::vector<MemberEntry> found;
    for (const auto& [name, entry] : members_) {
        if (entry.member.kind == kind) found.push_back(entry);
    }
    return found;
}

std::vector<MemberEntry> Membership::live(NodeKind kind) const {
    std::vector<MemberEntry> found = known(kind);
    std::erase_if(found, [this](const MemberEntry& entry) { return !holdsLease(entry); });
    return found;
}

const MemberEntry* Membership::find(const std::string& name) const {
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second;
}

std::uint32_t Membership::edges() const {
    std::uint32_t count = 0;
    for (const auto& [name, entry] : members_) {
        if (entry.member.kind == NodeKind::edge && holdsLease(entry) && !entry.member.leaving) ++count;
    }
    return count;
}

EdgeShare Membership::edgeShare(const Member& edge, const Topology& topology) const {
    const auto place = [](const Member& member) { return std::tie(member.zone, member.name); };
    EdgeShare share{0, 0, 0};
    for (const auto& [name, entry] : members_) {
        const bool seen_recently = scheduler_.now() - entry.last_seen <= kEdgeRankRetention;
        if (entry.member.kind != NodeKind::edge || !seen_recently || entry.member.leaving) continue;
        ++share.edges;
        if (topology.distanceBetween(entry.member.zone, edge.zone) == Distance::other_region) continue;
        ++share.region_edges;
        if (place(entry.member) < place(edge)) ++share.region_rank;
    }
    return share;
}

void Membership::expire() {
    std::erase_if(members_, [this](const auto& item) {
        return scheduler_.now() - item.second.last_seen > kForgetAfter;
    });
}

}  // namespace amberswitch::cluster
