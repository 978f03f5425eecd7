// All decisions of one scheduler. Interface: include/heronmount/dispatcher.hpp; data: state.hpp. Sections:
// roster; learning; pick; attempts and final answers; health; cold budget; admission and fairness.
#include <algorithm>
#include <unordered_map>
#include <utility>

#include "state.hpp"

namespace heronmount {
namespace {

constexpr double kSmoothingJobs = 20;         // completions over which a job time is smoothed
constexpr double kMaxEjectedShare = 0.5;      // beyond this the load is to blame, not the workers
constexpr std::size_t kMaxHomes = 24;         // homes kept in order for an affinity key
constexpr double kMinHomes = 2;               // least number of homes of a key
constexpr double kKeyShareOfHome = 0.3;       // largest share of a home's work that one key may make up
constexpr double kLevelsPerSlot = 2;          // load levels for each slot held
constexpr double kScarceKindSlots = 1;        // slots added at kinds that a class needs, for other work
constexpr double kCrossZoneSlots = 40;        // slots added for crossing zones, for each unit of its cost
constexpr double kToleratedSlowness = 1.5;    // slowness against its kind that leaves the level as it is
constexpr double kToleratedWait = 0.2;        // mean wait as a share of the slack that is tolerated
constexpr double kMaxShedShare = 0.95;        // largest share of work that is refused
constexpr double kShedFactor = 3;             // share of work refused for each unit of wait above that
constexpr double kWaitSmoothing = 0.5;        // seconds over which the mean wait is smoothed,
constexpr double kSparseWaitSmoothing = 2.5;  // and with few own jobs, where one sample says little
constexpr double kOwnJobLoad = 0.75;          // jobs per core for each own job sent or ended since the list
constexpr double kCopyDelay = 0.125;          // share of the target latency until an unstarted job is copied
constexpr double kMinSilence = 0.3;  // seconds without a report until a waiting job's worker is suspect
constexpr double kBudgetUse = 0.5;   // share of the cold budget that is used
constexpr int kZoneFailures = 4;     // failures without a report between that make a zone suspect
constexpr double kFirstEjection = 1, kLongestEjection = 8;  // seconds
constexpr int kMaxRank = 100000, kIdBits = 52;  // a timer's tag: its kind above kIdBits, the request id below
constexpr Nanos kAdvisedRetry = std::chrono::milliseconds(100);
enum TimerKind : std::uint64_t { kDeadline, kCheck, kRetry, kSubscribe };

}  // namespace

class Dispatcher::Rules {
public:
    Rules(Settings settings, std::uint64_t seed) : cfg_(std::move(settings)), random_{seed} {
        validate(cfg_);
        live_ = cfg_.weights == Weights::live;
        for (const auto& c : cfg_.classes) {
            hasSafeClass_ = hasSafeClass_ || c.idempotency == Idempotency::safe;
            if (c.kind >= 0) neededKinds_.push_back(c.kind);
        }
        runs_.resize(cfg_.classes.size()), hints_.resize(cfg_.classes.size()),
            waits_.resize(cfg_.classes.size());
        tenantRates_.resize(cfg_.tenants.size());
        byKind_.resize(static_cast<std::size_t>(std::max(1, cfg_.kinds)));
    }

    void on(Time now, const Event& event, std::vector<Action>& actions) {
        now_ = std::max(now, now_);
        actions_ = &actions;
        if (!started_) start();
        std::visit([this](const auto& e) { handle(e); }, event);
        actions_ = nullptr;
    }

    std::size_t avoidedWorkerCount() {
        const auto away = [this](Worker h) { return isExcluded(workers_[h]) || isZoneDown(workers_[h]); };
        return static_cast<std::size_t>(std::count_if(active_.begin(), active_.end(), away));
    }

private:
    // --- roster ---
    void start() {
        started_ = true, startTime_ = now_;
        // Schedulers that start together must not ask together: the roster's source has little capacity.
        if (cfg_.rosterOnRequest)
            arm(kSubscribe, 0, random_.next() * std::min(5.0, seconds(cfg_.rosterRequestWindow) / 3));
    }

