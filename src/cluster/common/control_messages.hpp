// Messages of the control plane: the replicated register, the leader lease, membership, and distribution of
// configurations, server lists and store views.
#pragma once

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/edge_share.hpp"
#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

enum class NodeKind : std::uint8_t { core, edge, store };

// --- The register ------------------------------------------------------------------------------------------
// Orders proposals; between equal rounds the larger node name wins.
struct Ballot {
    std::uint64_t round = 0;
    std::string node;
    auto operator<=>(const Ballot&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(round, node);
    }
};

// The machines that vote on the register. Each change adds or removes one machine and increases the version
// by one.
struct VoterSet {
    std::uint64_t version = 0;           // 0: the voters at the first start
    std::vector<NodeAddress> addresses;  // internal addresses; empty: not known
    bool operator==(const VoterSet&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(version, addresses);
    }
};

// A register is named by a short key: "config" (ConfigurationState), "view" (StoreView) or "voters"
// (VoterSet); its value is encoded by cereal. Requests carry the voter set whose majority the proposer
// counts. A voter rejects a version older than the newest that it knows, and returns the newest one.
struct PrepareRequest {
    std::string key;
    Ballot ballot;
    VoterSet voters{};
    template <class Archive>
    void serialize(Archive& archive) {
        archive(key, ballot, voters);
    }
};
struct PrepareReply {
    bool voter = false;  // false: this core machine lost its disk and may not vote yet
    bool promised = false;
    Ballot highest;   // the highest ballot promised or accepted here
    Ballot accepted;  // round 0: nothing accepted yet
    std::string value;
    std::optional<VoterSet> newer_voters{};  // set where the request's voters are out of date
    template <class Archive>
    void serialize(Archive& archive) {
        archive(voter, promised, highest, accepted, value, newer_voters);
    }
};
struct AcceptRequest {
    std::string key;
    Ballot ballot;
    std::string value;
    VoterSet voters{};
    template <class Archive>
    void serialize(Archive& archive) {
        archive(key, ballot, value, voters);
    }
};
struct AcceptReply {
    bool voter = false;
    bool accepted = false;
    Ballot highest;
    std::optional<VoterSet> newer_voters{};  // set where the request's voters are out of date
    template <class Archive>
    void serialize(Archive& archive) {
        archive(voter, accepted, highest, newer_voters);
    }
};
// Announces a chosen ballot. The value is omitted where the receiver has probably accepted it itself.
struct ChosenNotice {
    std::string key;
    Ballot ballot;  // round 0: none known
    std::optional<std::string> value{};
    template <class Archive>
    void serialize(Archive& archive) {
        archive(key, ballot, value);
    }
};
// The caller's state of one register.
struct KnownRegister {
    std::string key;
    Ballot chosen;
    Ballot accepted;  // accepted by the caller itself, which therefore has the value
    template <class Archive>
    void serialize(Archive& archive) {
        archive(key, chosen, accepted);
    }
};
// Asks a core machine for newer chosen values and for its accepted ballots, which serve as a read index.
struct ReadChosenRequest {
    std::uint64_t voters_version = 0;
    std::vector<KnownRegister> known;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(voters_version, known);
    }
};
struct RegisterReport {
    Ballot accepted;      // the highest that this machine accepted, chosen or not
    ChosenNotice chosen;  // includes the value where it is newer than the caller's
    template <class Archive>
    void serialize(Archive& archive) {
        archive(accepted, chosen);
    }
};
struct ReadChosenReply {
    bool voter = false;  // has its data and belongs to the newest voter set that it knows
    std::uint64_t voters_version = 0;
    std::optional<VoterSet> newer_voters{};  // set where the caller's voters are out of date
    std::vector<RegisterReport> registers;   // in the order of the request
    template <class Archive>
    void serialize(Archive& archive) {
        archive(voter, voters_version, newer_voters, registers);
    }
};

