// Tests choices by distance: the owner an edge asks, the stores that hold copies, and the edge that is
// granted a run.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/callback_plan.hpp"
#include "cluster/common/node_locations.hpp"
#include "cluster/common/topology.hpp"
#include "cluster/common/traffic_meter.hpp"
#include "cluster/edge/partition_map.hpp"
#include "cluster/storage/edge_registry.hpp"
#include "cluster/storage/placement.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::storage;

namespace {

constexpr PartitionId kPartitions = 24;
const SteadyTime kNow{std::chrono::seconds(1000)};

Topology twoRegions() {
    return Topology({{"east-a", "east"}, {"east-b", "east"}, {"west-a", "west"}});
}

// A random deployment: regions with zones, zones with stores, and partitions owned by random stores.
struct RandomDeployment {
    explicit RandomDeployment(std::uint64_t seed) : random(seed) {
        std::map<std::string, std::string> region_of_zone;
        const std::size_t regions = draw(1, 4);
        for (std::size_t region = 0; region < regions; ++region) {
            const std::size_t zones_here = draw(1, 3);
            for (std::size_t zone = 0; zone < zones_here; ++zone) {
                zones.push_back("zone-" + std::to_string(region) + "-" + std::to_string(zone));
                region_of_zone[zones.back()] = "region-" + std::to_string(region);
            }
        }
        topology = Topology(region_of_zone);
        const std::size_t stores = draw(3, 15);
        for (std::size_t index = 0; index < stores; ++index) {
            StoreMember store;
            store.member.name = "store-" + std::to_string(index);
            store.member.zone = zones[draw(0, zones.size() - 1)];
            store.member.address = {"10.0.0." + std::to_string(index + 1), 7782};
            store.alive = draw(0, 9) > 0;
            store.retiring = draw(0, 9) == 0;
            view.stores.push_back(store);
        }
        for (PartitionId partition = 0; partition < kPartitions; ++partition) {
            PartitionOwner owner;
            owner.owner = static_cast<std::int32_t>(draw(0, stores - 1));
            view.partitions.push_back(owner);
        }
        view.epoch = 1;
    }
    std::size_t draw(std::size_t least, std::size_t most) {
        return std::uniform_int_distribution<std::size_t>(least, most)(random);
    }
    std::shared_ptr<const StoreView> shared() const { return std::make_shared<const StoreView>(view); }
    const StoreMember& store(const std::string& name) const {
        return *std::find_if(view.stores.begin(), view.stores.end(),
                             [&](const StoreMember& each) { return each.member.name == name; });
    }

    std::mt19937_64 random;
    std::vector<std::string> zones;
    Topology topology;
    StoreView view;
};

}  // namespace

TEST_CASE("the same zone is nearer than the same region, which is nearer than another region") {
    const Topology topology = twoRegions();
    CHECK(topology.distanceBetween("east-a", "east-a") == Distance::same_zone);
    CHECK(topology.distanceBetween("east-a", "east-b") == Distance::same_region);
    CHECK(topology.distanceBetween("east-a", "west-a") == Distance::other_region);
    CHECK(Distance::same_zone < Distance::same_region);
    CHECK(Distance::same_region < Distance::other_region);
}

TEST_CASE("zones without a region count as one region") {
    const Topology none;
    CHECK(none.distanceBetween("a", "a") == Distance::same_zone);
    CHECK(none.distanceBetween("a", "b") == Distance::same_region);
    CHECK(twoRegions().distanceBetween("east-a", "nowhere") == Distance::other_region);
}

TEST_CASE("an edge asks one of the nearest owners, and farther ones only if no nearer one is left") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        RandomDeployment deployment(seed);
        const std::string zone = deployment.zones[deployment.draw(0, deployment.zones.size() - 1)];
        PartitionMap partitions(zone, deployment.topology);
        partitions.update(deployment.shared());
        std::set<NodeAddress> tried;
        Distance last = Distance::same_zone;
        while (const auto partition = partitions.pickPartition(deployment.random, tried)) {
            const StoreMember* const owner = partitions.owner(*partition);
            REQUIRE(owner != nullptr);
            const Distance distance = deployment.topology.distanceBetween(zone, owner->member.zone);
            CHECK(distance >= last);
            last = distance;
            tried.insert(owner->member.address);
        }
        for (PartitionId partition = 0; partition < kPartitions; ++partition) {
            const StoreMember* const owner = partitions.owner(partition);
            if (owner != nullptr) CHECK(tried.contains(owner->member.address));
        }
    }
}

