// What a store has answered stands on disks, and what it has learned does soon after.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <vector>

#include "cluster/storage/placement.hpp"
#include "tests/cluster/store_plays.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

const NodeAddress kClient{"10.2.0.99", 7001};

WorldOptions calm() {
    return {};
}

// Speaks to stores without any of the habits of an edge.
class Client {
public:
    explicit Client(StoreWorld& play) : play_(play), transport_(play.world, play.network, kClient) {}

    template <class Reply, class Request>
    std::optional<Reply> ask(const NodeAddress& store, MessageKind kind, const Request& request) {
        std::optional<Reply> answer;
        bool done = false;
        transport_.call(store, envelope(kind, request), Millis(5000), [&](const CallResult& result) {
            if (result.verdict == CallStatus::answered) answer = decode<Reply>(result.reply.body);
            done = true;
        });
        play_.world.runUntil([&done] { return done; }, Millis(6000));
        return answer;
    }
    AcceptMessageRequest request(PartitionId partition, const MessageContent& content) const {
        AcceptMessageRequest made;
        made.edge = "edge-99";
        made.edge_address = kClient;
        made.partition = partition;
        made.epoch = play_.view->epoch;
        made.content = content;
        made.retention_ms = 90000;
        made.max_failures = 3;
        made.timeout_ms = 1000;
        made.wants_grant = false;
        return made;
    }
    std::optional<AcceptStatus> accept(PartitionId partition, const MessageContent& content) {
        const auto reply = ask<AcceptMessageReply>(play_.ownerOf(partition).address,
                                                   MessageKind::accept_message, request(partition, content));
        if (!reply) return std::nullopt;
        return reply->status;
    }

private:
    StoreWorld& play_;
    MemoryTransport transport_;
};

// A partition whose next owner, once the present one is gone, is not the store that has the copies; that
// store.
struct Placing {
    PartitionId partition = 0;
    StoreMachine* holder = nullptr;
    StoreMachine* next_owner = nullptr;
};

Placing placingWithStrangeNextOwner(StoreWorld& play) {
    for (PartitionId partition = 0; partition < play.options.partitions; ++partition) {
        StoreMachine& next = *play.machines[(partition + 1) % 3];
        StoreMachine& last = *play.machines[(partition + 2) % 3];
        const bool last_holds =
            storage::rendezvousWeight(last.name, partition) > storage::rendezvousWeight(next.name, partition);
        if (last_holds) return {partition, &last, &next};
    }
    FAIL("every next owner holds the copies");
    return {};
}

void startAll(StoreWorld& play) {
    for (auto& machine : play.machines) {
        if (!machine->process) play.start(*machine);
    }
    play.changeView();
}

}  // namespace

TEST_CASE("a repeated accept after a change of owner is answered once the new owner's copy is durable") {
    int answered = 0;
    for (std::uint64_t seed = 1; seed <= seedsOfPlay(200); ++seed) {
        StoreWorld play(seed, calm());
        Client client(play);
        const Placing place = placingWithStrangeNextOwner(play);
        MessageContent content = play.content("plain");
        content.delay_ms = 8000;
        Ledger::Message& message = play.ledger.messages[content.id];
        message.content = content;
        message.partition = place.partition;
        message.sent = play.world.now();
        client.accept(place.partition, content);
        play.wipe(play.ownerOf(place.partition));
        play.changeView();
        // Asked again until the new owner has answered; its power and the other disk go at that moment.
        std::optional<AcceptStatus> status;
        for (int tries = 0; tries < 200 && status != AcceptStatus::stored; ++tries) {
            status = client.accept(place.partition, content);
            if (status != AcceptStatus::stored) play.world.run(Millis(1));
        }
        REQUIRE(status == AcceptStatus::stored);
        ++answered;
        message.accepted = play.world.now();
        play.wipe(*place.holder);
        play.cutPower(*place.next_owner);
        startAll(play);
        play.world.run(Millis(12'000));
        INFO("seed " << seed);
        CHECK(play.unfinished() == 0);
        CHECK_MESSAGE(play.ledger.faults.empty(), play.faultText());
    }
    CHECK(answered > 0);
}

TEST_CASE("an end is durable soon after its report, also where nothing else is written") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        StoreWorld play(seed, calm());
        for (int i = 0; i < 5; ++i) play.anyEdge().submit(play.content("plain"), 3, false, i == 4);
        play.world.run(Millis(2500));
        REQUIRE(play.accepted() == 5);
        REQUIRE(play.unfinished() == 0);
        for (auto& machine : play.machines) play.cutPower(*machine);
        for (auto& edge : play.edges) edge->kill();
        for (auto& edge : play.edges) edge->restart();
        startAll(play);
        play.world.run(Millis(8000));
        INFO("seed " << seed);
        for (const auto& [id, message] : play.ledger.messages) CHECK(message.runs == 1);
        play.checkStates();
        CHECK_MESSAGE(play.ledger.faults.empty(), play.faultText());
    }
}

TEST_CASE("what is too large for one answer to a pull comes in several") {
    constexpr std::size_t kBody = 1u << 20;
    constexpr int kMessages = 20;
    StoreWorld play(1, calm());
    Client client(play);
    const Placing place = placingWithStrangeNextOwner(play);
    for (int i = 0; i < kMessages; ++i) {
        MessageContent content = play.content("plain");
        content.body = std::string(kBody, 'b');
        content.delay_ms = 3000;
        Ledger::Message& message = play.ledger.messages[content.id];
        message.content = content;
        message.partition = place.partition;
        message.sent = play.world.now();
        REQUIRE(client.accept(place.partition, content) == AcceptStatus::stored);
        message.accepted = play.world.now();
    }
    play.wipe(play.ownerOf(place.partition));
    play.changeView();
    play.world.run(Millis(1000));
    // The store that told all of them goes as well, once copies have been made.
    REQUIRE(play.awaitPeered(Millis(3000)));
    play.wipe(*place.holder);
    play.changeView();
    play.world.run(Millis(8000));
    CHECK(play.unfinished() == 0);
    CHECK_MESSAGE(play.ledger.faults.empty(), play.faultText());
}

TEST_CASE("a body that no store hands out now is not said to be nowhere") {
    StoreWorld play(1, calm());
    Client client(play);
    StoreMachine& owner = play.ownerOf(0);
    RecordUpdate end;
    end.id = "m-1";
    end.phase = Phase::dead_letter;
    end.keep_until_wall_ms = 4'000'000'000'000;
    ReplicateRequest states;
    states.epoch = play.view->epoch;
    states.updates = {end};
    ReplicateBatch batch;
    batch.requests = {states};
    REQUIRE(client.ask<ReplicateBatchReply>(owner.address, MessageKind::replicate, batch).has_value());
    const auto ask = [&] {
        return client.ask<StateReply>(owner.address, MessageKind::body_query, StateQuery{0, "m-1"})->status;
    };
    CHECK(ask() == QueryStatus::not_owner);
    play.network.isolate(play.machines[2]->address.ip);
    CHECK(ask() == QueryStatus::not_owner);
    play.network.healAll();
    CHECK(ask() == QueryStatus::not_owner);
}
