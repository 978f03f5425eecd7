#include "cluster/edge/deliveries.hpp"

#include <utility>

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kMaxHeldGrants = 300;  // without an acknowledged last result

RunResult makeResult(const Grant& grant, RunOutcome outcome) {
    RunResult result;
    result.partition = grant.partition;
    result.id = grant.content.id;
    result.epoch = grant.epoch;
    result.attempt = grant.attempt;
    result.outcome = outcome;
    return result;
}

bool isCallbackOutcome(RunOutcome outcome) {
    return outcome == RunOutcome::callback_delivered || outcome == RunOutcome::callback_failed;
}

bool endsMessage(RunOutcome outcome) {
    return outcome == RunOutcome::completed || outcome == RunOutcome::rejected;
}

CallbackJob makeCallbackJob(const Grant& grant, Phase phase, std::string stamp) {
    return {grant.partition, grant.content.id, grant.epoch, grant.attempt, grant.content.callback_url,
            phase,           std::move(stamp)};
}

}  // namespace

Deliveries::Deliveries(Scheduler& scheduler, Transport& transport, HttpClient& http,
                       const PartitionMap& partitions, EdgeCounters& counters, EdgeIdentity self)
    : scheduler_(scheduler),
      http_(http),
      partitions_(partitions),
      counters_(counters),
      self_(std::move(self)),
      reports_(
          scheduler, transport, partitions, counters, self_.name, self_.address,
          [this](const RunResult& result) { return mayReport(result); },
          [this](const RunResult& result) { onResultAcknowledged(result); }),
      callbacks_(scheduler, http, counters, self_.incarnation,
                 [this](const CallbackJob& job, bool delivered) { onCallbackDone(job, delivered); }) {}

// --- Configuration and servers ----------------------------------------------------------------------------

void Deliveries::onConfiguration(std::shared_ptr<const Configuration> configuration) {
    configuration_ = std::move(configuration);
    for (const Service& service : configuration_->services) {
        std::unique_ptr<ServiceDispatcher>& dispatcher = services_[service.name];
        if (!dispatcher) {
            const auto on_finished = [this](const Grant& grant, const DeliveryResult& result) {
                onRunFinished(grant, result);
            };
            const auto follows_configuration = [this](const Grant& grant) {
                return followsConfiguration(grant);
            };
            dispatcher =
                std::make_unique<ServiceDispatcher>(scheduler_, http_, counters_, self_.name, self_.zone,
                                                    self_.topology, follows_configuration, on_finished);
        }
        Millis schedule_target{1000};
        for (const Route& route : configuration_->routes) {
            if (route.service == service.name) schedule_target = route.schedule_target;
        }
        dispatcher->setService(service, schedule_target, share_);
    }
    std::erase_if(services_, [this](const auto& entry) {
        return !configuration_->service(entry.first) && entry.second->openCount() == 0;
    });
    applyServers();
    for (auto& [name, dispatcher] : services_) dispatcher->handBackMisdirected();
}

void Deliveries::onServers(std::shared_ptr<const ServerList> servers) {
    servers_ = std::move(servers);
    applyServers();
}

void Deliveries::applyServers() {
    if (!servers_) return;
    std::map<std::string, std::vector<const ServerEntry*>> by_service;
    for (const ServerEntry& server : servers_->servers) by_service[server.service].push_back(&server);
    for (auto& [name, dispatcher] : services_) {
        const Service* const service = configuration_->service(name);
        if (service && service->endpoint) continue;
        dispatcher->setServers(by_service[name]);
    }
}

void Deliveries::setEdgeShare(EdgeShare share) {
    share_ = share;
    callbacks_.setEdgeCount(share.edges);
    if (configuration_) onConfiguration(configuration_);
}

bool Deliveries::followsConfiguration(const Grant& grant) const {
    const MessageContent& content = grant.content;
    if (!configuration_ || !configuration_->service(content.service)) return false;
    if (content.config_generation > configuration_->generation) return true;
    const Route* const route = configuration_->match(content.host, content.target);
    return route != nullptr && route->service == content.service;
}

// --- Grants -----------------------------------------------------------------------------------------------

bool Deliveries::hasRoomFor(const std::string& service) const {
    if (leaving_ || grants_.size() >= kMaxHeldGrants) return false;
    const auto found = services_.find(service);
    return found != services_.end() && found->second->hasServer();
}

bool Deliveries::wantsGrantFor(const std::string& service) const {
    return hasRoomFor(service) && services_.at(service)->isConnected();
}

