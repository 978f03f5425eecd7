// Plays a deployment of real processes under kills, pauses, cuts, signals, changes of the configuration and
// faulty servers that overlap, and checks what each message went through. AMBERSWITCH_SOAK_SEEDS=FIRST-LAST
// plays other seeds than that of CI, AMBERSWITCH_SOAK_SCALE=N with N times as many stores and edges.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <charconv>
#include <cstdlib>

#include "tests/soak/soak_world.hpp"

namespace amberswitch::cluster::testing {
namespace {

constexpr Millis kMessageInterval{12};
constexpr Millis kWarmUp{2000};
constexpr Millis kTroubled{9000};  // faults begin in this time
constexpr Millis kCalm{17'000};    // messages go on, with servers that answer twice and planned restarts
constexpr Millis kContact{5000};   // after the last fault of a machine, a repeat is none of its doing
constexpr Millis kLongestEnd{40'000};
constexpr Millis kCallbackLimit{20'000};
constexpr Millis kShortestFault{200};
constexpr Millis kBetweenRestarts{3000};
constexpr int kFaults = 12;
constexpr Millis kConfigurationApplies{3000};
constexpr Millis kBetweenChangesInTrouble{300};
constexpr Millis kBetweenChangesInCalm{6000};
constexpr Millis kFirstChangeInCalm{2000};
constexpr Millis kLossSlack{500};  // between the last byte of a request and the close that leaves it unread
constexpr std::size_t kLogShown = 2000;

class TemporaryFolder {
public:
    TemporaryFolder() {
        char name[] = "/tmp/amberswitch_soak_XXXXXX";
        REQUIRE(mkdtemp(name) != nullptr);
        path = name;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    std::string path;
};

// One machine's fault, from `begins` to `ends`. Faults overlap as they are drawn.
struct Fault {
    enum class Kind { kill, pause, cut, cut_one_way, terminate, hang_up, kill_many };
    Kind kind = Kind::kill;
    NodeProcess* node = nullptr;
    SteadyTime begins;
    SteadyTime ends;
    bool begun = false;
    bool over = false;
};

class Soak {
public:
    Soak(std::uint64_t seed, const std::string& folder, int scale)
        : world_(seed, folder, scale), scale_(scale) {}

    void play() {
        REQUIRE(world_.configure());
        REQUIRE(world_.ready());
        const SteadyTime start = world_.loop.now();
        drawFaults(start + kWarmUp);
        calm_from_ = start + kWarmUp + kTroubled;
        const SteadyTime end = calm_from_ + kCalm;
        world_.faults = {.second_answer_late = 0.1,
                         .second_answer = 0.05,
                         .answer_lost = 0.05,
                         .silent = 0.02,
                         .fails = 0.05,
                         .full = 0.05};
        SteadyTime next_message = start;
        next_change_ = start + kWarmUp;
        while (world_.loop.now() < end) {
            const SteadyTime now = world_.loop.now();
            if (now >= calm_from_) world_.faults = {.second_answer_late = 0.1, .fails = 0.05, .full = 0.05};
            for (; next_message <= now; next_message += kMessageInterval) world_.sendMessage();
            applyFaults(now);
            restartAsPlanned(now);
            changeConfiguration(now);
            world_.collect();
            for (const auto& client : world_.kept) client->step();
            runUntil(
                world_.loop, [] { return false; }, Millis(5));
        }
        runUntil(
            world_.loop, [this] { return world_.collect(), false; }, Millis(1500));
    }

    void check() {
        const bool all_ended = runUntil(
            world_.loop, [this] { return world_.askForEnds(); }, kLongestEnd);
        CHECK_MESSAGE(all_ended, unfinishedText());
        runUntil(
            world_.loop, [this] { return allCalledBack(); }, kCallbackLimit);
        std::size_t accepted = 0;
        for (const SentMessage& message : world_.messages) {
            if (!message.accepted) continue;
            ++accepted;
            checkEnd(message);
            checkRepeats(message);
        }
        checkOrder();
        checkServices();
        checkKeptConnections();
        checkProcesses();
        MESSAGE(accepted << " of " << world_.messages.size() << " messages accepted, " << repeats_
                         << " successes run again under faults");
        CHECK(accepted > world_.messages.size() / 3);
    }

private:
    SteadyTime draw(SteadyTime from, Millis within) {
        return from + Millis(std::uniform_int_distribution<std::int64_t>(0, within.count())(world_.random()));
    }

    void drawFaults(SteadyTime from) {
        constexpr Millis kLongestFault{1800};
        for (int i = 0; i < kFaults * scale_; ++i) {
            Fault& fault = faults_.emplace_back();
            fault.kind = static_cast<Fault::Kind>(world_.random()() % 7);
            fault.node = &world_.any("");
            fault.begins = draw(from, kTroubled - kLongestFault - kShortestFault);
            fault.ends = draw(fault.begins + kShortestFault, kLongestFault);
        }
    }

    void applyFaults(SteadyTime now) {
        bool changed = false;
        for (Fault& fault : faults_) {
            if (!fault.begun && now >= fault.begins) {
                fault.begun = changed = true;
                if (fault.kind == Fault::Kind::kill) fault.node->kill();
                if (fault.kind == Fault::Kind::pause) fault.node->pause();
                if (fault.kind == Fault::Kind::terminate) fault.node->terminate();
                if (fault.kind == Fault::Kind::hang_up) fault.node->hangUp();
                if (fault.kind == Fault::Kind::kill_many) killMany();
            }
            if (fault.begun && !fault.over && now >= fault.ends) {
                fault.over = changed = true;
                fault.node->start();
                fault.node->resume();
                if (fault.kind == Fault::Kind::kill_many) startAll();
            }
        }
        if (changed) applyCuts();
    }

    // Two processes of three, whatever their roles.
    void killMany() {
        for (const auto& node : world_.nodes) {
            if (world_.random()() % 3 != 0) node->kill();
        }
    }
    void startAll() {
        for (const auto& node : world_.nodes) node->start();
    }

    // In series, the next one once the last is acknowledged; in the calm with time to take effect.
    void changeConfiguration(SteadyTime now) {
        world_.changes.step();
        world_.changes.retryIfDue();
        if (!world_.changes.idle() || now < next_change_) return;
        const bool calm_comes = now + kBetweenChangesInTrouble >= calm_from_;
        world_.changes.change();
        next_change_ = now + (calm_comes ? kBetweenChangesInCalm : kBetweenChangesInTrouble);
        if (calm_comes && now < calm_from_) next_change_ = calm_from_ + kFirstChangeInCalm;
    }

    void applyCuts() {
        std::map<const NodeProcess*, std::set<std::string>> cut;
        for (const Fault& fault : faults_) {
            if (!fault.begun || fault.over) continue;
            const bool both_ways = fault.kind == Fault::Kind::cut;
            if (!both_ways && fault.kind != Fault::Kind::cut_one_way) continue;
            for (const auto& other : world_.nodes) {
                if (other.get() == fault.node) continue;
                cut[fault.node].insert(other->ip());
                if (both_ways) cut[other.get()].insert(fault.node->ip());
            }
        }
        for (const auto& node : world_.nodes) node->cutFrom(cut[node.get()]);
    }

    // From the time on in which nothing may run again: an edge, a store and a core machine, one after the
    // other. A planned end is no excuse for a repeat.
    void restartAsPlanned(SteadyTime now) {
        for (const auto& node : world_.nodes) node->restartIfEnded();
        constexpr std::array<const char*, 3> kRoles = {"edge", "store", "core"};
        const bool is_time = now >= calm_from_ + kContact + kBetweenRestarts * restarts_;
        if (!is_time || restarts_ >= static_cast<int>(kRoles.size())) return;
        const std::string role = kRoles.at(static_cast<std::size_t>(restarts_));
        ++restarts_;
        world_.any(role).terminate();
    }

    bool allCalledBack() {
        return std::all_of(
            world_.messages.begin(), world_.messages.end(), [this](const SentMessage& message) {
                const bool owed =
                    message.accepted && message.order_key.empty() && message.phase == "completed";
                return !owed || world_.callbacks.contains(message.id);
            });
    }

    // The accepted messages whose end no dispatcher has told, with their keys and the number of their runs.
    std::string unfinishedText() {
        std::string text;
        for (const SentMessage& message : world_.messages) {
            if (!message.accepted || message.phase == "completed" || message.phase == "dead_letter") continue;
            text += message.id + " key '" + message.order_key + "' at " + message.reference + " is '" +
                    message.phase + "', " + std::to_string(world_.runs[message.id].size()) + " runs\n";
        }
        return text;
    }

    // A success that a dispatcher tells of was one, and so was each that a call-back names.
    void checkEnd(const SentMessage& message) {
        INFO("message " << message.id << " is '" << message.phase << "'");
        const std::vector<Run>& runs = world_.runs[message.id];
        const auto isSuccess = [&runs](const std::string& stamp) {
            return std::any_of(runs.begin(), runs.end(),
                               [&stamp](const Run& run) { return run.succeeded && run.stamp == stamp; });
        };
        if (message.phase == "completed") {
            CHECK(isSuccess(message.stamp));
            if (message.order_key.empty()) CHECK(world_.callbacks.contains(message.id));
        }
        if (message.phase == "dead_letter")
            CHECK(std::count_if(runs.begin(), runs.end(), [](const Run& run) { return run.failed; }) >= 4);
        for (const std::string& stamp : world_.callbacks[message.id])
            CHECK((stamp.empty() || isSuccess(stamp)));
    }

    // In the calm, nothing runs again after a success that was answered.
    void checkRepeats(const SentMessage& message) {
        const std::vector<Run>& runs = world_.runs[message.id];
        for (const Run& earlier : runs) {
            if (!earlier.succeeded || !earlier.answered) continue;
            for (const Run& later : runs) {
                if (later.begun <= earlier.ended) continue;
                ++repeats_;
                INFO("message " << message.id << ": a run began "
                                << std::chrono::duration_cast<Millis>(later.begun - earlier.ended).count()
                                << " ms after a success");
                CHECK(later.begun < calm_from_ + kContact);
            }
        }
    }

    static bool hasEnded(const std::vector<Run>& runs, SteadyTime by) {
        int failures = 0;
        for (const Run& run : runs) {
            if (!run.is_over || run.ended > by) continue;
            if (run.succeeded) return true;
            failures += run.failed ? 1 : 0;
        }
        return failures >= 4;
    }

    // No run of an ordered message begins before those accepted before it was sent have ended.
    void checkOrder() {
        std::map<std::string, std::vector<const SentMessage*>> by_key;
        for (const SentMessage& message : world_.messages) {
            if (!message.order_key.empty()) by_key[message.order_key].push_back(&message);
        }
        for (const auto& [key, line] : by_key) {
            for (const SentMessage* later : line) {
                for (const SentMessage* earlier : line) {
                    if (!earlier->accepted || *earlier->accepted >= later->sent) continue;
                    for (const Run& run : world_.runs[later->id]) {
                        INFO(later->id << " ran before " << earlier->id << " had ended, key " << key);
                        CHECK(hasEnded(world_.runs[earlier->id], run.begun));
                    }
                }
            }
        }
    }

    // In the calm, no plain message runs at a service to which its route leads no more.
    void checkServices() {
        for (const SentMessage& message : world_.messages) {
            if (!message.order_key.empty()) continue;
            for (const Run& run : world_.runs[message.id]) {
                if (run.begun < calm_from_ + kContact) continue;
                INFO("message " << message.id << " ran at " << run.service);
                CHECK(world_.changes.allows(run.service, run.begun, kConfigurationApplies));
            }
        }
    }

    // In the calm, a dispatcher that ends by a signal leaves no request without an answer that it had read.
    void checkKeptConnections() {
        for (const auto& client : world_.kept) {
            CHECK(client->answered > 0);
            for (const CutMessage& message : client->cut) {
                if (message.sent < calm_from_ + kContact) continue;
                INFO("message " << message.id << " was cut");
                CHECK(message.closed - message.sent <= kLossSlack);
                CHECK(world_.runs[message.id].empty());
            }
        }
    }

    void checkProcesses() {
        for (const auto& node : world_.nodes) {
            const std::string log = node->log();
            INFO(node->name() << ": ..." << log.substr(log.size() - std::min(log.size(), kLogShown)));
            CHECK(node->ownEnd() == "");
            CHECK(log.find("does not hold:") == std::string::npos);  // an invariant
            CHECK(log.find("ends: ") == std::string::npos);
        }
    }

    SoakWorld world_;
    std::vector<Fault> faults_;
    int scale_;
    SteadyTime next_change_{};
    SteadyTime calm_from_{};
    std::size_t repeats_ = 0;
    int restarts_ = 0;  // planned ones
};

int scaleToPlay() {
    const char* const text = std::getenv("AMBERSWITCH_SOAK_SCALE");
    return text == nullptr ? 1 : std::max(1, std::atoi(text));
}

struct SeedRange {
    std::uint64_t first = 1;
    std::uint64_t last = 1;
};

SeedRange seedsToPlay() {
    SeedRange seeds;
    const char* const text = std::getenv("AMBERSWITCH_SOAK_SEEDS");
    if (text == nullptr) return seeds;
    const std::string range = text;
    const std::size_t dash = std::min(range.find('-'), range.size());
    std::from_chars(range.data(), range.data() + dash, seeds.first);
    seeds.last = seeds.first;
    if (dash < range.size())
        std::from_chars(range.data() + dash + 1, range.data() + range.size(), seeds.last);
    return seeds;
}

}  // namespace

TEST_CASE("real processes keep every message, order and success under overlapping faults") {
    const SeedRange seeds = seedsToPlay();
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        INFO("seed " << seed);
        const TemporaryFolder folder;
        Soak soak(seed, folder.path, scaleToPlay());
        soak.play();
        soak.check();
    }
}

}  // namespace amberswitch::cluster::testing
