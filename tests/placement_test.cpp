// Tests of the placement policy: its document, the spill allowance over a fleet, and the core with both.
#include <gtest/gtest.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <set>

#include "config/operator.hpp"
#include "core/core.hpp"

namespace amberswitch::placement {
namespace {

using heronmount::Idempotency;
using heronmount::RosterMode;
using heronmount::WorkerStatus;
using namespace std::chrono_literals;

settings::Site site() {
    settings::Site s;
    s.classes = {"car-match", "job-assign"};
    s.tenants = {"maritsa", "trakia"};
    s.zones = {"sofia", "plovdiv", "ruse"};
    s.kinds = {"std-4", "slow-4"};
    s.module.classes.resize(2);
    for (auto& klass : s.module.classes) klass.targetLatency = 400ms, klass.clientTimeout = 5s;
    s.module.tenants.resize(2);
    s.module.zones = 3, s.module.kinds = 2;
    s.module.maxAttempts = 3, s.module.mayCancel = s.module.mayDuplicate = true,
    s.module.workersReportStart = true;
    s.module.mayAdviseRetry = true, s.module.maxRetryAfter = 2s, s.module.tick = 4ms;
    return s;
}

const std::string kDocument = R"({"schema":1,"number":7,
  "jurisdictions":{"bg":{"zones":["sofia"]},"ro":{"zones":["plovdiv"],"servers":["x"]}},
  "partners":{"maritsa":{"home":"bg","others":"anywhere","classes":{
      "car-match":{"rule":"home"},
      "job-assign":{"rule":"home_first","never":["ro"],"spill":{"long_jobs":3,"long_ms":6000,"short_jobs":2,"short_ms":1000}}}},
    "trakia":{"others":"anywhere","classes":{"car-match":{"rule":"anywhere","never":["ro"]}}}},
  "otherwise":"refused"})";

config::Operator read(const std::string& document) {
    return config::readOperator(site(), "own.json", R"({"placement":)" + document + "}");
}

std::string faultOf(std::string document, const std::string& from, const std::string& to) {
    const std::size_t at = document.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    try {
        read(document.replace(at, from.size(), to));
    } catch (const settings::BadField& bad) {
        return bad.what();
    }
    return "taken";
}

TEST(PlacementPolicy, NamesPathAndReasonOfAContradiction) {
    const auto fault = [](const std::string& from, const std::string& to) {
        const std::string said = faultOf(kDocument, from, to);
        EXPECT_EQ(said.rfind("own.json: placement", 0), 0u) << said;
        return said.substr(said.find(": ") + 2);
    };
    EXPECT_EQ(fault(R"("schema":1)", R"("schema":2)"), "placement.schema: this program takes schema 1");
    EXPECT_EQ(fault(R"("number":7,)", ""), "placement.number: is missing");
    EXPECT_EQ(fault(R"("zones":["sofia"])", R"("zones":["sofya"])"),
              "placement.jurisdictions.bg.zones[0]: there is no zone 'sofya'");
    EXPECT_EQ(fault(R"("zones":["sofia"])", R"("zones":[])"),
              "placement.jurisdictions.bg: names neither a zone nor a server");
    EXPECT_EQ(fault(R"("home":"bg",)", ""),
              "placement.partners.maritsa.classes.car-match: the partner has no home");
    EXPECT_EQ(fault(R"("home":"bg")", R"("home":"gr")"),
              "placement.partners.maritsa.home: there is no jurisdiction 'gr'");
    EXPECT_EQ(fault(R"({"rule":"home"})", R"({"rule":"home","never":["ro"]})"),
              "placement.partners.maritsa.classes.car-match.never: says nothing where the rule is home");
    EXPECT_EQ(fault(R"("never":["ro"],"spill")", R"("never":["bg"],"spill")"),
              "placement.partners.maritsa.classes.job-assign.never: forbids a jurisdiction that is home or "
              "allowed");
    EXPECT_EQ(fault(R"({"rule":"home"})", R"({"rule":"home_first"})"),
              "placement.partners.maritsa.classes.car-match: 'spill' goes with the rule home_first, and only "
              "with it");
    EXPECT_EQ(fault(R"("short_jobs":2)", R"("short_jobs":4)"),
              "placement.partners.maritsa.classes.job-assign.spill: short_jobs is more than long_jobs");
    EXPECT_EQ(fault(R"("trakia":{"others":"anywhere",)", R"("trakia":{)"),
              "placement.partners.trakia.others: is missing");
    EXPECT_EQ(fault(R"("otherwise":"refused")", R"("otherwise":"home")"),
              "placement.otherwise: there is no rule 'home'");
    EXPECT_EQ(fault(R"("trakia":{)", R"("thrace":{)"),
              "placement.partners.thrace: there is no tenant 'thrace'");
}

