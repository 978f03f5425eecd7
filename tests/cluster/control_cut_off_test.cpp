// A core machine is cut off around a configuration change. What it and the others serve, confirm and refuse
// is checked against the history of acknowledgements. AMBERSWITCH_CUT_PLAYS sets the number of runs, and
// AMBERSWITCH_CUT_FIRST the first of them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdlib>

#include "cluster/control/register_messages.hpp"
#include "tests/cluster/control_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr std::uint64_t kDefaultRuns = 205;
constexpr std::uint64_t kLastCutMs = 40;   // after the change
constexpr Millis kDeliveryDeadline{1000};  // until all connected members have an acknowledged configuration
constexpr Millis kCutLength{5000};
constexpr Millis kLongCut{20000};
constexpr Millis kSlice{20};
constexpr Millis kProbeInterval{80};
constexpr Millis kAnswerTimeout{1600};  // for calls of the operator

enum class Cut : std::uint8_t { from_core, from_all, outgoing, incoming, killed };

struct Failures {
    std::uint64_t late_members = 0;    // connected members without an acknowledged configuration after 1 s
    std::uint64_t stale_answers = 0;   // served values older than what was acknowledged before the poll
    std::uint64_t missed_updates = 0;  // polls answered with "nothing newer" although there was
    std::uint64_t wrong_answers = 0;   // answers to the operator without a majority behind them
    std::uint64_t slow_answers = 0;    // calls of the operator without an answer in time
    std::uint64_t regressions = 0;     // members that went back to an older value
    std::string what;                  // descriptions of the wrong answers
    std::uint64_t all() const {
        return late_members + stale_answers + missed_updates + wrong_answers + slow_answers + regressions;
    }
    void add(const Failures& other) {
        late_members += other.late_members, stale_answers += other.stale_answers,
            missed_updates += other.missed_updates;
        wrong_answers += other.wrong_answers, slow_answers += other.slow_answers,
            regressions += other.regressions;
    }
};

struct Acknowledgment {
    std::int64_t generation = 0;
    SteadyTime at;
    bool checked = false;
};

// The answer to one call of the operator.
struct OperatorCall {
    int status = 0;  // 0: no answer yet
    std::string body;
    SteadyTime sent;
};
using OperatorCallHandle = std::shared_ptr<OperatorCall>;

class CutOffSimulation {
public:
    explicit CutOffSimulation(std::uint64_t number)
        : random_(number * 7919 + 1),
          cut_after_(static_cast<std::int64_t>(number % (kLastCutMs + 1))),
          kind_(static_cast<Cut>(draw(5))),
          cut_length_(number % 16 == 0 ? kLongCut : kCutLength),
          world_(number + 1, draw(2) == 0 ? 3 : 5),
          roaming_probe_(world_.world, world_.network, {"10.3.0.1", kFirstPort + 1}),
          attached_probe_(world_.world, world_.network, {"10.3.0.2", kFirstPort + 1}) {}

