// Tests of messages that older versions placed by the route of their order key: their records are on the
// disks when the stores start, and edges of an older version still send such messages.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/storage/misplaced_keys.hpp"
#include "cluster/storage/replica.hpp"
#include "tests/cluster/store_simulation.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

constexpr const char* kOlderScope = "host.example/lines/";
constexpr Millis kOlderDelay{3000};  // of the older messages, so that they still wait after the start

class UpgradedStores {
public:
    explicit UpgradedStores(std::uint64_t seed) : play(seed, WorldOptions{}) {}

    PartitionId partitionOf(const std::string& key) const {
        return partitionOfOrderKey(key, play.options.partitions);
    }
    PartitionId formerPartitionOf(const std::string& key) const {
        return (partitionOf(key) + 3) % play.options.partitions;
    }
    MessageContent olderContent(const std::string& key) {
        MessageContent content = play.content("lines", key);
        content.order_scope = kOlderScope;
        content.delay_ms = kOlderDelay.count();
        return content;
    }
    // Stops all stores, writes the record as an older version did to all of them, and starts them again.
    MessageId restartWithOlderMessage(const std::string& key) {
        const MessageContent content = olderContent(key);
        MessageRecord record;
        record.content = content;
        record.partition = formerPartitionOf(key);
        record.epoch = play.view->epoch;
        record.sequence = 1;
        record.retention_ms = 90'000;
        record.max_failures = 3;
        record.callback_done = true;
        for (auto& machine : play.machines) {
            play.stop(*machine);
            SimulatedScheduler scheduler(play.world);
            const storage::StoreClock clock(scheduler);
            record.accepted_wall_ms = clock.wallMillis();
            FakeDisk disk(play.world, scheduler, machine->platter);
            storage::Replica replica(disk, clock, false, Millis(120'000));
            replica.load();
            REQUIRE(replica.store(record, true));
            disk.writeAll();
        }
        Ledger::Message& message = play.ledger.messages[content.id];
        message.content = content;
        message.partition = record.partition;
        message.sent = play.world.now();
        message.accepted = play.world.now();
        for (auto& machine : play.machines) play.start(*machine);
        play.changeView();
        return content.id;
    }
    MessageId submit(const std::string& key) {
        const MessageContent content = play.content("lines", key);
        play.anyEdge().submit(content, 3);
        return content.id;
    }
    // Starts with an older message of the key, and sends a newer one that has to wait for it.
    void startWithWaiting(const std::string& key) {
        older = restartWithOlderMessage(key);
        play.world.run(Millis(500));
        newer = submit(key);
    }
    // Checks that both have run in the end, in their order.
    void finish() {
        play.world.run(Millis(10'000));
        CHECK(message(older).ended);
        CHECK(message(newer).ended);
        CHECK_MESSAGE(play.ledger.faults.empty(), play.faultText());
    }
    const Ledger::Message& message(const MessageId& id) { return play.ledger.messages[id]; }
    bool metricsHave(const std::string& line) {
        return std::all_of(play.machines.begin(), play.machines.end(), [&line](const auto& machine) {
            return machine->process->node->metricsText().find(line) != std::string::npos;
        });
    }

    StoreWorld play;
    MessageId older;
    MessageId newer;
};

// Two partitions, owned by store-0 and store-1; store-2 owns none.
class MisplacedKeysFixture {
public:
    MisplacedKeysFixture() { show({0, 1}); }
    // `owners`: the index of the owner of each partition.
    void show(const std::vector<std::int32_t>& owners) {
        auto view = std::make_shared<StoreView>();
        for (int i = 0; i < 3; ++i) {
            StoreMember store;
            store.member.name = "store-" + std::to_string(i);
            store.alive = true;
            view->stores.push_back(store);
        }
        for (const std::int32_t owner : owners) {
            PartitionOwner assigned;
            assigned.owner = owner;
            view->partitions.push_back(assigned);
        }
        placement.update(view);
    }
    // Whether an ordered message of the key waits in the key's own partition.
    bool holdsBack(const std::string& key) const {
        storage::QueueItem item;
        item.order_key = key;
        item.ordered = true;
        item.partition = partitionOfOrderKey(key, placement.partitionCount());
        return keys.holdsBack(item);
    }

    storage::Placement placement{"store-0", "zone-0", Topology{}};
    storage::MisplacedKeys keys{placement};
};

}  // namespace

// Guards against messages that overtake those of their key which an older version stored in another
// partition.
TEST_CASE("messages wait for those of their key that an older version placed elsewhere") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        UpgradedStores stores(seed);
        stores.startWithWaiting("key");
        const MessageId other = stores.submit("other");
        stores.play.world.run(Millis(1500));
        CHECK(stores.message(stores.newer).accepted);
        CHECK(stores.message(stores.newer).runs == 0);
        CHECK(stores.message(other).runs == 1);
        CHECK(stores.metricsHave("misplaced_keys_settled 0"));
        stores.finish();
        CHECK(stores.metricsHave("misplaced_keys_settled 1"));
    }
}

// Guards against a new owner that does not know of the older messages.
TEST_CASE("messages wait for older ones elsewhere also when the owners are replaced meanwhile") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        UpgradedStores stores(seed);
        stores.startWithWaiting("key");
        stores.play.world.run(Millis(500));
        StoreMachine& victim =
            stores.play.ownerOf(seed % 2 == 0 ? stores.partitionOf("key") : stores.formerPartitionOf("key"));
        stores.play.stop(victim);
        stores.play.changeView();
        stores.play.world.run(Millis(500));
        stores.play.start(victim);
        stores.play.changeView();
        stores.finish();
    }
}

