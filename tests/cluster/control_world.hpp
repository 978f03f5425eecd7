// Fakes and a small simulated cluster of core machines for the tests of the control plane.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/common/codec.hpp"
#include "cluster/control/configuration_history.hpp"
#include "cluster/control/control_node.hpp"
#include "cluster/control/core_client.hpp"
#include "cluster/storage/record_store.hpp"
#include "tests/cluster/simulation.hpp"

namespace amberswitch::cluster::simulation {

inline constexpr std::uint16_t kFirstPort = 7780;

// The durable content of a disk.
using DiskContent = std::map<std::string, std::string, std::less<>>;

// A disk whose unsynced writes are lost with the process, as in a power failure.
class FakeDisk : public RecordStore {
public:
    FakeDisk(Scheduler& scheduler, DiskContent& durable)
        : scheduler_(scheduler), durable_(durable), current_(durable), was_empty_(durable.empty()) {}

    bool put(std::string_view key, std::string_view value) override {
        return healthy_ && putFromReserve(key, value);
    }
    bool putFromReserve(std::string_view key, std::string_view value) override {
        current_[std::string(key)] = value;
        return true;
    }
    void erase(std::string_view key) override { current_.erase(std::string(key)); }
    void sync(std::function<void(bool)> done) override {
        ++syncs;
        timers_.push_back(scheduler_.after(Millis(2), [this, staged = current_, done = std::move(done)] {
            if (fails && healthy_) setHealthy(false);
            const bool works = healthy_;
            if (works) durable_ = staged;
            done(works);
        }));
    }
    bool healthy() const override { return healthy_; }
    void onHealthChange(std::function<void(bool)> listener) override { listener_ = std::move(listener); }
    std::optional<std::string> read(std::string_view key) const override {
        const auto found = current_.find(key);
        if (found == current_.end()) return std::nullopt;
        return found->second;
    }
    void forEach(const std::function<void(std::string_view, const std::string&)>& visit) const override {
        for (const auto& [key, value] : current_) visit(key, value);
    }
    StoreUsage usage() const override { return {}; }
    bool wasEmpty() const override { return was_empty_; }

    bool hasMissingRecords() const override { return lacks_records; }

    bool fails = false;  // all syncs from the next one on fail
    std::uint64_t syncs = 0;
    bool lacks_records = false;

private:
    void setHealthy(bool healthy) {
        healthy_ = healthy;
        if (!healthy) retryLater();
        if (listener_) listener_(healthy);
    }
    void retryLater() {
        retry_ = scheduler_.after(Millis(250), [this] {
            if (fails) return retryLater();
            durable_ = current_;
            setHealthy(true);
        });
    }

    Scheduler& scheduler_;
    DiskContent& durable_;
    DiskContent current_;
    bool was_empty_;
    bool healthy_ = true;
    std::function<void(bool)> listener_;
    TimerHandle retry_;
    std::vector<TimerHandle> timers_;
};

// The server list API of the platform, with paging.
class FakeCloud : public HttpClient {
public:
    explicit FakeCloud(World& world) : world_(world) {}

    void send(HttpCall call, std::function<void(HttpOutcome)> done) override {
        targets.push_back(call.request.target);
        call_times.push_back(world_.now());
        HttpOutcome outcome;
        if (silent) {
            outcome.timed_out = true;
            world_.at(world_.now() + call.timeout, [done, outcome] { done(outcome); });
            return;
        }
        outcome.verdict = CallStatus::answered;
        outcome.response = answer(call.request.target);
        world_.at(world_.now() + Millis(2), [done, outcome] { done(outcome); });
    }
    std::size_t connectionCount(const NodeAddress&) const override { return 0; }
    void drainConnections(const NodeAddress&) override {}

    std::vector<std::string> pages;  // bodies, in order
    std::vector<std::string> targets;
    std::vector<SteadyTime> call_times;
    int refuse_next = 0;  // calls answered with 429
    bool silent = false;

    // Returns the JSON of one instance.
    static std::string instance(const std::string& uid, const std::string& phase = "ready",
                                int warmup_ms = 0) {
        return R"({"backend":"desk","address":"10.9.0.9:8080","zone":"a","generation":"v1","capacity":6,"phase":")" +
               phase + R"(","warmupRemainingMs":)" + std::to_string(warmup_ms) + R"(,"uid":")" + uid +
               R"("})";
    }
    static std::string page(const std::string& instances, const std::string& next_token = {}) {
        const std::string token = next_token.empty() ? "null" : "\"" + next_token + "\"";
        return R"({"instances":[)" + instances + R"(],"nextPageToken":)" + token + "}";
    }
    // Returns the token of the page at that index; it needs URL escaping.
    static std::string token(std::size_t index) { return "p&" + std::to_string(index); }

