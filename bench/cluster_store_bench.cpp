// Processor time and memory of two store processes, owner and replica, for accepts, grants and reports over
// loopback. Each store is a whole process with its own ring; the parent plays the edge.
//   cluster_store_bench [RUNS] [FOLDER]
// FOLDER holds the rings while the bench runs (default: a new one in /tmp).
#include <filesystem>
#include <memory>

#include "bench/cluster_bench_support.hpp"
#include "bench/cluster_stores.hpp"
#include "cluster/common/tcp_transport.hpp"
#include "cluster/common/typed_call.hpp"
#include "cluster/storage/edge_registry.hpp"

namespace {

using namespace amberswitch::cluster;
using namespace amberswitch::cluster::bench;

constexpr int kMessages = 20'000;
constexpr int kAtOnce = 32;
constexpr int kBacklogSteps = 5;
constexpr Millis kTimeout{5000};

// The edge: accepts messages at the owner and reports each granted run as completed.
class Edge {
public:
    Edge(EventLoop& loop, const Stores& stores, std::size_t body_bytes)
        : transport_(loop, {"127.0.0.1", 0}), loop_(loop), stores_(stores), body_(body_bytes, 'x') {}

    void accept(int count, bool granted) {
        Rounds rounds(loop_, count, kAtOnce,
                      [this, granted](int, std::function<void()> done) { acceptOne(granted, done); });
        rounds.run();
    }
    // Tells the owner every second that this edge lives. It takes no grant that is pushed.
    void heartbeat() {
        transport_.serve([](const Envelope& request, const Responder& respond) {
            const auto push = decode<GrantPush>(request.body);
            GrantPushReply none;
            if (push) none.accepted.assign(push->grants.size(), false);
            respond(reply(none));
        });
        EdgeSync sync;
        sync.edge = "edge-0";
        sync.zone = "zone-0";
        sync.edge_address = transport_.address();
        sync.incarnation = 1;
        sync.view_epoch = 1;
        callFor<EdgeSyncReply>(transport_, stores_.address(), MessageKind::edge_sync, sync, kTimeout,
                               [](const std::optional<EdgeSyncReply>&) {});
        heartbeat_ = loop_.after(Millis(1000), [this] { heartbeat(); });
    }
    void printWhereNotAll(int expected) const {
        if (stored_ == expected) return;
        std::printf("of %d: %d stored (%d granted inline), %d refused, %d unknown, %d unanswered\n", expected,
                    stored_, granted_, refused_, unknown_, unanswered_);
    }

private:
    void acceptOne(bool granted, const std::function<void()>& done) {
        AcceptMessageRequest request;
        request.edge = "edge-0";
        request.edge_address = transport_.address();
        request.epoch = 1;
        request.content.id = "9c41d07be2a3" + std::to_string(next_++);
        request.content.service = "servers";
        request.content.method = "POST";
        request.content.host = "a.example";
        request.content.target = "/bose230/zi72/2f";
        request.content.content_type = "application/json";
        request.content.config_generation = 1;
        request.content.body = body_;
        request.retention_ms = 600'000;
        request.max_failures = 3;
        request.timeout_ms = 1000;
        request.wants_grant = granted;
        const MessageId id = request.content.id;
        callFor<AcceptMessageReply>(
            transport_, stores_.address(), MessageKind::accept_message, request, kTimeout,
            [this, id, done](const std::optional<AcceptMessageReply>& reply) { accepted(id, reply, done); });
    }
    void accepted(const MessageId& id, const std::optional<AcceptMessageReply>& reply,
                  const std::function<void()>& done) {
        if (!reply) ++unanswered_;
        if (reply && reply->status == AcceptStatus::stored) ++stored_;
        if (reply && reply->status == AcceptStatus::refused) ++refused_;
        if (reply && reply->status == AcceptStatus::unknown) ++unknown_;
        if (!reply || !reply->granted) return done();
        ++granted_;
        RunReport report;
        report.edge = "edge-0";
        report.edge_address = transport_.address();
        RunResult result;
        result.id = id;
        result.epoch = reply->epoch;
        result.attempt = reply->attempt;
        result.outcome = RunOutcome::completed;
        result.stamp = "f3c2a19e55d04b77";
        report.results = {result};
        callFor<RunReportReply>(transport_, stores_.address(), MessageKind::run_report, report, kTimeout,
                                [done](const std::optional<RunReportReply>&) { done(); });
    }

