// Tests of long polls (Distribution), Membership, and the dispatchers' client of the core (CoreClient).
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <xxhash.h>

#include "cluster/common/configuration_update.hpp"
#include "cluster/control/distribution.hpp"
#include "cluster/control/membership.hpp"
#include "tests/cluster/control_world.hpp"
#include "tests/cluster/large_configuration.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

ConfigurationState configuration(std::int64_t generation) {
    return {generation, configurationJson(generation), {{generation, 0, 1}}};
}
bool holdsSame(const Configuration& left, const Configuration& right) {
    return left.generation == right.generation && left.routes == right.routes &&
           left.services == right.services && left.limits == right.limits;
}
std::uint64_t digestOf(const std::string& bytes) {
    return XXH64(bytes.data(), bytes.size(), 0);
}
ServerList servers(std::uint64_t term, std::uint64_t count) {
    return {{term, count}, {}};
}
StoreView view(Epoch epoch, std::uint64_t term = 1) {
    StoreView made;
    made.epoch = epoch;
    made.leader_term = term;
    return made;
}

class DistributionFixture {
public:
    explicit DistributionFixture(double link_mbps = 0)
        : world(1),
          scheduler(world),
          distribution(scheduler,
                       {.is_fresh = [this] { return fresh; },
                        .is_confirmed_since = [this](SteadyTime since) { return confirmed_at >= since; },
                        .confirm = [this] { ++rounds_asked; }},
                       link_mbps) {}

    // Reports a successful confirmation round that began now.
    void confirm() {
        confirmed_at = world.now();
        distribution.onConfirmed();
    }

    // Starts a watch; the result holds its answer once there is one.
    std::shared_ptr<std::optional<Envelope>> watch(const WatchRequest& request) {
        const auto answer = std::make_shared<std::optional<Envelope>>();
        distribution.watch(request, [answer](Envelope envelope) { *answer = std::move(envelope); });
        return answer;
    }

    World world;
    SimulatedScheduler scheduler;
    bool fresh = true;
    SteadyTime confirmed_at{};
    int rounds_asked = 0;
    Distribution distribution;
};

WatchRequest request(std::int64_t generation, ServerListVersion version, Epoch epoch) {
    return {"edge-1", generation, version, epoch, 1000};
}

// A scripted core machine: records watches and renewals, and answers them as the test configures.
class FakeCore {
public:
    FakeCore(World& world, Network& network, const std::string& ip)
        : address{ip, kFirstPort}, transport_(world, network, address) {
        transport_.serve([this](const Envelope& envelope, const Responder& respond) {
            if (ignores_requests) return;
            if (envelope.kind == static_cast<std::uint16_t>(MessageKind::renew_lease)) {
                renewals.push_back(*decode<RenewLeaseRequest>(envelope.body));
                return respond(reply(renewal));
            }
            watches.push_back(*decode<WatchRequest>(envelope.body));
            if (refuses) return respond(Envelope{});
            if (next.config || next.servers || next.view) return respond(reply(std::exchange(next, {})));
            held.push_back(respond);
        });
    }
    const NodeAddress address;
    std::vector<WatchRequest> watches;
    std::vector<RenewLeaseRequest> renewals;
    RenewLeaseReply renewal;
    WatchReply next;
    std::vector<Responder> held;
    bool refuses = false;
    bool ignores_requests = false;

private:
    MemoryTransport transport_;
};

class ClientFixture {
public:
    ClientFixture()
        : world(3), network(world), first(world, network, "10.0.0.1"), second(world, network, "10.0.0.2") {
        Member member;
        member.name = "edge-1";
        member.address = {"10.2.0.1", kFirstPort + 1};
        client = std::make_unique<ClientProcess>(world, network, member,
                                                 std::vector<NodeAddress>{first.address, second.address});
    }
    FakeCore& watched() { return first.watches.size() > second.watches.size() ? first : second; }

    World world;
    Network network;
    FakeCore first;
    FakeCore second;
    std::unique_ptr<ClientProcess> client;
};

}  // namespace

