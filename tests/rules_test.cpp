// Tests the decisions of a single Dispatcher, driven event by event.
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <string>

#include "heronmount/dispatcher.hpp"

namespace heronmount {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Settings plainSettings(Idempotency effect = Idempotency::safe, DedupScope group = DedupScope::all) {
    Settings s;
    ClassSettings c;
    c.targetLatency = milliseconds(300);
    c.clientTimeout = seconds(5);
    c.dedupWindow = seconds(4);
    c.idempotency = effect;
    c.dedupScope = group;
    c.stretch = 2;
    s.classes = {c};
    s.maxAttempts = 3;
    s.tick = milliseconds(5);
    s.workersReportStart = true;
    return s;
}

RosterEntry worker(Worker handle, double units = 1, int cell = 0, int zone = 0) {
    RosterEntry e;
    e.worker = handle;
    e.id = 1000 + handle;
    e.weight = units;
    e.cell = cell;
    e.zone = zone;
    return e;
}

// Passes events to one dispatcher and keeps the actions of the last event.
struct Drive {
    Dispatcher dispatcher;
    Time now = seconds(100);
    std::vector<Action> actions;
    RequestId next = 1;

    explicit Drive(Settings s, std::uint64_t seed = 7) : dispatcher(std::move(s), seed) {}

    const std::vector<Action>& on(const Event& e) {
        actions.clear();
        dispatcher.on(now, e, actions);
        return actions;
    }
    template <class A>
    std::vector<A> all() const {
        std::vector<A> found;
        for (const Action& a : actions)
            if (const auto* match = std::get_if<A>(&a)) found.push_back(*match);
        return found;
    }
    void roster(std::vector<RosterEntry> entries, RosterMode mode = RosterMode::full) {
        on(RosterUpdate{mode, std::move(entries)});
    }
    void fleet(Worker count) {  // that many plain workers
        std::vector<RosterEntry> entries;
        for (Worker w = 0; w < count; ++w) entries.push_back(worker(w));
        roster(entries);
    }
    RequestId arrive(Nanos timeLeft = seconds(5), std::uint32_t klass = 0, Nanos hint = Nanos(0)) {
        RequestArrived r;
        r.id = next++;
        r.klass = klass;
        r.timeLeft = timeLeft;
        r.durationHint = hint;
        on(r);
        return r.id;
    }
    Worker sentTo() const {
        const auto sends = all<Send>();
        EXPECT_EQ(sends.size(), 1u);
        return sends.empty() ? ~Worker{0} : sends[0].worker;
    }
    void end(RequestId id, Outcome outcome, std::uint32_t attempt = 0, bool settled = false) {
        AttemptEnded e;
        e.id = id;
        e.attempt = attempt;
        e.outcome = outcome;
        e.requestFinished = settled || outcome == Outcome::ok;
        on(e);
    }
    // Runs one job from its arrival to its answer, with a job time of `took`. Returns its worker.
    Worker serve(Nanos took) {
        const RequestId id = arrive();
        const Worker w = sentTo();
        on(AttemptProgress{id, 0, true, 0});
        now += took;
        end(id, Outcome::ok);
        return w;
    }
    void fire(std::uint64_t kind, RequestId id) { on(TimerFired{(kind << 52) | id}); }
    // Fires every timer that the last event has set, one after another, each after its delay.
    bool expireTimers() {
        const auto timers = all<SetTimer>();
        for (const auto& t : timers) {
            now += t.delay;
            on(TimerFired{t.tag});
        }
        return !timers.empty();
    }
};

// --- pick ---

TEST(Pick, EqualSpeedsGiveRoundRobin) {
    Drive d(plainSettings());
    d.roster({worker(0), worker(1), worker(2)});
    std::vector<Worker> order;
    for (int i = 0; i < 30; ++i) order.push_back(d.serve(milliseconds(100)));
    for (std::size_t i = 9; i < order.size(); ++i) EXPECT_EQ(order[i], order[i - 3]) << "at send " << i;
    EXPECT_NE(order[9], order[10]);
    EXPECT_NE(order[10], order[11]);
    EXPECT_NE(order[9], order[11]);
}

TEST(Pick, TwoServersRepeatOneSlowThenSeveralFast) {
    Settings s = plainSettings();
    s.weights = Weights::nominal;
    Drive d(s);
    d.roster({worker(0, 1), worker(1, 3)});  // worker 1 has three times the weight
    std::string pattern;
    for (int i = 0; i < 40; ++i) pattern += d.serve(milliseconds(100)) == 0 ? '1' : '2';
    const std::size_t slow = static_cast<std::size_t>(std::count(pattern.begin(), pattern.end(), '1'));
    EXPECT_EQ(pattern.find("11"), std::string::npos)
        << pattern;                  // Theorem 3.2: 12...2, the slow one never twice in a row
    EXPECT_GE(slow, 9u) << pattern;  // Theorem 3.1: every server keeps being used
    EXPECT_LE(slow, 14u) << pattern;
}

TEST(Pick, NewcomerEntersTheRotationRatherThanDrawingTheNextJob) {
    int drawn = 0;
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        Drive d(plainSettings(), seed);
        d.fleet(10);
        for (int i = 0; i < 20; ++i) d.serve(milliseconds(10));
        d.roster({worker(10)}, RosterMode::incremental);
        d.arrive();
        drawn += d.sentTo() == 10;
    }
    EXPECT_LT(drawn, 15);  // of 40 schedulers; without a random initial age it would be all
}

TEST(Pick, SchedulersStartTheirRotationApart) {
    std::map<Worker, int> first;
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        Drive d(plainSettings(), seed);
        d.fleet(6);
        d.arrive();
        ++first[d.sentTo()];
    }
    EXPECT_EQ(first.size(), 6u);
    for (const auto& [w, times] : first) EXPECT_LT(times, 25) << "worker " << w;
}

