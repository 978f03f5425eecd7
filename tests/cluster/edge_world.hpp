// Test fixture with one edge in a simulated world: fake stores own the partitions, and a fake HTTP client
// stands in for the servers.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/common/codec.hpp"
#include "cluster/edge/edge_node.hpp"
#include "tests/cluster/simulation.hpp"

namespace amberswitch::cluster::edge_test {

using namespace amberswitch::cluster::simulation;

inline HttpOutcome answer(int status, HttpHeaders headers = {}, std::string body = "") {
    HttpOutcome outcome;
    outcome.verdict = CallStatus::answered;
    outcome.response.status = status;
    outcome.response.headers = std::move(headers);
    outcome.response.body = std::move(body);
    return outcome;
}
inline HttpOutcome success(const std::string& stamp) {
    return answer(200, {{"Response-Stamp", stamp}});
}
inline HttpOutcome notExecuted(int status) {
    return answer(status, {{"Not-Executed", "1"}});
}
inline HttpOutcome unreachable() {
    HttpOutcome outcome;
    outcome.verdict = CallStatus::not_executed;
    outcome.unreachable = true;
    return outcome;
}
inline HttpOutcome timedOut() {
    HttpOutcome outcome;
    outcome.timed_out = true;
    return outcome;
}
inline HttpOutcome connectionLost() {
    return {};
}

// Stands in for application servers and call-back receivers.
class FakeHttp : public HttpClient {
public:
    struct Sent {
        HttpCall call;
        SteadyTime at;
    };
    // Returns the outcome of a call; nullopt holds the call until release().
    using Script = std::function<std::optional<HttpOutcome>(const HttpCall&)>;

    explicit FakeHttp(World& world) : world_(world) {}

    Script script = [](const HttpCall&) { return success("stamp"); };
    Millis response_delay{10};
    std::vector<Sent> sent;

    void send(HttpCall call, std::function<void(HttpOutcome)> done) override {
        sent.push_back({call, world_.now()});
        ++open_[call.to];
        max_open = std::max(max_open, open_[call.to]);
        const auto finish = [this, to = call.to, done = std::move(done)](HttpOutcome outcome) {
            --open_[to];
            done(std::move(outcome));
        };
        std::optional<HttpOutcome> outcome = script(call);
        if (!outcome) return held_.push_back(finish);
        world_.at(world_.now() + response_delay, [finish, outcome] { finish(*outcome); });
    }
    std::size_t connectionCount(const NodeAddress& address) const override {
        return connected.contains(address) ? 1 : 0;
    }
    void drainConnections(const NodeAddress& address) override { drained_addresses.push_back(address); }

    // Finishes the call that has been held the longest.
    void release(HttpOutcome outcome) {
        const auto finish = held_.front();
        held_.pop_front();
        finish(std::move(outcome));
    }
    std::size_t held() const { return held_.size(); }
    std::size_t sentTo(const NodeAddress& address) const {
        std::size_t count = 0;
        for (const Sent& each : sent) count += each.call.to == address;
        return count;
    }

    std::size_t max_open = 0;
    std::set<NodeAddress> connected;  // addresses with an open connection
    std::vector<NodeAddress> drained_addresses;

private:
    World& world_;
    std::map<NodeAddress, std::size_t> open_;
    std::deque<std::function<void(HttpOutcome)>> held_;
};

// A store whose answers are set by the test and which records the requests it receives.
class FakeStore {
public:
    FakeStore(World& world, Network& network, NodeAddress address)
        : address_(address),
          transport_(std::make_unique<MemoryTransport>(world, network, std::move(address))) {
        transport_->serve(
            [this](const Envelope& request, const Responder& respond) { serve(request, respond); });
    }

    AcceptMessageReply accept_reply{AcceptStatus::stored, true, 1, 1};
    bool answers_accepts = true;
    bool grants_unrequested = false;  // grants even if the edge did not ask for a grant
    bool acknowledges_reports = true;
    StateReply state_reply{QueryStatus::found, Phase::pending, "", "body"};
    std::vector<AcceptMessageRequest> accepts;
    std::vector<RunResult> results;  // acknowledged results
    std::vector<RunResult> unacknowledged;
    std::size_t report_calls = 0;
    std::vector<EdgeSync> syncs;
    std::vector<StateQuery> queries;

    void die() { transport_.reset(); }
    MemoryTransport& transport() { return *transport_; }
    const NodeAddress& address() const { return address_; }

