// A core machine is cut off around an order: what it and the others hand out, confirm and refuse is checked
// against the history of acknowledgements. AMBERSWITCH_CUT_PLAYS sets the number of plays, and
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

constexpr std::uint64_t kPlaysInCi = 205;
constexpr std::uint64_t kLastCutMs = 40;  // after the order
constexpr Millis kInForce{1000};          // of an acknowledged configuration, at members in touch
constexpr Millis kCutLength{5000};
constexpr Millis kLongCut{20000};
constexpr Millis kSlice{20};
constexpr Millis kProbeInterval{80};
constexpr Millis kAnswerTimeout{1600};  // of the operator's calls

enum class Cut : std::uint8_t { from_core, from_all, outgoing, incoming, killed };

struct Failures {
    std::uint64_t late = 0;      // a member in touch without an acknowledged configuration after 1 s
    std::uint64_t old = 0;       // handed out: older than what was acknowledged before the poll
    std::uint64_t held = 0;      // a poll was told that nothing is newer, while something was
    std::uint64_t wrong = 0;     // an answer to the operator that doesn't rest on a majority
    std::uint64_t slow = 0;      // no answer to the operator in time
    std::uint64_t backward = 0;  // a member went back
    std::string what;            // the wrong answers
    std::uint64_t all() const { return late + old + held + wrong + slow + backward; }
    void add(const Failures& other) {
        late += other.late, old += other.old, held += other.held;
        wrong += other.wrong, slow += other.slow, backward += other.backward;
    }
};

struct Acknowledgment {
    std::int64_t generation = 0;
    SteadyTime at;
    bool checked = false;
};

// The answer to one call of the operator.
struct OperatorCall {
    int status = 0;  // 0: not yet
    std::string body;
    SteadyTime sent;
};
using OperatorCallHandle = std::shared_ptr<OperatorCall>;

class CutOffPlay {
public:
    explicit CutOffPlay(std::uint64_t number)
        : random_(number * 7919 + 1),
          cut_after_(static_cast<std::int64_t>(number % (kLastCutMs + 1))),
          kind_(static_cast<Cut>(draw(5))),
          cut_length_(number % 16 == 0 ? kLongCut : kCutLength),
          world_(number + 1, draw(2) == 0 ? 3 : 5),
          roaming_probe_(world_.world, world_.network, {"10.3.0.1", kFirstPort + 1}),
          bound_probe_(world_.world, world_.network, {"10.3.0.2", kFirstPort + 1}) {}

    Failures run() {
        begin();
        order(*taker_, 1, 2);
        advance(cut_after_);
        cut();
        const SteadyTime cut_at = world_.world.now();
        advance(Millis(1500));
        callCutMachine();
        orderElsewhere();
        advance(cut_length_ - (world_.world.now() - cut_at));
        heal();
        const auto stale = order(*cut_, 1, 30);
        const auto fresh = read(*cut_);
        const std::int64_t newest = newestAcknowledged();
        advance(kAnswerTimeout);
        if (stale->status == 200) wrong("an order on an old base is taken");
        if (fresh->status == 200 && generationOf(fresh->body) < newest) wrong("an old read after the cut");
        expectAnswer(*stale);
        expectAnswer(*fresh);
        checkNobodyWentBack();
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
        if (!world_.world.runUntil(all_vote, Millis(10000))) wrong("not all machines vote");
        world_.replace(*world_.core[0], 0, configurationJson(1));
        acknowledged_.push_back({1, world_.world.now()});
        world_.world.run(Millis(1000 + static_cast<std::int64_t>(draw(400))));
        taker_ = anyMachine();
        if (draw(3) == 0 && world_.leader() != nullptr) taker_ = world_.leader();
        cut_ = draw(4) == 0 ? anyMachine() : taker_;
        lost_ = {cut_};
        // Five machines bear the cut of two that still reach each other.
        if (world_.core.size() == 5 && draw(2) == 0) lost_.insert(anyMachine());
        // These reach only the machine that is cut off, as long as it is.
        bound_ = {"edge-4", "storage-3"};
        probe();
    }
    void addMember(const std::string& name, NodeKind kind) {
        ips_[name] = "10.2.0." + std::to_string(ips_.size() + 1);
        world_.addClient(name, kind, ips_[name]);
    }

    CoreMachine* anyMachine() { return world_.core[draw(world_.core.size())].get(); }

