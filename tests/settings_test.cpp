// Another customer's settings: drawn ones, with bounds at either end and optional fields left out, start and
// keep the rules; wrong ones end the start with one line.
#include <map>
#include <set>

#include "config/config.hpp"
#include "peers.hpp"

namespace amberswitch::program {
namespace {

using namespace heronmount;
using std::chrono::milliseconds;
using std::chrono::seconds;

class Draw {
public:
    explicit Draw(std::uint64_t seed) : state_(seed * 0x9E3779B97F4A7C15ULL + 1) {}
    std::uint64_t below(std::uint64_t sides) {
        state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
        return (state_ >> 33) % sides;
    }
    bool flip() { return below(2) == 0; }
    template <class T>
    T of(std::initializer_list<T> some) {
        return some.begin()[below(some.size())];
    }

private:
    std::uint64_t state_;
};

std::string yes(Draw& draw) {
    return draw.flip() ? "true" : "false";
}

std::string drawn(Draw& draw) {
    const std::uint64_t count = 1 + draw.below(8);
    std::string classes, stretch, kinds;
    const std::string effects[] = {"read_like", "idempotency_key", "non_idempotent"};
    for (std::uint64_t i = 0; i < count; ++i) {
        const long giveUp = draw.of({20L, 480L, 5000L, 20000L, 86'400'000L});
        std::string one = R"({"name":"k)" + std::to_string(i) + R"(","effect":")" +
                          effects[(i + draw.below(3)) % 3] + R"(","giveUp":)" + std::to_string(giveUp) +
                          R"(000000,"goalTime":)" +
                          std::to_string(1'000'000 * draw.of({0L, 1L, 400L, giveUp}));
        if (draw.flip()) one += R"(,"window":)" + std::to_string(1'000'000 * draw.of({0L, 1L, 300L, 7500L}));
        if (draw.flip()) one += R"(,"group":")" + draw.of<std::string>({"all", "zone", "cell"}) + '"';
        if (draw.flip()) one += R"(,"credit":)" + draw.of<std::string>({"0", "1", "0.001", "1000"});
        if (draw.flip()) one += R"(,"lateWorth":)" + draw.of<std::string>({"0", "1", "0.3"});
        classes += (i ? "," : "") + one + '}';
        stretch += (i ? "," : "") + draw.of<std::string>({"0", "1.75", "100"});
        kinds += (i ? "," : "") + draw.of<std::string>({"-1", "-1", "0"});
    }
    const std::uint64_t fleet = draw.of<std::uint64_t>({1, 3, 300, 1'000'000});
    std::string out = R"({"classes":[)" + classes + R"(],"discovery":")" +
                      draw.of<std::string>({"ask", "push"}) + R"(","fleetSize":)" + std::to_string(fleet) +
                      R"(,"me":)" + std::to_string(fleet - 1);
    out += R"(,"allowed":{"maxAttempts":)" + draw.of<std::string>({"1", "3", "8", "100"});
    if (draw.flip()) out += R"(,"cancelling":)" + yes(draw) + R"(,"mayDuplicate":)" + yes(draw);
    if (draw.flip())
        out +=
            R"(,"probing":)" + yes(draw) + R"(,"retryAfter":)" + yes(draw) + R"(,"maxRetryAfter":2000000000)";
    if (draw.flip()) out += R"(,"idleClose":)" + draw.of<std::string>({"1000000", "30000000000"});
    out += R"(},"familyInfo":{)";
    out += draw.flip() ? R"("tellsStart":)" + yes(draw)
                       : R"("progress":)" + draw.of<std::string>({"0", "1000000000"});
    if (draw.flip()) out += R"(,"classStretch":[)" + stretch + "]";
    if (draw.flip()) out += R"(,"classKind":[)" + kinds + "]";
    out += R"(},"rules":{)";
    if (draw.flip())
        out += R"("askWithin":)" + draw.of<std::string>({"0", "1000000", "60000000000"}) +
               R"(,"cold":24000000000,"coldFrom":0.12,"fallMultiple":3.0,"overloadFor":)" +
               draw.of<std::string>({"0", "1000000000"}) + ",";
    out += R"("stopSendingWithin":)" + draw.of<std::string>({"0", "1000000", "2500000000"}) + "}";
    if (draw.flip())
        out += R"(,"customers":[{"name":"t","portion":0,"quotaPerS":)" +
               draw.of<std::string>({"0", "0.01", "5000"}) + "}]";
    if (draw.flip()) out += R"(,"zones":["z0","z1"],"zone":1)";
    if (draw.flip()) out += R"(,"machineTypes":["m0"])";
    if (draw.flip()) out += R"(,"tick":)" + draw.of<std::string>({"0", "4000000"});
    if (draw.flip())
        out += R"(,"weights":")" + draw.of<std::string>({"silent", "nominal", "rough", "live"}) + '"';
    if (draw.flip())
        out += R"(,"goal":{"whole":0.6,"worstClass":0.4},"worthBy":")" +
               draw.of<std::string>({"request", "work"}) + '"';
    return out + "}";
}

