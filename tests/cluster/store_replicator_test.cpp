// Calls to other stores: what travels together, and what becomes of it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/common/codec.hpp"
#include "cluster/storage/replicator.hpp"
#include "tests/cluster/store_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;
using namespace amberswitch::cluster::storage;

namespace {

// One store that sends, and another one that answers as it is told to.
struct Play {
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

    Play() {
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

TEST_CASE("what is sent in one turn of the loop travels in one call") {
    Play play;
    for (int i = 0; i < 20; ++i) play.send("m" + std::to_string(i));
    play.world.run(Millis(50));
    CHECK(play.calls.size() == 1);
    CHECK(play.outcomes == std::vector<ReplicateOutcome>(20, ReplicateOutcome::stored));
    CHECK(play.replicator.idle());
}

TEST_CASE("at most two calls are under way; what comes meanwhile waits for their answers") {
    Play play;
    play.network.delay = Millis(20);
    for (int turn = 0; turn < 10; ++turn) {
        play.send("m" + std::to_string(turn));
        play.world.run(Millis(1));
    }
    play.world.run(Millis(30));
    CHECK(play.calls.size() == 2);
    play.world.run(Millis(200));
    CHECK(play.calls.size() == 3);
    CHECK(play.calls.back().requests.size() == 8);
    CHECK(play.outcomes.size() == 10);
}

TEST_CASE("large records are spread over several calls") {
    Play play;
    for (int i = 0; i < 4; ++i) play.send("m" + std::to_string(i), 900'000);
    play.world.run(Millis(100));
    CHECK(play.calls.size() == 2);
    CHECK(play.outcomes.size() == 4);
}

TEST_CASE("a replica that has promised a newer epoch refuses, each part by its own epoch") {
    Play play;
    play.promised = 2;
    play.send("old", 10, 1);
    play.send("new", 10, 2);
    play.world.run(Millis(50));
    CHECK(play.outcomes == std::vector<ReplicateOutcome>{ReplicateOutcome::fenced, ReplicateOutcome::stored});
}

TEST_CASE("silence and a closed port are failures, and the store is not healthy until it answers again") {
    Play play;
    CHECK(play.replicator.healthy("b"));
    play.network.isolate("10.1.0.2");
    play.send("silent");
    play.world.run(kReplicateTimeout + Millis(10));
    CHECK(play.outcomes == std::vector<ReplicateOutcome>{ReplicateOutcome::failed});
    CHECK(!play.replicator.healthy("b"));
    play.network.healAll();
    play.send("again");
    play.world.run(Millis(50));
    CHECK(play.replicator.healthy("b"));
    play.other.reset();
    play.send("closed");
    play.world.run(Millis(50));
    CHECK(play.outcomes.back() == ReplicateOutcome::failed);
}

TEST_CASE("a store that the view does not name fails at once") {
    Play play;
    std::vector<ReplicateOutcome> outcomes;
    play.replicator.sendState("c", 1, RecordUpdate{},
                              [&](ReplicateOutcome outcome) { outcomes.push_back(outcome); });
    play.world.run(Millis(1));
    CHECK(outcomes == std::vector<ReplicateOutcome>{ReplicateOutcome::failed});
}

TEST_CASE("noted states go out with the next flush, as they are then, until the store has them") {
    Play play;
    MessageRecord record;
    record.content.id = "a";
    record.partition = 3;
    record.accepted_wall_ms = play.clock.wallMillis();
    play.replica.store(record, false);
    play.replicator.noteState("b", 3, "a");
    play.replicator.noteState("b", 3, "a");
    RecordUpdate update;
    update.partition = 3;
    update.id = "a";
    update.failures = 2;
    play.replica.merge(update);
    play.network.isolate("10.1.0.2");
    play.replicator.flush();
    play.world.run(Millis(1500));
    CHECK(!play.replicator.idle());
    play.network.healAll();
    play.replicator.flush();
    play.world.run(Millis(50));
    REQUIRE(play.calls.size() == 1);
    REQUIRE(play.calls[0].requests.size() == 1);
    CHECK(!play.calls[0].requests[0].durable);
    REQUIRE(play.calls[0].requests[0].updates.size() == 1);
    CHECK(play.calls[0].requests[0].updates[0].failures == 2);
    CHECK(play.replicator.idle());
}