TEST(Pick, AWorkerWithAWaitingJobComesLater) {
    Drive d(plainSettings());
    d.roster({worker(0), worker(1)});
    d.arrive();
    const Worker first = d.sentTo();
    for (int i = 0; i < 3;
         ++i) {  // the other worker starts and ends its jobs at once, the first reports nothing
        const RequestId id = d.arrive();
        EXPECT_NE(d.sentTo(), first);
        d.on(AttemptProgress{id, 0, true, 0});
        d.now += milliseconds(20);
        d.end(id, Outcome::ok);
    }
}

TEST(Pick, ABigJobKeepsAWorkerOutOfTurnForLonger) {
    Drive d(plainSettings());
    d.roster({worker(0), worker(1)});
    for (int i = 0; i < 20; ++i) d.serve(milliseconds(100));
    const auto hinted = [&d](Nanos hint) {
        const RequestId id = d.arrive(seconds(5), 0, hint);
        const Worker w = d.sentTo();
        d.on(AttemptProgress{id, 0, true, 0});
        if (hint < seconds(2)) d.end(id, Outcome::ok);
        return w;
    };
    const Worker big = hinted(milliseconds(4000));
    for (int i = 0; i < 3; ++i) EXPECT_NE(hinted(milliseconds(1000)), big) << "small job " << i;
}

// A job must not wait behind a big one while another worker holds less.
TEST(Pick, SlotsAndMemoryHeldCountRatherThanJobs) {
    for (const bool memory : {false, true}) {  // a worker has one unit of memory for each slot
        Drive d(plainSettings());
        d.roster({worker(0), worker(1)});
        RequestArrived big;
        big.id = d.next++, big.timeLeft = seconds(5), (memory ? big.memory : big.slots) = 4;
        d.on(big);
        const Worker loaded = d.sentTo();
        d.on(AttemptProgress{big.id, 0, true, 0});
        for (int i = 0; i < 3; ++i) {
            const RequestId id = d.arrive();
            EXPECT_NE(d.sentTo(), loaded) << memory << ' ' << i;
            d.on(AttemptProgress{id, 0, true, 0});
        }
    }
}

// Work that needs one kind must not find that kind occupied by work that any kind can do.
TEST(Pick, AKindThatAClassDependsOnIsSparedByTheOthers) {
    Settings s = plainSettings();
    s.classes.push_back(s.classes[0]);
    s.classes[1].kind = 0;
    s.kinds = 2;
    Drive d(s);
    std::vector<RosterEntry> entries{worker(0), worker(1), worker(2), worker(3)};
    entries[2].kind = entries[3].kind = 1;
    d.roster(entries);
    for (int i = 0; i < 6; ++i) EXPECT_GE(d.serve(milliseconds(100)), 2u) << i;
    for (int i = 0; i < 4; ++i) {  // with one slot more, the other kind is at the same level
        const RequestId id = d.arrive();
        EXPECT_GE(d.sentTo(), i < 2 ? 2u : 0u);
        d.on(AttemptProgress{id, 0, true, 0});
    }
    d.arrive(seconds(5), 1);
    EXPECT_LT(d.sentTo(), 2u);
}

// A worker that has become slow must not hold as many jobs as its peers.
TEST(Pick, AWorkerThatBecameSlowHoldsLess) {
    Drive d(plainSettings());
    d.fleet(6);
    for (int i = 0; i < 180; ++i) {
        const RequestId id = d.arrive();
        const Worker w = d.sentTo();
        d.on(AttemptProgress{id, 0, true, 0});
        d.now += milliseconds(w == 0 ? 1200 : 300);
        d.end(id, Outcome::ok);
    }
    std::map<Worker, int> held;
    for (int i = 0; i < 36; ++i) {
        const RequestId id = d.arrive();
        ++held[d.sentTo()];
        d.on(AttemptProgress{id, 0, true, 0});
    }
    EXPECT_LT(held[0] + 1, held[1]);
}

TEST(Pick, AJobStaysInItsZoneWhereCrossingHasAPrice) {
    for (const double price : {0.0, 0.05}) {
        Settings s = plainSettings();
        s.zones = 2, s.zone = 1, s.crossZoneCost = price;
        Drive d(s);
        d.roster({worker(0, 1, 0, 0), worker(1, 1, 0, 0), worker(2, 1, 0, 1), worker(3, 1, 0, 1)});
        int away = 0;
        for (int i = 0; i < 20; ++i) away += d.serve(milliseconds(100)) < 2;
        EXPECT_EQ(away > 0, price == 0) << price;
    }
}

TEST(Pick, AKeyStaysAtItsHomesOnEveryScheduler) {
    std::map<Worker, int> used;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Drive d(plainSettings(), seed);
        d.fleet(30);
        for (int i = 0; i < 60; ++i) {  // one job in ten has key 5, all others have keys of their own
            RequestArrived r;
            r.id = d.next++;
            r.timeLeft = seconds(5);
            r.hasAffinityKey = true;
            r.affinityKey = i % 10 == 9 ? 5 : 100 + static_cast<std::uint64_t>(i);
            d.on(r);
            if (r.affinityKey == 5) ++used[d.sentTo()];
            d.on(AttemptProgress{r.id, 0, true, 0});
            d.now += milliseconds(20);
            d.end(r.id, Outcome::ok);
        }
    }
    EXPECT_LE(used.size(), 16u);  // of 30 workers, for 120 jobs of a key with a tenth of the traffic
}

TEST(Learning, SlowWorkersGetFewerTurns) {
    Drive d(plainSettings());
    d.roster({worker(0), worker(1), worker(2)});
    std::map<Worker, int> turns;
    for (int i = 0; i < 400; ++i) {
        const RequestId id = d.arrive();
        const Worker w = d.sentTo();
        if (i >= 200) ++turns[w];
        d.on(AttemptProgress{id, 0, true, 0});
        d.now += w == 0 ? milliseconds(400) : milliseconds(100);
        d.end(id, Outcome::ok);
    }
    EXPECT_GT(turns[0], 0);
    EXPECT_LT(3 * turns[0], 2 * turns[1]);
    EXPECT_LT(3 * turns[0], 2 * turns[2]);
}