    Failures run() {
        begin();
        requestChange(*accepting_, 1, 2);
        advance(cut_after_);
        cut();
        const SteadyTime cut_at = world_.world.now();
        advance(Millis(1500));
        callCutMachine();
        requestChangeElsewhere();
        advance(cut_length_ - (world_.world.now() - cut_at));
        heal();
        const auto stale = requestChange(*cut_machine_, 1, 30);
        const auto fresh = read(*cut_machine_);
        const std::int64_t newest = newestAcknowledged();
        advance(kAnswerTimeout);
        if (stale->status == 200) recordWrongAnswer("a change on an old base is accepted");
        if (fresh->status == 200 && generationOf(fresh->body) < newest)
            recordWrongAnswer("an old read after the cut");
        expectAnswer(*stale);
        expectAnswer(*fresh);
        checkNoRegression();
        return failures_;
    }

private:
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }

    void begin() {
        for (int index = 1; index <= 4; ++index) addMember("edge-" + std::to_string(index), NodeKind::edge);
        for (int index = 1; index <= 3; ++index)
            addMember("storage-" + std::to_string(index), NodeKind::store);
        world_.startAll();
        world_.world.run(Millis(2500));
        const auto all_vote = [this] {
            return std::all_of(world_.core.begin(), world_.core.end(),
                               [](const auto& machine) { return machine->votes(); });
        };
        if (!world_.world.runUntil(all_vote, Millis(10000))) recordWrongAnswer("not all machines vote");
        world_.replace(*world_.core[0], 0, configurationJson(1));
        acknowledged_.push_back({1, world_.world.now()});
        world_.world.run(Millis(1000 + static_cast<std::int64_t>(draw(400))));
        accepting_ = anyMachine();
        if (draw(3) == 0 && world_.leader() != nullptr) accepting_ = world_.leader();
        cut_machine_ = draw(4) == 0 ? anyMachine() : accepting_;
        cut_machines_ = {cut_machine_};
        // Five machines tolerate cutting off two that can still reach each other.
        if (world_.core.size() == 5 && draw(2) == 0) cut_machines_.insert(anyMachine());
        // While the machine is cut off, these clients can reach only it.
        attached_ = {"edge-4", "storage-3"};
        probe();
    }
    void addMember(const std::string& name, NodeKind kind) {
        ips_[name] = "10.2.0." + std::to_string(ips_.size() + 1);
        world_.addClient(name, kind, ips_[name]);
    }

    CoreMachine* anyMachine() { return world_.core[draw(world_.core.size())].get(); }

    void cut() {
        if (kind_ == Cut::killed) cut_machine_->kill();
        for (const CoreMachine* lost : cut_machines_) cutOff(lost->ip());
        for (const std::string& name : attached_) attachToCutOff(ips_[name]);
        attachToCutOff("10.3.0.2");
    }
    void cutOff(const std::string& lost) {
        if (kind_ == Cut::from_all) return world_.network.isolate(lost);
        for (const auto& machine : world_.core) {
            if (!cut_machines_.contains(machine.get())) cutFrom(lost, machine->ip());
        }
        for (const auto& [name, ip] : ips_) {
            if (!attached_.contains(name) && kind_ != Cut::from_core) cutFrom(lost, ip);
        }
    }
    void cutFrom(const std::string& lost, const std::string& other) {
        if (kind_ != Cut::incoming) world_.network.cut(lost, other);
        if (kind_ != Cut::outgoing) world_.network.cut(other, lost);
    }
    void attachToCutOff(const std::string& ip) {
        if (kind_ == Cut::from_all) return world_.network.isolate(ip);
        for (const auto& machine : world_.core) {
            if (!cut_machines_.contains(machine.get())) world_.network.cutBoth(ip, machine->ip());
        }
    }
    void heal() {
        world_.network.healAll();
        if (!cut_machine_->runs()) cut_machine_->start();
        attached_.clear();
        healed_ = world_.world.now();
        for (Acknowledgment& each : acknowledged_) each.checked = false;
    }

    OperatorCallHandle call(CoreMachine& machine, const HttpRequest& request,
                            const std::function<void(const OperatorCall&)>& done) {
        const auto made = std::make_shared<OperatorCall>();
        made->sent = world_.world.now();
        machine.node().handleHttp(request, [this, made, done](const HttpResponse& response) {
            made->status = response.status;
            made->body = response.body;
            if (world_.world.now() - made->sent > kAnswerTimeout) ++failures_.slow_answers;
            done(*made);
        });
        return made;
    }
    OperatorCallHandle requestChange(CoreMachine& machine, std::int64_t base, std::int64_t generation) {
        const auto request = ControlWorld::replaceRequest(base, configurationJson(generation));
        return call(machine, request, [this, generation](const OperatorCall& answer) {
            if (answer.status == 200) acknowledged_.push_back({generation, world_.world.now()});
        });
    }
    OperatorCallHandle read(CoreMachine& machine) {
        return call(machine, {"GET", "/Config.Read", {}, {}}, [](const OperatorCall&) {});
    }
    void callCutMachine() {
        if (!cut_machine_->runs()) return advance(kAnswerTimeout);
        const auto refused = requestChange(*cut_machine_, 2, 20);
        const auto unread = read(*cut_machine_);
        advance(kAnswerTimeout);
        expectUnknown(*refused);
        expectUnknown(*unread);
    }
    // Makes a change at a machine that still has a majority.
    void requestChangeElsewhere() {
        CoreMachine* other = nullptr;
        while (other == nullptr || cut_machines_.contains(other)) other = anyMachine();
        const auto found = read(*other);
        advanceUntilAnswered(*found);
        if (found->status != 200)
            return recordWrongAnswer("no read at a majority: " + std::to_string(found->status));
        const std::int64_t base = generationOf(found->body);
        if (base < newestAcknowledged()) recordWrongAnswer("an old read");
        const auto taken = requestChange(*other, base, base + 8);
        advanceUntilAnswered(*taken);
        if (taken->status != 200)
            recordWrongAnswer("no change at a majority: " + std::to_string(taken->status));
    }
    void recordWrongAnswer(const std::string& what) {
        ++failures_.wrong_answers;
        failures_.what += what + "; ";
    }
    void expectAnswer(const OperatorCall& answer) {
        if (answer.status == 0) ++failures_.slow_answers;
    }
    // Without a majority the outcome is unknown: neither accepted nor refused.
    void expectUnknown(const OperatorCall& answer) {
        expectAnswer(answer);
        if (answer.status != 0 && answer.status != 503)
            recordWrongAnswer("an answer without a majority: " + std::to_string(answer.status));
    }
    static std::int64_t generationOf(const std::string& body) { return parseConfiguration(body).generation; }

    std::int64_t newestAcknowledged() const {
        std::int64_t newest = 0;
        for (const Acknowledgment& each : acknowledged_) newest = std::max(newest, each.generation);
        return newest;
    }

    void advance(std::chrono::microseconds span) {
        const SteadyTime end = world_.world.now() + span;
        while (world_.world.now() < end) {
            const auto left = std::chrono::duration_cast<Millis>(end - world_.world.now());
            world_.world.run(std::min(kSlice, left));
            checkDelivered();
        }
    }
    void advanceUntilAnswered(const OperatorCall& answer) {
        while (answer.status == 0 && world_.world.now() - answer.sent < kAnswerTimeout) advance(kSlice);
    }
    void checkDelivered() {
        for (Acknowledgment& each : acknowledged_) {
            const bool due = world_.world.now() - std::max(each.at, healed_) >= kDeliveryDeadline;
            if (each.checked || !due) continue;
            each.checked = true;
            for (const auto& [name, client] : world_.clients) {
                if (attached_.contains(name)) continue;
                const auto configuration = client->client().configuration();
                if (!configuration || configuration->generation < each.generation) ++failures_.late_members;
            }
        }
    }
    void checkNoRegression() {
        for (const auto& [name, client] : world_.clients) {
            if (!std::is_sorted(client->generations.begin(), client->generations.end()))
                ++failures_.regressions;
            if (!std::is_sorted(client->epochs.begin(), client->epochs.end())) ++failures_.regressions;
        }
    }

    // Polls as new clients, and as clients that have the configuration acknowledged before the last one.
    void probe() {
        for (const auto& machine : world_.core) {
            const NodeAddress address = machine->settings().internalAddress(PortOffset::core);
            for (MemoryTransport* from : {&roaming_probe_, &attached_probe_}) {
                poll(*from, address, 0);
                poll(*from, address, newestAcknowledged() - 1);
            }
        }
        world_.world.at(world_.world.now() + kProbeInterval, [this] { probe(); });
    }
    void poll(MemoryTransport& from, const NodeAddress& to, std::int64_t known) {
        WatchRequest request;
        request.name = "probe";
        request.config_generation = known;
        request.servers = {1000000, 0};
        request.view_epoch = 1000000;
        request.max_wait_ms = 300;
        const std::int64_t newest = newestAcknowledged();
        from.call(to, envelope(MessageKind::watch, request), Millis(500), [this, newest](CallResult result) {
            const auto answer = decode<WatchReply>(result.reply.body);
            if (result.verdict != CallStatus::answered || !answer) return;
            if (!answer->config) return void(++failures_.missed_updates);
            if (answer->config->configuration.generation < newest) ++failures_.stale_answers;
        });
    }

    std::mt19937_64 random_;
    Millis cut_after_;
    Cut kind_;
    Millis cut_length_;
    ControlWorld world_;
    MemoryTransport roaming_probe_;
    MemoryTransport attached_probe_;
    std::map<std::string, std::string> ips_;
    std::set<std::string> attached_;
    CoreMachine* accepting_ = nullptr;
    CoreMachine* cut_machine_ = nullptr;
    std::set<CoreMachine*> cut_machines_;  // `cut_machine_`, and the one that is cut off together with it
    std::vector<Acknowledgment> acknowledged_;
    SteadyTime healed_{};
    Failures failures_;
};

