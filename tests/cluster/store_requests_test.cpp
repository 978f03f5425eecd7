// Tests the answers of a store to single requests: accepts, reports and queries.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/cluster/store_world_edge.hpp"

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::simulation;

namespace {

WorldOptions options() {
    return {};
}

const Ledger::Message& only(StoreWorld& play) {
    return play.ledger.messages.begin()->second;
}

// Sends single requests to stores, without the heartbeats, retries and runs of a FakeEdge.
class Client {
public:
    explicit Client(StoreWorld& play)
        : play_(play), transport_(play.world, play.network, {"10.2.0.99", 7001}) {}

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
        made.edge_address = {"10.2.0.99", 7001};
        made.partition = partition;
        made.epoch = play_.view->epoch;
        made.content = content;
        made.retention_ms = 90000;
        made.max_failures = 3;
        made.timeout_ms = 1000;
        return made;
    }
    RunReport report(const MessageContent& content, const AcceptMessageReply& grant, RunOutcome outcome,
                     const std::string& stamp = {}) const {
        RunResult result;
        result.id = content.id;
        result.epoch = grant.epoch;
        result.attempt = grant.attempt;
        result.outcome = outcome;
        result.stamp = stamp;
        return {"edge-99", {"10.2.0.99", 7001}, {result}};
    }

private:
    StoreWorld& play_;
    MemoryTransport transport_;
};

}  // namespace

TEST_CASE("a message that is accepted twice is stored once and granted once") {
    StoreWorld play(20, options());
    Client client(play);
    const NodeAddress owner = play.ownerOf(0).address;
    const auto request = client.request(0, play.content("plain"));
    const auto first = client.ask<AcceptMessageReply>(owner, MessageKind::accept_message, request);
    const auto second = client.ask<AcceptMessageReply>(owner, MessageKind::accept_message, request);
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    CHECK(first->status == AcceptStatus::stored);
    CHECK(first->granted);
    CHECK(second->status == AcceptStatus::stored);
    CHECK(!second->granted);
}

TEST_CASE("only the owner accepts messages, takes reports and answers queries") {
    StoreWorld play(21, options());
    Client client(play);
    const auto content = play.content("plain");
    for (auto& machine : play.machines) {
        const bool owner = machine.get() == &play.ownerOf(0);
        const auto accept = client.ask<AcceptMessageReply>(machine->address, MessageKind::accept_message,
                                                           client.request(0, content));
        CHECK((accept->status == AcceptStatus::stored) == owner);
        if (!owner) CHECK(accept->status == AcceptStatus::not_owner);
        const auto report = client.ask<RunReportReply>(machine->address, MessageKind::run_report,
                                                       client.report(content, *accept, RunOutcome::not_run));
        CHECK(report->accepted.at(0) == owner);
        const auto state =
            client.ask<StateReply>(machine->address, MessageKind::state_query, StateQuery{0, content.id});
        CHECK(state->status == (owner ? QueryStatus::found : QueryStatus::not_owner));
    }
}

TEST_CASE("a dead letter whose body no store can return now is not reported as missing") {
    StoreWorld play(22, options());
    Client client(play);
    const NodeAddress owner = play.ownerOf(0).address;
    // The state of an ended message whose content the owner never received.
    RecordUpdate end;
    end.id = "dead";
    end.phase = Phase::dead_letter;
    end.ended_wall_ms = end.accepted_wall_ms = 1'700'000'000'000;
    end.keep_until_wall_ms = end.ended_wall_ms + 1'000'000'000;
    ReplicateRequest states;
    states.epoch = play.view->epoch;
    states.updates = {end};
    ReplicateBatch batch;
    batch.wall_ms = end.ended_wall_ms;
    batch.requests = {states};
    client.ask<ReplicateBatchReply>(owner, MessageKind::replicate, batch);
    const StateQuery query{0, "dead"};
    SUBCASE("none of the others has them") {}
    SUBCASE("the others are dead") {
        for (auto& machine : play.machines) {
            if (machine->address != owner) play.stop(*machine);
        }
    }
    const auto state = client.ask<StateReply>(owner, MessageKind::state_query, query);
    REQUIRE(state.has_value());
    CHECK(state->phase == Phase::dead_letter);
    const auto body = client.ask<StateReply>(owner, MessageKind::body_query, query);
    REQUIRE(body.has_value());
    CHECK(body->status == QueryStatus::not_owner);  // the edge asks again, then answers 503
    const auto none = client.ask<StateReply>(owner, MessageKind::body_query, StateQuery{0, "never was"});
    REQUIRE(none.has_value());
    CHECK(none->status == QueryStatus::not_found);
}