// --- attempts and final answers ---

TEST(Answers, AProvedMissIsSentAgainAndLastlyRefused) {
    Drive d(plainSettings(Idempotency::unsafe));
    d.roster({worker(0), worker(1), worker(2)});
    const RequestId id = d.arrive();
    const Worker first = d.sentTo();
    d.end(id, Outcome::full, 0);
    EXPECT_NE(d.sentTo(), first);
    d.end(id, Outcome::connectFailed, 1);
    ASSERT_EQ(d.all<Send>().size(), 1u);
    d.end(id, Outcome::full, 2);
    EXPECT_EQ(d.all<Send>().size(), 0u);
    ASSERT_EQ(d.all<Refuse>().size(), 1u);
    EXPECT_EQ(d.all<Refuse>()[0].id, id);
}

TEST(Answers, AnUnsafeJobThatMayHaveRunFails) {
    for (const Outcome o : {Outcome::error, Outcome::reset, Outcome::timeout, Outcome::cancelled}) {
        Drive d(plainSettings(Idempotency::unsafe));
        d.roster({worker(0), worker(1)});
        const RequestId id = d.arrive();
        d.end(id, o);
        EXPECT_TRUE(d.all<Send>().empty());
        EXPECT_TRUE(d.all<Refuse>().empty());
        EXPECT_EQ(d.all<Fail>().size(), 1u);
    }
}

TEST(Answers, AKeyedJobThatMayHaveRunStaysInItsCellAndWindow) {
    Drive d(plainSettings(Idempotency::keyed, DedupScope::cell));
    d.roster({worker(0, 1, 1), worker(1, 1, 1), worker(2, 1, 2), worker(3, 1, 2)});
    for (int i = 0; i < 20; ++i) {
        const RequestId id = d.arrive();
        const Worker first = d.sentTo();
        d.end(id, Outcome::reset);
        if (!d.all<Send>().empty()) {
            EXPECT_EQ(d.sentTo() / 2, first / 2);
            d.end(id, Outcome::ok, 1);
        }
    }
    const RequestId late = d.arrive();
    d.now += milliseconds(3995);  // the window is 4 s
    d.end(late, Outcome::reset);
    EXPECT_TRUE(d.all<Send>().empty());
    EXPECT_EQ(d.all<Fail>().size(), 1u);  // no further send is allowed, so it is answered at once
    EXPECT_TRUE(d.all<Refuse>().empty());
    d.now += milliseconds(1000);
    d.fire(0, late);  // its deadline
    EXPECT_TRUE(d.all<Fail>().empty() && d.all<Refuse>().empty());
}

TEST(Answers, AKeyedJobOfTheWholeGroupMayBeRefusedAfterItMayHaveRun) {
    Settings s = plainSettings(Idempotency::keyed, DedupScope::all);
    s.maxAttempts = 1;
    Drive d(s);
    d.roster({worker(0)});
    d.end(d.arrive(), Outcome::error);
    EXPECT_EQ(d.all<Refuse>().size(), 1u);
}

TEST(Answers, AHeldRequestIsRefusedInTime) {
    Drive d(plainSettings());
    d.roster({});
    const Time begun = d.now;
    const RequestId id = d.arrive(milliseconds(400));
    bool answered = false;
    for (int i = 0; i < 40 && !answered; ++i) {
        std::vector<SetTimer> timers = d.all<SetTimer>();
        ASSERT_FALSE(timers.empty());
        d.now += milliseconds(50);
        if (d.now - begun >= milliseconds(395)) d.now = begun + milliseconds(395);
        d.fire(d.now - begun >= milliseconds(395) ? 0 : 2, id);
        answered = !d.all<Refuse>().empty();
    }
    EXPECT_TRUE(answered);
    EXPECT_LE(d.now - begun, milliseconds(400));
    d.roster({worker(0)});
    d.fire(2, id);
    EXPECT_TRUE(d.actions.empty());  // it is answered, so nothing is sent
}

TEST(Answers, AHeldRequestGoesOutWhenAWorkerComes) {
    Drive d(plainSettings());
    d.roster({});
    const RequestId id = d.arrive();
    EXPECT_TRUE(d.all<Send>().empty());
    d.roster({worker(4)}, RosterMode::incremental);
    d.now += milliseconds(50);
    d.fire(2, id);
    EXPECT_EQ(d.sentTo(), 4u);
}

TEST(Answers, LateAndUnknownEventsAreIgnored) {
    Drive d(plainSettings());
    d.roster({worker(0)});
    const RequestId id = d.arrive();
    d.end(id, Outcome::ok);
    d.end(id, Outcome::ok);
    d.end(id, Outcome::reset, 5);
    d.on(ClientLeft{id});
    d.on(AttemptProgress{999, 0, true, 0});
    d.on(StreamStarted{999, 3});
    d.fire(0, id);
    d.fire(1, id);
    d.on(ProbeAnswered{0, true, {}});
    EXPECT_TRUE(d.actions.empty());
}

TEST(Answers, AClientThatLeftGetsNoAnswer) {
    Settings s = plainSettings();
    s.mayCancel = true;
    Drive d(s);
    d.roster({worker(0), worker(1)});
    const RequestId id = d.arrive();
    d.on(ClientLeft{id});
    EXPECT_EQ(d.all<Cancel>().size(), 1u);
    d.end(id, Outcome::cancelled);
    EXPECT_TRUE(d.actions.empty());
}

TEST(Answers, AStreamThatBeganIsLeftAlone) {
    Drive d(plainSettings());
    d.roster({worker(0), worker(1)});
    const RequestId id = d.arrive();
    d.on(StreamStarted{id, 0});
    d.now += seconds(6);
    d.fire(0, id);
    EXPECT_TRUE(d.actions.empty());
}

