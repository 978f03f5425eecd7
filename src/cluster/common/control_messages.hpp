// What the control plane exchanges: the register, the leader lease, membership, and what is distributed.
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
// Orders proposals; ties in the round go to the larger node name.
struct Ballot {
    std::uint64_t round = 0;
    std::string node;
    auto operator<=>(const Ballot&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(round, node);
    }
};

// Who votes on the register. Versions rise by one with each change, which adds or removes one machine.
struct VoterSet {
    std::uint64_t version = 0;           // 0: the voters of the first start
    std::vector<NodeAddress> addresses;  // internal; empty: not known
    bool operator==(const VoterSet&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(version, addresses);
    }
};

// A register is named by a short key: "config" (ConfigurationState), "view" (StoreView) or "voters"
// (VoterSet), encoded by cereal. Requests carry the voters whose majority the proposer counts; a voter
// refuses an older version than the newest that it knows, and tells that one.
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
    bool voter = false;  // false: this core machine lost its disk and must not vote yet
    bool promised = false;
    Ballot highest;   // the highest ballot promised or accepted here
    Ballot accepted;  // round 0: nothing accepted yet
    std::string value;
    std::optional<VoterSet> newer_voters{};  // the request's are out of date
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
    std::optional<VoterSet> newer_voters{};  // the request's are out of date
    template <class Archive>
    void serialize(Archive& archive) {
        archive(voter, accepted, highest, newer_voters);
    }
};
// A ballot known to be chosen. The value is left out where the receiver probably has accepted it itself.
struct ChosenNotice {
    std::string key;
    Ballot ballot;  // round 0: none known
    std::optional<std::string> value{};
    template <class Archive>
    void serialize(Archive& archive) {
        archive(key, ballot, value);
    }
};
// What the caller knows of one key.
struct KnownRegister {
    std::string key;
    Ballot chosen;
    Ballot accepted;  // by the caller itself: it has that value
    template <class Archive>
    void serialize(Archive& archive) {
        archive(key, chosen, accepted);
    }
};
// Asks a core machine for newer chosen values, and for its accepted ballots (a read index).
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
    ChosenNotice chosen;  // with the value where it is newer than what the caller has
    template <class Archive>
    void serialize(Archive& archive) {
        archive(accepted, chosen);
    }
};
struct ReadChosenReply {
    bool voter = false;  // has its data and is among the newest voters that it knows
    std::uint64_t voters_version = 0;
    std::optional<VoterSet> newer_voters{};  // the caller's are out of date
    std::vector<RegisterReport> registers;   // in the order of the request
    template <class Archive>
    void serialize(Archive& archive) {
        archive(voter, voters_version, newer_voters, registers);
    }
};

// --- The leader lease --------------------------------------------------------------------------------------
struct LeaderLeaseRequest {
    std::string candidate;
    Incarnation incarnation = 0;
    std::int64_t duration_ms = 0;      // 0 gives the lease back
    std::uint64_t round = 0;           // rises with each asking; what is given back is up to this round
    std::uint64_t voters_version = 0;  // of the voters that the candidate asks
    template <class Archive>
    void serialize(Archive& archive) {
        archive(candidate, incarnation, duration_ms, round, voters_version);
    }
};
struct LeaderLeaseReply {
    bool granted = false;
    std::string holder;  // who holds this grantor's vote now
    template <class Archive>
    void serialize(Archive& archive) {
        archive(granted, holder);
    }
};

// --- Membership --------------------------------------------------------------------------------------------
struct Member {
    std::string name;
    NodeKind kind = NodeKind::edge;
    std::string zone;
    NodeAddress address;  // internal
    Incarnation incarnation = 0;
    bool leaving = false;  // a planned end has begun
    // Stores: started without its data, not at the first start of the system. Core machines: does not have
    // the register's data and can't become a voter yet.
    bool disk_empty = false;
    bool bootstrap = false;  // the settings say that the whole system starts for the first time
    // Writes or syncs fail there now. It answers, but is no copy, no owner and no voter until that is over.
    bool disk_failed = false;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, kind, zone, address, incarnation, leaving, disk_empty, bootstrap, disk_failed);
    }
};
struct RenewLeaseRequest {
    Member member;
    Epoch view_epoch = 0;
    std::int64_t config_generation = 0;
    std::uint64_t core_digest = 0;  // of the core machines that the answering one told last; 0: none yet
    template <class Archive>
    void serialize(Archive& archive) {
        archive(member, view_epoch, config_generation, core_digest);
    }
};
struct RenewLeaseReply {
    bool leader = false;            // the answering core machine acts as leader
    std::string leader_name;        // as far as it knows
    std::vector<NodeAddress> core;  // empty where its digest is the one in the request
    std::uint64_t core_digest = 0;
    // Of the dispatcher that renews; no edges: this machine has not listened long enough.
    EdgeShare share{0, 0, 0};
    // What this machine can hand out; 0 where it has no confirmation from a majority.
    std::int64_t config_generation = 0;
    Epoch view_epoch = 0;
    std::string zone;  // of the answering machine
    template <class Archive>
    void serialize(Archive& archive) {
        archive(leader, leader_name, core, core_digest, share, config_generation, view_epoch, zone);
    }
};

