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

// As the module numbers it: one that was widened is another request there.
heronmount::RequestId Core::idOf(const Transaction& t) const {
    return t.second ? t.id | kSecond : t.id;
}

Core::Transaction* Core::asked(heronmount::RequestId id) {
    Transaction* const t = find(id & ~kSecond);
    return t && idOf(*t) == id ? t : nullptr;
}

Core::Transaction* Core::find(TransactionId id) {
    const auto at = transactions_.find(id);
    return at == transactions_.end() ? nullptr : &at->second;
}

bool Core::openPass(TransactionId id, std::uint32_t pass) const {
    const auto at = transactions_.find(id);
    return at != transactions_.end() && pass < at->second.passes.size() && at->second.passes[pass].open;
}

// Guards against the module being entered again from what its own actions set off: an event that comes while
// another is being taken waits in line.
void Core::tell(Time now, Event event) {
    inbox_.push_back(std::move(event));
    if (turning_) return;
    turning_ = true;
    while (!inbox_.empty()) {
        const Event next = std::move(inbox_.front());
        inbox_.pop_front();
        std::vector<Action> actions = std::exchange(actions_, {});
        actions.clear();
        dispatcher_.on(now, next, actions);
        for (const Action& action : actions) carryOut(now, action);
        actions_ = std::move(actions);
    }
    turning_ = false;
}

// The one place where a transaction stops being owed an answer: it has one, or its client has gone.
std::shared_ptr<ClientEnd> Core::settled(Transaction& t) {
    if (std::exchange(t.answered, true)) return nullptr;
    if (t.ticket.widened && !t.wentOut) placement_.returned(t.ticket);
    --open_;
    return std::exchange(t.client, nullptr);
}

template <class Answer>
void Core::answer(Transaction& t, Answer&& say) {
    if (const std::shared_ptr<ClientEnd> client = settled(t)) say(*client);
}

// Guards against work for a client whose leaving has come but waits to be read, behind others' events or
// behind bytes of its own.
bool Core::wanted(Transaction& t) {
    if (t.answered) return false;
    if (!t.client || !t.client->hasLeft()) return true;
    settled(t);
    ++counters_.left, ++counters_.leftUnheard;
    return false;
}

ProxyPass Core::passOf(const Transaction& t, std::uint32_t number) const {
    const PassState& pass = t.passes[number];
    return {t.id, number, pass.server, pass.until, &t.job, t.klass, t.priority};
}

void Core::fail(Time now, Transaction& t) {
    if (!t.answered) trace_(now, "failed t=%llu", static_cast<unsigned long long>(t.id));
    answer(t, [&](ClientEnd& client) {
        ++counters_.failed, ++endedOf(t.klass).aborted;
        client.failed(now, t.lastFailure);
    });
}

void Core::refuse(Time now, Transaction& t, Nanos retryIn) {
    if (t.answered) return;
    const ClassSettings& klass = site_.module.classes[t.klass];
    const bool harmless = (!t.mayHaveRun && t.out == 0) || klass.idempotency == Idempotency::safe ||
                          (klass.idempotency == Idempotency::keyed && klass.dedupScope == DedupScope::all);
    if (placement_.on()) retryIn = placement_.refused(now, t.ticket, retryIn, site_.module.maxRetryAfter);
    if (harmless) {
        trace_(now, "refused t=%llu passes=%zu", static_cast<unsigned long long>(t.id), t.passes.size());
        answer(t, [&](ClientEnd& client) {
            ++counters_.unavailable, ++endedOf(t.klass).declined;
            client.unavailable(now, retryIn);
        });
    } else {  // an unavailable answer would invite a repeat that the class forbids
        ++counters_.softened;
        fail(now, t);
    }
}

Nanos Core::advice() const {
    const auto& allowed = site_.module;
    return allowed.mayAdviseRetry ? std::min<Nanos>(allowed.maxRetryAfter, std::chrono::milliseconds(100))
                                  : Nanos(0);
}

void Core::turnedAway(std::uint32_t klass, bool unavailable) {
    ++counters_.taken;
    ++(unavailable ? counters_.unavailable : counters_.failed);
    ++(unavailable ? endedOf(klass).declined : endedOf(klass).aborted);
}