std::uint64_t requestedRuns() {
    const char* asked = std::getenv("AMBERSWITCH_CUT_PLAYS");
    return asked == nullptr ? kDefaultRuns : std::stoull(asked);
}

}  // namespace

TEST_CASE("a core machine cut off around a change serves nothing outdated, and nothing wrong is confirmed") {
    Failures total;
    std::uint64_t failed = 0;
    std::uint64_t late_members = 0;
    const char* first = std::getenv("AMBERSWITCH_CUT_FIRST");
    const std::uint64_t begin = first == nullptr ? 0 : std::stoull(first);
    for (std::uint64_t number = begin; number < begin + requestedRuns(); ++number) {
        const Failures found = CutOffSimulation(number).run();
        total.add(found);
        if (found.all() == 0) continue;
        ++failed;
        if (found.late_members > 0) ++late_members;
        if (failed <= 10)
            MESSAGE("run " << number << ": late " << found.late_members << ", stale " << found.stale_answers
                           << ", missed " << found.missed_updates << ", wrong " << found.wrong_answers
                           << ", slow " << found.slow_answers << ", regressed " << found.regressions << "; "
                           << found.what);
    }
    MESSAGE(failed << " of " << requestedRuns() << " runs failed, " << late_members
                   << " of them with late members: late " << total.late_members << ", stale "
                   << total.stale_answers << ", missed " << total.missed_updates << ", wrong "
                   << total.wrong_answers << ", slow " << total.slow_answers << ", regressed "
                   << total.regressions);
    CHECK(failed == 0);
}

