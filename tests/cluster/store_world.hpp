// Simulation for the tests of StoreNode: whole stores on the simulated network, with disks that lose data
// that was not synced, edges that run messages on simulated servers, and a simulated leader.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/codec.hpp"
#include "cluster/common/edge_heartbeat.hpp"
#include "cluster/common/order_key.hpp"
#include "cluster/storage/store_node.hpp"
#include "tests/cluster/store_world_disk.hpp"

namespace amberswitch::cluster::simulation {

// A store machine: its platter, which outlives the processes, and the process if one runs.
struct StoreMachine {
    std::string name;
    std::string zone;
    NodeAddress address;
    DiskState platter;
    Incarnation incarnation = 0;
    bool disk_empty = false;
    bool disk_failed = false;  // as known to the leader
    bool leaving = false;
    bool retiring = false;
    bool dropped = false;  // not in the view
    Epoch away_epoch = 0;
    Epoch joined_epoch = 0;
    Incarnation joined_incarnation = 0;
    struct Process {
        std::unique_ptr<SimulatedScheduler> scheduler;
        std::unique_ptr<MemoryTransport> transport;
        std::unique_ptr<FakeDisk> disk;
        std::unique_ptr<StoreNode> node;
    };
    std::unique_ptr<Process> process;
};

// What the servers and the clients have observed; the tests check their rules against it.
struct Ledger {
    struct Message {
        MessageContent content;
        PartitionId partition = 0;
        SteadyTime sent{};
        std::optional<SteadyTime> accepted;  // when the client received its 202
        std::optional<SteadyTime> ended;  // when a server answered with success, 422 or the last allowed 500
        std::uint32_t failures = 0;
        std::uint32_t max_failures = 3;
        std::set<std::string> stamps;  // of the runs that succeeded
        bool rejected = false;
        bool always_fails = false;     // every run is answered with 500
        bool always_rejected = false;  // every run is answered with 422
        int runs = 0;
        int runs_after_read_success = 0;
        std::vector<SteadyTime> late_runs;  // runs that began after an edge had read the end of the message
        bool success_read = false;
        bool end_read = false;  // an edge has read a success or a 422
        int callbacks_taken = 0;
    };
    std::map<MessageId, Message> messages;
    std::map<std::string, std::vector<SteadyTime>> arrivals;  // by service
    std::vector<std::string> faults;                          // descriptions of violated rules
};

// The size of the simulated system and the faults of its servers.
struct WorldOptions {
    int stores = 3;
    std::uint32_t tolerated = 1;
    std::uint32_t tolerated_zones = 0;
    int edges = 3;
    std::uint32_t partitions = 8;
    double lost_answers = 0;  // share of runs whose answer the edge does not read
    double failures = 0;      // share of runs answered with 500
    bool duplicate_reports = false;
    bool leader_sees_disks = true;
    // Edges are in another region: they send only every second sync to a store for which they run nothing.
    bool far_edges = false;
};

class StoreWorld;

// An edge that submits messages to the stores, runs its grants on simulated servers and reports the results.
// Implemented in store_world_edge.hpp.
class FakeEdge {
public:
    FakeEdge(StoreWorld& stores, int index);
    void onView(std::shared_ptr<const StoreView> view);
    // `partition`: where an edge of an older version would store it; nothing: where it belongs.
    void submit(MessageContent content, std::uint32_t max_failures, bool always_fails = false,
                bool always_rejected = false, std::optional<PartitionId> partition = {});
    std::optional<StateReply> query(MessageKind kind, PartitionId partition, const MessageId& id);
    void kill();
    void restart();
    bool alive() const { return process_ != nullptr; }
    const std::string& name() const { return name_; }
    std::size_t running() const { return running_.size(); }