    void handle(const RosterUpdate& update) {
        if (update.mode == RosterMode::lost) {
            backoff_ =
                std::min(std::max(1.0, backoff_ * 2), std::max(1.0, seconds(cfg_.rosterRequestWindow) / 2));
            arm(kSubscribe, 0, backoff_ * (0.5 + random_.next()));
            return;
        }
        if (update.mode != RosterMode::stale) backoff_ = 0;
        if (update.mode != RosterMode::incremental)
            for (const Worker w : active_) workers_[w].listed = false;
        for (const RosterEntry& entry : update.entries) {
            if (entry.worker >= workers_.size())
                workers_.resize(entry.worker + 1), pickData_.resize(entry.worker + 1);
            WorkerState& w = workers_[entry.worker];
            byKind_.resize(std::max(byKind_.size(), static_cast<std::size_t>(std::max(0, entry.kind)) + 1));
            const bool restarted = entry.startedAt > w.entry.startedAt;
            w.entry = entry, w.entry.kind = std::max(0, entry.kind), w.entry.zone = std::max(0, entry.zone);
            zones_.resize(std::max(zones_.size(), static_cast<std::size_t>(w.entry.zone) + 1));
            w.listed = entry.status == WorkerStatus::on;
            if (restarted) {  // cold again under the same id: reset what was learned
                w.relativeTime = {};
                clearFailures(w);
                pickData_[entry.worker].lastPick = kComesFirst;
            }
            pools_.resize(byKind_.size());
            if (live_) {  // weight = size / (1 + jobs held for each core)
                double& size = poolOf(w).peak;
                size = std::max({size, entry.weight, 1e-3});
                w.reportedLoad = size / std::max(1e-3, entry.weight) - 1, w.sentSince = 0;
            }
        }
        const std::vector<ColdWorker> before = std::exchange(cold_, {});
        active_.clear();
        for (Worker h = 0; h < workers_.size(); ++h)
            if (workers_[h].listed) active_.push_back(h);
        if (live_ || meanWeight_ == 0) {  // else relative to the mean of the first list
            meanWeight_ = 0;
            for (const Worker h : active_) meanWeight_ += weightOf(workers_[h]) / count(active_);
        }
        for (KindPool& pool : pools_) pool.totalWeight = 0, pool.waits.resize(zones_.size());
        softCount_ = 0, capacity_ = 1e-9;
        for (Worker h = 0; h < workers_.size(); ++h) {
            const int was = std::exchange(pickData_[h].coldIndex, -1);
            if (!workers_[h].listed) continue;
            updateCost(h);
            softCount_ += workers_[h].soft, capacity_ += capacity(workers_[h]);
            poolOf(workers_[h]).totalWeight += relativeWeight(workers_[h]);
            if (ramp(workers_[h]) >= 1) continue;
            pickData_[h].coldIndex = static_cast<int>(cold_.size());
            cold_.push_back(was >= 0 ? before[static_cast<std::size_t>(was)] : ColdWorker{});
            cold_.back().worker = h;
        }
        ++rosterNumber_, updateBudgets(), placeNew();
    }

    void placeNew() {
        double sum = 0;
        for (const Worker h : active_) sum -= pickData_[h].costPerAge;
        for (const Worker h : active_)
            if (pickData_[h].lastPick == kComesFirst)
                pickData_[h].lastPick = sends_ + random_.next() * sum / pickData_[h].costPerAge;
    }

    // --- learning ---
    double perSecond(const SmoothedRate& flow) const {  // corrected for the first seconds
        return flow.at(now_) / (1 - std::exp(-std::max(seconds(now_ - startTime_), 1.0) / kRateWindow));
    }

    // Expected job time at an average worker, in seconds: that of its class, scaled by its hint, if any.
    double estimateTime(const RequestArrived& r) const {
        const Mean& ran = runs_[r.klass];
        if (r.durationHint.count() == 0)
            return std::max(1e-3, ran.count > 0 ? ran.value : seconds(cfg_.classes[r.klass].targetLatency));
        // Ratio of sums, with a prior that trusts the hint: one far too small hint affects only its own job.
        const double hint = seconds(r.durationHint), prior = kPriorJobs * hint, n = ran.count;
        return std::max(1e-4, hint * (ran.value * n + prior) / (hints_[r.klass].value * n + prior));
    }

    static double slotsOf(const Request& r) { return std::max({1.0, r.arrival.slots, r.arrival.memory}); }
    static double ownTime(double took, double wait) { return std::max(took - wait, 0.2 * took); }

    double relativeSize(const Request& r) const { return r.work / std::max(1e-6, meanWork_.value); }

    KindPool& poolOf(const WorkerState& w) { return pools_[static_cast<std::size_t>(w.entry.kind)]; }

    WaitState& waitOf(const WorkerState& w) {
        return poolOf(w).waits[static_cast<std::size_t>(w.entry.zone)];
    }

    Mean& kindTime(const WorkerState& w) { return byKind_[static_cast<std::size_t>(w.entry.kind)]; }

    // Job times of a worker relative to an average one: its own, blended with those of its kind at first.
    double slowness(WorkerState& w) { return w.relativeTime.blendedWith(kindTime(w).blendedWith(1)); }

    void recordTime(Worker h, double ratio) {
        WorkerState& w = workers_[h];
        ratio = std::min(ratio, std::max(1.0, ratio * ramp(w)));  // warming up is not lasting slowness
        ratio = std::clamp(ratio, 0.05, 20.0);
        w.relativeTime.add(ratio, kSmoothingJobs), kindTime(w).add(ratio, kSmoothingJobs * 5);
        updateCost(h);
    }

    double weightOf(const WorkerState& w) { return live_ ? poolOf(w).peak : std::max(0.0, w.entry.weight); }

    // Nominal and live weights include a kind's speed: job times then only tell how a worker differs from it.
    double relativeWeight(const WorkerState& w) {
        return weightOf(w) > 0 && meanWeight_ > 0 ? std::max(0.05, weightOf(w) / meanWeight_) : 1;
    }