// --- The leader lease --------------------------------------------------------------------------------------
// A candidate for the leadership asks a core machine for its vote, which holds for `duration_ms`.
struct LeaderLeaseRequest {
    std::string candidate;
    Incarnation incarnation = 0;
    std::int64_t duration_ms = 0;  // 0 releases the lease
    std::uint64_t round = 0;       // increases with each request; a release covers all rounds up to this one
    std::uint64_t voters_version = 0;  // of the voter set that the candidate asks
    template <class Archive>
    void serialize(Archive& archive) {
        archive(candidate, incarnation, duration_ms, round, voters_version);
    }
};
struct LeaderLeaseReply {
    bool granted = false;
    std::string holder;  // candidate that holds this grantor's vote now
    template <class Archive>
    void serialize(Archive& archive) {
        archive(granted, holder);
    }
};

// --- Membership --------------------------------------------------------------------------------------------
// A process of the cluster, as it describes itself when it renews its lease.
struct Member {
    std::string name;
    NodeKind kind = NodeKind::edge;
    std::string zone;
    NodeAddress address;  // internal
    Incarnation incarnation = 0;
    bool leaving = false;  // a planned shutdown has begun
    // Store: started without its data, although this is not the first start of the system. Core machine:
    // lacks the register's data and cannot become a voter yet.
    bool disk_empty = false;
    bool bootstrap = false;  // set in the settings file: the whole system starts for the first time
    // Writes or syncs currently fail. The process answers, but holds no counted copy, owns no partition and
    // does not vote until its disk works again.
    bool disk_failed = false;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, kind, zone, address, incarnation, leaving, disk_empty, bootstrap, disk_failed);
    }
};
// Sent by each process to the core machines to remain a member.
struct RenewLeaseRequest {
    Member member;
    Epoch view_epoch = 0;
    std::int64_t config_generation = 0;
    std::uint64_t core_digest = 0;  // of the core list in the addressed machine's last reply; 0: none yet
    template <class Archive>
    void serialize(Archive& archive) {
        archive(member, view_epoch, config_generation, core_digest);
    }
};
struct RenewLeaseReply {
    bool leader = false;            // the answering core machine acts as leader
    std::string leader_name;        // as far as the answering machine knows
    std::vector<NodeAddress> core;  // core machines; empty if the digest equals the request's
    std::uint64_t core_digest = 0;
    // Share of the renewing dispatcher; `edges` is 0 until this machine has listened long enough to know all.
    EdgeShare share{0, 0, 0};
    // Newest versions that this machine can distribute; 0 where a majority has not confirmed any.
    std::int64_t config_generation = 0;
    Epoch view_epoch = 0;
    std::string zone;  // of the answering machine
    template <class Archive>
    void serialize(Archive& archive) {
        archive(leader, leader_name, core, core_digest, share, config_generation, view_epoch, zone);
    }
};

// --- Distributed state -------------------------------------------------------------------------------------
// A configuration change that was accepted. Kept so that a repeated request is recognised.
struct AcceptedChange {
    std::int64_t generation = 0;
    std::int64_t base = 0;
    std::uint64_t digest = 0;  // xxhash64 of the body
    auto operator<=>(const AcceptedChange&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(generation, base, digest);
    }
};
// The operator's configuration and the changes that led to it.
struct ConfigurationState {
    std::int64_t generation = 0;  // 0: no configuration has been accepted yet
    std::string body;             // JSON, as the operator sent it
    std::vector<AcceptedChange> accepted_changes;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(generation, body, accepted_changes);
    }
};

// One application server as the platform lists it.
struct ServerEntry {
    std::string uid;
    std::string service;
    NodeAddress address;
    std::string zone;
    std::uint32_t capacity = 1;
    bool draining = false;
    std::int64_t warmup_remaining_ms = 0;  // at the time of the listing
    auto operator<=>(const ServerEntry&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(uid, service, address, zone, capacity, draining, warmup_remaining_ms);
    }
};
// Ordered by the leader's term, then by the leader's count.
struct ServerListVersion {
    std::uint64_t term = 0;
    std::uint64_t count = 0;
    auto operator<=>(const ServerListVersion&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(term, count);
    }
};
struct ServerList {
    ServerListVersion version;
    std::vector<ServerEntry> servers;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(version, servers);
    }
};