std::size_t Core::listed() const {
    return static_cast<std::size_t>(
        std::count_if(farm_.begin(), farm_.end(), [](const Server& server) { return server.listed; }));
}

// Guards against clients that would learn of this process's end by a reset only: who may come again
// elsewhere is told so while there is time for it.
void Core::giveUpAll(Time now) {
    std::vector<TransactionId> ids;
    for (const auto& [id, t] : transactions_)
        if (!t.answered) ids.push_back(id);
    for (const TransactionId id : ids) {
        refuse(now, *find(id), advice());
        tell(now, ClientLeft{idOf(*find(id))});  // calls off what is out
        forget(id);
    }
}

TransactionId Core::arrive(Time now, Arrival arrival) {
    const TransactionId id = ++last_;
    Transaction& t = transactions_[id];
    t.id = id;
    t.job = std::move(arrival.job);
    t.client = std::move(arrival.client);
    t.klass = arrival.request.klass;
    t.priority = arrival.priority;
    t.deadline = now + arrival.request.timeLeft;
    ++open_, ++counters_.taken;
    trace_(now, "arrived t=%llu class=%u slots=%.0f", static_cast<unsigned long long>(id), t.klass,
           arrival.request.slots);
    arrival.request.id = id;
    // Guards against a transaction the module would still hold when the client gives up.
    deadlines_.once(t.deadline, [this, id](Time at) { due(at, id); });
    if (placement_.on()) {
        t.ticket = placement_.take(arrival.request.tenant, t.klass);
        if (t.ticket.entry) t.klass = placement_.classIn(t.ticket, t.klass);
        arrival.request.klass = t.klass, t.request = arrival.request;
        // Guards against a job that the module would keep for a server of its place to come.
        if (!t.ticket.entry || !anyFor(t)) {
            if (!widened(now, t)) refuse(now, t, advice());
            forget(id);
            return id;
        }
    }
    tell(now, arrival.request);
    forget(id);
    return id;
}

// Home can't start it in time: it goes elsewhere if nothing of it ran, it is allowed to, and the allowance
// has something left.
bool Core::widened(Time now, Transaction& t) {
    if (!placement_.on() || t.answered || t.mayHaveRun || t.out > 0 || t.sealed || t.committed ||
        t.passes.size() >= site_.module.maxAttempts || now >= t.deadline || !placement_.widens(now, t.ticket))
        return false;
    t.klass = placement_.classIn(t.ticket, t.request.klass % placement_.wireClasses());
    if (!anyFor(t)) return placement_.returned(t.ticket), false;
    // Under another number: what the module set out for the first one (its timers) must not meet this one.
    t.second = true, t.since = static_cast<std::uint32_t>(t.passes.size());
    t.request.klass = t.klass, t.request.timeLeft = t.deadline - now, t.request.id = idOf(t);
    tell(now, t.request);
    return true;
}

void Core::due(Time now, TransactionId id) {
    Transaction* const t = find(id);
    if (!t) return;
    const std::size_t passes = t->passes.size();
    for (std::uint32_t number = 0; number < passes; ++number)
        if (t->passes[number].open) endPass(now, *t, number, End::timedOut, {}, {});
    if (!t->answered) {
        fail(now, *t);
        tell(now, ClientLeft{idOf(*t)});
    }
    forget(id);
}

void Core::clientLeft(Time now, TransactionId id) {
    Transaction* const t = find(id);
    if (!t || t->answered) return;
    settled(*t);
    ++counters_.left;
    // Guards against a pass that begins after its client has gone, where what runs can't be called off: one
    // that waits for its connection is not running.
    for (std::uint32_t number = 0; number < t->passes.size(); ++number)
        if (t->passes[number].open && !t->passes[number].side->begun(passOf(*t, number)))
            endPass(now, *t, number, End::withdrawn, {}, {});
    tell(now, ClientLeft{idOf(*t)});
    forget(id);
}

void Core::forget(TransactionId id) {
    const Transaction* const t = find(id);
    if (t && t->answered && t->out == 0 && !turning_) transactions_.erase(id);
}