config::Platform read(const std::string& settings) {
    const std::string path = testing::TempDir() + "drawn-" + std::to_string(::getpid()) + ".json";
    std::ofstream(path) << config(settings);
    config::Reader reader(path);
    return reader.read();
}

// The module alone against drawn ends, with books of the test's own.
void keepsTheRules(const Settings& s, Draw& draw) {
    struct Job {
        std::uint32_t klass = 0;
        Time deadline{0}, anchored{0};
        std::uint32_t sends = 0;
        std::set<std::uint32_t> out;
        bool mayHaveRun = false;
        int finals = 0;
    };
    Dispatcher dispatcher(s, draw.below(1000));
    Time now = seconds(1'700'000'000);
    std::map<RequestId, Job> jobs;
    std::multimap<Time, std::uint64_t> timers;
    std::vector<Event> inbox;
    const auto tell = [&](const Event& first) {
        inbox.push_back(first);
        while (!inbox.empty()) {
            const Event event = inbox.front();
            inbox.erase(inbox.begin());
            std::vector<Action> actions;
            dispatcher.on(now, event, actions);
            for (const Action& action : actions) {
                if (const auto* send = std::get_if<Send>(&action)) {
                    Job& job = jobs.at(send->id);
                    const auto& klass = s.classes[job.klass];
                    const bool tainted = job.mayHaveRun || !job.out.empty();
                    EXPECT_EQ(job.finals, 0);
                    EXPECT_LT(job.sends, s.maxAttempts);
                    EXPECT_TRUE(job.out.empty() || s.mayDuplicate);
                    if (tainted) {
                        EXPECT_NE(klass.idempotency, Idempotency::unsafe);
                    }
                    if (tainted && klass.idempotency == Idempotency::keyed) {
                        EXPECT_LE(now, job.anchored + klass.dedupWindow);
                    }
                    if (!tainted) job.anchored = now;
                    job.out.insert(job.sends++);
                } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
                    timers.emplace(now + timer->delay, timer->tag);
                } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
                    EXPECT_TRUE(s.mayCancel);
                    Job& job = jobs.at(cancel->id);
                    if (job.out.erase(cancel->attempt))
                        job.mayHaveRun = true,
                        inbox.push_back(AttemptEnded{
                            cancel->id, cancel->attempt, Outcome::cancelled, Nanos(0), job.finals > 0, {}});
                } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
                    EXPECT_EQ(++jobs.at(refuse->id).finals, 1);
                } else if (const auto* fail = std::get_if<Fail>(&action)) {
                    EXPECT_EQ(++jobs.at(fail->id).finals, 1);
                }
            }
        }
    };
    RosterUpdate list;
    list.mode = RosterMode::full;
    for (Worker w = 0; w < 4; ++w) {
        list.entries.emplace_back();
        auto& entry = list.entries.back();
        entry.worker = w, entry.id = w + 1, entry.zone = static_cast<int>(w % 2),
        entry.cell = static_cast<int>(w / 2);
    }
    tell(list);
    RequestId last = 0;
    for (int step = 0; step < 400; ++step) {
        now += milliseconds(draw.below(60));
        while (!timers.empty() && timers.begin()->first <= now) {
            const std::uint64_t tag = timers.begin()->second;
            timers.erase(timers.begin());
            tell(TimerFired{tag});
        }
        if (draw.below(3) == 0) {
            RequestArrived request;
            request.id = ++last, request.klass = static_cast<std::uint32_t>(draw.below(s.classes.size()));
            request.timeLeft = s.classes[request.klass].clientTimeout;
            request.slots = draw.of({0.0, 1.0, 4.0, 1e6});
            jobs[last].klass = request.klass, jobs[last].deadline = now + request.timeLeft;
            tell(request);
        }
        for (auto& [id, job] : jobs) {
            if (job.out.empty() || draw.below(4)) continue;
            const std::uint32_t attempt = *job.out.begin();
            job.out.erase(attempt);
            const auto how =
                draw.of({Outcome::ok, Outcome::ok, Outcome::error, Outcome::full, Outcome::reset,
                         Outcome::connectFailed, Outcome::notExecuted, Outcome::staleConnection});
            job.mayHaveRun |=
                how != Outcome::full && how != Outcome::connectFailed && how != Outcome::notExecuted;
            if (how == Outcome::ok) job.finals += job.finals == 0;
            tell(AttemptEnded{id, attempt, how, milliseconds(5), job.finals > 0, {}});
        }
    }
    for (const auto& [id, job] : jobs)
        if (job.out.empty() && now > job.deadline + seconds(1)) {
            EXPECT_EQ(job.finals, 1) << "job " << id;
        }
}