private:
    HttpResponse answer(const std::string& target) {
        HttpResponse response;
        if (refuse_next > 0) {
            --refuse_next;
            response.status = 429;
            return response;
        }
        std::size_t index = 0;
        const std::string prefix = "/instances?pageToken=p%26";
        if (target != "/instances") index = std::stoul(target.substr(prefix.size()));
        response.body = pages.at(index);
        return response;
    }
    World& world_;
};

// Returns a valid configuration of that generation; `note` makes bodies of one generation differ.
inline std::string configurationJson(std::int64_t generation, const std::string& note = "desk") {
    return R"({"generation":)" + std::to_string(generation) +
           R"(,"routes":[{"name":"r-1","hostname":"a.example","pathPrefix":"/one/","type":"deferred",)"
           R"("timeoutMs":2000,"targetLatencyMs":120,"priority":2,"backend":")" +
           note +
           R"(","maxRetries":4,"ordered":false,"retentionS":90.0,"callbackUrl":false,)"
           R"("scheduleTargetMs":1500}],"services":[{"name":")" +
           note +
           R"(","healthCheck":"/healthz","maxConnections":96,"protocol":"h1","tls":false,)"
           R"("ratePerS":0.0,"idempotent":false,"pull":false,"static":null}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

// Returns the single page with the whole configuration of that generation.
inline ConfigurationPage configurationPage(std::int64_t generation) {
    ConfigurationHistory history;
    history.add({generation, configurationJson(generation), {}});
    return history.updateFrom({}).pageAfter({});
}

// One core machine, whose disk content persists while its process is started and killed.
class CoreMachine {
public:
    CoreMachine(World& world, Network& network, FakeCloud& cloud, NodeSettings settings)
        : world_(world), network_(network), cloud_(cloud), settings_(std::move(settings)) {}
    ~CoreMachine() { kill(); }

    void start() {
        scheduler_ = std::make_unique<SimulatedScheduler>(world_);
        disk_ = std::make_unique<FakeDisk>(*scheduler_, content_);
        transport_ =
            std::make_unique<MemoryTransport>(world_, network_, settings_.internalAddress(PortOffset::core));
        node_ = std::make_unique<ControlNode>(*scheduler_, *transport_, cloud_, *disk_, settings_,
                                              world_.random()());
        node_->start();
    }
    void kill() {
        if (scheduler_) scheduler_->kill();
        transport_.reset();
        node_.reset();
        disk_.reset();
        scheduler_.reset();
        settings_.bootstrap = false;
    }
    // Pauses the process for that time.
    void freeze(Millis span) {
        scheduler_->freeze(span);
        network_.freeze(settings_.ip, span);
    }
    void wipe() { content_.clear(); }
    DiskContent& content() { return content_; }
    const DiskContent& diskContent() const { return content_; }
    // The disk refuses every sync while it fails.
    void failDisk(bool fails) {
        if (disk_) disk_->fails = fails;
    }
    bool runs() const { return node_ != nullptr; }
    ControlNode& node() { return *node_; }
    FakeDisk& disk() { return *disk_; }
    NodeSettings& settings() { return settings_; }
    const std::string& ip() const { return settings_.ip; }
    std::uint64_t syncs() const { return disk_->syncs; }
    bool statusHas(const std::string& text) const {
        return node_ && node_->statusJson().find(text) != std::string::npos;
    }
    bool votes() const { return statusHas("\"votes\":true"); }
    bool leads() const { return statusHas("\"leads\":true"); }

private:
    World& world_;
    Network& network_;
    FakeCloud& cloud_;
    NodeSettings settings_;
    DiskContent content_;
    std::unique_ptr<SimulatedScheduler> scheduler_;
    std::unique_ptr<FakeDisk> disk_;
    std::unique_ptr<MemoryTransport> transport_;
    std::unique_ptr<ControlNode> node_;
};

// An edge or a store that only communicates with the core.
class ClientProcess {
public:
    ClientProcess(World& world, Network& network, Member member, std::vector<NodeAddress> core)
        : scheduler_(world), network_(network), ip_(member.address.ip) {
        member.incarnation = world.random()() | 1;
        transport_ = std::make_unique<MemoryTransport>(world, network, member.address);
        CoreClient::Callbacks callbacks;
        callbacks.on_configuration = [this](auto configuration) {
            generations.push_back(configuration->generation);
            if (on_configuration) on_configuration(*configuration);
        };
        callbacks.on_servers = [this](auto servers) { server_versions.push_back(servers->version); };
        callbacks.on_view = [this](auto view) { epochs.push_back(view->epoch); };
        client_ = std::make_unique<CoreClient>(scheduler_, *transport_, member, std::move(core), locations_,
                                               callbacks);
        client_->start();
        transport_->serve([this](const Envelope& request, const Responder& respond) {
            const auto message = decode<PeeringProgressRequest>(request.body);
            const bool asked = static_cast<MessageKind>(request.kind) == MessageKind::peering_progress;
            if (!asked || !message) return;
            const auto view = client_->view();
            respond(reply(PeeringProgressReply{peers && view && view->epoch == message->epoch}));
        });
    }
    ~ClientProcess() {
        scheduler_.kill();
        transport_.reset();
    }
    CoreClient& client() { return *client_; }
    // Pauses the process for that time.
    void freeze(Millis span) {
        scheduler_.freeze(span);
        network_.freeze(ip_, span);
    }