TEST(Answers, NoTwoAttemptsAtOnceWhereTheSiteForbidsIt) {
    Settings s = plainSettings();
    s.progressInterval = seconds(1);
    Drive d(s);
    d.roster({worker(0), worker(1)});
    const RequestId id = d.arrive();
    d.on(AttemptProgress{id, 0, true, 0});
    d.now += seconds(4);  // its progress notes are overdue
    d.fire(1, id);
    EXPECT_TRUE(d.all<Send>().empty());
}

// --- roster, drains ---

TEST(Roster, DrainingGoneAndUnlistedWorkersGetNothing) {
    Drive d(plainSettings());
    d.roster({worker(0), worker(1), worker(2), worker(3)});
    RosterEntry draining = worker(0), gone = worker(1);
    draining.status = WorkerStatus::draining;
    gone.status = WorkerStatus::off;
    d.roster({draining, gone}, RosterMode::incremental);
    for (int i = 0; i < 12; ++i) EXPECT_GE(d.serve(milliseconds(10)), 2u);
    d.roster({worker(3)});  // a full list: workers that are not in it are gone
    for (int i = 0; i < 5; ++i) EXPECT_EQ(d.serve(milliseconds(10)), 3u);
    d.on(RosterUpdate{RosterMode::lost, {}});  // the last list stays valid
    EXPECT_EQ(d.serve(milliseconds(10)), 3u);
}

TEST(Roster, AsksOnceAndAgainWithGrowingWaitsAfterFailures) {
    Settings s = plainSettings();
    s.rosterOnRequest = true;
    s.rosterRequestWindow = seconds(10);
    Drive d(s);
    d.roster({worker(0)}, RosterMode::stale);
    ASSERT_EQ(d.all<SetTimer>().size(), 1u);
    EXPECT_LE(d.all<SetTimer>()[0].delay, seconds(4));
    EXPECT_TRUE(d.expireTimers());
    EXPECT_EQ(d.all<Subscribe>().size(), 1u);
    Nanos longest{0};
    for (int i = 0; i < 8; ++i) {
        d.on(RosterUpdate{RosterMode::lost, {}});
        ASSERT_EQ(d.all<SetTimer>().size(), 1u);
        longest = std::max(longest, d.all<SetTimer>()[0].delay);
        EXPECT_LE(d.all<SetTimer>()[0].delay, seconds(8));
        d.expireTimers();
        EXPECT_EQ(d.all<Subscribe>().size(), 1u);
    }
    EXPECT_GT(longest, seconds(2));
}

// --- health ---

TEST(Health, AFailingWorkerIsLeftAloneAndComesBackThroughATrial) {
    Drive d(plainSettings());
    d.roster({worker(0), worker(1), worker(2)});
    RequestId id = d.arrive();
    const Worker bad = d.sentTo();
    d.end(id, Outcome::connectFailed);
    d.end(id, Outcome::ok, 1);
    for (int i = 0; i < 6; ++i) EXPECT_NE(d.serve(milliseconds(10)), bad);
    d.now += seconds(3);
    bool tried = false;
    for (int i = 0; i < 6; ++i) tried = d.serve(milliseconds(10)) == bad || tried;
    EXPECT_TRUE(tried);
}

TEST(Health, CountsAvoidedWorkers) {
    Drive drive(plainSettings());
    drive.fleet(8);
    EXPECT_EQ(drive.dispatcher.avoidedWorkerCount(), 0u);
    drive.arrive();
    const Worker away = drive.all<Send>().at(0).worker;
    const auto missed = [](RequestId id) {
        AttemptEnded e;
        e.id = id, e.outcome = Outcome::connectFailed;
        return e;
    };
    drive.on(missed(1));
    EXPECT_EQ(drive.dispatcher.avoidedWorkerCount(), 1u);
    AttemptEnded served;
    served.id = 1, served.attempt = 1, served.requestFinished = true;
    drive.on(served);
    EXPECT_EQ(drive.dispatcher.avoidedWorkerCount(), 1u);  // another worker served it
    RosterEntry back = worker(away);
    back.startedAt = drive.now;
    drive.roster({back}, RosterMode::incremental);  // a restart clears its failures
    EXPECT_EQ(drive.dispatcher.avoidedWorkerCount(), 0u);
    drive.arrive();
    const Worker gone = drive.all<Send>().at(0).worker;
    drive.on(missed(2));
    EXPECT_EQ(drive.dispatcher.avoidedWorkerCount(), 1u);
    RosterEntry off = worker(gone);
    off.status = WorkerStatus::off;
    drive.roster({off}, RosterMode::incremental);  // only listed workers count
    EXPECT_EQ(drive.dispatcher.avoidedWorkerCount(), 0u);
}

TEST(Health, AStaleConnectionSaysNothingOfItsWorker) {
    Drive d(plainSettings());
    d.roster({worker(0), worker(1), worker(2)});
    const RequestId id = d.arrive();
    const Worker first = d.sentTo();
    d.end(id, Outcome::staleConnection);
    EXPECT_NE(d.sentTo(), first);  // the job may have run, but it is safe, so another worker gets it
    d.end(id, Outcome::ok, 1);
    bool used = false;
    for (int i = 0; i < 6; ++i) used = d.serve(milliseconds(300)) == first || used;
    EXPECT_TRUE(used);
}

TEST(Health, ATrialIsNeverAnUnsafeJobWhereSafeOnesExist) {
    Settings s = plainSettings();
    s.classes.push_back(s.classes[0]);
    s.classes[1].idempotency = Idempotency::unsafe;
    Drive d(s);
    d.roster({worker(0), worker(1), worker(2)});
    const RequestId id = d.arrive();
    const Worker bad = d.sentTo();
    d.end(id, Outcome::connectFailed);
    d.now += seconds(3);
    for (int i = 0; i < 8; ++i) {
        const RequestId unsafe = d.arrive(seconds(5), 1);
        EXPECT_NE(d.sentTo(), bad);
        d.on(AttemptProgress{unsafe, 0, true, 0});
        d.end(unsafe, Outcome::ok);
    }
}