TEST_CASE(
    "copies go to the nearest stores that keep copies, and a store that leaves moves only its own copies") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        RandomDeployment deployment(seed);
        const Member self = deployment.view.stores[0].member;
        Placement placement(self.name, self.zone, deployment.topology);
        placement.update(deployment.shared());
        for (PartitionId partition = 0; partition < kPartitions; ++partition) {
            const std::vector<std::string> order = placement.replicaOrder(partition);
            CHECK(order.size() == placement.otherCopyStoreCount());
            Distance last = Distance::same_zone;
            for (const std::string& name : order) {
                const Distance distance =
                    deployment.topology.distanceBetween(self.zone, deployment.store(name).member.zone);
                CHECK(distance >= last);
                last = distance;
            }
            if (order.empty()) continue;
            RandomDeployment without = deployment;
            for (StoreMember& store : without.view.stores) {
                if (store.member.name == order.front()) store.alive = false;
            }
            Placement after(self.name, self.zone, deployment.topology);
            after.update(without.shared());
            CHECK(after.replicaOrder(partition) == std::vector<std::string>(order.begin() + 1, order.end()));
        }
    }
}

TEST_CASE("the next run goes to the nearest edge that may take one") {
    EdgeRegistry edges("east-a", twoRegions(), 1);
    const auto add = [&edges](const std::string& name, const std::string& zone) {
        Edge& edge = edges.recordContact(name, {"10.2.0.1", 1}, kNow);
        edge.synced_epoch = 1;
        edge.zone = zone;
    };
    add("remote", "west-a");
    CHECK(edges.choose(kNow)->name == "remote");
    add("regional", "east-b");
    for (int i = 0; i < 20; ++i) CHECK(edges.choose(kNow)->name == "regional");
    add("own", "east-a");
    for (int i = 0; i < 20; ++i) CHECK(edges.choose(kNow)->name == "own");
    edges.find("own")->leaving = true;
    for (int i = 0; i < 20; ++i) CHECK(edges.choose(kNow)->name == "regional");
}

namespace {

constexpr int kManyEdges = 60;
constexpr std::size_t kSenders = 8;

// The edges known to a store in `zone`: kManyEdges edges in three zones of two regions.
EdgeRegistry manyEdges(const std::string& zone, std::uint64_t seed) {
    EdgeRegistry edges(zone, twoRegions(), seed);
    const std::vector<std::string> zones{"east-a", "east-b", "west-a"};
    for (int i = 0; i < kManyEdges; ++i) {
        Edge& edge = edges.recordContact("edge-" + std::to_string(i), {"10.2.0.1", 1}, kNow);
        edge.synced_epoch = 1;
        edge.zone = zones[static_cast<std::size_t>(i) % zones.size()];
    }
    return edges;
}

// Returns the senders that the store chooses for `callbacks` call-backs that are all in progress.
std::set<std::string> sendersOf(EdgeRegistry& edges, const std::string& receiver, std::size_t callbacks) {
    std::vector<QueueItem> items(callbacks);
    std::set<std::string> senders;
    for (QueueItem& item : items) {
        const std::string name = edges.chooseSender(receiver, kSenders, kNow)->name;
        item.grant = OutstandingGrant{{}, name, receiver, kNow, kNow, std::nullopt, true};
        edges.attach(name, item);
        senders.insert(name);
    }
    for (QueueItem& item : items) edges.detach(item.grant->edge, item);
    return senders;
}

}  // namespace

TEST_CASE("stores of all zones choose the same few senders for a receiver of call-backs") {
    EdgeRegistry east = manyEdges("east-a", 1);
    EdgeRegistry west = manyEdges("west-a", 2);
    const std::set<std::string> senders = sendersOf(east, "10.9.0.1:80", 3 * kSenders);
    CHECK(senders.size() == kSenders);
    CHECK(sendersOf(west, "10.9.0.1:80", 3 * kSenders) == senders);
    CHECK(sendersOf(east, "10.9.0.2:80", 3 * kSenders) != senders);
}

TEST_CASE("a call-back goes to the nearest of the equally loaded senders") {
    EdgeRegistry edges = manyEdges("east-a", 1);
    const std::set<std::string> senders = sendersOf(edges, "10.9.0.1:80", kSenders);
    const auto distanceOf = [&](const std::string& name) {
        return twoRegions().distanceBetween("east-a", edges.find(name)->zone);
    };
    Distance least = Distance::other_region;
    for (const std::string& name : senders) least = std::min(least, distanceOf(name));
    for (int i = 0; i < 20; ++i) {
        CHECK(distanceOf(edges.chooseSender("10.9.0.1:80", kSenders, kNow)->name) == least);
    }
}