    std::function<void(const Configuration&)> on_configuration;
    std::vector<std::int64_t> generations;
    std::vector<ServerListVersion> server_versions;
    std::vector<Epoch> epochs;
    bool peers = true;  // as a store, reports that its partitions have finished peering

private:
    SimulatedScheduler scheduler_;
    Network& network_;
    std::string ip_;
    std::unique_ptr<MemoryTransport> transport_;
    NodeLocations locations_{"a", {}};
    std::unique_ptr<CoreClient> client_;
};

// A cluster of core machines (by default three), a platform, and any number of clients.
class ControlWorld {
public:
    explicit ControlWorld(std::uint64_t seed, std::size_t core_machines = 3)
        : world(seed), network(world), cloud(world) {
        cloud.pages = {FakeCloud::page(FakeCloud::instance("i-1"))};
        for (std::size_t index = 0; index < core_machines; ++index) addCore(index, core_machines);
    }
    ~ControlWorld() { clients.clear(); }

    // Starts all machines at random moments within 0.3 s.
    void startAll() {
        for (auto& machine : core) {
            const Millis delay{static_cast<std::int64_t>(world.chance() * 300)};
            world.at(world.now() + delay, [&machine] { machine->start(); });
        }
        world.run(Millis(300));
    }
    ClientProcess& addClient(const std::string& name, NodeKind kind, const std::string& ip) {
        Member member;
        member.name = name;
        member.kind = kind;
        member.zone = "a";
        member.address = {ip, static_cast<std::uint16_t>(kFirstPort + (kind == NodeKind::edge ? 1 : 2))};
        clients[name] = std::make_unique<ClientProcess>(world, network, member, coreAddresses());
        return *clients[name];
    }
    std::vector<NodeAddress> coreAddresses() const {
        std::vector<NodeAddress> addresses;
        for (const auto& machine : core)
            addresses.push_back(machine->settings().internalAddress(PortOffset::core));
        return addresses;
    }
    CoreMachine* leader() {
        for (auto& machine : core) {
            if (machine->leads()) return machine.get();
        }
        return nullptr;
    }
    // Makes one HTTP call to the control address of a core machine; status 0 if there is no response within
    // `wait`.
    HttpResponse call(CoreMachine& machine, const HttpRequest& request, Millis wait = Millis(3000)) {
        const auto answer = std::make_shared<HttpResponse>();
        answer->status = 0;
        machine.node().handleHttp(request,
                                  [answer](HttpResponse response) { *answer = std::move(response); });
        world.runUntil([answer] { return answer->status != 0; }, wait);
        return *answer;
    }
    static HttpRequest replaceRequest(std::int64_t base, const std::string& body) {
        return {"POST", "/Config.Replace", {{"Base-Version", std::to_string(base)}}, body};
    }
    int replace(CoreMachine& machine, std::int64_t base, const std::string& body) {
        return call(machine, replaceRequest(base, body)).status;
    }
    HttpResponse read(CoreMachine& machine) { return call(machine, {"GET", "/Config.Read", {}, {}}); }

    World world;
    Network network;
    FakeCloud cloud;
    std::vector<std::unique_ptr<CoreMachine>> core;
    std::map<std::string, std::unique_ptr<ClientProcess>> clients;

private:
    void addCore(std::size_t index, std::size_t count) {
        NodeSettings settings;
        settings.name = "core-" + std::to_string(index);
        settings.zone = "a";
        settings.ip = "10.0.0." + std::to_string(index + 1);
        settings.first_port = kFirstPort;
        settings.last_port = kFirstPort + 15;
        settings.bootstrap = true;
        settings.tolerance.machines = 1;
        settings.cloud = CloudSettings{{"10.200.0.1", 8065}, 44.0, Millis(800)};
        for (std::size_t seed = 0; seed < count && seed < 3; ++seed) {
            settings.seeds.push_back({"10.0.0." + std::to_string(seed + 1), 8064});
        }
        core.push_back(std::make_unique<CoreMachine>(world, network, cloud, settings));
    }
};

}  // namespace amberswitch::cluster::simulation
