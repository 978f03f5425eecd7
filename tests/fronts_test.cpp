// One loopback suite over three protocols: the same scenarios, played with stand-in clients and application
// servers of each, must end in the same counts. The clock is the test's own.
#include <gtest/gtest.h>

#include <map>

#include "gearman/front.hpp"
#include "grpc/front.hpp"
#include "grpc/servers.hpp"
#include "http/client.hpp"
#include "platform/front.hpp"
#include "standins/grpc.hpp"
#include "world.hpp"

namespace amberswitch {
namespace {

// --- the platform's HTTP ---
class HttpWorld : public World, public wire::Connector {
public:
    std::size_t submit(const std::string& className, const std::string& key,
                       const std::string& body) override {
        seen.emplace_back();
        clients_.push_back(std::make_shared<Client>(*this, seen.size() - 1));
        clients_.back()->ask("POST /" + className + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t" +
                             std::to_string(seen.size()) + "\r\nX-Qos: " + className +
                             (key.empty() ? "" : "\r\nIdempotency-Key: " + key) +
                             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        net::Link::connect(loop, clients_.back(), listener_.address());
        return seen.size() - 1;
    }
    void leave(std::size_t client) override { clients_[client]->close(now, End::peerClosed); }
    std::size_t addServer() override {
        servers_.push_back(std::make_unique<Server>(*this, servers_.size()));
        held.emplace_back();
        pool_.learn(now, core.handleOf(servers_.back()->name), servers_.back()->name,
                    port(servers_.back()->listener));
        list(servers_.size() - 1, WorkerStatus::on);
        return servers_.size() - 1;
    }
    void drain(std::size_t server) override { list(server, WorkerStatus::draining); }
    void vanish(std::size_t server) override {
        list(server, WorkerStatus::off);
        for (const std::string& id : std::exchange(servers_[server]->running, {}))
            call(server, id, "lost", "");
        EXPECT_TRUE(until([&] { return calls_ == 0; }));
    }
    void connect(Time, std::shared_ptr<wire::Machine> machine, const std::string& address) override {
        net::Link::connect(loop, std::move(machine), *net::endpointOf(address));
    }

private:
    struct Client : http::Client {
        Client(HttpWorld& w, std::size_t i) : world(w), index(i) {}
        void answered(Time, http::Message message, bool) override {
            Seen& seen = world.seen[index];
            seen.fate = message.status == 200                            ? Fate::served
                        : message.status == 503 || message.status == 429 ? Fate::unavailable
                                                                         : Fate::failed;
            seen.body = message.body;
            EXPECT_EQ(seen.fate == Fate::unavailable, message.header("retry-after") != nullptr);
        }
        void over(Time, End) override {}
        HttpWorld& world;
        std::size_t index;
    };
    struct Caller : http::Client {
        explicit Caller(HttpWorld& w) : world(w) { ++world.calls_; }
        void answered(Time, http::Message message, bool) override {
            EXPECT_EQ(message.status, 204);
            --world.calls_;
        }
        void over(Time, End) override {}
        HttpWorld& world;
    };
    struct Server {
        Server(HttpWorld& world, std::size_t i)
            : name("s" + std::to_string(i)), listener(world.loop, kAnyPort, [&world, i](Time at) {
                  return std::make_shared<Taker>(world, i, at);
              }) {}
        std::string name;
        net::Listener listener;
        std::vector<std::string> running;
    };
    struct Taker : http::Server {
        Taker(HttpWorld& w, std::size_t s, Time at)
            : http::Server(w.loop.deadlines(), at), world(w), server(s) {}
        void request(Time at, http::Message message) override {
            auto& running = world.servers_[server]->running;
            if (message.method == "DELETE") {
                std::erase(running, message.target.substr(6));
                return reply(at, 204, "");
            }
            const std::string id = *message.header("x-trace-id");
            running.push_back(id);
            reply(at, 202, "");
            world.call(server, id, "started", "");
            HttpWorld& w = world;
            const std::size_t s = server;
            const auto end = [&w, s, id](const char* state, const std::string& result) {
                std::erase(w.servers_[s]->running, id);
                w.call(s, id, state, result);
            };
            w.held[s].push_back({message.target.substr(1), message.body,
                                 [end](const std::string& result) { end("done", result); },
                                 [end] { end("failed", ""); }});
        }
        HttpWorld& world;
        std::size_t server;
    };

    void call(std::size_t server, const std::string& id, const std::string& state,
              const std::string& result) {
        const std::string body = R"({"id":")" + id + R"(","from":")" + servers_[server]->name +
                                 R"(","state":")" + state + R"(","result":")" + result + "\"}";
        const auto caller = std::make_shared<Caller>(*this);
        caller->ask("POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
        net::Link::connect(loop, caller, listener_.address());
    }
    void list(std::size_t server, WorkerStatus standing) {
        RosterServer entry;
        entry.name = servers_[server]->name;
        entry.entry.status = standing;
        entry.entry.cell = static_cast<int>(server);
        core.updateRoster(now, source_, pool_, RosterMode::incremental, {entry});
    }

    int calls_ = 0;
    RosterSource source_;
    platform::Servers pool_{core, loop.deadlines(), *this};
    service::Service service_;
    platform::Front front_{core, pool_, loop.deadlines(), service_};
    net::Listener listener_{loop, kAnyPort, [this](Time at) { return front_.accept(at); }};
    std::vector<std::shared_ptr<Client>> clients_;
    std::vector<std::unique_ptr<Server>> servers_;
};

// --- Gearman ---
class GearmanWorld : public World {
public:
    std::size_t submit(const std::string& className, const std::string& key,
                       const std::string& body) override {
        seen.emplace_back();
        clients_.push_back(std::make_shared<Client>(*this, seen.size() - 1));
        clients_.back()->say(gearman::Type::submitJob, {className, key, body});
        net::Link::connect(loop, clients_.back(), listener_.address());
        return seen.size() - 1;
    }
    void leave(std::size_t client) override { clients_[client]->hangUp(); }
    std::size_t addServer() override {
        held.emplace_back();
        workers_.push_back(std::make_shared<Worker>(*this, workers_.size()));
        const auto worker = workers_.back();
        for (const char* name : {"car-match", "job-assign"}) worker->say(gearman::Type::canDo, {name});
        worker->say(gearman::Type::preSleep, {});
        net::Link::connect(loop, worker, listener_.address());
        const auto before = front_.counters().packets;
        EXPECT_TRUE(until([&] { return front_.counters().packets >= before + 3; }));
        return workers_.size() - 1;
    }
    void drain(std::size_t server) override {
        const auto before = front_.counters().packets;
        workers_[server]->say(gearman::Type::resetAbilities, {});
        EXPECT_TRUE(until([&] { return front_.counters().packets > before; }));
    }
    void vanish(std::size_t server) override {
        const auto before = core.counters().rosterUpdates;
        workers_[server]->hangUp();
        EXPECT_TRUE(until([&] { return core.counters().rosterUpdates > before; }));
    }

private:
    struct Peer : wire::Machine {
        explicit Peer(GearmanWorld& w) : world(w) {}
        void say(gearman::Type type, std::initializer_list<std::string_view> arguments) {
            out().put(gearman::encode(true, type, arguments));
            wake();
        }
        void hangUp() { drop(); }
        void opened(Time) override { wake(); }
        void received(Time) override {
            while (!in().empty()) {
                const auto bytes = in().front();
                in().taken(decoder.feed({bytes.data(), bytes.size()}));
                ASSERT_FALSE(decoder.bad()) << decoder.fault();
                if (decoder.packetReady()) packet(decoder.takePacket());
            }
        }
        void ended(Time, End) override {}
        bool finished() const override { return false; }
        virtual void packet(const gearman::Packet& packet) = 0;
        GearmanWorld& world;
        gearman::Decoder decoder{false};
    };
    struct Client : Peer {
        Client(GearmanWorld& w, std::size_t i) : Peer(w), index(i) {}
        void packet(const gearman::Packet& packet) override {
            Seen& seen = world.seen[index];
            if (packet.type == gearman::Type::workWarning || packet.type == gearman::Type::error) {
                EXPECT_NE(packet.arguments[1].find("Retry-After: "), std::string::npos);
                refused = true;
            }
            if (packet.type == gearman::Type::workComplete)
                seen.fate = Fate::served, seen.body = packet.arguments[1];
            if (packet.type == gearman::Type::workFail || packet.type == gearman::Type::error)
                seen.fate = refused ? Fate::unavailable : Fate::failed;
        }
        std::size_t index;
        bool refused = false;
    };
    struct Worker : Peer {
        Worker(GearmanWorld& w, std::size_t i) : Peer(w), index(i) {}
        void packet(const gearman::Packet& packet) override {
            using gearman::Type;
            if (packet.type == Type::noop) say(Type::grabJob, {});
            if (packet.type == Type::noJob) say(Type::preSleep, {});
            if (packet.type != Type::jobAssign) return;
            const std::string handle = packet.arguments[0];
            world.held[index].push_back({packet.arguments[1], packet.arguments[2],
                                         [this, handle](const std::string& result) {
                                             say(Type::workComplete, {handle, result});
                                             say(Type::grabJob, {});
                                         },
                                         [this, handle] {
                                             say(Type::workFail, {handle});
                                             say(Type::grabJob, {});
                                         }});
        }
        std::size_t index;
    };

