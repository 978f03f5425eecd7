#include "cluster/storage/edges.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace amberswitch::cluster::storage {

namespace {

constexpr Millis kForgetAfter{30000};
// Of the grants of an edge that is chosen for a destination: times the mean of the candidates, and beyond.
constexpr double kMostOverMean = 1.25;
constexpr double kSlack = 2;
constexpr Millis kNearKnownFor{100};  // asked for each accept of a far edge
// Edges of a destination's order that are looked at for one without a grant for it.
constexpr std::size_t kFirstFew = 3;

std::uint64_t hashOf(std::string_view text, std::uint64_t seed) {
    return XXH64(text.data(), text.size(), seed);
}

std::ptrdiff_t grantsFor(const Edge& edge, std::string_view destination) {
    return std::count_if(edge.grants.begin(), edge.grants.end(), [&](const QueueItem* item) {
        return item->grant && item->grant->service == destination;
    });
}

}  // namespace

Edge& Edges::heard(const std::string& name, const NodeAddress& address, SteadyTime now) {
    Edge& edge = edges_[name];
    edge.name = name;
    edge.address = address;
    edge.heard = now;
    edge.usable = true;
    return edge;
}

Edge* Edges::find(const std::string& name) {
    const auto found = edges_.find(name);
    return found == edges_.end() ? nullptr : &found->second;
}

void Edges::attach(const std::string& name, QueueItem& item) {
    edges_[name].grants.insert(&item);
}

void Edges::detach(const std::string& name, QueueItem& item) {
    if (Edge* const edge = find(name)) edge->grants.erase(&item);
}

bool Edges::mayTake(const Edge& edge, SteadyTime now) {
    const bool connected = edge.usable && !edge.leaving && edge.synced_epoch > 0;
    if (!connected || edge.isInDoubt() || edge.isSilent(now)) return false;
    return edge.grants.size() < kMaxGrantsPerEdge;
}

bool Edges::hasNearerThan(const Edge& edge, SteadyTime now) {
    return isFar(edge) && hasNear(now);
}

bool Edges::hasNear(SteadyTime now) {
    if (now < near_known_until_) return has_near_;
    near_known_until_ = now + kNearKnownFor;
    has_near_ = std::any_of(edges_.begin(), edges_.end(), [&](const auto& entry) {
        return !isFar(entry.second) && mayTake(entry.second, now);
    });
    return has_near_;
}

std::vector<Edge*> Edges::nearestFree(SteadyTime now) {
    std::vector<Edge*> nearest;
    Distance least = Distance::other_region;
    for (auto& [name, edge] : edges_) {
        if (!mayTake(edge, now)) continue;
        const Distance distance = topology_.distanceBetween(own_zone_, edge.zone);
        if (distance > least) continue;
        if (distance < least) nearest.clear();
        least = distance;
        nearest.push_back(&edge);
    }
    return nearest;
}

Edge* Edges::choose(SteadyTime now) {
    const std::vector<Edge*> candidates = nearestFree(now);
    if (candidates.empty()) return nullptr;
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    Edge* const first = candidates[draw(random_)];
    Edge* const second = candidates[draw(random_)];
    return second->grants.size() < first->grants.size() ? second : first;
}

Edge* Edges::chooseFor(std::string_view destination, SteadyTime now) {
    const std::vector<Edge*> candidates = nearestFree(now);
    std::size_t grants = 0;
    for (const Edge* const edge : candidates) grants += edge->grants.size();
    const double mean =
        candidates.empty() ? 0 : static_cast<double>(grants) / static_cast<double>(candidates.size());
    const double most = kMostOverMean * mean + kSlack;
    // Stores of one zone choose alike, those of others differently: an edge has few connections to an
    // endpoint.
    const std::uint64_t seed = hashOf(own_zone_, 0);
    std::vector<std::pair<std::uint64_t, Edge*>> order;
    for (Edge* const edge : candidates) {
        if (static_cast<double>(edge->grants.size()) > most) continue;
        order.emplace_back(hashOf(destination, hashOf(edge->name, seed)), edge);
    }
    if (order.empty()) return nullptr;
    const auto few_end = order.begin() + static_cast<std::ptrdiff_t>(std::min(kFirstFew, order.size()));
    std::partial_sort(order.begin(), few_end, order.end(), std::greater<>());
    const auto unused = std::find_if(order.begin(), few_end, [&](const auto& entry) {
        return grantsFor(*entry.second, destination) == 0;
    });
    return unused == few_end ? order.front().second : unused->second;
}

std::vector<Edge*> Edges::senderOrder(std::string_view receiver, SteadyTime now) {
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

Edge* Edges::chooseSender(std::string_view receiver, std::size_t senders, SteadyTime now) {
    const std::vector<Edge*> order = senderOrder(receiver, now);
    const auto first_end = order.begin() + static_cast<std::ptrdiff_t>(std::min(senders, order.size()));
    std::vector<Edge*> free;
    std::copy_if(order.begin(), first_end, std::back_inserter(free),
                 [now](const Edge* edge) { return mayTake(*edge, now); });
    if (free.empty()) {
        const auto next =
            std::find_if(first_end, order.end(), [now](const Edge* edge) { return mayTake(*edge, now); });
        return next == order.end() ? nullptr : *next;
    }
    // Of equals any: most stores have nothing under way, and must not all take the same one.
    std::shuffle(free.begin(), free.end(), random_);
    const auto key = [&](const Edge* edge) {
        return std::pair(grantsFor(*edge, receiver), topology_.distanceBetween(own_zone_, edge->zone));
    };
    return *std::min_element(free.begin(), free.end(),
                             [&key](const Edge* left, const Edge* right) { return key(left) < key(right); });
}

std::size_t Edges::known() const {
    return edges_.size() - edges_.count(kUnknownEdge);
}

bool Edges::allSynced(Epoch epoch, std::size_t expected, SteadyTime now) const {
    std::size_t synced = 0;
    for (const auto& [name, edge] : edges_) {
        if (edge.isGone(now)) continue;
        if (edge.synced_epoch < epoch) return false;
        ++synced;
    }
    return synced >= expected;
}

void Edges::forEach(const std::function<void(Edge&)>& visit) {
    for (auto& [name, edge] : edges_) visit(edge);
}

std::size_t Edges::outstanding() const {
    std::size_t sum = 0;
    for (const auto& [name, edge] : edges_) sum += edge.grants.size();
    return sum;
}

void Edges::forgetSilent(SteadyTime now) {
    std::erase_if(edges_, [now](const auto& entry) {
        return entry.second.grants.empty() && entry.second.heard + kForgetAfter < now;
    });
}

}  // namespace amberswitch::cluster::storage
