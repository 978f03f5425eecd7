// Job servers: slots, a bounded queue, a cold start that can be overrun, a limit of connections.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <unordered_map>

#include "lab/ends.hpp"
#include "lab/world.hpp"

namespace amberswitch::lab {

class Farm {
public:
    using EndpointOf = std::function<net::tcp::endpoint(int dispatcher)>;
    Farm(World& world, EndpointOf dispatcherAt);

    std::string address(int dispatcher, int server) const;
    void kill(Time now, int server);   // its jobs are lost and its connections break
    void start(Time now, int server);  // anew, and cold where the script says so
    void stall(int server, bool yes) { servers_[static_cast<std::size_t>(server)].stalled = yes; }
    void err(int server, bool yes) { servers_[static_cast<std::size_t>(server)].errs = yes; }
    bool up(int server) const { return servers_[static_cast<std::size_t>(server)].up; }
    std::size_t mostConnections() const { return most_; }

private:
    struct Job {
        std::string id;
        int dispatcher = 0;
        bool started = false;
        Nanos takes{0};
        std::shared_ptr<Deadlines::Timer> due = std::make_shared<Deadlines::Timer>();
    };
    struct Teller {  // callbacks from one server to one dispatcher, in order
        std::deque<std::pair<std::string, int>> calls;  // with the tries so far
        std::shared_ptr<Asking> connection;
        bool busy = false;
    };
    struct Server {
        bool up = true, stalled = false, errs = false;
        Time since{0};  // 0: long ago
        std::list<Job> jobs;
        std::size_t running = 0, connections = 0;
        std::deque<Time> arrivals;  // within the last second, while cold
        std::map<int, Teller> tellers;
    };
    static constexpr int kTries = 10;

    double speed(const Server& server, Time now) const;
    void take(Time now, int s, int dispatcher, const std::shared_ptr<Answering>& from,
              const http::Message& message, bool fresh);
    void begin(Time now, int s);
    void goOn(Time now, const std::weak_ptr<Answering>& to);  // with an answer that never ends
    void over(Time now, int s, const std::string& id);
    void tell(int s, int dispatcher, std::string body);
    void next(int s, int dispatcher);
    Server& at(int s) { return servers_[static_cast<std::size_t>(s)]; }

    World& world_;
    EndpointOf dispatcherAt_;
    std::vector<Server> servers_;
    std::map<std::pair<int, int>, std::unique_ptr<net::Listener>> listeners_;
    std::size_t most_ = 0;
    std::uint64_t results_ = 0;
};

}  // namespace amberswitch::lab