TEST(Health, ASilentWorkerIsEjectedBeforeItsJobsTimeOut) {
    Drive d(plainSettings());
    d.roster({worker(0), worker(1), worker(2)});
    for (int i = 0; i < 300; ++i)
        d.serve(milliseconds(10));  // starts are reported at once, so the longest wait is short
    const RequestId id = d.arrive();
    const Worker silent = d.sentTo();
    d.now += milliseconds(700);
    d.fire(1, id);
    for (int i = 0; i < 6; ++i) EXPECT_NE(d.serve(milliseconds(10)), silent);
}

TEST(Health, ARunningJobWhoseProgressLapsesIsCopiedWhereAllowed) {
    Settings s = plainSettings();
    s.progressInterval = seconds(1);
    s.mayDuplicate = true;
    Drive d(s);
    d.roster({worker(0), worker(1), worker(2)});
    const RequestId id = d.arrive();
    const Worker first = d.sentTo();
    d.on(AttemptProgress{id, 0, true, 0});
    d.now += milliseconds(1500);
    d.fire(1, id);
    EXPECT_TRUE(d.all<Send>().empty());  // not overdue yet
    d.now += milliseconds(1000);
    d.fire(1, id);
    EXPECT_NE(d.sentTo(), first);
}

TEST(Health, MissesInARowMakeAZoneSuspectUntilAJobComesThrough) {
    Drive d(plainSettings());
    std::vector<RosterEntry> entries;
    for (Worker w = 0; w < 24; ++w) entries.push_back(worker(w, 1, 0, w < 12 ? 0 : 1));
    d.roster(entries);
    const auto play = [&d](int jobs) {  // zone 1 cannot be reached
        int misses = 0;
        for (int i = 0; i < jobs; ++i) {
            const RequestId id = d.arrive();
            std::uint32_t attempt = 0;
            for (; !d.all<Send>().empty() && d.all<Send>()[0].worker >= 12; ++misses)
                d.end(id, Outcome::connectFailed, attempt++);
            d.on(AttemptProgress{id, attempt, true, 0});
            d.now += milliseconds(10);
            d.end(id, Outcome::ok, attempt);
        }
        return misses;
    };
    EXPECT_LE(play(40), 6);  // it does not fail at each of the twelve workers in turn
    EXPECT_LE(play(40), 3);
    d.now += seconds(2);
    int back = 0;
    for (int i = 0; i < 60; ++i) back += d.serve(milliseconds(40)) >= 12;  // it is reachable again
    EXPECT_GT(back, 15);
}

TEST(Health, WhenAllLookBadTheLoadIsToBlame) {
    Drive d(plainSettings());
    d.roster({worker(0), worker(1)});
    for (int i = 0; i < 4; ++i) {
        const RequestId id = d.arrive();
        for (std::uint32_t a = 0; a < 3 && !d.all<Send>().empty(); ++a) d.end(id, Outcome::connectFailed, a);
    }
    d.arrive();
    EXPECT_EQ(d.all<Send>().size(), 1u);
}

TEST(Health, SeldomUsedConnectionsAreClosedUnlessNewOnesHaveAPrice) {
    for (const double price : {0.0, 0.1}) {
        Settings s = plainSettings();
        s.handshakeCost = price;
        Drive d(s);
        d.fleet(50);
        for (int i = 0; i < 20; ++i)
            d.serve(milliseconds(100));  // one job at a time, while there are 50 workers
        EXPECT_EQ(d.all<CloseIdle>().size(), price == 0 ? 1u : 0u);
    }
    Drive few(plainSettings());
    few.roster({worker(0), worker(1)});
    for (int i = 0; i < 20; ++i) few.serve(milliseconds(100));
    EXPECT_TRUE(few.all<CloseIdle>().empty());
}

// --- cold budget ---

Settings coldSettings(std::uint32_t fleet, std::uint32_t me) {
    Settings s = plainSettings();
    s.schedulerCount = fleet;
    s.schedulerIndex = me;
    s.warmup = seconds(20);
    s.initialCapacity = 0.2;
    s.coldBudgetMultiple = 2.5;
    s.coldBudgetSpan = seconds(2);
    return s;
}

TEST(Cold, OneSchedulerKeepsAColdWorkerInsideItsBudget) {
    Drive d(coldSettings(1, 0));
    d.roster({worker(0), worker(1), worker(2), worker(3)});
    for (int i = 0; i < 2000; ++i) d.serve(milliseconds(10));  // 100 jobs a second, 25 for each worker
    RosterEntry cold = worker(4);
    cold.startedAt = d.now - milliseconds(1);
    d.roster({cold}, RosterMode::incremental);
    int early = 0, late = 0;
    for (int i = 0; i < 200; ++i) early += d.serve(milliseconds(10)) == 4;  // its first 2 s
    for (int i = 0; i < 2000; ++i) d.serve(milliseconds(10));
    for (int i = 0; i < 200; ++i) late += d.serve(milliseconds(10)) == 4;  // warm by then
    EXPECT_LE(early, static_cast<int>(2.5 * 0.28 * 25 * 2));
    EXPECT_GT(late, 20);
}

TEST(Cold, SchedulersWithFewJobsTakeTurns) {
    constexpr std::uint32_t kFleet = 50;
    int together = 0;
    for (std::uint32_t me = 0; me < kFleet; ++me) {
        Drive d(coldSettings(kFleet, me), 100 + me);
        d.fleet(10);
        for (int i = 0; i < 20; ++i)
            d.serve(milliseconds(1000));  // a job a second, five a second for each worker
        RosterEntry cold = worker(10);
        cold.startedAt = d.now - milliseconds(1);
        d.roster({cold}, RosterMode::incremental);
        for (int i = 0; i < 2; ++i) together += d.serve(milliseconds(999)) == 10;
    }
    EXPECT_LE(together,
              static_cast<int>(2.5 * 0.28 * 5 * 2));  // the budget of all schedulers for its first 2 s
}

