// The interface of heronmount, a dispatcher that chooses a worker for each request. A scheduler passes events
// to its Dispatcher and carries out the actions that it returns. One Dispatcher belongs to one scheduler. It
// does no I/O, starts no thread and keeps no global state: the time is an argument of each call and the
// randomness comes from the seed, so the same calls give the same actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace heronmount {

using Nanos = std::chrono::nanoseconds;
using Time = Nanos;  // a reading of the scheduler's clock, from any origin; it only advances
// A dense handle, counted up from 0 in the order in which this scheduler first learns of each worker.
using Worker = std::uint32_t;
using RequestId = std::uint64_t;  // unique for the scheduler's lifetime, below 2^52

// Whether a request may be sent again after an attempt that may have run: always, with an idempotency key
// within the deduplication window, or never.
enum class Idempotency { safe, keyed, unsafe };
// Which workers share the record of idempotency keys: all, those of one zone, or those of one cell.
enum class DedupScope { all, zone, cell };
// The order in which workers start the jobs that wait there.
enum class QueueOrder { fifo, backfill, priority };
// What the weights of the roster mean. none: they are ignored. nominal: they include a worker's speed. rough:
// they are sizes alone. live: as nominal, divided by 1 plus the number of jobs held for each core.
enum class Weights { none, nominal, rough, live };

// Settings of one class of requests.
struct ClassSettings {
    Nanos targetLatency{0};  // an answer within this (plus stretch times its work) earns the full worth
    Nanos clientTimeout{0};  // how long a client waits in all
    Nanos dedupWindow{0};    // keyed: how long repeats are dropped after the first send that may have run
    Idempotency idempotency = Idempotency::safe;
    DedupScope dedupScope = DedupScope::all;  // keyed: which workers drop repeats of one another
    double worth = 1;                         // value of a request that is answered in time, for admission
    double lateWorth = 0;  // share of the worth, from 0 to 1, that a request repeated by its client still has
    double stretch = 0;    // see targetLatency
    int kind = -1;         // the machine kind it needs, or -1
    int priority = 0;      // used where the queue order is by priority
    bool stream = false;   // the answer is a stream
};

struct TenantSettings {
    double share = 0, quotaPerSecond = 0;  // the quota applies to all schedulers together
};

// Settings of one Dispatcher. `zones` and `kinds` are counts; `zone` is the scheduler's own.
struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::uint32_t schedulerCount = 1, schedulerIndex = 0;  // schedulers in this tier; number of this one
    int zone = 0, zones = 1, kinds = 1;
    bool rosterOnRequest = false;  // the roster is sent only after a Subscribe action
    bool mayCancel = false, mayDuplicate = false, mayProbe = false;  // what the site allows
    bool mayAdviseRetry = false;                                     // refusals may carry a retry delay
    bool workersReportStart = false;  // workers report when a job starts to run
    bool worthPerWork = false;        // worth counts for each unit of work, not for each request
    double overQuotaWorth = 1;        // share of the worth that a tenant's requests over its quota have
    double overallWeight = 1;         // weight of the result over all requests in the site's goal
    double worstClassWeight = 0;      // and of the result of the worst class
    double handshakeCost = 0;         // cost of a new connection for each request, as a share of 1
    double crossZoneCost = 0;         // cost of sending each request to another zone, likewise
    std::uint32_t maxAttempts = 1;
    QueueOrder queueOrder = QueueOrder::fifo;
    Weights weights = Weights::none;
    Nanos maxRetryAfter{0};         // upper bound of Refuse::retryAfter
    Nanos tick{0};                  // resolution of the scheduler's timers and clock
    Nanos progressInterval{0};      // running jobs send progress notes this often; 0: never
    Nanos rosterRequestWindow{0};   // the roster has to be requested within this time
    Nanos warmup{0};                // longest warm-up of a worker that has started; 0: none
    Nanos coldBudgetSpan{0};        // a warming worker's budget of jobs is counted over spans of this length
    double initialCapacity = 1;     // share of its capacity that a worker has when it starts
    double coldBudgetMultiple = 1;  // load that it bears over one span, as a multiple of its capacity
};

