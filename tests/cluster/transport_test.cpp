// Runs the transport contract for the TCP and the in-memory transport, and tests the TCP transport and the
// event loop.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <csignal>
#include <thread>

#include "cluster/common/tcp_transport.hpp"
#include "tests/cluster/loopback_peers.hpp"
#include "tests/cluster/simulation.hpp"
#include "tests/cluster/transport_contract.hpp"

namespace amberswitch::cluster {
namespace {

using testing::closedAddress;
using testing::RawConnection;
using testing::RawServer;
using testing::runUntil;

class MemoryFixture {
public:
    MemoryFixture() {
        caller = std::make_unique<simulation::MemoryTransport>(world_, network_, callerAddress());
        startCallee();
    }
    NodeAddress callerAddress() const { return {"10.0.0.1", 1}; }
    NodeAddress calleeAddress() const { return {"10.0.0.2", 1}; }
    NodeAddress unusedAddress() const { return {"10.0.0.3", 1}; }
    void startCallee() {
        callee = std::make_unique<simulation::MemoryTransport>(world_, network_, calleeAddress());
    }
    void stopCallee() { callee.reset(); }
    bool runUntil(const std::function<bool()>& holds) { return world_.runUntil(holds, testing::kTestLimit); }

private:
    simulation::World world_{42};
    simulation::Network network_{world_};

public:
    std::unique_ptr<Transport> caller;
    std::unique_ptr<Transport> callee;
};

class TcpFixture {
public:
    TcpFixture() : callee_address_{"127.0.0.1", 0} {
        auto made = std::make_unique<TcpTransport>(loop, NodeAddress{"127.0.0.1", 0});
        caller_address_ = made->address();
        caller = std::move(made);
        startCallee();
    }
    NodeAddress callerAddress() const { return caller_address_; }
    NodeAddress calleeAddress() const { return callee_address_; }
    NodeAddress unusedAddress() const { return unused_address_; }
    void startCallee() {
        auto made = std::make_unique<TcpTransport>(loop, callee_address_);
        callee_address_ = made->address();
        callee = std::move(made);
    }
    void stopCallee() { callee.reset(); }
    bool runUntil(const std::function<bool()>& holds) { return testing::runUntil(loop, holds); }

