#include "cluster/storage/edge_registry.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace amberswitch::cluster::storage {

namespace {

constexpr Millis kForgetSilentAfter{30000};
// An edge is not chosen for a destination if it holds more grants than kMaxLoadOverMean times the mean of the
// candidates plus kExtraGrants.
constexpr double kMaxLoadOverMean = 1.25;
constexpr double kExtraGrants = 2;
// hasNearEdge() is called for each accept of an edge in another region, so its result is cached.
constexpr Millis kNearEdgeCacheTime{100};
// Number of edges at the head of a destination's order among which one without a grant for it is preferred.
constexpr std::size_t kPreferredEdges = 3;

std::uint64_t hashOf(std::string_view text, std::uint64_t seed) {
    return XXH64(text.data(), text.size(), seed);
}

std::ptrdiff_t grantsFor(const Edge& edge, std::string_view destination) {
    return std::count_if(edge.grants.begin(), edge.grants.end(), [&](const QueueItem* item) {
        return item->grant && item->grant->service == destination;
    });
}

}  // namespace

Edge& EdgeRegistry::recordContact(const std::string& name, const NodeAddress& address, SteadyTime now) {
    Edge& edge = edges_[name];
    edge.name = name;
    edge.address = address;
    edge.last_contact = now;
    edge.usable = true;
    return edge;
}

Edge* EdgeRegistry::find(const std::string& name) {
    const auto found = edges_.find(name);
    return found == edges_.end() ? nullptr : &found->second;
}

void EdgeRegistry::attach(const std::string& name, QueueItem& item) {
    edges_[name].grants.insert(&item);
}

void EdgeRegistry::detach(const std::string& name, QueueItem& item) {
    if (Edge* const edge = find(name)) edge->grants.erase(&item);
}

bool EdgeRegistry::canTakeGrant(const Edge& edge, SteadyTime now) {
    const bool connected = edge.usable && !edge.leaving && edge.synced_epoch > 0;
    if (!connected || edge.isAwaitingProbeAnswer() || edge.isSilent(now)) return false;
    return edge.grants.size() < kMaxGrantsPerEdge;
}

bool EdgeRegistry::hasNearerThan(const Edge& edge, SteadyTime now) {
    return isFar(edge) && hasNearEdge(now);
}

bool EdgeRegistry::hasNearEdge(SteadyTime now) {
    if (now < near_edge_valid_until_) return has_near_edge_;
    near_edge_valid_until_ = now + kNearEdgeCacheTime;
    has_near_edge_ = std::any_of(edges_.begin(), edges_.end(), [&](const auto& entry) {
        return !isFar(entry.second) && canTakeGrant(entry.second, now);
    });
    return has_near_edge_;
}

std::vector<Edge*> EdgeRegistry::nearestAvailable(SteadyTime now) {
    std::vector<Edge*> nearest;
    Distance least = Distance::other_region;
    for (auto& [name, edge] : edges_) {
        if (!canTakeGrant(edge, now)) continue;
        const Distance distance = topology_.distanceBetween(own_zone_, edge.zone);
        if (distance > least) continue;
        if (distance < least) nearest.clear();
        least = distance;
        nearest.push_back(&edge);
    }
    return nearest;
}

Edge* EdgeRegistry::choose(SteadyTime now) {
    const std::vector<Edge*> candidates = nearestAvailable(now);
    if (candidates.empty()) return nullptr;
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    Edge* const first = candidates[draw(random_)];
    Edge* const second = candidates[draw(random_)];
    return second->grants.size() < first->grants.size() ? second : first;
}

