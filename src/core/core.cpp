#include "core/core.hpp"

#include <algorithm>
#include <utility>

namespace amberswitch {

using namespace heronmount;

Core::Core(const settings::Site& site, std::uint64_t seed, Deadlines& deadlines,
           const placement::Policy& policy, Time start)
    : site_(site), placement_(policy, site_, start), dispatcher_(site_.module, seed), deadlines_(deadlines) {
    counters_.byClass.resize(std::max<std::size_t>(1, site.classes.size()));
}

// Returns the id of the transaction's request at the dispatcher. A widened job is a separate request there.
heronmount::RequestId Core::requestIdOf(const Transaction& t) const {
    return t.widenedRequest ? t.id | kWidenedRequestBit : t.id;
}

Core::Transaction* Core::findByRequestId(heronmount::RequestId id) {
    Transaction* const t = find(id & ~kWidenedRequestBit);
    return t && requestIdOf(*t) == id ? t : nullptr;
}

Core::Transaction* Core::find(TransactionId id) {
    const auto at = transactions_.find(id);
    return at == transactions_.end() ? nullptr : &at->second;
}

bool Core::isPassOpen(TransactionId id, std::uint32_t pass) const {
    const auto at = transactions_.find(id);
    return at != transactions_.end() && pass < at->second.passes.size() && at->second.passes[pass].open;
}

// Queues events that arise while an earlier one is being handled, so that the dispatcher is never re-entered
// by the effects of its own actions.
void Core::dispatch(Time now, Event event) {
    events_.push_back(std::move(event));
    if (dispatching_) return;
    dispatching_ = true;
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        std::vector<Action> actions = std::exchange(actions_, {});
        actions.clear();
        dispatcher_.on(now, next, actions);
        for (const Action& action : actions) execute(now, action);
        actions_ = std::move(actions);
    }
    dispatching_ = false;
}

// Marks the transaction as answered, or its client as gone, and releases the client. Every transaction goes
// through here exactly once; later calls return null.
std::shared_ptr<ClientEnd> Core::markSettled(Transaction& t) {
    if (std::exchange(t.answered, true)) return nullptr;
    if (t.ticket.widened && !t.sentOutside) placement_.revertWidening(t.ticket);
    --openTransactions_;
    return std::exchange(t.client, nullptr);
}

template <class Answer>
void Core::answer(Transaction& t, Answer&& say) {
    if (const std::shared_ptr<ClientEnd> client = markSettled(t)) say(*client);
}

// Returns whether the client still waits for an answer. Avoids starting work for a client that has
// disconnected where the disconnect is not processed yet, because it is queued behind other events or unread
// bytes.
bool Core::checkClientWaiting(Transaction& t) {
    if (t.answered) return false;
    if (!t.client || !t.client->hasLeft()) return true;
    markSettled(t);
    ++counters_.left, ++counters_.leftUnnoticed;
    return false;
}

ProxyPass Core::passOf(const Transaction& t, std::uint32_t number) const {
    const PassState& pass = t.passes[number];
    return {t.id, number, pass.server, pass.until, &t.job, t.klass, t.priority};
}

void Core::fail(Time now, Transaction& t) {
    if (!t.answered) trace_(now, "failed t=%llu", static_cast<unsigned long long>(t.id));
    answer(t, [&](ClientEnd& client) {
        ++counters_.failed, ++totalsOf(t.klass).aborted;
        client.failed(now, t.lastFailure);
    });
}

void Core::refuse(Time now, Transaction& t, Nanos retryIn) {
    if (t.answered) return;
    const ClassSettings& klass = site_.module.classes[t.klass];
    const bool harmless = (!t.mayHaveRun && t.openPasses == 0) || klass.idempotency == Idempotency::safe ||
                          (klass.idempotency == Idempotency::keyed && klass.dedupScope == DedupScope::all);
    if (placement_.on())
        retryIn = placement_.recordRefusal(now, t.ticket, retryIn, site_.module.maxRetryAfter);
    if (harmless) {
        trace_(now, "refused t=%llu passes=%zu", static_cast<unsigned long long>(t.id), t.passes.size());
        answer(t, [&](ClientEnd& client) {
            ++counters_.unavailable, ++totalsOf(t.klass).declined;
            client.unavailable(now, retryIn);
        });
    } else {  // the client may retry after an unavailable answer, which the class forbids here
        ++counters_.refusalsMadeFailures;
        fail(now, t);
    }
}