    bool wants_grants = true;
    bool leaving = false;
    AcceptStatus last_status = AcceptStatus::unknown;
    std::set<std::string> down_services;
    Millis run_time{30};

private:
    struct Process {
        std::unique_ptr<SimulatedScheduler> scheduler;
        std::unique_ptr<MemoryTransport> transport;
        std::vector<TimerHandle> timers;
        TimerHandle sync_timer;
    };
    using AttemptName = std::tuple<MessageId, Epoch, std::uint64_t>;
    std::optional<NodeAddress> ownerOf(PartitionId partition) const;
    PartitionId partitionFor(const MessageContent& content) const;
    void later(Millis delay, std::function<void()> work) {
        process_->timers.push_back(process_->scheduler->after(delay, std::move(work)));
    }
    void serve(const Envelope& request, Responder respond);
    void run(const Grant& grant);
    void runCallback(const Grant& grant);
    void finish(const Grant& grant, RunOutcome outcome, const std::string& stamp, bool down = false);
    void report(RunResult result, int tries);
    void sync();
    void syncTo(const NodeAddress& store);
    bool runsFor(const NodeAddress& store) const;

    StoreWorld& stores_;
    std::string name_;
    std::string zone_;
    NodeAddress address_;
    Incarnation incarnation_ = 0;
    std::unique_ptr<Process> process_;
    std::shared_ptr<const StoreView> view_;
    std::int64_t heartbeats_ = 0;
    std::map<AttemptName, RunningAttempt> running_;
};

// The simulated machines, edges and servers with one configuration and the current view; the test acts as the
// leader by changing the view. All randomness comes from `seed`.
class StoreWorld {
public:
    StoreWorld(std::uint64_t seed, WorldOptions chosen) : options(chosen), world(seed), network(world) {
        configuration = std::make_shared<Configuration>();
        configuration->generation = 1;
        addRoute("plain", "servers", 2, 3);
        addRoute("lines", "board", 1, 3, true);
        addRoute("limited", "partner", 2, 3);
        Service partner;
        partner.name = "partner";
        partner.rate_per_s = 20;
        partner.max_connections = 40;
        partner.endpoint = NodeAddress{"10.9.0.1", 80};
        configuration->services.push_back(partner);
        for (const char* name : {"servers", "board"}) {
            Service service;
            service.name = name;
            configuration->services.push_back(service);
        }
        configuration->buildIndexes();
        for (int i = 0; i < options.stores; ++i) machines.push_back(makeMachine(i));
        for (auto& machine : machines) start(*machine, true);
        for (int i = 0; i < options.edges; ++i) edges.push_back(std::make_unique<FakeEdge>(*this, i));
        changeView();
        world.run(Millis(200));
    }
    ~StoreWorld() {
        for (auto& edge : edges) edge->kill();
        for (auto& machine : machines) stop(*machine);
    }

    void addRoute(const std::string& name, const std::string& service, int priority,
                  std::uint32_t max_retries, bool ordered = false) {
        Route route;
        route.name = name;
        route.path_prefix = "/" + name + "/";
        route.service = service;
        route.priority = priority;
        route.max_retries = max_retries;
        route.ordered = ordered;
        route.timeout = Millis(1000);
        route.retention = Millis(90000);
        configuration->routes.push_back(route);
        configuration->buildIndexes();
    }

