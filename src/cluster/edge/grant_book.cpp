#include "cluster/edge/grant_book.hpp"

namespace amberswitch::cluster {

GrantBook::Entered GrantBook::enter(const Grant& grant) {
    const auto [at, fresh] = entries_.try_emplace(GrantKey{grant.partition, grant.content.id});
    GrantEntry& entry = at->second;
    if (fresh) {
        entry.attempt = grant.attempt;
        entry.epoch = grant.epoch;
        entry.callback = grant.callback;
        return Entered::fresh;
    }
    const bool same = entry.attempt == grant.attempt && entry.epoch == grant.epoch;
    return same ? Entered::repeated : Entered::conflicting;
}

GrantEntry* GrantBook::find(const GrantKey& key) {
    const auto at = entries_.find(key);
    return at == entries_.end() ? nullptr : &at->second;
}

std::vector<RunningAttempt> GrantBook::attempts() const {
    std::vector<RunningAttempt> all;
    all.reserve(entries_.size());
    for (const auto& [key, entry] : entries_) {
        all.push_back({key.partition, key.id, entry.attempt, entry.epoch, entry.callback});
    }
    return all;
}

}  // namespace amberswitch::cluster