Nanos Core::retryAdvice() const {
    const auto& allowed = site_.module;
    return allowed.mayAdviseRetry ? std::min<Nanos>(allowed.maxRetryAfter, std::chrono::milliseconds(100))
                                  : Nanos(0);
}

void Core::countRejectedByFront(std::uint32_t klass, bool unavailable) {
    ++counters_.taken;
    ++(unavailable ? counters_.unavailable : counters_.failed);
    ++(unavailable ? totalsOf(klass).declined : totalsOf(klass).aborted);
}

std::size_t Core::listedServers() const {
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [](const Server& server) { return server.listed; }));
}

// Answers open transactions before the process exits, so that clients which may retry elsewhere get an
// unavailable answer instead of a connection reset.
void Core::giveUpAll(Time now) {
    std::vector<TransactionId> ids;
    for (const auto& [id, t] : transactions_)
        if (!t.answered) ids.push_back(id);
    for (const TransactionId id : ids) {
        refuse(now, *find(id), retryAdvice());
        dispatch(now, ClientLeft{requestIdOf(*find(id))});  // cancels the open passes
        eraseIfFinished(id);
    }
}

TransactionId Core::arrive(Time now, Arrival arrival) {
    const TransactionId id = ++lastId_;
    Transaction& t = transactions_[id];
    t.id = id;
    t.job = std::move(arrival.job);
    t.client = std::move(arrival.client);
    t.klass = arrival.request.klass;
    t.priority = arrival.priority;
    t.deadline = now + arrival.request.timeLeft;
    ++openTransactions_, ++counters_.taken;
    trace_(now, "arrived t=%llu class=%u slots=%.0f", static_cast<unsigned long long>(id), t.klass,
           arrival.request.slots);
    arrival.request.id = id;
    // The client gives up at its deadline; no transaction may stay open at the dispatcher beyond it.
    deadlines_.once(t.deadline, [this, id](Time at) { deadlineReached(at, id); });
    if (placement_.on()) {
        t.ticket = placement_.take(arrival.request.tenant, t.klass);
        if (t.ticket.entry) t.klass = placement_.classIn(t.ticket, t.klass);
        arrival.request.klass = t.klass, t.request = arrival.request;
        // Without a server for its class, the dispatcher would hold the job until one is listed.
        if (!t.ticket.entry || !hasServerFor(t)) {
            if (!tryWiden(now, t)) refuse(now, t, retryAdvice());
            eraseIfFinished(id);
            return id;
        }
    }
    dispatch(now, arrival.request);
    eraseIfFinished(id);
    return id;
}

// Called when the servers of the job's first choice of places can't start it in time. Resubmits the job for
// the wider set of places if no attempt may have run, the policy permits it and some of the allowance is
// left.
bool Core::tryWiden(Time now, Transaction& t) {
    if (!placement_.on() || t.answered || t.mayHaveRun || t.openPasses > 0 || t.sealed || t.committed ||
        t.passes.size() >= site_.module.maxAttempts || now >= t.deadline ||
        !placement_.tryWiden(now, t.ticket))
        return false;
    t.klass = placement_.classIn(t.ticket, t.request.klass % placement_.wireClasses());
    if (!hasServerFor(t)) return placement_.revertWidening(t.ticket), false;
    // A new request id keeps timers that the dispatcher set for the first request from applying to this one.
    t.widenedRequest = true, t.firstPass = static_cast<std::uint32_t>(t.passes.size());
    t.request.klass = t.klass, t.request.timeLeft = t.deadline - now, t.request.id = requestIdOf(t);
    dispatch(now, t.request);
    return true;
}

void Core::deadlineReached(Time now, TransactionId id) {
    Transaction* const t = find(id);
    if (!t) return;
    const std::size_t passes = t->passes.size();
    for (std::uint32_t number = 0; number < passes; ++number)
        if (t->passes[number].open) endPass(now, *t, number, End::timedOut, {}, {});
    if (!t->answered) {
        fail(now, *t);
        dispatch(now, ClientLeft{requestIdOf(*t)});
    }
    eraseIfFinished(id);
}

void Core::clientLeft(Time now, TransactionId id) {
    Transaction* const t = find(id);
    if (!t || t->answered) return;
    markSettled(*t);
    ++counters_.left;
    // A pass that still waits for a connection is not running and can be cancelled even where running passes
    // can't. Otherwise it would start after the client has gone.
    for (std::uint32_t number = 0; number < t->passes.size(); ++number)
        if (t->passes[number].open && !t->passes[number].pool->begun(passOf(*t, number)))
            endPass(now, *t, number, End::withdrawn, {}, {});
    dispatch(now, ClientLeft{requestIdOf(*t)});
    eraseIfFinished(id);
}

