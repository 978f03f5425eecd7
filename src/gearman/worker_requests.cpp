// What a connection does for a worker: registers its functions with the core as an application server, queues
// the passes offered to it, assigns them as it grabs jobs, and takes its reports.
#include <algorithm>
#include <utility>

#include "gearman/connection.hpp"
#include "gearman/text.hpp"

namespace amberswitch::gearman {

using heronmount::RosterMode;
using heronmount::Standing;

// What the worker offers has changed: the farm is told. With no function left it drains: what it runs it may
// finish, and what waited for it goes back unstarted.
void Front::Connection::abilities(Time now) {
    if (functions_.empty() && !slot_) return;
    if (!slot_) {
        if (owner_.freeSlots_.empty()) owner_.freeSlots_.insert(owner_.slots_++);
        slot_ = *owner_.freeSlots_.begin();
        owner_.freeSlots_.erase(owner_.freeSlots_.begin());
        server_ = owner_.core_.handleOf(serverName());
        owner_.workers_[server_] = this;
        // A new occupant of a place: what was learned of the last one is void. It started long ago for all
        // that is known here, so it counts as warm.
        since_ = Time(static_cast<std::int64_t>(++owner_.occupants_));
    }
    FarmEntry told;
    told.name = serverName();
    told.entry.zone = owner_.core_.site().module.zone, told.placed = false;
    told.entry.cell = 1'000'000 + static_cast<int>(*slot_);  // no other worker is known to drop its repeats
    told.entry.units = static_cast<double>(owner_.config_.workerSlots);
    told.entry.since = since_;
    told.entry.standing = functions_.empty() ? Standing::draining : Standing::on;
    for (const std::size_t klass : functions_) told.entry.classes |= std::uint64_t{1} << klass;
    owner_.core_.farm(now, owner_, owner_, RosterMode::changes, {told});
    takeBack(now, false);
}

// Passes that the worker has not begun go back, proved never to have run; where it has gone, those it runs
// end as reset.
void Front::Connection::takeBack(Time now, bool gone) {
    if (!slot_) return;
    const auto self = shared_from_this();
    if (gone) {
        const std::size_t slot = *slot_;
        FarmEntry told;
        told.name = serverName();
        told.entry.standing = Standing::off;
        told.entry.zone = owner_.core_.site().module.zone, told.placed = false;
        told.entry.since = since_;
        functions_.clear();
        owner_.workers_.erase(server_);
        slot_.reset();
        owner_.core_.farm(now, owner_, owner_, RosterMode::changes, {told});
        owner_.freeSlots_.insert(slot);
    }
    std::vector<Offered> back;
    std::erase_if(offered_, [&](const Offered& one) {
        if (functions_.contains(one.pass.klass)) return false;
        back.push_back(one);
        return true;
    });
    for (const Offered& one : back)
        owner_.core_.passEnded(now, one.pass.transaction, one.pass.number,
                               gone ? End::brokeUnsent : End::handedBack);
    if (!gone) return;
    const auto running = std::exchange(assigned_, {});
    for (const auto& [handle, one] : running)
        if (!one.abandoned) owner_.core_.passEnded(now, one.transaction, one.pass, End::lost);
}

void Front::Connection::offer(Time now, const ProxyPass& pass, int priority) {
    if (state_ != State::open || !functions_.contains(pass.klass) ||
        offered_.size() >= owner_.config_.workerQueue + owner_.config_.workerSlots)
        return owner_.core_.passEnded(now, pass.transaction, pass.number, End::handedBack);
    const auto at = std::find_if(offered_.begin(), offered_.end(),
                                 [&](const Offered& other) { return other.priority > priority; });
    offered_.insert(at, {pass, priority});
    if (sleeping_ && assigned_.size() < owner_.config_.workerSlots) say(Type::noop, {}), sleeping_ = false;
}

bool Front::Connection::offers(const ProxyPass& pass) const {
    return std::any_of(offered_.begin(), offered_.end(), [&](const Offered& one) {
        return one.pass.transaction == pass.transaction && one.pass.number == pass.number;
    });
}

void Front::Connection::abandon(const ProxyPass& pass) {
    std::erase_if(offered_, [&](const Offered& one) {
        return one.pass.transaction == pass.transaction && one.pass.number == pass.number;
    });
    for (auto& [handle, one] : assigned_)
        if (one.transaction == pass.transaction && one.pass == pass.number) one.abandoned = true;
}

void Front::Connection::grab(Time now, Grab how) {
    sleeping_ = false;
    const auto full = [this] { return offered_.empty() || assigned_.size() >= owner_.config_.workerSlots; };
    if (full()) return say(Type::noJob, {});
    ProxyPass pass = offered_.front().pass;
    // Guards against a job that waited here until nobody wants it, or it may not run any more.
    while (!owner_.core_.mayBegin(now, pass.transaction, pass.number)) {
        const auto self = shared_from_this();
        abandon(pass);
        owner_.core_.passEnded(now, pass.transaction, pass.number, End::unsent);
        if (full()) return say(Type::noJob, {});
        pass = offered_.front().pass;
    }
    offered_.pop_front();
    ++owner_.counters_.assigned;
    const Handle handle = "H:" + owner_.config_.name + ":j" + std::to_string(pass.transaction) + '.' +
                          std::to_string(pass.number);
    assigned_[handle] = {pass.transaction, pass.number, false};
    if (how == Grab::unique)
        say(Type::jobAssignUniq, {handle, pass.job->className, pass.job->key, pass.job->body});
    else if (how == Grab::all)  // no job here is to be reduced: the reducer is empty
        say(Type::jobAssignAll, {handle, pass.job->className, pass.job->key, "", pass.job->body});
    else
        say(Type::jobAssign, {handle, pass.job->className, pass.job->body});
    if (const auto most = timeouts_.find(pass.klass); most != timeouts_.end())
        owner_.deadlines_.once(now + most->second,
                               [&core = owner_.core_, id = pass.transaction, number = pass.number](Time at) {
                                   core.passEnded(at, id, number, End::timedOut);
                               });
    owner_.core_.passStarted(now, pass.transaction, pass.number);
}

// Guards against reports that come late or twice: only the worker that a job was given to is heard, once.
void Front::Connection::report(Time now, const Packet& p) {
    const auto at = assigned_.find(p.arguments[0]);
    if (at == assigned_.end()) {
        ++owner_.counters_.stray;
        return;
    }
    const Assigned job = at->second;
    const bool ends =
        p.type == Type::workComplete || p.type == Type::workFail || p.type == Type::workException;
    if (ends) assigned_.erase(at);
    if (job.abandoned) {
        ++owner_.counters_.stray;
        return;
    }
    Core& core = owner_.core_;
    if (p.type == Type::workComplete)
        core.passEnded(now, job.transaction, job.pass, End::served, p.arguments[1]);
    if (p.type == Type::workFail) core.passEnded(now, job.transaction, job.pass, End::failed);
    if (p.type == Type::workException)
        core.passEnded(now, job.transaction, job.pass, End::failed, p.arguments[1]);
    if (p.type == Type::workData)
        core.passPartial(now, job.transaction, job.pass, Partial::data, p.arguments[1]);
    if (p.type == Type::workWarning)
        core.passPartial(now, job.transaction, job.pass, Partial::warning, p.arguments[1]);
    if (p.type == Type::workStatus) {
        const double of = static_cast<double>(wholeNumber(p.arguments[2]));
        core.passProgress(now, job.transaction, job.pass,
                          of > 0 ? static_cast<double>(wholeNumber(p.arguments[1])) / of : 0);
    }
}

}  // namespace amberswitch::gearman