// When all workers start together, there are no answers yet to derive a budget from. The schedulers together
// send each worker one job and then more as jobs are answered; otherwise nothing would be served until all
// are warm.
TEST(Cold, WhereAllAreColdAFirstJobEachBegins) {
    constexpr std::uint32_t kFleet = 10;
    int first = 0, last = 0;
    for (std::uint32_t me = 0; me < kFleet; ++me) {
        Drive d(coldSettings(kFleet, me), 100 + me);
        std::vector<RosterEntry> all;
        for (Worker w = 0; w < 5; ++w)
            all.push_back(worker(w)), all.back().startedAt = d.now - milliseconds(1);
        d.roster(all);
        for (int i = 0; i < 100; ++i) {  // ten a second
            const RequestId id = d.arrive();
            const bool sent = !d.all<Send>().empty();
            if (sent) d.on(AttemptProgress{id, 0, true, 0});
            d.now += milliseconds(100);
            if (sent)
                d.end(id, Outcome::ok);
            else
                d.on(ClientLeft{id});
            first += sent && i < 3, last += sent && i >= 80;
        }
    }
    EXPECT_GE(first, 1);
    EXPECT_LE(first,
              30);  // the turns assume that only one scheduler in five has a job, as nothing is known yet
    EXPECT_GE(last, 150);  // of 200
}

TEST(Cold, ARestartUnderTheSameIdIsColdAgain) {
    Drive d(coldSettings(1, 0));
    d.roster({worker(0), worker(1)});
    for (int i = 0; i < 2000; ++i) d.serve(milliseconds(10));
    RosterEntry again = worker(1);
    again.startedAt = d.now;
    d.roster({again}, RosterMode::incremental);
    int sent = 0;
    for (int i = 0; i < 100; ++i) sent += d.serve(milliseconds(10)) == 1;
    EXPECT_LT(sent, 30);  // 50 before
}

TEST(Admission, ATenantOverItsQuotaIsRefusedFirst) {
    Settings s = plainSettings();
    s.tenants = {{0.5, 40}, {0.5, 40}};
    s.overQuotaWorth = 0.1;
    Drive d(s);
    d.roster({worker(0), worker(1)});
    int asked[2] = {0, 0}, refused[2] = {0, 0};
    std::vector<RequestId> waiting;
    for (int i = 0; i < 3000; ++i) {
        RequestArrived r;
        r.id = d.next++;
        r.timeLeft = seconds(5);
        r.tenant =
            i % 5 == 0 ? 1 : 0;  // tenant 0 sends 80 a second, twice its quota, tenant 1 half of its own
        d.on(r);
        const bool no = !d.all<Refuse>().empty();
        if (!no) waiting.push_back(r.id);
        if (i >= 1500) ++asked[r.tenant], refused[r.tenant] += no;
        if (i % 10 < 7 && !waiting.empty()) {  // the workers have capacity for seven jobs in ten
            d.on(AttemptProgress{waiting.front(), 0, true, 0});
            d.now += milliseconds(5);
            d.end(waiting.front(), Outcome::ok);
            waiting.erase(waiting.begin());
        }
        d.now += milliseconds(5);
    }
    EXPECT_GT(refused[0], asked[0] / 10);
    EXPECT_LT(5 * refused[1] * asked[0], refused[0] * asked[1]);  // it is refused at most a fifth as often
}

TEST(Admission, WithoutStartNotesRunningJobsAreNotTakenForWaitingOnes) {
    Settings s = plainSettings();
    s.workersReportStart = false;
    Drive d(s);
    d.fleet(20);
    std::vector<RequestId> running;
    int refused = 0;
    for (int i = 0; i < 400; ++i) {  // ten jobs run at a time, each as long as the target latency
        running.push_back(d.arrive());
        refused += !d.all<Refuse>().empty();
        d.now += milliseconds(30);
        if (running.size() > 10) d.end(running.front(), Outcome::ok), running.erase(running.begin());
    }
    EXPECT_EQ(refused, 0);
    for (int i = 0; i < 200; ++i) {  // all workers are full: this is overload
        const RequestId id = d.arrive();
        for (std::uint32_t a = 0; !d.all<Send>().empty(); ++a) d.end(id, Outcome::full, a);
        d.now += milliseconds(30);
    }
    d.arrive();
    for (int i = 0; i < 20; ++i) d.arrive(), refused += !d.all<Refuse>().empty();
    EXPECT_GT(refused, 8);
}

// Admission must not stay closed: while it refuses, few jobs remain that could show that there is room again.
TEST(Admission, ReopensWithTimeWhenThereIsRoomAgain) {
    Drive d(plainSettings());
    d.fleet(20);
    for (int i = 0; i < 200; ++i) {
        const RequestId id = d.arrive();
        for (std::uint32_t a = 0; !d.all<Send>().empty(); ++a) d.end(id, Outcome::full, a);
        d.now += milliseconds(30);
    }
    int refused = 0;
    for (int i = 0; i < 60; ++i) {  // half a minute at two jobs a second, with room for each
        const RequestId id = d.arrive();
        if (i >= 30) refused += !d.all<Refuse>().empty();
        if (!d.all<Send>().empty()) d.on(AttemptProgress{id, 0, true, 0}), d.end(id, Outcome::ok);
        d.now += milliseconds(500);
    }
    EXPECT_EQ(refused, 0);
}

// Work that finds room must not be refused: where queues are short, many first attempts meet a full worker.
TEST(Admission, AFullWorkerIsNoJamWhereTheNextOneTakesTheJob) {
    Drive d(plainSettings());
    d.fleet(20);
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
        const RequestId id = d.arrive();
        refused += !d.all<Refuse>().empty();
        d.end(id, Outcome::full, 0);
        if (!d.all<Send>().empty()) d.on(AttemptProgress{id, 1, true, 0}), d.end(id, Outcome::ok, 1);
        d.now += milliseconds(100);
    }
    EXPECT_EQ(refused, 0);
}

// --- live weights ---