TEST_CASE("a watch is answered as soon as newer content is confirmed, and with that content only") {
    DistributionFixture play;
    play.distribution.setConfiguration(configuration(4));
    play.distribution.setServers(servers(2, 5));
    play.distribution.setView(view(3));
    play.world.run(Millis(10));
    play.confirm();
    play.world.run(Millis(10));
    const auto answer = play.watch(request(3, {2, 5}, 3));
    CHECK_FALSE(answer->has_value());  // the last confirmation began before this poll
    CHECK(play.rounds_asked == 1);
    play.confirm();
    REQUIRE(answer->has_value());
    const auto watched = decode<WatchReply>((*answer)->body);
    REQUIRE(watched);
    REQUIRE(watched->config);
    CHECK(watched->config->configuration.generation == 4);
    const auto update = decodeUpdate(watched->config->bytes);
    REQUIRE(update);
    CHECK(update->base_generation == 0);
    CHECK(holdsSame(applyUpdate(nullptr, *update), parseConfiguration(configurationJson(4))));
    CHECK_FALSE(watched->servers);
    CHECK_FALSE(watched->view);
}

TEST_CASE("a watch is held until newer content arrives or its wait time ends") {
    DistributionFixture play;
    play.distribution.setServers(servers(2, 5));
    const auto woken = play.watch(request(0, {2, 5}, 0));
    const auto other = play.watch(request(0, {2, 6}, 0));
    play.world.run(Millis(300));
    CHECK_FALSE(woken->has_value());
    play.distribution.setServers(servers(2, 6));
    REQUIRE(woken->has_value());
    CHECK(decode<WatchReply>((*woken)->body)->servers->version == ServerListVersion{2, 6});
    CHECK_FALSE(other->has_value());
    play.world.run(Millis(850));
    CHECK_FALSE(other->has_value());  // an answer without newer content needs a confirmation too
    play.confirm();
    play.world.run(Millis(150));
    REQUIRE(other->has_value());
    CHECK_FALSE(decode<WatchReply>((*other)->body)->servers);
    CHECK(play.distribution.watchers() == 0);
}

TEST_CASE("distributed versions never go back") {
    DistributionFixture play;
    play.distribution.setConfiguration(configuration(4));
    play.distribution.setConfiguration(configuration(3));
    play.distribution.setServers(servers(2, 1));
    play.distribution.setServers(servers(1, 9));
    play.distribution.setView(view(5));
    play.distribution.setView(view(4, 9));
    const auto answer = play.watch(request(0, {}, 0));
    play.confirm();
    REQUIRE(answer->has_value());
    const auto watched = decode<WatchReply>((**answer).body);
    CHECK(watched->config->configuration.generation == 4);
    CHECK(watched->servers->version == ServerListVersion{2, 1});
    CHECK(watched->view->epoch == 5);
}

TEST_CASE("content that arrives during a watch is sent at once if a confirmation began after the watch") {
    DistributionFixture play;
    play.distribution.setConfiguration(configuration(4));
    const auto covered = play.watch(request(4, {}, 0));
    play.world.run(Millis(10));
    play.confirm();
    play.world.run(Millis(10));
    const auto later = play.watch(request(4, {}, 0));
    play.distribution.setConfiguration(configuration(5));
    REQUIRE(covered->has_value());
    CHECK(decode<WatchReply>((**covered).body)->config->configuration.generation == 5);
    CHECK_FALSE(later->has_value());
    CHECK(play.rounds_asked == 1);
    play.distribution.setConfiguration(configuration(6));
    play.confirm();
    REQUIRE(later->has_value());
    CHECK(decode<WatchReply>((**later).body)->config->configuration.generation == 6);
}

TEST_CASE("a server list needs no confirmation") {
    DistributionFixture play;
    const auto held = play.watch(request(0, {2, 5}, 0));
    play.distribution.setServers(servers(2, 6));
    REQUIRE(held->has_value());
    CHECK(decode<WatchReply>((**held).body)->servers->version == ServerListVersion{2, 6});
}

