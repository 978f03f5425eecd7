#include "cluster/edge/deliveries.hpp"

#include <utility>

namespace amberswitch::cluster {
namespace {

constexpr std::size_t kMostGrants = 300;  // that have not been reported and taken

RunResult resultOf(const Grant& grant, RunOutcome outcome) {
    RunResult result;
    result.partition = grant.partition;
    result.id = grant.content.id;
    result.epoch = grant.epoch;
    result.attempt = grant.attempt;
    result.outcome = outcome;
    return result;
}

bool isOfCallback(RunOutcome outcome) {
    return outcome == RunOutcome::callback_delivered || outcome == RunOutcome::callback_failed;
}

bool endsMessage(RunOutcome outcome) {
    return outcome == RunOutcome::completed || outcome == RunOutcome::rejected;
}

CallbackWork callbackOf(const Grant& grant, Phase phase, std::string stamp) {
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
          [this](const RunResult& result) { reportTaken(result); }),
      callbacks_(scheduler, http, counters, self_.incarnation,
                 [this](const CallbackWork& work, bool taken) { callbackEnded(work, taken); }) {}

// --- Configuration and servers -----------------------------------------------------------------------------

void Deliveries::onConfiguration(std::shared_ptr<const Configuration> configuration) {
    configuration_ = std::move(configuration);
    for (const Service& service : configuration_->services) {
        std::unique_ptr<ServiceDispatcher>& dispatcher = services_[service.name];
        if (!dispatcher) {
            const auto ended = [this](const Grant& grant, const DeliveryResult& result) {
                finished(grant, result);
            };
            const auto allowed = [this](const Grant& grant) { return followsConfiguration(grant); };
            dispatcher = std::make_unique<ServiceDispatcher>(scheduler_, http_, counters_, self_.name,
                                                             self_.zone, self_.topology, allowed, ended);
        }
        Millis schedule_target{1000};
        for (const Route& route : configuration_->routes) {
            if (route.service == service.name) schedule_target = route.schedule_target;
        }
        dispatcher->setService(service, schedule_target, share_);
    }
    std::erase_if(services_, [this](const auto& entry) {
        return !configuration_->service(entry.first) && entry.second->open() == 0;
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
    callbacks_.setEdges(share.edges);
    if (configuration_) onConfiguration(configuration_);
}

bool Deliveries::followsConfiguration(const Grant& grant) const {
    const MessageContent& content = grant.content;
    if (!configuration_ || !configuration_->service(content.service)) return false;
    if (content.config_generation > configuration_->generation) return true;
    const Route* const route = configuration_->match(content.host, content.target);
    return route != nullptr && route->service == content.service;
}

// --- Grants ------------------------------------------------------------------------------------------------

bool Deliveries::hasRoomFor(const std::string& service) const {
    if (leaving_ || book_.size() >= kMostGrants) return false;
    const auto found = services_.find(service);
    return found != services_.end() && found->second->hasServer();
}

bool Deliveries::wantsGrantFor(const std::string& service) const {
    return hasRoomFor(service) && services_.at(service)->isConnected();
}

bool Deliveries::take(Grant& grant) {
    const GrantKey key{grant.partition, grant.content.id};
    const bool known = book_.find(key) != nullptr;
    if (!known && (leaving_ || book_.size() >= kMostGrants)) return false;
    switch (book_.enter(grant)) {
        case GrantBook::Entered::repeated:
            ++counters_.grants_repeated;
            return true;
        case GrantBook::Entered::conflicting:
            return false;
        case GrantBook::Entered::fresh:
            break;
    }
    if (grant.callback) {
        beginCallback(grant);
    } else {
        begin(std::move(grant));
    }
    return true;
}

void Deliveries::begin(Grant grant) {
    const auto found = services_.find(grant.content.service);
    if (found == services_.end() || !followsConfiguration(grant)) {
        ++counters_.misdirected;
        return notRun(grant, false);
    }
    found->second->begin(std::move(grant));
}

void Deliveries::beginCallback(const Grant& grant) {
    callbacks_.begin(callbackOf(grant, grant.phase, grant.stamp));
}

void Deliveries::notRun(const Grant& grant, bool destination_down) {
    finished(grant, {RunOutcome::not_run, "", destination_down});
}

void Deliveries::finished(const Grant& grant, const DeliveryResult& result) {
    RunResult report = resultOf(grant, result.outcome);
    report.stamp = result.stamp;
    report.destination_down = result.destination_down;
    const bool owes_callback = endsMessage(result.outcome) && !grant.content.callback_url.empty();
    report.callback_started = owes_callback && !leaving_ && callbacks_.mayBeginUngranted();
    if (report.callback_started) {
        const Phase phase = result.outcome == RunOutcome::completed ? Phase::completed : Phase::dead_letter;
        callbacks_.begin(callbackOf(grant, phase, result.stamp));
    }
    reports_.add(std::move(report));
}

void Deliveries::callbackEnded(const CallbackWork& work, bool taken) {
    RunResult report;
    report.partition = work.partition;
    report.id = work.id;
    report.epoch = work.epoch;
    report.attempt = work.attempt;
    report.outcome = taken ? RunOutcome::callback_delivered : RunOutcome::callback_failed;
    if (taken) recent_ends_.callbackTaken(work.partition, work.id);
    reports_.add(std::move(report));
}

// The owner has to know of the run's end before it hears of the call-back.
bool Deliveries::mayReport(const RunResult& result) {
    if (!isOfCallback(result.outcome)) return true;
    const GrantEntry* const entry = book_.find({result.partition, result.id});
    return !entry || entry->callback;
}

void Deliveries::reportTaken(const RunResult& result) {
    if (endsMessage(result.outcome)) recent_ends_.add(result, partitions_, scheduler_.now());
    const GrantKey key{result.partition, result.id};
    GrantEntry* const entry = book_.find(key);
    if (!entry || entry->attempt != result.attempt || entry->epoch != result.epoch) return;
    if (!result.callback_started) return book_.erase(key);
    entry->callback = true;
}

// --- A change of owners ------------------------------------------------------------------------------------

void Deliveries::onView() {
    for (const RecentEnd& end : recent_ends_.takeOrphans(partitions_, scheduler_.now())) reportAgain(end);
    reports_.onView();
}

void Deliveries::reportAgain(const RecentEnd& end) {
    RunResult result = end.result;
    const GrantKey key{result.partition, result.id};
    if (GrantEntry* const entry = book_.find(key)) {
        if (entry->attempt != result.attempt || entry->epoch != result.epoch) return;
        entry->callback = false;  // it goes on, and is told after the end
        return reports_.add(std::move(result));
    }
    Grant ended;
    ended.partition = result.partition;
    ended.content.id = result.id;
    ended.epoch = result.epoch;
    ended.attempt = result.attempt;
    book_.enter(ended);
    result.callback_started = end.callback_taken;
    if (end.callback_taken) {
        RunResult callback = result;
        callback.outcome = RunOutcome::callback_delivered;
        callback.callback_started = false;
        callback.stamp.clear();
        reports_.add(std::move(callback));
    }
    reports_.add(std::move(result));
}

// --- The planned end ---------------------------------------------------------------------------------------

void Deliveries::leave() {
    leaving_ = true;
    for (auto& [name, dispatcher] : services_) dispatcher->handBackWaiting();
    callbacks_.leave();
}

}  // namespace amberswitch::cluster