TEST(PlacementPolicy, TheDigestIsOfWhatIsSaidNotOfHowItIsWritten) {
    std::string spaced = kDocument;
    for (std::size_t at = 0; (at = spaced.find(',', at)) != std::string::npos; at += 2)
        spaced.insert(at + 1, " ");
    EXPECT_EQ(read(kDocument).placement.digest, read(spaced).placement.digest);
    std::string other = kDocument;
    other.replace(other.find(":7"), 2, ":8");
    EXPECT_NE(read(kDocument).placement.digest, read(other).placement.digest);
    EXPECT_FALSE(config::readOperator(site(), "own.json", "{}").placement.on);
}

// Dispatchers of a fleet spend whenever they can and restart at random; the sum must hold in any span.
TEST(Allowance, IsNeverExceededOverTheFleetRestartsIncluded) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        boost::random::mt19937_64 random(seed);
        const auto draw = [&random] {
            return boost::random::uniform_real_distribution<double>(0, 1)(random);
        };
        const auto fleet = static_cast<std::uint32_t>(1 + draw() * 40);
        Spill spill;
        spill.longJobs = static_cast<std::uint32_t>(1 + draw() * 100), spill.longSpan = 6s;
        spill.shortJobs = spill.longJobs, spill.shortSpan = 1s;
        std::vector<SpillLimiter> limiters;
        for (std::uint32_t me = 0; me < fleet; ++me) limiters.emplace_back(spill, fleet, me, Time(1000s));
        std::deque<Time> all;
        std::size_t most = 0, sum = 0;
        for (Time now = 1000s; now < 1200s; now += 40ms)
            for (std::uint32_t me = 0; me < fleet; ++me) {
                if (draw() < 0.001) limiters[me] = SpillLimiter(spill, fleet, me, now);
                if (draw() < 0.3 && limiters[me].trySpend(now)) all.push_back(now), ++sum;
                while (!all.empty() && all.front() <= now - spill.longSpan) all.pop_front();
                most = std::max(most, all.size());
            }
        EXPECT_LE(most, spill.longJobs) << "seed " << seed << ", fleet " << fleet;
        // The allowance is also used: in most of the 32 spans in which spending is possible.
        EXPECT_GE(sum, spill.longJobs * 15) << "seed " << seed << ", fleet " << fleet;
    }
}

TEST(Allowance, AStartBeginsWithAnEmptyPurseAndBurstsAreBounded) {
    Spill spill;
    spill.longJobs = 10, spill.longSpan = 10s, spill.shortJobs = 2, spill.shortSpan = 1s;
    SpillLimiter limiter(spill, 1, 0, 100s);
    EXPECT_FALSE(limiter.trySpend(105s));
    EXPECT_TRUE(limiter.trySpend(110s));
    EXPECT_TRUE(limiter.trySpend(110s));
    EXPECT_FALSE(limiter.trySpend(110s + 500ms));
    limiter.refund(110s);
    EXPECT_TRUE(limiter.trySpend(110s + 600ms));
}

struct Client : ClientEnd {
    void served(Time, std::string) override { ++answers, last = "served"; }
    void unavailable(Time, Nanos retryIn) override { ++answers, last = "unavailable", advice = retryIn; }
    void failed(Time, std::string_view) override { ++answers, last = "failed"; }
    int answers = 0;
    std::string last;
    Nanos advice{0};
};

struct Fleet : ApplicationServers, RosterSource {
    void start(Time, const ProxyPass& pass) override { started.push_back(pass); }
    void abandon(Time, const ProxyPass&) override {}
    void closeIdle(Time, Worker) override {}
    void probe(Time, Worker) override {}
    std::vector<ProxyPass> started;
};

RosterServer at(const std::string& name, int zone, WorkerStatus status = WorkerStatus::on,
                Time since = Time(0)) {
    RosterServer e;
    e.name = name;
    e.entry.zone = zone, e.entry.status = status, e.entry.startedAt = since;
    return e;
}

constexpr int kMaritsa = 0, kTrakia = 1, kStranger = -1;
constexpr std::uint32_t kMatch = 0, kAssign = 1;