// What the rules forbid, whatever asked for it.
bool Core::legal(Time now, const Transaction& t, const Server& to) const {
    return t.passes.size() < site_.module.maxAttempts && permitted(now, t, to, t.out);
}

// `others`: its passes that are out beside the one in question.
bool Core::permitted(Time now, const Transaction& t, const Server& to, std::uint32_t others) const {
    const ClassSettings& klass = site_.module.classes[t.klass];
    if (t.answered || t.sealed || t.committed || !to.on || !to.side || now >= t.deadline) return false;
    if (placement_.on() && !placement_.allows(t.ticket, to.entry.worker)) return false;
    if (others > 0 && !site_.module.mayDuplicate) return false;
    if (to.entry.classMask ? !(to.entry.classMask >> t.klass & 1)
                           : klass.kind >= 0 && klass.kind != to.entry.kind)
        return false;
    if ((!t.mayHaveRun && others == 0) || klass.idempotency == Idempotency::safe) return true;
    // Guards against a repeat that arrives after the window: ways differ by less than two ticks.
    if (klass.idempotency == Idempotency::unsafe ||
        now + 2 * site_.module.tick > t.anchoredAt + klass.dedupWindow)
        return false;
    return klass.dedupScope == DedupScope::all ||
           (klass.dedupScope == DedupScope::zone && to.entry.zone == t.zone) ||
           (klass.dedupScope == DedupScope::cell && to.entry.cell == t.cell);
}

void Core::send(Time now, const Send& order) {
    Transaction* const t = asked(order.id);
    if (!t || order.worker >= farm_.size()) return;
    Server& to = farm_[order.worker];
    const bool allowed = wanted(*t) && legal(now, *t, to);
    const Time until = order.deadline.count() > 0 ? std::min(order.deadline, t->deadline) : t->deadline;
    const auto number = static_cast<std::uint32_t>(t->passes.size());
    if (allowed && !t->mayHaveRun && t->out == 0)
        t->zone = to.entry.zone, t->cell = to.entry.cell, t->anchoredAt = now;
    t->passes.push_back({order.worker, now, true, to.side, until});
    ++t->out;
    if (!allowed) {
        counters_.withheld += !t->answered;
        return endPass(now, *t, number, End::unsent, {}, {});
    }
    ++counters_.passes;
    if (placement_.on()) t->wentOut = t->wentOut || placement_.outside(t->ticket, order.worker);
    const Nanos age = to.entry.startedAt.count() > 0 ? now - to.entry.startedAt : Nanos(-1'000'000);
    trace_(now, "sent t=%llu pass=%u server=%s zone=%d kind=%d cell=%d age=%lld",
           static_cast<unsigned long long>(t->id), number, to.name.c_str(), to.entry.zone, to.entry.kind,
           to.entry.cell, static_cast<long long>(age / std::chrono::milliseconds(1)));
    const TransactionId id = t->id;
    if (until < t->deadline)
        deadlines_.once(until, [this, id, number](Time at) { passEnded(at, id, number, End::timedOut); });
    to.side->start(now, passOf(*t, number));
}

bool Core::mayBegin(Time now, TransactionId id, std::uint32_t pass) {
    if (!openPass(id, pass)) return false;
    Transaction& t = *find(id);
    if (wanted(t) && permitted(now, t, farm_[t.passes[pass].server], t.out - 1)) return true;
    counters_.withheld += !t.answered;
    return false;
}

