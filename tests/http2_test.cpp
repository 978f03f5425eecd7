// HTTP/2 sessions without a socket: two of them joined back to back, hostile peers byte for byte, and random
// steps against a model of a stream's states on both sides.
#include <gtest/gtest.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <map>

#include "http2/session.hpp"
#include "standins/grpc.hpp"

namespace amberswitch::http2 {
namespace {

using namespace std::chrono_literals;
using standins::frame;
using standins::kPreface;

struct End2 : Exchange {  // one side of a stream, with what it saw
    Fields head, tail;
    std::string got, out;
    bool ends = false, headedOnce = false, peerEnded = false, over = false, refusesToRead = false;
    int heads = 0, ends_ = 0, closes = 0;
    Ending ending;
    Fields trailers_;
    std::size_t unread = 0;
    Session* session = nullptr;
    StreamId id = 0;

    void headed(Time, Fields fields) override { ++heads, head = std::move(fields); }
    void received(Time now, std::string_view bytes) override {
        EXPECT_FALSE(peerEnded) << "nothing comes after the end";
        EXPECT_EQ(heads, 1);
        got += bytes;
        if (refusesToRead)
            unread += bytes.size();
        else
            session->consumed(now, id, bytes.size());
    }
    void receivedAll(Time, Fields fields) override { ++ends_, peerEnded = true, tail = std::move(fields); }
    std::size_t pull(Time, std::span<char> into, bool& last) override {
        const std::size_t n = std::min(into.size(), out.size());
        std::copy_n(out.data(), n, into.data());
        out.erase(0, n);
        last = ends && out.empty();
        return n;
    }
    Fields trailers() override { return trailers_; }
    void closed(Time, const Ending& how) override { ++closes, over = true, ending = how; }
};

struct Plain : Session {
    Plain(Side side, const Limits& limits, Deadlines& deadlines, Counters& counters, Time now)
        : Session(side, limits, deadlines, counters, now) {}
    std::shared_ptr<Exchange> begun(Time, StreamId id) override {
        if (refuses) return nullptr;
        auto made = std::make_shared<End2>();
        made->session = this, made->id = id;
        served[id] = made;
        return made;
    }
    void gone(Time, End how) override { over = true, why = how; }
    std::map<StreamId, std::shared_ptr<End2>> served;
    bool refuses = false, over = false;
    End why = End::served;
};

struct Http2 : testing::Test {
    Time now{100s};
    Deadlines deadlines;
    Counters counters, others;
    Limits limits;
    std::shared_ptr<Plain> server, client;

