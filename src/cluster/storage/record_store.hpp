// A durable map from key to bytes, kept on the machine's disk. Used by core machines for the register's voter
// and by stores for messages. Implementations: RingStore (a ring of preallocated files) and MemoryStore
// (tests); both pass tests/cluster/record_store_contract.hpp.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace amberswitch::cluster {

struct StoreUsage {
    std::uint64_t capacity_bytes = 0;
    std::uint64_t live_bytes = 0;  // of records that are current, with their overhead
};

class RecordStore {
public:
    virtual ~RecordStore() = default;
    // Stages a write; read() sees it at once. False: no room, nothing is changed.
    virtual bool put(std::string_view key, std::string_view value) = 0;
    // Like put(), for what ends or fences other work: it may use the space that put() leaves free, and is
    // staged while the disk fails, too. False: even the reserve is used up.
    virtual bool putFromReserve(std::string_view key, std::string_view value) { return put(key, value); }
    // Stages the removal of a key; always succeeds.
    virtual void erase(std::string_view key) = 0;
    // `done(true)` once everything staged before this call survives a loss of power; `done(false)` if the
    // disk fails now. Calls that wait together share one sync. `done` runs on the scheduler's thread, in call
    // order.
    virtual void sync(std::function<void(bool)> done) = 0;
    // False from the first write or sync that failed until all that was staged is on the disk again. The
    // store tries by itself, at a bounded pace. Meanwhile put() refuses, every sync fails at once, and what
    // was staged can be read; it is not lost unless the process ends.
    virtual bool healthy() const { return true; }
    // Runs on the scheduler's thread after each change of healthy(); replaces an earlier listener.
    virtual void onHealthChange(std::function<void(bool healthy)> /*listener*/) {}
    // Throws StorageError where the record is there and can't be read: it is neither present nor absent.
    virtual std::optional<std::string> read(std::string_view key) const = 0;
    // Throws like read(), at the first such record.
    virtual void forEach(
        const std::function<void(std::string_view key, const std::string& value)>& visit) const = 0;
    virtual void forEachKey(const std::function<void(std::string_view key)>& visit) const {
        forEach([&visit](std::string_view key, const std::string&) { visit(key); });
    }
    // Records that were durable are missing, as was seen when the store was opened.
    virtual bool hasMissingRecords() const { return false; }
    virtual StoreUsage usage() const = 0;
    // True where the data folder held nothing when it was opened.
    virtual bool wasEmpty() const = 0;
};

}  // namespace amberswitch::cluster
