// Tests of PeeringRound: whether a quorum of stores has answered, and which copies are missing.
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
    void addMessage(const MessageId& id) {
        MessageRecord record;
        record.content.id = id;
        record.partition = 1;
        record.accepted_wall_ms = clock.wallMillis();
        record.callback_done = true;
        replica.store(record, false);
    }
    void complete(const MessageId& id) {
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
    PullReply reply = answer(true);
    SUBCASE("peered before it went: it may hold the only other copy") {
        PeeringRound round(1, stores, 1, true, 6);
        reply.peered_epoch = 6;
        round.onReply("b", reply);
        CHECK(!round.hasQuorum());
        round.onReply("d", answer(true));
        CHECK(round.hasQuorum());
    }
    SUBCASE("peered without it, as another replica knows") {
        PeeringRound round(1, stores, 1, true, 6);
        reply.peered_epoch = 7;
        round.onReply("b", reply);
        CHECK(round.hasQuorum());
    }
    SUBCASE("its own answer does not stand for that of another one") {
        PeeringRound round(1, stores, 1, true, 8);
        CHECK(!round.hasQuorum());
        round.onReply("c", answer(true));
        CHECK(!round.hasQuorum());
        round.onReply("d", answer(false));
        CHECK(!round.hasQuorum());
        round.onReply("b", answer(true));
        CHECK(round.hasQuorum());
    }
    SUBCASE("back and alive, it is needed again") {
        stores.back().alive = true;
        PeeringRound round(1, stores, 1, true, 8);
        round.onReply("b", answer(true));
        CHECK(!round.hasQuorum());
    }
}

TEST_CASE("n - f valid replicas are needed, and the owner's own counts if it is valid") {
    PeeringRound round(1, peers({"b", "c"}), 1, true);
    CHECK(!round.hasQuorum());
    round.onReply("b", answer(false));
    CHECK(!round.hasQuorum());
    round.onReply("c", answer(true));
    CHECK(round.hasQuorum());

    PeeringRound empty_owner(1, peers({"b", "c"}), 1, false);
    empty_owner.onReply("b", answer(true));
    CHECK(!empty_owner.hasQuorum());
    empty_owner.onReply("c", answer(true));
    CHECK(empty_owner.hasQuorum());

    PeeringRound five(1, peers({"b", "c", "d", "e"}), 2, true);
    five.onReply("b", answer(true));
    CHECK(!five.hasQuorum());
    five.onReply("d", answer(true));
    CHECK(five.hasQuorum());
}

TEST_CASE("a repeated answer counts once") {
    PeeringRound round(1, peers({"b", "c", "d", "e"}), 2, true);
    round.onReply("b", answer(true));
    round.onReply("b", answer(true));
    CHECK(!round.hasQuorum());
}

TEST_CASE("a lost machine and a wiped one are too much for one tolerated loss, until all have answered") {
    PeeringRound round(1, peers({"b"}, {"c"}), 1, true);
    round.onReply("b", answer(false));
    CHECK(!round.hasQuorum());
    round.onReply("c", answer(true));
    CHECK(round.hasQuorum());
    PeeringRound nothing_left(1, peers({"b", "c"}), 1, false);
    nothing_left.onReply("b", answer(false));
    nothing_left.onReply("c", answer(false));
    CHECK(nothing_left.hasQuorum());
}

TEST_CASE("a store that is retiring answers, but holds no copies, and is waited for before all is done") {
    Owner owner;
    owner.addMessage("a");
    auto stores = peers({"b", "c"});
    stores[0].keeps_copies = false;
    PeeringRound round(1, stores, 1, true);
    round.onReply("c", answer(true));
    CHECK(round.hasQuorum());
    CHECK(round.canReachRedundancy());
    CHECK(!round.haveRetiringAnswered());
    round.onReply("b", answer(true, {"a"}));
    CHECK(round.haveRetiringAnswered());
    const auto missing = owner.missing(round);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].store == "c");
    CHECK(missing[0].with_content);
    stores[1].alive = false;
    CHECK(!PeeringRound(1, stores, 1, true).canReachRedundancy());
}

TEST_CASE(
    "the contents of dead letters are copied like live ones, the contents of completed messages are not") {
    Owner owner;
    for (const char* id : {"dead", "done"}) owner.addMessage(id);
    owner.complete("done");
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
    CHECK(!round.hasQuorum());
    round.onReply("c", answer(true));
    CHECK(round.hasQuorum());
    CHECK(PeeringRound(1, {}, 0, true).hasQuorum());
}

TEST_CASE("contents of live messages are copied until they are on enough live disks") {
    Owner owner;
    owner.addMessage("two copies");
    owner.addMessage("mine only");
    PeeringRound round(1, peers({"b", "c"}), 1, true);
    round.onReply("b", answer(true));
    round.onReply("c", answer(true, {"two copies"}));
    const auto missing = owner.missing(round);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].id == "mine only");
    CHECK(missing[0].store == "b");
    CHECK(missing[0].with_content);
    round.onCopied(missing[0], owner.replica.state(1, "mine only", *owner.replica.find(1, "mine only")));
    CHECK(owner.missing(round).empty());
}

TEST_CASE("copies on dead stores do not count") {
    Owner owner;
    owner.addMessage("a");
    PeeringRound round(1, peers({"b"}, {"c"}), 1, true);
    round.onReply("c", answer(true, {"a"}));
    round.onReply("b", answer(true));
    const auto missing = owner.missing(round);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].store == "b");
    CHECK(round.canReachRedundancy());
    PeeringRound alone(1, peers({}, {"b", "c"}), 1, true);
    CHECK(!alone.canReachRedundancy());
}

TEST_CASE("a store with an outdated state is sent the new one, and an end is copied to enough stores") {
    Owner owner;
    owner.addMessage("a");
    owner.complete("a");
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
    owner.addMessage("a");
    PeeringRound round(1, peers({"b", "c"}), 1, true);
    round.onReply("c", answer(true));
    const auto missing = owner.missing(round);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].store == "b");
    round.onCopied(missing[0], owner.replica.state(1, "a", *owner.replica.find(1, "a")));
    CHECK(!round.hasAnswered("b"));
    CHECK(round.holders("a") == std::vector<std::string>{"b"});
}