TEST_CASE("without contact to a majority watches are neither held nor answered with content") {
    DistributionFixture play;
    play.distribution.setConfiguration(configuration(4));
    play.distribution.setServers(servers(2, 5));
    const auto held = play.watch(request(4, {2, 5}, 0));
    const auto unconfirmed = play.watch(request(3, {2, 5}, 0));
    play.fresh = false;
    for (const WatchRequest& asked :
         {request(4, {2, 5}, 0), request(3, {2, 5}, 0), request(0, {}, 0), request(4, {2, 4}, 0)}) {
        const auto refused = play.watch(asked);
        REQUIRE(refused->has_value());
        CHECK_FALSE(decode<WatchReply>((*refused)->body));
    }
    play.world.run(Millis(150));
    for (const auto& answer : {held, unconfirmed}) {
        REQUIRE(answer->has_value());
        CHECK_FALSE(decode<WatchReply>((**answer).body));
    }
    CHECK(play.distribution.watchers() == 0);
}

TEST_CASE("answers use at most half of the link, and every watcher is answered") {
    constexpr double kMegabits = 8;
    constexpr std::size_t kHalfOfLinkBytesPerMs = 500;
    DistributionFixture play(kMegabits);
    ServerList list = servers(2, 5);
    list.servers.resize(200);
    std::vector<std::shared_ptr<std::optional<Envelope>>> answers;
    for (int watcher = 0; watcher < 40; ++watcher) answers.push_back(play.watch(request(0, {}, 0)));
    play.distribution.setServers(list);
    std::size_t answered = 0;
    for (int step = 1; step <= 90; ++step) {
        play.world.run(Millis(10));
        std::size_t bytes = 0;
        std::size_t count = 0;
        for (const auto& answer : answers) {
            if (answer->has_value()) ++count, bytes += (**answer).body.size();
        }
        CHECK(bytes <= kHalfOfLinkBytesPerMs * (100 + 10 * step) + (*answers.front())->body.size());
        CHECK(count >= answered);
        answered = count;
    }
    CHECK(answered == answers.size());
    CHECK(play.distribution.counters().waits_for_link > 0);
    CHECK(play.distribution.counters().longest_wait > Millis(100));
}

TEST_CASE("a client applies a difference, and requests the full configuration if it can't be applied") {
    ClientFixture play;
    play.world.run(Millis(100));
    FakeCore& core = play.watched();
    const auto answer = [&](const ConfigurationPage& page) {
        REQUIRE(!core.held.empty());
        WatchReply watched;
        watched.config = page;
        core.held.back()(reply(watched));
        core.held.clear();
        play.world.run(Millis(50));
    };
    ConfigurationHistory history;
    history.add({4, configurationJson(4), {}});
    const ConfigurationVersion fourth = history.updateFrom({}).configuration;
    answer(history.updateFrom({}).pageAfter({}));
    REQUIRE(!core.watches.empty());
    CHECK(core.watches.back().config_base == fourth);
    history.add({5, configurationJson(5, "other"), {}});
    answer(history.updateFrom(fourth).pageAfter({}));
    CHECK(play.client->client().configuration()->service("other") != nullptr);
    CHECK(play.client->client().configuration()->service("desk") == nullptr);
    CHECK(core.watches.back().config_base == history.updateFrom({}).configuration);
    history.add({6, configurationJson(6), {}});
    answer(
        history.updateFrom(fourth).pageAfter({}));  // its base is no longer the configuration of the client
    CHECK(play.client->client().configuration()->generation == 5);
    CHECK(core.watches.back().config_base == ConfigurationVersion{});
    CHECK(core.watches.back().config_generation == 5);
    answer(history.updateFrom({}).pageAfter({}));
    CHECK(play.client->generations == std::vector<std::int64_t>{4, 5, 6});
}