    std::vector<bool> push(World& world, const NodeAddress& edge, GrantPush grants) {
        std::vector<bool> accepted;
        transport_->call(edge, envelope(MessageKind::grant_push, grants), Millis(500),
                         [&](const CallResult& result) {
                             if (const auto answered = decode<GrantPushReply>(result.reply.body))
                                 accepted = answered->accepted;
                         });
        world.run(Millis(20));
        return accepted;
    }

private:
    void serve(const Envelope& request, const Responder& respond) {
        switch (static_cast<MessageKind>(request.kind)) {
            case MessageKind::accept_message:
                accepts.push_back(*decode<AcceptMessageRequest>(request.body));
                if (answers_accepts) respond(reply(acceptReply(accepts.back())));
                return;
            case MessageKind::run_report:
                return report(*decode<RunReport>(request.body), respond);
            case MessageKind::edge_sync:
                syncs.push_back(*decode<EdgeSync>(request.body));
                return respond(reply(EdgeSyncReply{}));
            case MessageKind::state_query:
            case MessageKind::body_query:
                queries.push_back(*decode<StateQuery>(request.body));
                return respond(reply(state_reply));
            default:
                return;
        }
    }
    AcceptMessageReply acceptReply(const AcceptMessageRequest& request) const {
        AcceptMessageReply made = accept_reply;
        made.granted = made.granted && (request.wants_grant || grants_unrequested);
        return made;
    }
    void report(const RunReport& received, const Responder& respond) {
        ++report_calls;
        RunReportReply reply_message;
        for (const RunResult& result : received.results) {
            (acknowledges_reports ? results : unacknowledged).push_back(result);
            reply_message.accepted.push_back(acknowledges_reports);
        }
        respond(reply(reply_message));
    }

