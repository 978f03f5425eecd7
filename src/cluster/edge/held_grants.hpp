// The grants of this edge whose last result no owner has acknowledged yet: at most one attempt per message.
#pragma once

#include <unordered_map>
#include <vector>

#include "cluster/common/messages.hpp"

namespace amberswitch::cluster {

struct GrantKey {
    PartitionId partition = 0;
    MessageId id;
    bool operator==(const GrantKey&) const = default;
};
struct GrantKeyHash {
    std::size_t operator()(const GrantKey& key) const {
        return std::hash<std::string>()(key.id) ^ (std::size_t{key.partition} << 17);
    }
};

struct HeldGrant {
    std::uint64_t attempt = 0;
    Epoch epoch = 0;
    // Only the call-back is left; the owner has acknowledged the result of the run.
    bool callback_only = false;
};

class HeldGrants {
public:
    enum class InsertResult { inserted, repeated, conflicting };

    // repeated: the same attempt is already held. conflicting: another attempt of the message is held.
    InsertResult insert(const Grant& grant);
    HeldGrant* find(const GrantKey& key);
    void erase(const GrantKey& key) { grants_.erase(key); }
    std::size_t size() const { return grants_.size(); }
    std::vector<RunningAttempt> runningAttempts() const;

private:
    std::unordered_map<GrantKey, HeldGrant, GrantKeyHash> grants_;
};

}  // namespace amberswitch::cluster