    void cut() {
        if (kind_ == Cut::killed) cut_->kill();
        for (const CoreMachine* lost : lost_) cutOff(lost->ip());
        for (const std::string& name : bound_) bind(ips_[name]);
        bind("10.3.0.2");
    }
    void cutOff(const std::string& lost) {
        if (kind_ == Cut::from_all) return world_.network.isolate(lost);
        for (const auto& machine : world_.core) {
            if (!lost_.contains(machine.get())) cutFrom(lost, machine->ip());
        }
        for (const auto& [name, ip] : ips_) {
            if (!bound_.contains(name) && kind_ != Cut::from_core) cutFrom(lost, ip);
        }
    }
    void cutFrom(const std::string& lost, const std::string& other) {
        if (kind_ != Cut::incoming) world_.network.cut(lost, other);
        if (kind_ != Cut::outgoing) world_.network.cut(other, lost);
    }
    void bind(const std::string& ip) {
        if (kind_ == Cut::from_all) return world_.network.isolate(ip);
        for (const auto& machine : world_.core) {
            if (!lost_.contains(machine.get())) world_.network.cutBoth(ip, machine->ip());
        }
    }
    void heal() {
        world_.network.healAll();
        if (!cut_->runs()) cut_->start();
        bound_.clear();
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
            if (world_.world.now() - made->sent > kAnswerTimeout) ++failures_.slow;
            done(*made);
        });
        return made;
    }
    OperatorCallHandle order(CoreMachine& machine, std::int64_t base, std::int64_t generation) {
        const auto request = ControlWorld::replaceRequest(base, configurationJson(generation));
        return call(machine, request, [this, generation](const OperatorCall& answer) {
            if (answer.status == 200) acknowledged_.push_back({generation, world_.world.now()});
        });
    }
    OperatorCallHandle read(CoreMachine& machine) {
        return call(machine, {"GET", "/Config.Read", {}, {}}, [](const OperatorCall&) {});
    }
    void callCutMachine() {
        if (!cut_->runs()) return advance(kAnswerTimeout);
        const auto refused = order(*cut_, 2, 20);
        const auto unread = read(*cut_);
        advance(kAnswerTimeout);
        expectUnknown(*refused);
        expectUnknown(*unread);
    }
    // At a machine that still has a majority.
    void orderElsewhere() {
        CoreMachine* other = nullptr;
        while (other == nullptr || lost_.contains(other)) other = anyMachine();
        const auto found = read(*other);
        advanceUntilAnswered(*found);
        if (found->status != 200) return wrong("no read at a majority: " + std::to_string(found->status));
        const std::int64_t base = generationOf(found->body);
        if (base < newestAcknowledged()) wrong("an old read");
        const auto taken = order(*other, base, base + 8);
        advanceUntilAnswered(*taken);
        if (taken->status != 200) wrong("no order at a majority: " + std::to_string(taken->status));
    }
    void wrong(const std::string& what) {
        ++failures_.wrong;
        failures_.what += what + "; ";
    }
    void expectAnswer(const OperatorCall& answer) {
        if (answer.status == 0) ++failures_.slow;
    }
    // Without a majority nothing is known: neither taken nor refused.
    void expectUnknown(const OperatorCall& answer) {
        expectAnswer(answer);
        if (answer.status != 0 && answer.status != 503)
            wrong("an answer without a majority: " + std::to_string(answer.status));
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
            checkInForce();
        }
    }
    void advanceUntilAnswered(const OperatorCall& answer) {
        while (answer.status == 0 && world_.world.now() - answer.sent < kAnswerTimeout) advance(kSlice);
    }
    void checkInForce() {
        for (Acknowledgment& each : acknowledged_) {
            const bool due = world_.world.now() - std::max(each.at, healed_) >= kInForce;
            if (each.checked || !due) continue;
            each.checked = true;
            for (const auto& [name, client] : world_.clients) {
                if (bound_.contains(name)) continue;
                const auto configuration = client->client().configuration();
                if (!configuration || configuration->generation < each.generation) ++failures_.late;
            }
        }
    }
    void checkNobodyWentBack() {
        for (const auto& [name, client] : world_.clients) {
            if (!std::is_sorted(client->generations.begin(), client->generations.end())) ++failures_.backward;
            if (!std::is_sorted(client->epochs.begin(), client->epochs.end())) ++failures_.backward;
        }
    }

    // Polls of newcomers, and of those that have what was acknowledged before the last one.
    void probe() {
        for (const auto& machine : world_.core) {
            const NodeAddress address = machine->settings().internalAddress(PortOffset::core);
            for (MemoryTransport* from : {&roaming_probe_, &bound_probe_}) {
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
            if (!answer->config) return void(++failures_.held);
            if (answer->config->configuration.generation < newest) ++failures_.old;
        });
    }

    std::mt19937_64 random_;
    Millis cut_after_;
    Cut kind_;
    Millis cut_length_;
    ControlWorld world_;
    MemoryTransport roaming_probe_;
    MemoryTransport bound_probe_;
    std::map<std::string, std::string> ips_;
    std::set<std::string> bound_;
    CoreMachine* taker_ = nullptr;
    CoreMachine* cut_ = nullptr;
    std::set<CoreMachine*> lost_;  // the cut one, and the one that is cut off with it
    std::vector<Acknowledgment> acknowledged_;
    SteadyTime healed_{};
    Failures failures_;
};