// A store in the StoreView.
struct StoreMember {
    Member member;
    bool alive = true;             // renews its lease, is not leaving, and its disk works
    Epoch absent_since_epoch = 0;  // if not alive: the first view without it
    // The view in which the store joined (0: the first view) and its process at that time. Copies that it
    // received before joining no longer count.
    Epoch joined_epoch = 0;
    Incarnation joined_incarnation = 0;
    bool retirement_requested = false;  // by the operator; takes effect in the leader's next view
    bool retiring = false;              // owns no partition and receives no copies, but still answers
    bool keepsCopies() const { return alive && !retiring; }
    template <class Archive>
    void serialize(Archive& archive) {
        archive(member, alive, absent_since_epoch, joined_epoch, joined_incarnation, retirement_requested,
                retiring);
    }
};
// A store that was drained and removed from the view permanently; this process of it cannot rejoin.
struct RetiredStore {
    std::string name;
    Incarnation incarnation = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, incarnation);
    }
};
struct PartitionOwner {
    std::int32_t owner = -1;     // index into StoreView::stores; -1: no store alive
    std::int32_t previous = -1;  // owner in the preceding view
    // The previous owner has certainly stopped (planned shutdown, or its process has ended). Otherwise it may
    // go on issuing rate-limited grants for kStoreLease after this view was made.
    bool previous_stopped = true;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(owner, previous, previous_stopped);
    }
};
// Assigns each partition to a store. Changed only by the leader, through the register.
struct StoreView {
    Epoch epoch = 0;
    std::uint64_t leader_term = 0;
    std::string leader;
    std::uint32_t tolerated = 1;  // faultTolerance.machines
    std::vector<StoreMember> stores;
    std::vector<PartitionOwner> partitions;
    std::vector<RetiredStore> retired;  // the most recent ones, newest last

    // Null if no store is named as the owner.
    const StoreMember* ownerOf(PartitionId partition) const {
        if (partition >= partitions.size() || partitions[partition].owner < 0) return nullptr;
        const auto index = static_cast<std::size_t>(partitions[partition].owner);
        return index < stores.size() ? &stores[index] : nullptr;
    }

    template <class Archive>
    void serialize(Archive& archive) {
        archive(epoch, leader_term, leader, tolerated, stores, partitions, retired);
    }
};

// Asks for the newest configuration, read from a quorum of the core machines.
struct ReadConfigurationRequest {
    std::string name;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name);
    }
};
enum class ConfigurationReadStatus : std::uint8_t {
    newest,    // `body` holds the complete configuration
    none_yet,  // no configuration has been accepted
    unreadable,
    not_known,  // no quorum answered in time
};
struct ReadConfigurationReply {
    ConfigurationReadStatus status = ConfigurationReadStatus::not_known;
    std::string body;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(status, body);
    }
};

// Identifies the configuration that a dispatcher uses; generation 0: none.
struct ConfigurationVersion {
    std::int64_t generation = 0;
    std::uint64_t digest = 0;  // xxhash64 of the body that the operator sent
    auto operator<=>(const ConfigurationVersion&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(generation, digest);
    }
};
// The part of an update that a dispatcher has received so far.
struct UpdateProgress {
    std::uint64_t update_digest = 0;  // 0: nothing received
    std::uint64_t received_bytes = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(update_digest, received_bytes);
    }
};
// One page of the encoded update (configuration_update.hpp) from the base to `configuration`.
struct ConfigurationPage {
    std::int64_t base_generation = 0;  // 0: the update holds the complete configuration
    ConfigurationVersion configuration;
    std::uint64_t update_digest = 0;  // xxhash64 of all pages' bytes
    std::uint64_t total_bytes = 0;    // of all pages
    std::uint64_t offset = 0;
    std::string bytes;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(base_generation, configuration, update_digest, total_bytes, offset, bytes);
    }
};

// Long poll: the core machine answers once it has something newer than the caller, or after max_wait_ms.
struct WatchRequest {
    std::string name;
    std::int64_t config_generation = 0;  // the newest received, usable or not
    ServerListVersion servers;
    Epoch view_epoch = 0;
    std::int64_t max_wait_ms = 0;
    ConfigurationVersion config_base{};  // version to which an update may be applied
    UpdateProgress config_progress{};
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, config_generation, servers, view_epoch, max_wait_ms, config_base, config_progress);
    }
};
struct WatchReply {
    std::optional<ConfigurationPage> config;
    std::optional<ServerList> servers;
    std::optional<StoreView> view;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(config, servers, view);
    }
};

}  // namespace amberswitch::cluster
