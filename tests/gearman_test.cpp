// Gearman's packets and the front's behaviour towards odd peers, without a socket.
#include <gtest/gtest.h>

#include "gearman/front.hpp"

namespace amberswitch::gearman {
namespace {

using namespace std::chrono_literals;

TEST(Decoder, TakesPacketsCutAnywhere) {
    const std::string one = encode(true, Type::submitJob, {"car-match", "u", std::string_view("a\0b", 3)}),
                      two = one + "status\r\n";
    for (std::size_t cut = 0; cut <= one.size(); ++cut) {
        Decoder decoder(true);
        EXPECT_EQ(decoder.feed(std::string_view(two).substr(0, cut)), cut);
        EXPECT_EQ(decoder.feed(std::string_view(two).substr(cut)), one.size() - cut);
        ASSERT_TRUE(decoder.packetReady());
        const Packet packet = decoder.takePacket();
        EXPECT_EQ(packet.arguments, (std::vector<std::string>{"car-match", "u", std::string("a\0b", 3)}));
        EXPECT_EQ(decoder.feed("status\r\n"), 8u);
        ASSERT_TRUE(decoder.lineReady());
        EXPECT_EQ(decoder.takeLine(), "status");
    }
}

TEST(Decoder, RefusesWhatIsNoPacket) {
    const auto fault = [](const std::string& bytes) {
        Decoder decoder(true);
        decoder.feed(bytes);
        return decoder.bad() ? std::string(decoder.fault()) : "taken";
    };
    EXPECT_EQ(fault(encode(false, Type::grabJob, {})), "bad magic");
    EXPECT_EQ(fault(encode(true, static_cast<Type>(5), {})), "unknown packet type");
    EXPECT_EQ(fault(std::string("\0REQ\0\0\0\7\xff\xff\xff\xff", 12)), "the packet is too long");
    EXPECT_EQ(fault(encode(true, Type::submitJob, {"car-match"})),
              "the packet's length does not fit its type");
    EXPECT_EQ(fault(encode(true, Type::grabJob, {"more"})), "the packet's length does not fit its type");
    EXPECT_EQ(fault(std::string(600, 'x')), "the command is too long");
}

settings::Site site() {
    settings::Site s;
    s.classes = {"car-match", "job-assign"};
    s.tenants = {"maritsa-taxi", "trakia-coop"};
    s.module.classes.resize(2);
    for (auto& klass : s.module.classes) klass.targetLatency = 400ms, klass.clientTimeout = 5s;
    s.module.tenants.resize(2);
    s.module.maxAttempts = 3, s.module.mayCancel = true, s.module.workersReportStart = true,
    s.module.mayAdviseRetry = true;
    s.module.maxRetryAfter = 2s, s.module.tick = 4ms;
    return s;
}

Config config() {
    simdjson::dom::parser parser;
    const settings::element json =
        parser.parse(std::string(R"({"listen":"127.0.0.1:0","tenants":{"m":"maritsa-taxi"},
        "functions":{"car-match":{"deadline_ms":2000}},"worker_queue":1,"most_jobs":40})"));
    return readConfig(settings::Node(json, "gearman"), site());
}

struct GearmanFrontTest : testing::Test {
    struct Peer {
        std::shared_ptr<wire::Machine> machine;
        Decoder decoder{false};
    };
    Peer join() { return {front.accept(now), Decoder(false)}; }
    void say(Peer& peer, std::string bytes) {
        while (!bytes.empty()) {
            bytes.erase(0, peer.machine->in().put(bytes));
            peer.machine->received(now);
        }
    }
    void say(Peer& peer, Type type, std::initializer_list<std::string_view> arguments = {}) {
        say(peer, encode(true, type, arguments));
    }
    std::string raw(Peer& peer) {
        std::string out;
        while (!peer.machine->out().empty()) {
            const auto bytes = peer.machine->out().pending();
            out.append(bytes.data(), bytes.size());
            peer.machine->out().sent(bytes.size());
        }
        return out;
    }
    std::vector<Packet> heard(Peer& peer) {
        std::vector<Packet> out;
        std::string bytes = raw(peer);
        while (!bytes.empty()) {
            bytes.erase(0, peer.decoder.feed(bytes));
            if (!peer.decoder.packetReady()) break;
            out.push_back(peer.decoder.takePacket());
        }
        return out;
    }
    Packet last(Peer& peer) {
        const auto all = heard(peer);
        return all.empty() ? Packet{} : all.back();
    }
    Peer worker(std::initializer_list<const char*> functions) {
        Peer peer = join();
        for (const char* name : functions) say(peer, Type::canDo, {name});
        say(peer, Type::preSleep);
        return peer;
    }
    void pass(Nanos time) {
        for (Nanos done{0}; done < time; done += 10ms) now += 10ms, deadlines.sweep(now);
    }
    Time now{100s};
    Deadlines deadlines;
    Core core{site(), 3, deadlines};
    Front front{core, deadlines, config()};
};

TEST_F(GearmanFrontTest, WakesAWorkerAndCarriesItsReportsToTheClient) {
    Peer able = worker({"car-match"}), client = join();
    say(client, Type::optionReq, {"exceptions"});
    EXPECT_EQ(last(client).type, Type::optionRes);
    say(client, Type::submitJob, {"car-match", "u", "data"});
    const Packet created = last(client);
    ASSERT_EQ(created.type, Type::jobCreated);
    EXPECT_EQ(last(able).type, Type::noop);
    say(able, Type::grabJobUniq);
    const Packet assigned = last(able);
    ASSERT_EQ(assigned.type, Type::jobAssignUniq);
    EXPECT_EQ(assigned.arguments[2] + assigned.arguments[3], "udata");
    say(able, Type::grabJob);
    EXPECT_EQ(last(able).type, Type::noJob);
    const std::string& job = assigned.arguments[0];
    say(able, Type::workData, {job, "part"});
    say(able, Type::workStatus, {job, "1", "4"});
    say(client, Type::getStatus, {created.arguments[0]});
    const auto news = heard(client);
    ASSERT_EQ(news.size(), 3u);
    EXPECT_EQ(news[0].arguments[1], "part");
    EXPECT_EQ(news[1].arguments[1] + "/" + news[1].arguments[2], "25/100");
    EXPECT_EQ(news[2].arguments, (std::vector<std::string>{created.arguments[0], "1", "1", "25", "100"}));
    say(able, Type::workComplete, {job, "result"});
    say(able, Type::workComplete, {job, "twice"});
    const auto end = heard(client);
    ASSERT_EQ(end.size(), 1u);
    EXPECT_EQ(end[0].arguments, (std::vector<std::string>{created.arguments[0], "result"}));
}

// A foreground job whose client has closed is not handed out, also where that close was not read yet; one
// that somebody else waits for, or that runs in the background, is.
TEST_F(GearmanFrontTest, AJobIsNotHandedOutOnceItsClientsHaveLeft) {
    struct Gone : wire::Driver {
        void wake() override {}
        void drop() override {}
        bool peerGone() override { return gone; }
        bool gone = false;
    } first, second;
    Peer able = worker({"car-match"}), client = join(), other = join();
    client.machine->attach(&first), other.machine->attach(&second);
    say(client, Type::submitJob, {"car-match", "u", "data"});
    say(other, Type::submitJob, {"car-match", "u", "data"});
    first.gone = true;
    say(able, Type::grabJob);
    const Packet assigned = last(able);
    ASSERT_EQ(assigned.type, Type::jobAssign);  // the other one waits for it
    say(able, Type::workComplete, {assigned.arguments[0], "result"});
    first.gone = false;
    say(client, Type::submitJob, {"car-match", "v", "data"});
    first.gone = true;
    say(able, Type::grabJob);
    EXPECT_EQ(last(able).type, Type::noJob);
    EXPECT_EQ(core.counters().leftUnnoticed, 1u);
    EXPECT_EQ(core.openTransactions(), 0u);
    first.gone = false;
    say(client, Type::submitJobBg, {"car-match", "w", "data"});
    first.gone = true;
    say(able, Type::grabJob);
    EXPECT_EQ(last(able).type, Type::jobAssign);
}

// libgearman's workers grab in this way only.
TEST_F(GearmanFrontTest, AWorkerThatGrabsAllGetsAnEmptyReducer) {
    Peer able = worker({"car-match"}), client = join();
    say(able, Type::grabJobAll);
    EXPECT_EQ(last(able).type, Type::noJob);
    say(able, Type::preSleep);
    say(client, Type::submitJob, {"car-match", "u", "data"});
    EXPECT_EQ(last(able).type, Type::noop);
    say(able, Type::grabJobAll);
    const Packet job = last(able);
    ASSERT_EQ(job.type, Type::jobAssignAll);
    ASSERT_EQ(job.arguments.size(), 5u);
    EXPECT_EQ(job.arguments[1], "car-match");
    EXPECT_EQ(job.arguments[2], "u");
    EXPECT_EQ(job.arguments[3], "");
    EXPECT_EQ(job.arguments[4], "data");
    say(able, Type::workComplete, {job.arguments[0], "r"});
    EXPECT_EQ(last(client).type, Type::workComplete);
}

// Guards against a peer that repeats a refused packet as fast as it can: each second costs ten answers.
TEST_F(GearmanFrontTest, APeerThatRepeatsARefusedPacketIsSlowed) {
    Peer odd = join(), other = join();
    const std::string refused = encode(true, Type::submitJobEpoch, {"car-match", "", "1", "x"});
    std::size_t answers = 0, sent = 0;
    const auto flood = [&] {
        for (; odd.machine->in().size() + refused.size() < wire::Ring::kSize; ++sent) {
            odd.machine->in().put(refused);
            odd.machine->received(now);
            answers += heard(odd).size();
        }
    };
    flood();
    EXPECT_EQ(answers, 17u);
    for (int tenth = 0; tenth < 50; ++tenth) pass(100ms), answers += heard(odd).size(), flood();
    EXPECT_GE(answers, 60u) << "it is still answered";
    EXPECT_LE(answers, 70u);
    EXPECT_GT(front.counters().slowed, 40u);
    say(other, Type::echoReq, {"x"});
    EXPECT_EQ(last(other).type, Type::echoRes);
    const std::size_t armed = deadlines.size();
    odd.machine->ended(now, End::peerClosed);
    EXPECT_LT(deadlines.size(), armed);
}

TEST_F(GearmanFrontTest, AJobWithTheSameUniqueIdIsOneJob) {
    Peer able = worker({"car-match"}), first = join(), second = join();
    say(first, Type::submitJob, {"car-match", "u", "data"});
    say(second, Type::submitJob, {"car-match", "u", "data"});
    EXPECT_EQ(last(first).arguments, last(second).arguments);
    EXPECT_EQ(core.counters().taken, 1u);
    say(able, Type::grabJob);
    first.machine->ended(now, End::peerClosed);  // one of two leaves: the job goes on
    EXPECT_EQ(core.counters().left, 0u);
    say(able, Type::workComplete, {last(able).arguments[0], "r"});
    EXPECT_EQ(last(second).type, Type::workComplete);
}

TEST_F(GearmanFrontTest, ABackgroundJobOutlivesItsClientAndAForegroundOneDoesNot) {
    Peer able = worker({"car-match", "job-assign"}), client = join();
    say(client, Type::submitJobBg, {"job-assign", "", "bg"});
    say(client, Type::submitJob, {"car-match", "", "fg"});
    client.machine->ended(now, End::peerClosed);
    EXPECT_EQ(core.counters().left, 1u);
    say(able, Type::grabJob);
    say(able, Type::workComplete, {last(able).arguments[0], "r"});
    EXPECT_EQ(core.counters().served, 1u);
}

TEST_F(GearmanFrontTest, AnExceptionReachesClientsThatAskForItAndFailsTheJob) {
    Peer able = worker({"job-assign"}), client = join();
    say(client, Type::optionReq, {"exceptions"});
    say(client, Type::submitJob, {"job-assign", "", "x"});
    for (int tries = 0; tries < 3; ++tries) {  // job-assign is safe on this test's site: it is tried again
        say(able, Type::grabJob);
        const Packet job = last(able);
        if (job.type != Type::jobAssign) break;
        say(able, Type::workException, {job.arguments[0], "no driver"});
    }
    pass(5s);
    EXPECT_EQ(core.counters().unavailable + core.counters().failed, 1u);
}

// Guards against a worker getting what it no longer, or never, said it can do.
TEST_F(GearmanFrontTest, WithdrawnFunctionsGoBackUnstarted) {
    Peer one = worker({"car-match"}), client = join();
    say(client, Type::submitJob, {"car-match", "", "x"});
    say(one, Type::cantDo, {"car-match"});
    EXPECT_EQ(core.counters().ends[static_cast<std::size_t>(End::handedBack)], 1u);
    Peer two = worker({"job-assign"}), three = worker({"car-match"});
    pass(100ms);
    EXPECT_TRUE(heard(two).empty());
    EXPECT_EQ(last(three).type, Type::noop);
}

TEST_F(GearmanFrontTest, AWorkersOwnTimeLimitEndsTheJob) {
    Peer able = join(), client = join();
    say(able, Type::canDoTimeout, {"job-assign", "1"});
    say(client, Type::submitJob, {"job-assign", "", "x"});
    say(able, Type::grabJob);
    pass(1050ms);
    EXPECT_EQ(core.counters().ends[static_cast<std::size_t>(End::timedOut)], 1u);
}

TEST_F(GearmanFrontTest, RefusalsCarryAdvice) {
    Peer client = join();
    say(client, Type::submitJob, {"car-match", "", "x"});
    EXPECT_EQ(last(client).type, Type::jobCreated);
    pass(2s);
    const auto end = heard(client);
    ASSERT_EQ(end.size(), 2u);
    EXPECT_EQ(end[0].type, Type::workWarning);
    EXPECT_EQ(end[0].arguments[1], "unavailable; Retry-After: 0.100");
    EXPECT_EQ(end[1].type, Type::workFail);
    say(client, "maxqueue car-match 1\n");
    EXPECT_EQ(raw(client), "OK\n");
    say(client, Type::submitJob, {"car-match", "", "x"});
    say(client, Type::submitJob, {"car-match", "", "y"});
    EXPECT_EQ(last(client).arguments[0], "ERR_UNAVAILABLE");
    say(client, Type::submitJob, {"render", "", "x"});
    EXPECT_EQ(last(client).arguments[0], "ERR_UNKNOWN_FUNCTION");
}

// Guards against one connection filling the memory: a job may hold 64 KiB.
TEST_F(GearmanFrontTest, TakesNoMoreJobsThanItMayHold) {
    Peer client = join();
    for (int i = 0; i < 45; ++i) say(client, Type::submitJobBg, {"car-match", "", "x"});
    const auto answers = heard(client);
    ASSERT_EQ(answers.size(), 45u);
    EXPECT_EQ(answers[39].type, Type::jobCreated);
    EXPECT_EQ(answers[40].type, Type::error);
    EXPECT_EQ(core.counters().taken, 40u);
}

TEST_F(GearmanFrontTest, MalformedBytesGetAnErrorAndAClose) {
    for (const std::string& bytes :
         {std::string("\0BAD\0\0\0\1\0\0\0\0", 12), encode(true, static_cast<Type>(99), {}),
          encode(true, Type::jobCreated, {"h"}), std::string("\0REQ\0\0\0\7\x7f\0\0\0", 12)}) {
        Peer peer = join();
        say(peer, bytes);
        EXPECT_EQ(last(peer).type, Type::error);
        EXPECT_TRUE(peer.machine->finished());
    }
    Peer half = join();
    say(half, std::string("\0REQ", 4));
    pass(11s);
    EXPECT_TRUE(half.machine->finished());
}

TEST_F(GearmanFrontTest, TheAdministrativeCommandsTellWhatIsThere) {
    Peer able = worker({"car-match"}), client = join(), admin = join();
    say(able, Type::setClientId, {"taxi-1"});
    say(client, Type::submitJob, {"car-match", "u", "x"});
    const auto tells = [&](const std::string& command) {
        say(admin, command + "\n");
        return raw(admin);
    };
    EXPECT_EQ(tells("status"), "car-match\t1\t0\t1\njob-assign\t0\t0\t0\n.\n");
    EXPECT_EQ(tells("prioritystatus"), "car-match\t0\t1\t0\t1\njob-assign\t0\t0\t0\t0\n.\n");
    EXPECT_NE(tells("workers").find("- taxi-1 : car-match\n"), std::string::npos);
    EXPECT_EQ(tells("show unique jobs"), "u\n.\n");
    EXPECT_EQ(tells("version").substr(0, 15), "OK amberswitch ");
    EXPECT_EQ(tells("dance").substr(0, 4), "ERR ");
    EXPECT_EQ(tells("cancel job H:amberswitch:1"), "OK\n");
    EXPECT_EQ(tells("status"), "car-match\t0\t0\t1\njob-assign\t0\t0\t0\n.\n");
    bool down = false;
    front.setShutdown([&](Time) { down = true; });
    EXPECT_EQ(tells("shutdown"), "OK\n");
    EXPECT_TRUE(down);
}

// A worker's model, in random steps: it never holds more than it may, gets only what it offers, and every job
// ends exactly once.
TEST_F(GearmanFrontTest, WorkersKeepToTheirModelInRandomSteps) {
    std::uint64_t state = 42;
    const auto roll = [&state](std::uint64_t sides) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        return (state >> 33) % sides;
    };
    struct Model {
        Peer peer;
        std::set<std::string> functions;
        std::string job;
    };
    std::vector<Model> workers(3);
    for (Model& w : workers) w.peer = join();
    Peer client = join();
    std::uint64_t submitted = 0;
    const char* const names[] = {"car-match", "job-assign"};
    for (int step = 0; step < 4000; ++step) {
        Model& w = workers[roll(workers.size())];
        const std::string name = names[roll(2)];
        const auto action = roll(20);
        if (action < 5) {
            say(client, roll(4) == 0 ? Type::submitJobHigh : Type::submitJob, {name, "", "x"}), ++submitted;
        } else if (action < 7) {
            say(w.peer, Type::canDo, {name}), w.functions.insert(name);
        } else if (action == 7) {
            say(w.peer, Type::cantDo, {name}), w.functions.erase(name);
        } else if (action < 13) {
            heard(w.peer);
            say(w.peer, Type::grabJob);
            const Packet given = last(w.peer);
            if (!w.job.empty()) {
                EXPECT_EQ(given.type, Type::noJob) << "one job at a time";
            } else if (given.type == Type::jobAssign) {
                EXPECT_TRUE(w.functions.contains(given.arguments[1]));
                w.job = given.arguments[0];
            }
        } else if (action < 17 && !w.job.empty()) {
            say(w.peer, roll(5) == 0 ? Type::workException : Type::workComplete, {w.job, "r"}), w.job.clear();
        } else if (action == 17) {
            say(w.peer, Type::preSleep);
        } else if (action == 18 && roll(10) == 0) {
            w.peer.machine->ended(now, End::peerReset);
            w = Model{join(), {}, {}};
        } else {
            pass(10ms * static_cast<int>(roll(20)));
        }
        raw(client);
        const auto& c = core.counters();
        ASSERT_EQ(c.served + c.unavailable + c.failed + c.left + core.openTransactions(), c.taken);
        ASSERT_LE(c.taken, submitted);
        ASSERT_LE(core.openTransactions(), 40u);
    }
    pass(9s);
    EXPECT_EQ(core.openTransactions(), 0u);
    EXPECT_GT(core.counters().served, 60u);  // of a load that is mostly refused
    EXPECT_EQ(core.counters().withheld, 0u);
}

TEST(Config, NamesTheFieldThatIsWrong) {
    const auto fault = [](const std::string& text) -> std::string {
        simdjson::dom::parser parser;
        try {
            readConfig(settings::Node(settings::element(parser.parse(text)), "gearman"), site());
        } catch (const settings::BadField& bad) {
            return bad.what();
        }
        return "taken";
    };
    EXPECT_EQ(fault("{}"), "taken");
    EXPECT_EQ(fault(R"({"listen":"","functions":{"render":{}}})"), "taken");  // it is off
    EXPECT_EQ(fault(R"({"listen":7})"), "gearman.listen: is not a string");
    EXPECT_EQ(fault(R"({"listen":"127.0.0.1:0","functions":{"render":{}}})"),
              "gearman.functions.render: there is no class 'render'");
    EXPECT_EQ(fault(R"({"listen":"127.0.0.1:0","functions":{"car-match":{"deadline_ms":0}}})"),
              "gearman.functions.car-match.deadline_ms: is not from 1 to 86400000");
    EXPECT_EQ(fault(R"({"listen":"127.0.0.1:0","tenants":{"x":"nobody"}})"),
              "gearman.tenants.x: there is no tenant 'nobody'");
    EXPECT_EQ(fault(R"({"listen":"127.0.0.1:0","worker_slots":0})"),
              "gearman.worker_slots: is not from 1 to 100000");
    EXPECT_EQ(fault(R"({"listen":"","workers":1})").substr(0, 40),
              "gearman.workers: there is no such field;");
}

}  // namespace
}  // namespace amberswitch::gearman