void Core::eraseIfFinished(TransactionId id) {
    const Transaction* const t = find(id);
    if (t && t->answered && t->openPasses == 0 && !dispatching_) transactions_.erase(id);
}

// Checks the rules of the site for a new pass, independently of the dispatcher's decision.
bool Core::mayStartPass(Time now, const Transaction& t, const Server& to) const {
    return t.passes.size() < site_.module.maxAttempts && isPermitted(now, t, to, t.openPasses);
}

// `others` is the number of open passes of the transaction besides the one in question.
bool Core::isPermitted(Time now, const Transaction& t, const Server& to, std::uint32_t others) const {
    const ClassSettings& klass = site_.module.classes[t.klass];
    if (t.answered || t.sealed || t.committed || !to.on || !to.pool || now >= t.deadline) return false;
    if (placement_.on() && !placement_.allows(t.ticket, to.entry.worker)) return false;
    if (others > 0 && !site_.module.mayDuplicate) return false;
    if (to.entry.classMask ? !(to.entry.classMask >> t.klass & 1)
                           : klass.kind >= 0 && klass.kind != to.entry.kind)
        return false;
    if ((!t.mayHaveRun && others == 0) || klass.idempotency == Idempotency::safe) return true;
    // A repeat must arrive within the deduplication window; network delays differ by less than two ticks.
    if (klass.idempotency == Idempotency::unsafe ||
        now + 2 * site_.module.tick > t.dedupStart + klass.dedupWindow)
        return false;
    return klass.dedupScope == DedupScope::all ||
           (klass.dedupScope == DedupScope::zone && to.entry.zone == t.zone) ||
           (klass.dedupScope == DedupScope::cell && to.entry.cell == t.cell);
}

void Core::send(Time now, const Send& order) {
    Transaction* const t = findByRequestId(order.id);
    if (!t || order.worker >= servers_.size()) return;
    Server& to = servers_[order.worker];
    const bool allowed = checkClientWaiting(*t) && mayStartPass(now, *t, to);
    const Time until = order.deadline.count() > 0 ? std::min(order.deadline, t->deadline) : t->deadline;
    const auto number = static_cast<std::uint32_t>(t->passes.size());
    if (allowed && !t->mayHaveRun && t->openPasses == 0)
        t->zone = to.entry.zone, t->cell = to.entry.cell, t->dedupStart = now;
    t->passes.push_back({order.worker, now, true, to.pool, until});
    ++t->openPasses;
    if (!allowed) {
        counters_.withheld += !t->answered;
        return endPass(now, *t, number, End::unsent, {}, {});
    }
    ++counters_.passes;
    if (placement_.on()) t->sentOutside = t->sentOutside || placement_.isOutside(t->ticket, order.worker);
    const Nanos age = to.entry.startedAt.count() > 0 ? now - to.entry.startedAt : Nanos(-1'000'000);
    trace_(now, "sent t=%llu pass=%u server=%s zone=%d kind=%d cell=%d age=%lld",
           static_cast<unsigned long long>(t->id), number, to.name.c_str(), to.entry.zone, to.entry.kind,
           to.entry.cell, static_cast<long long>(age / std::chrono::milliseconds(1)));
    const TransactionId id = t->id;
    if (until < t->deadline)
        deadlines_.once(until, [this, id, number](Time at) { passEnded(at, id, number, End::timedOut); });
    to.pool->start(now, passOf(*t, number));
}

bool Core::mayBegin(Time now, TransactionId id, std::uint32_t pass) {
    if (!isPassOpen(id, pass)) return false;
    Transaction& t = *find(id);
    if (checkClientWaiting(t) && isPermitted(now, t, servers_[t.passes[pass].server], t.openPasses - 1))
        return true;
    counters_.withheld += !t.answered;
    return false;
}

