// What owners granted to this edge and have not yet taken a last report of: at most one attempt of each
// message.
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
    bool callback_only = false;  // only the call-back is still to do; the owner knows of the run's end
};

class HeldGrants {
public:
    enum class InsertResult { inserted, repeated, conflicting };

    // repeated: this very attempt is known already. conflicting: another attempt of the message is.
    InsertResult insert(const Grant& grant);
    HeldGrant* find(const GrantKey& key);
    void erase(const GrantKey& key) { grants_.erase(key); }
    std::size_t size() const { return grants_.size(); }
    std::vector<RunningAttempt> runningAttempts() const;

private:
    std::unordered_map<GrantKey, HeldGrant, GrantKeyHash> grants_;
};

}  // namespace amberswitch::cluster