TEST_CASE("a failure reported twice counts once, and a success is not changed by later reports") {
    StoreWorld play(22, options());
    for (auto& edge : play.edges) edge->leaving = true;  // only the client gets a grant
    play.world.run(Millis(1100));
    Client client(play);
    const NodeAddress owner = play.ownerOf(0).address;
    const auto content = play.content("plain");
    const auto grant =
        client.ask<AcceptMessageReply>(owner, MessageKind::accept_message, client.request(0, content));
    REQUIRE(grant->granted);
    const auto report = [&](RunOutcome outcome, const std::string& stamp = {}) {
        client.ask<RunReportReply>(owner, MessageKind::run_report,
                                   client.report(content, *grant, outcome, stamp));
        return *client.ask<StateReply>(owner, MessageKind::state_query, StateQuery{0, content.id});
    };
    for (int i = 0; i < 5; ++i) CHECK(report(RunOutcome::failed).phase == Phase::pending);
    CHECK(report(RunOutcome::completed, "stamp").phase == Phase::completed);
    CHECK(report(RunOutcome::rejected).phase == Phase::completed);
    CHECK(report(RunOutcome::completed, "other").stamp == "stamp");
}

TEST_CASE("the first end is final: a success reported after a rejection changes nothing") {
    StoreWorld play(23, options());
    for (auto& edge : play.edges) edge->leaving = true;
    play.world.run(Millis(1100));
    Client client(play);
    const NodeAddress owner = play.ownerOf(0).address;
    const auto content = play.content("plain");
    const auto grant =
        client.ask<AcceptMessageReply>(owner, MessageKind::accept_message, client.request(0, content));
    client.ask<RunReportReply>(owner, MessageKind::run_report,
                               client.report(content, *grant, RunOutcome::rejected));
    client.ask<RunReportReply>(owner, MessageKind::run_report,
                               client.report(content, *grant, RunOutcome::completed, "late"));
    const auto state = client.ask<StateReply>(owner, MessageKind::state_query, StateQuery{0, content.id});
    CHECK(state->phase == Phase::dead_letter);
}

TEST_CASE("an unreachable replica costs one time-out, and the next store gets the copy") {
    StoreWorld play(24, options());
    play.network.isolate(play.machines[2]->address.ip);
    Client client(play);
    for (int i = 0; i < 4; ++i) {
        const auto request = client.request(0, play.content("plain"));
        const auto accept =
            client.ask<AcceptMessageReply>(play.ownerOf(0).address, MessageKind::accept_message, request);
        REQUIRE(accept.has_value());
        CHECK(accept->status == AcceptStatus::stored);
    }
}

TEST_CASE("an accept without any copy is answered as unknown, and the message runs once a copy is made") {
    StoreWorld play(25, options());
    StoreMachine& owner = play.ownerOf(0);
    for (auto& machine : play.machines) {
        if (machine.get() != &owner) play.network.cutBoth(machine->address.ip, owner.address.ip);
    }
    Client client(play);
    const auto content = play.content("plain");
    play.ledger.messages[content.id].content = content;
    const auto accept = client.ask<AcceptMessageReply>(owner.address, MessageKind::accept_message,
                                                       client.request(0, content));
    REQUIRE(accept.has_value());
    CHECK(accept->status == AcceptStatus::unknown);
    CHECK(!accept->granted);
    play.world.run(Millis(3000));
    CHECK(play.ledger.messages[content.id].runs == 0);
    play.network.healAll();
    play.world.run(Millis(3000));
    CHECK(play.ledger.messages[content.id].runs == 1);
}

TEST_CASE("a grant lost with the answer to its accept is noticed, and the message is granted again") {
    StoreWorld play(26, options());
    StoreMachine& owner = play.ownerOf(0);
    const std::string edge_ip = "10.2.0.1";
    play.network.cut(owner.address.ip, edge_ip);  // answers of the owner are lost, requests arrive
    MessageContent content = play.content("plain");
    while (play.ledger.messages.empty() || only(play).partition != 0) {
        play.ledger.messages.clear();
        play.edges[0]->submit(content, 3);
    }
    play.world.run(Millis(200));
    play.network.healAll();
    play.world.run(Millis(4000));
    CHECK(play.ledger.messages[content.id].runs >= 1);
    CHECK(play.ledger.messages[content.id].ended.has_value());
}
