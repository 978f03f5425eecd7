// Delivers the granted attempts of one service. The decision module (heronmount) picks the server of each
// send; this class passes events to it, executes its actions and enforces the rule of a grant: at most one
// attempt that may have run.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/common/configuration.hpp"
#include "cluster/common/http.hpp"
#include "cluster/common/messages.hpp"
#include "cluster/common/scheduler.hpp"
#include "cluster/common/topology.hpp"
#include "cluster/edge/counters.hpp"
#include "cluster/edge/delivery_answer.hpp"
#include "cluster/edge/module_timers.hpp"
#include "cluster/edge/server_subset.hpp"
#include "heronmount/dispatcher.hpp"

namespace amberswitch::cluster {

struct DeliveryResult {
    RunOutcome outcome = RunOutcome::not_run;
    std::string stamp;
    bool destination_down = false;
};

class ServiceDispatcher {
public:
    // Called once for each grant, possibly before start() returns.
    using FinishedHandler = std::function<void(Grant grant, DeliveryResult result)>;

    // Whether the newest configuration routes the message of the grant to this service.
    using RouteCheck = std::function<bool(const Grant& grant)>;

    // `edge` and `zone`: the name and the zone of this process.
    ServiceDispatcher(Scheduler& scheduler, HttpClient& servers, EdgeCounters& counters, std::string edge,
                      std::string zone, Topology topology, RouteCheck follows_configuration,
                      FinishedHandler on_finished);

    // Applies the service's settings in the newest configuration. `schedule_target`: of a route to the
    // service; `share`: of this edge among those that share the servers. The caller calls setServers()
    // afterwards.
    void setService(const Service& service, Millis schedule_target, EdgeShare share);
    // Sets the currently listed servers of the service; ignored if the service has a static endpoint.
    void setServers(const std::vector<const ServerEntry*>& listed);

    void start(Grant grant);
    // Ends all deliveries without an attempt in flight as not_run.
    void handBackWaiting();
    // Does the same for messages that the newest configuration routes to another service or to none.
    void handBackMisdirected();
    // Grants without a result.
    std::size_t openCount() const { return deliveries_.size(); }
    bool hasServer() const { return usable_servers_ > 0; }
    // Returns false for a static endpoint to which no connection is open.
    bool isConnected() const;

private:
    struct Server {
        std::string uid;  // empty for the service's static endpoint
        NodeAddress address;
        bool usable = false;
        std::uint32_t in_flight = 0;
        heronmount::RosterEntry entry;
    };
    struct Delivery {
        Grant grant;
        bool known_to_module = false;
        bool in_flight = false;
        bool given_up = false;  // by the module, while an attempt is in flight
        bool all_unreachable = true;
        bool may_have_run = false;
        std::uint32_t sends = 0;  // requested by the module
        SteadyTime sent_at{};
        SteadyTime queued_until{};
    };

    void rebuildModule();
    heronmount::Settings moduleSettings() const;
    heronmount::Time moduleTime() const;
    std::set<std::string> chooseUsable(const std::vector<const ServerEntry*>& listed);
    bool updateServer(const std::string& uid, const ServerEntry& entry, bool usable);
    int zoneIndex(const std::string& zone);
    void sendRoster();

    void submitToModule(heronmount::RequestId id);
    void startQueued();
    bool hasRoom() const;
    void notifyModule(heronmount::Event event);
    void execute(const heronmount::Action& action);
    void send(const heronmount::Send& action);
    void post(heronmount::RequestId id, Delivery& delivery, heronmount::Worker worker);
    HttpRequest requestFor(const Grant& grant, const std::string& uid) const;
    void onOutcome(heronmount::RequestId id, heronmount::Worker worker, std::uint64_t module_generation,
                   std::uint32_t attempt, const HttpOutcome& outcome);
    void onGivenUp(heronmount::RequestId id);
    void handBack(const std::vector<heronmount::RequestId>& waiting, const DeliveryResult& result);
    void finish(heronmount::RequestId id, DeliveryResult result);
    void count(const HttpOutcome& outcome, const DeliveryAnswer& answer);
    void count(RunOutcome outcome);

    Scheduler& scheduler_;
    HttpClient& http_;
    EdgeCounters& counters_;
    std::string edge_;
    std::string zone_;
    Topology topology_;
    RouteCheck follows_configuration_;
    FinishedHandler on_finished_;

    Service service_;
    Millis schedule_target_{1000};
    EdgeShare share_;
    std::uint32_t connections_per_server_ = 1;  // to each usable server

    std::unique_ptr<heronmount::Dispatcher> module_;
    std::uint64_t module_generation_ = 0;  // incremented by each rebuild
    std::uint32_t module_edges_ = 0;       // the number of edges that module_ was built with
    std::uint32_t module_attempts_ = 0;
    ModuleTimers module_timers_;
    std::deque<heronmount::Event> pending_events_;
    std::vector<heronmount::Action> actions_;
    bool processing_events_ = false;

    std::vector<Server> servers_;  // by handle; servers no longer listed stay, as Standing::off
    std::unordered_map<std::string, heronmount::Worker> handles_;
    std::unordered_map<std::string, int> zones_;
    std::size_t usable_servers_ = 0;
    // Listed and not draining, including those outside this edge's subset.
    std::size_t available_servers_ = 0;

    std::unordered_map<heronmount::RequestId, Delivery> deliveries_;
    std::deque<heronmount::RequestId> queued_;  // waiting for a free connection, not known to the module
    TimerHandle queue_timer_;
    heronmount::RequestId last_id_ = 0;
    std::size_t requests_in_module_ = 0;
};

}  // namespace amberswitch::cluster
