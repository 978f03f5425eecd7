// The data that the rules in rules.cpp work on, and what they are for. Every decision is in rules.cpp.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <string>
#include <vector>

#include "heronmount/dispatcher.hpp"

namespace heronmount {

constexpr double kRateWindow = 10;  // seconds over which own rates are smoothed
constexpr double kPriorJobs = 4;    // a worker's first completions weigh against this many of its kind
// Marks workers that have not been sent to; as a cost, it is less than all others.
constexpr double kComesFirst = std::numeric_limits<double>::lowest();
constexpr std::size_t kMaxAttempts = 8;  // kept for a request, whatever the site allows

inline double seconds(Nanos t) {
    return static_cast<double>(t.count()) * 1e-9;
}
inline Nanos nanos(double s) {
    return Nanos(static_cast<std::int64_t>(s * 1e9));
}

struct Random {  // splitmix64
    std::uint64_t state = 0;
    double next() {  // in [0, 1)
        state += 0x9E3779B97F4A7C15ULL;
        std::uint64_t z = state;
        z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
        z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
        return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
    }
};

struct Mean {  // a plain mean at first, then smoothed over the last `window` values
    double value = 0, count = 0;
    void add(double x, double window) {
        count = std::min(count + 1, window);
        value += (x - value) / count;
    }
    double blendedWith(double prior) const {
        return (value * count + prior * kPriorJobs) / (count + kPriorJobs);
    }
};

struct SmoothedRate {  // an amount per second, smoothed over kRateWindow
    double sum = 0;
    Time last{0};
    double at(Time now) const { return sum * std::exp(-seconds(now - last) / kRateWindow); }
    void add(Time now, double amount) { sum = at(now) + amount / kRateWindow, last = now; }
};

// A mean over kRateWindow, or over the last 1 / `least` values if longer. Decays while no values are added.
struct DecayingMean {
    double value = 0;
    Time last{0};
    double kept(Time now) const { return std::exp(-seconds(now - last) / kRateWindow); }
    double at(Time now) const { return value * kept(now); }
    void add(Time now, double x, double least) {
        value += (x - value) * std::max(least, 1 - kept(now)), last = now;
    }
};

// The data of a worker that the scan over all workers reads. It is kept apart so that the scan stays cheap
// with many workers. Without a previous send a new worker's age would be infinite and every scheduler would
// pick it next, at the same time: it starts with a random age within its own rotation interval instead.
struct PickData {
    double lastPick = kComesFirst;  // the own send count at which this worker last got a job
    double costPerAge = -1;         // cost for each unit of age: ln q over the size of its last job
    int coldIndex = -1;             // index into the cold workers, or -1
};

// A worker that started recently and is warming up, with its budget, which keeps it from being overloaded.
// The budget of a span is a multiple of the worker's present share of what a warm peer of its weight gets
// from this scheduler, measured in answered work, which overload does not inflate. If the budget is below one
// job, the schedulers take turns: in each span those whose numbers follow a value that all of them know are
// due, one for each job that the worker can bear, more where a turn may well find no job. A fraction of a
// turn is a turn every few spans. A due worker is picked first, since ages say nothing after so few sends.
// Where all workers are cold, each starts with one job a span.
struct ColdWorker {
    Worker worker = 0;
    double rampAtCost = 0;  // share of its capacity, when its cost was last computed
    double budget = 0;      // mean jobs that this scheduler may send it in the present span
    double sent = 0;        // mean jobs that it has sent in that span
    std::int64_t span = -1;
    bool isDue = false;  // where the budget is below one job: it is this scheduler's turn
};

struct WorkerState {
    RosterEntry entry;
    bool listed = false;              // it is on the roster with status `on` and may get work
    double logBusy = -1;              // ln of the probability that it is still busy one own send later
    double lastJobSize = 1;           // size of the job it got last, in mean jobs
    Mean relativeTime;                // job times over expected ones
    int inFlight = 0, unstarted = 0;  // own open attempts there; those of them not known to have started
    double heldSlots = 0;             // slots of the open attempts
    double speedFactor = 1;           // factor on its weight for the loss of speed that is not tolerated
    double reportedLoad = 0;          // live weights: jobs held for each core when the roster was made
    double sentSince = 0;             // live weights: own jobs sent there since that roster arrived
    Time lastHeard{0};                // last time anything was heard from it
    int failStreak = 0;               // failures in a row
    // Ejected workers get no ordinary work. Load makes workers silent or slow, but not unreachable: `soft`
    // means that load may explain the failure. An ejected worker comes back through a single trial job, one
    // that may be repeated.
    bool ejected = false, soft = false;
    Time ejectedUntil{0};
    Time trialUntil{0};  // a trial job is open until it is answered or until this time
};

// A request that arrived recently, for the ranking of new requests by worth.
struct RecentJob {
    double value = 0, work = 0;          // worth per unit of work; work in slot-seconds
    int neededKind = -1, sentKind = -1;  // that its class needs; of the worker it was sent to
};

// How long work waits to start. Work that waits past its slack is lost and delays all behind it. New work is
// therefore refused on arrival, in proportion to the waits of its class, the least worth per unit of work
// first, among work for the same kind only: waits elsewhere are no reason. Measuring waits only when they end
// is too late: admission then swings between open and shut.
struct WaitState {
    SmoothedRate starts;
    double mean = 0, backlog = 0;  // mean wait as a share of the slack; sum of 1 / slack over what waits
    Time updatedAt{0};             // when the mean was last updated
    DecayingMean noRoomShare;      // share of jobs that found no room at any worker tried
};

// All workers of one kind. Other schedulers are taken to hold what this one holds on average over a kind,
// times their number. Otherwise many schedulers, each of which holds next to nothing, would spare one kind
// until the other is overloaded.
struct KindPool {
    SmoothedRate work;             // slot-seconds of own work sent there
    double totalWeight = 0;        // sum of the relative weights
    double peak = 0;               // the largest weight that a roster gave one of them
    std::vector<WaitState> waits;  // by zone
};

// A zone that is cut off or lost would cost this scheduler a time-out for each of its workers. After a few
// failures there with nothing heard in between, the zone gets one job at a time until one comes through.
struct ZoneState {
    int failures = 0;  // failures there since anything was heard from it
    Time retryAt{0};   // the next job may go there at this time
};

struct Attempt {
    Worker worker = 0;
    std::uint32_t klass = 0;
    Time sentAt{0}, heardAt{0};  // when it was sent, and when anything was last heard of it
    double inverseSlack = 0;     // 1 / slack, in 1 / s; 0 for copies, since a job's wait counts once
    double expectedWait = 0;     // live weights: seconds that it was expected to wait for its start
    Time startedAt{0};           // when it was sent, until it is known to have started
    // Where workers do not report starts, an attempt counts as started, since waiting can't be told from
    // running.
    bool open = false, started = false, waitEnded = false;  // waitEnded: its wait no longer counts
};

struct Request {
    RequestArrived arrival;
    const ClassSettings* klass = nullptr;
    Time arrivedAt{0}, deadline{0};
    double expectedTime = 1, work = 1;  // job time at an average worker in seconds, and that times its slots
    std::array<Attempt, kMaxAttempts> attempts;
    std::uint32_t sends = 0, inFlight = 0;  // attempts sent, and those of them that are open
    std::size_t recentIndex = 0;            // its index among the recent requests
    bool answered = false, streaming = false;
    bool prioritized = false;  // may wait longer than the least slack of any class
    bool mayHaveRun = false;   // some ended attempt is not known never to have run
    int zone = 0, cell = 0;    // of the first attempt that may have run
    Time dedupStart{0};        // when that attempt was sent
};

// The workers that requests with an affinity key go to first, best first: the same at every scheduler, and
// more of them for a key in demand. Otherwise every worker would fetch the data of every key, which overloads
// the store that holds it.
struct KeyHomes {
    std::uint64_t rosterNumber = 0;  // number of the roster that the homes were chosen from
    SmoothedRate demand;             // work of the requests with this key
    std::vector<Worker> homes;
};

// Throws std::invalid_argument that names the field of the settings file if a setting is out of range.
inline void validate(const Settings& s) {
    const auto require = [](bool holds, const char* field) {
        if (!holds) throw std::invalid_argument(std::string("invalid setting: ") + field);
    };
    require(!s.classes.empty(), "classes");
    require(s.schedulerCount >= 1, "fleetSize");
    require(s.schedulerIndex < s.schedulerCount, "me");
    require(s.maxAttempts >= 1, "maxAttempts");
    require(s.tick.count() >= 0, "tick");
    require(s.warmup.count() >= 0, "cold");
    require(s.coldBudgetSpan.count() >= 0, "overloadFor");
    require(s.progressInterval.count() >= 0, "progress");
    require(s.initialCapacity > 0 && s.initialCapacity <= 1, "coldFrom");
    require(s.coldBudgetMultiple > 0, "fallMultiple");
    require(s.overallWeight >= 0, "goal.whole");
    require(s.worstClassWeight >= 0, "goal.worstClass");
    require(s.crossZoneCost >= 0, "prices.crossZone");
    for (const ClassSettings& c : s.classes) {
        require(c.clientTimeout.count() > 0, "classes.giveUp");
        require(c.targetLatency.count() >= 0, "classes.goal");
        require(c.dedupWindow.count() >= 0, "classes.window");
        require(c.worth >= 0, "classes.worth");
        require(c.stretch >= 0, "classes.stretch");
        require(c.lateWorth >= 0 && c.lateWorth <= 1, "classes.lateWorth");
    }
}

}  // namespace heronmount