    double capacity(WorkerState& w) {
        const bool nominal = live_ || cfg_.weights == Weights::nominal;
        return (cfg_.weights == Weights::none ? 1 : relativeWeight(w)) / slowness(w) *
               (nominal ? kindTime(w).blendedWith(1) : 1);
    }

    void updateCost(Worker h) {
        WorkerState& w = workers_[h];
        w.speedFactor = std::clamp(kToleratedSlowness * kindTime(w).blendedWith(1) / slowness(w), 0.2, 1.0);
        const double mu = ramp(w) * capacity(w) / (meanWork_.count > 0 ? meanWork_.value : 1);
        w.logBusy = -std::log1p(mu / (rate_ * cfg_.schedulerCount));
        pickData_[h].costPerAge = w.logBusy / w.lastJobSize;
    }

    // Costs depend only on the ratio of the arrival rate to mu: all are updated once the rate has moved.
    void refreshCosts() {
        refreshedAt_ = now_;
        updateBudgets();
        const double rate = std::max(perSecond(arrivals_), 1 / kRateWindow);  // at least one job per window
        if (rate < 1.25 * rate_ && rate > 0.8 * rate_) return;
        rate_ = rate;
        for (const Worker w : active_) updateCost(w);
    }

    // --- pick ---
    // Picks the lowest q^age, compared as age * ln q; equal costs go to the larger age, then to the lower
    // handle. The size enters q: a big job keeps a worker busy longer. Beyond the published rule, workers
    // with fewer own jobs known to wait or run come first: those jobs show that a worker is busy.
    static constexpr Worker kNoWorker = std::numeric_limits<Worker>::max();
    static double count(const std::vector<Worker>& of) { return std::max<double>(1, of.size()); }

    Worker pick(const Request& r, int rankBelow) {
        if (now_ - refreshedAt_ > std::chrono::milliseconds(250)) refreshCosts();
        if (!r.arrival.hasAffinityKey) return cheapest(r, active_, active_.size(), rankBelow);
        KeyHomes& key = homesOf(r);
        const double share = key.demand.at(now_) / std::max(1e-9, demand_.at(now_));
        const auto homes = static_cast<std::size_t>(kMinHomes + share * count(active_) / kKeyShareOfHome);
        const Worker home = cheapest(r, key.homes, std::min(homes, key.homes.size()), 1);
        return home != kNoWorker ? home : cheapest(r, active_, active_.size(), rankBelow);
    }

    // The homes of the request's key, by rendezvous hashing. See KeyHomes for why they are preferred.
    KeyHomes& homesOf(const Request& r) {
        KeyHomes& key = keys_[r.arrival.affinityKey];
        if (key.rosterNumber == rosterNumber_) return key;
        key.rosterNumber = rosterNumber_;
        std::vector<std::pair<double, Worker>> order;
        for (const Worker h : active_) {
            Random pair{r.arrival.affinityKey * 0x9E3779B97F4A7C15ULL ^ workers_[h].entry.id};
            pair.next();
            order.emplace_back(-std::log(std::max(pair.next(), 1e-18)) / relativeWeight(workers_[h]), h);
        }
        const std::size_t most = std::min(kMaxHomes, order.size());
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(most), order.end());
        key.homes.clear();
        for (std::size_t i = 0; i < most; ++i) key.homes.push_back(order[i].second);
        return key;
    }

    // Workers hold several jobs, not one as in the published rule: ages are compared only at the same level
    // of own slots held. Keeps jobs from waiting behind big ones, keeps kinds free for work that needs them,
    // and avoids needless zone crossings. Other schedulers count as described at Pool. Where own jobs wait in
    // a kind's zone, its workers count as fuller. Random rounding shares work between close levels.
    int loadLevel(const Request& r, const WorkerState& w, double chance) {
        double held = w.heldSlots;
        if (r.klass->kind < 0 && std::count(neededKinds_.begin(), neededKinds_.end(), w.entry.kind) > 0)
            held += kScarceKindSlots;
        if (w.entry.zone != cfg_.zone) held += kCrossZoneSlots * cfg_.crossZoneCost * w.entry.zoneCostFactor;
        held += waitOf(w).mean / kToleratedWait;
        const double others = (cfg_.schedulerCount - 1) * perSecond(poolOf(w).work) / poolOf(w).totalWeight;
        return static_cast<int>(kLevelsPerSlot * (held / (relativeWeight(w) * w.speedFactor) + others) +
                                chance);
    }

