// Delivers the granted attempts of one service. The decision module (heronmount) picks the server of each
// send; this class feeds it, carries out what it asks for and keeps to the promise of a grant: one attempt
// that may have run.
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
    // Told once for each grant, possibly before begin() returns.
    using FinishedHandler = std::function<void(Grant grant, DeliveryResult result)>;

    // Whether the newest configuration sends that message to this service.
    using RouteCheck = std::function<bool(const Grant& grant)>;

    // `edge` and `zone` are those of this process.
    ServiceDispatcher(Scheduler& scheduler, HttpClient& servers, EdgeCounters& counters, std::string edge,
                      std::string zone, Topology topology, RouteCheck follows_configuration,
                      FinishedHandler on_finished);

    // The service as the newest configuration has it; `schedule_target`: of a route that leads to it.
    // `share`: of this dispatcher among those that share its servers. setServers() is to follow.
    void setService(const Service& service, Millis schedule_target, EdgeShare share);
    // The servers that are listed for this service now; ignored where the service has an endpoint of its own.
    void setServers(const std::vector<const ServerEntry*>& listed);

    void start(Grant grant);
    // Gives up all attempts that have not begun, as not_run.
    void handBackWaiting();
    // The same for those of messages that the newest configuration sends to another service, or nowhere.
    void handBackMisdirected();
    // Grants that have no result yet.
    std::size_t openCount() const { return deliveries_.size(); }
    bool hasServer() const { return usable_servers_ > 0; }
    // False for an endpoint to which no connection is open.
    bool isConnected() const;

private:
    struct Server {
        std::string uid;  // empty: the service's own endpoint
        NodeAddress address;
        bool usable = false;
        std::uint32_t in_flight = 0;
        heronmount::RosterEntry entry;
    };
    struct Delivery {
        Grant grant;
        bool known_to_module = false;  // the module knows it
        bool in_flight = false;
        bool given_up = false;  // by the module, while an attempt is out
        bool all_unreachable = true;
        bool may_have_run = false;
        std::uint32_t sends = 0;  // that the module asked for
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
    std::uint32_t connections_per_server_ = 1;  // to each server that is on

    std::unique_ptr<heronmount::Dispatcher> module_;
    std::uint64_t module_generation_ = 0;  // counts rebuilds
    std::uint32_t module_edges_ = 0;       // that it was built with
    std::uint32_t module_attempts_ = 0;
    ModuleTimers module_timers_;
    std::deque<heronmount::Event> pending_events_;
    std::vector<heronmount::Action> actions_;
    bool processing_events_ = false;

    std::vector<Server> servers_;  // by handle; those that are gone stay as `off`
    std::unordered_map<std::string, heronmount::Worker> handles_;
    std::unordered_map<std::string, int> zones_;
    std::size_t usable_servers_ = 0;
    std::size_t available_servers_ =
        0;  // listed and not draining, whether this dispatcher may use them or not

    std::unordered_map<heronmount::RequestId, Delivery> deliveries_;
    std::deque<heronmount::RequestId> queued_;  // wait for a free connection, unknown to the module
    TimerHandle queue_timer_;
    heronmount::RequestId last_id_ = 0;
    std::size_t requests_in_module_ = 0;  // deliveries that the module knows
};

}  // namespace amberswitch::cluster
