#include "cluster/edge/held_grants.hpp"

namespace amberswitch::cluster {

HeldGrants::InsertResult HeldGrants::insert(const Grant& grant) {
    const auto [at, inserted] = grants_.try_emplace(GrantKey{grant.partition, grant.content.id});
    HeldGrant& entry = at->second;
    if (inserted) {
        entry.attempt = grant.attempt;
        entry.epoch = grant.epoch;
        entry.callback_only = grant.callback;
        return InsertResult::inserted;
    }
    const bool same = entry.attempt == grant.attempt && entry.epoch == grant.epoch;
    return same ? InsertResult::repeated : InsertResult::conflicting;
}

HeldGrant* HeldGrants::find(const GrantKey& key) {
    const auto at = grants_.find(key);
    return at == grants_.end() ? nullptr : &at->second;
}

std::vector<RunningAttempt> HeldGrants::runningAttempts() const {
    std::vector<RunningAttempt> all;
    all.reserve(grants_.size());
    for (const auto& [key, entry] : grants_) {
        all.push_back({key.partition, key.id, entry.attempt, entry.epoch, entry.callback_only});
    }
    return all;
}

}  // namespace amberswitch::cluster