    Worker cheapest(const Request& r, const std::vector<Worker>& among, std::size_t first, int rankBelow) {
        const double chance = cfg_.schedulerCount > 1 ? random_.next() : 0;
        const double borne = toleratedWait(r);
        Worker best = kNoWorker;
        int bestRank = std::numeric_limits<int>::max(), bestLevel = bestRank;
        double bestCost = 0, bestAge = 0;
        for (std::size_t i = 0; i < first; ++i) {
            const Worker h = among[i];
            const double age = sends_ + 1 - pickData_[h].lastPick;
            double cost = age * pickData_[h].costPerAge;
            if (pickData_[h].coldIndex >= 0 &&
                !fitsColdBudget(r, cold_[static_cast<std::size_t>(pickData_[h].coldIndex)], cost))
                continue;
            if (best != kNoWorker && bestRank == 0 && bestLevel <= 0 && cost > bestCost) continue;
            const WorkerState& w = workers_[h];
            if (!maySend(r, w) || waitAt(h) > borne) continue;
            int rank = w.unstarted;
            if (isExcluded(w) && !isTrialDue(r, w)) rank += 1000;
            if (isZoneDown(w)) rank += 500;
            for (std::uint32_t a = 0; a < r.sends; ++a)
                if (r.attempts[a].worker == h) rank += r.attempts[a].open ? kMaxRank : 100;
            if (rank >= rankBelow || rank > bestRank) continue;
            const int level = cost == kComesFirst ? -1 : loadLevel(r, w, chance);
            if (rank == bestRank && level > bestLevel) continue;
            if (rank < bestRank || level < bestLevel || cost < bestCost ||
                (cost == bestCost && age > bestAge))
                best = h, bestRank = rank, bestLevel = level, bestCost = cost, bestAge = age;
        }
        return best;
    }

    // With live weights, the seconds that a job sent there would wait: a standing queue only makes jobs late.
    double waitAt(Worker h) {
        WorkerState& w = workers_[h];
        return std::max(0.0, w.reportedLoad + kOwnJobLoad * w.sentSince - 1) * meanWork_.value * slowness(w);
    }

    // A prioritized request may wait for its own slack, all others for the least slack of any class.
    double toleratedWait(const Request& r) const {
        double most = slack(r, *r.klass);
        if (!r.prioritized)
            for (const ClassSettings& c : cfg_.classes) most = std::min(most, slack(r, c));
        return most;
    }

    // --- attempts and final answers ---
    // Whether an attempt may have run, or may still run.
    bool mayHaveEffect(const Request& r) const { return r.mayHaveRun || r.inFlight > 0; }

    bool isSealed(const Request& r) const {  // no further send is allowed
        return mayHaveEffect(r) && r.klass->idempotency != Idempotency::safe &&
               (r.klass->idempotency == Idempotency::unsafe ||
                now_ + 2 * cfg_.tick > r.dedupStart + r.klass->dedupWindow);
    }

    // The only check of whether a send is allowed, for first attempts, retries and copies alike.
    bool maySend(const Request& r, const WorkerState& w) const {
        if (r.answered || r.streaming || !w.listed || isSealed(r) || (r.inFlight > 0 && !cfg_.mayDuplicate))
            return false;
        if (w.entry.classMask ? !(w.entry.classMask >> r.arrival.klass & 1)
                              : r.klass->kind >= 0 && r.klass->kind != w.entry.kind)
            return false;
        if (r.sends >= std::min<std::uint32_t>(cfg_.maxAttempts, kMaxAttempts)) return false;
        if (!mayHaveEffect(r) || r.klass->idempotency == Idempotency::safe) return true;
        if (r.klass->dedupScope == DedupScope::zone) return w.entry.zone == r.zone;
        return r.klass->dedupScope == DedupScope::all || w.entry.cell == r.cell;
    }

    void reject(Request& r) {
        r.answered = true;
        const bool all = r.klass->idempotency == Idempotency::keyed && r.klass->dedupScope == DedupScope::all;
        if (!mayHaveEffect(r) || r.klass->idempotency == Idempotency::safe || all)
            actions_->push_back(Refuse{
                r.arrival.id, cfg_.mayAdviseRetry ? std::min(cfg_.maxRetryAfter, kAdvisedRetry) : Nanos(0)});
        else
            actions_->push_back(Fail{r.arrival.id});
        cancelAttempts(r);
    }

    void cancelAttempts(const Request& r, std::uint32_t but = kMaxAttempts) {
        if (!cfg_.mayCancel) return;
        for (std::uint32_t a = 0; a < r.sends; ++a)
            if (a != but && r.attempts[a].open) actions_->push_back(Cancel{r.arrival.id, a});
    }

    void handle(const RequestArrived& e) {
        if (e.klass >= cfg_.classes.size()) throw std::invalid_argument("unknown class");
        if (e.id >> kIdBits) throw std::invalid_argument("request id out of range");
        const auto [at, fresh] = requests_.try_emplace(e.id);
        if (!fresh) return;
        arrivals_.add(now_, 1);
        Request& r = at->second;
        r.arrival = e, r.klass = &cfg_.classes[e.klass];
        r.arrivedAt = now_, r.deadline = now_ + e.timeLeft;
        r.expectedTime = estimateTime(e), r.work = r.expectedTime * slotsOf(r);
        meanWork_.add(r.work, 200), demand_.add(now_, r.work);
        if (e.hasAffinityKey) keys_[e.affinityKey].demand.add(now_, r.work);
        if (shouldRefuse(r, e.isClientRetry) && !isColdTurnDue(r)) return reject(r), eraseIfDone(r);
        arm(kDeadline, r.arrival.id, seconds(e.timeLeft - cfg_.tick));
        dispatch(r), eraseIfDone(r);
    }

