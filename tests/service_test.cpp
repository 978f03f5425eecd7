// Tests of the operators' HTTP interface and of the service state, without sockets and on a simulated clock.
#include <gtest/gtest.h>

#include "control/control.hpp"
#include "world.hpp"

namespace amberswitch {
namespace {

using control::Control;
using service::Service;

// Collects the output of a machine and records whether it was dropped.
struct Wire : wire::Driver {
    explicit Wire(std::shared_ptr<wire::Machine> m) : machine(std::move(m)) { machine->attach(this); }
    ~Wire() override { machine->attach(nullptr); }
    void wake() override {}
    void drop() override { dropped = true; }
    std::string say(Time now, std::string_view bytes) {
        machine->in().put(bytes);
        machine->received(now);
        return take(now);
    }
    std::string take(Time now) {
        std::string all;
        while (!machine->out().empty()) {
            const auto bytes = machine->out().pending();
            all.append(bytes.data(), bytes.size());
            machine->out().sent(bytes.size());
            machine->sent(now);
        }
        return all;
    }
    bool closed() const { return dropped || machine->finished(); }
    std::shared_ptr<wire::Machine> machine;
    bool dropped = false;
};

struct ControlTest : testing::Test {
    std::string call(const std::string& line, const std::string& rest = "\r\n") {
        Wire caller(control.accept(now));
        const std::string answer = caller.say(now, line + " HTTP/1.1\r\nHost: x\r\n" + rest);
        EXPECT_TRUE(caller.closed()) << answer;  // one call per connection
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
        if (!caller.dropped) caller.machine->ended(now, End::peerClosed);
        return answer.substr(9);
    }
    void pass(Nanos time) {
        for (Nanos done{0}; done < time; done += 10ms) deadlines.sweep(now += 10ms);
    }
    Time now{1'000'000'000'000};
    Deadlines deadlines;
    Service service;
    Control control{deadlines, service, [] { return "router.forwards=7\n"; }, 8};
};

TEST_F(ControlTest, AnswersTheCallsOfThePage) {
    EXPECT_EQ(call("GET /control/ready").substr(0, 3), "503");  // starting
    service.begin(now);
    EXPECT_EQ(call("GET /control/ready").substr(0, 3), "200");
    EXPECT_NE(call("GET /control/counters").find("router.forwards=7\n"), std::string::npos);
    EXPECT_EQ(call("POST /control/in-service").substr(0, 3), "200");  // already in service: no change
    const Time since = service.since();
    pass(50ms);
    EXPECT_EQ(call("POST /control/out-of-service").substr(0, 3), "200");
    EXPECT_GT(service.since(), since);
    const Time out = service.since();
    pass(50ms);
    EXPECT_EQ(call("POST /control/out-of-service", "Content-Length: 3\r\n\r\nabc").substr(0, 3), "200");
    EXPECT_EQ(service.since(), out);
    EXPECT_EQ(call("GET /control/ready").substr(0, 3), "503");
    EXPECT_EQ(call("POST /control/in-service").substr(0, 3), "200");
    EXPECT_EQ(call("GET /control/ready").substr(0, 3), "200");
    service.end(now);
    EXPECT_EQ(call("POST /control/in-service").substr(0, 3), "409");  // ending is final
    EXPECT_EQ(call("POST /control/out-of-service").substr(0, 3), "409");
    EXPECT_NE(call("GET /control/counters").find("router.forwards=7\n"), std::string::npos);
    EXPECT_EQ(control.open(), 0u);
}

TEST_F(ControlTest, RefusesWhatIsNoCallClearly) {
    service.begin(now);
    EXPECT_EQ(call("GET /control").substr(0, 3), "404");
    EXPECT_EQ(call("GET /-/ready").substr(0, 3), "404");
    const std::string wrong = call("GET /control/out-of-service");
    EXPECT_EQ(wrong.substr(0, 3), "405");
    EXPECT_NE(wrong.find("Allow: POST\r\n"), std::string::npos);
    EXPECT_NE(call("POST /control/ready").find("Allow: GET\r\n"), std::string::npos);
    EXPECT_EQ(call("nonsense\r\n\r\n").substr(0, 3), "400");
    EXPECT_TRUE(service.ready());
}

TEST_F(ControlTest, RefusesAnOversizedHead) {
    Wire caller(control.accept(now));
    std::string answer = caller.say(now, "GET /control/ready HTTP/1.1\r\nX: ");
    for (int i = 0; i < 10 && answer.empty(); ++i) answer = caller.say(now, std::string(2000, 'x'));
    EXPECT_EQ(answer.substr(9, 3), "431");
    EXPECT_TRUE(caller.closed());
}

TEST_F(ControlTest, ReadsAHeadThatComesByteByByte) {
    service.begin(now);
    Wire caller(control.accept(now));
    std::string answer;
    for (const char byte : std::string_view("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
        answer += caller.say(now, {&byte, 1}), pass(10ms);
    EXPECT_EQ(answer.substr(9, 3), "200");
}

// Guards against connections without a complete request: they are closed within 3 s.
TEST_F(ControlTest, EndsCallersThatNeverAsk) {
    Wire mute(control.accept(now)), half(control.accept(now));
    half.say(now, "GET /control/re");
    pass(2400ms);
    EXPECT_FALSE(mute.closed() || half.closed());
    pass(600ms);
    EXPECT_TRUE(mute.dropped);
    EXPECT_EQ(half.take(now).substr(9, 3), "408");
    EXPECT_TRUE(half.closed());
}

// Guards against many incomplete requests keeping a complete one out: those that have sent least are closed
// first, the oldest of them before the others.
TEST_F(ControlTest, PushesOutWhoHasShownLeast) {
    service.begin(now);
    std::vector<std::unique_ptr<Wire>> crowd;
    for (int i = 0; i < 8; ++i) {
        crowd.push_back(std::make_unique<Wire>(control.accept(now)));
        if (i < 2) crowd.back()->say(now, "GET /con");  // the two oldest have sent part of a request
    }
    EXPECT_EQ(control.open(), control.maxConnections());
    EXPECT_EQ(call("GET /control/ready").substr(0, 3), "200");
    EXPECT_TRUE(crowd[2]->dropped);
    EXPECT_FALSE(crowd[0]->dropped || crowd[3]->dropped);
    for (int i = 0; i < 100; ++i) {
        crowd.push_back(std::make_unique<Wire>(control.accept(now)));
        EXPECT_LE(control.open(), control.maxConnections());
    }
    EXPECT_FALSE(crowd[0]->dropped);  // kept longer than silent connections
    EXPECT_EQ(control.counters().evicted, 100u);
}

TEST(ServiceTest, AnEndIsFinalAndADrainOfTheStartIsKept) {
    Time now{1};
    Service service;
    std::vector<std::string> heard;
    service.subscribe([&](Time, service::ServiceState was) {
        heard.push_back(std::string(nameOf(was)) + " > " + nameOf(service.state()));
    });
    EXPECT_TRUE(service.outOfService(now));  // before it was ever in service
    EXPECT_FALSE(service.ready());
    service.begin(now);
    EXPECT_FALSE(service.ready());
    EXPECT_TRUE(service.inService(now));
    EXPECT_TRUE(service.ready());
    service.outOfService(now);
    service.end(now);
    EXPECT_FALSE(service.inService(now));
    EXPECT_TRUE(service.ending());
    service.end(now);
    const std::vector<std::string> expected{"starting > out of service", "out of service > in service",
                                            "in service > out of service", "out of service > ending"};
    EXPECT_EQ(heard, expected);
}

}  // namespace
}  // namespace amberswitch
