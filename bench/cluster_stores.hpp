// Two store processes, each with its own ring, that own one partition each and replicate to each other.
#pragma once

#include <filesystem>
#include <memory>
#include <optional>

#include "bench/cluster_bench_support.hpp"
#include "cluster/common/tcp_transport.hpp"
#include "cluster/storage/ring_store.hpp"
#include "cluster/storage/store_node.hpp"

namespace amberswitch::cluster::bench {

constexpr Millis kStartUp{3000};  // views, promises and the wait for what edges run
constexpr std::uint64_t kRingBytes = 700u << 20;

// A configuration of one route. `endpoint`: of its service; nothing where nobody delivers.
inline std::shared_ptr<Configuration> oneRoute(std::optional<NodeAddress> endpoint = std::nullopt) {
    auto configuration = std::make_shared<Configuration>();
    configuration->generation = 1;
    Route route;
    route.name = "plain";
    route.hostname = "a.example";
    route.path_prefix = "/";
    route.type = "deferred";
    route.service = "servers";
    route.max_retries = 3;
    route.timeout = Millis(1000);
    route.retention = Millis(600'000);
    configuration->routes.push_back(route);
    Service service;
    service.name = "servers";
    service.max_connections = 1000;
    service.endpoint = std::move(endpoint);
    configuration->services.push_back(service);
    configuration->buildIndexes();
    return configuration;
}

// Two stores, a partition each; one view for all of a run.
class Stores {
public:
    explicit Stores(const std::string& folder) {
        view_ = std::make_shared<StoreView>();
        view_->epoch = 1;
        view_->tolerated = 1;
        for (int i = 0; i < 2; ++i) {
            StoreMember store;
            store.member.name = "store-" + std::to_string(i);
            store.member.kind = NodeKind::store;
            store.member.zone = "zone-" + std::to_string(i);
            store.member.address = {"127.0.0.1", freePort()};
            store.member.incarnation = static_cast<Incarnation>(i + 1);
            view_->stores.push_back(store);
            PartitionOwner owner;
            owner.owner = i;
            view_->partitions.push_back(owner);
        }
        for (std::size_t i = 0; i < 2; ++i) {
            children_.push_back(std::make_unique<ChildProcess>([this, i, folder] { play(i, folder); }));
        }
    }
    const std::shared_ptr<StoreView>& view() const { return view_; }
    const ChildProcess& owner() const { return *children_[0]; }
    const ChildProcess& replica() const { return *children_[1]; }
    NodeAddress address() const { return view_->stores[0].member.address; }

private:
    void play(std::size_t index, const std::string& folder) {
        const Member& self = view_->stores[index].member;
        EventLoop loop;
        TcpTransport transport(loop, self.address);
        RingOptions options;
        options.capacity_bytes = kRingBytes;
        RingStore disk(loop, folder + "/" + self.name, options);
        NodeSettings settings;
        settings.name = self.name;
        settings.zone = self.zone;
        settings.ip = self.address.ip;
        settings.bootstrap = true;
        StoreNode node(loop, transport, disk, settings, self.incarnation);
        node.start();
        node.setEdgeCount(1);
        node.onConfiguration(oneRoute());
        node.onView(view_);
        loop.run();
    }

    std::shared_ptr<StoreView> view_;
    std::vector<std::unique_ptr<ChildProcess>> children_;
};

// An empty folder of that name.
inline std::string freshFolder(const std::string& base) {
    std::filesystem::remove_all(base);
    std::filesystem::create_directories(base);
    return base;
}

}  // namespace amberswitch::cluster::bench