    void dispatch(Request& r, int rankBelow = kMaxRank) {
        if (r.inFlight == 0 && isSealed(r)) return reject(r);
        const Worker h = pick(r, rankBelow);
        if (h == kNoWorker)  // none can start it in time, or it waits
            return r.inFlight > 0              ? void()
                   : live_ && !active_.empty() ? reject(r)
                                               : arm(kRetry, r.arrival.id, 0.05);
        WorkerState& w = workers_[h];
        if (!mayHaveEffect(r)) r.zone = w.entry.zone, r.cell = w.entry.cell, r.dedupStart = now_;
        Attempt& a = r.attempts[r.sends++];
        const double urgency = r.inFlight > 0 ? 0 : 1 / std::max(1e-3, slack(r, *r.klass));
        a = {h, r.arrival.klass, now_, now_, urgency, waitAt(h), now_, true, !cfg_.workersReportStart, false};
        ++r.inFlight, ++w.inFlight, w.sentSince += live_, w.heldSlots += slotsOf(r);
        if (cfg_.workersReportStart)
            ++w.unstarted, waitOf(w).backlog += a.inverseSlack, waits_[a.klass].backlog += a.inverseSlack;
        if (r.sends == 1) recent_[r.recentIndex].sentKind = w.entry.kind;
        const double size = relativeSize(r);
        if (pickData_[h].coldIndex >= 0) cold_[static_cast<std::size_t>(pickData_[h].coldIndex)].sent += size;
        poolOf(w).work.add(now_, r.work * slowness(w));
        sends_ += 1;
        w.lastJobSize = std::clamp(size, 0.2, 10.0);
        pickData_[h] = {sends_, w.logBusy / w.lastJobSize, pickData_[h].coldIndex};
        if (zoneOf(w).failures >= kZoneFailures) zoneOf(w).retryAt = now_ + nanos(kFirstEjection);
        if (w.ejected) w.trialUntil = now_ + nanos(std::max(1.0, 2 * meanWork_.value));
        actions_->push_back(Send{r.arrival.id, h, Time(0)});
        scheduleCheck(r, a);
    }

    void handle(const TimerFired& e) {
        const std::uint64_t what = e.tag >> kIdBits;
        if (what == kSubscribe) return actions_->push_back(Subscribe{});
        Request* const r = find(e.tag & ((std::uint64_t{1} << kIdBits) - 1));
        if (!r || r->answered || r->streaming) return;
        if (what == kCheck) checkAttempt(*r);
        if (what == kRetry && r->inFlight == 0) dispatch(*r), eraseIfDone(*r);
        if (what == kDeadline) reject(*r), eraseIfDone(*r);
    }

    // Ejects workers that accept jobs and stop responding: nothing was heard since the send for longer than
    // the longest usual wait, or progress notes are overdue. The job goes to another worker if allowed.
    // Reports on other jobs count while it is not known to run.
    void checkAttempt(Request& r) {
        Attempt& a = r.attempts[r.sends - 1];
        if (!a.open) return;
        WorkerState& w = workers_[a.worker];
        const bool runs = a.started && (cfg_.workersReportStart || a.heardAt > a.sentAt);
        const double quiet = seconds(now_ - std::max(a.heardAt, runs ? Time(0) : w.lastHeard));
        const bool silent = a.started ? cfg_.progressInterval.count() > 0 &&
                                            quiet > 2.2 * seconds(cfg_.progressInterval) + 2 * a.expectedWait
                                      : quiet > std::max(kMinSilence, 1.5 * longestWait_);
        if (silent && !w.ejected) recordFailure(w, true);
        if (!a.started && (silent || now_ - r.arrivedAt > nanos(slack(r, *r.klass)))) endWait(a, !silent);
        const std::uint32_t before = r.sends;
        if (!a.started && mayCopy(r)) dispatch(r, 1);
        if (silent && r.sends == before && cfg_.mayDuplicate && !isOverloaded()) dispatch(r);
        if (r.sends == before) scheduleCheck(r, a);
    }

    // Beyond the published rule, a job that has not started soon gets a copy at a worker without known
    // problems; the first start cancels the others. One scheduler of many uses a worker too seldom to know
    // its queue. Hardly any job runs twice.
    bool mayCopy(const Request& r) const {
        return cfg_.mayDuplicate && cfg_.mayCancel && r.sends < cfg_.maxAttempts;
    }

    void scheduleCheck(const Request& r, const Attempt& a) {
        const double goal = std::max(0.08, seconds(r.klass->targetLatency));  // 0 would check without end
        if (!a.started) arm(kCheck, r.arrival.id, mayCopy(r) ? goal * kCopyDelay : goal / 3 + 0.02);
        if (a.started && cfg_.progressInterval.count() > 0)
            arm(kCheck, r.arrival.id, 2.3 * seconds(cfg_.progressInterval));
    }

    Request* find(RequestId id) {
        const auto at = requests_.find(id);
        return at == requests_.end() ? nullptr : &at->second;
    }