    EventLoop loop;

private:
    NodeAddress caller_address_;
    NodeAddress callee_address_;
    NodeAddress unused_address_ = closedAddress();

public:
    std::unique_ptr<Transport> caller;
    std::unique_ptr<Transport> callee;
};

using contract::CallRecorder;
using contract::echo;
using contract::kLongTimeout;
using contract::kShortTimeout;

std::string frameBytes(std::uint32_t length, std::uint64_t id, std::uint16_t kind, unsigned flags,
                       const std::string& body) {
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>(length >> shift);
    for (int shift = 56; shift >= 0; shift -= 8) bytes += static_cast<char>(id >> shift);
    for (int shift = 8; shift >= 0; shift -= 8) bytes += static_cast<char>(kind >> shift);
    return bytes + static_cast<char>(flags) + body;
}

std::string validFrame(std::uint64_t id, unsigned flags, const std::string& body) {
    return frameBytes(static_cast<std::uint32_t>(kFrameHeaderBytes + body.size()), id, 5, flags, body);
}

}  // namespace

TEST_CASE_TEMPLATE("a call is answered asynchronously", Fixture, MemoryFixture, TcpFixture) {
    contract::answersACall<Fixture>();
}
TEST_CASE_TEMPLATE("bodies of any bytes and size arrive", Fixture, MemoryFixture, TcpFixture) {
    contract::carriesAnyBytes<Fixture>();
}
TEST_CASE_TEMPLATE("replies reach their own calls", Fixture, MemoryFixture, TcpFixture) {
    contract::matchesAnswersToCalls<Fixture>();
}
TEST_CASE_TEMPLATE("a call to an address without a listener is not executed", Fixture, MemoryFixture,
                   TcpFixture) {
    contract::refusesWithoutListener<Fixture>();
}
TEST_CASE_TEMPLATE("a call that times out is unknown and its late reply is dropped", Fixture, MemoryFixture,
                   TcpFixture) {
    contract::timesOutAsUnknown<Fixture>();
}
TEST_CASE_TEMPLATE("a process calls itself", Fixture, MemoryFixture, TcpFixture) {
    contract::callsItself<Fixture>();
}
TEST_CASE_TEMPLATE("calls succeed after the callee restarts", Fixture, MemoryFixture, TcpFixture) {
    contract::survivesARestart<Fixture>();
}
TEST_CASE_TEMPLATE("a done callback can make further calls", Fixture, MemoryFixture, TcpFixture) {
    contract::callsFromDone<Fixture>();
}

TEST_CASE("tcp: all calls to one address share a connection") {
    EventLoop loop;
    RawServer server(loop);
    TcpTransport transport(loop, {"127.0.0.1", 0});
    CallRecorder first;
    CallRecorder second;
    transport.call(server.address, {5, "one"}, kLongTimeout, first.callback());
    transport.call(server.address, {5, "two"}, kLongTimeout, second.callback());
    const std::string expected = validFrame(1, 0, "one") + validFrame(2, 0, "two");
    REQUIRE(runUntil(
        loop, [&] { return !server.connections.empty() && server.connections[0]->received == expected; }));
    server.connections[0]->send(validFrame(2, 1, "2") + validFrame(77, 1, "unknown id") +
                                validFrame(1, 1, "1"));
    REQUIRE(runUntil(loop, [&] { return first.completions > 0 && second.completions > 0; }));
    CHECK(first.result.reply.body == "1");
    CHECK(second.result.reply.body == "2");
    CHECK(server.connections.size() == 1);
}

TEST_CASE("tcp: a connection that breaks gives unknown at once, and the next call connects again") {
    EventLoop loop;
    RawServer server(loop);
    TcpTransport transport(loop, {"127.0.0.1", 0});
    CallRecorder lost;
    const SteadyTime start = loop.now();
    transport.call(server.address, {5, "one"}, kLongTimeout, lost.callback());
    REQUIRE(runUntil(
        loop, [&] { return !server.connections.empty() && !server.connections[0]->received.empty(); }));
    SUBCASE("closed") {
        server.connections[0]->close();
    }
    SUBCASE("reset") {
        server.connections[0]->reset();
    }
    REQUIRE(runUntil(loop, [&] { return lost.completions > 0; }));
    CHECK(lost.result.verdict == CallStatus::unknown);
    CHECK(loop.now() - start < Millis(2000));
    CallRecorder next;
    transport.call(server.address, {5, "two"}, kLongTimeout, next.callback());
    REQUIRE(runUntil(
        loop, [&] { return server.connections.size() == 2 && !server.connections[1]->received.empty(); }));
    server.connections[1]->send(validFrame(2, 1, "ok"));
    REQUIRE(runUntil(loop, [&] { return next.completions > 0; }));
    CHECK(next.result.verdict == CallStatus::answered);
}

TEST_CASE("tcp: replies to calls of a broken connection end no call on the next connection") {
    EventLoop loop;
    RawServer server(loop);
    TcpTransport transport(loop, {"127.0.0.1", 0});
    CallRecorder before;
    transport.call(server.address, {5, "one"}, kLongTimeout, before.callback());
    REQUIRE(runUntil(
        loop, [&] { return !server.connections.empty() && !server.connections[0]->received.empty(); }));
    server.connections[0]->reset();
    REQUIRE(runUntil(loop, [&] { return before.completions > 0; }));
    CallRecorder after;
    transport.call(server.address, {5, "two"}, kLongTimeout, after.callback());
    REQUIRE(runUntil(
        loop, [&] { return server.connections.size() == 2 && !server.connections[1]->received.empty(); }));
    // Call ids are unique during the lifetime of the process, and a call is never sent again.
    CHECK(server.connections[1]->received == validFrame(2, 0, "two"));
    server.connections[1]->send(validFrame(1, 1, "late"));
    server.connections[1]->send(validFrame(2, 1, "own") + validFrame(2, 1, "own again"));
    REQUIRE(runUntil(loop, [&] { return after.completions > 0; }));
    CHECK(after.result.reply.body == "own");
    CallRecorder last;
    transport.call(server.address, {5, "three"}, kLongTimeout, last.callback());
    REQUIRE(runUntil(loop, [&] { return server.connections[1]->count("three") == 1; }));
    CHECK(last.completions == 0);
    server.connections[1]->send(validFrame(3, 1, "third"));
    REQUIRE(runUntil(loop, [&] { return last.completions > 0; }));
    CHECK(last.result.reply.body == "third");
    CHECK(before.completions == 1);
    CHECK(before.result.verdict == CallStatus::unknown);
    CHECK(after.completions == 1);
}

TEST_CASE("tcp: a reply is sent only on the connection of its request") {
    EventLoop loop;
    TcpTransport transport(loop, {"127.0.0.1", 0});
    std::vector<Responder> waiting;
    transport.serve([&](const Envelope&, Responder respond) { waiting.push_back(std::move(respond)); });
    RawConnection first(loop, transport.address());
    first.send(validFrame(1, 0, "one"));
    REQUIRE(runUntil(loop, [&] { return waiting.size() == 1; }));
    SUBCASE("closed") {
        first.close();
    }
    SUBCASE("reset") {
        first.reset();
    }
    // The caller connects again and numbers its calls from 1, as a restarted process does.
    RawConnection second(loop, transport.address());
    second.send(validFrame(1, 0, "another"));
    REQUIRE(runUntil(loop, [&] { return waiting.size() == 2; }));
    waiting[0]({5, "to the first"});
    waiting[1]({5, "to the second"});
    const std::string expected = validFrame(1, 1, "to the second");
    REQUIRE(runUntil(loop, [&] { return second.received.size() >= expected.size(); }));
    CHECK(second.received == expected);
}

TEST_CASE("tcp: a call whose frame was never written is not executed when the connection breaks") {
    EventLoop loop;
    RawServer server(loop);
    TcpTransport transport(loop, {"127.0.0.1", 0});
    const std::string large(40'000'000, 'x');
    CallRecorder first;
    CallRecorder last;
    transport.call(server.address, {5, large}, kLongTimeout, first.callback());
    REQUIRE(runUntil(loop, [&] { return server.connections.size() == 1; }));
    server.connections[0]->stopReading();
    transport.call(server.address, {5, "behind it"}, kLongTimeout, last.callback());
    loop.runOnce();
    server.connections[0]->reset();
    REQUIRE(runUntil(loop, [&] { return first.completions > 0 && last.completions > 0; }));
    CHECK(first.result.verdict == CallStatus::unknown);
    CHECK(last.result.verdict == CallStatus::not_executed);
}

TEST_CASE("tcp: the connection to an unresponsive peer is closed after a timeout") {
    EventLoop loop;
    RawServer server(loop);
    TcpTransport transport(loop, {"127.0.0.1", 0});
    CallRecorder quick;
    CallRecorder slow;
    CallRecorder open;
    transport.call(server.address, {5, "quick"}, kShortTimeout, quick.callback());
    transport.call(server.address, {5, "slow"}, Millis(1100), slow.callback());
    transport.call(server.address, {5, "open"}, kLongTimeout, open.callback());
    REQUIRE(runUntil(loop, [&] { return quick.completions > 0; }));
    CHECK(quick.result.verdict == CallStatus::unknown);
    CHECK_FALSE(server.connections[0]->closed);  // not yet considered unresponsive
    REQUIRE(runUntil(loop, [&] { return open.completions > 0; }));
    CHECK(slow.result.verdict == CallStatus::unknown);
    CHECK(open.result.verdict == CallStatus::unknown);
    REQUIRE(runUntil(loop, [&] { return server.connections[0]->closed; }));
}

TEST_CASE("tcp: a call that times out while connecting is not executed") {
    EventLoop loop;
    // The backlog of this listener is full, so further connections are not established.
    const Socket listener = listenOn({"127.0.0.1", 0});
    REQUIRE(listen(listener.descriptor(), 0) == 0);
    const NodeAddress address = localAddress(listener.descriptor());
    RawConnection filler(loop, address);
    RawConnection second_filler(loop, address);
    loop.runOnce();
    TcpTransport transport(loop, {"127.0.0.1", 0});
    CallRecorder quick;
    CallRecorder patient;
    const SteadyTime start = loop.now();
    transport.call(address, {5, "quick"}, kShortTimeout, quick.callback());
    transport.call(address, {5, "patient"}, kLongTimeout, patient.callback());
    REQUIRE(runUntil(loop, [&] { return quick.completions > 0; }));
    CHECK(quick.result.verdict == CallStatus::not_executed);
    CHECK(patient.completions == 0);
    REQUIRE(runUntil(loop, [&] { return patient.completions > 0; }));
    CHECK(patient.result.verdict == CallStatus::not_executed);
    CHECK(loop.now() - start >= Millis(300));
    CHECK(loop.now() - start < Millis(900));
}

TEST_CASE("tcp: frames are reassembled from arbitrary fragments") {
    EventLoop loop;
    TcpTransport transport(loop, {"127.0.0.1", 0});
    std::vector<std::string> handled;
    transport.serve([&](const Envelope& request, const Responder& respond) {
        handled.push_back(request.body);
        respond({5, "got " + request.body});
    });
    RawConnection client(loop, transport.address());
    const std::string bytes = validFrame(1, 0, "first") + validFrame(2, 0, "") + validFrame(3, 0, "third");
    for (const char letter : bytes) {
        client.send(std::string(1, letter));
        REQUIRE(runUntil(loop, [&] { return client.sentAll(); }));
    }
    const std::string answers =
        validFrame(1, 1, "got first") + validFrame(2, 1, "got ") + validFrame(3, 1, "got third");
    REQUIRE(runUntil(loop, [&] { return client.received.size() == answers.size(); }));
    CHECK(client.received == answers);
    CHECK(handled == std::vector<std::string>{"first", "", "third"});
}

TEST_CASE("tcp: an invalid frame closes the connection and reaches no handler") {
    EventLoop loop;
    TcpTransport transport(loop, {"127.0.0.1", 0});
    int handled = 0;
    transport.serve([&](const Envelope&, const Responder&) { ++handled; });
    RawConnection client(loop, transport.address());
    SUBCASE("over the limit") {
        client.send(frameBytes(kMaxFrameBytes + 1, 1, 5, 0, ""));
    }
    SUBCASE("too short") {
        client.send(frameBytes(kFrameHeaderBytes - 1, 1, 5, 0, ""));
    }
    SUBCASE("unknown flags") {
        client.send(frameBytes(kFrameHeaderBytes, 1, 5, 6, ""));
    }
    SUBCASE("text") {
        client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    REQUIRE(runUntil(loop, [&] { return client.closed; }));
    CHECK(handled == 0);
}

TEST_CASE("tcp: a truncated request reaches no handler") {
    EventLoop loop;
    TcpTransport transport(loop, {"127.0.0.1", 0});
    int handled = 0;
    transport.serve([&](const Envelope&, const Responder&) { ++handled; });
    RawConnection client(loop, transport.address());
    client.send(validFrame(1, 0, "cut short").substr(0, 20));
    REQUIRE(runUntil(loop, [&] { return client.sentAll(); }));
    client.shutdownSending();
    REQUIRE(runUntil(loop, [&] { return client.closed; }));
    CHECK(handled == 0);
}

TEST_CASE("tcp: a call with a body over the limit throws") {
    EventLoop loop;
    TcpTransport transport(loop, {"127.0.0.1", 0});
    CallRecorder outcome;
    CHECK_THROWS_AS(transport.call(transport.address(), {5, std::string(kMaxBodyBytes + 1, 'x')},
                                   kLongTimeout, outcome.callback()),
                    std::length_error);
    CHECK(outcome.completions == 0);
}

TEST_CASE("tcp: an address that cannot be listened on throws SocketError") {
    EventLoop loop;
    CHECK_THROWS_AS(TcpTransport(loop, {"not an address", 1}), SocketError);
    CHECK_THROWS_AS(TcpTransport(loop, {"192.0.2.1", 1}), SocketError);
}

TEST_CASE("loop: timers run in order, never early, and not after they are cancelled") {
    EventLoop loop;
    std::vector<int> ran;
    const SteadyTime start = loop.now();
    const TimerHandle late = loop.after(Millis(30), [&] {
        ran.push_back(30);
        CHECK(loop.now() - start >= Millis(30));
    });
    const TimerHandle early = loop.after(Millis(10), [&] {
        ran.push_back(10);
        CHECK(loop.now() - start >= Millis(10));
    });
    TimerHandle cancelled = loop.after(Millis(5), [&] { ran.push_back(5); });
    cancelled.reset();
    REQUIRE(runUntil(loop, [&] { return ran.size() == 2; }));
    CHECK(ran == std::vector<int>{10, 30});
}

TEST_CASE("loop: a timer can destroy itself and others") {
    EventLoop loop;
    TimerHandle one;
    TimerHandle two;
    int ran = 0;
    one = loop.after(Millis(1), [&] {
        ++ran;
        two.reset();
        one.reset();
    });
    two = loop.after(Millis(1), [&] {
        ++ran;
        one.reset();
        two.reset();
    });
    REQUIRE(runUntil(loop, [&] { return ran > 0 && !one && !two; }));
    CHECK(ran == 1);
}

TEST_CASE("loop: work posted by other threads runs on the loop's thread") {
    constexpr int kPosts = 1000;
    EventLoop loop;
    const std::thread::id here = std::this_thread::get_id();
    int ran = 0;
    std::thread other([&] {
        for (int index = 0; index < kPosts; ++index) {
            loop.post([&] {
                CHECK(std::this_thread::get_id() == here);
                ++ran;
            });
        }
    });
    CHECK(runUntil(loop, [&] { return ran == kPosts; }));
    other.join();
}

TEST_CASE("loop: run returns on stop, handles signals, and rethrows exceptions of callbacks") {
    EventLoop loop;
    loop.onSignal(SIGUSR1, [&] { loop.stop(); });
    loop.post([] { std::raise(SIGUSR1); });
    loop.run();
    loop.post([] { throw std::runtime_error("from a callback"); });
    CHECK_THROWS_WITH(loop.run(), "from a callback");
    const TimerHandle timer = loop.after(Millis(1), [] { throw std::runtime_error("from a timer"); });
    CHECK_THROWS_WITH(loop.run(), "from a timer");
}

}  // namespace amberswitch::cluster
