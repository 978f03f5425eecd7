// What edges and stores exchange about the messages of clients: accepts, grants, reports and queries.
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

// --- Messages of clients -----------------------------------------------------------------------------------
enum class Phase : std::uint8_t { pending, completed, dead_letter };

// What is delivered, exactly as it arrived. Never changes after the accept (see Grant).
struct MessageContent {
    MessageId id;
    std::string order_scope;  // Route::orderScope() at the accept
    std::string service;      // backend of the route at the accept
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
        archive(id, order_scope, service, method, host, target, content_type, order_key, ordered,
                callback_url, delay_ms, config_generation, body);
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
    // As accepted, but for `service` and `config_generation`: where the configuration of that generation, the
    // newest that the owner had, sends it.
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
    Incarnation edge_incarnation = 0;  // of the process that they are for; 0: the store does not know it
    std::vector<Grant> grants;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, edge_incarnation, grants);
    }
};
struct GrantPushReply {
    std::vector<bool> taken;     // by grant; one not taken was not begun and is the store's again
    bool other_process = false;  // nothing was taken: the edge has restarted at this address
    template <class Archive>
    void serialize(Archive& archive) {
        archive(taken, other_process);
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

// An edge tells each owner of a new view what it is running there; sent also as a heartbeat
// (edge_heartbeat.hpp).
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
    std::int64_t next_within_ms = 0;  // the sender's promise of its next one to this store
    template <class Archive>
    void serialize(Archive& archive) {
        archive(edge, zone, edge_address, incarnation, view_epoch, leaving, running, next_within_ms);
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

}  // namespace amberswitch::cluster