    gearman::Config config() const {
        gearman::Config c;
        for (const auto& klass : core.site().module.classes)
            c.functions.push_back({klass.clientTimeout, klass.clientTimeout, 1});
        return c;
    }
    gearman::Front front_{core, loop.deadlines(), config()};
    net::Listener listener_{loop, kAnyPort, [this](Time at) { return front_.accept(at); }};
    std::vector<std::shared_ptr<Client>> clients_;
    std::vector<std::shared_ptr<Worker>> workers_;
};

// --- gRPC ---
class GrpcWorld : public World, public wire::Connector {
public:
    static settings::Site widened() {
        settings::Site s = site();
        settings::addWire(s);
        return s;
    }
    static grpc::Config settingsOf() {
        grpc::Config c;
        c.listen = "127.0.0.1:0";
        c.routes = {{"/taxi.Dispatch/car-match", 0, 1, false}, {"/taxi.Dispatch/job-assign", 1, 1, false}};
        c.keepalive = Nanos(0);
        return c;
    }
    GrpcWorld() : World(widened()) { pool_.configure(now, config_); }

    std::size_t submit(const std::string& className, const std::string& key,
                       const std::string& body) override {
        seen.emplace_back();
        clients_.push_back(std::make_unique<standins::GrpcClient>(loop, listener_.address()));
        standins::GrpcClient::Ask ask;
        ask.path = "/taxi.Dispatch/" + className;
        ask.payloads = {body};
        if (!key.empty()) ask.metadata = {{"idempotency-key", key}};
        clients_.back()->call(now, ask);
        return seen.size() - 1;
    }
    void leave(std::size_t client) override { clients_[client]->hangUp(now); }
    std::size_t addServer() override {
        held.emplace_back();
        const std::size_t index = servers_.size();
        servers_.push_back(std::make_unique<standins::GrpcServer>(
            loop, [this, index](const standins::GrpcServer::Execution& call, std::size_t number) {
                standins::GrpcServer* const server = servers_[index].get();
                held[index].push_back({call.path.substr(call.path.rfind('/') + 1), "b",
                                       [this, server, number](const std::string& result) {
                                           standins::Play done;
                                           done.part = standins::Part::stream;
                                           done.bytes = 1;
                                           done.trailers = {{"result", result}};
                                           server->play(now, number, done);
                                       },
                                       [this, server, number] {
                                           standins::Play failed;
                                           failed.part = standins::Part::trailersOnly, failed.status = 13;
                                           server->play(now, number, failed);
                                       }});
                standins::Play wait;
                wait.part = standins::Part::stall;
                return wait;
            }));
        grpc::ServerEntry entry;
        entry.name = "g" + std::to_string(index), entry.address = servers_.back()->address();
        entry.cell = static_cast<int>(index);
        config_.servers.push_back(entry);
        pool_.configure(now, config_);
        return index;
    }
    void drain(std::size_t server) override {
        config_.servers[server].drain = true;
        pool_.configure(now, config_);
    }
    void vanish(std::size_t server) override {
        const auto name = "g" + std::to_string(server);
        std::erase_if(config_.servers, [&](const auto& entry) { return entry.name == name; });
        pool_.configure(now, config_);
        const auto before = core.counters().ends[static_cast<std::size_t>(End::brokeSent)];
        servers_[server]->stopListening();
        servers_[server]->cut(now);
        EXPECT_TRUE(
            until([&] { return core.counters().ends[static_cast<std::size_t>(End::brokeSent)] > before; }));
    }
    void connect(Time, std::shared_ptr<wire::Machine> machine, const std::string& address) override {
        net::Link::connect(loop, std::move(machine), *net::endpointOf(address));
    }
    void refresh() override {
        for (std::size_t i = 0; i < seen.size(); ++i) {
            const auto& told = clients_[i]->outcomes[0];
            if (told.status < 0) continue;
            EXPECT_EQ(told.statuses, 1);
            seen[i].fate = told.status == 0       ? Fate::served
                           : told.pushback() >= 0 ? Fate::unavailable
                                                  : Fate::failed;
            if (const std::string* const result = http2::find(told.trailers, "result"))
                seen[i].body = *result;
        }
    }

private:
    grpc::Config config_ = settingsOf();
    grpc::Servers pool_{core, loop.deadlines(), *this, config_, 5};
    grpc::Front front_{core, loop.deadlines(), config_};
    net::Listener listener_{loop, kAnyPort, [this](Time at) { return front_.accept(at); }};
    std::vector<std::unique_ptr<standins::GrpcServer>> servers_;
    std::vector<std::unique_ptr<standins::GrpcClient>> clients_;
};

// --- scenarios ---
using Counts =
    std::vector<std::uint64_t>;  // served, unavailable, failed, left, passes, withheld, late results

Counts countsOf(World& world) {
    world.refresh();
    const auto& c = world.core.counters();
    Counts counts = {c.served, c.unavailable, c.failed, c.left, c.passes, c.withheld, c.lateResults};
    EXPECT_EQ(c.taken, c.served + c.unavailable + c.failed + c.left) << "each has exactly one final answer";
    std::uint64_t told[4] = {};
    for (const Seen& seen : world.seen) ++told[static_cast<std::size_t>(seen.fate)];
    EXPECT_EQ(told[1], c.served);
    EXPECT_EQ(told[2], c.unavailable);
    EXPECT_EQ(told[3], c.failed);
    return counts;
}

bool answered(World& world, std::size_t client) {
    world.refresh();
    return world.seen[client].fate != Fate::pending;
}

void plainWork(World& w) {
    for (int i = 0; i < 2; ++i) w.addServer();
    for (int i = 0; i < 6; ++i) {
        const auto client =
            w.submit(i % 2 ? "job-assign" : "car-match", i % 2 ? "k" + std::to_string(i) : "", "b");
        const Held job = w.take(w.holder());
        EXPECT_EQ(job.className, i % 2 ? "job-assign" : "car-match");
        job.complete("r" + std::to_string(i));
        EXPECT_TRUE(w.until([&] { return answered(w, client); }));
        EXPECT_EQ(w.seen[client].body, "r" + std::to_string(i));
    }
}

void aSafeJobThatFailsGoesElsewhere(World& w) {
    for (int i = 0; i < 2; ++i) w.addServer();
    const auto client = w.submit("car-match", "", "b");
    const std::size_t first = w.holder();
    w.take(first).fail();
    w.take(1 - first).complete("second");
    EXPECT_TRUE(w.until([&] { return answered(w, client); }));
}

void aKeyedJobThatMayHaveRunFails(World& w) {
    for (int i = 0; i < 2; ++i) w.addServer();
    const auto client = w.submit("job-assign", "k", "b");
    const std::size_t first = w.holder();
    w.vanish(first);
    w.pass(6s);
    EXPECT_TRUE(w.until([&] { return answered(w, client); }));
    EXPECT_TRUE(w.held[1 - first].empty()) << "another pod would not drop the repeat";
}

void aClientLeavesWhileItsJobRuns(World& w) {
    w.addServer();
    const auto client = w.submit("job-assign", "k", "b");
    const Held job = w.take(0);
    w.untilStarted(1);
    w.leave(client);
    EXPECT_TRUE(w.until([&] { return w.core.counters().left == 1; }));
    job.complete("nobody waits");
    const auto next = w.submit("car-match", "", "b");  // and the server goes on
    w.take(0).complete("r");
    EXPECT_TRUE(w.until([&] { return answered(w, next); }));
}

void aServerDrainsMidJob(World& w) {
    w.addServer();
    const auto first = w.submit("job-assign", "k", "b");
    const Held job = w.take(0);
    w.untilStarted(1);
    w.addServer();
    w.drain(0);
    std::vector<std::size_t> later;
    for (int i = 0; i < 3; ++i) {
        later.push_back(w.submit("car-match", "", "b"));
        w.take(1).complete("new");
        EXPECT_TRUE(w.until([&] { return answered(w, later.back()); }));
    }
    EXPECT_TRUE(w.held[0].empty()) << "nothing new goes to a server that drains";
    job.complete("old");
    EXPECT_TRUE(w.until([&] { return answered(w, first); }));
    EXPECT_EQ(w.seen[first].body, "old");
}

void aServerGoesMidJobAndASafeOneIsResent(World& w) {
    w.addServer(), w.addServer();
    const auto client = w.submit("car-match", "", "b");
    const std::size_t first = w.holder();
    w.vanish(first);
    w.take(1 - first).complete("again");
    EXPECT_TRUE(w.until([&] { return answered(w, client); }));
}

void deadlinesPass(World& w) {
    w.addServer();
    const auto safe = w.submit("car-match", "", "b");
    w.take(0);
    w.untilStarted(1);
    w.pass(9s);
    EXPECT_TRUE(w.until([&] { return answered(w, safe); }));
}

void aKeyedJobsDeadlinePasses(World& w) {
    w.addServer();
    const auto client = w.submit("job-assign", "k", "b");
    w.take(0);
    w.untilStarted(1);
    w.pass(6s);
    EXPECT_TRUE(w.until([&] { return answered(w, client); }));
}

void nobodyThere(World& w) {
    const auto client = w.submit("job-assign", "k", "b");
    EXPECT_TRUE(w.until([&] { return w.core.counters().taken == 1; }));
    w.pass(6s);
    EXPECT_TRUE(w.until([&] { return answered(w, client); }));
}

struct Scenario {
    const char* name;
    void (*play)(World&);
    Counts expected;
};
void PrintTo(const Scenario& scenario, std::ostream* out) {
    *out << scenario.name;
}
class AllFronts : public testing::TestWithParam<Scenario> {};

TEST_P(AllFronts, EndInTheSameCounts) {
    HttpWorld http;
    GetParam().play(http);
    GearmanWorld gearman;
    GetParam().play(gearman);
    EXPECT_EQ(countsOf(http), countsOf(gearman));
    GrpcWorld overGrpc;
    GetParam().play(overGrpc);
    EXPECT_EQ(countsOf(http), countsOf(overGrpc));
    EXPECT_EQ(countsOf(http), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Scenarios, AllFronts,
    testing::Values(Scenario{"PlainWork", plainWork, {6, 0, 0, 0, 6, 0, 0}},
                    Scenario{"SafeFails", aSafeJobThatFailsGoesElsewhere, {1, 0, 0, 0, 2, 0, 0}},
                    Scenario{"KeyedMayHaveRun", aKeyedJobThatMayHaveRunFails, {0, 0, 1, 0, 1, 0, 0}},
                    Scenario{"ClientLeaves", aClientLeavesWhileItsJobRuns, {1, 0, 0, 1, 2, 0, 0}},
                    Scenario{"DrainMidJob", aServerDrainsMidJob, {4, 0, 0, 0, 4, 0, 0}},
                    Scenario{"ServerGoes", aServerGoesMidJobAndASafeOneIsResent, {1, 0, 0, 0, 2, 0, 0}},
                    Scenario{"Deadline", deadlinesPass, {0, 1, 0, 0, 1, 0, 0}},
                    Scenario{"KeyedDeadline", aKeyedJobsDeadlinePasses, {0, 0, 1, 0, 1, 0, 0}},
                    Scenario{"NobodyThere", nobodyThere, {0, 1, 0, 0, 0, 0, 0}}),
    [](const auto& scenario) { return std::string(scenario.param.name); });

}  // namespace
}  // namespace amberswitch
