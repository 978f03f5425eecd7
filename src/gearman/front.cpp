// The front itself: accepts connections, and passes to the workers what the core asks of application servers.
#include "gearman/front.hpp"

#include <algorithm>

#include "gearman/connection.hpp"

namespace amberswitch::gearman {

Front::Front(Core& core, Deadlines& deadlines, Config config)
    : core_(core), deadlines_(deadlines), config_(std::move(config)), maxQueue_(config_.functions.size()) {}
Front::~Front() = default;

std::shared_ptr<wire::Machine> Front::accept(Time) {
    ++counters_.connections;
    auto connection = std::make_shared<Connection>(*this, ++lastConnection_);
    connections_.push_back(connection);
    connection->place = std::prev(connections_.end());
    return connection;
}

void Front::drain(Time) {
    draining_ = true;
}

bool Front::quiet() const {
    return std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& connection) { return connection->out().empty(); });
}

std::optional<std::size_t> Front::classOf(std::string_view function) const {
    const auto& names = core_.site().classes;
    const auto at = std::find(names.begin(), names.end(), function);
    if (at == names.end()) return std::nullopt;
    return static_cast<std::size_t>(at - names.begin());
}

Front::Connection* Front::workerOf(Worker server) const {
    const auto at = workers_.find(server);
    return at == workers_.end() ? nullptr : at->second;
}

void Front::start(Time now, const ProxyPass& pass) {
    Connection* const worker = workerOf(pass.server);
    if (!worker) return core_.passEnded(now, pass.transaction, pass.number, End::connectRefused);
    worker->enqueue(now, pass, pass.priority);
}

bool Front::begun(const ProxyPass& pass) const {
    const Connection* const worker = workerOf(pass.server);
    return !worker || !worker->hasQueued(pass);
}

void Front::abandon(Time, const ProxyPass& pass) {
    if (Connection* const worker = workerOf(pass.server)) worker->abandon(pass);
}

void Front::probe(Time now, Worker server) {
    core_.probeAnswered(now, server, workerOf(server) != nullptr, {});
}

}  // namespace amberswitch::gearman