struct Placed : testing::Test {
    std::shared_ptr<Client> ask(int tenant, std::uint32_t klass) {
        auto client = std::make_shared<Client>();
        Arrival arrival;
        arrival.request.klass = klass, arrival.request.timeLeft = 5s, arrival.request.tenant = tenant;
        arrival.client = client;
        id = core.arrive(now, std::move(arrival));
        return client;
    }
    // Returns the servers that get a hundred jobs, each served at once.
    std::set<std::string> places(int tenant, std::uint32_t klass) {
        std::set<std::string> out;
        for (int i = 0; i < 100; ++i) {
            const std::size_t before = fleet.started.size();
            ask(tenant, klass);
            for (std::size_t pass = before; pass < fleet.started.size(); ++pass) {
                out.insert(nameOf(fleet.started[pass].server));
                core.passStarted(now, id, fleet.started[pass].number);
                core.passEnded(now, id, fleet.started[pass].number, End::served, "r");
            }
            now += 20ms, deadlines.sweep(now);
        }
        return out;
    }
    std::string nameOf(Worker server) {
        for (const char* const name : {"s", "p", "r", "x", "s2"})
            if (core.handleOf(name) == server) return name;
        return "?";
    }
    void list(RosterMode mode, const std::vector<RosterServer>& entries) {
        core.updateRoster(now, fleet, fleet, mode, entries);
    }

    Time now{1000s};
    Deadlines deadlines;
    Core core{site(), 5, deadlines, read(kDocument).placement, Time(1000s)};
    Fleet fleet;
    TransactionId id = 0;
    const std::vector<RosterServer> all{at("s", 0), at("p", 1), at("r", 2), at("x", 2)};
};

TEST_F(Placed, EachKindOfWorkGoesWhereItMay) {
    list(RosterMode::full, all);
    EXPECT_EQ(places(kMaritsa, kMatch), (std::set<std::string>{"s"}));
    EXPECT_EQ(places(kMaritsa, kAssign), (std::set<std::string>{"s"}));  // home has room
    EXPECT_EQ(places(kTrakia, kMatch), (std::set<std::string>{"s"}));    // r may be in a forbidden place
    EXPECT_EQ(places(kTrakia, kAssign), (std::set<std::string>{"s", "p", "r", "x"}));
    const auto stranger = ask(kStranger, kAssign);
    EXPECT_EQ(stranger->last, "unavailable");
    EXPECT_EQ(core.placement().counters().nowhere, 1u);
}

// Without a server at home a job is refused at once with a retry delay; admission of other jobs is
// unaffected.
TEST_F(Placed, RefusedForWantOfHomeAtOnceAndOnlyThat) {
    const auto early = ask(kMaritsa, kMatch);  // no list yet
    EXPECT_EQ(early->last, "unavailable");
    list(RosterMode::full, all);
    list(RosterMode::incremental, {at("s", 0, WorkerStatus::draining)});
    for (int i = 0; i < 300; ++i) {
        const auto client = ask(kMaritsa, kMatch);
        EXPECT_EQ(client->last, "unavailable");
        EXPECT_GE(client->advice, 100ms);
        EXPECT_LE(client->advice, 2s);
        now += 5ms;
    }
    EXPECT_TRUE(fleet.started.empty());
    EXPECT_EQ(core.placement().counters().refusedHome, 301u);
    EXPECT_EQ(places(kTrakia, kAssign), (std::set<std::string>{"p", "r", "x"}));
    EXPECT_EQ(core.counters().byClass[kAssign].succeeded, 100u);
}

// If home is full, jobs of others must not be refused and jobs bound to home must not be sent elsewhere.
TEST_F(Placed, AFullHomeStaysHomes) {
    list(RosterMode::full, all);
    std::set<std::string> others;
    std::size_t refused = 0;
    for (int i = 0; i < 400; ++i) {
        const std::size_t before = fleet.started.size();
        const auto home = ask(kMaritsa, kMatch);
        for (std::size_t pass = before; pass < fleet.started.size(); ++pass) {
            EXPECT_EQ(nameOf(fleet.started[pass].server), "s");
            core.passEnded(now, id, fleet.started[pass].number, End::handedBack);
        }
        EXPECT_EQ(home->last, "unavailable");
        const std::size_t then = fleet.started.size();
        const auto other = ask(kTrakia, kAssign);
        refused += other->last == "unavailable";
        for (std::size_t pass = then; pass < fleet.started.size(); ++pass) {
            core.passStarted(now, id, fleet.started[pass].number);
            core.passEnded(now, id, fleet.started[pass].number, End::served, "r");
        }
        now += 20ms, deadlines.sweep(now);
    }
    EXPECT_EQ(refused, 0u);
}