Settings liveSettings() {  // no start reports, cancelling frees no capacity, no copies
    Settings s = plainSettings();
    s.classes.push_back(s.classes[0]);
    s.classes[1].targetLatency = seconds(3);
    s.weights = Weights::live;
    s.workersReportStart = false, s.mayCancel = true, s.worthPerWork = true, s.mayAdviseRetry = true;
    s.progressInterval = seconds(1), s.maxRetryAfter = seconds(2);
    s.overallWeight = 0.6, s.worstClassWeight = 0.35;
    return s;
}

// Workers of size 4. reportLoad() sets how many jobs they hold for each core; each job takes half a second.
struct LiveDrive : Drive {
    explicit LiveDrive(Settings s = liveSettings()) : Drive(std::move(s)) {
        reportLoad({0, 0, 0, 0});
        for (int i = 0; i < 40; ++i) serveHinted(milliseconds(500), milliseconds(500));
    }
    void reportLoad(const std::vector<double>& held) {
        std::vector<RosterEntry> entries;
        for (const double h : held)
            entries.push_back(worker(static_cast<Worker>(entries.size()), 4 / (1 + h)));
        roster(entries, RosterMode::incremental);
    }
    void serveHinted(Nanos hint, Nanos took) {
        const RequestId id = arrive(seconds(5), 0, hint);
        now += took;
        end(id, Outcome::ok);
        reportLoad({0, 0, 0, 0});
    }
    bool takes(std::uint32_t klass) {  // ends the job at once, so that own jobs do not add up
        const RequestId id = arrive(seconds(5), klass, milliseconds(500));
        const bool sent = !all<Send>().empty();
        for (std::uint32_t a = 0; sent && a < 3; ++a) end(id, Outcome::notExecuted, a);
        return sent;
    }
};

// A job sent to a worker with a long reported queue is late, and cancelling it frees no capacity.
TEST(Lists, AWorkerWhoseQueueIsTooLongGetsNothing) {
    LiveDrive d;
    d.reportLoad({6, 0, 6, 0});
    for (int i = 0; i < 12; ++i) {
        const RequestId id = d.arrive(seconds(5), 0, milliseconds(500));
        EXPECT_EQ(d.sentTo() % 2, 1u) << i;
        d.now += milliseconds(500), d.end(id, Outcome::ok);
    }
}

TEST(Lists, AJobThatNoneCanStartInTimeIsRefusedAtOnceWithATimeToComeBack) {
    LiveDrive d;
    d.reportLoad({6, 6, 6, 6});
    d.arrive(seconds(5), 0, milliseconds(500));
    ASSERT_EQ(d.all<Refuse>().size(), 1u);
    EXPECT_GT(d.all<Refuse>()[0].retryAfter, Nanos(0));
    EXPECT_TRUE(d.all<Send>().empty());
    d.reportLoad({6, 6, 0, 6});
    d.arrive(seconds(5), 0, milliseconds(500));
    EXPECT_EQ(d.sentTo(), 2u);
}

// Own jobs sent since the last list count as held; otherwise all jobs between two lists go to the same
// workers.
TEST(Lists, OwnJobsSinceTheListCount) {
    LiveDrive d;
    d.reportLoad({0.9, 0.9, 0.9, 0.9});
    int sent = 0;
    for (int i = 0; i < 60; ++i) d.arrive(seconds(5), 0, milliseconds(500)), sent += !d.all<Send>().empty();
    EXPECT_GE(sent, 8);
    EXPECT_LE(sent, 24);
    for (int i = 0; i < 60; ++i) {  // one at a time: ended jobs no longer count
        d.reportLoad({0.9, 0.9, 0.9, 0.9});
        for (int job = 0; job < 10; ++job) EXPECT_TRUE(d.takes(0));
    }
}

// A class with a long target latency must not fill the queues so that one with a short target is refused. A
// class that is worth much more for each unit of work may still wait as long as its own slack.
TEST(Lists, NoClassWaitsLongerThanTheTightestUnlessItsWorthIsAhead) {
    for (const double worth : {1.0, 20.0}) {
        Settings s = liveSettings();
        s.classes[1].worth = worth;
        LiveDrive d(s);
        int low = 0, high = 0;
        for (int i = 0; i < 40; ++i) {
            // A wait of 1.5 s; the slack is 0.8 s for class 0 and 3.5 s for class 1.
            d.reportLoad({4, 4, 4, 4});
            low += d.takes(0), high += d.takes(1);
        }
        EXPECT_EQ(low, 0);
        EXPECT_EQ(high > 30, worth > 1) << high;
    }
}

// Expected job times come from a ratio of sums: in a mean of ratios one hint that is far too small would
// affect all jobs.
TEST(Lists, OneFarTooSmallHintSaysNothingOfOtherJobs) {
    LiveDrive d;
    d.serveHinted(milliseconds(1), milliseconds(500));
    d.reportLoad({4, 4, 4, 4});  // a wait of 1.5 s
    EXPECT_FALSE(d.takes(0));
    d.reportLoad({1.5, 1.5, 1.5, 1.5});
    EXPECT_TRUE(d.takes(0));
    Drive fresh(liveSettings());
    fresh.roster({worker(0, 4), worker(1, 4)});
    const RequestId id = fresh.arrive(seconds(5), 0, milliseconds(1));  // the first job ever
    fresh.now += milliseconds(500), fresh.end(id, Outcome::ok);
    fresh.arrive(seconds(5), 0, milliseconds(500));
    fresh.roster({worker(0, 4 / 2.3), worker(1, 4 / 2.3)}, RosterMode::incremental);
    fresh.arrive(seconds(5), 0, milliseconds(50));
    EXPECT_EQ(fresh.all<Send>().size(), 1u);
}

