// The pure part of peering: whether enough stores have answered, and which copies are missing.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "cluster/storage/peering.hpp"
#include "tests/cluster/store_world.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;
using namespace amberswitch::cluster::storage;

namespace {

struct Owner {
    World world{1};
    DiskState platter;
    SimulatedScheduler scheduler{world};
    FakeDisk disk{world, scheduler, platter};
    StoreClock clock{scheduler};
    Replica replica{disk, clock, true, Millis(120000)};

    Owner() { replica.load(); }
    void has(const MessageId& id) {
        MessageRecord record;
        record.content.id = id;
        record.partition = 1;
        record.accepted_wall_ms = clock.wallMillis();
        record.callback_done = true;
        replica.store(record, false);
    }
    void ended(const MessageId& id) {
        RecordUpdate update;
        update.partition = 1;
        update.id = id;
        update.phase = Phase::completed;
        update.callback_done = true;
        update.ended_wall_ms = clock.wallMillis();
        replica.merge(update);
    }
    std::vector<MissingCopy> missing(const PeeringRound& round) {
        return round.missing(replica, [](const MessageId&) { return false; });
    }
};

PullReply answer(bool valid, std::vector<MessageId> pending = {}) {
    PullReply reply;
    reply.promised = true;
    reply.valid = valid;
    for (MessageId& id : pending) {
        RecordUpdate state;
        state.id = std::move(id);
        reply.states.push_back(std::move(state));
    }
    return reply;
}

std::vector<PeerStore> peers(std::vector<std::string> alive, std::vector<std::string> dead = {}) {
    std::vector<PeerStore> made;
    for (std::string& name : alive) made.push_back({std::move(name), true});
    for (std::string& name : dead) made.push_back({std::move(name), false});
    return made;
}

}  // namespace

TEST_CASE("a store that has been away since before the last peering is not needed") {
    std::vector<PeerStore> stores = peers({"b", "d"}, {"c"});
    stores.back().away_epoch = 7;
    PullReply told = answer(true);
    SUBCASE("peered before it went: it may hold the only other copy") {
        PeeringRound round(1, stores, 1, true, 6);
        told.peered = 6;
        round.onReply("b", told);
        CHECK(!round.enough());
        round.onReply("d", answer(true));
        CHECK(round.enough());
    }
    SUBCASE("peered without it, as another replica was told") {
        PeeringRound round(1, stores, 1, true, 6);
        told.peered = 7;
        round.onReply("b", told);
        CHECK(round.enough());
    }
    SUBCASE("its own answer does not stand for that of another one") {
        PeeringRound round(1, stores, 1, true, 8);
        CHECK(!round.enough());
        round.onReply("c", answer(true));
        CHECK(!round.enough());
        round.onReply("d", answer(false));
        CHECK(!round.enough());
        round.onReply("b", answer(true));
        CHECK(round.enough());
    }
    SUBCASE("back and alive, it is needed again") {
        stores.back().alive = true;
        PeeringRound round(1, stores, 1, true, 8);
        round.onReply("b", answer(true));
        CHECK(!round.enough());
    }
}

TEST_CASE("n - f replicas that lack nothing are needed, the owner's own counts if it lacks nothing") {
    PeeringRound round(1, peers({"b", "c"}), 1, true);
    CHECK(!round.enough());
    round.onReply("b", answer(false));
    CHECK(!round.enough());
    round.onReply("c", answer(true));
    CHECK(round.enough());

    PeeringRound empty_owner(1, peers({"b", "c"}), 1, false);
    empty_owner.onReply("b", answer(true));
    CHECK(!empty_owner.enough());
    empty_owner.onReply("c", answer(true));
    CHECK(empty_owner.enough());

    PeeringRound five(1, peers({"b", "c", "d", "e"}), 2, true);
    five.onReply("b", answer(true));
    CHECK(!five.enough());
    five.onReply("d", answer(true));
    CHECK(five.enough());
}

TEST_CASE("a repeated answer counts once") {
    PeeringRound round(1, peers({"b", "c", "d", "e"}), 2, true);
    round.onReply("b", answer(true));
    round.onReply("b", answer(true));
    CHECK(!round.enough());
}

TEST_CASE("a lost machine and a wiped one are too much for one tolerated loss, until all have answered") {
    PeeringRound round(1, peers({"b"}, {"c"}), 1, true);
    round.onReply("b", answer(false));
    CHECK(!round.enough());
    round.onReply("c", answer(true));
    CHECK(round.enough());
    PeeringRound nothing_left(1, peers({"b", "c"}), 1, false);
    nothing_left.onReply("b", answer(false));
    nothing_left.onReply("c", answer(false));
    CHECK(nothing_left.enough());
}