TEST_CASE(
    "membership: leases end, a leaving member stays leaving, late renewals of a former process are ignored") {
    World world(1);
    SimulatedScheduler scheduler(world);
    Membership membership(scheduler);
    int changes = 0;
    membership.onChange([&] { ++changes; });
    RenewLeaseRequest renewal;
    renewal.member.name = "edge-1";
    renewal.member.kind = NodeKind::edge;
    renewal.member.incarnation = 5;
    membership.renew(renewal);
    membership.renew(renewal);
    CHECK(changes == 1);
    CHECK(membership.edges() == 1);
    world.run(Millis(2100));
    CHECK(membership.edges() == 0);
    renewal.member.leaving = true;
    membership.renew(renewal);
    renewal.member.leaving = false;
    membership.renew(renewal);
    CHECK(membership.find("edge-1")->member.leaving);
    CHECK(membership.edges() == 0);
    CHECK(changes == 2);
    renewal.member.incarnation = 6;
    membership.renew(renewal);
    CHECK(changes == 3);
    CHECK_FALSE(membership.find("edge-1")->member.leaving);
    renewal.member.incarnation = 5;
    membership.renew(renewal);
    CHECK(membership.find("edge-1")->member.incarnation == 6);
    CHECK(changes == 3);
}

TEST_CASE("a client accepts only newer versions, and skips a configuration that it cannot read") {
    ClientFixture play;
    play.world.run(Millis(100));
    FakeCore& core = play.watched();
    const auto answer = [&](std::int64_t generation, ServerListVersion version, StoreView sent) {
        REQUIRE(!core.held.empty());
        WatchReply watched;
        watched.config = configurationPage(generation);
        watched.servers = ServerList{version, {}};
        watched.view = std::move(sent);
        core.held.back()(reply(watched));
        core.held.clear();
        play.world.run(Millis(50));
    };
    answer(4, {2, 2}, view(4));
    answer(3, {2, 1}, view(3, 9));
    answer(4, {1, 9}, view(4));
    answer(5, {2, 3}, view(4, 2));
    CHECK(play.client->generations == std::vector<std::int64_t>{4, 5});
    CHECK(play.client->server_versions == std::vector<ServerListVersion>{{2, 2}, {2, 3}});
    CHECK(play.client->epochs == std::vector<Epoch>{4, 4});
    WatchReply broken;
    broken.config = ConfigurationPage{0, {6, 1}, digestOf("{"), 1, 0, "{"};
    core.held.back()(reply(broken));
    play.world.run(Millis(50));
    CHECK(play.client->client().configuration()->generation == 5);
    // The client does not request it again.
    CHECK(core.watches.back().config_generation == 6);
}

TEST_CASE("a client switches from a core machine that refuses watches or stops answering") {
    ClientFixture play;
    play.world.run(Millis(100));
    FakeCore& before = play.watched();
    FakeCore& other = &before == &play.first ? play.second : play.first;
    REQUIRE(other.watches.empty());
    SUBCASE("refused at the next watch") {
        before.refuses = true;
        before.held.back()(reply(WatchReply{}));
        play.world.run(Millis(50));
        CHECK(!other.watches.empty());
    }
    SUBCASE("no answers: missed renewals reveal it before the watch times out") {
        before.ignores_requests = true;
        play.world.run(Millis(1500));
        CHECK(!other.watches.empty());
        CHECK(play.client->client().lastContact().has_value());
    }
}

TEST_CASE("a client watches the core machine that reports a newer version in a renewal") {
    ClientFixture play;
    play.world.run(Millis(700));
    FakeCore& before = play.watched();
    FakeCore& other = &before == &play.first ? play.second : play.first;
    REQUIRE(other.watches.empty());
    other.next.config = configurationPage(7);
    SUBCASE("a configuration") {
        other.renewal.config_generation = 7;
    }
    SUBCASE("a view") {
        other.renewal.view_epoch = 3;
    }
    play.world.run(Millis(520));
    CHECK(play.client->generations == std::vector<std::int64_t>{7});
    CHECK(!other.watches.empty());
}