bool Deliveries::acceptGrant(Grant& grant) {
    const GrantKey key{grant.partition, grant.content.id};
    const bool already_held = grants_.find(key) != nullptr;
    if (!already_held && (leaving_ || grants_.size() >= kMaxHeldGrants)) return false;
    switch (grants_.insert(grant)) {
        case HeldGrants::InsertResult::repeated:
            ++counters_.grants_repeated;
            return true;
        case HeldGrants::InsertResult::conflicting:
            return false;
        case HeldGrants::InsertResult::inserted:
            break;
    }
    if (grant.callback) {
        startCallback(grant);
    } else {
        startRun(std::move(grant));
    }
    return true;
}

void Deliveries::startRun(Grant grant) {
    const auto found = services_.find(grant.content.service);
    if (found == services_.end() || !followsConfiguration(grant)) {
        ++counters_.misdirected;
        return reportNotRun(grant, false);
    }
    found->second->start(std::move(grant));
}

void Deliveries::startCallback(const Grant& grant) {
    callbacks_.enqueue(makeCallbackJob(grant, grant.phase, grant.stamp));
}

void Deliveries::reportNotRun(const Grant& grant, bool destination_down) {
    onRunFinished(grant, {RunOutcome::not_run, "", destination_down});
}

void Deliveries::onRunFinished(const Grant& grant, const DeliveryResult& result) {
    RunResult report = makeResult(grant, result.outcome);
    report.stamp = result.stamp;
    report.destination_down = result.destination_down;
    const bool needs_callback = endsMessage(result.outcome) && !grant.content.callback_url.empty();
    report.callback_started = needs_callback && !leaving_ && callbacks_.mayStartWithoutGrant();
    if (report.callback_started) {
        const Phase phase = result.outcome == RunOutcome::completed ? Phase::completed : Phase::dead_letter;
        callbacks_.enqueue(makeCallbackJob(grant, phase, result.stamp));
    }
    reports_.add(std::move(report));
}

void Deliveries::onCallbackDone(const CallbackJob& job, bool delivered) {
    RunResult report;
    report.partition = job.partition;
    report.id = job.id;
    report.epoch = job.epoch;
    report.attempt = job.attempt;
    report.outcome = delivered ? RunOutcome::callback_delivered : RunOutcome::callback_failed;
    if (delivered) recent_results_.markCallbackDelivered(job.partition, job.id);
    reports_.add(std::move(report));
}

// The owner must know the result of the run before it gets the result of the call-back.
bool Deliveries::mayReport(const RunResult& result) {
    if (!isCallbackOutcome(result.outcome)) return true;
    const HeldGrant* const entry = grants_.find({result.partition, result.id});
    return !entry || entry->callback_only;
}

void Deliveries::onResultAcknowledged(const RunResult& result) {
    if (endsMessage(result.outcome)) recent_results_.add(result, partitions_, scheduler_.now());
    const GrantKey key{result.partition, result.id};
    HeldGrant* const entry = grants_.find(key);
    if (!entry || entry->attempt != result.attempt || entry->epoch != result.epoch) return;
    if (!result.callback_started) return grants_.erase(key);
    entry->callback_only = true;
}

// --- Changes of ownership ---------------------------------------------------------------------------------

void Deliveries::onView() {
    for (const RecentResult& end : recent_results_.takeOrphaned(partitions_, scheduler_.now()))
        resendResult(end);
    reports_.onView();
}

void Deliveries::resendResult(const RecentResult& end) {
    RunResult result = end.result;
    const GrantKey key{result.partition, result.id};
    if (HeldGrant* const entry = grants_.find(key)) {
        if (entry->attempt != result.attempt || entry->epoch != result.epoch) return;
        entry->callback_only = false;  // the call-back continues and is reported after the result
        return reports_.add(std::move(result));
    }
    Grant ended;
    ended.partition = result.partition;
    ended.content.id = result.id;
    ended.epoch = result.epoch;
    ended.attempt = result.attempt;
    grants_.insert(ended);
    result.callback_started = end.callback_delivered;
    if (end.callback_delivered) {
        RunResult callback = result;
        callback.outcome = RunOutcome::callback_delivered;
        callback.callback_started = false;
        callback.stamp.clear();
        reports_.add(std::move(callback));
    }
    reports_.add(std::move(result));
}

// --- Graceful shutdown ------------------------------------------------------------------------------------

void Deliveries::leave() {
    leaving_ = true;
    for (auto& [name, dispatcher] : services_) dispatcher->handBackWaiting();
    callbacks_.leave();
}

}  // namespace amberswitch::cluster
