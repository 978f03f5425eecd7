// Tests of the link between the old and the new process of a dispatcher, without sockets, on a simulated
// clock and with any number of simulated processes.
#include "takeover/takeover.hpp"

#include <gtest/gtest.h>

#include <list>
#include <random>
#include <set>

#include "world.hpp"

namespace amberswitch {
namespace {

using service::Service;
using takeover::Fault;
using takeover::Link;
using takeover::Takeover;

// Both ends of a connection. carry() transfers bytes in pieces, so a test can stop between them.
struct Pipe : wire::Driver {
    Pipe(std::shared_ptr<wire::Machine> from, std::shared_ptr<wire::Machine> to)
        : ends{std::move(from), std::move(to)} {
        for (const auto& end : ends) end->attach(this);
    }
    ~Pipe() override {
        for (const auto& end : ends) end->attach(nullptr);
    }
    void wake() override {}
    void drop() override { broken = true; }
    bool carry(Time now, std::size_t most = 700) {
        bool moved = false;
        for (int i = 0; i < 2 && !broken; ++i) {
            wire::Machine &from = *ends[i], &to = *ends[1 - i];
            while (!broken && !from.out().empty()) {
                const auto bytes = from.out().pending();
                const std::size_t n = std::min({bytes.size(), most, to.in().space().size()});
                if (n == 0) break;
                std::copy_n(bytes.data(), n, to.in().space().data());
                to.in().filled(n);
                from.out().sent(n), from.sent(now), to.received(now);
                moved = true;
            }
        }
        if (broken) cut(now);
        return moved;
    }
    void cut(Time now) {
        if (std::exchange(over, true)) return;
        for (const auto& end : ends) end->attach(nullptr);
        for (const auto& end : ends) end->ended(now, End::peerClosed);
    }
    std::array<std::shared_ptr<wire::Machine>, 2> ends;
    bool broken = false, over = false;
};

// One process of a dispatcher, reduced to its part in the takeover.
struct Process {
    Process(Deadlines& deadlines, const std::string& farm, const std::string& name = "n0")
        : list(farm),
          takeover(
              deadlines, service, name,
              {[this] { return list; }, [this] { return ids; },
               [this](Time, std::string_view told, const std::vector<std::string>& used) {
                   list = told, inherited = used;
               },
               [this](Time, bool yes) { accepts = yes; }, [this](Time) { ++listens; },
               [this](Time, const std::string& body) {
                   if (!owns.count(body)) return false;
                   taken.push_back(body);
                   return true;
               },
               [this] { return descriptors; }, [this](const std::string& line) { said += line + '\n'; }}) {}
    std::string list, said;
    std::vector<std::string> ids, inherited, taken;
    std::set<std::string> owns;
    std::size_t descriptors = 0;
    bool accepts = false;
    int listens = 0;
    Service service;
    Takeover takeover;
};

struct TakeoverTest : testing::Test {
    // Connects a new process to the listening one, as main() does.
    Pipe& join(Process& comes, Process& serves) {
        auto link = comes.takeover.begin(now);
        auto accepted = serves.takeover.accept(now);
        pipes.push_back(std::make_unique<Pipe>(link, accepted));
        link->opened(now);
        return *pipes.back();
    }
    void settle() {
        for (bool moved = true; moved;) {
            moved = false;
            for (const auto& pipe : pipes) moved |= pipe->carry(now);
        }
    }
    void pass(Nanos time) {
        for (Nanos done{0}; done < time; done += 10ms) deadlines.sweep(now += 10ms), settle();
    }
    std::string ask(Process& at, const std::string& body) {
        auto heard = std::make_shared<std::string>("none");
        at.takeover.elsewhere(now, body, [heard](Time, Link::CallbackResult word) {
            EXPECT_EQ(*heard, "none");  // once
            *heard = word == Link::CallbackResult::owned     ? "owned"
                     : word == Link::CallbackResult::unowned ? "unowned"
                                                             : "unknown";
        });
        settle();
        for (int i = 0; i < 200 && *heard == "none"; ++i) pass(10ms);
        return *heard;
    }
    Time now{1'000'000'000'000};
    Deadlines deadlines;
    std::vector<std::unique_ptr<Pipe>> pipes;
    Process old{deadlines, "farm"}, fresh{deadlines, ""};
    void serve(Process& process) { process.takeover.alone(now); }
};

TEST_F(TakeoverTest, TheNewOneServesOnceItHasTheFarmAndTheOldOneLeavesItTheClients) {
    serve(old);
    old.ids = {"a", "b"};
    EXPECT_TRUE(old.accepts && old.service.ready());
    join(fresh, old);
    EXPECT_FALSE(fresh.service.ready() || fresh.accepts);  // the link is not used yet
    settle();
    EXPECT_TRUE(fresh.service.ready() && fresh.accepts);
    EXPECT_EQ(fresh.list, "farm");
    EXPECT_EQ(fresh.inherited, old.ids);
    EXPECT_EQ(fresh.listens, 1);
    EXPECT_FALSE(old.accepts);
    EXPECT_TRUE(old.service.hasSuccessor() && old.service.ready());
}

// A new process is in service even if the old one is drained, since it must report itself ready.
TEST_F(TakeoverTest, ANewOneBesideADrainedOneIsInService) {
    serve(old);
    old.service.outOfService(now);
    join(fresh, old), settle();
    EXPECT_TRUE(fresh.service.ready() && fresh.accepts);
    EXPECT_FALSE(old.service.ready() || old.accepts);
}

TEST_F(TakeoverTest, ACallGoesToItsOwnerWhicheverProcessHearsIt) {
    serve(old);
    old.owns = {"of the old"}, fresh.owns = {"of the new"};
    join(fresh, old), settle();
    EXPECT_EQ(ask(fresh, "of the old"), "owned");
    EXPECT_EQ(ask(old, "of the new"), "owned");
    EXPECT_EQ(ask(fresh, "of nobody"), "unowned");
    old.service.end(now);  // the same as before SIGTERM
    EXPECT_EQ(ask(fresh, "of the old"), "owned");
    EXPECT_EQ(old.taken, (std::vector<std::string>{"of the old", "of the old"}));
    EXPECT_EQ(fresh.taken, std::vector<std::string>{"of the new"});
}

TEST_F(TakeoverTest, ACallInTheLinkAsTheOldOneExitsIsNobodys) {
    serve(old);
    Pipe& pipe = join(fresh, old);
    settle();
    std::string heard;
    fresh.takeover.elsewhere(now, "late", [&](Time, Link::CallbackResult word) {
        heard += word == Link::CallbackResult::unowned ? "unowned" : "else";
    });
    pipe.cut(now);
    EXPECT_EQ(heard, "unowned");
    EXPECT_TRUE(fresh.accepts);
    EXPECT_EQ(ask(fresh, "later"), "unowned");
}

// A stalled peer must not keep the callback of a job server open: it is answered so that the server repeats
// it.
TEST_F(TakeoverTest, AStalledProcessLeavesCallsUnanswered) {
    serve(old);
    join(fresh, old), settle();
    pipes.clear();  // transfers nothing more, without notice
    EXPECT_EQ(ask(fresh, "x"), "unknown");
    for (std::size_t i = 0; i < Link::kMaxPendingCallbacks + 10; ++i)
        fresh.takeover.elsewhere(now, "x", [](Time, Link::CallbackResult) {});
    EXPECT_GE(fresh.takeover.counters().unknown, 11u);  // limited: further calls are answered at once
}

TEST_F(TakeoverTest, TheOldOneTakesClientsAgainWhenTheNewOneGoesBeforeTheEnd) {
    serve(old);
    Pipe& unready = join(fresh, old);
    unready.cut(now);  // killed before it was ready
    EXPECT_TRUE(old.accepts);
    EXPECT_FALSE(old.service.hasSuccessor());
    Process second(deadlines, "");
    Pipe& ready = join(second, old);
    settle();
    EXPECT_FALSE(old.accepts);
    ready.cut(now);
    EXPECT_TRUE(old.accepts);
    EXPECT_FALSE(old.service.hasSuccessor());
    EXPECT_EQ(old.listens, 2);  // it listens at the link address again
    Process third(deadlines, "");
    Pipe& last = join(third, old);
    settle();
    old.service.end(now);
    last.cut(now);
    EXPECT_FALSE(old.accepts);  // it is ending: no new clients
}

TEST_F(TakeoverTest, ANewOneBeginsColdWithoutAPredecessor) {
    const auto link = fresh.takeover.begin(now);
    link->ended(now, End::connectRefused);  // no socket file, or that of a dead process
    EXPECT_TRUE(fresh.service.ready() && fresh.accepts);
    EXPECT_EQ(fresh.said, "");
    EXPECT_EQ(fresh.takeover.counters().cold, 1u);
}

TEST_F(TakeoverTest, ANewOneBeginsColdBesideAPeerThatIsNone) {
    const auto frame = [](const std::string& body) {
        return std::string(3, '\0') + char(body.size()) + body;
    };
    const std::vector<std::pair<std::string, std::string>> peers{
        {"", "says nothing"},
        {std::string(64, '\xff'), "not the protocol"},
        {frame("\xff\xff\xff"), "not the protocol"},
        {frame(std::string("\x0a\x06\x08\x63\x12\x02n0", 8)), "another version"},
        {frame(std::string("\x0a\x06\x08\x01\x12\x02n7", 8)), "another dispatcher's"},
        {frame(std::string("\x1a\x00", 2)), "not the protocol"}};  // serving, without a hello
    for (const auto& [bytes, why] : peers) {
        Process one(deadlines, "own list");
        const auto link = one.takeover.begin(now);
        link->opened(now);
        link->in().put(bytes);
        if (!bytes.empty()) link->received(now);
        pass(1600ms);
        EXPECT_TRUE(one.service.ready() && one.accepts) << why;
        EXPECT_NE(one.said.find(why), std::string::npos) << one.said;
        EXPECT_EQ(std::count(one.said.begin(), one.said.end(), '\n'), 1) << one.said;
        EXPECT_EQ(one.list, "own list");
    }
}

// Guards against a predecessor that completes the handshake and sends nothing more.
TEST_F(TakeoverTest, AFarmThatNeverComesIsNotWaitedFor) {
    serve(old);
    const auto link = fresh.takeover.begin(now);
    link->opened(now);
    link->in().put(std::string("\0\0\0\x08\x0a\x06\x08\x01\x12\x02n0", 12));
    link->received(now);
    EXPECT_TRUE(link->met());
    pass(1400ms);
    EXPECT_FALSE(fresh.service.ready());
    pass(200ms);
    EXPECT_TRUE(fresh.service.ready());
}

TEST_F(TakeoverTest, TheOldOneIsNotHarmedByStrangers) {
    serve(old);
    std::vector<std::shared_ptr<wire::Machine>> crowd;
    for (int i = 0; i < 10; ++i) crowd.push_back(old.takeover.accept(now));
    EXPECT_EQ(std::count(crowd.begin(), crowd.end(), nullptr), 10 - static_cast<int>(Takeover::kMaxLinks));
    pass(1100ms);
    EXPECT_FALSE(old.takeover.linked());
    EXPECT_TRUE(old.accepts);
    join(fresh, old), settle();
    EXPECT_TRUE(fresh.service.ready() && !old.accepts);
}

TEST_F(TakeoverTest, TwoInARowPassCallsOverBothLinks) {
    serve(old);
    join(fresh, old), settle();
    old.service.end(now);
    Process third(deadlines, "");
    join(third, fresh), settle();
    EXPECT_TRUE(third.accepts && !fresh.accepts && !old.accepts);
    old.owns = {"o"}, fresh.owns = {"f"}, third.owns = {"t"};
    for (Process* const at : {&old, &fresh, &third})
        for (const std::string body : {"o", "f", "t"}) {
            if (at->owns.count(body)) continue;
            EXPECT_EQ(ask(*at, body), "owned") << body;
        }
    EXPECT_EQ(ask(third, "nobody's"), "unowned");
}

TEST_F(TakeoverTest, EachKnowsWhatTheOtherHolds) {
    serve(old);
    old.descriptors = 120, fresh.descriptors = 30;
    join(fresh, old), settle();
    EXPECT_EQ(fresh.takeover.descriptors(), 120u);
    EXPECT_EQ(old.takeover.descriptors(), 30u);
    old.descriptors = 10;
    pass(150ms);
    EXPECT_EQ(fresh.takeover.descriptors(), 10u);
    pipes.back()->cut(now);
    EXPECT_EQ(fresh.takeover.descriptors(), 0u);
}

// Random steps over many replacements, with transfers of random size: each call gets exactly one answer, and
// some of them reach their owner.
TEST_F(TakeoverTest, RandomCallsAndReplacementsKeepEveryCallToOneWord) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        pipes.clear();
        std::list<Process> chain;
        chain.emplace_back(deadlines, "farm");
        serve(chain.back());
        std::size_t asked = 0, heard = 0, owned = 0;
        for (int step = 0; step < 200; ++step) {
            const unsigned what = random() % 10;
            if (what == 0 && chain.size() < 4) {
                Process& last = chain.back();
                chain.emplace_back(deadlines, "");
                join(chain.back(), last);
            } else if (what == 1 && !pipes.empty()) {
                pipes[random() % pipes.size()]->cut(now);
            } else if (what < 7) {
                Process& at = *std::next(chain.begin(), static_cast<long>(random() % chain.size()));
                Process& owner = *std::next(chain.begin(), static_cast<long>(random() % chain.size()));
                const std::string body = std::string(random() % 3000, 'x') + std::to_string(++asked);
                owner.owns.insert(body);
                if (&at == &owner) {
                    ++heard, ++owned;
                    continue;
                }
                at.takeover.elsewhere(now, body, [&](Time, Link::CallbackResult word) {
                    ++heard, owned += word == Link::CallbackResult::owned;
                });
            }
            for (const auto& pipe : pipes) pipe->carry(now, 1 + random() % 900);
            deadlines.sweep(now += 7ms);
        }
        pass(3s);
        EXPECT_EQ(heard, asked) << seed;
        EXPECT_GT(owned, 0u);
        EXPECT_LE(owned, asked);
        pipes.clear();
    }
}

}  // namespace
}  // namespace amberswitch