    // --- Machines ---
    void start(StoreMachine& machine, bool bootstrap = false, std::int64_t wall_step_ms = 0) {
        auto process = std::make_unique<StoreMachine::Process>();
        process->scheduler = std::make_unique<SimulatedScheduler>(world);
        process->scheduler->stepWallClock(wall_step_ms);
        process->transport = std::make_unique<MemoryTransport>(world, network, machine.address);
        process->disk = std::make_unique<FakeDisk>(world, *process->scheduler, machine.platter);
        machine.disk_empty = process->disk->wasEmpty() && !bootstrap;
        machine.incarnation = ++last_incarnation;
        machine.leaving = false;
        NodeSettings settings;
        settings.name = machine.name;
        settings.zone = machine.zone;
        settings.ip = machine.address.ip;
        settings.bootstrap = bootstrap;
        settings.tolerance = {options.tolerated, options.tolerated_zones, 0};
        process->node = std::make_unique<StoreNode>(*process->scheduler, *process->transport, *process->disk,
                                                    settings, machine.incarnation);
        machine.disk_failed = false;
        process->node->onUsable([this, raw = &machine](bool usable) { onUsable(*raw, usable); });
        process->node->start();
        process->node->setEdgeCount(static_cast<std::uint32_t>(options.edges));
        process->node->onConfiguration(configuration);
        machine.process = std::move(process);
    }
    void stop(StoreMachine& machine) {
        if (!machine.process) return;
        machine.process->scheduler->kill();
        machine.process->disk->writeAll();
        end(machine);
    }
    void cutPower(StoreMachine& machine) {
        if (!machine.process) return;
        machine.process->scheduler->kill();
        machine.process->disk->losePower();
        end(machine);
    }
    void wipe(StoreMachine& machine) {
        cutPower(machine);
        machine.platter = DiskState();
    }

    // --- The leader ---
    // A new epoch in which exactly the machines that run are alive.
    void changeView() {
        auto next = std::make_shared<StoreView>();
        next->epoch = view ? view->epoch + 1 : 1;
        next->tolerated = options.tolerated;
        viewed.clear();
        for (const auto& machine : machines) {
            if (machine->dropped) continue;
            viewed.push_back(machine.get());
            StoreMember store;
            store.retirement_requested = store.retiring = machine->retiring;
            store.joined_epoch = machine->joined_epoch;
            store.joined_incarnation = machine->joined_incarnation;
            store.member.name = machine->name;
            store.member.zone = machine->zone;
            store.member.kind = NodeKind::store;
            store.member.address = machine->address;
            store.member.incarnation = machine->incarnation;
            store.member.leaving = machine->leaving;
            store.member.disk_failed = machine->disk_failed;
            const bool runs = machine->process != nullptr && !hidden.contains(machine->name);
            store.alive = runs && !machine->disk_failed;
            if (store.alive) machine->away_epoch = 0;
            if (!store.alive && machine->away_epoch == 0) machine->away_epoch = next->epoch;
            store.absent_since_epoch = machine->away_epoch;
            next->stores.push_back(store);
        }
        for (std::uint32_t partition = 0; partition < options.partitions; ++partition) {
            next->partitions.push_back(assign(*next, partition));
        }
        distribute(next);
    }
    // Distributes a view made by the leader of a test.
    void publish(const StoreView& made) {
        viewed.clear();
        for (const StoreMember& store : made.stores) {
            const auto found = std::find_if(machines.begin(), machines.end(), [&store](const auto& machine) {
                return machine->name == store.member.name;
            });
            viewed.push_back(found->get());
        }
        distribute(std::make_shared<StoreView>(made));
    }
    // Delivers the current view to the machine's process, if one runs, after a random delay.
    void deliverView(StoreMachine& machine) {
        postDelayed(machine.process ? machine.process->scheduler.get() : nullptr,
                    [this, raw = &machine, next = view] {
                        if (!hidden.contains(raw->name)) raw->process->node->onView(next);
                    });
    }
    // Starts a new, empty machine, which is in the view from the next change on.
    StoreMachine& addMachine() {
        machines.push_back(makeMachine(static_cast<int>(machines.size())));
        start(*machines.back());
        rejoin(*machines.back());
        return *machines.back();
    }
    // Lets a running machine that is not in the view join it with the next change.
    void rejoin(StoreMachine& machine) {
        machine.dropped = false;
        machine.joined_epoch = view->epoch + 1;
        machine.joined_incarnation = machine.incarnation;
    }
    // Asks every owner whether it has peered all of its partitions in the current view.
    bool isPeered() {
        const auto answered = std::make_shared<std::size_t>(0);
        const auto done = std::make_shared<std::size_t>(0);
        std::set<std::int32_t> owners;
        for (const PartitionOwner& partition : view->partitions) owners.insert(partition.owner);
        SimulatedScheduler scheduler(world);
        MemoryTransport transport(world, network, {"10.3.0.1", 7000});
        for (const std::int32_t owner : owners) {
            if (owner < 0) return false;
            transport.call(viewed[static_cast<std::size_t>(owner)]->address,
                           envelope(MessageKind::peering_progress, PeeringProgressRequest{view->epoch}),
                           Millis(300), [answered, done](const CallResult& result) {
                               ++*answered;
                               if (result.verdict != CallStatus::answered) return;
                               const auto reply = decode<PeeringProgressReply>(result.reply.body);
                               if (reply && reply->done) ++*done;
                           });
        }
        world.runUntil([&] { return *answered == owners.size(); }, Millis(400));
        return *done == owners.size();
    }
    bool awaitPeered(Millis wait) {
        const SteadyTime end = world.now() + wait;
        while (!isPeered()) {
            if (world.now() >= end) return false;
            world.run(Millis(50));
        }
        return true;
    }
    // Drops the machine from the view, as the leader does; valid only if the view is peered.
    void drop(StoreMachine& machine) {
        machine.dropped = true;
        machine.retiring = false;
        changeView();
    }
    StoreMachine& ownerOf(PartitionId partition) {
        return *viewed[static_cast<std::size_t>(view->partitions[partition].owner)];
    }
    void configure(std::shared_ptr<Configuration> next) {
        configuration = std::move(next);
        configuration->buildIndexes();
        for (auto& machine : machines) {
            if (machine->process) machine->process->node->onConfiguration(configuration);
        }
    }

