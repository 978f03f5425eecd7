// The members that recently renewed their lease at this core machine. Every core machine keeps its own, in
// memory.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/common/edge_share.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/topology.hpp"

namespace amberswitch::cluster {

// A member and the state that it reported with its last renewal.
struct MemberEntry {
    Member member;
    SteadyTime last_seen;
    Epoch view_epoch = 0;
    std::int64_t config_generation = 0;
    // Incarnations of earlier processes of this node, newest last. A late renewal from one of them is
    // ignored.
    std::vector<Incarnation> former_incarnations;
};

class Membership {
public:
    explicit Membership(Scheduler& scheduler) : scheduler_(scheduler) {}

    // Adds the member or updates its entry.
    void renew(const RenewLeaseRequest& request);
    // Sets the listener for a new member, a restarted member, one that begins to leave, and one whose disk
    // fails or recovers.
    void onChange(std::function<void()> listener) { listener_ = std::move(listener); }

    // Members of that kind that hold a lease, including those that are leaving.
    std::vector<MemberEntry> live(NodeKind kind) const;
    // All known members of that kind, including those whose lease has expired.
    std::vector<MemberEntry> known(NodeKind kind) const;
    // Null if the member is unknown; valid until the next renew() or expire().
    const MemberEntry* find(const std::string& name) const;
    bool holdsLease(const MemberEntry& entry) const;
    // Number of edges that hold a lease and are not leaving.
    std::uint32_t edges() const;
    // The number of edges and the rank of `edge` in its region. Edges whose lease expired recently still
    // count, so that a restart of one edge does not shift the ranks of the others.
    EdgeShare edgeShare(const Member& edge, const Topology& topology) const;
    // Removes members that have not renewed their lease for 60 s.
    void expire();

private:
    Scheduler& scheduler_;
    std::function<void()> listener_;
    std::map<std::string, MemberEntry> members_;  // by name
};

}  // namespace amberswitch::cluster
