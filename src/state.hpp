// What the rules keep in mind. Data only: every decision is in rules.cpp.
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

constexpr double kWindow = 10;   // seconds over which own rates are smoothed
constexpr double kKindJobs = 4;  // a worker's first completions weigh against this many of its kind
constexpr double kUnplaced = std::numeric_limits<double>::lowest();
constexpr std::size_t kMostAttempts = 8;  // kept for a request, whatever the site allows

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

struct Mean {  // plain at first, then over the last `window` values
    double value = 0, count = 0;
    void add(double x, double window) {
        count = std::min(count + 1, window);
        value += (x - value) / count;
    }
    double leaning(double prior) const { return (value * count + prior * kKindJobs) / (count + kKindJobs); }
};

struct Flow {  // an amount per second, smoothed over kWindow
    double sum = 0;
    Time last{0};
    double at(Time now) const { return sum * std::exp(-seconds(now - last) / kWindow); }
    void add(Time now, double amount) { sum = at(now) + amount / kWindow, last = now; }
};

struct Recent {  // a mean over kWindow, or over the last 1 / `least` values if longer; fades by itself
    double value = 0;
    Time last{0};
    double kept(Time now) const { return std::exp(-seconds(now - last) / kWindow); }
    double at(Time now) const { return value * kept(now); }
    void add(Time now, double x, double least) {
        value += (x - value) * std::max(least, 1 - kept(now)), last = now;
    }
};

struct Hot {                  // what the scan over all workers reads, apart so that a large fleet stays cheap
    double turn = kUnplaced;  // the own send count at which this worker last got a job
    double slope = -1;        // its cost by age: ln q over the size of its last job
    int cold = -1;            // its place among the cold ones, or -1
};

struct Cold {  // a worker that started lately
    Worker worker = 0;
    double priced = 0;  // the ramp its price was made with
    double share = 0;   // mean jobs that this scheduler may send it in the present span
    double sent = 0;    // and has sent
    std::int64_t span = -1;
    bool due = false;  // where the share is below one job: it is this scheduler's turn
};

struct WorkerState {
    RosterEntry entry;
    bool listed = false;       // it is on the roster as 'on' and may get work
    double lnq = -1;           // ln of the chance that it is still busy one own send later
    double lastSize = 1;       // size of the job it got last, in mean jobs
    Mean slow;                 // job times over expected ones
    int out = 0, waiting = 0;  // own attempts there, and those of them not known to have started
    double held = 0;           // slots of those attempts
    double pace = 1;           // share of its units that it still keeps up with
    double told = 0;           // jobs held for each core when the list was made, where that tells it
    double since = 0;          // own jobs sent there after it came
    Time sign{0};              // last time anything was heard from it
    int strikes = 0;           // failures in a row
    bool ejected = false, soft = false;  // left alone; for a reason that load may explain
    Time ejectedUntil{0};
    Time trial{0};  // an ejected worker's trial job is out until it answers or this
};

struct Offer {  // a job that came lately: its worth per unit of work, and its work
    double value = 0, work = 0;
    int kind = -1, went = -1;  // that its class needs, and of the worker it went to
};

struct Strain {  // of work that waits to start
    Flow starts;
    double mean = 0, backlog = 0;
    Time feltAt{0};
    Recent jammed;  // share of jobs that found no room at any worker tried
};

struct Pool {   // all workers of one kind
    Flow work;  // slots' seconds of own work sent there
    double units = 0;
    double size = 0;              // the largest weight that a list gave one
    std::vector<Strain> strains;  // by zone
};

struct ZoneState {
    int misses = 0;  // failures there since anything was heard from it
    Time retry{0};
};

struct Attempt {
    Worker worker = 0;
    std::uint32_t klass = 0;
    Time sent{0}, heard{0};
    double urgency = 0;  // one over its slack
    double wait = 0;     // seconds that it was expected to wait for its start, where the list tells
    Time startedAt{0};   // when it was sent, until it is known to have started
    bool open = false, started = false, overdue = false;
};

struct Request {
    RequestArrived in;
    const ClassSettings* klass = nullptr;
    Time arrived{0}, deadline{0};
    double expected = 1, work = 1;  // job time at an average worker, and that times its slots
    std::array<Attempt, kMostAttempts> attempts;
    std::uint32_t sends = 0, out = 0;
    std::size_t offer = 0;
    bool done = false, streaming = false;
    bool ahead = false;       // served before others
    bool mayHaveRun = false;  // some ended attempt is not proved never to have run
    int zone = 0, cell = 0;   // of the first attempt that may have run
    Time anchoredAt{0};       // when that one was sent
};

struct KeyState {  // what a job needs at hand: who should hold it, best first, and the demand for it
    std::uint64_t roster = 0;
    Flow demand;
    std::vector<Worker> homes;
};

inline void validate(const Settings& s) {
    const auto require = [](bool holds, const char* field) {
        if (!holds) throw std::invalid_argument(std::string("invalid setting: ") + field);
    };
    require(!s.classes.empty(), "classes");
    require(s.fleetSize >= 1, "fleetSize");
    require(s.me < s.fleetSize, "me");
    require(s.maxAttempts >= 1, "maxAttempts");
    require(s.tick.count() >= 0, "tick");
    require(s.cold.count() >= 0, "cold");
    require(s.overloadFor.count() >= 0, "overloadFor");
    require(s.progress.count() >= 0, "progress");
    require(s.coldFrom > 0 && s.coldFrom <= 1, "coldFrom");
    require(s.fallMultiple > 0, "fallMultiple");
    require(s.wholeGoal >= 0, "goal.whole");
    require(s.worstClassGoal >= 0, "goal.worstClass");
    require(s.crossZonePrice >= 0, "prices.crossZone");
    for (const ClassSettings& c : s.classes) {
        require(c.giveUp.count() > 0, "classes.giveUp");
        require(c.goal.count() >= 0, "classes.goal");
        require(c.window.count() >= 0, "classes.window");
        require(c.worth >= 0, "classes.worth");
        require(c.stretch >= 0, "classes.stretch");
        require(c.lateWorth >= 0 && c.lateWorth <= 1, "classes.lateWorth");
    }
}

}  // namespace heronmount