    // --- Messages ---
    MessageContent content(const std::string& route, const std::string& order_key = {}) {
        MessageContent made;
        made.id = "m" + std::to_string(++last_message);
        made.service = configuration->route(route)->service;
        made.method = "POST";
        made.target = configuration->route(route)->path_prefix + "x";
        made.order_key = order_key;
        made.ordered = !order_key.empty();
        made.config_generation = configuration->generation;
        made.body = "body of " + made.id;
        return made;
    }
    FakeEdge& anyEdge() {
        return *edges[static_cast<std::size_t>(world.chance() * static_cast<double>(edges.size()))];
    }
    std::size_t unfinished() const {
        return static_cast<std::size_t>(
            std::count_if(ledger.messages.begin(), ledger.messages.end(),
                          [](const auto& entry) { return entry.second.accepted && !entry.second.ended; }));
    }
    std::size_t accepted() const {
        return static_cast<std::size_t>(
            std::count_if(ledger.messages.begin(), ledger.messages.end(),
                          [](const auto& entry) { return entry.second.accepted.has_value(); }));
    }
    // Returns the maximum number of arrivals at a service within any time span of this length.
    std::size_t maxArrivalsIn(const std::string& service, Millis span) {
        const auto& times = ledger.arrivals[service];
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= span) ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    // Queries the state of each accepted message and compares it with the answers of the servers.
    void checkStates() {
        for (const auto& [id, message] : ledger.messages) {
            if (!message.accepted) continue;
            std::optional<StateReply> state;
            for (auto& edge : edges) {
                if (!state && edge->alive())
                    state = edge->query(MessageKind::state_query, message.partition, id);
            }
            if (!state || state->status != QueryStatus::found) {
                ledger.faults.push_back("lost: " + id + (state ? " is not found" : " has no answer"));
                continue;
            }
            checkState(id, message, *state);
        }
    }
    void checkState(const MessageId& id, const Ledger::Message& message, const StateReply& state) {
        if (state.phase == Phase::completed && !message.stamps.contains(state.stamp)) {
            ledger.faults.push_back("mixed: " + id + " is completed without a stamp of its own");
        }
        if (state.phase == Phase::dead_letter && !message.ended) {
            ledger.faults.push_back("mixed: " + id + " is dead but has not ended");
        }
    }
    std::string faultText() const {
        std::string text;
        for (std::size_t i = 0; i < ledger.faults.size() && i < 10; ++i) text += ledger.faults[i] + "\n";
        return text;
    }

