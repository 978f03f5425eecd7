// Interface of a durable key-value store on the machine's disk. Core machines keep the state of the
// register's voter in it, stores keep messages. Implementations: RingStore (a ring of preallocated files) and
// MemoryStore (for tests); both pass tests/cluster/record_store_contract.hpp.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace amberswitch::cluster {

struct StoreUsage {
    std::uint64_t capacity_bytes = 0;
    std::uint64_t live_bytes = 0;  // size of all current records, including their overhead
};

class RecordStore {
public:
    virtual ~RecordStore() = default;
    // Stages a write, which read() sees at once. Returns false and changes nothing if there is no space.
    virtual bool put(std::string_view key, std::string_view value) = 0;
    // Like put(), for records that complete or fence other work: may use the reserved space that put() leaves
    // free, and is also staged while the disk is failing. Returns false if the reserve is exhausted, too.
    virtual bool putFromReserve(std::string_view key, std::string_view value) { return put(key, value); }
    // Stages the removal of a key. Always succeeds.
    virtual void erase(std::string_view key) = 0;
    // Calls `done(true)` once everything staged before this call survives a power loss, or `done(false)` if
    // the disk fails. Concurrent calls share one disk sync. `done` runs on the scheduler's thread, in the
    // order of the calls.
    virtual void sync(std::function<void(bool)> done) = 0;
    // False from the first failed write or sync until all staged changes are durable. The store retries by
    // itself at a bounded rate. Meanwhile put() returns false, every sync fails immediately, and staged
    // changes remain readable; they are lost only if the process ends.
    virtual bool healthy() const { return true; }
    // Sets the listener that runs on the scheduler's thread after each change of healthy(). Replaces the
    // previous listener.
    virtual void onHealthChange(std::function<void(bool healthy)> /*listener*/) {}
    // Returns the value of the key, or nothing if the key is absent. Throws StorageError if the record exists
    // but can't be read; the caller must not treat it as absent.
    virtual std::optional<std::string> read(std::string_view key) const = 0;
    // Visits all current records. Throws StorageError at the first record that can't be read.
    virtual void forEach(
        const std::function<void(std::string_view key, const std::string& value)>& visit) const = 0;
    virtual void forEachKey(const std::function<void(std::string_view key)>& visit) const {
        forEach([&visit](std::string_view key, const std::string&) { visit(key); });
    }
    // True if durable records were found to be missing or damaged when the store was opened.
    virtual bool hasMissingRecords() const { return false; }
    virtual StoreUsage usage() const = 0;
    // True if the data directory held no records when the store was opened.
    virtual bool wasEmpty() const = 0;
};

}  // namespace amberswitch::cluster
