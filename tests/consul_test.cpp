// Consul as a farm source, on loopback against a stand-in that answers as Consul's published API does.
#include "platform/consul.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include "http/server.hpp"
#include "net/loop.hpp"

namespace amberswitch::platform {
namespace {

using namespace std::chrono_literals;

// Holds a blocking query until its index is old, as an agent does.
class StandIn {
public:
    explicit StandIn(net::Loop& loop)
        : loop_(loop), listener_(loop, {net::asio::ip::make_address("127.0.0.1"), 0}, [this](Time at) {
              return connections_.emplace_back(std::make_shared<Connection>(*this, at));
          }) {}
    std::string address() const { return "127.0.0.1:" + std::to_string(listener_.address().port()); }
    void set(std::uint64_t index, std::string body) {
        index_ = index, body_ = std::move(body);
        for (const auto& connection : connections_) connection->look();
    }
    void breakOff() {
        for (const auto& connection : connections_) connection->hangUp();
    }
    std::vector<std::string> targets;
    std::string token;
    int status = 200;

private:
    struct Connection : http::Server {
        Connection(StandIn& o, Time at) : http::Server(o.loop_.deadlines(), at), owner(o) {}
        void request(Time, http::Message message) override {
            owner.targets.push_back(message.target);
            if (const auto* const given = message.header("x-consul-token")) owner.token = *given;
            asked = 0;
            const std::string query = message.target.substr(message.target.find('?') + 1);
            for (const auto& [key, value] : http::pairs(query, '&'))
                if (key == "index") asked = *http::wholeNumber(value);
            waiting = true;
            look();
        }
        void look() {
            if (!waiting || owner.index_ == asked) return;
            waiting = false;
            reply(owner.loop_.now(), owner.status, owner.body_,
                  "X-Consul-Index: " + std::to_string(owner.index_) + "\r\n");
        }
        void hangUp() { drop(); }
        StandIn& owner;
        std::uint64_t asked = 0;
        bool waiting = false;
    };
    net::Loop& loop_;
    std::vector<std::shared_ptr<Connection>> connections_;
    net::Listener listener_;
    std::uint64_t index_ = 1;
    std::string body_ = "[]";
};

std::string healthy(const std::string& id, const std::string& status, const std::string& host = "127.0.0.9") {
    return R"({"Node":{"Node":"n","Address":"127.0.0.8","Datacenter":"plovdiv-1"},"Service":{"ID":")" + id +
           R"(","Service":"job-server","Address":")" + host + R"(","Port":)" + std::to_string(3000 + id[0]) +
           R"(,"Meta":{"type":"slow-4","group":"4"},"Weights":{"Passing":2,"Warning":1}},)" +
           R"("Checks":[{"CheckID":"serfHealth","Status":"passing"},{"CheckID":"own","Status":")" + status +
           "\"}]}";
}

struct ConsulTest : testing::Test, wire::Connector {
    static settings::Site site() {
        settings::Site s;
        s.classes = {"car-match"}, s.zones = {"sofia-1", "plovdiv-1"}, s.kinds = {"std-4", "slow-4"};
        s.module.classes.resize(1);
        s.module.classes[0].clientTimeout = 8s, s.module.classes[0].targetLatency = 400ms;
        s.module.zones = s.module.kinds = 2, s.module.rosterOnRequest = true;
        s.idleClose = 5s, s.connectTimeout = 250ms;
        return s;
    }
    void connect(Time, std::shared_ptr<wire::Machine> machine, const std::string& address) override {
        net::Link::connect(loop, std::move(machine), *net::endpointOf(address));
    }
    bool until(const std::function<bool()>& done) {
        const auto guard = std::chrono::steady_clock::now() + 10s;  // a failure's bound, not a proof
        while (!done() && std::chrono::steady_clock::now() < guard) loop.poll();
        return done();
    }
    ConsulConfig config(bool health = true) {
        ConsulConfig c;
        c.address = agent.address(), c.service = "job server", c.token = "t", c.health = health;
        return c;
    }
    bool on(const std::string& name) { return core.accepts(core.handleOf(name)); }
    Time now{100s};
    net::Loop loop{[this] { return now; }};
    Core core{site(), 1, loop.deadlines()};
    Servers servers{core, loop.deadlines(), *this};
    StandIn agent{loop};
};

TEST_F(ConsulTest, FollowsTheHealthOfAService) {
    agent.set(7, "[" + healthy("a", "passing") + "," + healthy("b", "critical") + "," +
                     healthy("c", "warning", "") + "]");
    Consul consul(core, servers, loop.deadlines(), *this, config());
    core.addRosterSource(consul);
    consul.watch(now);
    ASSERT_TRUE(until([&] { return on("a"); }));
    EXPECT_FALSE(on("b"));  // critical: nothing new
    EXPECT_TRUE(on("c"));
    EXPECT_EQ(agent.targets[0], "/v1/health/service/job%20server?wait=30s");
    EXPECT_EQ(agent.token, "t");
    now += 100ms;  // the pause between calls
    ASSERT_TRUE(until([&] { return agent.targets.size() == 2; }));
    EXPECT_EQ(agent.targets[1], "/v1/health/service/job%20server?wait=30s&index=7");
    agent.set(8, "[" + healthy("b", "passing") + "]");
    ASSERT_TRUE(until([&] { return on("b"); }));
    EXPECT_FALSE(on("a"));  // no longer listed
    agent.set(3, "[" + healthy("a", "passing") + "]");
    now += 100ms;
    ASSERT_TRUE(until([&] { return on("a"); }));
    now += 100ms;
    ASSERT_TRUE(until([&] { return agent.targets.size() == 4; }));
    EXPECT_EQ(agent.targets[3].find("index="), std::string::npos);  // it went back: from the start
    const auto updates = core.counters().rosterUpdates;
    agent.set(9, "[" + healthy("a", "passing") + "]");  // an index that moved and nothing else
    ASSERT_TRUE(until([&] { return consul.view().counters().answers == 4; }));
    EXPECT_EQ(core.counters().rosterUpdates, updates) << "only changes go on";
}

