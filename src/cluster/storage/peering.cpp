#include "cluster/storage/peering.hpp"

#include <algorithm>

namespace amberswitch::cluster::storage {

PeeringRound::PeeringRound(PartitionId partition, std::vector<PeerStore> others, std::uint32_t tolerated,
                           bool own_valid, Epoch own_peered, SpreadRule spread_rule, std::string own_zone)
    : partition_(partition),
      others_(std::move(others)),
      tolerated_(tolerated),
      own_valid_(own_valid),
      peered_(own_peered),
      spread_rule_(std::move(spread_rule)),
      own_zone_(std::move(own_zone)),
      copies_wanted_(1) {
    Zones zones{own_zone_};
    for (const PeerStore& other : others_) {
        if (!keepsCopies(other)) continue;
        ++copies_wanted_;
        zones.insert(other.zone);
    }
    copies_wanted_ = std::min<std::size_t>(copies_wanted_, tolerated + 1);
    can_spread_ = spread_rule_.isTrivial() || spread_rule_.isSpread(zones);
}

void PeeringRound::onReply(const std::string& store, const PullReply& reply) {
    if (!answered_.insert(store).second) return;
    Listing& listing = listings_[store];
    for (const MessageRecord& record : reply.records) {
        listing[record.content.id] = {record.phase, record.failures, record.callback_done, true};
    }
    for (const RecordUpdate& state : reply.states) {
        // A store lists a pending state only if it holds the content.
        listing[state.id] = {state.phase, state.failures, state.callback_done, state.phase == Phase::pending};
    }
    for (const MessageId& id : reply.dead_letters) listing[id].content = true;
    if (reply.valid) valid_.insert(store);
    peered_ = std::max(peered_, reply.peered_epoch);
}

bool PeeringRound::hasQuorum() const {
    if (answered_.size() == others_.size()) return true;
    std::size_t counted = 1;
    std::size_t valid = own_valid_ ? 1 : 0;
    Zones lacking;
    if (!own_valid_) lacking.insert(own_zone_);
    for (const PeerStore& other : others_) {
        if (!countsForQuorum(other)) continue;
        ++counted;
        if (valid_.contains(other.name)) {
            ++valid;
        } else {
            lacking.insert(other.zone);
        }
    }
    const std::size_t needed = counted > tolerated_ ? counted - tolerated_ : 1;
    // Copies are never all in zones or regions that may be lost at once. So if the zones without a valid
    // answer may be lost together, a valid replica elsewhere has everything.
    return valid >= needed || (valid > 0 && spread_rule_.mayAllBeLost(lacking));
}

bool PeeringRound::countsForQuorum(const PeerStore& store) const {
    return store.alive || store.away_epoch == 0 || store.away_epoch > peered_;
}

bool PeeringRound::allAliveAnswered() const {
    return std::all_of(others_.begin(), others_.end(),
                       [this](const PeerStore& other) { return !other.alive || hasAnswered(other.name); });
}

bool PeeringRound::isHandedOver() const {
    return std::all_of(others_.begin(), others_.end(), [this](const PeerStore& other) {
        return !other.hands_over || hasReported(other.name);
    });
}

bool PeeringRound::haveRetiringAnswered() const {
    return std::all_of(others_.begin(), others_.end(), [this](const PeerStore& other) {
        return !other.alive || other.keeps_copies || hasAnswered(other.name);
    });
}

bool PeeringRound::keepsCopies(const PeerStore& store) {
    return store.alive && store.keeps_copies;
}

const PeeringRound::ListedState* PeeringRound::findListed(const std::string& store,
                                                          const MessageId& id) const {
    const auto listing = listings_.find(store);
    if (listing == listings_.end()) return nullptr;
    const auto found = listing->second.find(id);
    return found == listing->second.end() ? nullptr : &found->second;
}

bool PeeringRound::isBehind(const ListedState& listed, const StoredMessage& message) {
    if (phaseRank(listed.phase) < phaseRank(message.phase)) return true;
    if (message.phase == Phase::pending) return listed.failures < message.failures;
    return listed.phase == message.phase && message.callback_done && !listed.callback_done;
}

std::vector<MissingCopy> PeeringRound::missing(const Replica& replica,
                                               const std::function<bool(const MessageId&)>& skip) const {
    std::vector<MissingCopy> missing;
    for (const auto& [id, message] : replica.messages(partition_)) {
        if (!skip(id)) addMissing(id, message, missing);
    }
    return missing;
}

void PeeringRound::addMissing(const MessageId& id, const StoredMessage& message,
                              std::vector<MissingCopy>& missing) const {
    const bool needs_content = message.needsContent() && message.content_on_disk;
    std::size_t copies = 1;
    Zones zones{own_zone_};
    for (const PeerStore& other : others_) {
        const ListedState* const known = findListed(other.name, id);
        if (!keepsCopies(other) || known == nullptr) continue;
        if (isBehind(*known, message)) missing.push_back({other.name, id, false});
        if (!known->content && needs_content) continue;
        ++copies;
        zones.insert(other.zone);
    }
    for (const PeerStore& other : others_) {
        const bool lacks_copies = copies < copies_wanted_;
        const bool lacks_zones = can_spread_ && !spread_rule_.isTrivial() && !spread_rule_.isSpread(zones);
        if (!lacks_copies && !lacks_zones) return;
        const ListedState* const known = findListed(other.name, id);
        const bool has_it = known != nullptr && (known->content || !needs_content);
        const bool adds_zone = !zones.contains(other.zone);
        if (!keepsCopies(other) || has_it || (!lacks_copies && !adds_zone)) continue;
        missing.push_back({other.name, id, needs_content});
        ++copies;
        zones.insert(other.zone);
    }
}

std::vector<std::string> PeeringRound::holders(const MessageId& id) const {
    std::vector<std::string> names;
    for (const auto& [store, listing] : listings_) {
        const auto found = listing.find(id);
        if (found != listing.end() && found->second.content) names.push_back(store);
    }
    return names;
}

void PeeringRound::onCopied(const MissingCopy& copy, const RecordUpdate& state) {
    ListedState& listed = listings_[copy.store][copy.id];
    listed.content = listed.content || copy.with_content;
    listed.phase = state.phase;
    listed.failures = state.failures;
    listed.callback_done = state.callback_done;
}

}  // namespace amberswitch::cluster::storage
