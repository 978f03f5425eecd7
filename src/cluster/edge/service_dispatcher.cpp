#include "cluster/edge/service_dispatcher.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "cluster/common/invariant.hpp"

namespace amberswitch::cluster {
namespace {

using heronmount::Outcome;
using heronmount::RequestId;
using heronmount::Worker;
using heronmount::WorkerStatus;

constexpr std::uint32_t kMaxSends = 3;  // per grant; all but the last are certain not to have run
constexpr Millis kAnswerGrace{100};     // the server itself answers 504 when its Deadline-Ms expires
// Longest wait for a free connection before the grant goes back to its owner.
constexpr Millis kMaxQueueTime{1000};
constexpr double kEndpointConnectionShare = 0.9;  // of an endpoint's connection limit; the rest is a reserve
constexpr std::chrono::seconds kWarmUp{3};        // time over which the share of a cold server grows
// With this cost, a server in another zone is chosen once the servers of the edge's own zone each hold about
// one more message of this edge.
constexpr double kCrossZoneCost = 0.03;
// Multiplies the cross-zone cost for servers in another region.
constexpr double kCrossRegionFactor = 4;
constexpr double kRebuildRatio = 1.5;  // change of the number of edges that makes the module be rebuilt

std::uint64_t hashOf(std::string_view text) {
    return XXH64(text.data(), text.size(), 0);
}

}  // namespace

ServiceDispatcher::ServiceDispatcher(Scheduler& scheduler, HttpClient& servers, EdgeCounters& counters,
                                     std::string edge, std::string zone, Topology topology,
                                     RouteCheck follows_configuration, FinishedHandler on_finished)
    : scheduler_(scheduler),
      http_(servers),
      counters_(counters),
      edge_(std::move(edge)),
      zone_(std::move(zone)),
      topology_(std::move(topology)),
      follows_configuration_(std::move(follows_configuration)),
      on_finished_(std::move(on_finished)),
      module_timers_(scheduler, [this](std::uint64_t tag) { notifyModule(heronmount::TimerFired{tag}); }) {
    zoneIndex(zone_);
}

// --- Settings and servers ---------------------------------------------------------------------------------

void ServiceDispatcher::setService(const Service& service, Millis schedule_target, EdgeShare share) {
    service_ = service;
    schedule_target_ = schedule_target;
    share_ = share;
    share_.edges = std::max<std::uint32_t>(1, share.edges);
    const std::uint32_t attempts = service_.rate_per_s > 0 ? 1 : kMaxSends;
    const double change = static_cast<double>(share_.edges) / std::max<std::uint32_t>(1, module_edges_);
    const bool resized = change > kRebuildRatio || change < 1 / kRebuildRatio;
    if (!module_ || resized || attempts != module_attempts_) {
        module_attempts_ = attempts;
        rebuildModule();
    }
    if (service_.endpoint) {
        const ServerEntry endpoint{"", service_.name, *service_.endpoint, zone_, 1, false, 0};
        setServers({&endpoint});
    }
}

heronmount::Settings ServiceDispatcher::moduleSettings() const {
    heronmount::Settings settings;
    heronmount::ClassSettings messages;
    messages.targetLatency = schedule_target_;
    messages.clientTimeout = std::chrono::seconds(60);
    // Attempts that may have run are reported as settled, so that none is repeated within a grant. `keyed`
    // lets a server that failed return after a single trial request.
    messages.idempotency = heronmount::Idempotency::keyed;
    messages.dedupScope = heronmount::DedupScope::all;
    messages.dedupWindow = messages.clientTimeout;
    messages.stretch = 1;
    settings.classes = {messages};
    settings.schedulerCount = share_.edges;
    settings.schedulerIndex = static_cast<std::uint32_t>(hashOf(edge_) % share_.edges);
    settings.maxAttempts = module_attempts_;
    settings.weights = heronmount::Weights::nominal;
    settings.handshakeCost = 1;  // connections are kept alive
    settings.crossZoneCost = kCrossZoneCost;
    // No budget for cold servers: they queue requests and refuse what they cannot take, and a budget derived
    // from the recent throughput of this edge would block all requests when all servers of a service start at
    // once.
    settings.warmup = heronmount::Nanos(0);
    return settings;
}

void ServiceDispatcher::rebuildModule() {
    ++module_generation_;
    module_edges_ = share_.edges;
    module_timers_.clear();
    const std::uint64_t seed = hashOf(edge_ + '/' + service_.name) + module_generation_;
    module_ = std::make_unique<heronmount::Dispatcher>(moduleSettings(), seed);
    sendRoster();
    std::vector<RequestId> waiting;
    for (auto& [id, delivery] : deliveries_) {
        if (delivery.known_to_module && !delivery.in_flight) waiting.push_back(id);
    }
    for (const RequestId id : waiting) {
        deliveries_[id].known_to_module = false;
        --requests_in_module_;
        deliveries_[id].sends = 0;
        submitToModule(id);
    }
}

heronmount::Time ServiceDispatcher::moduleTime() const {
    return scheduler_.now().time_since_epoch();
}

int ServiceDispatcher::zoneIndex(const std::string& zone) {
    return zones_.try_emplace(zone, static_cast<int>(zones_.size())).first->second;
}

void ServiceDispatcher::setServers(const std::vector<const ServerEntry*>& listed) {
    bool changed = false;
    std::vector<bool> seen(servers_.size(), false);
    const std::set<std::string> usable = chooseUsable(listed);
    for (const ServerEntry* const entry : listed) {
        if (service_.endpoint && !entry->uid.empty()) continue;
        changed = updateServer(entry->uid, *entry, usable.contains(entry->uid)) || changed;
        const Worker handle = handles_[entry->uid];
        seen.resize(servers_.size(), false);
        seen[handle] = true;
    }
    for (Worker handle = 0; handle < servers_.size(); ++handle) {
        if (seen[handle] || servers_[handle].entry.status == WorkerStatus::off) continue;
        servers_[handle].entry.status = WorkerStatus::off;
        servers_[handle].usable = false;
        changed = true;
        http_.drainConnections(servers_[handle].address);
    }
    if (!changed) return;
    usable_servers_ = static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [](const Server& server) { return server.usable; }));
    sendRoster();
    if (usable_servers_ == 0) handBackWaiting();
    startQueued();
}