// Events
// -----------------------------------------------------------------------------------------------------------
// Whether a worker takes new requests (on), only finishes those it has (draining), or is gone (off).
enum class WorkerStatus { on, draining, off };
struct RosterEntry {
    Worker worker = 0;
    std::uint64_t id = 0;  // the same number for this worker at every scheduler; it carries no other meaning
    int zone = 0, kind = 0, cell = 0;
    double zoneCostFactor = 1;  // multiplies Settings::crossZoneCost for requests to this worker's zone
    WorkerStatus status = WorkerStatus::on;
    double weight = 1;            // capacity against other workers, see Weights
    std::uint64_t classMask = 0;  // a bit for each class that it takes, where it reports them; 0: by its kind
    Time startedAt{0};            // latest start, 0 if long ago
};
// incremental: only the entries listed change. full: workers that are not listed are gone. stale: a full list
// from an earlier time, until a current one arrives. lost: the source of the roster can't be reached.
enum class RosterMode { incremental, full, stale, lost };
struct RosterUpdate {
    RosterMode mode = RosterMode::incremental;
    std::vector<RosterEntry> entries;
};
struct RequestArrived {
    RequestId id = 0;
    std::uint32_t klass = 0;  // index into Settings::classes
    Nanos timeLeft{0};        // until the client's deadline
    int tenant = -1;          // index into Settings::tenants, or -1
    double slots = 1, memory = 0;
    Nanos durationHint{0};          // estimated job time, 0 if unknown
    std::uint64_t affinityKey = 0;  // identifies the data that the job needs on its worker
    bool hasAffinityKey = false, isClientRetry = false;
};
struct StreamStarted {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
struct AttemptProgress {
    RequestId id = 0;
    std::uint32_t attempt = 0;
    bool started = false;     // reports the start of the job; otherwise its progress
    double fractionDone = 0;  // from 0 to 1
};
// full: the worker had no room. notExecuted: it never ran, for a reason that says nothing of the worker.
// staleConnection: a connection kept from earlier broke under it. It may have run, and that says nothing of
// the worker.
enum class Outcome {
    ok,
    error,
    full,
    timeout,
    connectFailed,
    reset,
    cancelled,
    notExecuted,
    staleConnection
};
struct LoadReport {  // negative where not reported
    double inFlight = -1, queued = -1, busy = -1, latencyMs = -1, rate = -1, failRate = -1, freeSlots = -1,
           freeMemory = -1;
};
struct AttemptEnded {
    RequestId id = 0;
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::ok;
    Nanos duration{0};
    bool requestFinished = false;  // the request needs no further attempt
    LoadReport load;
};
struct ClientLeft {
    RequestId id = 0;
};
struct TimerFired {
    std::uint64_t tag = 0;  // as given in SetTimer
};
struct ProbeAnswered {
    Worker worker = 0;
    bool ok = false;
    LoadReport load;
};
using Event = std::variant<RosterUpdate, RequestArrived, StreamStarted, AttemptProgress, AttemptEnded,
                           ClientLeft, TimerFired, ProbeAnswered>;

// Actions
// ----------------------------------------------------------------------------------------------------------
// Starts the request's next attempt; attempts of a request are numbered from 0 in the order of their sends.
struct Send {
    RequestId id;
    Worker worker;
    Time deadline;  // 0: the client's deadline
};
struct Cancel {
    RequestId id;
    std::uint32_t attempt;
};
// Answers the request as unavailable: it did not run, or repeating it does no harm.
struct Refuse {
    RequestId id;
    Nanos retryAfter;  // 0: none is advised
};
// Answers the request as failed: it may have run and must not be repeated.
struct Fail {
    RequestId id;
};
struct SetTimer {
    Nanos delay;
    std::uint64_t tag;
};
struct Subscribe {};  // requests the roster
struct Probe {
    Worker worker;
};
struct CloseIdle {  // closes this scheduler's unused connections to a worker
    Worker worker;
};
using Action = std::variant<Send, Cancel, Refuse, Fail, SetTimer, Subscribe, Probe, CloseIdle>;

class Dispatcher {
public:
    // Throws std::invalid_argument that names the field if a setting is out of range.
    Dispatcher(Settings settings, std::uint64_t seed);
    ~Dispatcher();
    Dispatcher(Dispatcher&&) noexcept;
    Dispatcher& operator=(Dispatcher&&) noexcept;

    // Handles one event and appends the resulting actions to `actions`, in order. Late, unknown and repeated
    // events are ignored. Throws std::invalid_argument for a class or tenant that the settings do not have.
    void on(Time now, const Event& event, std::vector<Action>& actions);

    // Number of workers on the roster with status `on` that get no ordinary work as of the last event,
    // because of their own failures or because their zone can't be reached.
    std::size_t avoidedWorkerCount() const;

private:
    class Rules;
    std::unique_ptr<Rules> rules_;
};

}  // namespace heronmount