Edge* EdgeRegistry::chooseForDestination(std::string_view destination, SteadyTime now) {
    const std::vector<Edge*> candidates = nearestAvailable(now);
    std::size_t grants = 0;
    for (const Edge* const edge : candidates) grants += edge->grants.size();
    const double mean =
        candidates.empty() ? 0 : static_cast<double>(grants) / static_cast<double>(candidates.size());
    const double max_grants = kMaxLoadOverMean * mean + kExtraGrants;
    // The order depends on the zone of the store: stores of one zone choose the same edges, stores of other
    // zones choose others, since an edge has few connections to an endpoint.
    const std::uint64_t seed = hashOf(own_zone_, 0);
    std::vector<std::pair<std::uint64_t, Edge*>> order;
    for (Edge* const edge : candidates) {
        if (static_cast<double>(edge->grants.size()) > max_grants) continue;
        order.emplace_back(hashOf(destination, hashOf(edge->name, seed)), edge);
    }
    if (order.empty()) return nullptr;
    const auto preferred_end =
        order.begin() + static_cast<std::ptrdiff_t>(std::min(kPreferredEdges, order.size()));
    std::partial_sort(order.begin(), preferred_end, order.end(), std::greater<>());
    const auto unused = std::find_if(order.begin(), preferred_end, [&](const auto& entry) {
        return grantsFor(*entry.second, destination) == 0;
    });
    return unused == preferred_end ? order.front().second : unused->second;
}

std::vector<Edge*> EdgeRegistry::senderOrder(std::string_view receiver, SteadyTime now) {
    const std::uint64_t seed = hashOf(receiver, 0);
    std::vector<std::pair<std::uint64_t, Edge*>> hashed;
    for (auto& [name, edge] : edges_) {
        if (edge.leaving || edge.isGone(now)) continue;
        hashed.emplace_back(hashOf(name, seed), &edge);
    }
    std::sort(hashed.begin(), hashed.end());
    std::vector<Edge*> order;
    order.reserve(hashed.size());
    for (const auto& [hash, edge] : hashed) order.push_back(edge);
    return order;
}

Edge* EdgeRegistry::chooseSender(std::string_view receiver, std::size_t senders, SteadyTime now) {
    const std::vector<Edge*> order = senderOrder(receiver, now);
    const auto first_end = order.begin() + static_cast<std::ptrdiff_t>(std::min(senders, order.size()));
    std::vector<Edge*> available;
    std::copy_if(order.begin(), first_end, std::back_inserter(available),
                 [now](const Edge* edge) { return canTakeGrant(*edge, now); });
    if (available.empty()) {
        const auto next = std::find_if(first_end, order.end(),
                                       [now](const Edge* edge) { return canTakeGrant(*edge, now); });
        return next == order.end() ? nullptr : *next;
    }
    // Ties are broken at random: most stores have no grants for the receiver and must not all choose the same
    // edge.
    std::shuffle(available.begin(), available.end(), random_);
    const auto key = [&](const Edge* edge) {
        return std::pair(grantsFor(*edge, receiver), topology_.distanceBetween(own_zone_, edge->zone));
    };
    return *std::min_element(available.begin(), available.end(),
                             [&key](const Edge* left, const Edge* right) { return key(left) < key(right); });
}

std::size_t EdgeRegistry::knownCount() const {
    return edges_.size() - edges_.count(kUnknownEdge);
}

bool EdgeRegistry::allSynced(Epoch epoch, std::size_t expected, SteadyTime now) const {
    std::size_t synced = 0;
    for (const auto& [name, edge] : edges_) {
        if (edge.isGone(now)) continue;
        if (edge.synced_epoch < epoch) return false;
        ++synced;
    }
    return synced >= expected;
}

void EdgeRegistry::forEach(const std::function<void(Edge&)>& visit) {
    for (auto& [name, edge] : edges_) visit(edge);
}

std::size_t EdgeRegistry::outstandingGrants() const {
    std::size_t sum = 0;
    for (const auto& [name, edge] : edges_) sum += edge.grants.size();
    return sum;
}

void EdgeRegistry::forgetSilent(SteadyTime now) {
    std::erase_if(edges_, [now](const auto& entry) {
        return entry.second.grants.empty() && entry.second.last_contact + kForgetSilentAfter < now;
    });
}

}  // namespace amberswitch::cluster::storage