void Core::execute(Time now, const Action& action) {
    if (const auto* a = std::get_if<Send>(&action)) return send(now, *a);
    if (const auto* a = std::get_if<Cancel>(&action)) {
        Transaction* const t = findByRequestId(a->id);
        const std::uint32_t number = t ? a->attempt + t->firstPass : 0;
        if (t && number < t->passes.size() && t->passes[number].open)
            ++counters_.cancels, endPass(now, *t, number, End::withdrawn, {}, {});
    } else if (const auto* refusal = std::get_if<Refuse>(&action)) {
        if (Transaction* const t = findByRequestId(refusal->id); t && !tryWiden(now, *t))
            refuse(now, *t, refusal->retryAfter);
    } else if (const auto* failure = std::get_if<Fail>(&action)) {
        if (Transaction* const t = findByRequestId(failure->id)) fail(now, *t);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        const std::uint64_t tag = timer->tag;
        deadlines_.once(now + timer->delay, [this, tag](Time at) { dispatch(at, TimerFired{tag}); });
    } else if (std::holds_alternative<Subscribe>(action)) {
        for (RosterSource* const source : sources_) source->watch(now);
    } else if (const auto* probe = std::get_if<Probe>(&action)) {
        if (probe->worker < servers_.size() && servers_[probe->worker].pool)
            servers_[probe->worker].pool->probe(now, probe->worker);
    } else if (const auto* close = std::get_if<CloseIdle>(&action)) {
        if (close->worker < servers_.size() && servers_[close->worker].pool)
            servers_[close->worker].pool->closeIdle(now, close->worker);
    }
}

void Core::passStarted(Time now, TransactionId id, std::uint32_t pass) {
    if (!isPassOpen(id, pass)) return;
    Transaction& t = *find(id);
    if (t.client) t.client->started(now);
    ++counters_.started;
    trace_(now, "started t=%llu pass=%u", static_cast<unsigned long long>(id), pass);
    if (placement_.on()) placement_.recordStart(now, t.passes[pass].server, now - t.passes[pass].sent);
    dispatch(now, AttemptProgress{requestIdOf(t), pass - t.firstPass, true, 0});
}

void Core::passProgress(Time now, TransactionId id, std::uint32_t pass, double share) {
    if (!isPassOpen(id, pass)) return;
    const Transaction& t = *find(id);
    if (t.client) t.client->progress(now, share);
    dispatch(now, AttemptProgress{requestIdOf(t), pass - t.firstPass, false, share});
}

void Core::passPartial(Time now, TransactionId id, std::uint32_t pass, Partial kind, std::string_view bytes) {
    if (!isPassOpen(id, pass)) return;
    if (Transaction* const t = find(id); t->client) t->client->partial(now, kind, bytes);
}

void Core::commit(Time now, TransactionId id, std::uint32_t pass) {
    if (!isPassOpen(id, pass)) return;
    Transaction& t = *find(id);
    if (t.committed) return;
    t.committed = pass;
    ++counters_.committed;
    for (std::uint32_t other = 0; other < t.passes.size(); ++other)
        if (other != pass && t.passes[other].open)
            ++counters_.cancels, endPass(now, t, other, End::withdrawn, {}, {});
    dispatch(now, StreamStarted{requestIdOf(t), pass - t.firstPass});
}

void Core::seal(TransactionId id) {
    if (Transaction* const t = find(id); t && !std::exchange(t->sealed, true)) ++counters_.sealed;
}

// Answers a transaction that can't be served any more, instead of letting it wait for its deadline. This
// applies no policy: after this pass no other one is permitted.
void Core::settleAfterPass(Time now, Transaction& t, std::uint32_t number, End how) {
    if (t.answered || (t.committed ? *t.committed != number : !t.sealed || t.openPasses > 0)) return;
    if (t.committed || how == End::failed) return fail(now, t);
    refuse(now, t, retryAdvice());
}

void Core::passEnded(Time now, TransactionId id, std::uint32_t pass, End how, std::string result,
                     const LoadReport& load) {
    Transaction* const t = find(id);
    if (!t || pass >= t->passes.size() || !t->passes[pass].open) return;
    endPass(now, *t, pass, how, std::move(result), load);
    eraseIfFinished(id);
}