    WorldOptions options;
    World world;
    Network network;
    std::shared_ptr<Configuration> configuration;
    std::shared_ptr<const StoreView> view;
    std::vector<std::unique_ptr<StoreMachine>> machines;
    std::vector<StoreMachine*> viewed;  // the machines of the view, in the order of its stores
    std::vector<std::unique_ptr<FakeEdge>> edges;
    Ledger ledger;
    std::set<std::string> hidden;  // running machines that the leader takes for silent
    Incarnation last_incarnation = 0;
    int last_message = 0;
    std::function<void(PartitionId)> on_accepted;  // runs when a client learns that its message is stored
    std::function<void(const Grant&)> on_run;      // runs when an edge begins an attempt on a server

private:
    std::unique_ptr<StoreMachine> makeMachine(int index) {
        auto machine = std::make_unique<StoreMachine>();
        machine->name = "store-" + std::to_string(index);
        machine->zone = "zone-" + std::to_string(index % 3);
        machine->address = {"10.1.0." + std::to_string(index + 1), 7002};
        return machine;
    }
    void end(StoreMachine& machine) {
        machine.process->node.reset();
        machine.process->disk.reset();
        machine.process->transport.reset();
        machine.process.reset();
    }
    void distribute(std::shared_ptr<const StoreView> next) {
        view = std::move(next);
        for (auto& machine : machines) deliverView(*machine);
        for (auto& edge : edges) {
            world.at(world.now() + drawDelay(), [&edge, next = view] {
                if (edge->alive()) edge->onView(next);
            });
        }
    }
    // The store reports its usability to the leader, which makes a new view.
    void onUsable(StoreMachine& machine, bool usable) {
        if (!options.leader_sees_disks) return;
        world.at(world.now() + drawDelay(), [this, raw = &machine, usable, process = machine.incarnation] {
            const bool same_process = raw->process && raw->incarnation == process;
            if (!same_process || hidden.contains(raw->name) || raw->disk_failed == !usable) return;
            raw->disk_failed = !usable;
            changeView();
        });
    }
    Millis drawDelay() { return Millis(1 + static_cast<std::int64_t>(world.chance() * 80)); }
    void postDelayed(SimulatedScheduler* scheduler, std::function<void()> work) {
        if (scheduler == nullptr) return;
        const Millis delay = drawDelay();
        scheduler->post([this, scheduler, delay, work = std::move(work)] {
            auto handle = std::make_shared<TimerHandle>();
            *handle = scheduler->after(delay, [handle, work] { work(); });
            pending_.push_back(handle);
        });
    }
    PartitionOwner assign(const StoreView& next, std::uint32_t partition) {
        PartitionOwner owner;
        const auto count = static_cast<std::uint32_t>(next.stores.size());
        for (std::uint32_t i = 0; i < count && owner.owner < 0; ++i) {
            const std::uint32_t candidate = (partition + i) % count;
            const StoreMember& store = next.stores[candidate];
            if (store.keepsCopies() && !store.member.leaving)
                owner.owner = static_cast<std::int32_t>(candidate);
        }
        if (view) owner.previous = indexInView(*view, view->partitions[partition].owner);
        if (owner.previous >= 0) {
            owner.previous_stopped =
                !viewed[static_cast<std::size_t>(owner.previous)]->process || owner.previous == owner.owner;
        }
        return owner;
    }
    // Returns the index in the new view of a store of an earlier one, or -1 if it is no longer listed.
    std::int32_t indexInView(const StoreView& earlier, std::int32_t place) const {
        if (place < 0) return -1;
        const std::string& name = earlier.stores[static_cast<std::size_t>(place)].member.name;
        for (std::size_t now = 0; now < viewed.size(); ++now) {
            if (viewed[now]->name == name) return static_cast<std::int32_t>(now);
        }
        return -1;
    }
    std::vector<std::shared_ptr<TimerHandle>> pending_;
};

}  // namespace amberswitch::cluster::simulation