TEST_CASE("two machines that were removed as voters do not confirm each other with an old voter set") {
    ControlWorld sim(21, 5);
    for (std::size_t index = 0; index < 3; ++index) sim.core[index]->start();
    sim.world.run(Millis(3000));
    REQUIRE(sim.replace(*sim.core[1], 0, configurationJson(1)) == 200);
    // The first machine keeps the voter set of the first start, and is removed.
    sim.network.isolate(sim.core[0]->ip());
    for (std::size_t index = 3; index < 5; ++index) sim.core[index]->start();
    sim.world.run(Millis(10000));
    REQUIRE(sim.core[0]->statusHas("\"votersVersion\":0"));
    REQUIRE(sim.core[1]->statusHas("\"votersVersion\":3"));
    // The second machine can reach only the first; together they are a majority of the old voter set.
    sim.network.isolate(sim.core[1]->ip());
    MemoryTransport newcomer(sim.world, sim.network, {"10.3.0.1", kFirstPort + 1});
    sim.network.isolate("10.3.0.1");
    REQUIRE(sim.replace(*sim.core[2], 1, configurationJson(2)) == 200);
    int answered = 0;
    for (int poll = 0; poll < 100; ++poll) {
        for (std::size_t index : {0, 1}) {
            const WatchRequest request{"edge-9", poll % 2, {1000000, 0}, 1000000, 100};
            newcomer.call(sim.coreAddresses()[index], envelope(MessageKind::watch, request), Millis(500),
                          [&](const CallResult& result) {
                              if (decode<WatchReply>(result.reply.body)) ++answered;
                          });
        }
        sim.world.run(Millis(50));
    }
    sim.world.run(Millis(1000));
    CHECK(answered == 0);
}

TEST_CASE("a register value that cannot be decoded is not taken for an empty one: nothing older is served") {
    ControlWorld sim(11);
    sim.startAll();
    sim.world.run(Millis(3000));
    REQUIRE(sim.replace(*sim.core[0], 0, configurationJson(3)) == 200);
    sim.world.run(Millis(500));
    MemoryTransport outside(sim.world, sim.network, {"10.3.0.1", kFirstPort});
    const auto ask = [&] {
        const WatchRequest request{"edge-9", 0, {}, 0, 200};
        std::optional<WatchReply> answer;
        for (const NodeAddress& core : sim.coreAddresses()) {
            outside.call(core, envelope(MessageKind::watch, request), Millis(500), [&](CallResult result) {
                if (auto found = decode<WatchReply>(result.reply.body)) answer = std::move(found);
            });
        }
        sim.world.run(Millis(600));
        return answer;
    };
    const auto before = ask();
    REQUIRE(before.has_value());
    CHECK(before->config->configuration.generation == 3);
    const AcceptRequest garbage{kConfigKey, {1u << 30, "other"}, "?", {0, sim.coreAddresses()}};
    for (const NodeAddress& core : sim.coreAddresses())
        outside.call(core, envelope(MessageKind::register_accept, garbage), Millis(500),
                     [](const CallResult&) {});
    sim.world.run(Millis(1000));
    CHECK_FALSE(ask().has_value());
}
