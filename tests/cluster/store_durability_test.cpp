// What a store has acknowledged is on disks, and the ends that it learns of are soon afterwards.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <vector>

#include "cluster/storage/placement.hpp"
#include "tests/cluster/store_simulation.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

const NodeAddress kClient{"10.2.0.99", 7001};

WorldOptions quietOptions() {
    return {};
}

// Sends single requests to stores, without the retries and syncs of an edge.
class Client {
public:
    explicit Client(StoreWorld& stores)
        : stores_(stores), transport_(stores.world, stores.network, kClient) {}

    template <class Reply, class Request>
    std::optional<Reply> ask(const NodeAddress& store, MessageKind kind, const Request& request) {
        std::optional<Reply> answer;
        bool done = false;
        transport_.call(store, envelope(kind, request), Millis(5000), [&](const CallResult& result) {
            if (result.verdict == CallStatus::answered) answer = decode<Reply>(result.reply.body);
            done = true;
        });
        stores_.world.runUntil([&done] { return done; }, Millis(6000));
        return answer;
    }
    AcceptMessageRequest request(PartitionId partition, const MessageContent& content) const {
        AcceptMessageRequest made;
        made.edge = "edge-99";
        made.edge_address = kClient;
        made.partition = partition;
        made.epoch = stores_.view->epoch;
        made.content = content;
        made.retention_ms = 90000;
        made.max_failures = 3;
        made.timeout_ms = 1000;
        made.wants_grant = false;
        return made;
    }
    std::optional<AcceptStatus> accept(PartitionId partition, const MessageContent& content) {
        const auto reply = ask<AcceptMessageReply>(stores_.ownerOf(partition).address,
                                                   MessageKind::accept_message, request(partition, content));
        if (!reply) return std::nullopt;
        return reply->status;
    }

private:
    StoreWorld& stores_;
    MemoryTransport transport_;
};

// A partition whose next owner, once the current one is gone, is not the store that holds the copies.
struct TestPlacement {
    PartitionId partition = 0;
    StoreMachine* holder = nullptr;
    StoreMachine* next_owner = nullptr;
};

TestPlacement placementWithoutCopyAtNextOwner(StoreWorld& stores) {
    for (PartitionId partition = 0; partition < stores.options.partitions; ++partition) {
        StoreMachine& next = *stores.machines[(partition + 1) % 3];
        StoreMachine& last = *stores.machines[(partition + 2) % 3];
        const bool last_holds =
            storage::rendezvousWeight(last.name, partition) > storage::rendezvousWeight(next.name, partition);
        if (last_holds) return {partition, &last, &next};
    }
    FAIL("every next owner holds the copies");
    return {};
}

void startAll(StoreWorld& stores) {
    for (auto& machine : stores.machines) {
        if (!machine->process) stores.start(*machine);
    }
    stores.changeView();
}

}  // namespace

TEST_CASE("a repeated accept after a change of owner is answered once the new owner's copy is durable") {
    int answered = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(200); ++seed) {
        StoreWorld stores(seed, quietOptions());
        Client client(stores);
        const TestPlacement placement = placementWithoutCopyAtNextOwner(stores);
        MessageContent content = stores.content("plain");
        content.delay_ms = 8000;
        Ledger::Message& message = stores.ledger.messages[content.id];
        message.content = content;
        message.partition = placement.partition;
        message.sent = stores.world.now();
        client.accept(placement.partition, content);
        stores.wipe(stores.ownerOf(placement.partition));
        stores.changeView();
        // Repeats the accept until the new owner acknowledges it; then the new owner loses power and the
        // other store its disk.
        std::optional<AcceptStatus> status;
        for (int tries = 0; tries < 200 && status != AcceptStatus::stored; ++tries) {
            status = client.accept(placement.partition, content);
            if (status != AcceptStatus::stored) stores.world.run(Millis(1));
        }
        REQUIRE(status == AcceptStatus::stored);
        ++answered;
        message.accepted = stores.world.now();
        stores.wipe(*placement.holder);
        stores.cutPower(*placement.next_owner);
        startAll(stores);
        stores.world.run(Millis(12'000));
        INFO("seed " << seed);
        CHECK(stores.unfinished() == 0);
        CHECK_MESSAGE(stores.ledger.faults.empty(), stores.faultText());
    }
    CHECK(answered > 0);
}

TEST_CASE("an end is durable soon after its report, also where nothing else is written") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        StoreWorld stores(seed, quietOptions());
        for (int i = 0; i < 5; ++i) stores.anyEdge().submit(stores.content("plain"), 3, false, i == 4);
        stores.world.run(Millis(2500));
        REQUIRE(stores.accepted() == 5);
        REQUIRE(stores.unfinished() == 0);
        for (auto& machine : stores.machines) stores.cutPower(*machine);
        for (auto& edge : stores.edges) edge->kill();
        for (auto& edge : stores.edges) edge->restart();
        startAll(stores);
        stores.world.run(Millis(8000));
        INFO("seed " << seed);
        for (const auto& [id, message] : stores.ledger.messages) CHECK(message.runs == 1);
        stores.checkStates();
        CHECK_MESSAGE(stores.ledger.faults.empty(), stores.faultText());
    }
}

TEST_CASE("what is too large for one answer to a pull comes in several") {
    constexpr std::size_t kBody = 1u << 20;
    constexpr int kMessages = 20;
    StoreWorld stores(1, quietOptions());
    Client client(stores);
    const TestPlacement placement = placementWithoutCopyAtNextOwner(stores);
    for (int i = 0; i < kMessages; ++i) {
        MessageContent content = stores.content("plain");
        content.body = std::string(kBody, 'b');
        content.delay_ms = 3000;
        Ledger::Message& message = stores.ledger.messages[content.id];
        message.content = content;
        message.partition = placement.partition;
        message.sent = stores.world.now();
        REQUIRE(client.accept(placement.partition, content) == AcceptStatus::stored);
        message.accepted = stores.world.now();
    }
    stores.wipe(stores.ownerOf(placement.partition));
    stores.changeView();
    stores.world.run(Millis(1000));
    // The store that sent all the messages is lost too, once copies have been made.
    REQUIRE(stores.awaitPeered(Millis(3000)));
    stores.wipe(*placement.holder);
    stores.changeView();
    stores.world.run(Millis(8000));
    CHECK(stores.unfinished() == 0);
    CHECK_MESSAGE(stores.ledger.faults.empty(), stores.faultText());
}

TEST_CASE("a body that no store can return now is not reported as not found") {
    StoreWorld stores(1, quietOptions());
    Client client(stores);
    StoreMachine& owner = stores.ownerOf(0);
    RecordUpdate end;
    end.id = "m-1";
    end.phase = Phase::dead_letter;
    end.keep_until_wall_ms = 4'000'000'000'000;
    ReplicateRequest states;
    states.epoch = stores.view->epoch;
    states.updates = {end};
    ReplicateBatch batch;
    batch.requests = {states};
    REQUIRE(client.ask<ReplicateBatchReply>(owner.address, MessageKind::replicate, batch).has_value());
    const auto ask = [&] {
        return client.ask<StateReply>(owner.address, MessageKind::body_query, StateQuery{0, "m-1"})->status;
    };
    CHECK(ask() == QueryStatus::not_owner);
    stores.network.isolate(stores.machines[2]->address.ip);
    CHECK(ask() == QueryStatus::not_owner);
    stores.network.healAll();
    CHECK(ask() == QueryStatus::not_owner);
}