TEST_CASE("a store that is retiring answers, but holds no copies, and is waited for before all is done") {
    Owner owner;
    owner.has("a");
    auto stores = peers({"b", "c"});
    stores[0].keeps_copies = false;
    PeeringRound round(1, stores, 1, true);
    round.onReply("c", answer(true));
    CHECK(round.enough());
    CHECK(round.enoughAlive());
    CHECK(!round.emptied());
    round.onReply("b", answer(true, {"a"}));
    CHECK(round.emptied());
    const auto missing = owner.missing(round);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].store == "c");
    CHECK(missing[0].with_content);
    stores[1].alive = false;
    CHECK(!PeeringRound(1, stores, 1, true).enoughAlive());
}

TEST_CASE(
    "the contents of dead letters are copied like live ones, the contents of completed messages are not") {
    Owner owner;
    for (const char* id : {"dead", "done"}) owner.has(id);
    owner.ended("done");
    RecordUpdate end;
    end.partition = 1;
    end.id = "dead";
    end.phase = Phase::dead_letter;
    end.callback_done = true;
    end.ended_wall_ms = owner.clock.wallMillis();
    owner.replica.merge(end);
    PullReply states = answer(true);
    for (const char* id : {"dead", "done"})
        states.states.push_back(owner.replica.state(1, id, *owner.replica.find(1, id)));
    PeeringRound round(1, peers({"b"}), 1, true);
    round.onReply("b", states);
    const auto missing = owner.missing(round);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].id == "dead");
    CHECK(missing[0].with_content);
    states.dead_letters = {"dead"};
    PeeringRound held(1, peers({"b"}), 1, true);
    held.onReply("b", states);
    CHECK(owner.missing(held).empty());
}

TEST_CASE("without tolerated losses every store is needed") {
    PeeringRound round(1, peers({"b", "c"}), 0, true);
    round.onReply("b", answer(true));
    CHECK(!round.enough());
    round.onReply("c", answer(true));
    CHECK(round.enough());
    CHECK(PeeringRound(1, {}, 0, true).enough());
}

TEST_CASE("live messages get their content copied until they stand on enough live disks") {
    Owner owner;
    owner.has("two copies");
    owner.has("mine only");
    PeeringRound round(1, peers({"b", "c"}), 1, true);
    round.onReply("b", answer(true));
    round.onReply("c", answer(true, {"two copies"}));
    const auto missing = owner.missing(round);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].id == "mine only");
    CHECK(missing[0].store == "b");
    CHECK(missing[0].with_content);
    round.copied(missing[0], owner.replica.state(1, "mine only", *owner.replica.find(1, "mine only")));
    CHECK(owner.missing(round).empty());
}

TEST_CASE("copies on dead stores do not count") {
    Owner owner;
    owner.has("a");
    PeeringRound round(1, peers({"b"}, {"c"}), 1, true);
    round.onReply("c", answer(true, {"a"}));
    round.onReply("b", answer(true));
    const auto missing = owner.missing(round);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].store == "b");
    CHECK(round.enoughAlive());
    PeeringRound alone(1, peers({}, {"b", "c"}), 1, true);
    CHECK(!alone.enoughAlive());
}

TEST_CASE("a store that is behind gets the state, and an end stands on enough stores") {
    Owner owner;
    owner.has("a");
    owner.ended("a");
    PeeringRound behind(1, peers({"b", "c"}), 1, true);
    behind.onReply("b", answer(true, {"a"}));
    behind.onReply("c", answer(true));
    auto missing = owner.missing(behind);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].store == "b");
    CHECK(!missing[0].with_content);

    PeeringRound unknown(1, peers({"b", "c"}), 1, true);
    unknown.onReply("b", answer(true));
    unknown.onReply("c", answer(true));
    missing = owner.missing(unknown);
    REQUIRE(missing.size() == 1);
    CHECK(!missing[0].with_content);
}

TEST_CASE("a copy that was made before its store answered does not count as the answer") {
    Owner owner;
    owner.has("a");
    PeeringRound round(1, peers({"b", "c"}), 1, true);
    round.onReply("c", answer(true));
    const auto missing = owner.missing(round);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].store == "b");
    round.copied(missing[0], owner.replica.state(1, "a", *owner.replica.find(1, "a")));
    CHECK(!round.answered("b"));
    CHECK(round.holders("a") == std::vector<std::string>{"b"});
}
