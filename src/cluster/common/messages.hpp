// Every message that the cluster's processes exchange, as plain structs with cereal serialisation.
// docs/system.md tells who sends which and what each one promises.
#pragma once

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

enum class MessageKind : std::uint16_t {
    // core <-> core
    register_prepare = 1,
    register_accept,
    register_chosen,
    register_read_chosen,
    leader_lease,
    // any node -> core
    renew_lease,
    watch,
    // edge -> store
    accept_message,
    run_report,
    edge_sync,
    state_query,
    body_query,
    // store -> edge
    grant_push,
    // store <-> store
    replicate,
    pull_partition,
    peering_done,
    replica_body,  // store -> store: StateQuery, answered by any replica that holds the body
    // core -> store
    peering_progress,
};

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
// A value known to be chosen. Also the reply to ReadChosenRequest (ballot round 0: none known).
struct ChosenValue {
    std::string key;
    Ballot ballot;
    std::string value;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(key, ballot, value);
    }
};
struct ReadChosenRequest {
    std::string key;
    Ballot known;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(key, known);
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
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, kind, zone, address, incarnation, leaving, disk_empty, bootstrap);
    }
};
struct RenewLeaseRequest {
    Member member;
    Epoch view_epoch = 0;
    std::int64_t config_generation = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(member, view_epoch, config_generation);
    }
};
struct RenewLeaseReply {
    bool leader = false;      // the answering core machine acts as leader
    std::string leader_name;  // as far as it knows
    std::vector<NodeAddress> core;
    // Dispatchers with a lease, for sharing out connection limits; 0: this machine has not listened long
    // enough.
    std::uint32_t edges = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(leader, leader_name, core, edges);
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
    bool alive = true;
    // The view with which it came (0: the first one), and the process it had then. What it was given before
    // counts no more.
    Epoch joined_epoch = 0;
    Incarnation joined_incarnation = 0;
    bool retire_ordered = false;  // by the operator; the leader's next view obeys
    bool retiring = false;        // owns nothing and is given no copies, but still answers
    bool keepsCopies() const { return alive && !retiring; }
    template <class Archive>
    void serialize(Archive& archive) {
        archive(member, alive, joined_epoch, joined_incarnation, retire_ordered, retiring);
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

// Held by the core until something is newer than what the caller has, or max_wait_ms has passed.
struct WatchRequest {
    std::string name;
    std::int64_t config_generation = 0;
    ServerListVersion servers;
    Epoch view_epoch = 0;
    std::int64_t max_wait_ms = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, config_generation, servers, view_epoch, max_wait_ms);
    }
};
struct WatchReply {
    std::optional<ConfigurationState> config;  // without `taken`
    std::optional<ServerList> servers;
    std::optional<StoreView> view;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(config, servers, view);
    }
};

// --- Messages of clients -----------------------------------------------------------------------------------
enum class Phase : std::uint8_t { pending, completed, dead_letter };

// What is delivered, exactly as it arrived. Never changes after the accept.
struct MessageContent {
    MessageId id;
    std::string route;    // name in the configuration
    std::string service;  // backend of the route at the accept
    std::string method;
    std::string host;
    std::string target;  // path and query
    std::string content_type;
    std::string order_key;  // empty: unordered
    bool ordered = false;
    std::string callback_url;
    std::int64_t delay_ms = 0;
    std::int64_t config_generation = 0;  // the one that the accepting edge used
    std::string body;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(id, route, service, method, host, target, content_type, order_key, ordered, callback_url,
                delay_ms, config_generation, body);
    }
};

// A message as replicas keep it. Merging two records of one message: the later phase wins, counts take the
// maximum; so records may be exchanged in any order, any number of times.
struct MessageRecord {
    MessageContent content;
    PartitionId partition = 0;
    Epoch epoch = 0;             // of the accept; with sequence the order within the partition
    std::uint64_t sequence = 0;  // rises within (partition, epoch)
    std::int64_t accepted_wall_ms = 0;
    std::int64_t retention_ms = 0;
    std::uint32_t max_failures = 1;  // the route's maxRetries
    Phase phase = Phase::pending;
    std::uint32_t failures = 0;  // answers of 500 that were read
    std::string stamp;           // of the run that succeeded
    std::int64_t ended_wall_ms = 0;
    bool callback_done = false;  // or none is owed
    // The last unfinished message of its order key from older epochs at the accept (epoch 0: none). One of an
    // older epoch that its owner did not know was never acknowledged, and goes after it.
    Epoch after_epoch = 0;
    std::uint64_t after_sequence = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(content, partition, epoch, sequence, accepted_wall_ms, retention_ms, max_failures, phase,
                failures, stamp, ended_wall_ms, callback_done, after_epoch, after_sequence);
    }
};