// --- What is distributed -----------------------------------------------------------------------------------
// The operator's configuration: its bytes, and the versions taken before so that a repeat is known again.
struct TakenChange {
    std::int64_t generation = 0;
    std::int64_t base = 0;
    std::uint64_t digest = 0;  // xxhash64 of the body
    auto operator<=>(const TakenChange&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(generation, base, digest);
    }
};
struct ConfigurationState {
    std::int64_t generation = 0;  // 0: none taken yet
    std::string body;             // JSON, as the operator sent it
    std::vector<TakenChange> taken;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(generation, body, taken);
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
// Versions order first by the leader's term, then by its count.
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

// Which store owns which partition. Changed only through the register, by the leader.
struct StoreMember {
    Member member;
    bool alive = true;     // renews its lease, does not leave, and its disk works
    Epoch away_epoch = 0;  // not alive: the first view of this absence
    // The view with which it came (0: the first one), and the process it had then. What it was given before
    // counts no more.
    Epoch joined_epoch = 0;
    Incarnation joined_incarnation = 0;
    bool retire_ordered = false;  // by the operator; the leader's next view obeys
    bool retiring = false;        // owns nothing and is given no copies, but still answers
    bool keepsCopies() const { return alive && !retiring; }
    template <class Archive>
    void serialize(Archive& archive) {
        archive(member, alive, away_epoch, joined_epoch, joined_incarnation, retire_ordered, retiring);
    }
};
// A store that was emptied and has left the view for good; this process of it does not come back.
struct RetiredStore {
    std::string name;
    Incarnation incarnation = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, incarnation);
    }
};
struct PartitionOwner {
    std::int32_t owner = -1;     // index into stores; -1: none alive
    std::int32_t previous = -1;  // owner in the view before
    // The previous owner has surely stopped (planned end, or its process is gone); else its rate-limited
    // grants may go on for kStoreLease after this view was made.
    bool previous_stopped = true;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(owner, previous, previous_stopped);
    }
};
struct StoreView {
    Epoch epoch = 0;
    std::uint64_t leader_term = 0;
    std::string leader;
    std::uint32_t tolerated = 1;  // faultTolerance.machines
    std::vector<StoreMember> stores;
    std::vector<PartitionOwner> partitions;
    std::vector<RetiredStore> retired;  // the latest ones, newest last
    template <class Archive>
    void serialize(Archive& archive) {
        archive(epoch, leader_term, leader, tolerated, stores, partitions, retired);
    }
};

// Asks for the newest configuration as a quorum of the core has it.
struct ReadConfigurationRequest {
    std::string name;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name);
    }
};
enum class ConfigurationRead : std::uint8_t {
    newest,    // `body` holds it, whole
    none_yet,  // none has been taken
    unreadable,
    not_known,  // no quorum answered in time
};
struct ReadConfigurationReply {
    ConfigurationRead status = ConfigurationRead::not_known;
    std::string body;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(status, body);
    }
};

// The configuration that a dispatcher has in force; generation 0: none.
struct KnownConfiguration {
    std::int64_t generation = 0;
    std::uint64_t digest = 0;  // xxhash64 of the operator's body
    auto operator<=>(const KnownConfiguration&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(generation, digest);
    }
};
// How much of an update a dispatcher has received so far.
struct UpdateProgress {
    std::uint64_t update_digest = 0;  // 0: nothing
    std::uint64_t received_bytes = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(update_digest, received_bytes);
    }
};
// A part of the update (configuration_update.hpp) that leads from the base to `configuration`.
struct ConfigurationPage {
    std::int64_t base_generation = 0;  // 0: the whole configuration
    KnownConfiguration configuration;
    std::uint64_t update_digest = 0;  // xxhash64 of all pages' bytes
    std::uint64_t total_bytes = 0;    // of all pages
    std::uint64_t offset = 0;
    std::string bytes;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(base_generation, configuration, update_digest, total_bytes, offset, bytes);
    }
};

// Held by the core until something is newer than what the caller has, or max_wait_ms has passed.
struct WatchRequest {
    std::string name;
    std::int64_t config_generation = 0;  // the newest seen, usable or not
    ServerListVersion servers;
    Epoch view_epoch = 0;
    std::int64_t max_wait_ms = 0;
    KnownConfiguration config_base{};  // what an update may rest on
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