// Guards against a partition that moves to a store of an older version after its owner has told of it.
TEST_CASE("a report counts only while its store owns the partition") {
    MisplacedKeysFixture fixture;
    fixture.keys.record("store-0", {{0, {}}});
    CHECK(fixture.holdsBack("other"));
    fixture.keys.record("store-1", {{1, {"key"}}});
    CHECK_FALSE(fixture.holdsBack("other"));
    CHECK(fixture.holdsBack("key"));
    fixture.show({2, 1});
    CHECK(fixture.holdsBack("other"));
    fixture.keys.record("store-2", {{0, {}}});
    CHECK_FALSE(fixture.holdsBack("other"));
    fixture.keys.record("store-1", {{1, {}}});
    CHECK(fixture.keys.isSettled());
    CHECK_FALSE(fixture.holdsBack("key"));
}

// Guards against a store of an older version that owns nothing yet and accepts messages anywhere later.
TEST_CASE("nothing is settled before every live store has told, whether or not it owns a partition") {
    MisplacedKeysFixture fixture;
    fixture.keys.record("store-0", {{0, {}}});
    fixture.keys.record("store-1", {{1, {}}});
    CHECK_FALSE(fixture.holdsBack("key"));
    CHECK_FALSE(fixture.keys.isSettled());
    fixture.keys.record("store-2", {});
    CHECK(fixture.keys.isSettled());
}

// Guards against a message of a key in a partition whose owner nobody asks for the key.
TEST_CASE("a store refuses a new message that an edge of an older version places elsewhere") {
    UpgradedStores stores(1);
    FakeEdge& edge = *stores.play.edges[0];
    const MessageContent content = stores.olderContent("key");
    edge.submit(content, 3, false, false, stores.formerPartitionOf("key"));
    stores.play.world.run(Millis(kOlderDelay + Millis(2000)));
    CHECK(edge.last_status == AcceptStatus::refused);
    CHECK(stores.message(content.id).runs == 0);
}