// Returns the uids of the servers that are not draining, restricted to this edge's subset.
std::set<std::string> ServiceDispatcher::chooseUsable(const std::vector<const ServerEntry*>& listed) {
    if (service_.endpoint) {
        // Partition owners choose the few edges that connect to a static endpoint, and may choose any edge.
        const double each = kEndpointConnectionShare * service_.max_connections / share_.edges;
        connections_per_server_ = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(each));
        available_servers_ = 1;
        return {std::string()};
    }
    std::vector<ServerLocation> locations;
    for (const ServerEntry* const entry : listed) {
        if (!entry->draining) locations.push_back({entry->uid, entry->zone});
    }
    const ServerSubset subset = chooseServers(locations, topology_, zone_, service_.max_connections, share_);
    connections_per_server_ = subset.connections_per_server;
    available_servers_ = locations.size();
    std::set<std::string> usable;
    for (std::size_t index = 0; index < locations.size(); ++index) {
        if (subset.chosen[index]) usable.insert(locations[index].uid);
    }
    return usable;
}

bool ServiceDispatcher::updateServer(const std::string& uid, const ServerEntry& listed, bool usable) {
    const auto [at, fresh] = handles_.try_emplace(uid, static_cast<Worker>(servers_.size()));
    if (fresh) {
        Server& added = servers_.emplace_back();
        added.uid = uid;
        added.entry.worker = at->second;
        added.entry.id = hashOf(uid);
        if (listed.warmup_remaining_ms > 0) {
            const Millis remaining(listed.warmup_remaining_ms);
            added.entry.startedAt = std::max(heronmount::Time(1), moduleTime() + remaining - kWarmUp);
        }
    }
    Server& server = servers_[at->second];
    const WorkerStatus standing = usable ? WorkerStatus::on : WorkerStatus::draining;
    if (server.usable && !usable && !listed.draining) http_.drainConnections(listed.address);
    const double units = std::max<std::uint32_t>(1, listed.capacity);
    const int zone = zoneIndex(listed.zone);
    const bool changed = fresh || server.entry.status != standing || server.entry.weight != units ||
                         server.entry.zone != zone || server.address != listed.address;
    server.address = listed.address;
    server.entry.status = standing;
    server.entry.weight = units;
    server.entry.zone = zone;
    server.entry.zoneCostFactor =
        topology_.distanceBetween(zone_, listed.zone) == Distance::other_region ? kCrossRegionFactor : 1;
    server.usable = standing == WorkerStatus::on;
    return changed;
}