std::uint64_t playsAsked() {
    const char* asked = std::getenv("AMBERSWITCH_CUT_PLAYS");
    return asked == nullptr ? kPlaysInCi : std::stoull(asked);
}

}  // namespace

TEST_CASE(
    "a core machine cut off around an order: nothing old is handed out, and nothing wrong is confirmed") {
    Failures total;
    std::uint64_t failed = 0;
    std::uint64_t late = 0;
    const char* first = std::getenv("AMBERSWITCH_CUT_FIRST");
    const std::uint64_t begin = first == nullptr ? 0 : std::stoull(first);
    for (std::uint64_t number = begin; number < begin + playsAsked(); ++number) {
        const Failures found = CutOffPlay(number).run();
        total.add(found);
        if (found.all() == 0) continue;
        ++failed;
        if (found.late > 0) ++late;
        if (failed <= 10)
            MESSAGE("play " << number << ": late " << found.late << ", old " << found.old << ", held "
                            << found.held << ", wrong " << found.wrong << ", slow " << found.slow
                            << ", backward " << found.backward << "; " << found.what);
    }
    MESSAGE(failed << " of " << playsAsked() << " plays failed, " << late
                   << " of them with members late: late " << total.late << ", old " << total.old << ", held "
                   << total.held << ", wrong " << total.wrong << ", slow " << total.slow << ", backward "
                   << total.backward);
    CHECK(failed == 0);
}

TEST_CASE("two machines that were removed as voters do not confirm each other by an old list") {
    ControlWorld play(21, 5);
    for (std::size_t index = 0; index < 3; ++index) play.core[index]->start();
    play.world.run(Millis(3000));
    REQUIRE(play.replace(*play.core[1], 0, configurationJson(1)) == 200);
    // The first one stays behind with the list of the first start, and is removed.
    play.network.isolate(play.core[0]->ip());
    for (std::size_t index = 3; index < 5; ++index) play.core[index]->start();
    play.world.run(Millis(10000));
    REQUIRE(play.core[0]->statusHas("\"votersVersion\":0"));
    REQUIRE(play.core[1]->statusHas("\"votersVersion\":3"));
    // The second one meets it; a majority of that old list is together again.
    play.network.isolate(play.core[1]->ip());
    MemoryTransport newcomer(play.world, play.network, {"10.3.0.1", kFirstPort + 1});
    play.network.isolate("10.3.0.1");
    REQUIRE(play.replace(*play.core[2], 1, configurationJson(2)) == 200);
    int answered = 0;
    for (int poll = 0; poll < 100; ++poll) {
        for (std::size_t index : {0, 1}) {
            const WatchRequest request{"edge-9", poll % 2, {1000000, 0}, 1000000, 100};
            newcomer.call(play.coreAddresses()[index], envelope(MessageKind::watch, request), Millis(500),
                          [&](const CallResult& result) {
                              if (decode<WatchReply>(result.reply.body)) ++answered;
                          });
        }
        play.world.run(Millis(50));
    }
    play.world.run(Millis(1000));
    CHECK(answered == 0);
}

TEST_CASE("a value in the register that cannot be read is not taken for none: nothing older is handed out") {
    ControlWorld play(11);
    play.startAll();
    play.world.run(Millis(3000));
    REQUIRE(play.replace(*play.core[0], 0, configurationJson(3)) == 200);
    play.world.run(Millis(500));
    MemoryTransport outside(play.world, play.network, {"10.3.0.1", kFirstPort});
    const auto ask = [&] {
        const WatchRequest request{"edge-9", 0, {}, 0, 200};
        std::optional<WatchReply> answer;
        for (const NodeAddress& core : play.coreAddresses()) {
            outside.call(core, envelope(MessageKind::watch, request), Millis(500), [&](CallResult result) {
                if (auto found = decode<WatchReply>(result.reply.body)) answer = std::move(found);
            });
        }
        play.world.run(Millis(600));
        return answer;
    };
    const auto before = ask();
    REQUIRE(before.has_value());
    CHECK(before->config->configuration.generation == 3);
    const AcceptRequest garbage{kConfigKey, {1u << 30, "other"}, "?", {0, play.coreAddresses()}};
    for (const NodeAddress& core : play.coreAddresses())
        outside.call(core, envelope(MessageKind::register_accept, garbage), Millis(500),
                     [](const CallResult&) {});
    play.world.run(Millis(1000));
    CHECK_FALSE(ask().has_value());
}