// A start where Consul is away begins with the kept view, as stale; the first answer replaces it.
TEST_F(ConsulTest, AStartBeginsWithTheKeptView) {
    ConsulConfig kept = config();
    kept.keep.file = testing::TempDir() + "amberswitch-consul-" + std::to_string(::getpid());
    {
        agent.set(3, "[" + healthy("a", "passing") + "," + healthy("b", "passing") + "]");
        Consul before(core, servers, loop.deadlines(), *this, kept);
        before.watch(now);
        ASSERT_TRUE(until([&] { return on("a") && on("b"); }));
        now += 1s;
        loop.poll();
        EXPECT_EQ(before.keeper().counters().saved, 1u);
        before.end(now);
    }
    Core later(site(), 2, loop.deadlines());
    Servers pool(later, loop.deadlines(), *this);
    Consul after(later, pool, loop.deadlines(), *this, kept);
    after.begin(now);
    EXPECT_TRUE(later.accepts(later.handleOf("a")) && later.accepts(later.handleOf("b")));
    agent.set(4, "[" + healthy("b", "passing") + "]");
    after.watch(now);
    ASSERT_TRUE(until([&] { return !later.accepts(later.handleOf("a")); }));
    EXPECT_TRUE(later.accepts(later.handleOf("b")));
    ::unlink(kept.keep.file.c_str());
}

// Good news of a flapper is held down, through the source, and comes when its time is up.
TEST_F(ConsulTest, AFlapperIsHeldDown) {
    agent.set(1, "[" + healthy("a", "passing") + "]");
    Consul consul(core, servers, loop.deadlines(), *this, config());
    core.addRosterSource(consul);
    consul.watch(now);
    ASSERT_TRUE(until([&] { return on("a"); }));
    std::uint64_t index = 1, answers = 1;
    const auto says = [&](const char* status) {
        now += 100ms;
        agent.set(++index, "[" + healthy("a", status) + "]");
        ++answers;
        ASSERT_TRUE(until([&] { return consul.view().counters().answers == answers; }));
    };
    for (int flap = 0; flap < 3; ++flap) {
        says("critical");
        EXPECT_FALSE(on("a")) << "bad news counts at once";
        says("passing");
        EXPECT_EQ(on("a"), flap == 0);
    }
    EXPECT_EQ(consul.view().heldDown(), 1u);
    now = *consul.view().heldUntil("a") - 1ms;
    for (int i = 0; i < 5; ++i) loop.poll();
    EXPECT_FALSE(on("a"));
    now += 2ms;
    EXPECT_TRUE(until([&] { return on("a"); }));
}

TEST_F(ConsulTest, ReadsTheCatalogue) {
    agent.set(
        2,
        R"([{"Node":"n","Address":"127.0.0.8","Datacenter":"sofia-1","ServiceID":"a","ServiceAddress":"",)"
        R"("ServicePort":3000,"ServiceMeta":{"type":"std-4"},"ServiceWeights":{"Passing":1,"Warning":1}}])");
    Consul consul(core, servers, loop.deadlines(), *this, config(false));
    consul.watch(now);
    ASSERT_TRUE(until([&] { return on("a"); }));
    EXPECT_EQ(agent.targets[0].find("/v1/catalog/service/"), 0u);
}

// Guards against losing the farm with its source: the old list holds, and the module says when to ask again.
TEST_F(ConsulTest, AFailureIsToldAndTheOldListHolds) {
    agent.set(7, "[" + healthy("a", "passing") + "]");
    Consul consul(core, servers, loop.deadlines(), *this, config());
    core.addRosterSource(consul);
    consul.watch(now);
    ASSERT_TRUE(until([&] { return on("a"); }));
    now += 100ms;
    ASSERT_TRUE(until([&] { return agent.targets.size() == 2; }));
    agent.breakOff();
    ASSERT_TRUE(until([&] { return core.counters().rosterLosses == 1; }));
    EXPECT_TRUE(on("a"));
    EXPECT_FALSE(consul.running());
    for (int i = 0; i < 100 && !consul.running(); ++i) now += 100ms, loop.poll();
    EXPECT_TRUE(consul.running());
    agent.status = 500;
    agent.set(9, "no list");
    ASSERT_TRUE(until([&] { return core.counters().rosterLosses == 2; }));
    EXPECT_TRUE(on("a"));
}

TEST(ConsulConfig, NamesTheFieldThatIsWrong) {
    const auto fault = [](const std::string& text) -> std::string {
        simdjson::dom::parser parser;
        try {
            readConsul(settings::Node(settings::element(parser.parse(text)), "consul"));
        } catch (const settings::BadField& bad) {
            return bad.what();
        }
        return "taken";
    };
    EXPECT_EQ(fault("{}"), "taken");
    EXPECT_EQ(fault(R"({"address":"127.0.0.1:8500"})"), "consul.service: is missing");
    EXPECT_EQ(fault(R"({"api":"agent"})"), "consul.api: there is no api 'agent'");
    EXPECT_EQ(fault(R"({"wait_s":0})"), "consul.wait_s: is not from 1 to 600");
}

}  // namespace
}  // namespace amberswitch::platform
