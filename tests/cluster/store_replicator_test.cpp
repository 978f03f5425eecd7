// Tests of Replicator: batching of calls to other stores, and the outcomes of the calls.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/common/codec.hpp"
#include "cluster/storage/replicator.hpp"
#include "tests/cluster/store_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;
using namespace amberswitch::cluster::storage;

namespace {

// One store that sends, and another one that answers with the configured promise.
struct ReplicatorFixture {
    World world{1};
    Network network{world};
    SimulatedScheduler scheduler{world};
    MemoryTransport own{world, network, {"10.1.0.1", 7002}};
    std::unique_ptr<MemoryTransport> other =
        std::make_unique<MemoryTransport>(world, network, NodeAddress{"10.1.0.2", 7002});
    DiskState platter;
    FakeDisk disk{world, scheduler, platter};
    StoreClock clock{scheduler};
    Replica replica{disk, clock, true, Millis(120000)};
    Placement placement{"a", "zone-0", {}};
    Replicator replicator{scheduler, own, placement, replica, clock};
    std::vector<ReplicateBatch> calls;
    Epoch promised = 1;
    std::vector<ReplicateOutcome> outcomes;

    ReplicatorFixture() {
        replica.load();
        auto view = std::make_shared<StoreView>();
        view->epoch = 1;
        for (const char* name : {"a", "b"}) {
            StoreMember store;
            store.member.name = name;
            store.member.address = {name == std::string("a") ? "10.1.0.1" : "10.1.0.2", 7002};
            view->stores.push_back(store);
        }
        placement.update(view);
        other->serve([this](const Envelope& request, const Responder& respond) {
            calls.push_back(*decode<ReplicateBatch>(request.body));
            ReplicateBatchReply answer;
            for (const ReplicateRequest& part : calls.back().requests) {
                answer.replies.push_back({promised <= part.epoch, promised});
            }
            respond(reply(answer));
        });
    }
    void send(const MessageId& id, std::size_t bytes = 10, Epoch epoch = 1) {
        const auto record = std::make_shared<MessageRecord>();
        record->content.id = id;
        record->content.body.assign(bytes, 'x');
        replicator.sendRecord("b", epoch, record,
                              [this](ReplicateOutcome outcome) { outcomes.push_back(outcome); });
    }
};

}  // namespace

TEST_CASE("entries queued in one iteration of the event loop are sent in one call") {
    ReplicatorFixture fixture;
    for (int i = 0; i < 20; ++i) fixture.send("m" + std::to_string(i));
    fixture.world.run(Millis(50));
    CHECK(fixture.calls.size() == 1);
    CHECK(fixture.outcomes == std::vector<ReplicateOutcome>(20, ReplicateOutcome::stored));
    CHECK(fixture.replicator.idle());
}

TEST_CASE("at most two calls are in progress, later entries wait for their answers") {
    ReplicatorFixture fixture;
    fixture.network.delay = Millis(20);
    for (int turn = 0; turn < 10; ++turn) {
        fixture.send("m" + std::to_string(turn));
        fixture.world.run(Millis(1));
    }
    fixture.world.run(Millis(30));
    CHECK(fixture.calls.size() == 2);
    fixture.world.run(Millis(200));
    CHECK(fixture.calls.size() == 3);
    CHECK(fixture.calls.back().requests.size() == 8);
    CHECK(fixture.outcomes.size() == 10);
}

TEST_CASE("large records are spread over several calls") {
    ReplicatorFixture fixture;
    for (int i = 0; i < 4; ++i) fixture.send("m" + std::to_string(i), 900'000);
    fixture.world.run(Millis(100));
    CHECK(fixture.calls.size() == 2);
    CHECK(fixture.outcomes.size() == 4);
}

TEST_CASE("a replica that has promised a newer epoch refuses, each part by its own epoch") {
    ReplicatorFixture fixture;
    fixture.promised = 2;
    fixture.send("old", 10, 1);
    fixture.send("new", 10, 2);
    fixture.world.run(Millis(50));
    CHECK(fixture.outcomes ==
          std::vector<ReplicateOutcome>{ReplicateOutcome::fenced, ReplicateOutcome::stored});
}

TEST_CASE("silence and a closed port are failures, and the store is not healthy until it answers again") {
    ReplicatorFixture fixture;
    CHECK(fixture.replicator.healthy("b"));
    fixture.network.isolate("10.1.0.2");
    fixture.send("silent");
    fixture.world.run(kReplicateTimeout + Millis(10));
    CHECK(fixture.outcomes == std::vector<ReplicateOutcome>{ReplicateOutcome::failed});
    CHECK(!fixture.replicator.healthy("b"));
    fixture.network.healAll();
    fixture.send("again");
    fixture.world.run(Millis(50));
    CHECK(fixture.replicator.healthy("b"));
    fixture.other.reset();
    fixture.send("closed");
    fixture.world.run(Millis(50));
    CHECK(fixture.outcomes.back() == ReplicateOutcome::failed);
}

TEST_CASE("a store that the view does not name fails at once") {
    ReplicatorFixture fixture;
    std::vector<ReplicateOutcome> outcomes;
    fixture.replicator.sendState("c", 1, RecordUpdate{},
                                 [&](ReplicateOutcome outcome) { outcomes.push_back(outcome); });
    fixture.world.run(Millis(1));
    CHECK(outcomes == std::vector<ReplicateOutcome>{ReplicateOutcome::failed});
}

TEST_CASE("scheduled states are sent as they are at the next flush, until the store has them") {
    ReplicatorFixture fixture;
    MessageRecord record;
    record.content.id = "a";
    record.partition = 3;
    record.accepted_wall_ms = fixture.clock.wallMillis();
    fixture.replica.store(record, false);
    fixture.replicator.scheduleStateUpdate("b", 3, "a");
    fixture.replicator.scheduleStateUpdate("b", 3, "a");
    RecordUpdate update;
    update.partition = 3;
    update.id = "a";
    update.failures = 2;
    fixture.replica.merge(update);
    fixture.network.isolate("10.1.0.2");
    fixture.replicator.flush();
    fixture.world.run(Millis(1500));
    CHECK(!fixture.replicator.idle());
    fixture.network.healAll();
    fixture.replicator.flush();
    fixture.world.run(Millis(50));
    REQUIRE(fixture.calls.size() == 1);
    REQUIRE(fixture.calls[0].requests.size() == 1);
    CHECK(!fixture.calls[0].requests[0].durable);
    REQUIRE(fixture.calls[0].requests[0].updates.size() == 1);
    CHECK(fixture.calls[0].requests[0].updates[0].failures == 2);
    CHECK(fixture.replicator.idle());
}
