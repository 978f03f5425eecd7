// Test fixture with real edges and real stores on the simulated network. Clients, servers and call-back
// receivers are simulated, and everything they observe is checked against the delivery rules.
#pragma once

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/edge/edge_node.hpp"
#include "tests/cluster/store_world.hpp"
#include "tests/cluster/store_world_edge.hpp"

namespace amberswitch::cluster::edge_store {

using namespace amberswitch::cluster::simulation;

// What the clients and servers observed of one message.
struct ObservedMessage {
    std::string route;
    std::string host;
    std::string target;
    std::string order_key;
    bool is_ordered = true;  // must run in order; all messages of its key that were accepted earlier count
    std::string ref;
    int status = 0;  // of the response to the client; 0 before it
    SteadyTime sent{};
    SteadyTime answered{};
    std::int64_t delay_ms = 0;
    std::optional<SteadyTime> first_run;
    std::optional<SteadyTime> last_run;
    std::optional<SteadyTime> ended;
    std::set<std::string> stamps;
    int runs = 0;
    int failures = 0;
    int failures_answered = 0;
    int failures_read = 0;
    int rejections_answered = 0;
    int rejections_read = 0;
    bool success_read = false;
    int runs_after_read_success = 0;
    bool wants_callback = false;
    int callbacks_delivered = 0;
    std::optional<SteadyTime> first_callback_at;
    std::string state;  // as returned by the final state query
};

// How the simulated servers and the call-back receiver behave; rates are probabilities per request.
struct ServerBehavior {
    double lost_answer_rate = 0;
    double failure_rate = 0;
    double rejection_rate = 0;
    double full_rate = 0;
    Millis mean_response_time{30};
    bool receiver_down = false;
    std::size_t max_receiver_connections = std::numeric_limits<std::size_t>::max();  // further ones are reset
};

// A request of a client. Its path is /ROUTE/REST.
struct ClientSubmission {
    std::string route;
    std::string order_key = {};
    bool callback = false;
    std::int64_t delay_ms = 0;
    std::string rest = "x";
    std::string host = "host.example";
    bool is_ordered = true;  // false: it is sent while its route may not be `ordered`
};

class EdgeStoreFixture;

// The HTTP client of one edge process. Once the process is dead, no call finishes.
class EdgeProcessHttp : public HttpClient {
public:
    explicit EdgeProcessHttp(EdgeStoreFixture& fixture)
        : fixture_(fixture), alive_(std::make_shared<bool>(true)) {}
    ~EdgeProcessHttp() override;
    void send(HttpCall call, std::function<void(HttpOutcome)> done) override;
    std::size_t connectionCount(const NodeAddress&) const override { return 0; }
    void drainConnections(const NodeAddress&) override {}
    std::size_t receiverConnections() const { return receiver_connections_; }

private:
    HttpOutcome run(const HttpCall& call, Millis span);
    void checkBudget(const std::string& id, ObservedMessage& message);
    HttpOutcome handleCallback(const HttpCall& call);
    // Reuses an idle connection to the receiver or opens one. Returns false if the receiver resets it.
    bool connectToReceiver();
    void sendCallback(const HttpCall& call, Millis span, std::function<void(HttpOutcome)> done);

    EdgeStoreFixture& fixture_;
    std::size_t receiver_connections_ = 0;  // kept for the lifetime of the process
    std::size_t receiver_calls_ = 0;        // in progress
    std::shared_ptr<bool> alive_;
};

struct EdgeProcess {
    std::unique_ptr<SimulatedScheduler> scheduler;
    std::unique_ptr<MemoryTransport> transport;
    std::unique_ptr<EdgeProcessHttp> http;
    std::unique_ptr<EdgeNode> node;
    std::int64_t generation = 0;  // of the newest configuration that it has been given
};

class EdgeStoreFixture {
public:
    EdgeStoreFixture(std::uint64_t seed, int edge_count);
    ~EdgeStoreFixture() {
        for (std::size_t i = 0; i < edges.size(); ++i) killEdge(i);
    }