void Core::carryOut(Time now, const Action& action) {
    if (const auto* a = std::get_if<Send>(&action)) return send(now, *a);
    if (const auto* a = std::get_if<Cancel>(&action)) {
        Transaction* const t = asked(a->id);
        const std::uint32_t number = t ? a->attempt + t->since : 0;
        if (t && number < t->passes.size() && t->passes[number].open)
            ++counters_.cancels, endPass(now, *t, number, End::withdrawn, {}, {});
    } else if (const auto* refusal = std::get_if<Refuse>(&action)) {
        if (Transaction* const t = asked(refusal->id); t && !widened(now, *t))
            refuse(now, *t, refusal->retryAfter);
    } else if (const auto* failure = std::get_if<Fail>(&action)) {
        if (Transaction* const t = asked(failure->id)) fail(now, *t);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        const std::uint64_t tag = timer->tag;
        deadlines_.once(now + timer->delay, [this, tag](Time at) { tell(at, TimerFired{tag}); });
    } else if (std::holds_alternative<Subscribe>(action)) {
        for (FarmSource* const source : sources_) source->watch(now);
    } else if (const auto* probe = std::get_if<Probe>(&action)) {
        if (probe->worker < farm_.size() && farm_[probe->worker].side)
            farm_[probe->worker].side->probe(now, probe->worker);
    } else if (const auto* close = std::get_if<CloseIdle>(&action)) {
        if (close->worker < farm_.size() && farm_[close->worker].side)
            farm_[close->worker].side->closeIdle(now, close->worker);
    }
}

void Core::passStarted(Time now, TransactionId id, std::uint32_t pass) {
    if (!openPass(id, pass)) return;
    Transaction& t = *find(id);
    if (t.client) t.client->started(now);
    ++counters_.started;
    trace_(now, "started t=%llu pass=%u", static_cast<unsigned long long>(id), pass);
    if (placement_.on()) placement_.began(now, t.passes[pass].server, now - t.passes[pass].sent);
    tell(now, AttemptProgress{idOf(t), pass - t.since, true, 0});
}

void Core::passProgress(Time now, TransactionId id, std::uint32_t pass, double share) {
    if (!openPass(id, pass)) return;
    const Transaction& t = *find(id);
    if (t.client) t.client->progress(now, share);
    tell(now, AttemptProgress{idOf(t), pass - t.since, false, share});
}

void Core::passPartial(Time now, TransactionId id, std::uint32_t pass, Partial kind, std::string_view bytes) {
    if (!openPass(id, pass)) return;
    if (Transaction* const t = find(id); t->client) t->client->partial(now, kind, bytes);
}

void Core::commit(Time now, TransactionId id, std::uint32_t pass) {
    if (!openPass(id, pass)) return;
    Transaction& t = *find(id);
    if (t.committed) return;
    t.committed = pass;
    ++counters_.committed;
    for (std::uint32_t other = 0; other < t.passes.size(); ++other)
        if (other != pass && t.passes[other].open)
            ++counters_.cancels, endPass(now, t, other, End::withdrawn, {}, {});
    tell(now, StreamStarted{idOf(t), pass - t.since});
}

void Core::seal(TransactionId id) {
    if (Transaction* const t = find(id); t && !std::exchange(t->sealed, true)) ++counters_.sealed;
}

// Guards against a transaction that nothing can serve any more and that waits for its deadline all the same.
// Nothing is decided here: no other pass may follow this one.
void Core::settle(Time now, Transaction& t, std::uint32_t number, End how) {
    if (t.answered || (t.committed ? *t.committed != number : !t.sealed || t.out > 0)) return;
    if (t.committed || how == End::failed) return fail(now, t);
    refuse(now, t, advice());
}

void Core::passEnded(Time now, TransactionId id, std::uint32_t pass, End how, std::string result,
                     const LoadReport& load) {
    Transaction* const t = find(id);
    if (!t || pass >= t->passes.size() || !t->passes[pass].open) return;
    endPass(now, *t, pass, how, std::move(result), load);
    forget(id);
}