void Core::endPass(Time now, Transaction& t, std::uint32_t number, End how, std::string result,
                   const LoadReport& load) {
    PassState& pass = t.passes[number];
    pass.open = false;
    --t.openPasses;
    ++counters_.ends[static_cast<std::size_t>(how)];
    trace_(now, "ended t=%llu pass=%u server=%s how=%s ms=%lld queued=%.0f held=%.0f",
           static_cast<unsigned long long>(t.id), number, servers_[pass.server].name.c_str(), nameOf(how),
           static_cast<long long>((now - pass.sent) / std::chrono::milliseconds(1)), load.queued,
           load.inFlight);
    if (!provesNeverRan(how)) t.mayHaveRun = true;
    counters_.loadReports += load.inFlight >= 0 || load.queued >= 0 || load.busy >= 0 || load.freeSlots >= 0;
    if (how == End::withdrawn || how == End::timedOut) pass.pool->abandon(now, passOf(t, number));
    if (how == End::failed) t.lastFailure = std::move(result);
    if (how == End::served) {
        if (t.answered) ++counters_.lateResults;
        answer(t, [&](ClientEnd& client) {
            ++counters_.served, ++totalsOf(t.klass).succeeded;
            client.served(now, std::move(result));
        });
    }
    settleAfterPass(now, t, number, how);
    const heronmount::RequestId as = requestIdOf(t);
    const std::uint32_t first = t.firstPass;
    // All attempts but one were rejected by the first choice of places: the last one is used outside of it.
    if (t.passes.size() + 1 >= site_.module.maxAttempts && provesNeverRan(how) && tryWiden(now, t))
        dispatch(now, ClientLeft{as});
    dispatch(now, AttemptEnded{as, number - first, outcomeOf(how), now - pass.sent, t.answered, load});
}

void Core::probeAnswered(Time now, Worker server, bool ok, const LoadReport& load) {
    dispatch(now, ProbeAnswered{server, ok, load});
}

Worker Core::handleOf(std::string_view name) {
    const auto [at, fresh] = handles_.try_emplace(std::string(name), static_cast<Worker>(servers_.size()));
    if (fresh) {
        servers_.emplace_back();
        servers_.back().name = at->first;
    }
    return at->second;
}

void Core::updateRoster(Time now, const RosterSource& source, ApplicationServers& servers, RosterMode mode,
                        const std::vector<RosterServer>& entries) {
    ++counters_.rosterUpdates;
    trace_(now, "farm mode=%d entries=%zu", static_cast<int>(mode), entries.size());
    RosterUpdate update;
    update.mode = mode;
    if (mode != RosterMode::incremental)
        for (Server& server : servers_)
            if (server.source == &source) server.listed = server.on = false;
    for (const RosterServer& item : entries) {
        const Worker handle = handleOf(item.name);
        Server& server = servers_[handle];
        server.pool = &servers;
        server.source = &source;
        server.entry = item.entry;
        server.entry.worker = handle;
        server.entry.id = settings::fingerprint(item.name);
        // A server that names no classes accepts those of the default protocol, by its kind. Otherwise calls
        // of one protocol could be sent to servers of another.
        if ((site_.wires > 1 || placement_.on()) && server.entry.classMask == 0)
            server.entry.classMask = settings::classesOf(site_, 0, server.entry.kind);
        bool noClasses = false;
        if (placement_.on()) {
            // A removed server has no zone label; its absence is not a change of the label.
            const auto& serverPlacement =
                item.entry.status == WorkerStatus::off
                    ? placement_.placementOf(handle)
                    : placement_.updateServer(now, handle, item.name, item.zoneKnown ? item.entry.zone : -1,
                                              item.entry.startedAt);
            server.entry.classMask = placement_.classMaskOf(server.entry.classMask, serverPlacement);
            server.entry.kind = placement_.kindOf(server.entry.kind, serverPlacement);
            noClasses = server.entry.classMask == 0;  // a mask of 0 would select classes by the server's kind
            if (noClasses && server.entry.status == WorkerStatus::on)
                server.entry.status = WorkerStatus::draining;
        }
        server.listed = item.entry.status != WorkerStatus::off;
        server.on = item.entry.status == WorkerStatus::on && !noClasses;
        update.entries.push_back(server.entry);
    }
    if (placement_.on() && placement_.changed() && placementsChanged_) placementsChanged_(now);
    if (placement_.on()) {
        servedClassMask_ = 0;
        for (const Server& server : servers_)
            if (server.on) servedClassMask_ |= server.entry.classMask;
    }
    // The dispatcher treats a full list as the complete roster, so the servers of other sources are added.
    if (mode != RosterMode::incremental)
        for (const Server& server : servers_)
            if (server.source != &source && server.listed) update.entries.push_back(server.entry);
    dispatch(now, std::move(update));
}

void Core::rosterLost(Time now, bool ask) {
    ++counters_.rosterLosses;
    trace_(now, "farm lost");
    if (!ask) return;
    RosterUpdate update;
    update.mode = RosterMode::lost;
    dispatch(now, std::move(update));
}

}  // namespace amberswitch