    void startEdge(std::size_t index);
    void killEdge(std::size_t index);
    // Publishes a view of the running machines to all nodes.
    void changeView();
    // Distributes a configuration: every node applies it within `spread`, at a moment of its own. Messages
    // that no route takes any more have ended.
    void configure(std::shared_ptr<Configuration> next, Millis spread = Millis(80));
    void submit(const ClientSubmission& submission);
    void submit(const std::string& route, const std::string& order_key = {}, bool callback = false,
                std::int64_t delay_ms = 0) {
        submit(ClientSubmission{
            .route = route, .order_key = order_key, .callback = callback, .delay_ms = delay_ms});
    }
    // Queries the state of every accepted message.
    void queryStates();
    void check();
    std::size_t accepted() const;
    std::size_t unfinished() const;
    std::string violationText() const;
    World& world() { return stores.world; }

    StoreWorld stores;
    ServerBehavior servers;
    std::vector<EdgeProcess> edges;
    std::map<std::string, ObservedMessage> messages;
    std::vector<std::string> violations;
    std::vector<SteadyTime> limited_arrivals;
    int runs_over_budget = 0;  // runs of messages whose final answer an edge had already read
    std::size_t receiver_connections = 0;
    std::size_t receiver_resets = 0;

private:
    void configureEdge(std::size_t index);
    void endUnroutedMessages();