    void handle(const StreamStarted& e) {
        if (Request* r = find(e.id)) r->streaming = true;
        handle(AttemptProgress{e.id, e.attempt, true, 0});
    }

    void handle(const AttemptProgress& e) {
        Request* const r = find(e.id);
        if (!r || e.attempt >= r->sends || !r->attempts[e.attempt].open) return;
        Attempt& a = r->attempts[e.attempt];
        WorkerState& w = workers_[a.worker];
        a.heardAt = w.lastHeard = now_;
        if (!a.started) {
            endWait(a, true);
            --w.unstarted, a.startedAt = now_;
            longestWait_ = std::max(seconds(now_ - a.sentAt), longestWait_ * 0.98);
        }
        a.started = true, clearFailures(w);
        if (cfg_.mayCancel) keepFirstStarted(*r);
    }

    void keepFirstStarted(const Request& r) {  // cancels all attempts but the first to start
        std::uint32_t best = r.sends;
        for (std::uint32_t a = 0; a < r.sends; ++a)
            if (r.attempts[a].open && r.attempts[a].started &&
                (best == r.sends || r.attempts[a].startedAt < r.attempts[best].startedAt))
                best = a;
        cancelAttempts(r, best);
    }

    void handle(const AttemptEnded& e) {
        Request* const found = find(e.id);
        if (!found || e.attempt >= found->sends) return;
        Request& r = *found;
        Attempt& a = r.attempts[e.attempt];
        if (!a.open) return;
        WorkerState& w = workers_[a.worker];
        a.open = false, --r.inFlight, --w.inFlight, w.sentSince -= live_, w.heldSlots -= slotsOf(r);
        if (!a.started) endWait(a, false), --w.unstarted;
        const bool ok = e.outcome == Outcome::ok, full = e.outcome == Outcome::full;
        const bool notRun = full || e.outcome == Outcome::connectFailed || e.outcome == Outcome::notExecuted;
        if (!notRun) r.mayHaveRun = true;
        if (ok || full) w.lastHeard = now_;
        const bool jammed = full && r.inFlight == 0 && r.sends >= cfg_.maxAttempts;  // no worker had room
        if (ok || jammed) waits_[a.klass].noRoomShare.add(now_, jammed, 1 / kSmoothingJobs);
        if (ok) {
            served_.add(now_, relativeSize(r) / available_);                          // per warm capacity
            const double ran = ownTime(seconds(now_ - a.startedAt), a.expectedWait);  // without the wait
            runs_[r.arrival.klass].add(ran / std::clamp(slowness(w), 0.2, 5.0), 200);
            hints_[r.arrival.klass].add(seconds(r.arrival.durationHint), 200);
            recordTime(a.worker, ownTime(seconds(now_ - a.sentAt), a.expectedWait) / estimateTime(r.arrival));
            clearFailures(w);
        } else if (e.outcome != Outcome::cancelled && e.outcome != Outcome::notExecuted &&
                   e.outcome != Outcome::staleConnection) {
            recordTime(a.worker, 2 * slowness(w));  // as a job of twice the smoothed time
            if (!full && e.outcome != Outcome::error) recordFailure(w, e.outcome == Outcome::timeout);
        }
        if (e.requestFinished && !r.answered) r.answered = true, cancelAttempts(r);
        // Keeps rarely used connections of many schedulers from filling a worker's connection table.
        if (ok && w.inFlight == 0 && cfg_.handshakeCost == 0 && count(active_) > 4 * rate_ * meanWork_.value)
            actions_->push_back(CloseIdle{a.worker});
        if (!r.answered && r.inFlight == 0) retry(r);
        eraseIfDone(r);
    }

    void retry(Request& r) {
        if (now_ + cfg_.tick >= r.deadline || r.sends >= cfg_.maxAttempts) return reject(r);
        dispatch(r);
    }

    void handle(const ClientLeft& e) {
        Request* const r = find(e.id);
        if (!r || r->answered) return;
        r->answered = true, cancelAttempts(*r), eraseIfDone(*r);
    }

    void handle(const ProbeAnswered&) {}  // no probes are sent: own attempts suffice
    void eraseIfDone(const Request& r) {
        if (r.answered && r.inFlight == 0) requests_.erase(r.arrival.id);
    }

    // --- health ---
    // Many failing at once means overload or a fault on this side: ejection then does more harm than good.
    bool isOverloaded() const { return static_cast<double>(softCount_) > kMaxEjectedShare * count(active_); }
    bool isExcluded(const WorkerState& w) const { return w.ejected && !(w.soft && isOverloaded()); }

    void recordFailure(WorkerState& w, bool soft) {
        ++w.failStreak, ++zoneOf(w).failures;
        zoneOf(w).retryAt = now_ + nanos(kFirstEjection * (0.5 + random_.next()));
        if (soft && !w.soft && w.listed) ++softCount_;
        w.soft = w.soft || soft, w.ejected = true;
        // A scheduler that uses the worker seldom skips a turn: else many of them keep trying a dead worker.
        const double turn = soft ? 0 : count(active_) / rate_;
        const double length = std::min(std::max(kLongestEjection, 2 * turn),
                                       std::max(kFirstEjection, turn) * std::exp2(w.failStreak - 1));
        w.ejectedUntil = now_ + nanos(length * (0.75 + 0.5 * random_.next()));
    }