void ServiceDispatcher::sendRoster() {
    if (!module_ || servers_.empty()) return;
    heronmount::RosterUpdate update;
    update.mode = heronmount::RosterMode::full;
    for (const Server& server : servers_) update.entries.push_back(server.entry);
    notifyModule(std::move(update));
}

bool ServiceDispatcher::isConnected() const {
    return !service_.endpoint || http_.connectionCount(*service_.endpoint) > 0;
}

// --- Deliveries -------------------------------------------------------------------------------------------

void ServiceDispatcher::start(Grant grant) {
    const RequestId id = ++last_id_;
    Delivery& delivery = deliveries_[id];
    delivery.grant = std::move(grant);
    if (!hasServer()) {
        ++counters_.no_server;
        return finish(id, {RunOutcome::not_run, "", available_servers_ == 0});
    }
    if (queued_.empty() && hasRoom()) return submitToModule(id);
    delivery.queued_until = scheduler_.now() + kMaxQueueTime;
    queued_.push_back(id);
    startQueued();
}

bool ServiceDispatcher::hasRoom() const {
    return requests_in_module_ < std::size_t{connections_per_server_} * usable_servers_;
}

void ServiceDispatcher::submitToModule(RequestId id) {
    Delivery& delivery = deliveries_[id];
    delivery.known_to_module = true;
    ++requests_in_module_;
    heronmount::RequestArrived arrival;
    arrival.id = id;
    arrival.timeLeft = Millis(std::max<std::int64_t>(1, delivery.grant.timeout_ms));
    notifyModule(arrival);
}

void ServiceDispatcher::startQueued() {
    while (!queued_.empty() && hasRoom()) {
        const RequestId id = queued_.front();
        queued_.pop_front();
        submitToModule(id);
    }
    while (!queued_.empty() && deliveries_[queued_.front()].queued_until <= scheduler_.now()) {
        const RequestId id = queued_.front();
        queued_.pop_front();
        ++counters_.no_free_connection;
        finish(id, {RunOutcome::not_run, "", false});
    }
    if (queued_.empty()) return queue_timer_.reset();
    const auto wait = std::chrono::ceil<Millis>(deliveries_[queued_.front()].queued_until - scheduler_.now());
    queue_timer_ = scheduler_.after(wait, [this] { startQueued(); });
}

void ServiceDispatcher::handBackWaiting() {
    std::vector<RequestId> waiting;
    for (const auto& [id, delivery] : deliveries_) {
        if (!delivery.in_flight) waiting.push_back(id);
    }
    handBack(waiting, {RunOutcome::not_run, "", available_servers_ == 0});
}

void ServiceDispatcher::handBackMisdirected() {
    std::vector<RequestId> waiting;
    for (const auto& [id, delivery] : deliveries_) {
        if (!delivery.in_flight && !follows_configuration_(delivery.grant)) waiting.push_back(id);
    }
    counters_.misdirected += waiting.size();
    handBack(waiting, {RunOutcome::not_run, "", false});
}