    Incarnation last_incarnation_ = 1000;
    int last_id_ = 0;
};

inline WorldOptions withoutFakeEdges() {
    WorldOptions options;
    options.edges = 0;
    return options;
}

inline EdgeStoreFixture::EdgeStoreFixture(std::uint64_t seed, int edge_count)
    : stores(seed, withoutFakeEdges()) {
    for (Route& route : stores.configuration->routes) {
        route.hostname = "host.example";
        route.path_prefix = "/" + route.name + "/";
        route.target_latency = Millis(120);
        route.schedule_target = Millis(1000);
        route.callback = route.name == "plain";
    }
    for (Service& service : stores.configuration->services) service.max_connections = 96;
    stores.configuration->buildIndexes();
    stores.options.edges = edge_count;
    for (auto& machine : stores.machines) {
        machine->process->node->setEdgeCount(static_cast<std::uint32_t>(edge_count));
        machine->process->node->onConfiguration(stores.configuration);
    }
    edges.resize(static_cast<std::size_t>(edge_count));
    for (std::size_t i = 0; i < edges.size(); ++i) startEdge(i);
    changeView();
    world().run(Millis(1500));
}

inline void EdgeStoreFixture::startEdge(std::size_t index) {
    NodeSettings settings;
    settings.name = "edge-" + std::to_string(index);
    settings.zone = "zone-" + std::to_string(index % 3);
    settings.ip = "10.5.0." + std::to_string(index + 1);
    settings.first_port = 7780;
    EdgeProcess& process = edges[index];
    process.scheduler = std::make_unique<SimulatedScheduler>(world());
    process.transport = std::make_unique<MemoryTransport>(world(), stores.network,
                                                          settings.internalAddress(PortOffset::edge));
    process.http = std::make_unique<EdgeProcessHttp>(*this);
    process.node = std::make_unique<EdgeNode>(*process.scheduler, *process.transport, *process.http, settings,
                                              ++last_incarnation_);
    process.node->start();
    const auto count = static_cast<std::uint32_t>(edges.size());
    process.node->setEdgeShare({count, count, static_cast<std::uint32_t>(index)});
    configureEdge(index);
}

inline void EdgeStoreFixture::killEdge(std::size_t index) {
    EdgeProcess& process = edges[index];
    if (!process.scheduler) return;
    process.scheduler->kill();
    process.transport.reset();
    process.http.reset();
    process.node.reset();
    process.scheduler.reset();
}

inline void EdgeStoreFixture::configureEdge(std::size_t index) {
    auto list = std::make_shared<ServerList>();
    list->version = {1, 1};
    for (const char* service : {"servers", "board"}) {
        for (int i = 0; i < 3; ++i) {
            ServerEntry entry;
            entry.uid = std::string(service) + std::to_string(i);
            entry.service = service;
            entry.address = {"10.8.0." + std::to_string(i + 1),
                             service[0] == 's' ? std::uint16_t{80} : std::uint16_t{81}};
            entry.zone = "zone-" + std::to_string(i);
            entry.capacity = 12;
            list->servers.push_back(entry);
        }
    }
    EdgeNode& node = *edges[index].node;
    edges[index].generation = stores.configuration->generation;
    node.onView(stores.view);
    node.onConfiguration(stores.configuration);
    node.onServers(list);
}

inline void EdgeStoreFixture::changeView() {
    stores.changeView();
    for (std::size_t i = 0; i < edges.size(); ++i) {
        world().at(world().now() + Millis(static_cast<std::int64_t>(world().chance() * 20)),
                   [this, i, view = stores.view] {
                       if (edges[i].node) edges[i].node->onView(view);
                   });
    }
}

inline void EdgeStoreFixture::endUnroutedMessages() {
    for (auto& [id, message] : messages) {
        const bool is_routed = stores.configuration->match(message.host, message.target) != nullptr;
        if (!message.ended && !is_routed) message.ended = world().now();
    }
}

inline void EdgeStoreFixture::configure(std::shared_ptr<Configuration> next, Millis spread) {
    next->buildIndexes();
    stores.configuration = next;
    endUnroutedMessages();
    const auto later = [this, spread](std::function<void()> apply) {
        const double share = world().chance();
        world().at(world().now() + Millis(static_cast<std::int64_t>(share * double(spread.count()))),
                   std::move(apply));
    };
    for (auto& machine : stores.machines) {
        later([raw = machine.get(), next] {
            if (raw->process) raw->process->node->onConfiguration(next);
        });
    }
    for (std::size_t i = 0; i < edges.size(); ++i) {
        later([this, i, next] {
            std::int64_t& newest = edges[i].generation;
            if (!edges[i].node || newest >= next->generation) return;
            newest = next->generation;
            edges[i].node->onConfiguration(next);
        });
    }
}

inline void EdgeStoreFixture::submit(const ClientSubmission& submission) {
    const auto index = static_cast<std::size_t>(world().chance() * static_cast<double>(edges.size()));
    if (!edges[index].node) return;
    const std::string id = "m" + std::to_string(++last_id_);
    ObservedMessage& message = messages[id];
    message.route = submission.route;
    message.host = submission.host;
    message.target = "/" + submission.route + "/" + submission.rest;
    message.order_key = submission.order_key;
    message.is_ordered = submission.is_ordered;
    message.sent = world().now();
    endUnroutedMessages();  // this one: an edge may still accept it by an older configuration
    message.wants_callback = submission.callback;
    message.delay_ms = submission.delay_ms;
    HttpRequest request;
    request.method = "POST";
    request.target = message.target;
    request.headers = {{"Host", message.host}, {"Request-Id", id}, {"Deadline-Ms", "500"}};
    if (!message.order_key.empty()) request.headers.push_back({"Order-Key", message.order_key});
    if (message.wants_callback) request.headers.push_back({"Callback-Url", "http://10.9.0.7:80/done"});
    if (message.delay_ms > 0) request.headers.push_back({"Delay-Ms", std::to_string(message.delay_ms)});
    request.body = "body of " + id;
    edges[index].node->handleClientRequest(request, [this, id](const HttpResponse& response) {
        ObservedMessage& answered = messages[id];
        answered.status = response.status;
        answered.answered = world().now();
        answered.ref = headerValue(response.headers, "Message-Ref");
        const bool promised_not_stored = response.status == 503;
        if (promised_not_stored && answered.runs > 0) violations.push_back("503: " + id + " had already run");
    });
}

inline EdgeProcessHttp::~EdgeProcessHttp() {
    fixture_.receiver_connections -= receiver_connections_;
    *alive_ = false;
}

inline void EdgeProcessHttp::send(HttpCall call, std::function<void(HttpOutcome)> done) {
    World& world = fixture_.world();
    const auto span =
        Millis(1 + static_cast<std::int64_t>(world.chance() * 2 *
                                             double(fixture_.servers.mean_response_time.count())));
    const bool callback = headerValue(call.request.headers, "Request-Id").empty();
    if (callback) return sendCallback(call, span, std::move(done));
    const HttpOutcome outcome = run(call, span);
    world.at(world.now() + span, [alive = alive_, outcome, done = std::move(done)] {
        if (*alive) done(outcome);
    });
}

// The specified bounds: at most three times the route's maxRetries (3) answers of 500, and at most three
// answers of 422.
inline void EdgeProcessHttp::checkBudget(const std::string& id, ObservedMessage& message) {
    if (message.failures_answered >= 9)
        fixture_.violations.push_back("budget: " + id + " runs after nine answers of 500");
    if (message.rejections_answered >= 3)
        fixture_.violations.push_back("budget: " + id + " runs after three answers of 422");
    const bool budget_used_up = message.failures_read >= 3 || message.rejections_read >= 1;
    if (budget_used_up) ++fixture_.runs_over_budget;
}

inline HttpOutcome EdgeProcessHttp::run(const HttpCall& call, Millis span) {
    World& world = fixture_.world();
    const std::string id(headerValue(call.request.headers, "Request-Id"));
    ObservedMessage& message = fixture_.messages.at(id);
    if (call.request.body != "body of " + id) fixture_.violations.push_back("changed: the body of " + id);
    if (headerValue(call.request.headers, "Order-Key") != message.order_key)
        fixture_.violations.push_back("changed: the order key of " + id);
    checkBudget(id, message);
    if (message.status == 503) fixture_.violations.push_back("503: " + id + " runs although it was refused");
    if (message.route == "limited") fixture_.limited_arrivals.push_back(world.now());
    HttpOutcome outcome;
    outcome.verdict = CallStatus::answered;
    if (world.chance() < fixture_.servers.full_rate) {
        outcome.response.status = 503;
        outcome.response.headers = {{"Not-Executed", "1"}};
        return outcome;
    }
    ++message.runs;
    if (!message.first_run) message.first_run = world.now();
    message.last_run = world.now();
    if (message.success_read) ++message.runs_after_read_success;
    for (const auto& [other_id, other] : fixture_.messages) {
        const bool earlier = other.status == 202 && other.answered < message.sent;
        const bool checked = message.is_ordered && !message.order_key.empty();
        if (!checked || other.order_key != message.order_key || !earlier) continue;
        if (!other.ended)
            fixture_.violations.push_back("order: " + id + " runs before the end of " + other_id);
    }
    const double draw = world.chance();
    const bool failed = draw < fixture_.servers.failure_rate;
    const bool rejected = !failed && draw < fixture_.servers.failure_rate + fixture_.servers.rejection_rate;
    const std::string stamp = "s" + std::to_string(message.runs) + id;
    const bool lost = world.chance() < fixture_.servers.lost_answer_rate;
    outcome.response.status = failed ? 500 : rejected ? 422 : 200;
    if (!failed && !rejected) outcome.response.headers = {{"Response-Stamp", stamp}};
    world.at(world.now() + span, [&fixture = fixture_, alive = alive_, id, failed, rejected, stamp, lost] {
        ObservedMessage& ending = fixture.messages.at(id);
        if (failed) ++ending.failures;
        if (failed) ++ending.failures_answered;
        if (rejected) ++ending.rejections_answered;
        const bool is_read = !lost && *alive;
        if (failed && is_read) ++ending.failures_read;
        if (rejected && is_read) ++ending.rejections_read;
        const bool ends = !failed || ending.failures >= 3;
        if (!failed && !rejected) ending.stamps.insert(stamp);
        if (!failed && !rejected && !lost && *alive) ending.success_read = true;
        if (ends && !ending.ended) ending.ended = fixture.world().now();
    });
    if (lost) return HttpOutcome{};
    return outcome;
}

inline bool EdgeProcessHttp::connectToReceiver() {
    if (receiver_calls_ < receiver_connections_) return true;
    if (fixture_.receiver_connections >= fixture_.servers.max_receiver_connections) {
        ++fixture_.receiver_resets;
        return false;
    }
    ++receiver_connections_;
    ++fixture_.receiver_connections;
    return true;
}

inline void EdgeProcessHttp::sendCallback(const HttpCall& call, Millis span,
                                          std::function<void(HttpOutcome)> done) {
    const bool connected = connectToReceiver();
    const HttpOutcome outcome = connected ? handleCallback(call) : HttpOutcome{};
    if (connected) ++receiver_calls_;
    World& world = fixture_.world();
    world.at(world.now() + span, [this, alive = alive_, connected, outcome, done = std::move(done)] {
        if (!*alive) return;
        if (connected) --receiver_calls_;
        done(outcome);
    });
}

inline HttpOutcome EdgeProcessHttp::handleCallback(const HttpCall& call) {
    HttpOutcome outcome;
    if (fixture_.servers.receiver_down) {
        outcome.verdict = CallStatus::not_executed;
        outcome.unreachable = true;
        return outcome;
    }
    const std::string& body = call.request.body;
    const std::size_t begin = body.find(R"("uid":")") + 7;
    ObservedMessage& message = fixture_.messages.at(body.substr(begin, body.find('"', begin) - begin));
    ++message.callbacks_delivered;
    if (!message.first_callback_at) message.first_callback_at = fixture_.world().now();
    const std::string stamp_key = R"("stamp":")";
    const std::size_t stamp = body.find(stamp_key);
    if (stamp != std::string::npos) {
        const std::size_t from = stamp + stamp_key.size();
        if (!message.stamps.contains(body.substr(from, body.find('"', from) - from))) {
            fixture_.violations.push_back("call-back: its stamp belongs to no run");
        }
    } else if (!message.ended) {
        fixture_.violations.push_back("call-back: dead_letter before the message ended");
    }
    outcome.verdict = CallStatus::answered;
    return outcome;
}

