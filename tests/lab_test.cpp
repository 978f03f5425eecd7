// The laboratory's own parts: scripts that can't be used, the ways between processes, and books that see what
// is wrong.
#include <gtest/gtest.h>

#include "lab/books.hpp"
#include "lab/relay.hpp"
#include "lab/script.hpp"
#include "settings/settings.hpp"

namespace amberswitch::lab {
namespace {

using namespace std::chrono_literals;

TEST(Script, NamesFilePathAndReason) {
    for (const auto& [text, expected] :
         {std::pair<std::string, std::string>{"{", "the file: is not valid JSON"},
          {R"({"dispatcher":3})", "dispatcher: there is no such field"},
          {R"({"dispatchers":0})", "dispatchers: is not from 1 to 500"},
          {R"({"list":{"mode":"poll"}})", "list.mode: there is no mode 'poll'"},
          {R"({"faults":[{"do":"kill"}]})", "faults[0]: says neither whom nor a share"},
          {R"({"faults":[{"do":"kill","whom":[3]}]})", "faults[0].whom[0]: is not from 0 to 2"},
          {R"({"faults":[{"do":"list_down","when":{"after":"x"}}]})",
           "faults[0].when.after: there is no fault 'x'"}}) {
        try {
            parseScript("s.json", text);
            ADD_FAILURE() << text;
        } catch (const settings::BadField& bad) {
            EXPECT_EQ(std::string(bad.what()).find("s.json: " + expected), 0u) << bad.what();
        }
    }
}

// A machine that writes down what it hears, and a driver that takes what is to be sent.
struct Heard : wire::Machine {
    void opened(Time) override { ++opens; }
    void received(Time) override {
        while (!in().empty()) {
            const auto bytes = in().front();
            text.append(bytes.data(), bytes.size());
            in().taken(bytes.size());
            ++times;
        }
    }
    void ended(Time, End how) override { end = how; }
    bool finished() const override { return false; }
    using wire::Machine::drop;
    using wire::Machine::wake;
    std::string text;
    int opens = 0, times = 0;
    std::optional<End> end;
};
struct Socket : wire::Driver {
    void wake() override {}
    void drop() override { dropped = true; }
    bool dropped = false;
};

struct RelayTest : testing::Test {
    Deadlines deadlines;
    Time now = 1h;
    std::shared_ptr<Path> path = std::make_shared<Path>();
    std::shared_ptr<Heard> inner = std::make_shared<Heard>();
    Socket socket;
    std::shared_ptr<Relay> relay = std::make_shared<Relay>(
        deadlines, path, inner, [this] { return now; }, true);
    RelayTest() { relay->attach(&socket); }