void ServiceDispatcher::handBack(const std::vector<RequestId>& waiting, const DeliveryResult& result) {
    if (waiting.empty()) return;
    for (const RequestId id : waiting) {
        // Notifying the module of one delivery may have started or finished another.
        const auto found = deliveries_.find(id);
        if (found == deliveries_.end() || found->second.in_flight) continue;
        if (found->second.known_to_module) notifyModule(heronmount::ClientLeft{id});
        finish(id, result);
    }
    std::erase_if(queued_, [this](const RequestId id) { return !deliveries_.contains(id); });
    startQueued();
}

// --- Decision module --------------------------------------------------------------------------------------

void ServiceDispatcher::notifyModule(heronmount::Event event) {
    pending_events_.push_back(std::move(event));
    if (processing_events_) return;
    processing_events_ = true;
    while (!pending_events_.empty()) {
        const heronmount::Event next = std::move(pending_events_.front());
        pending_events_.pop_front();
        actions_.clear();
        module_->on(moduleTime(), next, actions_);
        const std::vector<heronmount::Action> actions = std::exchange(actions_, {});
        for (const heronmount::Action& action : actions) execute(action);
    }
    processing_events_ = false;
}

void ServiceDispatcher::execute(const heronmount::Action& action) {
    if (const auto* const wanted = std::get_if<heronmount::Send>(&action)) return send(*wanted);
    if (const auto* const refuse = std::get_if<heronmount::Refuse>(&action)) return onGivenUp(refuse->id);
    if (const auto* const fail = std::get_if<heronmount::Fail>(&action)) return onGivenUp(fail->id);
    if (const auto* const timer = std::get_if<heronmount::SetTimer>(&action)) {
        return module_timers_.set(timer->delay, timer->tag);
    }
    if (const auto* const idle = std::get_if<heronmount::CloseIdle>(&action)) {
        http_.drainConnections(servers_[idle->worker].address);
    }
}

void ServiceDispatcher::send(const heronmount::Send& action) {
    const auto found = deliveries_.find(action.id);
    if (found == deliveries_.end()) return;
    Delivery& delivery = found->second;
    const std::uint32_t attempt = delivery.sends++;
    const Server& server = servers_[action.worker];
    const bool has_connection = server.in_flight < connections_per_server_;
    if (server.usable && has_connection && follows_configuration_(delivery.grant))
        return post(action.id, delivery, action.worker);
    if (server.usable && !has_connection) ++counters_.no_free_connection;
    delivery.all_unreachable = false;  // no connection was attempted
    heronmount::AttemptEnded ended;
    ended.id = action.id;
    ended.attempt = attempt;
    ended.outcome = Outcome::notExecuted;
    notifyModule(ended);
}

void ServiceDispatcher::post(RequestId id, Delivery& delivery, Worker worker) {
    checkInvariant(Invariant::one_run_in_a_grant, !delivery.may_have_run, delivery.grant.content.id);
    checkInvariant(Invariant::delivery_follows_configuration, follows_configuration_(delivery.grant),
                   delivery.grant.content.id);
    Server& server = servers_[worker];
    ++server.in_flight;
    ++counters_.sends;
    delivery.in_flight = true;
    delivery.sent_at = scheduler_.now();
    HttpCall call;
    call.to = server.address;
    call.request = requestFor(delivery.grant, server.uid);
    call.timeout = Millis(delivery.grant.timeout_ms) + kAnswerGrace;
    call.max_connections = connections_per_server_;
    const std::uint32_t attempt = delivery.sends - 1;
    http_.send(std::move(call),
               [this, id, worker, generation = module_generation_, attempt](const HttpOutcome& outcome) {
                   onOutcome(id, worker, generation, attempt, outcome);
               });
}