// Without start reports, a waiting job must not make its worker look silent, and a hung worker must not go on
// getting jobs.
TEST(Lists, ASilentWorkerIsLeftAloneAndABusyOneIsNot) {
    for (const bool hung : {false, true}) {
        LiveDrive d;
        d.reportLoad({0, 6, 6, 6});
        const RequestId waits = d.arrive(seconds(5), 0, milliseconds(500));
        ASSERT_EQ(d.sentTo(), 0u);
        const RequestId runs = d.arrive(seconds(5), 0, milliseconds(500));
        ASSERT_EQ(d.sentTo(), 0u);
        for (int i = 0; i < 3; ++i) {
            d.now += seconds(1);
            if (!hung) d.on(AttemptProgress{runs, 0, false, 0.2});
            d.fire(1, waits);
        }
        EXPECT_EQ(d.dispatcher.avoidedWorkerCount(), hung ? 1u : 0u);
    }
}

TEST(Cold, ABigJobIsNotAColdWorkersFirst) {
    int big = 0;
    for (std::uint32_t me = 0; me < 40; ++me) {
        Drive d(coldSettings(40, me), 100 + me);
        d.fleet(10);
        for (int i = 0; i < 20; ++i) {
            const RequestId id = d.arrive(seconds(5), 0, milliseconds(100));
            d.on(AttemptProgress{id, 0, true, 0});
            d.now += milliseconds(1000);
            d.end(id, Outcome::ok);
        }
        RosterEntry cold = worker(10);
        cold.startedAt = d.now - milliseconds(1);
        d.roster({cold}, RosterMode::incremental);
        d.arrive(seconds(5), 0,
                 milliseconds(1500));  // fifteen mean jobs; all schedulers together have a budget of 28
        big += d.sentTo() == 10;
    }
    EXPECT_EQ(big, 0);
}

// --- admission ---

TEST(Admission, AJamIsRefusedOnArrivalAndClears) {
    Drive d(plainSettings());
    d.roster({worker(0), worker(1)});
    for (int i = 0; i < 200; ++i) d.serve(milliseconds(50));
    std::vector<RequestId> waiting;
    int refused = 0;
    for (int i = 0; i < 400; ++i) {  // 100 jobs a second arrive, none starts
        waiting.push_back(d.arrive());
        refused += !d.all<Refuse>().empty();
        d.now += milliseconds(10);
    }
    EXPECT_GT(refused, 100);
    for (const RequestId id : waiting) d.end(id, Outcome::ok);
    d.now += seconds(3);
    for (int i = 0; i < 60; ++i) d.arrive(), d.end(d.next - 1, Outcome::ok), d.now += milliseconds(100);
    refused = 0;
    for (int i = 0; i < 20; ++i) {
        const RequestId id = d.arrive();
        refused += !d.all<Refuse>().empty();
        d.end(id, Outcome::ok);
        d.now += milliseconds(100);
    }
    EXPECT_EQ(refused, 0);
}

TEST(Admission, TheLeastWorthIsRefusedFirst) {
    Settings s = plainSettings();
    s.classes.push_back(s.classes[0]);
    s.classes[1].worth = 8;
    Drive d(s);
    d.roster({worker(0), worker(1)});
    int refused[2] = {0, 0};
    std::vector<RequestId> waiting;
    for (int i = 0; i < 2000; ++i) {
        const RequestId id = d.arrive(seconds(5), static_cast<std::uint32_t>(i % 2));
        if (d.all<Refuse>().empty())
            waiting.push_back(id);
        else if (i >= 1000)
            ++refused[i % 2];
        if (i % 10 < 7 && !waiting.empty()) {  // the workers have capacity for seven jobs in ten
            d.on(AttemptProgress{waiting.front(), 0, true, 0});
            d.now += milliseconds(5);
            d.end(waiting.front(), Outcome::ok);
            waiting.erase(waiting.begin());
        }
        d.now += milliseconds(5);
    }
    EXPECT_GT(refused[0], 20);
    EXPECT_GT(refused[0], 5 * refused[1]);
}

// --- invalid input ---

TEST(Settings, InvalidOnesNameTheField) {
    const auto fault = [](void (*spoil)(Settings&)) {
        Settings s = plainSettings();
        spoil(s);
        try {
            Dispatcher d(s, 1);
        } catch (const std::invalid_argument& e) {
            return std::string(e.what());
        }
        return std::string("accepted");
    };
    EXPECT_NE(fault([](Settings& s) { s.classes.clear(); }).find("classes"), std::string::npos);
    EXPECT_NE(fault([](Settings& s) { s.schedulerIndex = 1; }).find("me"), std::string::npos);
    EXPECT_NE(fault([](Settings& s) { s.maxAttempts = 0; }).find("maxAttempts"), std::string::npos);
    EXPECT_NE(fault([](Settings& s) { s.initialCapacity = 0; }).find("coldFrom"), std::string::npos);
    EXPECT_NE(fault([](Settings& s) { s.classes[0].clientTimeout = Nanos(0); }).find("classes.giveUp"),
              std::string::npos);
    EXPECT_NE(fault([](Settings& s) { s.worstClassWeight = -1; }).find("goal.worstClass"), std::string::npos);
    EXPECT_NE(fault([](Settings& s) { s.classes[0].stretch = -1; }).find("classes.stretch"),
              std::string::npos);
    EXPECT_EQ(fault([](Settings&) {}), "accepted");
}

TEST(Settings, AnUnknownClassThrows) {
    Drive d(plainSettings());
    RequestArrived r;
    r.klass = 3;
    EXPECT_THROW(d.on(r), std::invalid_argument);
}

// --- source limits ---

TEST(Module, StaysWithinItsLinesAndWidth) {
    std::ifstream file(HERONMOUNT_SOURCE_DIR "/src/rules.cpp");
    ASSERT_TRUE(file.good());
    std::size_t lines = 0;
    for (std::string line; std::getline(file, line);) {
        lines += line.find_first_not_of(" \t\r") != std::string::npos;
        EXPECT_LE(line.size(), 110u) << line;
    }
    EXPECT_GT(lines, 100u);
    EXPECT_LE(lines, 640u);
}

}  // namespace
}  // namespace heronmount