    TcpTransport transport_;
    EventLoop& loop_;
    const Stores& stores_;
    std::string body_;
    int next_ = 100'000'000;
    int stored_ = 0;
    int granted_ = 0;
    int refused_ = 0;
    int unknown_ = 0;
    int unanswered_ = 0;
    TimerHandle heartbeat_;
};

// Accept, grant and report, message after message.
void measureWholeLife(int runs, const std::string& folder, std::size_t body_bytes) {
    Series owner, replica, ended_owner, ended_replica;
    for (int run = 0; run < runs; ++run) {
        const Stores stores(freshFolder(folder));
        EventLoop loop;
        Edge edge(loop, stores, body_bytes);
        edge.heartbeat();
        runFor(loop, kStartUp);
        edge.accept(kMessages / 10, true);  // warms up
        const double owner_start = stores.owner().micros(), owner_memory = stores.owner().resident();
        const double replica_start = stores.replica().micros(), replica_memory = stores.replica().resident();
        edge.accept(kMessages, true);
        owner.add((stores.owner().micros() - owner_start) / kMessages);
        replica.add((stores.replica().micros() - replica_start) / kMessages);
        runFor(loop, Millis(500));
        ended_owner.add((stores.owner().resident() - owner_memory) / kMessages);
        ended_replica.add((stores.replica().resident() - replica_memory) / kMessages);
        edge.printWhereNotAll(kMessages + kMessages / 10);
    }
    const std::string size = ", body of " + std::to_string(body_bytes);
    owner.print("owner: accept + grant + report" + size, "us");
    replica.print("replica: accept + end" + size, "us");
    ended_owner.print("owner: memory of an ended message" + size, "bytes");
    ended_replica.print("replica: memory of an ended message" + size, "bytes");
}

// A growing backlog: accepts that nobody runs.
void measureBacklog(int runs, const std::string& folder, std::size_t body_bytes) {
    std::vector<Series> owner(kBacklogSteps), replica(kBacklogSteps), memory(kBacklogSteps),
        replica_memory(kBacklogSteps);
    Series idle_before, idle_after;
    for (int run = 0; run < runs; ++run) {
        const Stores stores(freshFolder(folder));
        EventLoop loop;
        Edge edge(loop, stores, body_bytes);
        runFor(loop, kStartUp);
        double idle_start = stores.owner().micros();
        runFor(loop, Millis(1000));
        idle_before.add(stores.owner().micros() - idle_start);
        for (std::size_t step = 0; step < kBacklogSteps; ++step) {
            const double owner_start = stores.owner().micros(), owner_bytes = stores.owner().resident();
            const double replica_start = stores.replica().micros();
            const double replica_bytes = stores.replica().resident();
            edge.accept(kMessages, false);
            owner[step].add((stores.owner().micros() - owner_start) / kMessages);
            replica[step].add((stores.replica().micros() - replica_start) / kMessages);
            runFor(loop, Millis(300));
            memory[step].add((stores.owner().resident() - owner_bytes) / kMessages);
            replica_memory[step].add((stores.replica().resident() - replica_bytes) / kMessages);
        }
        idle_start = stores.owner().micros();
        runFor(loop, Millis(1000));
        idle_after.add(stores.owner().micros() - idle_start);
        edge.printWhereNotAll(kMessages * kBacklogSteps);
    }
    for (std::size_t step = 0; step < kBacklogSteps; ++step) {
        const std::string at =
            ", backlog from " + std::to_string(step * kMessages) + ", body of " + std::to_string(body_bytes);
        owner[step].print("owner: accept" + at, "us");
        replica[step].print("replica: accept" + at, "us");
        memory[step].print("owner: memory of a live message" + at, "bytes");
        replica_memory[step].print("replica: memory of a live message" + at, "bytes");
    }
    idle_before.print("owner: idle, no backlog, per second", "us");
    idle_after.print("owner: idle, backlog of 100000, per second", "us");
}

// Which edge takes the next grant that is pushed. In this process.
void measureChoice(int runs, int count) {
    constexpr int kChoices = 2'000;
    Series micros;
    storage::EdgeRegistry edges("zone-0", {}, 7);
    const SteadyTime now{std::chrono::seconds(1000)};
    for (int i = 0; i < count; ++i) {
        storage::Edge& edge =
            edges.recordContact("edge-hall-trakia-" + std::to_string(i), {"10.20.1.17", 7781}, now);
        edge.zone = "zone-" + std::to_string(i % 12);
        edge.synced_epoch = 1;
    }
    for (int run = 0; run < runs; ++run) {
        const double start = processorMicros(getpid());
        for (int i = 0; i < kChoices; ++i) {
            if (edges.choose(now) == nullptr) std::printf("no edge\n");
        }
        micros.add((processorMicros(getpid()) - start) / kChoices);
    }
    micros.print("owner: choice of an edge for a push, " + std::to_string(count) + " edges", "us");
}

}  // namespace

int main(int argc, char** argv) {
    quietLog(argv[0]);
    const int runs = argc > 1 ? std::atoi(argv[1]) : 5;
    const std::string folder = argc > 2 ? argv[2] : "/tmp/cluster_store_bench." + std::to_string(getpid());
    for (const int edges : {8, 300, 1'000, 13'000}) measureChoice(runs, edges);
    for (const std::size_t body_bytes : {600u, 5000u}) measureWholeLife(runs, folder, body_bytes);
    measureBacklog(runs, folder, 600);
    std::filesystem::remove_all(folder);
    return 0;
}