void Core::endPass(Time now, Transaction& t, std::uint32_t number, End how, std::string result,
                   const LoadReport& load) {
    PassState& pass = t.passes[number];
    pass.open = false;
    --t.out;
    ++counters_.ends[static_cast<std::size_t>(how)];
    trace_(now, "ended t=%llu pass=%u server=%s how=%s ms=%lld queued=%.0f held=%.0f",
           static_cast<unsigned long long>(t.id), number, farm_[pass.server].name.c_str(), nameOf(how),
           static_cast<long long>((now - pass.sent) / std::chrono::milliseconds(1)), load.queued,
           load.inFlight);
    if (!provesNeverRan(how)) t.mayHaveRun = true;
    counters_.loadReports += load.inFlight >= 0 || load.queued >= 0 || load.busy >= 0 || load.freeSlots >= 0;
    if (how == End::withdrawn || how == End::timedOut) pass.side->abandon(now, passOf(t, number));
    if (how == End::failed) t.lastFailure = std::move(result);
    if (how == End::served) {
        if (t.answered) ++counters_.lateResults;
        answer(t, [&](ClientEnd& client) {
            ++counters_.served, ++endedOf(t.klass).succeeded;
            client.served(now, std::move(result));
        });
    }
    settle(now, t, number, how);
    const heronmount::RequestId as = idOf(t);
    const std::uint32_t first = t.since;
    // One attempt is left for elsewhere: home has turned it away with all others.
    if (t.passes.size() + 1 >= site_.module.maxAttempts && provesNeverRan(how) && widened(now, t))
        tell(now, ClientLeft{as});
    tell(now, AttemptEnded{as, number - first, outcomeOf(how), now - pass.sent, t.answered, load});
}

void Core::probeAnswered(Time now, Worker server, bool ok, const LoadReport& load) {
    tell(now, ProbeAnswered{server, ok, load});
}

Worker Core::handleOf(std::string_view name) {
    const auto [at, fresh] = handles_.try_emplace(std::string(name), static_cast<Worker>(farm_.size()));
    if (fresh) {
        farm_.emplace_back();
        farm_.back().name = at->first;
    }
    return at->second;
}

void Core::farm(Time now, const FarmSource& source, ApplicationServers& servers, RosterMode mode,
                const std::vector<FarmEntry>& entries) {
    ++counters_.farmUpdates;
    trace_(now, "farm mode=%d entries=%zu", static_cast<int>(mode), entries.size());
    RosterUpdate update;
    update.mode = mode;
    if (mode != RosterMode::incremental)
        for (Server& server : farm_)
            if (server.source == &source) server.listed = server.on = false;
    for (const FarmEntry& told : entries) {
        const Worker handle = handleOf(told.name);
        Server& server = farm_[handle];
        server.side = &servers;
        server.source = &source;
        server.entry = told.entry;
        server.entry.worker = handle;
        server.entry.id = settings::fingerprint(told.name);
        // Guards against calls of one wire at servers of another: who names no classes takes those of the
        // plain wire, by its kind.
        if ((site_.wires > 1 || placement_.on()) && server.entry.classMask == 0)
            server.entry.classMask = settings::classesOf(site_, 0, server.entry.kind);
        bool nothing = false;
        if (placement_.on()) {
            // Who is gone has no label any more: one that is missing there is no change.
            const auto& standing =
                told.entry.status == WorkerStatus::off
                    ? placement_.standing(handle)
                    : placement_.listed(now, handle, told.name, told.placed ? told.entry.zone : -1,
                                        told.entry.startedAt);
            server.entry.classMask = placement_.widen(server.entry.classMask, standing);
            server.entry.kind = placement_.kindOf(server.entry.kind, standing);
            nothing = server.entry.classMask == 0;  // which would mean: by its kind
            if (nothing && server.entry.status == WorkerStatus::on)
                server.entry.status = WorkerStatus::draining;
        }
        server.listed = told.entry.status != WorkerStatus::off;
        server.on = told.entry.status == WorkerStatus::on && !nothing;
        update.entries.push_back(server.entry);
    }
    if (placement_.on() && placement_.changed() && standingsChanged_) standingsChanged_(now);
    if (placement_.on()) {
        taken_ = 0;
        for (const Server& server : farm_)
            if (server.on) taken_ |= server.entry.classMask;
    }
    // The module takes a whole list as all there is: what other sources told goes in again.
    if (mode != RosterMode::incremental)
        for (const Server& server : farm_)
            if (server.source != &source && server.listed) update.entries.push_back(server.entry);
    tell(now, std::move(update));
}

void Core::farmLost(Time now, bool ask) {
    ++counters_.farmLost;
    trace_(now, "farm lost");
    if (!ask) return;
    RosterUpdate update;
    update.mode = RosterMode::lost;
    tell(now, std::move(update));
}

}  // namespace amberswitch