    void clearFailures(WorkerState& w) {
        if (w.soft && w.listed) --softCount_;
        w.failStreak = 0, w.ejected = w.soft = false, zoneOf(w).failures = 0;
    }

    ZoneState& zoneOf(const WorkerState& w) { return zones_[static_cast<std::size_t>(w.entry.zone)]; }
    bool isZoneDown(const WorkerState& w) {
        return zoneOf(w).failures >= kZoneFailures && now_ < zoneOf(w).retryAt;
    }

    bool isTrialDue(const Request& r, const WorkerState& w) const {
        if (now_ < w.ejectedUntil || w.trialUntil > now_) return false;
        return r.klass->idempotency == Idempotency::safe ||
               (!hasSafeClass_ && r.klass->idempotency == Idempotency::keyed);
    }

    // --- cold budget ---
    double ramp(const WorkerState& w) const {  // share of its capacity that a worker has by now, at least
        if (w.entry.startedAt.count() == 0 || cfg_.warmup.count() == 0 || cfg_.coldBudgetSpan.count() == 0)
            return 1;
        const double warmth = seconds(now_ - w.entry.startedAt) / seconds(cfg_.warmup);
        return warmth >= 1 ? 1 : cfg_.initialCapacity + (1 - cfg_.initialCapacity) * std::max(0.0, warmth);
    }

    // Updates the budgets of cold workers, as described at ColdWorker, and drops those that are warm by now.
    void updateBudgets() {
        available_ = capacity_ + 1e-6;
        for (const ColdWorker& c : cold_)
            available_ -= (1 - ramp(workers_[c.worker])) * capacity(workers_[c.worker]);
        const double least = cold_.size() == active_.size() ? 1.0 / cfg_.schedulerCount : 0;
        const double fair = std::min(rate_ / available_, perSecond(served_)) * seconds(cfg_.coldBudgetSpan);
        const double used = 1 - std::exp(-rate_ * seconds(cfg_.coldBudgetSpan));  // chance of a job in a span
        int still = 0;
        for (ColdWorker& c : cold_) {
            WorkerState& w = workers_[c.worker];
            const double part = ramp(w);
            pickData_[c.worker].coldIndex = part < 1 ? still++ : -1;
            if (part >= 1) pickData_[c.worker].lastPick = kComesFirst;  // else all schedulers pick it at once
            if (part > 1.1 * c.rampAtCost) c.rampAtCost = part, updateCost(c.worker);
            const std::int64_t span = (now_ - w.entry.startedAt) / cfg_.coldBudgetSpan;
            if (span != c.span) c.span = span, c.sent = 0;
            c.budget = std::max(least, kBudgetUse * cfg_.coldBudgetMultiple * part * fair * capacity(w));
            const auto first = static_cast<std::uint64_t>(
                Random{w.entry.id + static_cast<std::uint64_t>(span)}.next() * cfg_.schedulerCount);
            const double later = Random{w.entry.id}.next() + 0.618034 * static_cast<double>(span);
            c.isDue = static_cast<double>((cfg_.schedulerIndex + first) % cfg_.schedulerCount) + later -
                          std::floor(later) <
                      c.budget * cfg_.schedulerCount / used;
        }
        if (static_cast<std::size_t>(still) == cold_.size()) return;
        std::erase_if(cold_, [this](const ColdWorker& c) { return pickData_[c.worker].coldIndex < 0; });
        placeNew();
    }

    bool fitsColdBudget(const Request& r, const ColdWorker& c, double& cost) const {
        const double size = relativeSize(r);
        if (c.budget >= 1) return c.sent + size <= c.budget;
        if (!c.isDue || c.sent > 0 || 2 * kBudgetUse * size > c.budget * cfg_.schedulerCount) return false;
        cost = kComesFirst;
        return true;
    }

    bool isColdTurnDue(const Request& r) const {  // it is this scheduler's turn at a cold worker
        double cost = 0;
        for (const ColdWorker& c : cold_)
            if (c.budget < 1 && maySend(r, workers_[c.worker]) && fitsColdBudget(r, c, cost)) return true;
        return false;
    }

    // --- admission and fairness ---
    // The longest wait, in seconds, after which a job of that class can still be on time.
    static double slack(const Request& r, const ClassSettings& as) {
        return seconds(as.targetLatency) + std::max(0.2, as.stretch - 1) * r.expectedTime;
    }

    // Updates the mean wait, as a share of the slack, by Little's law from own unstarted attempts.
    void updateMeanWait(WaitState& s) {
        const double y = std::min(2.0, s.backlog / std::max(perSecond(s.starts), 0.2));
        const double dt = seconds(now_ - s.updatedAt);
        const double most = std::max(0.05, 1 - std::exp(-dt / kSparseWaitSmoothing));  // of one sample
        s.mean += (y - s.mean) * std::min(1 - std::exp(-dt / kWaitSmoothing), most), s.updatedAt = now_;
    }