// The right to one attempt of one message, or to its call-back, for one edge. Ends with its report.
struct Grant {
    MessageContent content;
    PartitionId partition = 0;
    Epoch epoch = 0;
    std::uint64_t attempt = 0;  // unique within (message, epoch)
    bool callback = false;      // deliver the call-back, not the message
    Phase phase = Phase::pending;
    std::string stamp;
    std::int64_t timeout_ms = 0;  // for this delivery
    template <class Archive>
    void serialize(Archive& archive) {
        archive(content, partition, epoch, attempt, callback, phase, stamp, timeout_ms);
    }
};

struct AcceptMessageRequest {
    std::string edge;  // name
    NodeAddress edge_address;
    PartitionId partition = 0;
    Epoch epoch = 0;  // of the view that the edge used
    MessageContent content;
    std::int64_t retention_ms = 0;
    std::uint32_t max_failures = 1;
    std::int64_t timeout_ms = 0;
    bool wants_grant = true;  // the edge can run it at once
    template <class Archive>
    void serialize(Archive& archive) {
        archive(edge, edge_address, partition, epoch, content, retention_ms, max_failures, timeout_ms,
                wants_grant);
    }
};
enum class AcceptStatus : std::uint8_t {
    stored,     // durable on tolerated + 1 disks
    not_owner,  // surely not stored: ask the owner of a newer view
    refused,    // surely not stored: no room, or too few stores for a durable copy
    unknown,    // may be stored; the edge must not promise anything
};
struct AcceptMessageReply {
    AcceptStatus status = AcceptStatus::unknown;
    bool granted = false;  // the edge runs it now from the content that it holds
    Epoch epoch = 0;       // of the grant
    std::uint64_t attempt = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(status, granted, epoch, attempt);
    }
};

struct GrantPush {
    std::string store;
    std::vector<Grant> grants;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, grants);
    }
};
struct GrantPushReply {
    std::vector<bool> taken;  // by grant; one not taken was not begun and is the store's again
    template <class Archive>
    void serialize(Archive& archive) {
        archive(taken);
    }
};

enum class RunOutcome : std::uint8_t {
    completed,       // 2xx with its stamp
    rejected,        // 422: can never be done
    failed,          // 500: one attempt used
    not_run,         // surely never begun (refused, no server, connection refused, edge is stopping)
    unknown,         // silence, reset, timeout: may have run; no attempt is counted
    callback_taken,  // 200 or 400 from the receiver of the call-back
    callback_failed,
};
struct RunResult {
    PartitionId partition = 0;
    MessageId id;
    Epoch epoch = 0;
    std::uint64_t attempt = 0;
    RunOutcome outcome = RunOutcome::unknown;
    std::string stamp;
    bool destination_down = false;  // the connection was refused or timed out: nothing else will get through
    bool callback_started =
        false;  // the edge goes on with the call-back itself; a second report tells its end
    template <class Archive>
    void serialize(Archive& archive) {
        archive(partition, id, epoch, attempt, outcome, stamp, destination_down, callback_started);
    }
};
struct RunReport {
    std::string edge;
    NodeAddress edge_address;
    std::vector<RunResult> results;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(edge, edge_address, results);
    }
};
struct RunReportReply {
    // By result: false where this store does not own the partition; the edge asks the owner of a newer view.
    std::vector<bool> taken;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(taken);
    }
};

// An edge tells each owner of a new view what it is running there; sent also every second as a heartbeat.
struct RunningAttempt {
    PartitionId partition = 0;
    MessageId id;
    std::uint64_t attempt = 0;
    Epoch epoch = 0;
    bool callback = false;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(partition, id, attempt, epoch, callback);
    }
};
struct EdgeSync {
    std::string edge;
    std::string zone;
    NodeAddress edge_address;
    Incarnation incarnation = 0;
    Epoch view_epoch = 0;
    bool leaving = false;  // grant nothing more to it
    std::vector<RunningAttempt> running;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(edge, zone, edge_address, incarnation, view_epoch, leaving, running);
    }
};
struct EdgeSyncReply {
    Epoch view_epoch = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(view_epoch);
    }
};