TEST_CASE("senders that have left are replaced, and unusable ones are not used") {
    EdgeRegistry edges = manyEdges("east-a", 1);
    const std::set<std::string> before = sendersOf(edges, "10.9.0.1:80", 3 * kSenders);
    edges.find(*before.begin())->usable = false;
    std::set<std::string> usable = before;
    usable.erase(usable.begin());
    CHECK(sendersOf(edges, "10.9.0.1:80", 3 * kSenders) == usable);
    edges.find(*before.begin())->leaving = true;
    const std::set<std::string> after = sendersOf(edges, "10.9.0.1:80", 3 * kSenders);
    CHECK(after.size() == kSenders);
    CHECK(std::includes(after.begin(), after.end(), usable.begin(), usable.end()));
    for (const std::string& name : after) edges.find(name)->usable = false;
    CHECK_FALSE(after.contains(edges.chooseSender("10.9.0.1:80", kSenders, kNow)->name));
}

TEST_CASE("with many edges, at most half of a receiver's connections are planned for use") {
    CHECK(planCallbacks(8).all_send);
    CHECK(planCallbacks(8).connections_per_sender == 8);
    CHECK(planCallbacks(20).connections_per_sender == 3);
    for (std::uint32_t edges = 33; edges <= 1000; ++edges) {
        const CallbackPlan plan = planCallbacks(edges);
        CHECK_FALSE(plan.all_send);
        CHECK(plan.senders * plan.connections_per_sender <= 32);
    }
}

TEST_CASE("calls are counted by kind and by distance") {
    NodeLocations locations("east-a", twoRegions());
    const NodeAddress near{"10.0.0.1", 7782};
    const NodeAddress far{"10.0.0.2", 7782};
    CHECK_FALSE(locations.distanceTo(near).has_value());
    locations.setZone(near, "east-a");
    locations.setZone(far, "west-a");
    TrafficMeter meter;
    const auto kind = static_cast<std::uint16_t>(MessageKind::accept_message);
    meter.countCall(kind, locations.distanceTo(near), 100);
    meter.countCall(kind, locations.distanceTo(far), 200);
    meter.countCall(kind, locations.distanceTo(far), 200);
    meter.countReply(kind, locations.distanceTo(far), 10);
    const std::string text = meter.text();
    CHECK(text.find("traffic_accept_message_same_zone_calls 1\n") != std::string::npos);
    CHECK(text.find("traffic_accept_message_other_region_calls 2\n") != std::string::npos);
    CHECK(text.find("traffic_accept_message_same_region") == std::string::npos);
    CHECK(text.find("traffic_accept_message_other_region_bytes 455\n") != std::string::npos);
}

TEST_CASE("copies are spread over as many zones and regions as may be lost, and near otherwise") {
    int spread = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        RandomDeployment deployment(seed);
        const Member self = deployment.view.stores[0].member;
        const FaultTolerance tolerance{2, static_cast<std::uint32_t>(deployment.draw(0, 2)),
                                       static_cast<std::uint32_t>(deployment.draw(0, 1))};
        deployment.view.tolerated = 2;
        Placement placement(self.name, self.zone, deployment.topology, tolerance);
        placement.update(deployment.shared());
        Placement near(self.name, self.zone, deployment.topology);
        near.update(deployment.shared());
        for (PartitionId partition = 0; partition < kPartitions; ++partition) {
            const std::vector<std::string> order = placement.replicaOrder(partition);
            const std::vector<std::string> by_distance = near.replicaOrder(partition);
            CHECK(std::is_permutation(order.begin(), order.end(), by_distance.begin(), by_distance.end()));
            if (order.size() < 2) continue;
            const std::set<std::string> holders(order.begin(), order.begin() + 2);
            if (placement.canSpread()) {
                CHECK(placement.isSpread(holders));
                spread += order == by_distance ? 0 : 1;
            }
            const std::set<std::string> nearest(by_distance.begin(), by_distance.begin() + 2);
            if (placement.isSpread(nearest)) CHECK(holders.size() == 2);
        }
    }
    CHECK(spread > 100);
}

TEST_CASE("the loss of one zone is tolerated only if the settings ask for it") {
    const Topology topology = twoRegions();
    const SpreadRule zones(FaultTolerance{1, 1, 0}, topology);
    CHECK_FALSE(zones.isSpread({"east-a"}));
    CHECK(zones.isSpread({"east-a", "east-b"}));
    CHECK(zones.mayAllBeLost({"east-a"}));
    CHECK_FALSE(zones.mayAllBeLost({"east-a", "east-b"}));
    CHECK_FALSE(zones.mayAllBeLost({}));
    const SpreadRule regions(FaultTolerance{1, 0, 1}, topology);
    CHECK_FALSE(regions.isSpread({"east-a", "east-b"}));
    CHECK(regions.isSpread({"east-a", "west-a"}));
    CHECK(regions.mayAllBeLost({"east-a", "east-b"}));
    const SpreadRule machines(FaultTolerance{2, 0, 0}, topology);
    CHECK(machines.isTrivial());
    CHECK(machines.isSpread({"east-a"}));
    CHECK_FALSE(machines.mayAllBeLost({"east-a"}));
}
