#include "cluster/control/membership.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cluster/control/lease_times.hpp"

namespace amberswitch::cluster {
namespace {

constexpr Millis kForgetAfter{60000};
constexpr Millis kPlaceKept{10000};  // of a dispatcher that is silent, among the others
constexpr std::size_t kFormerKept = 8;

}  // namespace

void Membership::renew(const RenewLeaseRequest& request) {
    const Member& now = request.member;
    const auto [place, added] = members_.try_emplace(now.name);
    MemberEntry& entry = place->second;
    const auto& former = entry.former;
    if (std::find(former.begin(), former.end(), now.incarnation) != former.end()) return;
    const bool restarted = !added && entry.member.incarnation != now.incarnation;
    if (restarted) {
        entry.former.push_back(entry.member.incarnation);
        if (entry.former.size() > kFormerKept) entry.former.erase(entry.former.begin());
    }
    const bool was_leaving = !added && !restarted && entry.member.leaving;
    const bool begins_to_leave = now.leaving && !was_leaving;
    const bool disk_changed = !added && entry.member.disk_failed != now.disk_failed;
    entry.member = now;
    entry.member.leaving = now.leaving || was_leaving;  // a late renewal doesn't take it back
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
        const bool heard_lately = scheduler_.now() - entry.last_seen <= kPlaceKept;
        if (entry.member.kind != NodeKind::edge || !heard_lately || entry.member.leaving) continue;
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