inline void EdgeStoreFixture::queryStates() {
    std::size_t next = 0;
    for (auto& [id, message] : messages) {
        if (message.status != 202) continue;
        while (!edges[next % edges.size()].node) ++next;
        HttpRequest request;
        request.method = "GET";
        request.target = "/message/" + message.ref;
        request.headers = {{"Host", "host.example"}};
        edges[next++ % edges.size()].node->handleClientRequest(
            request, [&message = message](const HttpResponse& response) {
                message.state = response.status == 200 ? response.body : std::to_string(response.status);
            });
        if (next % 20 == 0) world().run(Millis(20));
    }
    world().run(Millis(2500));
}

inline void EdgeStoreFixture::check() {
    queryStates();
    for (const auto& [id, message] : messages) {
        if (message.status != 202) continue;
        if (!message.ended) violations.push_back("lost: " + id + " has not ended");
        const bool completed = message.state.find("completed") != std::string::npos;
        const bool dead = message.state.find("dead_letter") != std::string::npos;
        if (!completed && !dead) violations.push_back("state: " + id + " is " + message.state);
        if (completed && message.stamps.empty())
            violations.push_back("state: " + id + " is completed without a stamp");
        if (message.wants_callback && message.callbacks_delivered == 0) {
            violations.push_back("call-back: none for " + id);
        }
    }
}

inline std::size_t EdgeStoreFixture::accepted() const {
    std::size_t count = 0;
    for (const auto& [id, message] : messages) count += message.status == 202;
    return count;
}

inline std::size_t EdgeStoreFixture::unfinished() const {
    std::size_t count = 0;
    for (const auto& [id, message] : messages) count += message.status == 202 && !message.ended;
    return count;
}

inline std::string EdgeStoreFixture::violationText() const {
    std::string text;
    for (std::size_t i = 0; i < violations.size() && i < 10; ++i) text += violations[i] + "\n";
    return text;
}

}  // namespace amberswitch::cluster::edge_store
