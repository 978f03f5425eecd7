// What a connection does for a worker: registers its functions with the core as an application server, queues
// the passes offered to it, assigns them as it grabs jobs, and takes its reports.
#include <algorithm>
#include <utility>

#include "gearman/connection.hpp"
#include "gearman/text.hpp"

namespace amberswitch::gearman {

using heronmount::RosterMode;
using heronmount::WorkerStatus;

// What the worker offers has changed: the core is told. With no function left it drains: what it runs it may
// finish, and what waited for it goes back unstarted.
void Front::Connection::updateFunctions(Time now) {
    if (functions_.empty() && !slot_) return;
    if (!slot_) {
        if (front_.freeSlots_.empty()) front_.freeSlots_.insert(front_.slotCount_++);
        slot_ = *front_.freeSlots_.begin();
        front_.freeSlots_.erase(front_.freeSlots_.begin());
        applicationServer_ = front_.core_.handleOf(applicationServerName());
        front_.workers_[applicationServer_] = this;
        // A new worker under a number used before: what was learned of the last one is void. It started long
        // ago for all that is known here, so it counts as warm.
        startedAt_ = Time(static_cast<std::int64_t>(++front_.registrations_));
    }
    RosterServer update;
    update.name = applicationServerName();
    update.entry.zone = front_.core_.site().module.zone, update.zoneKnown = false;
    update.entry.cell = 1'000'000 + static_cast<int>(*slot_);  // no other worker is known to drop its repeats
    update.entry.weight = static_cast<double>(front_.config_.workerSlots);
    update.entry.startedAt = startedAt_;
    update.entry.status = functions_.empty() ? WorkerStatus::draining : WorkerStatus::on;
    for (const std::size_t klass : functions_) update.entry.classMask |= std::uint64_t{1} << klass;
    front_.core_.updateRoster(now, front_, front_, RosterMode::incremental, {update});
    returnPasses(now, false);
}

// Passes that the worker has not begun go back, proved never to have run; where it has gone, those it runs
// end as reset.
void Front::Connection::returnPasses(Time now, bool disconnected) {
    if (!slot_) return;
    const auto self = shared_from_this();
    if (disconnected) {
        const std::size_t slot = *slot_;
        RosterServer update;
        update.name = applicationServerName();
        update.entry.status = WorkerStatus::off;
        update.entry.zone = front_.core_.site().module.zone, update.zoneKnown = false;
        update.entry.startedAt = startedAt_;
        functions_.clear();
        front_.workers_.erase(applicationServer_);
        slot_.reset();
        front_.core_.updateRoster(now, front_, front_, RosterMode::incremental, {update});
        front_.freeSlots_.insert(slot);
    }
    std::vector<QueuedPass> returned;
    std::erase_if(queue_, [&](const QueuedPass& queued) {
        if (functions_.contains(queued.pass.klass)) return false;
        returned.push_back(queued);
        return true;
    });
    for (const QueuedPass& queued : returned)
        front_.core_.passEnded(now, queued.pass.transaction, queued.pass.number,
                               disconnected ? End::brokeUnsent : End::handedBack);
    if (!disconnected) return;
    const auto running = std::exchange(assigned_, {});
    for (const auto& [handle, assigned] : running)
        if (!assigned.abandoned) front_.core_.passEnded(now, assigned.transaction, assigned.pass, End::lost);
}

void Front::Connection::enqueue(Time now, const ProxyPass& pass, int priority) {
    if (state_ != State::open || !functions_.contains(pass.klass) ||
        queue_.size() >= front_.config_.workerQueue + front_.config_.workerSlots)
        return front_.core_.passEnded(now, pass.transaction, pass.number, End::handedBack);
    const auto at = std::find_if(queue_.begin(), queue_.end(),
                                 [&](const QueuedPass& other) { return other.priority > priority; });
    queue_.insert(at, {pass, priority});
    if (sleeping_ && assigned_.size() < front_.config_.workerSlots) send(Type::noop, {}), sleeping_ = false;
}

bool Front::Connection::hasQueued(const ProxyPass& pass) const {
    return std::any_of(queue_.begin(), queue_.end(), [&](const QueuedPass& queued) {
        return queued.pass.transaction == pass.transaction && queued.pass.number == pass.number;
    });
}

void Front::Connection::abandon(const ProxyPass& pass) {
    std::erase_if(queue_, [&](const QueuedPass& queued) {
        return queued.pass.transaction == pass.transaction && queued.pass.number == pass.number;
    });
    for (auto& [handle, assigned] : assigned_)
        if (assigned.transaction == pass.transaction && assigned.pass == pass.number)
            assigned.abandoned = true;
}

void Front::Connection::grabJob(Time now, Grab variant) {
    sleeping_ = false;
    const auto nothingToAssign = [this] {
        return queue_.empty() || assigned_.size() >= front_.config_.workerSlots;
    };
    if (nothingToAssign()) return send(Type::noJob, {});
    ProxyPass pass = queue_.front().pass;
    // Guards against a job that waited here until nobody wants it, or it may not run any more.
    while (!front_.core_.mayBegin(now, pass.transaction, pass.number)) {
        const auto self = shared_from_this();
        abandon(pass);
        front_.core_.passEnded(now, pass.transaction, pass.number, End::unsent);
        if (nothingToAssign()) return send(Type::noJob, {});
        pass = queue_.front().pass;
    }
    queue_.pop_front();
    ++front_.counters_.assigned;
    const Handle handle = "H:" + front_.config_.name + ":j" + std::to_string(pass.transaction) + '.' +
                          std::to_string(pass.number);
    assigned_[handle] = {pass.transaction, pass.number, false};
    if (variant == Grab::unique)
        send(Type::jobAssignUniq, {handle, pass.job->className, pass.job->key, pass.job->body});
    else if (variant == Grab::all)  // no job here is to be reduced: the reducer is empty
        send(Type::jobAssignAll, {handle, pass.job->className, pass.job->key, "", pass.job->body});
    else
        send(Type::jobAssign, {handle, pass.job->className, pass.job->body});
    if (const auto timeout = timeouts_.find(pass.klass); timeout != timeouts_.end())
        front_.deadlines_.once(now + timeout->second,
                               [&core = front_.core_, id = pass.transaction, number = pass.number](Time at) {
                                   core.passEnded(at, id, number, End::timedOut);
                               });
    front_.core_.passStarted(now, pass.transaction, pass.number);
}

// Guards against reports that come late or twice: only the worker that a job was given to is heard, once.
void Front::Connection::handleWorkReport(Time now, const Packet& packet) {
    const auto at = assigned_.find(packet.arguments[0]);
    if (at == assigned_.end()) {
        ++front_.counters_.stray;
        return;
    }
    const AssignedPass job = at->second;
    const bool ends = packet.type == Type::workComplete || packet.type == Type::workFail ||
                      packet.type == Type::workException;
    if (ends) assigned_.erase(at);
    if (job.abandoned) {
        ++front_.counters_.stray;
        return;
    }
    Core& core = front_.core_;
    if (packet.type == Type::workComplete)
        core.passEnded(now, job.transaction, job.pass, End::served, packet.arguments[1]);
    if (packet.type == Type::workFail) core.passEnded(now, job.transaction, job.pass, End::failed);
    if (packet.type == Type::workException)
        core.passEnded(now, job.transaction, job.pass, End::failed, packet.arguments[1]);
    if (packet.type == Type::workData)
        core.passPartial(now, job.transaction, job.pass, Partial::data, packet.arguments[1]);
    if (packet.type == Type::workWarning)
        core.passPartial(now, job.transaction, job.pass, Partial::warning, packet.arguments[1]);
    if (packet.type == Type::workStatus) {
        const double total = static_cast<double>(parseUnsigned(packet.arguments[2]));
        core.passProgress(now, job.transaction, job.pass,
                          total > 0 ? static_cast<double>(parseUnsigned(packet.arguments[1])) / total : 0);
    }
}

}  // namespace amberswitch::gearman