    // A wait counts until it ends or its slack is used up: a few jobs stuck behind heavy ones say little.
    void endWait(Attempt& a, bool served) {
        if (a.waitEnded || a.started) return;
        a.waitEnded = true;
        for (WaitState* wait : {&waits_[a.klass], &waitOf(workers_[a.worker])}) {
            wait->backlog -= a.inverseSlack;
            if (served) wait->starts.add(now_, 1);
        }
    }

    // Factor on the worth of a tenant's request: lower for the share of its traffic over its quota, as seen
    // by this scheduler, plus or minus a job. Protects other tenants from one tenant's burst.
    double quotaFactor(const Request& r) {
        const auto tenant = static_cast<std::size_t>(r.arrival.tenant);
        if (r.arrival.tenant < 0 || tenant >= tenantRates_.size()) return 1;
        tenantRates_[tenant].add(now_, 1);
        const double quota = cfg_.tenants[tenant].quotaPerSecond / cfg_.schedulerCount + 1 / kRateWindow;
        return 1 - (1 - cfg_.overQuotaWorth) * std::max(0.0, 1 - quota / perSecond(tenantRates_[tenant]));
    }

    bool shouldRefuse(Request& r, bool repeat) {
        for (KindPool& pool : pools_)
            for (WaitState& wait : pool.waits) updateMeanWait(wait);
        WaitState& wait = waits_[r.arrival.klass];
        updateMeanWait(wait);
        const double worth = quotaFactor(r) * r.klass->worth * (repeat ? r.klass->lateWorth : 1);
        const RecentJob own{cfg_.worthPerWork ? worth : worth / r.work, r.work, r.klass->kind, r.klass->kind};
        recent_[r.recentIndex = recentCount_++ % recent_.size()] = own;
        // The goal includes the worst class: a class is prioritized only if that gains more than serving all.
        arrivedWorth_.add(now_, own.value * own.work);
        const double mean = arrivedWorth_.at(now_) / std::max(1e-9, demand_.at(now_));
        r.prioritized = cfg_.overallWeight * own.value > (cfg_.overallWeight + cfg_.worstClassWeight) * mean;
        const double share =
            std::min(kMaxShedShare, kShedFactor * (wait.mean + wait.noRoomShare.at(now_) - kToleratedWait));
        if (share < 0.01) return false;
        double below = 0, equal = 0, all = 0;
        for (const RecentJob& o : recent_) {
            if (o.neededKind != own.neededKind && o.sentKind != own.neededKind) continue;
            all += o.work;
            if (o.value < own.value) below += o.work;
            if (o.value == own.value) equal += o.work;
        }
        return below + random_.next() * equal < share * all;
    }

    // --- state ---
    void arm(TimerKind what, RequestId id, double delay) {
        actions_->push_back(SetTimer{nanos(std::max(delay, 0.0)), (std::uint64_t{what} << kIdBits) | id});
    }

    Settings cfg_;
    Random random_;
    std::vector<Action>* actions_ = nullptr;
    bool started_ = false, hasSafeClass_ = false, live_ = false;
    Time now_{0}, startTime_{0}, refreshedAt_{0};
    // rate_: own requests per second behind the costs; available_: capacity_ less that missing while cold
    double rate_ = 1 / kRateWindow, sends_ = 0, backoff_ = 0, meanWeight_ = 0, capacity_ = 1, available_ = 1;
    std::vector<WorkerState> workers_;
    std::vector<PickData> pickData_;
    std::vector<Worker> active_;    // listed, in the order of handles
    std::vector<ColdWorker> cold_;  // those of them that are warming up
    std::size_t softCount_ = 0, recentCount_ = 0;
    std::vector<Mean> runs_, hints_,
        byKind_;                    // by class: run times and hints in seconds; by kind: relative job times
    std::vector<int> neededKinds_;  // kinds that some class needs
    std::vector<ZoneState> zones_;
    std::vector<KindPool> pools_;   // by kind
    std::vector<WaitState> waits_;  // by class
    Mean meanWork_;
    std::array<RecentJob, 64> recent_{};
    double longestWait_ = 1;  // longest recent wait for a start, in seconds
    std::unordered_map<RequestId, Request> requests_;
    std::unordered_map<std::uint64_t, KeyHomes> keys_;
    std::uint64_t rosterNumber_ = 0;
    SmoothedRate arrivals_, served_, demand_, arrivedWorth_;
    std::vector<SmoothedRate> tenantRates_;
};

Dispatcher::Dispatcher(Settings settings, std::uint64_t seed)
    : rules_(std::make_unique<Rules>(std::move(settings), seed)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;
void Dispatcher::on(Time now, const Event& event, std::vector<Action>& actions) {
    rules_->on(now, event, actions);
}
std::size_t Dispatcher::avoidedWorkerCount() const {
    return rules_->avoidedWorkerCount();
}

}  // namespace heronmount