TEST(Drawn, SettingsAreReadAndTheRulesHoldUnderThem) {
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        Draw draw(seed);
        const std::string text = drawn(draw);
        SCOPED_TRACE("seed " + std::to_string(seed) + ": " + text);
        const config::Platform platform = read(text);
        EXPECT_EQ(platform.site.classes.size(), platform.site.module.classes.size());
        keepsTheRules(platform.site.module, draw);
        if (testing::Test::HasFailure()) break;
    }
}

TEST(Drawn, TheProgramStartsServesAndEndsUnderThem) {
    for (std::uint64_t seed = 1001; seed <= 1008; ++seed) {
        Draw draw(seed);
        const std::string text = drawn(draw);
        SCOPED_TRACE("seed " + std::to_string(seed) + ": " + text);
        Listening server;
        Program program(knowing(entry("a", server.address()), config(text)));
        EXPECT_EQ(Counters(program.portOf("listening on"))["transactions.taken"], 0);
        ::kill(program.child, SIGTERM);
        EXPECT_NE(program.rest().find("transactions.open 0\n"), std::string::npos);
        EXPECT_EQ(program.exitStatus(), 0);
    }
}

TEST(Drawn, AWrongFieldEndsTheStartWithFileFieldAndReason) {
    const std::pair<const char*, const char*> wrong[] = {
        {R"("giveUp":8000000000|"giveUp":-1)", "field 'giveUp' is not from 0"},
        {R"("giveUp":8000000000|"giveUp":0)", "invalid setting: classes.giveUp"},
        {R"("giveUp":8000000000|"giveUp":9000000000000000000)", "field 'giveUp' is not from 0"},
        {R"("giveUp":8000000000|"giveUp":"8s")", "field 'giveUp' is not a whole number"},
        {R"("effect":"read_like"|"effect":"harmless")", "field 'effect' has the unknown value 'harmless'"},
        {R"("maxAttempts":3|"maxAttempts":0)", "field 'maxAttempts' is not from 1 to 1000"},
        {R"("maxAttempts":3|"maxAttempts":-3)", "field 'maxAttempts' is not from 1 to 1000"},
        {R"("connectTimeout":250000000|"connectTimeout":0)", "field 'connectTimeout' is 0"},
        {R"("classKind":[-1]|"classKind":[7])", "field 'classKind' names no machine type"},
        {R"("stopSendingWithin":2500000000|"stopSendingWithin":-5)",
         "field 'stopSendingWithin' is not from 0"},
        {R"("coldFrom":0.12|"coldFrom":0)", "invalid setting: coldFrom"},
        {R"("fallMultiple":3.0|"fallMultiple":true)", "field 'fallMultiple' is not a number"},
        {R"("weights":"nominal"|"weights":"heavy")", "field 'weights' has the unknown value 'heavy'"},
    };
    for (const auto& [change, expected] : wrong) {
        const std::string both = change;
        const std::size_t at = both.find('|');
        Program program(config(replaced(kSettings, both.substr(0, at), both.substr(at + 1))));
        const std::string said = program.line();
        EXPECT_EQ(said.rfind("amberswitch: " + program.path + ": " + expected, 0), 0u) << said;
        EXPECT_EQ(program.line(), "");
        EXPECT_EQ(program.exitStatus(), 2);
    }
    Program sockets(replaced(config(kSettings), R"("sockets":1024)", R"("sockets":-1)"));
    EXPECT_NE(sockets.line().find(sockets.path + ": field 'limits.sockets' is out of range"),
              std::string::npos);
    EXPECT_EQ(sockets.exitStatus(), 2);
}

}  // namespace
}  // namespace amberswitch::program
