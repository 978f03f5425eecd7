// Messages between stores: copies of messages and their states, and the pulls by the owner of a new epoch.
#pragma once

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/client_messages.hpp"

namespace amberswitch::cluster {

// --- Replication -------------------------------------------------------------------------------------------
// The state of a message without its content: its end, or a failed attempt.
struct RecordUpdate {
    PartitionId partition = 0;
    MessageId id;
    Phase phase = Phase::pending;
    std::uint32_t failures = 0;
    std::string stamp;
    std::int64_t ended_wall_ms = 0;
    bool callback_done = false;
    std::int64_t keep_until_wall_ms = 0;  // when the message may be deleted
    std::int64_t accepted_wall_ms = 0;    // 0: not known; the latest value of all replicas counts
    template <class Archive>
    void serialize(Archive& archive) {
        archive(partition, id, phase, failures, stamp, ended_wall_ms, callback_done, keep_until_wall_ms,
                accepted_wall_ms);
    }
};
// The owner of a partition sends new messages and updates to a replica.
struct ReplicateRequest {
    std::string store;
    PartitionId partition = 0;
    Epoch epoch = 0;
    std::vector<MessageRecord> records;
    std::vector<RecordUpdate> updates;
    bool durable = true;  // reply only after everything is synced to disk
    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, partition, epoch, records, updates, durable);
    }
};
struct ReplicateReply {
    bool stored = false;  // false: this replica has promised a newer epoch
    Epoch promised_epoch = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(stored, promised_epoch);
    }
};
// All requests sent to one replica in one call (kind `replicate`), for any number of partitions.
struct ReplicateBatch {
    std::int64_t wall_ms = 0;  // the sender's wall clock, used to convert its wall-clock times
    std::vector<ReplicateRequest> requests;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(wall_ms, requests);
    }
};
struct ReplicateBatchReply {
    std::vector<ReplicateReply> replies;  // one per request; empty: the disk fails
    template <class Archive>
    void serialize(Archive& archive) {
        archive(replies);
    }
};

// The owner of a new epoch asks every store for all its records of a partition. The replica durably promises
// to accept nothing from an older epoch, which fences off older owners.
struct PullRequest {
    std::string store;
    PartitionId partition = 0;
    Epoch epoch = 0;
    std::vector<MessageId> known;  // messages whose content the owner already has
    // Of the store that receives the request, as given in the owner's view.
    Epoch joined_epoch = 0;
    Incarnation joined_incarnation = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, partition, epoch, known, joined_epoch, joined_incarnation);
    }
};
struct PullReply {
    bool promised = false;  // false: already promised to a newer epoch
    // Whether the replica still has everything of the partition that it received since it joined. False after
    // the loss of its disk, until the owner sends PeeringDone.
    bool valid = false;
    Epoch peered_epoch = 0;               // newest epoch for which this replica received PeeringDone
    std::int64_t wall_ms = 0;             // the replica's clock
    std::vector<MessageRecord> records;   // live messages and dead letters not known to the owner
    std::vector<RecordUpdate> states;     // all others
    std::vector<RunningAttempt> running;  // its open grants, where it was the owner
    std::vector<MessageId> dead_letters;  // entries of `states` whose content this replica has
    bool complete = true;                 // false: more records remain, which a further pull returns
    // The replica's disk fails, so neither its promise nor its records are durable. The owner merges the
    // records, but does not count this reply or the replica's copies.
    bool not_durable = false;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(promised, valid, peered_epoch, wall_ms, records, states, running, dead_letters, complete,
                not_durable);
    }
};
// Tells a replica that every live message of the partition is on tolerated + 1 disks of this view, so the
// partition's replicas are valid.
struct PeeringDone {
    std::string store;
    PartitionId partition = 0;
    Epoch epoch = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, partition, epoch);
    }
};
// The leader asks whether the store has completed peering for all partitions that it owns in the view of this
// epoch.
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
// A store asks another one which order keys have messages outside their own partition.
struct MisplacedKeysRequest {
    template <class Archive>
    void serialize(Archive&) {}
};
struct MisplacedKeysOfPartition {
    PartitionId partition = 0;
    std::vector<std::string> keys;  // of unfinished messages
    template <class Archive>
    void serialize(Archive& archive) {
        archive(partition, keys);
    }
};
struct MisplacedKeysReply {
    bool settled = false;                              // no store has any, and none ever will
    std::vector<MisplacedKeysOfPartition> partitions;  // that the store owns; empty if settled
    template <class Archive>
    void serialize(Archive& archive) {
        archive(settled, partitions);
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