HttpRequest ServiceDispatcher::requestFor(const Grant& grant, const std::string& uid) const {
    const MessageContent& content = grant.content;
    HttpRequest request;
    request.method = content.method;
    request.target = content.target;
    request.body = content.body;
    request.headers = {{"Host", content.host}, {"Request-Id", content.id}};
    if (!content.content_type.empty()) request.headers.push_back({"Content-Type", content.content_type});
    if (!content.order_key.empty()) request.headers.push_back({"Order-Key", content.order_key});
    request.headers.push_back({"Deadline-Ms", std::to_string(grant.timeout_ms)});
    if (!uid.empty()) request.headers.push_back({"Expect-Instance", uid});
    return request;
}

void ServiceDispatcher::onOutcome(RequestId id, Worker worker, std::uint64_t module_generation,
                                  std::uint32_t attempt, const HttpOutcome& outcome) {
    --servers_[worker].in_flight;
    const auto found = deliveries_.find(id);
    if (found == deliveries_.end()) return startQueued();
    Delivery& delivery = found->second;
    delivery.in_flight = false;
    const DeliveryAnswer answer = classifyOutcome(outcome, service_.rate_per_s > 0);
    count(outcome, answer);
    delivery.may_have_run = delivery.may_have_run || answer.may_have_run;
    delivery.all_unreachable = delivery.all_unreachable && answer.unreachable;
    const bool tried_all = delivery.sends >= available_servers_;
    const DeliveryResult result{answer.outcome, answer.stamp, tried_all && delivery.all_unreachable};
    const bool try_next_server = answer.try_elsewhere && !delivery.given_up &&
                                 module_generation == module_generation_ &&
                                 follows_configuration_(delivery.grant);
    if (module_generation == module_generation_) {
        heronmount::AttemptEnded ended;
        ended.id = id;
        ended.attempt = attempt;
        ended.outcome = answer.server_outcome;
        ended.duration = scheduler_.now() - delivery.sent_at;
        ended.requestFinished = !try_next_server;
        notifyModule(ended);
    }
    if (!try_next_server) finish(id, result);
    startQueued();
}

// The module has given up the request.
void ServiceDispatcher::onGivenUp(RequestId id) {
    const auto found = deliveries_.find(id);
    if (found == deliveries_.end()) return;
    Delivery& delivery = found->second;
    if (delivery.in_flight) {
        delivery.given_up = true;
        return;
    }
    const bool tried_all = delivery.sends >= available_servers_;
    const bool down = tried_all && delivery.all_unreachable;
    finish(id, {RunOutcome::not_run, "", down});
}

void ServiceDispatcher::finish(RequestId id, DeliveryResult result) {
    const auto found = deliveries_.find(id);
    if (found == deliveries_.end()) return;
    Grant grant = std::move(found->second.grant);
    if (found->second.known_to_module) --requests_in_module_;
    deliveries_.erase(found);
    count(result.outcome);
    on_finished_(std::move(grant), std::move(result));
}

// --- Counters ---------------------------------------------------------------------------------------------

void ServiceDispatcher::count(const HttpOutcome& outcome, const DeliveryAnswer& answer) {
    if (outcome.verdict == CallStatus::answered) {
        if (outcome.response.status == 421) ++counters_.wrong_instance;
        if (!answer.may_have_run) ++counters_.answered_not_executed;
    } else if (outcome.verdict == CallStatus::not_executed) {
        ++(outcome.unreachable ? counters_.unreachable : counters_.no_free_connection);
    } else {
        ++(outcome.timed_out ? counters_.timed_out : counters_.broken_off);
    }
}

void ServiceDispatcher::count(RunOutcome outcome) {
    switch (outcome) {
        case RunOutcome::completed:
            ++counters_.completed;
            return;
        case RunOutcome::rejected:
            ++counters_.rejected;
            return;
        case RunOutcome::failed:
            ++counters_.failed;
            return;
        case RunOutcome::not_run:
            ++counters_.not_run;
            return;
        case RunOutcome::unknown:
            ++counters_.unknown;
            return;
        case RunOutcome::callback_delivered:
        case RunOutcome::callback_failed:
            return;
    }
}

}  // namespace amberswitch::cluster