// Guards against an older store that holds messages of a key and is not asked, or cannot answer.
TEST_CASE("ordered messages wait while an owner has not told of its keys, all others run") {
    UpgradedStores stores(2);
    for (auto& machine : stores.play.machines) stores.play.stop(*machine);
    stores.play.hidden.insert(stores.play.machines[2]->name);  // it never learns that it owns partitions
    for (auto& machine : stores.play.machines) stores.play.start(*machine);
    stores.play.hidden.clear();
    auto& silent = *stores.play.machines[2];
    stores.play.changeView();
    stores.play.hidden.insert(silent.name);
    stores.play.world.run(Millis(1000));
    const MessageContent plain = stores.play.content("plain");
    std::string key = "key";
    while (&stores.play.ownerOf(stores.partitionOf(key)) == &silent) key += "y";
    const MessageId ordered = stores.submit(key);
    stores.play.edges[0]->submit(plain, 3, false, false, stores.partitionOf(key));
    stores.play.world.run(Millis(3000));
    CHECK(stores.message(ordered).accepted);
    CHECK(stores.message(ordered).runs == 0);
    CHECK(stores.message(plain.id).runs == 1);
    stores.play.hidden.clear();
    stores.play.deliverView(silent);
    stores.play.world.run(Millis(3000));
    CHECK(stores.message(ordered).runs == 1);
}

TEST_CASE("after a start of all stores without older messages nothing is held back") {
    UpgradedStores stores(3);
    for (auto& machine : stores.play.machines) stores.play.cutPower(*machine);
    for (auto& machine : stores.play.machines) stores.play.start(*machine);
    stores.play.changeView();
    stores.play.world.run(Millis(1000));
    CHECK(stores.metricsHave("misplaced_keys_settled 1"));
    const MessageId id = stores.submit("key");
    stores.play.world.run(Millis(200));
    CHECK(stores.message(id).runs == 1);
}

// Guards against messages that stay held back once nothing is misplaced any more.
TEST_CASE("what waits or arrives when all stores have lost power runs after their start") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        UpgradedStores stores(seed);
        StoreWorld& play = stores.play;
        for (auto& edge : play.edges) edge->down_services.insert("board");
        for (int i = 0; i < 30; ++i) stores.submit("key" + std::to_string(i % 12));
        play.world.run(Millis(1000));
        for (auto& machine : play.machines) play.cutPower(*machine);
        play.world.run(Millis(300));
        for (auto& machine : play.machines) play.start(*machine);
        play.changeView();
        for (auto& edge : play.edges) edge->down_services.clear();
        for (int i = 0; i < 600; ++i) {  // also while the stores learn that nothing is misplaced
            stores.submit("key" + std::to_string(i % 200));
            play.world.run(Millis(5));
        }
        play.world.run(Millis(15'000));
        CHECK(play.accepted() > 300);
        CHECK(play.unfinished() == 0);
        CHECK(stores.metricsHave("misplaced_keys_settled 1"));
        CHECK_MESSAGE(play.ledger.faults.empty(), play.faultText());
    }
}

// Guards against messages that stay held back when a store learns by a question of another one, between two
// looks of its own, that nothing is misplaced.
TEST_CASE("messages accepted by the last owner to become active run") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        UpgradedStores stores(seed);
        StoreWorld& play = stores.play;
        StoreMachine& last = *play.machines[2];
        for (auto& machine : play.machines) play.stop(*machine);
        for (auto& machine : play.machines) {
            play.start(*machine);
            play.world.run(Millis(40));  // so that the stores look at different moments
        }
        play.changeView();
        play.hidden.insert(last.name);  // the view reaches it only later
        play.world.run(Millis(1000 + 7 * static_cast<std::int64_t>(seed)));
        play.hidden.clear();
        play.deliverView(last);
        for (int i = 0; i < 200; ++i) {
            const std::string key = "key" + std::to_string(i);
            if (&play.ownerOf(stores.partitionOf(key)) == &last) stores.submit(key);
            play.world.run(Millis(3));
        }
        play.world.run(Millis(5000));
        CHECK(play.accepted() > 10);
        CHECK(play.unfinished() == 0);
    }
}