TEST_F(Placed, GoesElsewhereOnlyOutOfTheAllowanceAndNeverWhereItMustNot) {
    list(RosterMode::full, {at("p", 1), at("r", 2), at("x", 2), at("s2", 0)});
    list(RosterMode::incremental, {at("s2", 0, WorkerStatus::off)});
    EXPECT_EQ(ask(kMaritsa, kAssign)->last, "unavailable");  // nothing may be spent after a start
    now += 7s;
    // p and x are in ro and r may be, so no server is permitted and nothing is spent.
    EXPECT_EQ(ask(kMaritsa, kAssign)->last, "unavailable");
    EXPECT_TRUE(fleet.started.empty());
    EXPECT_EQ(core.placement().counters().spilled, core.placement().counters().returned);
}

TEST_F(Placed, WhatSpillsIsCountedOverTheLongSpan) {
    Core own{site(), 5, deadlines,
             [] {
                 std::string open = kDocument;
                 open.erase(open.find(R"("never":["ro"],"spill")"), 15);
                 return read(open).placement;
             }(),
             Time(1000s)};
    own.updateRoster(now, fleet, fleet, RosterMode::full, {at("p", 1), at("r", 2)});
    now += 7s;
    int served = 0, refused = 0;
    for (int i = 0; i < 60; ++i) {  // six seconds
        auto client = std::make_shared<Client>();
        Arrival arrival;
        arrival.request.klass = kAssign, arrival.request.timeLeft = 5s, arrival.request.tenant = kMaritsa;
        arrival.client = client;
        const std::size_t before = fleet.started.size();
        const TransactionId mine = own.arrive(now, std::move(arrival));
        for (std::size_t pass = before; pass < fleet.started.size(); ++pass)
            own.passEnded(now, mine, fleet.started[pass].number, End::served, "r");
        served += client->last == "served", refused += client->last == "unavailable";
        now += 100ms;
    }
    EXPECT_EQ(served, 3);
    EXPECT_EQ(refused, 57);
}

// Rejected passes at home count as attempts, and the dispatcher continues counting from them.
TEST_F(Placed, AJobThatHomeHandedBackGoesElsewhereAndIsServedOnce) {
    settings::Site wide = site();
    wide.module.maxAttempts = 4;
    std::string open = kDocument;
    open.erase(open.find(R"("never":["ro"],"spill")"), 15);
    Core own{wide, 5, deadlines, read(open).placement, Time(1000s)};
    own.updateRoster(now, fleet, fleet, RosterMode::full, {at("s", 0), at("p", 1)});
    now += 7s;
    auto client = std::make_shared<Client>();
    Arrival arrival;
    arrival.request.klass = kAssign, arrival.request.timeLeft = 5s, arrival.request.tenant = kMaritsa;
    arrival.client = client;
    const TransactionId mine = own.arrive(now, std::move(arrival));
    for (std::size_t pass = 0; pass < fleet.started.size() && pass < 8; ++pass) {
        const bool home = fleet.started[pass].server == own.handleOf("s");
        if (!home) own.passStarted(now, mine, fleet.started[pass].number);
        own.passEnded(now, mine, fleet.started[pass].number, home ? End::handedBack : End::served, "r");
    }
    EXPECT_EQ(fleet.started.size(), 4u);  // three at home
    EXPECT_EQ(client->answers, 1);
    EXPECT_EQ(client->last, "served");
    EXPECT_EQ(own.placement().counters().spilled, 1u);
    EXPECT_EQ(own.openTransactions(), 0u);
}

// Fails closed for an unknown zone and for a label that changes while the server runs.
TEST_F(Placed, ALabelThatChangesCountsForNothingUntilTheServerStartsAnew) {
    list(RosterMode::full, {at("s", 0), at("p", 1), at("r", 9)});
    EXPECT_EQ(places(kMaritsa, kMatch), (std::set<std::string>{"s"}));
    list(RosterMode::incremental, {at("p", 0)});  // its label now says home
    EXPECT_EQ(places(kMaritsa, kMatch), (std::set<std::string>{"s"}));
    list(RosterMode::incremental, {at("s", 1)});  // the label of the home server says elsewhere
    EXPECT_EQ(ask(kMaritsa, kMatch)->last, "unavailable");
    list(RosterMode::incremental, {at("s", 0)});  // back again: it is unknown which label was right
    EXPECT_EQ(ask(kMaritsa, kMatch)->last, "unavailable");
    EXPECT_EQ(core.placement().counters().labelChanged, 2u);
    list(RosterMode::incremental, {at("s", 0, WorkerStatus::on, Time(900s))});
    now += 60s;
    list(RosterMode::incremental, {});
    EXPECT_EQ(places(kMaritsa, kMatch), (std::set<std::string>{"s"}));
}