struct StateQuery {  // the same for state_query and body_query
    PartitionId partition = 0;
    MessageId id;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(partition, id);
    }
};
enum class QueryStatus : std::uint8_t { found, not_found, not_owner };
struct StateReply {
    QueryStatus status = QueryStatus::not_owner;
    Phase phase = Phase::pending;
    std::string stamp;
    std::string body;  // body_query only
    template <class Archive>
    void serialize(Archive& archive) {
        archive(status, phase, stamp, body);
    }
};

// --- Replication -------------------------------------------------------------------------------------------
// An end or a count, without the content.
struct RecordUpdate {
    PartitionId partition = 0;
    MessageId id;
    Phase phase = Phase::pending;
    std::uint32_t failures = 0;
    std::string stamp;
    std::int64_t ended_wall_ms = 0;
    bool callback_done = false;
    std::int64_t keep_until_wall_ms = 0;  // when the message may be forgotten
    std::int64_t accepted_wall_ms = 0;    // 0: not known; the latest that any replica tells counts
    template <class Archive>
    void serialize(Archive& archive) {
        archive(partition, id, phase, failures, stamp, ended_wall_ms, callback_done, keep_until_wall_ms,
                accepted_wall_ms);
    }
};
struct ReplicateRequest {
    std::string store;
    PartitionId partition = 0;
    Epoch epoch = 0;
    std::vector<MessageRecord> records;
    std::vector<RecordUpdate> updates;
    bool durable = true;  // answer only once everything is synced
    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, partition, epoch, records, updates, durable);
    }
};
struct ReplicateReply {
    bool stored = false;  // false: this replica has promised a newer epoch
    Epoch promised = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(stored, promised);
    }
};
// What goes to one replica in one call (kind `replicate`), for any number of partitions.
struct ReplicateBatch {
    std::int64_t wall_ms = 0;  // the sender's clock, so that times of day can be translated
    std::vector<ReplicateRequest> requests;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(wall_ms, requests);
    }
};
struct ReplicateBatchReply {
    std::vector<ReplicateReply> replies;  // by request; empty: the disk failed
    template <class Archive>
    void serialize(Archive& archive) {
        archive(replies);
    }
};

// The owner of a new epoch asks every store for all it has of a partition. The replica promises, durably, to
// take nothing from an older epoch any more; an older owner stops there.
struct PullRequest {
    std::string store;
    PartitionId partition = 0;
    Epoch epoch = 0;
    std::vector<MessageId> known;  // messages whose content the owner holds already
    // Of the asked store, as the owner's view names it.
    Epoch joined_epoch = 0;
    Incarnation joined_incarnation = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, partition, epoch, known, joined_epoch, joined_incarnation);
    }
};
struct PullReply {
    bool promised = false;  // false: a newer epoch is promised already
    // Whether what this replica was given of the partition since it joined is still there; false after a lost
    // disk until the owner has said peering_done.
    bool valid = false;
    std::int64_t wall_ms = 0;             // the replica's clock
    std::vector<MessageRecord> records;   // live messages and dead letters that the owner does not know
    std::vector<RecordUpdate> states;     // all others
    std::vector<RunningAttempt> running;  // where it was the owner: what it has granted
    std::vector<MessageId> dead_letters;  // those of `states` whose content is here
    template <class Archive>
    void serialize(Archive& archive) {
        archive(promised, valid, wall_ms, records, states, running, dead_letters);
    }
};
// Every live message of the partition stands on tolerated + 1 disks of this view: its replicas are valid.
struct PeeringDone {
    std::string store;
    PartitionId partition = 0;
    Epoch epoch = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, partition, epoch);
    }
};
// The leader asks whether all partitions that the store owns in the view of that epoch have been peered in
// it.
struct PeeringProgressRequest {
    Epoch epoch = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(epoch);
    }
};
struct PeeringProgressReply {
    bool done = false;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(done);
    }
};
struct Acknowledgement {
    bool done = true;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(done);
    }
};

}  // namespace amberswitch::cluster
