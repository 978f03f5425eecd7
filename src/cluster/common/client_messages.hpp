// Messages between edges and stores about client messages: accepts, grants, run reports and queries.
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

// --- Client messages ---------------------------------------------------------------------------------------
enum class Phase : std::uint8_t { pending, completed, dead_letter };

// The client's request as it arrived; it is delivered unchanged. Immutable once accepted (see Grant).
struct MessageContent {
    MessageId id;
    // Host and path prefix of the route at the accept, as older versions wrote it, which placed a key by
    // both. Empty since then.
    std::string order_scope;
    std::string service;  // backend of the route when the message was accepted
    std::string method;
    std::string host;
    std::string target;  // path and query
    std::string content_type;
    std::string order_key;  // empty: none
    bool ordered = false;   // has an order key, and the route was `ordered` when the message was accepted
    std::string callback_url;
    std::int64_t delay_ms = 0;
    std::int64_t config_generation = 0;  // generation that the accepting edge used
    std::string body;

    bool hasOrderKey() const { return !order_key.empty(); }

    template <class Archive>
    void serialize(Archive& archive) {
        archive(id, order_scope, service, method, host, target, content_type, order_key, ordered,
                callback_url, delay_ms, config_generation, body);
    }
};

// A message as replicas store it. Merging two records of one message keeps the later phase and the maximum of
// each count, so records may be exchanged in any order and any number of times.
struct MessageRecord {
    MessageContent content;
    PartitionId partition = 0;
    Epoch epoch = 0;             // in which it was accepted; (epoch, sequence) orders the partition
    std::uint64_t sequence = 0;  // increases within (partition, epoch)
    std::int64_t accepted_wall_ms = 0;
    std::int64_t retention_ms = 0;
    std::uint32_t max_failures = 1;  // the route's maxRetries
    Phase phase = Phase::pending;
    std::uint32_t failures = 0;  // number of HTTP 500 responses received
    std::string stamp;           // response stamp of the successful attempt
    std::int64_t ended_wall_ms = 0;
    bool callback_done = false;  // also true if the message needs no callback
    // The last unfinished message with the same order key from an older epoch, as the owner knew it when it
    // accepted this one (after_epoch 0: none). A message of an older epoch that the owner did not know was
    // never acknowledged and is ordered after this one.
    Epoch after_epoch = 0;
    std::uint64_t after_sequence = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(content, partition, epoch, sequence, accepted_wall_ms, retention_ms, max_failures, phase,
                failures, stamp, ended_wall_ms, callback_done, after_epoch, after_sequence);
    }
};

// Permits one edge to make one attempt to deliver one message or its callback. Ends when the edge reports the
// result.
struct Grant {
    // As accepted, except for `service` and `config_generation`: these give the newest configuration that the
    // owner had and the service to which it routes the message.
    MessageContent content;
    PartitionId partition = 0;
    Epoch epoch = 0;
    std::uint64_t attempt = 0;  // unique within (message, epoch)
    bool callback = false;      // deliver the callback instead of the message
    Phase phase = Phase::pending;
    std::string stamp;
    std::int64_t timeout_ms = 0;  // for this delivery
    template <class Archive>
    void serialize(Archive& archive) {
        archive(content, partition, epoch, attempt, callback, phase, stamp, timeout_ms);
    }
};

// An edge asks the owner of a partition to store a message.
struct AcceptMessageRequest {
    std::string edge;  // name of the sender
    NodeAddress edge_address;
    PartitionId partition = 0;
    Epoch epoch = 0;  // of the view that the edge used
    MessageContent content;
    std::int64_t retention_ms = 0;
    std::uint32_t max_failures = 1;
    std::int64_t timeout_ms = 0;
    bool wants_grant = true;  // the edge can deliver the message at once
    template <class Archive>
    void serialize(Archive& archive) {
        archive(edge, edge_address, partition, epoch, content, retention_ms, max_failures, timeout_ms,
                wants_grant);
    }
};
enum class AcceptStatus : std::uint8_t {
    stored,     // durable on tolerated + 1 disks
    not_owner,  // certainly not stored: ask the owner in a newer view
    refused,    // certainly not stored: no space, or too few stores for a durable copy
    unknown,    // may be stored; the edge must not acknowledge the message
};
struct AcceptMessageReply {
    AcceptStatus status = AcceptStatus::unknown;
    bool granted = false;  // the edge delivers the content that it holds now
    Epoch epoch = 0;       // of the grant
    std::uint64_t attempt = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(status, granted, epoch, attempt);
    }
};

// The owner of partitions sends grants to an edge.
struct GrantPush {
    std::string store;
    Incarnation edge_incarnation = 0;  // process that the grants are for; 0: not known to the store
    std::vector<Grant> grants;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, edge_incarnation, grants);
    }
};
struct GrantPushReply {
    std::vector<bool> accepted;   // one per grant; false: not started, the grant goes back to the store
    bool edge_restarted = false;  // nothing was accepted: a new edge process runs at this address
    template <class Archive>
    void serialize(Archive& archive) {
        archive(accepted, edge_restarted);
    }
};

enum class RunOutcome : std::uint8_t {
    completed,           // 2xx with a response stamp
    rejected,            // 422: the message can never be processed
    failed,              // 500: counts as a failed attempt
    not_run,             // certainly never started (refused, no server, connection refused, edge is stopping)
    unknown,             // no response, reset or time-out: may have run; no attempt is counted
    callback_delivered,  // 200 or 400 from the receiver of the callback
    callback_failed,
};
struct RunResult {
    PartitionId partition = 0;
    MessageId id;
    Epoch epoch = 0;
    std::uint64_t attempt = 0;
    RunOutcome outcome = RunOutcome::unknown;
    std::string stamp;
    // The connection was refused or timed out, so nothing else would reach this destination either.
    bool destination_down = false;
    // The edge delivers the callback itself and reports its outcome in a second result.
    bool callback_started = false;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(partition, id, epoch, attempt, outcome, stamp, destination_down, callback_started);
    }
};
// An edge reports the results of grants to the owner of their partitions.
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
    // One per result: false where this store does not own the partition; the edge then reports to the owner
    // in a newer view.
    std::vector<bool> accepted;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(accepted);
    }
};

// An attempt that an edge has not reported yet.
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
// Sent by an edge to each owner in a new view, with the attempts that it is running for that owner, and
// periodically as a heartbeat (edge_heartbeat.hpp).
struct EdgeSync {
    std::string edge;
    std::string zone;
    NodeAddress edge_address;
    Incarnation incarnation = 0;
    Epoch view_epoch = 0;
    bool leaving = false;  // the store must send it no further grants
    std::vector<RunningAttempt> running;
    std::int64_t next_sync_within_ms = 0;  // time within which the edge sends the next one to this store
    template <class Archive>
    void serialize(Archive& archive) {
        archive(edge, zone, edge_address, incarnation, view_epoch, leaving, running, next_sync_within_ms);
    }
};
struct EdgeSyncReply {
    Epoch view_epoch = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(view_epoch);
    }
};

// Request of the kinds state_query, body_query and replica_body.
struct StateQuery {
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

}  // namespace amberswitch::cluster