TEST_CASE("a client that is receiving pages stays with its core machine, whatever renewals report") {
    ClientFixture play;
    play.world.run(Millis(700));
    FakeCore& watched = play.watched();
    FakeCore& other = &watched == &play.first ? play.second : play.first;
    ConfigurationHistory history;
    history.add({4, testing::largeConfiguration(4, 10'000), {}});
    other.renewal.config_generation = 4;
    const EncodedUpdate& update = history.updateFrom({});
    const std::size_t asked_before = other.watches.size();
    UpdateProgress progress;
    int pages = 0;
    // Pages arrive more slowly than renewals.
    for (; play.client->generations.empty() && pages < 100; ++pages) {
        REQUIRE(!watched.held.empty());
        WatchReply answer;
        answer.config = update.pageAfter(progress);
        progress = {update.digest, answer.config->offset + answer.config->bytes.size()};
        watched.held.back()(reply(answer));
        watched.held.clear();
        play.world.run(Millis(300));
    }
    CHECK(pages > 4);
    CHECK(play.client->generations == std::vector<std::int64_t>{4});
    CHECK(other.watches.size() == asked_before);
}

TEST_CASE("with the whole core unavailable a client retries at a bounded rate and reconnects") {
    ClientFixture play;
    play.first.refuses = play.second.refuses = true;
    play.world.run(Millis(10000));
    const std::size_t watches = play.first.watches.size() + play.second.watches.size();
    CHECK(watches > 20);
    CHECK(watches < 120);
    play.second.refuses = false;
    play.second.next.config = configurationPage(2);
    play.world.run(Millis(1200));
    CHECK(play.client->generations == std::vector<std::int64_t>{2});
}

TEST_CASE("each dispatcher gets its rank, which a short absence of others does not change") {
    World world(1);
    SimulatedScheduler scheduler(world);
    Membership membership(scheduler);
    const Topology topology({{"a", "east"}, {"b", "east"}, {"c", "west"}});
    std::vector<Member> members;
    for (const char* zone : {"a", "a", "b", "c", "c"}) {
        Member member;
        member.name = "edge-" + std::to_string(members.size());
        member.kind = NodeKind::edge;
        member.zone = zone;
        member.incarnation = 1;
        members.push_back(member);
    }
    const auto renewAll = [&](std::size_t first) {
        for (std::size_t i = first; i < members.size(); ++i) membership.renew({members[i], 0, 0, 0});
    };
    renewAll(0);
    CHECK(membership.edgeShare(members[0], topology) == EdgeShare{5, 3, 0});
    CHECK(membership.edgeShare(members[2], topology) == EdgeShare{5, 3, 2});
    CHECK(membership.edgeShare(members[4], topology) == EdgeShare{5, 2, 1});
    world.run(Millis(4000));
    renewAll(1);
    CHECK(membership.edgeShare(members[2], topology) == EdgeShare{5, 3, 2});
    world.run(Millis(7000));
    renewAll(1);
    CHECK(membership.edgeShare(members[2], topology) == EdgeShare{4, 2, 1});
}

TEST_CASE("a client discovers core machines, keeps the edge count, and reports at once that it leaves") {
    ClientFixture play;
    FakeCore third(play.world, play.network, "10.0.0.3");
    play.first.renewal.core = {play.first.address, play.second.address, third.address};
    play.second.renewal.core = play.first.renewal.core;
    play.first.renewal.share = {7, 7, 2};
    play.second.renewal.share = {2, 2, 0};  // has just started
    CHECK(play.client->client().edgeShare().edges == 1);
    play.world.run(Millis(1200));
    CHECK(play.client->client().edgeShare().edges == 7);
    CHECK(!third.renewals.empty());
    play.first.renewal.share = play.second.renewal.share = {0, 0, 0};  // all have just started
    play.world.run(Millis(3000));
    CHECK(play.client->client().edgeShare().edges == 7);
    const std::size_t before = third.renewals.size();
    play.client->client().leave();
    play.world.run(Millis(1000));
    CHECK(third.renewals.size() >= before + 9);
    CHECK(third.renewals.back().member.leaving);
}