    void come(const std::string& bytes) { relay->in().put(bytes), relay->received(now); }
    void go(const std::string& bytes) { inner->out().put(bytes), inner->wake(); }
    std::string out() {
        std::string all;
        while (!relay->out().empty()) {
            const auto bytes = relay->out().pending();
            all.append(bytes.data(), bytes.size());
            relay->out().sent(bytes.size());
        }
        return all;
    }
    void pass(Nanos time) {
        for (const Time until = now + time; now < until; now += 1ms) deadlines.sweep(now);
    }
};

TEST_F(RelayTest, HandsOnBothWays) {
    come("ab"), go("cd");
    EXPECT_EQ(inner->text, "ab");
    EXPECT_EQ(out(), "cd");
    relay->ended(now, End::peerClosed);
    EXPECT_EQ(inner->end, End::peerClosed);
}

TEST_F(RelayTest, DelaysThrottlesAndSplits) {
    path->delay = 50ms;
    come("ab");
    pass(49ms);
    EXPECT_EQ(inner->text, "");
    pass(3ms);
    EXPECT_EQ(inner->text, "ab");
    path->delay = Nanos(0), path->bytesPerSecond = 1000;
    come(std::string(100, 'x')), come("y");
    pass(95ms);
    EXPECT_EQ(inner->text, "ab");
    pass(10ms);
    EXPECT_EQ(inner->text.size(), 103u);
    path->bytesPerSecond = 0, path->split = 1, inner->times = 0;
    come("12345");
    pass(10ms);
    EXPECT_EQ(inner->times, 5);
    EXPECT_EQ(inner->text.substr(103), "12345");
}

// One way is cut: the other goes on, and what waited comes once it is mended, its end after it.
TEST_F(RelayTest, CutsOneWayAndMendsIt) {
    path->cutFrom = true;
    come("ab"), go("cd");
    relay->ended(now, End::peerReset);
    pass(1s);
    EXPECT_EQ(inner->text, "");
    EXPECT_FALSE(inner->end);
    EXPECT_EQ(out(), "cd");
    path->cutFrom = false, path->changed(now);
    EXPECT_EQ(inner->text, "ab");
    EXPECT_EQ(inner->end, End::peerReset);
}

TEST_F(RelayTest, BreaksInTheMiddleOfAMessage) {
    path->resetAfter = 3;
    come("abcdef");
    EXPECT_EQ(inner->text, "abc");
    EXPECT_EQ(inner->end, End::peerReset);
    EXPECT_TRUE(socket.dropped);
    EXPECT_TRUE(path->open.empty());
}

// What the checker must see, each of it once; and what it must not take for wrong.
TEST(Books, SeeWhatIsWrong) {
    const Time t = 1h;
    const auto wrongs = [t](bool repeats, auto&& play) {
        Books books(t, repeats);
        books.asked(t, "j", 4, t + 3s);
        play(books);
        books.close(t + 10s, t + 5s);
        return books.wrongs().empty() ? "" : books.wrongs()[0].substr(books.wrongs()[0].find(": ") + 2);
    };
    const auto serve = [t](Books& books) {
        books.attempted(t, "j", 4, 1), books.ended("j", 1, "r"), books.answered(t + 1s, "j", 200, "r");
    };
    EXPECT_EQ(wrongs(true, serve), "");
    EXPECT_EQ(wrongs(true, [&](Books& b) { serve(b), b.answered(t + 1s, "j", 200, "r"); }),
              "j has a second answer");
    EXPECT_EQ(wrongs(true, [&](Books& b) { b.answered(t + 1s, "j", 200, "r"); }),
              "j was served with what no job server made for it");
    EXPECT_EQ(wrongs(true, [&](Books& b) { b.answered(t + 4s, "j", 502, ""); }),
              "j was answered after its client gave up");
    EXPECT_EQ(wrongs(true, [&](Books&) {}), "j has no answer from n4");
    EXPECT_EQ(wrongs(true, [&](Books& b) { b.broke(t, "j"); }), "j lost: n4 ended its connection");
    EXPECT_EQ(wrongs(true, [&](Books& b) { b.excuse(4, t, t + 1s), b.broke(t, "j"); }), "");
    const auto twice = [&](Books& b) { b.attempted(t, "j", 4, 0), serve(b); };
    EXPECT_EQ(wrongs(true, twice), "");
    EXPECT_EQ(wrongs(false, twice), "j was sent again though it may have run");
    EXPECT_EQ(wrongs(false, [&](Books& b) { b.attempted(t, "j", 4, 0), b.neverRan("j", 0), serve(b); }), "");
    EXPECT_EQ(wrongs(true, [&](Books& b) { b.told(t - 3s, 4, 1, false), serve(b); }),
              "j came to s1 after n4 was told of its end");
    EXPECT_EQ(wrongs(true, [&](Books& b) { b.told(t - 2s, 4, 1, false), serve(b); }), "");
    EXPECT_EQ(
        wrongs(true, [&](Books& b) { b.told(t - 3s, 4, 1, false), b.told(t - 1s, 4, 1, true), serve(b); }),
        "");
    EXPECT_EQ(wrongs(true, [&](Books& b) { serve(b), b.fell(t, 2); }), "s2 was cold and was pushed over");
}

}  // namespace
}  // namespace amberswitch::lab