    void join() {
        server = std::make_shared<Plain>(Session::Side::server, limits, deadlines, counters, now);
        client = std::make_shared<Plain>(Session::Side::client, limits, deadlines, others, now);
        client->opened(now);
        shuttle();
    }
    // Moves what either side has to say, in pieces of at most `most`.
    void shuttle(std::size_t most = 4096) {
        for (bool moved = true; moved;) {
            moved = false;
            for (const auto& [from, to] : {std::pair{client, server}, {server, client}}) {
                if (!from || !to || from->over || to->over) continue;
                const auto bytes = from->out().pending();
                if (bytes.empty()) continue;
                const std::size_t n = std::min(most, bytes.size());
                const std::size_t taken = to->in().put({bytes.data(), n});
                from->out().sent(taken);
                to->received(now);
                from->sent(now);
                moved = true;
            }
        }
    }
    void pass(Nanos time) {
        for (Nanos done{0}; done < time; done += 50ms) now += 50ms, deadlines.sweep(now), shuttle();
    }
    std::shared_ptr<End2> call(std::string body, bool ends = true) {
        auto made = std::make_shared<End2>();
        made->session = client.get(), made->out = std::move(body), made->ends = ends;
        const auto id = client->open(now,
                                     {{":method", "POST"},
                                      {":scheme", "http"},
                                      {":path", "/a.B/C"},
                                      {":authority", "x"},
                                      {"x-a", "1"},
                                      {"x-a", "2"}},
                                     made);
        if (id) made->id = *id;
        return made;
    }
    // A server alone, to which bytes are said.
    std::string say(std::string bytes) {
        std::string heard;
        while (!bytes.empty() && !server->over) {
            bytes.erase(0, server->in().put(bytes));
            server->received(now);
            heard += hear();
        }
        return heard += hear();
    }
    std::string hear() {
        std::string heard;
        while (!server->out().empty()) {
            const auto bytes = server->out().pending();
            heard.append(bytes.data(), bytes.size());
            server->out().sent(bytes.size());
            server->sent(now);
        }
        return heard;
    }
    std::string alone() {
        server = std::make_shared<Plain>(Session::Side::server, limits, deadlines, counters, now);
        return hear();
    }
    static bool has(const std::string& bytes, unsigned char type) {
        standins::RawPeer peer;
        peer.heard = bytes;
        return peer.heardFrame(type);
    }
};

TEST_F(Http2, CarriesHeadsBodiesAndTrailersInOrder) {
    join();
    const auto asked = call("hello");
    shuttle(1);
    const auto served = server->served.begin()->second;
    EXPECT_EQ(served->got, "hello");
    EXPECT_TRUE(served->peerEnded);
    EXPECT_EQ(served->head[4], (Field{"x-a", "1"}));
    EXPECT_EQ(served->head[5], (Field{"x-a", "2"}));
    served->out = "answer", served->ends = true;
    served->trailers_ = {{"grpc-status", "0"}, {"x-bin", "AA=="}, {"x-bin", "BB=="}};
    server->answer(now, served->id, {{":status", "200"}}, false);
    shuttle(3);
    EXPECT_EQ(asked->got, "answer");
    EXPECT_EQ(asked->tail, served->trailers_);
    EXPECT_EQ(asked->closes + served->closes, 2);
    EXPECT_EQ(asked->ending.code, Code::noError);
    EXPECT_EQ(server->streams() + client->streams(), 0u);
}

TEST_F(Http2, AReaderThatStopsHoldsAWindowAndDelaysNoOther) {
    join();
    const auto stuck = call(std::string(1 << 20, 'x'), true);
    shuttle();
    const auto at = server->served.at(stuck->id);
    EXPECT_EQ(at->got.size(), std::size_t{1} << 20) << "one that reads takes all";
    const auto second = call("", false);
    shuttle();
    server->served.at(second->id)->refusesToRead = true;
    second->out = std::string(1 << 20, 'y');
    client->resume(now, second->id);
    shuttle();
    EXPECT_LE(server->served.at(second->id)->got.size(), 65535u);
    EXPECT_GE(server->served.at(second->id)->got.size(), 60000u);
    const auto third = call(std::string(200'000, 'z'));
    shuttle();
    EXPECT_EQ(server->served.at(third->id)->got.size(), 200'000u);
    server->served.at(second->id)->refusesToRead = false;
    server->consumed(now, second->id, server->served.at(second->id)->unread);
    shuttle();
    EXPECT_EQ(server->served.at(second->id)->got.size(), std::size_t{1} << 20);
}

TEST_F(Http2, AGoawayDrainsAConnection) {
    join();
    const auto first = call("a", false), second = call("b", false);
    shuttle();
    server->leave(now, first->id);
    shuttle();
    EXPECT_TRUE(second->over);
    EXPECT_TRUE(second->ending.goneAway);
    EXPECT_TRUE(second->ending.unseen);
    EXPECT_FALSE(first->over);
    EXPECT_FALSE(client->usable());
    EXPECT_EQ(client->open(now, {{":method", "POST"}}, std::make_shared<End2>()), std::nullopt);
    first->ends = true;
    client->resume(now, first->id);
    shuttle();
    server->served.at(first->id)->ends = true;
    server->answer(now, first->id, {{":status", "200"}}, false);
    shuttle();
    EXPECT_EQ(first->closes, 1);
    EXPECT_FALSE(first->ending.connection);
    EXPECT_TRUE(server->finished());
}

TEST_F(Http2, ABrokenConnectionTellsWhatWasNeverWritten) {
    join();
    const auto written = call("a", false);
    shuttle();
    const auto unwritten = call("b", false);
    ASSERT_FALSE(client->out().empty());
    auto lent = std::make_shared<Plain>(Session::Side::client, limits, deadlines, others, now);
    auto given = std::make_shared<End2>();
    lent->opened(now);
    lent->open(now, {{":method", "POST"}, {":scheme", "http"}, {":path", "/"}, {":authority", "x"}}, given);
    EXPECT_FALSE(lent->out().pending().empty());
    lent->ended(now, End::peerReset);
    EXPECT_FALSE(given->ending.unseen) << "the driver was given it: it may have arrived";
    client->ended(now, End::peerReset);
    EXPECT_FALSE(written->ending.unseen);
    EXPECT_TRUE(unwritten->ending.unseen);
    EXPECT_TRUE(unwritten->ending.connection);
    EXPECT_EQ(written->closes + unwritten->closes, 2);
}

// Guards against a machine that vanished: its connection stays open and quiet.
TEST_F(Http2, ABlackHoleIsFoundByPing) {
    limits.ping = 1s, limits.pong = 500ms;
    join();
    const auto asked = call("a", false);
    shuttle();
    pass(5s);
    EXPECT_FALSE(asked->over) << "the other side gives its sign";
    EXPECT_GT(others.pings, 2u);
    server = nullptr;
    for (int i = 0; i < 40; ++i) now += 50ms, deadlines.sweep(now);
    EXPECT_TRUE(asked->over);
    EXPECT_TRUE(asked->ending.connection);
    EXPECT_EQ(client->why, End::silent);
    EXPECT_EQ(others.blackHoles, 1u);
}

TEST_F(Http2, AnIdleConnectionSaysGoodbye) {
    limits.idle = 2s;
    join();
    pass(3s);
    EXPECT_TRUE(server->finished() || server->over);
    EXPECT_FALSE(client->usable());
}

// --- hostile peers ---
std::string settingsFrame() {
    return frame(4, 0, 0, "");
}

TEST_F(Http2, HalfAPrefaceEndsWithinThreeSeconds) {
    alone();
    say(std::string(kPreface.substr(0, 10)));
    for (int i = 0; i < 55 && !server->over; ++i) now += 50ms, deadlines.sweep(now);
    EXPECT_TRUE(server->over || server->finished());
    EXPECT_EQ(counters.ends[static_cast<std::size_t>(End::silent)], 1u);
    alone();
    say("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(server->over || server->finished());
    EXPECT_EQ(counters.ends[static_cast<std::size_t>(End::malformed)], 1u);
}

TEST_F(Http2, AHeaderBlockThatNeverEndsIsCutOff) {
    alone();
    say(std::string(kPreface) + settingsFrame() + frame(1, 0, 1, std::string("\x83\x86", 2)));
    EXPECT_FALSE(server->finished());
    std::string heard;
    for (int i = 0; i < 55 && !server->over; ++i) now += 50ms, deadlines.sweep(now), heard += hear();
    EXPECT_TRUE(has(heard, 7)) << "GOAWAY";
    EXPECT_TRUE(server->finished());
}

TEST_F(Http2, FloodsEndWithGoaway) {
    const std::string open = frame(1, 4, 1, std::string("\x83\x86\x84\x41\x01x", 6));
    const std::pair<const char*, std::string> floods[] = {
        {"SETTINGS", settingsFrame()},        {"PING", frame(6, 0, 0, "12345678")},
        {"empty DATA", frame(0, 0, 1, "")},   {"PRIORITY", frame(2, 0, 1, std::string("\0\0\0\0\0", 5))},
        {"CONTINUATION", frame(9, 0, 3, "")}, {"unknown", frame(99, 0, 0, "x")}};
    for (const auto& [name, piece] : floods) {
        alone();
        std::string heard = say(std::string(kPreface) + settingsFrame() + open);
        if (piece[3] == 9) heard += say(frame(1, 0, 3, std::string("\x83\x86", 2)));
        std::size_t sent = 0;
        for (; sent < 2000 && !server->over && !server->finished(); ++sent) heard += say(piece);
        EXPECT_LT(sent, 400u) << name;
        EXPECT_TRUE(has(heard, 7)) << name;
    }
    EXPECT_GE(counters.floods, 5u);
}

TEST_F(Http2, ARapidResetIsStopped) {
    alone();
    std::string heard = say(std::string(kPreface) + settingsFrame());
    std::size_t sent = 0;
    for (std::uint32_t id = 1; sent < 2000 && !server->over && !server->finished(); id += 2, ++sent)
        heard += say(frame(1, 4, id, std::string("\x83\x86\x84\x41\x01x", 6)) +
                     frame(3, 0, id, std::string("\0\0\0\x08", 4)));
    EXPECT_LT(sent, 400u);
    EXPECT_TRUE(has(heard, 7));
    EXPECT_EQ(server->streams(), 0u);
}

// Guards against taking an honest peer for a flood: signs of life beside work are borne.
TEST_F(Http2, PingsBesideWorkAreBorne) {
    alone();
    say(std::string(kPreface) + settingsFrame() + frame(1, 4, 1, std::string("\x83\x86\x84\x41\x01x", 6)));
    for (int i = 0; i < 2000; ++i) say(frame(0, 0, 1, "data") + frame(6, 0, 0, "12345678"));
    EXPECT_FALSE(server->finished());
    EXPECT_EQ(server->served.at(1)->got.size(), 8000u);
}

TEST_F(Http2, AHeadThatIsTooLongEndsItsStreamOnly) {
    join();
    auto big = std::make_shared<End2>();
    big->session = client.get();
    const auto id = client->open(now,
                                 {{":method", "POST"},
                                  {":scheme", "http"},
                                  {":path", "/"},
                                  {":authority", "x"},
                                  {"x-big", std::string(17'000, 'a')}},
                                 big);
    ASSERT_TRUE(id);
    const auto other = call("fine");
    shuttle();
    EXPECT_TRUE(big->over);
    EXPECT_EQ(big->ending.code, Code::enhanceYourCalm);
    EXPECT_EQ(counters.headsTooLong, 1u);
    EXPECT_EQ(server->served.size(), 1u);
    EXPECT_EQ(server->served.begin()->second->got, "fine");
}

// Who has not heard of the limit yet is refused stream by stream; who has acknowledged it breaks the
// protocol.
TEST_F(Http2, MoreStreamsThanAllowedAreRefused) {
    limits.streams = 3;
    for (const bool acknowledged : {false, true}) {
        alone();
        std::string heard = say(std::string(kPreface) + settingsFrame());
        if (acknowledged) heard += say(frame(4, 1, 0, ""));
        for (std::uint32_t id = 1; id < 13; id += 2)
            heard += say(frame(1, 4, id, std::string("\x83\x86\x84\x41\x01x", 6)));
        EXPECT_EQ(server->served.size(), 3u);
        EXPECT_EQ(has(heard, 3), !acknowledged) << "RST_STREAM";
        EXPECT_EQ(has(heard, 7), acknowledged) << "GOAWAY";
    }
}

TEST_F(Http2, AnAnswerNobodyTakesIsGivenUp) {
    join();
    const auto asked = call("a");
    shuttle();
    const auto served = server->served.at(asked->id);
    asked->refusesToRead = true;
    served->out = std::string(300'000, 'x'), served->ends = true;
    server->answer(now, asked->id, {{":status", "200"}}, false);
    server->complete(now, asked->id);
    shuttle();
    pass(2s);
    EXPECT_FALSE(asked->over);
    pass(1s);
    EXPECT_TRUE(asked->over);
    EXPECT_EQ(counters.notTaken, 1u);
    EXPECT_FALSE(server->over) << "its connection goes on";
}

// --- the model ---
// A stream's states as RFC 9113 has them, kept beside both sides; after each step what either side saw must
// be what the model allows.
TEST_F(Http2, BothSidesKeepToTheModelInRandomSteps) {
    limits.idle = 1h;
    join();
    boost::random::mt19937 engine(7);
    const auto roll = [&engine](int sides) {
        return boost::random::uniform_int_distribution<int>(0, sides - 1)(engine);
    };
    struct Model {
        std::shared_ptr<End2> asked, served;
        std::string sent, answered;  // all that was ever given to each side to send
        bool clientEnded = false, headed = false, serverEnded = false, reset = false;
    };
    std::vector<Model> open;
    std::size_t whole = 0, resets = 0, cut = 0;
    for (int step = 0; step < 10'000; ++step) {
        const int action = roll(12);
        if (action == 0 && open.size() < 20 && client->usable()) {
            Model m;
            m.asked = call("", false);
            open.push_back(m);
        } else if (action == 11 && roll(200) == 0) {  // the connection breaks
            client->ended(now, End::peerReset), server->ended(now, End::peerReset);
            for (const Model& m : open) {
                ASSERT_TRUE(m.asked->over);
                if (m.served) {
                    ASSERT_TRUE(m.served->over);
                }
                ++cut;
            }
            open.clear();
            join();
        } else if (action == 10) {
            shuttle(static_cast<std::size_t>(1 + roll(2000)));
        } else if (action == 9) {
            pass(50ms);
        } else if (!open.empty()) {
            Model& m = open[static_cast<std::size_t>(roll(static_cast<int>(open.size())))];
            if (!m.served)
                if (const auto at = server->served.find(m.asked->id); at != server->served.end())
                    m.served = at->second;
            const std::string piece(static_cast<std::size_t>(roll(30'000)),
                                    static_cast<char>('a' + roll(26)));
            if (action < 3 && !m.clientEnded && !m.asked->over) {
                m.sent += piece, m.asked->out += piece;
                client->resume(now, m.asked->id);
            } else if (action == 3 && !m.asked->over) {
                m.clientEnded = m.asked->ends = true;
                client->resume(now, m.asked->id);
            } else if (action < 6 && m.served && !m.served->over && !m.serverEnded) {
                m.answered += piece, m.served->out += piece;
                if (!std::exchange(m.headed, true))
                    server->answer(now, m.asked->id, {{":status", "200"}}, false);
                else
                    server->resume(now, m.asked->id);
            } else if (action == 6 && m.served && !m.served->over) {
                m.serverEnded = m.served->ends = true;
                m.served->trailers_ = {{"grpc-status", "0"}};
                if (!std::exchange(m.headed, true))
                    server->answer(now, m.asked->id, {{":status", "200"}}, false);
                else
                    server->resume(now, m.asked->id);
            } else if (action == 7 && roll(6) == 0 && !m.asked->over) {
                m.reset = true;
                client->reset(now, m.asked->id, Code::cancel);
            } else if (action == 8 && roll(6) == 0 && m.served && !m.served->over) {
                m.reset = true;
                server->reset(now, m.asked->id, Code::internalError);
            }
        }
        for (auto at = open.begin(); at != open.end();) {
            const Model& m = *at;
            ASSERT_LE(m.asked->heads, 1);
            ASSERT_LE(m.asked->ends_, 1);
            ASSERT_LE(m.asked->closes, 1);
            ASSERT_EQ(m.asked->got, m.answered.substr(0, m.asked->got.size()));
            if (m.served) {
                ASSERT_LE(m.served->ends_, 1);
                ASSERT_LE(m.served->closes, 1);
                ASSERT_EQ(m.served->got, m.sent.substr(0, m.served->got.size()));
                if (m.served->peerEnded) {
                    ASSERT_EQ(m.served->got.size(), m.sent.size());
                }
            }
            if (m.asked->peerEnded) {
                ASSERT_TRUE(m.serverEnded);
                ASSERT_EQ(m.asked->got.size(), m.answered.size());
                ASSERT_EQ(m.asked->tail.size(), 1u);
            }
            if (m.asked->over && (!m.served || m.served->over)) {
                const bool complete = m.asked->peerEnded;
                if (!m.reset) {
                    ASSERT_TRUE(complete) << "a stream ends by both ends, or by a reset";
                }
                complete ? ++whole : ++resets;
                at = open.erase(at);
            } else {
                ++at;
            }
        }
    }
    EXPECT_GT(whole, 100u);
    EXPECT_GT(resets, 20u);
    EXPECT_GT(cut, 5u);
    EXPECT_EQ(counters.floods + others.floods, 0u);
}

}  // namespace
}  // namespace amberswitch::http2