TEST_F(Placed, WhoIsGoneWithoutALabelComesBackAsWhatItWas) {
    list(RosterMode::full, all);
    list(RosterMode::incremental, {at("s", 3, WorkerStatus::off)});
    list(RosterMode::incremental, {at("s", 0)});
    EXPECT_EQ(core.placement().counters().labelChanged, 0u);
    EXPECT_EQ(places(kMaritsa, kMatch), (std::set<std::string>{"s"}));
}

// A Gearman worker, or a server whose entry names no zone, is assumed to be in the local zone for cross-zone
// costs, but not for placement.
TEST_F(Placed, WhoseZoneIsOnlyTakenToBeNearIsNowhere) {
    RosterServer near = at("r", 0);
    near.zoneKnown = false;
    list(RosterMode::full, {near});
    EXPECT_EQ(ask(kMaritsa, kMatch)->last, "unavailable");
    EXPECT_EQ(places(kTrakia, kAssign), (std::set<std::string>{"r"}));
    EXPECT_EQ(places(kTrakia, kMatch), (std::set<std::string>{}));  // it may be in a forbidden jurisdiction
}

// A successor process knows the original label of each server.
TEST_F(Placed, StandingsOutliveTheProcess) {
    list(RosterMode::full, {at("s", 0), at("p", 1)});
    list(RosterMode::incremental, {at("s", 1)});
    Core next{site(), 6, deadlines, read(kDocument).placement, now};
    next.placement().restorePlacements(core.placement().savedPlacements());
    int told = 0;
    next.setPlacementsChanged([&told](Time) { ++told; });
    next.updateRoster(now, fleet, fleet, RosterMode::full, {at("s", 0), at("p", 0), at("x", 2)});
    EXPECT_EQ(next.placement().updateServer(now, next.handleOf("s"), "s", 0, Time(0)).reason,
              PlacementReason::labelChanged);
    EXPECT_EQ(next.placement().updateServer(now, next.handleOf("p"), "p", 0, Time(0)).reason,
              PlacementReason::labelChanged);
    EXPECT_EQ(next.placement().updateServer(now, next.handleOf("x"), "x", 2, Time(0)).reason,
              PlacementReason::known);
    EXPECT_EQ(told, 1);
    next.updateRoster(now, fleet, fleet, RosterMode::full, {at("s", 0), at("p", 0), at("x", 2)});
    EXPECT_EQ(told, 1);  // nothing new
    EXPECT_THROW(next.placement().restorePlacements("s\tzero\n"), settings::BadField);
}

// Random rosters, labels, drains and jobs, checked against the test's own record of labels.
TEST_F(Placed, NoBoundJobGoesOutsideInRandomRuns) {
    boost::random::mt19937_64 random(7);
    const auto draw = [&random](int most) {
        return static_cast<int>(boost::random::uniform_real_distribution<double>(0, most)(random));
    };
    std::map<std::string, std::pair<int, Time>> label;  // the first label since the server's last start
    std::set<std::string> moved;
    int bound = 0;
    for (int step = 0; step < 20'000; ++step) {
        now += 5ms, deadlines.sweep(now);
        if (draw(20) == 0) {
            const std::string name =
                std::vector<std::string>{"s", "p", "r", "x", "s2"}[static_cast<std::size_t>(draw(5))];
            const Time since = draw(3) == 0 ? now : label.count(name) ? label[name].second : Time(0);
            const int zone = draw(4);
            const auto known = label.find(name);
            if (known == label.end() || since > known->second.second)
                label[name] = {zone, since}, moved.erase(name);
            else if (known->second.first != zone)
                moved.insert(name);
            list(RosterMode::incremental,
                 {at(name, zone, draw(5) ? WorkerStatus::on : WorkerStatus::draining, since)});
        }
        const std::size_t before = fleet.started.size();
        const int tenant = draw(2);
        const auto klass = static_cast<std::uint32_t>(draw(2));
        ask(tenant, klass);
        for (std::size_t pass = before; pass < fleet.started.size(); ++pass) {
            const std::string name = nameOf(fleet.started[pass].server);
            const bool home = moved.count(name) == 0 && label[name].first == 0;
            if (tenant == kMaritsa && klass == kMatch) {
                EXPECT_TRUE(home) << name << " at step " << step;
                ++bound;
            }
            core.passEnded(now, id, fleet.started[pass].number, draw(3) ? End::served : End::handedBack, "r");
        }
    }
    EXPECT_GT(bound, 500);
}

}  // namespace
}  // namespace amberswitch::placement