    NodeAddress address_;
    std::unique_ptr<MemoryTransport> transport_;
};

inline NodeSettings edgeSettings() {
    NodeSettings settings;
    settings.name = "edge-1";
    settings.zone = "zone-0";
    settings.ip = "10.1.0.1";
    settings.first_port = 7780;
    return settings;
}

// Routes "/plain/" (call-backs allowed), "/ordered/" and "/capped/" (a static endpoint with a rate limit) on
// host.example.
inline std::shared_ptr<Configuration> configuration() {
    auto made = std::make_shared<Configuration>();
    made->generation = 1;
    Route plain;
    plain.name = "plain";
    plain.hostname = "host.example";
    plain.path_prefix = "/plain/";
    plain.type = "deferred";
    plain.service = "desk";
    plain.timeout = Millis(2000);
    plain.target_latency = Millis(120);
    plain.schedule_target = Millis(1000);
    plain.max_retries = 3;
    plain.retention = Millis(90'000);
    plain.callback = true;
    Route ordered = plain;
    ordered.name = "ordered";
    ordered.path_prefix = "/ordered/";
    ordered.ordered = true;
    ordered.callback = false;
    Route capped = plain;
    capped.name = "capped";
    capped.path_prefix = "/capped/";
    capped.service = "partner";
    capped.callback = false;
    made->routes = {plain, ordered, capped};
    Service desk;
    desk.name = "desk";
    desk.max_connections = 96;
    Service partner;
    partner.name = "partner";
    partner.max_connections = 4;
    partner.rate_per_s = 37;
    partner.endpoint = NodeAddress{"172.20.0.3", 8066};
    made->services = {desk, partner};
    made->buildIndexes();
    return made;
}

inline NodeAddress serverAddress(std::size_t index) {
    return {"10.128.0." + std::to_string(index + 1), 8080};
}
inline ServerEntry server(std::size_t index, bool draining = false) {
    ServerEntry entry;
    entry.uid = "i-" + std::to_string(index);
    entry.service = "desk";
    entry.address = serverAddress(index);
    entry.zone = "zone-0";
    entry.capacity = 12;
    entry.draining = draining;
    return entry;
}

class EdgeWorld {
public:
    explicit EdgeWorld(std::uint64_t seed = 1, std::size_t store_count = 3, std::size_t server_count = 3)
        : world(seed), network(world), scheduler(world), http(world) {
        for (std::size_t i = 0; i < store_count; ++i) {
            const NodeAddress address{"10.2.0." + std::to_string(i + 1), 7782};
            stores.push_back(std::make_unique<FakeStore>(world, network, address));
        }
        const NodeSettings settings = edgeSettings();
        edge_address = settings.internalAddress(PortOffset::edge);
        transport = std::make_unique<MemoryTransport>(world, network, edge_address);
        edge = std::make_unique<EdgeNode>(scheduler, *transport, http, settings, Incarnation{7});
        edge->start();
        for (std::size_t i = 0; i < server_count; ++i) servers.push_back(server(i));
    }
    ~EdgeWorld() { scheduler.kill(); }

    // Provides the view, the configuration and the server list that an edge needs. Store p % stores owns
    // partition p.
    void provideAll() {
        edge->onView(view(1));
        edge->onConfiguration(edge_test::configuration());
        listServers(servers);
    }
    std::shared_ptr<StoreView> view(Epoch epoch) const {
        auto made = std::make_shared<StoreView>();
        made->epoch = epoch;
        for (std::size_t i = 0; i < stores.size(); ++i) {
            StoreMember store;
            store.member.name = "store-" + std::to_string(i);
            store.member.kind = NodeKind::store;
            store.member.zone = "zone-" + std::to_string(i);
            store.member.address = stores[i]->address();
            store.member.incarnation = i + 1;
            made->stores.push_back(store);
        }
        for (std::size_t p = 0; p < 12; ++p) {
            PartitionOwner owner;
            owner.owner = static_cast<std::int32_t>(p % stores.size());
            made->partitions.push_back(owner);
        }
        return made;
    }
    // Returns a view in which store `index` is dead and the next store owns its partitions.
    std::shared_ptr<StoreView> viewWithout(Epoch epoch, std::size_t index) const {
        auto made = view(epoch);
        made->stores[index].alive = false;
        for (PartitionOwner& partition : made->partitions) {
            if (partition.owner == static_cast<std::int32_t>(index)) {
                partition.owner = static_cast<std::int32_t>((index + 1) % stores.size());
            }
        }
        return made;
    }
    void listServers(std::vector<ServerEntry> entries) {
        auto made = std::make_shared<ServerList>();
        made->version = {1, ++list_version_};
        made->servers = std::move(entries);
        edge->onServers(made);
    }

    HttpRequest request(const std::string& path, const std::string& id, HttpHeaders more = {}) const {
        HttpRequest made;
        made.method = "POST";
        made.target = path;
        made.headers = {{"Host", "host.example"}, {"Request-Id", id}};
        for (HttpHeader& header : more) made.headers.push_back(std::move(header));
        made.body = "the body";
        return made;
    }
    // Sends a client request and returns the response, or nullopt if none arrives within `span`.
    std::optional<HttpResponse> responseTo(const HttpRequest& asked, Millis span = Millis(3000)) {
        auto response = std::make_shared<std::optional<HttpResponse>>();
        edge->handleClientRequest(asked, [response](HttpResponse given) { *response = std::move(given); });
        world.runUntil([&] { return response->has_value(); }, span);
        return *response;
    }
    int statusOf(const HttpRequest& asked, Millis span = Millis(3000)) {
        const auto response = responseTo(asked, span);
        return response ? response->status : 0;
    }
    Grant grant(const std::string& id, PartitionId partition = 0, std::uint64_t attempt = 1) const {
        Grant made;
        made.content.id = id;
        made.content.service = "desk";
        made.content.method = "POST";
        made.content.host = "host.example";
        made.content.target = "/plain/x?y=1";
        made.content.body = "the body";
        made.content.config_generation = 1;
        made.partition = partition;
        made.epoch = 1;
        made.attempt = attempt;
        made.timeout_ms = 2000;
        return made;
    }
    // Returns a grant of a message on the route to the rate-limited endpoint.
    Grant cappedGrant(const std::string& id) const {
        Grant made = grant(id);
        made.content.service = "partner";
        made.content.target = "/capped/x";
        return made;
    }
    // `process`: the incarnation that the store expects at the edge's address; 0 if unknown.
    std::vector<bool> push(std::size_t store, std::vector<Grant> grants, Incarnation process = 0) {
        return stores[store]->push(world, edge_address,
                                   {"store-" + std::to_string(store), process, std::move(grants)});
    }
    std::vector<RunResult> results() const {
        std::vector<RunResult> all;
        for (const auto& store : stores) all.insert(all.end(), store->results.begin(), store->results.end());
        return all;
    }
    std::size_t acceptRequestCount() const {
        std::size_t count = 0;
        for (const auto& store : stores) count += store->accepts.size();
        return count;
    }
    // Makes every store answer accept requests with `with`.
    void replyToAccepts(AcceptMessageReply with) {
        for (const auto& store : stores) store->accept_reply = with;
    }

    World world;
    Network network;
    SimulatedScheduler scheduler;
    FakeHttp http;
    std::vector<std::unique_ptr<FakeStore>> stores;
    std::unique_ptr<MemoryTransport> transport;
    std::unique_ptr<EdgeNode> edge;
    std::vector<ServerEntry> servers;
    NodeAddress edge_address;

private:
    std::uint64_t list_version_ = 0;
};

}  // namespace amberswitch::cluster::edge_test
